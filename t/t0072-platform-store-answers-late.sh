#!/bin/bash
# The store's answers come 1.3 s late. Operators add routes, few and many, while
# nodes are paused or killed, and 2.5 s after the store has acknowledged a change
# a request for a new route must be served by every node that runs.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 1
wait_platform
VERSION=1
# routes FROM TO: rules for the paths below /r-N/.
routes() {
	local i
	for i in $(seq "$1" "$2"); do
		printf ',{"name":"r-%d","kind":"safe","goal_ms":400,"priority":2,
"match":{"path_prefix":"/r-%d/"},"action":{"service":"bookings",
"timeout_ms":1500,"attempts":2}}' "$i" "$i"
	done
}
# publish FROM TO: publishes a version with these routes, and returns when the
# store has acknowledged it.
publish() {
	VERSION=$((VERSION + 1))
	REMOVED=${LAST:-0} LAST=$2
	platform_config "$VERSION" "$(routes "$1" "$2")"
}
# ask_new NODE: asks for the newest route. A node that is short of time may tell
# callers to come back: they do so twice.
ask_new() {
	local try answer
	for try in 1 2 3; do
		answer=$(call "$1" GET "/r-$LAST/1" -o /dev/null)
		[ "$answer" = 503 ] || break
		sleep 0.1
	done
	echo "$answer"
}
# check WHAT [NODE...]: 2.5 s after the acknowledgement asks the nodes, or all,
# for the newest route, and for one that was removed.
check() {
	local what=$1 i
	shift
	sleep 2.5
	for i in ${*:-$NODES}; do
		ask_new "$i" >"$DIR/new-$i" 2>/dev/null &
		ASKED="${ASKED:-} $!"
		call "$i" GET "/r-$REMOVED/1" -o /dev/null >"$DIR/old-$i" 2>/dev/null &
		ASKED="${ASKED:-} $!"
	done
	wait $ASKED
	sleep 0.2
	for i in ${*:-$NODES}; do
		echo "$what: node $i: new $(cat "$DIR/new-$i"), old $(cat "$DIR/old-$i")" >&2
	done
	echo "$what: new route not served by" \
		"$(for i in ${*:-$NODES}; do cat "$DIR/new-$i"; done | grep -vc '^200')," \
		"old route served by" \
		"$(for i in ${*:-$NODES}; do cat "$DIR/old-$i"; done | grep -c '^200')"
	ASKED=
}
others() { echo $NODES | tr ' ' '\n' | grep -vxE "$(echo "$@" | tr ' ' '|')"; }
proposer() {
	local i
	for i in $NODES; do
		echo "$(metric "$i" appends_published) $i"
	done | sort -rn | awk 'NR==1{print $2}'
}
metric() {
	ask "http://$(operator_of "$1")/metrics" | awk -v n="$2" '$1==n{print $2}'
}
ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?answer_ms=1300"
publish 11 15
check "few routes"
publish 21 2020
check "2,000 routes"
publish 3001 3003
publish 3011 3014
check "two changes in a row"
first=$(proposer)
pause_nodes "$first"
publish 3021 3022
check "the proposer paused" $(others "$first")
resume_nodes "$first"
sleep 3
check "and back"
first=$(proposer)
kill_node "$first"
publish 3031 3033
check "the proposer killed" $(others "$first")
start_platform_node "$first" "${NODE_SERVICE[$first]}" "${NODE_DC[$first]}"
wait_for "it to be ready" ask -f "http://$(ready_of "$first")/-/readyz"
check "it started again"
ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?lose=2"
publish 3041 3044
check "answers lost too"

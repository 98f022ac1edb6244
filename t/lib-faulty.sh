# Functions for sessions with servers whose answers break the protocol in the
# forms of t/faulty-answers.h. Nodes 1 and 3 have such servers of bookings, node
# 2 one of records; the server of node 0, of records, is sound.
. "$(dirname "${BASH_SOURCE[0]}")/lib-platform.sh"
CALLS=${CALLS:-300} # of each form
CALLERS=6
FAULTY="1 2 3"
# keys_held: those held by the servers whose heartbeats another process sends
# are asked of that process.
heartbeats_of() { echo "127.0.0.1:$((BASE_PORT + 10 * $1 + 7))"; }
keys_held() {
	for a in "$(backend_of 0)" "$(heartbeats_of 2)"; do
		ask "http://$a/stats" 2>/dev/null
	done | awk '$1=="keys" {n += $2} END {print n + 0}'
}
start_faulty_platform() {
	local dcs=(hakata tenjin kurume kitakyu) i
	start_store
	for i in 0 1 2 3; do
		start_platform_node $i "$([ $((i % 2)) = 1 ] && echo bookings ||
			echo records)" "${dcs[$i]}"
	done
	N=4
	start_platform_server 0
	for i in $FAULTY; do start_faulty_server $i; done
	platform_config 7
	wait_platform
	SOUND_KEY=$(ranges_of 0 | jq '.[0][0]')
	FAULTY_KEY=$(ask "http://$(heartbeats_of 2)/rows" | jq '.[0][0]')
}

# calls_of FORM K: curl's configuration for one caller's calls, by turns a
# booking, a list and a lookup by key, over kept connections.
calls_of() {
	awk -v form="$1" -v k="$2" -v n=$((CALLS / CALLERS)) -v key="$FAULTY_KEY" \
		-v at="$(caller_of $(($2 % 4)))" 'BEGIN {
		for (i = 0; i < n; i++) {
			kind = i % 3 == 0 ? "book" : i % 3 == 1 ? "list" : "look"
			id = form "-" kind "-" k "-" i
			printf "next\nsilent\nnoproxy = \"*\"\nmax-time = 15\n"
			printf "url = \"http://%s/%s/%s\"\n", at, kind, form
			printf "request = %s\n", kind == "book" ? "POST" : "GET"
			printf "header = \"Host: a.example\"\n"
			printf "header = \"X-Mesh-Deadline-Ms: 1500\"\n"
			printf "header = \"X-Mesh-Request-Id: %s\"\n", id
			if (kind == "look")
				printf "header = \"X-Mesh-Shard-Key: %s\"\n", key
			printf "write-out = \"\\ncall %s %%{http_code} %%{exitcode}", id
			printf " =%%header{x-mesh-stamp}"
			printf " =%%header{x-mesh-request-id}\\n\"\n"
		}
	}'
}
forms_answered() {
	for i in $FAULTY; do faulty_stat "$i" forms; done | awk '{n += $1} END {print n}'
}
# play_round FORM ROUND: makes the calls, all callers at once.
play_round() {
	local k n waits=
	for ((k = 0; k < CALLERS; k++)); do
		n=$(($2 * CALLERS + k))
		calls_of "$1" $n >"$DIR/config-$k"
		curl -K "$DIR/config-$k" >"$DIR/told-$1-$n" 2>/dev/null &
		waits="$waits $!"
	done
	wait $waits
}
# play FORM: plays rounds until the form was answered often, as callers may be
# refused after a form that says that the server is full.
play() {
	local before round
	before=$(forms_answered)
	for ((round = 0; round < 5; round++)); do
		play_round "$1" $round
		[ $(($(forms_answered) - before)) -lt $((CALLS / 2)) ] || return
	done
	echo "$1 was hardly played"
}

# wrong FORM: the number of calls, of wrong answers, of what the servers ran and
# of each status, then the first wrong answers.
wrong() {
	for i in $FAULTY; do ask "http://$(backend_of $i)/ledger/$1-"; done |
		awk '{print "ran", $0}' >"$DIR/ran-$1"
	awk -f "$TOP/t/faulty-calls.awk" "$DIR/ran-$1" "$DIR/told-$1"-*
}

others() {
	while [ -e "$DIR/go" ]; do
		call 0 GET /look/x -H "X-Mesh-Shard-Key: $SOUND_KEY" -o /dev/null
	done >"$DIR/others" 2>&1
}
# play_forms FORM...: prints how many wrong answers each gave, and whether
# others were served all the while.
play_forms() {
	local form result others
	touch "$DIR/go"
	others &
	others=$!
	for form; do play "$form"; done
	rm "$DIR/go"
	wait $others
	for form; do
		result=$(wrong "$form")
		echo "$form $result" >&2
		set -- $result
		[ $(($1 % (CALLS / CALLERS * CALLERS))) = 0 ] || echo "calls: $1"
		echo "$form: wrong answers: $2"
	done
	echo "others: $(grep -c . "$DIR/others"), served $(grep -c '^200' "$DIR/others")" >&2
	echo "others not served: $(grep -vc '^200' "$DIR/others")"
}

#!/bin/bash
# Servers name a limit of requests a second in their answers while more than that
# comes. In no 4 s may they get more than one and a half times what it allows,
# and five, also when the node beside them is restarted.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
LIMIT=2 ALLOWED=17 BEFORE=0

# load N: sends requests at all nodes until stop_load, N at a time.
load() {
	local k
	: >"$DIR/load"
	for ((k = 0; k < $1; k++)); do
		while [ -e "$DIR/load" ]; do
			call $((RANDOM % N)) POST /book/$RANDOM -o /dev/null
			call $((RANDOM % N)) GET /look/$RANDOM -o /dev/null \
				-H "X-Mesh-Shard-Key: $((RANDOM * 2))"
		done >"$DIR/load-$k" 2>/dev/null &
		LOAD_PIDS="${LOAD_PIDS:-} $!"
	done
}
stop_load() { rm -f "$DIR/load"; wait $LOAD_PIDS; LOAD_PIDS=; }
served() { cat "$DIR"/load-* 2>/dev/null | grep -c '^200'; }
within() {
	local n
	n=$(server_stat "$1" most_in_4s)
	[ "$n" -le "$ALLOWED" ] && echo "within its limit" || echo "$n, allowed $ALLOWED"
}
# watch_limit I: whether a limited server gets no more than it may, from 3 s
# after it has named its limit, while others go on serving.
more_served() { [ "$(served)" -gt $((BEFORE + $1)) ]; }
watch_limit() {
	BEFORE=$(served)
	wait_for "requests after the limit was named" more_served 300
	sleep 3
	for i in "$@"; do server_control "$i" window=1; done
	sleep 5
	BEFORE=$(served)
	wait_for "more requests" more_served 300
	for i in "$@"; do echo "server $i: $(within "$i")"; done
}

load 8
wait_for "load" more_served 200
echo "# one server without keys and one with keys name a limit"
for i in 0 1; do server_control "$i" "limit=$LIMIT"; done
watch_limit 0 1

echo "# their nodes are restarted"
for i in 0 1; do
	kill_node "$i"
	start_platform_node "$i" "${NODE_SERVICE[$i]}" "${NODE_DC[$i]}"
done
for i in 0 1; do wait_for "it to join" members_are "$i" "$N"; done
for i in 0 1; do server_control "$i" window=1; done
sleep 6
for i in 0 1; do echo "server $i: $(within "$i")"; done

echo "# they name none any more"
for i in 0 1; do server_control "$i" "limit="; done
gets_more() { [ "$(server_stat "$1" most_in_4s)" -gt "$ALLOWED" ]; }
for i in 0 1; do wait_for "server $i to get more" gets_more "$i"; done
echo "they get more again"

echo "# every server of a service names a limit"
for i in 1 3 5 7; do server_control "$i" "limit=$LIMIT"; done
watch_limit 1 3 5 7
stop_load
head=$(for ((k = 0; k < 40; k++)); do
	call 0 POST /book/x -D - -o /dev/null &
done; wait)
echo "told to come back: $([ "$(grep -ci '^retry-after: [0-9]' <<<"$head")" -ge 20 ] && echo yes)"

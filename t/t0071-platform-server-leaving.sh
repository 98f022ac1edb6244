#!/bin/bash
# Servers say in their answers that they leave, while their heartbeats go on
# saying that they are ready. A node that has passed such an answer on sends them
# nothing 2 s later, also when the node beside them is restarted.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
# owner_of KEY: the node whose server holds it.
owner_of() {
	local i
	for i in 0 2 4 6; do
		ranges_of "$i" | jq -e "any(.[]; .[0] <= $1 and $1 <= .[1])" \
			>/dev/null && echo "$i"
	done
}
# Node 0 asks for what has no key: node 1 is the nearest that serves it. Neither
# it nor node 3, which asks for the key, is restarted.
number=0
until [ "$(owner_of $number)" != 0 ]; do number=$((number + 512)); done
owner=$(owner_of $number)
key="X-Mesh-Shard-Key: $number"
# tells NODE METHOD PATH...: sends requests until an answer says so.
tells() { call "$@" -D - -o /dev/null | grep -qi '^server-leaving: 1'; }
# sent I NODE METHOD PATH...: requests that reach server I out of 40 sent.
sent() {
	local i=$1 before k
	shift
	before=$(server_stat "$i" arrived)
	for ((k = 0; k < 40; k++)); do
		call "$@" -o /dev/null >"$DIR/status-$k" &
	done
	wait $(jobs -p | grep -vxF "$(tr ' ' '\n' <<<"$PIDS")")
	echo "reached it: $(($(server_stat "$i" arrived) - before)), served: $(
		cat "$DIR"/status-* | grep -c '^200')"
}

echo "# a server without keys"
server_control 1 leaving=1
wait_for "an answer that says so" tells 0 POST /book/a
sleep 2
sent 1 0 POST /book/b

echo "# the owner of a key"
server_control "$owner" leaving=1
wait_for "an answer that says so" tells 3 GET /look/a -H "$key"
sleep 2
sent "$owner" 3 GET /look/b -H "$key"
other_owner() { local o; o=$(owner_of $number); [ -n "$o" ] && [ "$o" != "$owner" ]; }
wait_for "another owner" other_owner

echo "# their nodes are restarted; the servers still leave"
for i in 1 "$owner"; do
	kill_node "$i"
	start_platform_node "$i" "${NODE_SERVICE[$i]}" "${NODE_DC[$i]}"
	wait_for "it to answer" ask -f "http://$(ready_of "$i")/-/readyz"
done
wait_heartbeats 1 2
sent 1 0 POST /book/c
sent "$owner" 3 GET /look/c -H "$key"

echo "# another instance of one of them"
server_control 1 "crash=1&leaving=0"
gets_some() { call 0 POST /book/d -o /dev/null; [ "$(server_stat 1 served)" -gt "$BEFORE" ]; }
BEFORE=$(server_stat 1 served)
wait_for "it to be sent requests" gets_some
echo "gets requests again"

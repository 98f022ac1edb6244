#!/bin/bash
# Heartbeats that a server sent before it left arrive after its leaving was
# acknowledged. It is sent nothing 2 s later, until another instance of it starts.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
holds_keys() { [ "$(ranges_of "$1")" != "[]" ]; }
gets_requests_again() {
	server_control "$1" "crash=1&mute=0&drain=0"
	wait_for "it to be sent requests" gets_requests "$1"
	echo "another instance gets requests"
}

echo "# a server without keys deregisters"
hold_back 1
tell 1 deregister
tell 1 heartbeat "$HELD"
sent 1 POST /book/a
gets_requests_again 1

echo "# a server with keys deregisters"
wait_for "keys" holds_keys 2
key=$(ranges_of 2 | jq '.[0][0]')
hold_back 2
tell 2 deregister
tell 2 heartbeat "$HELD"
other_owner() {
	local i
	for i in 0 4 6; do
		ranges_of "$i" | jq -e "any(.[]; .[0] <= $key and $key <= .[1])" \
			>/dev/null && return
	done
	return 1
}
wait_for "another owner" other_owner
sent 2 GET /look/b -H "X-Mesh-Shard-Key: $key"

echo "# it says that it is leaving, then a later heartbeat that it is ready"
server_control 3 drain=1
wait_heartbeats 3 2
server_control 3 drain=0
hold_back 3
tell 3 heartbeat "$HELD"
sent 3 POST /book/c
gets_requests_again 3

echo "# its node has started since its last heartbeat"
hold_back 5
kill_node 5
start_platform_node 5 "${NODE_SERVICE[5]}" "${NODE_DC[5]}"
wait_for "it to answer" ask -f "http://$(ready_of 5)/-/readyz"
tell 5 deregister
tell 5 heartbeat "$HELD"
sent 5 POST /book/d
gets_requests_again 5

#!/bin/bash
# A node is killed and started again while the backend server beside it lives.
# The server goes on holding its keys; the new process must take them up before
# their time runs out. Moved away instead they would be served late, cold at
# another server, and move back again.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
rows_of() {
	ask "http://$(backend_of 0)/rows" | jq -c '[.[] | [.[0], .[1]]]'
}
before=$(rows_of)
for n in 1 2 3; do
	kill_node 0
	start_platform_node 0 records hakata
	wait_for "it to join" members_are 0 8
	wait_for "its lease" has_lease 0
	all_settled() { [ "$(field 0 shards_held)" -gt 0 ]; }
	wait_for "its shards" all_settled
done
sleep_beats() { [ "$(server_stat 0 beats)" -gt "$beats" ]; }
beats=$(($(server_stat 0 beats) + 5))
wait_for "more heartbeats" sleep_beats
[ "$(rows_of)" = "$before" ] && echo "the same rows"
echo "let go: $(server_stat 0 let_go)"
for i in 2 4 6; do server_stat $i let_go; done | sort -u
echo "keys held: $(keys_held)"
key=$(ask "http://$(backend_of 0)/rows" | jq '.[0][0]')
call 3 GET /look/x -H "X-Mesh-Shard-Key: $key"
echo "misdirected $(for i in $NODES; do server_stat "$i" misdirected; done |
	awk '{n+=$1} END{print n}')"

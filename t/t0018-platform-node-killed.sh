#!/bin/bash
# A node is killed and started again while its backend server keeps running and
# holds its keys. The new process must take the keys over before their grants
# expire. Otherwise they move to another server, are served late there from a
# cold cache, and move back again.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
before=$(ranges_of 0)
restart_node_beside_server 0 3
wait_heartbeats 0 5
[ "$(ranges_of 0)" = "$before" ] && echo "the same rows"
echo "let go: $(server_stat 0 let_go)"
for i in 2 4 6; do server_stat $i let_go; done | sort -u
echo "keys held: $(keys_held)"
key=$(ask "http://$(backend_of 0)/rows" | jq '.[0][0]')
call 3 GET /look/x -H "X-Mesh-Shard-Key: $key"
echo "misdirected $(misdirected)"

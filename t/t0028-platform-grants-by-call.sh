#!/bin/bash
# Backend servers are granted their keys by calls. A node is killed and started
# again while its server keeps running: the new process must go on renewing what
# the previous process granted. Released keys would be served late and from a
# cold cache. Then calls are not answered and are applied late, or are refused
# because their fence is too low: the keys must stay held, and no request may be
# refused.
GRANTS=call
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
before=$(ranges_of 0)
let_go_before=$(server_stat 0 let_go)
restart_node_beside_server 0 3
# More than a lease, so that what is still held then has been renewed.
wait_heartbeats 0 25
[ "$(ranges_of 0)" = "$before" ] && echo "the same rows"
[ "$(server_stat 0 let_go)" = "$let_go_before" ] && echo "none let go"
echo "keys held: $(keys_held)"
key=$(ask "http://$(backend_of 0)/rows" | jq '.[0][0]')
call 3 GET /look/x -H "X-Mesh-Shard-Key: $key"
server_control 0 late=3
wait_heartbeats 0 25
echo "keys held: $(keys_held)"
n_in_doubt() { ask "http://$(operator_of 0)/metrics" | awk '$1=="grants_in_doubt"{print $2}'; }
[ "$(n_in_doubt)" -ge 3 ] && echo "three in doubt"
server_control 0 refuse=1
wait_heartbeats 0 25
echo "keys held: $(keys_held)"
call 5 GET /look/x -H "X-Mesh-Shard-Key: $key"
echo "misdirected $(misdirected)"

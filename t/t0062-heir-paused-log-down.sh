#!/bin/bash
# While the log is down, the successor of a key is paused until its lease has
# lapsed, and then the owner of the key is lost. Another node must serve the
# key.
. "$(dirname "$0")/lib.sh"
start_log
start_fleet "records" "hakata tenjin kurume kitakyu"
wait_ready examples/kinwaku.json
of_key() { ask "http://$(operator_of 0)/explain?service=records&key=frame-7" | jq -r ".$1"; }
owner=$(of_key owner_host) successor=$(of_key successor_host)
owner=${owner#host-} successor=${successor#host-}
for via in 0 1 2 3; do [ $via = "$owner" ] || [ $via = "$successor" ] || break; done
log_control down=1
log_seen_down() { [ "$(field $via log_up)" = false ]; }
wait_for "the outage to be noticed" log_seen_down
kill -STOP "${NODE_PID[$successor]}"
successor_stopped() { status_of $via | jq -e ".members[] | select(.host==\"host-$successor\") | .known_stopped"; }
wait_for "its lease to end" successor_stopped
kill -CONT "${NODE_PID[$successor]}"
kill_node "$owner"
wait_for "the key to be served" all_held records 64
code "http://$(caller_of $via)/records/frame-7"

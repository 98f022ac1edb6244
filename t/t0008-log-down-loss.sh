#!/bin/bash
# An owner is lost while the log is down. Its successors, assigned beforehand,
# must take over without the log, and the change must be recorded when the log
# returns.
. "$(dirname "$0")/lib.sh"
start_log
start_fleet "records" "hakata tenjin kurume kitakyu"
wait_ready examples/kinwaku.json
owner=$(owner_index records frame-7)
via=$(((owner + 1) % 4))
log_control down=1
log_seen_down() { [ "$(field $via log_up)" = false ]; }
wait_for "the outage to be noticed" log_seen_down
kill_node "$owner"
wait_for "the successors" all_held records 64
code "http://$(caller_of $via)/records/frame-7"
ask "http://$(operator_of $via)/explain?service=records&key=frame-7" |
	jq -c '[.ahead_of_log, .why]'
log_control down=0
wait_for "the record" members_are $via 3
code "http://$(caller_of $via)/records/frame-7"
ask "http://$(operator_of $via)/explain?service=records&key=frame-7" |
	jq -c '[.ahead_of_log, .why]'
wait_for "balance" balanced
wait_for "all shards" all_held records 64
echo "held again"

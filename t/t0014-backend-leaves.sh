#!/bin/bash
# A backend server leaves and returns with a cold cache. It must get no new work
# after it has left, and no more than a cold server can serve after its return.
. "$(dirname "$0")/lib.sh"
start_log
start_fleet "records archive" "hakata tenjin kurume kitakyu"
wait_ready examples/kinwaku.json
served() {
	ask "http://$(backend_of "$1")/stats" | awk '$1=="served"{print $2}'
}
ask -X POST "http://$(backend_of 0)/control?leave=1" >/dev/null
ask -X POST "http://$(backend_of 1)/control?leave=1" >/dev/null
wait_for "them to leave" members_are 3 6
wait_for "the shards" all_held records 64
before=$(($(served 0) + $(served 1)))
"$BIN/load" --target "$(caller_of 0)" --rate 100 --seconds 2 | sed -n '1p'
"$BIN/load" --target "$(caller_of 0)" --rate 100 --seconds 2 --path /archive/x |
	sed -n '1p'
echo "new work: $(($(served 0) + $(served 1) - before))"
ask -X POST "http://$(backend_of 0)/control?announce=1" >/dev/null
ask -X POST "http://$(backend_of 1)/control?announce=1" >/dev/null
wait_for "them to return" members_are 3 8
wait_for "balance" balanced
wait_for "the shards" all_held records 64
echo "returned"

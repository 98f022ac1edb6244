#!/bin/bash
# A process starts while its peers already talk to it and the log is long. It
# must begin with the newest snapshot there. From the oldest one, or from the
# first record, it would replay for seconds on a small host, unready.
export SNAPSHOT_RECORDS=8
EXTRA_SETTINGS='"log_format": "json",'
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
store_control() { ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?$1"; }
version() { ask "http://$(operator_of 0)/configuration" | jq .document.source; }
in_force() { [ "$(version)" = "$1" ]; }
platform_config 1
wait_platform
for v in $(seq 2 60); do
	platform_config "$v"
	wait_for "version $v" in_force "$v"
done
# restart WHAT: then how far before the log's end the replay began.
restart() {
	local end from
	end=$(log_stat end)
	kill -KILL "${NODE_PID[0]}"
	wait "${NODE_PID[0]}" 2>/dev/null
	: >"$DIR/node-0.log"
	[ "$1" = quiet ] || store_control hold=1
	start_platform_node 0 records hakata
	heard() { [ "$(counter 0 peer_messages_in)" -gt 3 ]; }
	[ "$1" = quiet ] || wait_for "its peers to talk to it" heard
	store_control hold=0
	wait_for "it to join" members_are 0 "$N"
	wait_for "its lease" has_lease 0
	from=$(grep -o 'loaded the snapshot of offset [0-9]*' "$DIR/node-0.log" |
		tail -n 1 | awk '{print $NF}')
	if [ -z "$from" ]; then
		echo "$1: from the first record"
	elif [ "$((end - from))" -le $((3 * SNAPSHOT_RECORDS)) ]; then
		echo "$1: from the newest snapshot"
	else
		echo "$1: from an old snapshot"
	fi
}
restart quiet
restart "while peers talk"

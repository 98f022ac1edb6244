#!/bin/bash
# A process starts while its peers already send messages to it and the log is
# long. It must start from the newest snapshot. From the oldest snapshot, or
# from the first record, it would replay for seconds on a small host before it
# is ready.
export SNAPSHOT_RECORDS=8
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
# restart WHAT: restart node 0 and print how many records it replayed.
restart() {
	kill -KILL "${NODE_PID[0]}"
	wait "${NODE_PID[0]}" 2>/dev/null
	[ "$1" = quiet ] || store_control hold=1
	start_platform_node 0 records hakata
	peers_sent_messages() { [ "$(counter 0 peer_messages_in)" -gt 3 ]; }
	[ "$1" = quiet ] || wait_for "its peers to talk to it" peers_sent_messages
	store_control hold=0
	wait_for "it to join" members_are 0 "$N"
	wait_for "its lease" has_lease 0
	if [ "$(counter 0 records_applied)" -le $((3 * SNAPSHOT_RECORDS)) ]; then
		echo "$1: little to replay"
	else
		echo "$1: $(counter 0 records_applied) records replayed"
	fi
}
restart quiet
restart "while peers talk"

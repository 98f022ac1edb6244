#!/bin/bash
# A starting process reads the whole log over a slow link, without a pause in
# the data. It must go on reading. If it restarted the read whenever a fixed
# time-out expires, the read would take several times as long, with callers
# refused.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
for i in $NODES; do
	kill -KILL "${NODE_PID[$i]}"
	wait "${NODE_PID[$i]}" 2>/dev/null
done
ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?trickle_ms=6000"
start_platform_node 0 records hakata
is_caught_up() { [ "$(field 0 applied)" -gt 0 ] && ask -f "http://$(ready_of 0)/-/readyz"; }
wait_for "it to be ready" is_caught_up
# A busy machine may cause one failure; time-outs of 1, 2 and 4 s cause three.
[ "$(counter 0 log_failures)" -le 1 ] && echo "read to its end" ||
	echo "begun anew $(counter 0 log_failures) times"

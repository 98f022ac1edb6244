#!/bin/bash
# The whole log arrives slowly, over a narrow link, and without a pause. A
# process that starts must read on. Begun anew each time that a fixed limit is
# over, the read would take several times as long, with callers refused.
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
# One may be lost to a busy machine; limits of 1, 2 and 4 s make it three.
[ "$(counter 0 log_failures)" -le 1 ] && echo "read to its end" ||
	echo "begun anew $(counter 0 log_failures) times"

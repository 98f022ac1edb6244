#!/bin/bash
# A node is asked to stop beside a server that goes on, and has ended. Bookings
# sent elsewhere must not go to its gate: with no answer nobody may repeat them.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
kill -TERM "${NODE_PID[1]}"
wait "${NODE_PID[1]}" 2>/dev/null
for n in $(seq 1 60); do
	call 0 POST "/book/$n" -o /dev/null
done | sort | uniq -c | sed 's/^ *//'

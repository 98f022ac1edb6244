#!/bin/bash
# A node was stopped and has ended, and its server keeps running. Bookings at
# other nodes must not be sent to its gate: without an answer it is unknown
# whether they ran, so that no node may retry them.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
kill -TERM "${NODE_PID[1]}"
wait "${NODE_PID[1]}" 2>/dev/null
for n in $(seq 1 60); do
	call 0 POST "/book/$n" -o /dev/null
done | sort | uniq -c | sed 's/^ *//'

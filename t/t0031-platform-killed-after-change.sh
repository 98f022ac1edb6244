#!/bin/bash
# An operator adds a route, and every process is killed before any of them has
# recorded the change in the fleet's log. The new processes read the log to its
# end and know of the route only from the operators' stream. Callers that ask
# for the route must be told to retry. After a 404 they would give up for good.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 1
wait_platform
store_control() { ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?$1"; }
store_control refuse=1
platform_config 2 ',{"name":"new","kind":"safe","goal_ms":400,"priority":2,
"match":{"path_prefix":"/new/"},"action":{"service":"bookings",
"timeout_ms":1500,"attempts":2}}'
for i in $NODES; do
	kill -KILL "${NODE_PID[$i]}"
	wait "${NODE_PID[$i]}" 2>/dev/null
done
for i in $NODES; do
	start_platform_node "$i" "${NODE_SERVICE[$i]}" "${NODE_DC[$i]}"
done
last=$(($(log_stat end) - 1))
for i in $NODES; do
	at_end() { [ "$(field "$i" applied)" = "$last" ]; }
	wait_for "node $i to read the log" at_end
	call "$i" GET /new/1 -o /dev/null
done | sort | uniq -c
store_control refuse=0
served() { [ "$(call 0 GET /new/1 -o /dev/null)" = 200 ]; }
wait_for "the new route" served
echo "served"

#!/bin/bash
# Operators publish a configuration of 1,700 routes. As one plain text record it
# exceeds the store's record size, and callers of the new routes would be told
# 404 for good. It must come into force like any other.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 1
wait_platform
many=$(for i in $(seq 1700); do
	printf ',{"name":"route-%d","kind":"safe","goal_ms":400,"priority":2,
"match":{"path_prefix":"/route-%d/"},"action":{"service":"bookings",
"timeout_ms":1500,"attempts":2}}' "$i" "$i"
done)
platform_config 2 "$many"
in_force() {
	[ "$(ask "http://$(operator_of 0)/configuration" | jq .document.source)" = 2 ]
}
LIMIT_S=20 wait_for "the many routes" in_force
call 0 GET /route-1700/1 -o /dev/null
# A process that starts must read them back.
kill -KILL "${NODE_PID[0]}"
wait "${NODE_PID[0]}" 2>/dev/null
start_platform_node 0 records hakata
wait_for "it to be ready" ask -f "http://$(ready_of 0)/-/readyz"
call 0 GET /route-1700/1 -o /dev/null

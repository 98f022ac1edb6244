#!/bin/bash
# A node is stopped while a request is in flight for longer than the stop limit.
# The node must end by exit, not by abort.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 ',{"name":"slow","kind":"unsafe","goal_ms":20000,"priority":1,
	"match":{"path_prefix":"/slow/"},"action":{"service":"bookings",
	"timeout_ms":20000,"attempts":2}}'
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=15000; done
curl -sS --noproxy '*' --max-time 20 -X POST -d x -o /dev/null \
	-H "Host: a.example" -H "X-Mesh-Deadline-Ms: 20000" \
	-H "X-Mesh-Request-Id: stays" "http://$(caller_of 0)/slow/1" 2>/dev/null &
began() { [ "$(ran stays)" -ge 1 ]; }
wait_for "it to begin" began
kill -TERM "${NODE_PID[0]}"
wait "${NODE_PID[0]}"
echo "ended with $?"

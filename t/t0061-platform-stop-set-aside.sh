#!/bin/bash
# A node is stopped while requests of a killed entry are set aside at its gate:
# not started, since no link to their entry is left. The node must end by exit.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 ',{"name":"slow","kind":"unsafe","goal_ms":20000,"priority":1,
	"match":{"path_prefix":"/slow/"},"action":{"service":"bookings",
	"timeout_ms":20000,"attempts":2}}'
wait_platform
for i in 1 3 5 7; do server_control $i hold=1; done
running=()
for i in {1..100}; do
	curl -sS --noproxy '*' --max-time 20 -X POST -d x -o /dev/null \
		-H "Host: a.example" -H "X-Mesh-Deadline-Ms: 20000" \
		-H "X-Mesh-Request-Id: book-$i" \
		"http://$(caller_of 0)/slow/1" 2>/dev/null & running+=($!)
done
queued() { [ "$(total gate_queued)" -ge 1 ]; }
wait_for "some to wait" queued
kill_node 0
sleep 0.5
for i in 1 3 5 7; do server_control $i hold=0; done
set_aside() { for i in 1 3 5 7; do [ "$(counter $i gate_set_aside)" -ge 1 ] || continue; node=$i; return; done; false; }
wait_for "some to be set aside" set_aside
kill -TERM "${NODE_PID[$node]}"
wait "${NODE_PID[$node]}"
status=$?
wait "${running[@]}"
echo "ended with $status"

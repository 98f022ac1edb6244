#!/bin/bash
# A node is stopped while its server keeps running; then the server drains as
# well, while it works on a long request. If the node accepted callers until all
# keys have been released, it would cut them off at its stop limit. It must stop
# accepting connections once the platform has noticed that it is not ready, and
# exit when all requests are answered.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 ',{"name":"slow","kind":"safe","goal_ms":400,"priority":2,
	"match":{"path_prefix":"/slow/"},"action":{"service":"records",
	"timeout_ms":9000,"attempts":2}}'
wait_platform
server_control 0 work_ms=4500
key=$(ask "http://$(backend_of 0)/rows" | jq '.[0][0]')
ask -H "Host: a.example" -H "X-Mesh-Request-Id: long" \
	-H "X-Mesh-Deadline-Ms: 9000" -H "X-Mesh-Shard-Key: $key" \
	-o /dev/null -w 'in progress: %{http_code}\n' \
	"http://$(caller_of 3)/slow/1" &
curl_pid=$!
busy() { [ "$(field 0 in_flight)" -ge 1 ]; }
wait_for "work" busy
kill -TERM "${NODE_PID[0]}"
stopping() { ! ask -f "http://$(ready_of 0)/-/readyz"; }
wait_for "it to be not ready" stopping
server_control 0 drain=1
closed() { ! (exec 4<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))") 2>/dev/null; }
wait_for "no new connections" closed
jobs -r -p | grep -q "^$curl_pid$" && echo "no callers while it still works" ||
	echo "took callers until the work was done"
wait $curl_pid
wait "${NODE_PID[0]}"
echo "ended: $?"

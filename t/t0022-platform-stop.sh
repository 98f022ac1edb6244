#!/bin/bash
# A node is stopped while it works on a long request. A second request, sent in
# part before the stop on an open connection, is completed after it. If the node
# accepted the second one, it would be cut off when the process ends, although a
# server works on it. It must be refused as not run at once, and the long
# request must be answered.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=4000; done
platform_config 8 ',{"name":"slow","kind":"safe","goal_ms":400,"priority":2,
	"match":{"path_prefix":"/slow/"},"action":{"service":"bookings",
	"timeout_ms":9000,"attempts":2}}'
known() { [ "$(field 0 configuration_version)" -gt 0 ] && [ "$(call 0 GET /slow/x \
	-H "X-Mesh-Expect-Instance: none" --max-time 0.2 -o /dev/null)" != 404 ]; }
wait_for "the route" known
ask -H "Host: a.example" -H "X-Mesh-Request-Id: long" \
	-H "X-Mesh-Deadline-Ms: 9000" -o /dev/null -w 'in progress: %{http_code}\n' \
	"http://$(caller_of 0)/slow/1" &
curl_pid=$!
busy() { for i in 1 3 5 7; do [ "$(field $i in_flight)" -ge 1 ] && return; done; false; }
wait_for "work" busy
exec 3<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))"
printf 'GET /list/1 HTTP/1.1\r\nHost: a.example\r\n' >&3
kill -TERM "${NODE_PID[0]}"
closed() { ! (exec 4<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))") 2>/dev/null; }
wait_for "no new connections" closed
printf 'X-Mesh-Request-Id: late\r\nX-Mesh-Deadline-Ms: 9000\r\n\r\n' >&3
head -1 <&3 | tr -d '\r'
exec 3>&-
wait $curl_pid
wait "${NODE_PID[0]}" 2>/dev/null
echo "late one ran $(ran late)"

#!/bin/bash
# While a node is paused, a caller sends five lookups behind its first one and
# leaves at once. None of the five may be sent to a gate.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 ',{"name":"slow","kind":"safe","goal_ms":400,"priority":2,
	"match":{"path_prefix":"/slow/"},"action":{"service":"bookings",
	"timeout_ms":15000,"attempts":2}}'
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=5000; done
get() {
	printf 'GET /slow/%s HTTP/1.1\r\nHost: a.example\r\n' "$1"
	printf 'X-Mesh-Request-Id: %s\r\nX-Mesh-Deadline-Ms: 15000\r\n\r\n' "$1"
}
exec 3<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))"
get one >&3
began() { [ "$(ran one)" -ge 1 ]; }
wait_for "the first to begin" began
kill -STOP "${NODE_PID[0]}"
for id in two three four five six; do get $id; done | cat >&3
exec 3>&-
sleep 0.7
kill -CONT "${NODE_PID[0]}"
abandoned() { [ "$(total requests_abandoned)" -ge 1 ]; }
wait_for "its leaving to be noticed" abandoned
sleep 0.3
call 0 GET /list/after >/dev/null
echo "gates got: $(($(total gate_received) - 1)) of six"
n=0; for id in two three four five six; do n=$((n + $(ran $id))); done
echo "servers began of the five behind: $n"

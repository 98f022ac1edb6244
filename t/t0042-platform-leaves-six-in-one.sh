#!/bin/bash
# A caller pipelines six lookups in one segment and leaves while the first is
# worked on. None of the others may be started.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 ',{"name":"slow","kind":"safe","goal_ms":20000,"priority":2,
	"match":{"path_prefix":"/slow/"},"action":{"service":"bookings",
	"timeout_ms":20000,"attempts":2}}'
wait_platform
for i in 1 3 5 7; do server_control $i hold=1; done
get() {
	printf 'GET /slow/%s HTTP/1.1\r\nHost: a.example\r\n' "$1"
	printf 'X-Mesh-Request-Id: %s\r\nX-Mesh-Deadline-Ms: 15000\r\n\r\n' "$1"
}
sum=0
sent=$(total gate_received)
for i in {1..10}; do
	exec 3<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))"
	for id in 1 2 3 4 5 6; do get "row-$i-$id"; done >"$DIR/six"
	cat "$DIR/six" >&3
	began() { [ "$(ran "row-$i-1")" = 1 ]; }
	wait_for "the first to begin" began
	exec 3>&-
	is_idle() { local i s=0; for i in $NODES; do s=$((s + $(field $i in_flight))); done; [ $s -eq 0 ]; }
	wait_for "their end" is_idle
	for id in 2 3 4 5 6; do sum=$((sum + $(ran "row-$i-$id"))); done
done
echo "of 50 behind the first ran: $sum"
echo "of 50 behind the first sent to a gate: $(($(total gate_received) - sent - 10))"

#!/bin/bash
# A caller pipelines two lookups and leaves while the answer to the first has
# stalled halfway. The second lookup must be cancelled, too.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 ',{"name":"slow","kind":"safe","goal_ms":20000,"priority":2,
	"match":{"path_prefix":"/slow/"},"action":{"service":"bookings",
	"timeout_ms":20000,"attempts":2}}'
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=1500; done
get() {
	printf 'GET /slow/%s HTTP/1.1\r\nHost: a.example\r\n' "$1"
	printf 'X-Mesh-Request-Id: %s\r\nX-Mesh-Deadline-Ms: 20000\r\n\r\n' "$1"
}
began() { [ "$(ran "$1")" -ge 1 ]; }
exec 3<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))"
get first >&3
wait_for "the first to begin" began first
for i in 1 3 5 7; do server_control $i "work_ms=9000&stall=1"; done
get second >&3
wait_for "the second to begin" began second
cancelled() { local i n=0; for i in 1 3 5 7; do n=$((n + $(server_stat $i cancelled))); done; echo $n; }
head -c 100000 <&3 | head -n 1
echo "cancelled while their caller waits: $(cancelled)"
exec 3>&-
sleep 2
echo "cancelled 2 s after it left: $(cancelled)"

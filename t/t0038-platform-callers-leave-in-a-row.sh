#!/bin/bash
# A caller pipelines six lookups in one segment and leaves while the first is
# worked on. None of the others may be sent to a gate.
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
for id in one two three four five six; do get $id; done | cat >&3
began() { [ "$(ran one)" -ge 1 ]; }
wait_for "the first to begin" began
exec 3>&-
abandoned() { [ "$(total requests_abandoned)" -ge 1 ]; }
wait_for "its leaving to be noticed" abandoned
is_idle() {
	local i
	for i in $NODES; do
		[ "$(field "$i" in_flight)" = 0 ] || return 1
	done
}
wait_for "nothing to be in progress" is_idle
# Once this request is answered, the node has handled the events before it.
call 0 GET /list/after >/dev/null
echo "gates got: $(($(total gate_received) - 1)) of six"

#!/bin/bash
# A caller pipelines three slow lookups on one connection. Served one after the
# other, the third would take three times as long as one. They must be worked on
# together and answered in their order, each with its own answer. A request that
# may not be repeated must wait for its turn, since the caller sends it again if
# the connection ends before.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=3000; done
# get ID [HEADER]
get() {
	printf 'GET /list/%s HTTP/1.1\r\nHost: a.example\r\n%s' "$1" "${2:-}"
	printf 'X-Mesh-Request-Id: %s\r\nX-Mesh-Deadline-Ms: 15000\r\n\r\n' "$1"
}
platform_config 8 ',{"name":"slow","kind":"safe","goal_ms":400,"priority":2,
	"match":{"path_prefix":"/list/"},"action":{"service":"bookings",
	"timeout_ms":15000,"attempts":2}},{"name":"once","kind":"unsafe",
	"goal_ms":400,"priority":1,"match":{"path_prefix":"/once/"},
	"action":{"service":"bookings","timeout_ms":15000,"attempts":2}}'
in_force() {
	[ "$(ask "http://$(operator_of 0)/configuration" | jq .document.source)" = 8 ]
}
wait_for "version 8" in_force
in_progress() {
	local i sum=0
	for i in 1 3 5 7; do sum=$((sum + $(field $i in_flight))); done
	[ $sum -ge "$1" ]
}
exec 3<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))"
get one >&3
wait_for "the first to begin" in_progress 1
get two >&3
get three >&3
wait_for "three to be worked on" in_progress 3
echo "three worked on together"
printf 'POST /once/1 HTTP/1.1\r\nHost: a.example\r\nX-Mesh-Request-Id: four\r\nX-Mesh-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\nhi' >&3
echo "not to be repeated, ran before its turn: $(ran four)"
get five $'Connection: close\r\n' >&3
grep -a -o -e 'HTTP/1.1 [0-9]*' -e 'X-Mesh-Request-Id: [a-z]*' <&3
exec 3>&-
echo "and after the third, once: $(ran four)"

# Two requests in one segment: the node does not see the second until it has
# answered the first. It does see one that arrives later, and must not start it
# twice.
exec 3<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))"
{ get six; get seven; } | cat >&3
wait_for "the first to begin" in_progress 1
get eight $'Connection: close\r\n' >&3
wait_for "the last to begin" in_progress 2
grep -a -o -e 'HTTP/1.1 [0-9]*' -e 'X-Mesh-Request-Id: [a-z]*' <&3
exec 3>&-
for id in one two three five six seven eight; do echo "$id ran $(ran $id)"; done

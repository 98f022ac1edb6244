#!/bin/bash
# Operators add routes several times, up to 4,600. A request for any of them
# must not be answered 404.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 1
wait_platform
routes() {
	local i
	for i in $(seq "$1"); do
		printf ',{"name":"route-%d","kind":"safe","goal_ms":400,"priority":2,
"match":{"path_prefix":"/route-%d/"},"action":{"service":"bookings",
"timeout_ms":1500,"attempts":2}}' "$i" "$i"
	done
}
VERSION=1
# publish N: the first configuration with N routes added.
publish() {
	VERSION=$((VERSION + 1))
	platform_config "$VERSION" "$(routes "$1")"
}
in_force() {
	local i
	for i in $NODES; do
		[ "$(ask "http://$(operator_of "$i")/configuration" |
			jq .document.source)" = "$VERSION" ] || return 1
	done
}
for n in 1500 3000 4600; do
	publish $n
	LIMIT_S=20 wait_for "$n routes more" in_force
	call 1 GET "/route-$n/1" -o /dev/null
	call 1 GET "/route-$n-no/1" -o /dev/null
done
# Some routes are removed, and those left are served.
publish 4590
LIMIT_S=20 wait_for "fewer routes" in_force
call 1 GET /route-4591/1 -o /dev/null
call 1 GET /route-4590/1 -o /dev/null
# A process that starts must read them back.
kill_node 0
start_platform_node 0 records hakata
wait_for "it to be ready" ask -f "http://$(ready_of 0)/-/readyz"
call 0 GET /route-4590/1 -o /dev/null

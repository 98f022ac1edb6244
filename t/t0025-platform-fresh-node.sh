#!/bin/bash
# A process starts after operators have published several times, and gets the
# records from its peers in pieces. While only older configurations have
# arrived, a caller that asks for a route of the newest one must be told "not
# run", so that it retries. After a 404 it would give up for good.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
filler=$(for i in $(seq 700); do
	printf ',{"name":"filler-%d","kind":"safe","goal_ms":400,"priority":2,
"match":{"path_prefix":"/filler-%d/"},"action":{"service":"bookings",
"timeout_ms":1500,"attempts":2}}' "$i" "$i"
done)
newest=',{"name":"new","kind":"safe","goal_ms":400,"priority":2,
"match":{"path_prefix":"/new/"},"action":{"service":"bookings",
"timeout_ms":1500,"attempts":2}}'
in_force() { [ "$(operators_version 0)" = "$1" ]; }
operators_version() {
	ask "http://$(operator_of "$1")/configuration" | jq .document.source
}
for version in 1 2 3 4 5; do
	platform_config $version "$filler"
	wait_for "version $version" in_force $version
done
platform_config 6 "$newest"
for i in $NODES; do
	known() { [ "$(operators_version "$i")" = 6 ]; }
	wait_for "version 6 at node $i" known
done
wait_platform
ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?busy=1"
kill -KILL "${NODE_PID[0]}"
wait "${NODE_PID[0]}" 2>/dev/null
start_platform_node 0 records hakata
answers=
served() {
	local status
	status=$(call 0 GET /new/1 -o /dev/null)
	answers="$answers $status"
	[ "$status" = 200 ]
}
wait_for "the newest route" served
case "$answers" in
*404*) echo "refused as if there were no such route" ;;
*) echo "served, and never refused as if there were no such route" ;;
esac

#!/bin/bash
# Every long poll at the store stalls for good, and so does each node's only
# source of new records, though new connections work. The next change of an
# operator must still be in force within seconds, not only when the longest of
# those polls times out.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
operators_version() {
	ask "http://$(operator_of "$1")/configuration" | jq .document.source
}
in_force_everywhere() {
	local i
	for i in $NODES; do
		[ "$(operators_version "$i")" = "$1" ] || return 1
	done
}
platform_config 7
wait_platform
# A new record ends all waiting reads, so those that follow have just begun.
platform_config 8
wait_for "version 8" in_force_everywhere 8
ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?deaf=1"
platform_config 9
began=$SECONDS
wait_for "version 9" in_force_everywhere 9
if [ $((SECONDS - began)) -lt 8 ]; then
	echo "in force everywhere within seconds"
else
	echo "in force everywhere after $((SECONDS - began)) s"
fi

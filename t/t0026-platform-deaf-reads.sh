#!/bin/bash
# Every read that waits at the store goes silent for good, and so does each
# node's only way to hear of news, though new connections work. An operator's
# next change must be in force within seconds, and not only when the longest
# wait of those reads is over.
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
# News ends every read that waits, so all of those that follow are young.
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

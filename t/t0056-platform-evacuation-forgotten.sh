#!/bin/bash
# An evacuation is taken back while the store is away and forgets its history.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 1
wait_platform
out() {
	ask "http://$(operator_of 1)/configuration" |
		jq -c '[.document.source, (.document.data_centres | length)]'
}
is_out() { [ "$(out)" = "$1" ]; }
put evacuate/hakata "{}"
wait_for "the evacuation" is_out "[1,1]"
ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?down=1"
sleep 1
put evacuate/hakata
platform_config 2
ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?trim=1"
ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?down=0"
version() { [ "$(out | jq '.[0]')" = 2 ]; }
LIMIT_S=30 wait_for "the configuration" version
out

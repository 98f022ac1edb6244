#!/bin/bash
# Operators end an evacuation while the store is down, and the store trims its
# history, so that no node can read the record that ended it. The evacuation
# must end all the same.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 1
wait_platform
source_and_data_centres() {
	ask "http://$(operator_of 1)/configuration" |
		jq -c '[.document.source, (.document.data_centres | length)]'
}
configuration_is() { [ "$(source_and_data_centres)" = "$1" ]; }
put evacuate/hakata "{}"
wait_for "the evacuation" configuration_is "[1,1]"
ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?down=1"
sleep 1
put evacuate/hakata
platform_config 2
ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?trim=1"
ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?down=0"
new_version_in_force() { [ "$(source_and_data_centres | jq '.[0]')" = 2 ]; }
LIMIT_S=30 wait_for "the configuration" new_version_in_force
source_and_data_centres

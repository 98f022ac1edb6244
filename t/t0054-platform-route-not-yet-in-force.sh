#!/bin/bash
# Operators have added a route, but the log does not accept the change yet. A
# request for the route must be served all the same.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 1
wait_platform
call 1 GET /none/1 -o /dev/null
ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?refuse=1"
platform_config 2 ',{"name":"late","kind":"safe","goal_ms":400,"priority":2,
"match":{"path_prefix":"/late/"},"action":{"service":"bookings",
"timeout_ms":1500,"attempts":2}}'
is_read() {
	[ "$(ask "http://$(operator_of 1)/metrics" |
		awk '$1=="published_source"{p=$2} $1=="configuration_source"{c=$2}
			END{print (p > c)}')" = 1 ]
}
wait_for "the change to be read" is_read
call 1 GET /late/1 -o /dev/null
call 1 GET /list/1 -o /dev/null
ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?refuse=0"
served() { [ "$(call 1 GET /late/1 -o /dev/null)" = 200 ]; }
LIMIT_S=20 wait_for "the route" served
call 1 GET /none/1 -o /dev/null

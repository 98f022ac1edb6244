#!/bin/bash
# Headers within the limit that operators configured must not be answered 431.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 1
put config "$(
	put() { printf %s "$2" | jq -c '.version = 2 | .limits.max_header_bytes = 65536'; }
	platform_config 1)"
wait_platform
is_two() { [ "$(ask "http://$(operator_of 1)/configuration" |
	jq .document.limits.max_header_bytes)" = 65536 ]; }
wait_for "the limit" is_two
for n in 8000 24000 40000 60000; do
	call 1 GET /list/1 -H "X-Pad: $(printf '%*s' $n '' | tr ' ' x)" -o /dev/null
done

#!/bin/bash
# A backend server ends, and another one is at its address before the node beside
# it has heard. That one turns away whatever names the other, by the status alone.
# Callers would be handed that answer, one after the other, until a heartbeat came;
# they must be served elsewhere instead, and nothing must run twice.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin"
platform_config 7
wait_platform
server_control 1 "mute=1&crash=1"
for n in $(seq 1 30); do
	REQUEST_ID=id-$n call 0 GET "/list/$n" -o /dev/null
	REQUEST_ID=no-$n call 1 POST "/book/$n" -o /dev/null
done | sort | uniq -c | sed 's/^ *//'
for n in $(seq 1 30); do ran no-$n; done | sort -u
is_avoided() { [ "$(server_stat 1 misdirected)" -le 3 ]; }
is_avoided || server_stat 1 misdirected; is_avoided && echo "not asked for long"
# Its heartbeats come again: another life, which joins and is used.
server_control 1 mute=0
is_used_again() { call 0 GET /list/x -o /dev/null >/dev/null && [ "$(server_stat 1 served)" -gt 0 ]; }
wait_for "the new life to be used" is_used_again
echo "used again"

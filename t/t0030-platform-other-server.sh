#!/bin/bash
# A backend server restarts, and its node has not yet received a heartbeat of
# the new instance. The new instance rejects requests that name the previous
# one, by status alone. Until a heartbeat arrived, callers would get that status
# one after the other. They must be served by other servers, and nothing may run
# twice.
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
# Heartbeats resume: the new instance joins the fleet and gets requests.
server_control 1 mute=0
is_used_again() { call 0 GET /list/x -o /dev/null >/dev/null && [ "$(server_stat 1 served)" -gt 0 ]; }
wait_for "the new life to be used" is_used_again
echo "used again"

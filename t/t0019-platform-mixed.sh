#!/bin/bash
# A backend server sends bad answers: one that belongs to another request, one
# without its signature, or none at all after the work is done. No caller may
# get such an answer as its own. A lookup must be retried elsewhere; a booking
# must not be, since it may have run.
. "$(dirname "$0")/lib-platform.sh"
EXTRA_SETTINGS='"log_format": "json",'
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
bookings() { for i in 1 3 5 7; do server_control $i "$1"; done; }
for fault in wrong_id unsigned lose; do
	echo "# $fault"
	bookings "$fault=1"
	REQUEST_ID=$fault call 0 POST /book/1 -o /dev/null
	echo "ran $(ran "$fault")"
	bookings "$fault=0"
	server_control 1 "$fault=1"
	for n in 1 2 3 4 5 6; do call 1 GET /list/1 -o /dev/null; done |
		sort | uniq -c | sed 's/^ *//'
	bookings "$fault=0"
done
# Each refused answer is told with what was asked for.
refused() { cat "$DIR"/node-*.log | grep '"event":"gate_failed".*"fault":"[^"]'; }
[ "$(refused | grep -c .)" -ge 3 ] && echo "bad answers were told"
echo "told without a fingerprint: $(refused | grep -c '"fingerprint":"0*"')"

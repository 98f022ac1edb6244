#!/bin/bash
# A server refuses a booking, and sends the refusal once more where the answer to
# the booking's next sending is expected. No booking is told "not run" that runs.
. "$(dirname "$0")/lib-platform.sh"
start_store
dcs=(hakata tenjin kurume kitakyu)
services=(records bookings records bookings)
for i in 0 1 2 3; do start_platform_node $i "${services[$i]}" "${dcs[$i]}"; done
N=4
for i in 0 2 3; do start_platform_server $i; done
start_faulty_server 1
platform_config 7
wait_platform
# The other gate turns bookings away without asking its server.
server_control 3 limit=0
names_limit() { call 0 POST /book/a -D - -o /dev/null | grep -qi '^server-limit: 0'; }
wait_for "its limit" names_limit
for ((k = 0; k < 200; k++)); do
	REQUEST_ID=again-$k call 0 POST "/book/refuse-once-$k" -o /dev/null >"$DIR/status"
	echo "$(cat "$DIR/status") ran $(call_server 1 "/ran/again-$k")"
done >"$DIR/outcomes"
sort "$DIR/outcomes" | uniq -c >&2
echo "told not run, and ran: $(grep -c '^503 ran [1-9]' "$DIR/outcomes")"
echo "ran twice: $(grep -c 'ran [2-9]' "$DIR/outcomes")"
again=$(counter 1 gate_sent_again)
[ "${again:-0}" -gt 0 ] && echo "some were sent again, over other connections"

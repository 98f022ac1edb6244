#!/bin/bash
# A backend server reports a new instance while it still works on requests sent
# before, so its node joins the fleet as a new member. The removal of the old
# member does not mean that its process has ended: entries that assumed so would
# cancel requests in flight.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=1000; done
member_id() { status_of 1 | jq -r '.members[] | select(.host == "host-1") | .id'; }
before=$(member_id)
for n in 1 2 3 4 5 6; do
	call 3 GET "/list/$n" -o /dev/null >>"$DIR/codes" &
	waits="${waits:-} $!"
done
busy() { [ "$(field 1 in_flight)" -ge 1 ] || [ "$(field 3 in_flight)" -ge 1 ]; }
wait_for "work" busy
for i in 1 3 5 7; do server_control $i crash=1; done
rejoined() { [ "$(member_id)" != "$before" ]; }
wait_for "it to join anew" rejoined
wait $waits
sort "$DIR/codes" | uniq -c | sed 's/^ *//'
for i in 1 3 5 7; do server_stat $i cancelled; done | awk '{n+=$1} END{print "broken off", n}'

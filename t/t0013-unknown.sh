#!/bin/bash
# A backend server runs a booking, and its connection breaks before the answer.
# The caller must be told "unknown", and sending the booking again must not run
# it a second time.
. "$(dirname "$0")/lib.sh"
start_log
start_fleet "bookings" "hakata tenjin kurume kitakyu"
wait_ready examples/kinwaku.json
for i in $NODES; do
	ask -X POST "http://$(backend_of "$i")/control?drop=1" >/dev/null
done
code "http://$(caller_of 0)/bookings" -X POST -H 'Idempotency-Key: b-1' -d x
code "http://$(caller_of 1)/bookings" -X POST -H 'Idempotency-Key: b-1' -d x
code "http://$(caller_of 2)/bookings" -X POST -H 'Idempotency-Key: b-1' -d x
echo "ran $(ledger b-1)"

echo "# the owner is lost: an id that it may have run stays unknown"
for i in $NODES; do
	ask -X POST "http://$(backend_of "$i")/control?drop=0" >/dev/null
done
code "http://$(caller_of 0)/bookings" -X POST -H 'Idempotency-Key: b-2' -d x
owner=$(owner_index bookings b-2)
via=$(((owner + 1) % 4))
kill_node "$owner"
wait_for "its expulsion" members_are $via 3
wait_for "the shards" all_held bookings 64
code "http://$(caller_of $via)/bookings" -X POST -H 'Idempotency-Key: b-2' -d x
echo "ran $(ledger b-2)"
echo "# an id made after the loss is known to be new"
id_time=$(printf '%012x' $((($(date +%s) + 3600) * 1000)))
id="${id_time:0:8}-${id_time:8:4}-7cc3-98c4-dc0c0c07398f"
code "http://$(caller_of $via)/bookings" -X POST -H "Idempotency-Key: $id" -d x
echo "ran $(ledger "$id")"

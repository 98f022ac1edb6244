#!/bin/bash
# Requests of each kind travel from a caller through two nodes to a backend
# server, each a separate process: a lookup, a booking that is sent again under
# its id, a download, uploads and invalid input.
. "$(dirname "$0")/lib.sh"
start_log
start_fleet "records bookings gallery archive" "hakata tenjin kurume kitakyu"
wait_ready examples/kinwaku.json

echo "# a lookup, asked of every node, comes from one backend server"
for i in $NODES; do
	code "http://$(caller_of "$i")/records/frame-7?x=1"
done | sort | uniq -c | sed 's/^ *//'
cat "$DIR/body"

echo "# a booking sent three times under one id runs once"
for i in 1 6 11; do
	code "http://$(caller_of $i)/bookings" -X POST -d 'gild it' \
		-H 'Idempotency-Key: booking-1'
	cat "$DIR/body"
	grep -i '^briargrade-replayed' "$DIR/head" | tr -d '\r'
done
echo "ran $(ledger booking-1)"

echo "# a deposit under the same id is another matter"
code "http://$(caller_of 3)/deposits" -X POST -d '5000' \
	-H 'Idempotency-Key: booking-1'
echo "ran $(ledger booking-1)"

echo "# a download, compared byte for byte"
code "http://$(caller_of 0)/photos/a.jpg?bytes=7340033"
ask -o "$DIR/direct" "http://$(backend_of 2)/photos/a.jpg?bytes=7340033"
cmp "$DIR/body" "$DIR/direct" && echo same

echo "# headers end to end, a whole body up"
head -c 500000 /dev/zero | code "http://$(caller_of 9)/records/r-1" -X PUT \
	--data-binary @- -H 'Expect:'
cat "$DIR/body"
head -c 2000000 /dev/zero | code "http://$(caller_of 9)/records/r-1" -X PUT \
	--data-binary @- -H 'Expect:'

echo "# bad input"
code "http://$(caller_of 0)/nothing"
cat "$DIR/body"
code "http://$(caller_of 0)/records/"
cat "$DIR/body"
code "http://$(caller_of 0)/records/x" -X DELETE
code "http://$(caller_of 0)/records/$(head -c 600 /dev/zero | tr '\0' k)"
printf 'junk' >/dev/tcp/127.0.0.1/$((BASE_PORT + 2))
has_lease 0 && echo "still there"

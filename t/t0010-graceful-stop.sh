#!/bin/bash
# Two nodes are stopped with SIGTERM under load. No request in flight may be cut
# off, and their keys must move without a failure for any caller.
. "$(dirname "$0")/lib.sh"
start_log
start_fleet "records bookings" "hakata tenjin kurume kitakyu"
wait_ready examples/kinwaku.json
"$BIN/load" --target "$(caller_of 0)" --target "$(caller_of 3)" \
	--rate 200 --seconds 5 >"$DIR/lookups" &
a=$!
"$BIN/load" --target "$(caller_of 0)" --target "$(caller_of 3)" \
	--rate 100 --seconds 5 --path /bookings --method POST --ids \
	--print-ids "$DIR/ids" >"$DIR/bookings" &
b=$!
sent_some() { [ "$(total gate_admitted)" -gt 100 ]; }
wait_for "load" sent_some
kill -TERM "${NODE_PID[4]}" "${NODE_PID[5]}"
wait "${NODE_PID[4]}"
echo "exit $?"
wait "${NODE_PID[5]}"
echo "exit $?"
wait $a $b
sed -n '1p' "$DIR/lookups"
sed -n '1p' "$DIR/bookings"
echo "ran twice: $(ran_twice | wc -l)"
wait_for "the others" members_are 0 6
grep -h -c 'stopped, nothing in progress' "$DIR/node-4.log" "$DIR/node-5.log"

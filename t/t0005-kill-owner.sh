#!/bin/bash
# The nodes of two backend servers are killed under load. Their keys may be
# unserved for a moment, but no booking may run twice, and none that ran may be
# reported as not run.
. "$(dirname "$0")/lib.sh"
start_log
start_fleet "records bookings" "hakata tenjin kurume kitakyu"
wait_ready examples/kinwaku.json

owner=$(owner_index records frame-7 1)
booker=1
[ "$owner" = 0 ] && via=2 || via=0
"$BIN/load" --target "$(caller_of $via)" --target "$(caller_of 4)" \
	--rate 100 --seconds 6 --path /bookings --method POST --ids \
	--print-ids "$DIR/ids" >"$DIR/load.out" &
load=$!
sent_some() { [ "$(total gate_admitted)" -gt 50 ]; }
wait_for "load" sent_some
kill_node "$owner"
kill_node $booker
both_expelled() { members_are "$via" $((N - 2)); }
wait_for "both to be expelled" both_expelled
echo "both expelled"
wait_for "every shard of bookings" all_held bookings 64
wait_for "every shard of records" all_held records 64
code "http://$(caller_of 4)/records/frame-7"
wait $load
awk '{print $1}' "$DIR/ids" | sort | uniq -d | wc -l
echo "ran twice: $(ran_twice | wc -l)"
for i in $NODES; do
	ask "http://$(backend_of "$i")/ledger" 2>/dev/null
done | awk '{print $1}' | sort >"$DIR/ran"
awk '$2=="answered"{print $1}' "$DIR/ids" | sort >"$DIR/answered"
awk '$2=="not-run"{print $1}' "$DIR/ids" | sort >"$DIR/not-run"
echo "answered and not run: $(comm -23 "$DIR/answered" "$DIR/ran" | wc -l)"
echo "told not run, and ran: $(comm -12 "$DIR/not-run" "$DIR/ran" | wc -l)"

echo "# started again, they join anew and get their share back"
start_node "$owner" "${NODE_SERVICE[$owner]}" "${NODE_DC[$owner]}"
start_node $booker bookings "${NODE_DC[$booker]}"
ask -X POST "http://$(backend_of "$owner")/control?announce=1" >/dev/null
ask -X POST "http://$(backend_of $booker)/control?announce=1" >/dev/null
wait_for "them to join" members_are "$via" $N
wait_for "balance" balanced
wait_for "shards" all_held records 64
echo balanced

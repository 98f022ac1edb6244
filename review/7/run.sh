#!/bin/bash
# A server deregisters, and its leaving is acknowledged. Then the process of the
# node beside it is killed and started again while the server goes on serving,
# and a heartbeat that the server sent before it left arrives late. The new
# process must send the server nothing. TROUBLE=0 leaves out the kill.
. "$(dirname "$0")/../src-2/fleet.sh"
DRAIN_MS=2000
IN_TOUCH_MS=3000 # stable_window_ms
LATE_MS=3000     # the heartbeat arrives this long after it was sent
SERVES_MS=10000  # the server serves this long after its leaving
LEAVES=1         # a server of bookings

start_fleet
id=$(ask "http://$(address $LEAVES 4)/id")
control $LEAVES mute=1
sleep 0.5
heartbeat=$(ask "http://$(address $LEAVES 4)/heartbeat")
sent=$(now_ms)
note "server $id sends a heartbeat that will be late: $heartbeat"
status=$(ask -o /dev/null -w '%{http_code}' -X POST -H 'Content-Type: application/json' \
	--data-binary "{\"born\":$(born_of "$heartbeat")}" \
	"http://$(address $LEAVES 6)/-/instances/$id/deregister")
acked=$(now_ms)
note "its deregistration is answered $status"
[ "$status" = 200 ] || fail "no acknowledgement"
in_touch=$acked
if [ "$TROUBLE" = 1 ]; then
	sleep 0.3
	kill -9 "${NODE[$LEAVES]}"
	note "node $LEAVES is killed"
	sleep 0.5
	start_node $LEAVES
	in_touch=$(($(now_ms) + IN_TOUCH_MS))
	note "node $LEAVES is started again"
fi

# Bookings come to the other nodes meanwhile, some 20 a second.
(
	n=0
	while [ "$(now_ms)" -lt $((acked + SERVES_MS)) ]; do
		for i in 0 2 3 5 7; do
			n=$((n + 1))
			t=$(now_ms)
			(echo "sent $t r$t-$n to node $i, answered $(send "$i" POST \
				"/book/$n" "r$t-$n" -d body)" >>"$DIR/sent.txt") &
		done
		sleep 0.2
	done
	wait
) &
clients=$!
while [ "$(now_ms)" -lt $((sent + LATE_MS)) ]; do sleep 0.05; done
status=$(ask -o /dev/null -w '%{http_code}' -X POST -H 'Content-Type: application/json' \
	--data-binary "$heartbeat" "http://$(address $LEAVES 6)/-/instances/$id/heartbeat")
note "the late heartbeat arrives, answered $status"
wait $clients

ledger $LEAVES >"$DIR/ledger.txt"
sort -k2n "$DIR/sent.txt" >>"$RECORD"
sed 's/^/run by the server that left: /' "$DIR/ledger.txt" >>"$RECORD"
bound=$((acked + DRAIN_MS))
[ $bound -ge $in_touch ] || bound=$in_touch
# The time at which a client sent a request stands in its id.
late=$(awk -v b=$bound '{split(substr($1, 2), t, "-"); if (t[1] > b) n++} END {print n + 0}' \
	"$DIR/ledger.txt")
note "bookings sent: $(wc -l <"$DIR/sent.txt")," \
	"answered 200: $(grep -c ' 200$' "$DIR/sent.txt")"
note "sent later than $((bound - acked)) ms after the acknowledgement, with all" \
	"machines in touch, and run by the server that left: $late"
[ "$late" -eq 0 ] && finish 0
finish 1

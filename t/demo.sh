#!/bin/bash
# Runs the whole example Kinwaku on loopback: lookups, bookings and downloads
# while a data centre is taken out of service and back and a node is killed.
# Then prints what callers and backend servers measured.
if ! pkg-config --exists glib-2.0 jansson libxxhash msgpack libmicrohttpd \
	libcurl libzmq zlib 2>/dev/null; then
	echo "packages are missing; see README.md" >&2
	exit 1
fi
. "$(dirname "$0")/lib.sh"
cd "$TOP" || exit 1
echo "starting 16 nodes, 16 backend servers and the log ..."
start_log
start_fleet "records bookings gallery archive" "hakata tenjin kurume kitakyu" \
	--slots 20 --connections 130 --cold-ms 2000
wait_ready examples/kinwaku.json
briargrade status --node "$(operator_of 0)" | sed -n '1,22p'

targets="--target $(caller_of 0) --target $(caller_of 5) --target $(caller_of 10)"
echo "callers: 200 lookups, 50 bookings and 10 downloads a second for 20 s"
"$BIN/load" $targets --rate 200 --seconds 20 >"$DIR/lookups" &
a=$!
"$BIN/load" $targets --rate 50 --seconds 20 --path /bookings --method POST \
	--ids --print-ids "$DIR/ids" >"$DIR/bookings" &
b=$!
"$BIN/load" $targets --rate 10 --seconds 20 \
	--path "/photos/%d.jpg?bytes=200000" >"$DIR/downloads" &
c=$!
sleep 3
echo "hakata goes out of service"
briargrade data-centre --node "$(operator_of 2)" --reason demo out hakata
sleep 4
echo "hakata comes back"
briargrade data-centre --node "$(operator_of 2)" --reason demo in hakata
sleep 4
echo "the node at kurume's records server is killed"
kill_node 8
wait $a $b $c

echo
for kind in lookups bookings downloads; do
	echo "$kind: $(tr '\n' ';' <"$DIR/$kind" | sed 's/;$//; s/;/; /g')"
done
echo "bookings that ran twice: $(ran_twice | wc -l)"
echo "imbalance of records (most shards over mean): $(status_of 0 |
	jq '[.members[] | select(.service=="records") | .shards] |
		(max / (add / length) * 100 | round) / 100')"
echo "ownership changes (shards acquired, all nodes): $(total shards_acquired)"
echo "longest time a key went unserved, ms: $(awk '$1=="longest_gap_ms"{print $2}' "$DIR/lookups") (lookups)"
echo "records appended to the log: $(log_stat appends)"
echo
echo "the trail of changes, its end:"
briargrade audit --node "$(operator_of 0)" | tail -n 8 | cut -c1-150

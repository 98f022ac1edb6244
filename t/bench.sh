#!/bin/bash
# Measures the cost of routing, throughput, idle load, recovery and publishing,
# in one run, and prints medians of TIMES measurements or single ones. Arguments
# select sections:
# t/bench.sh hops throughput idle recovery configuration
. "$(dirname "$0")/lib.sh"
cd "$TOP" || exit 1
SECTIONS=${*:-hops throughput idle recovery configuration}
TIMES=${TIMES:-5}
now_ms() { date +%s%3N; }

rss_kb() { awk '$1=="VmRSS:"{print $2}' "/proc/$1/status"; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

hops() {
	local n
	start_log
	start_fleet "records" "hakata tenjin kurume kitakyu" --slots 60 \
		--work-ms 1
	wait_ready examples/kinwaku.json
	"$BIN/load" --target "$(caller_of 0)" --rate 500 --seconds 3 >/dev/null
	for ((n = 0; n < TIMES; n++)); do
		"$BIN/load" --target "$(backend_of 0)" --rate 1000 --seconds 3 \
			>>"$DIR/direct"
		"$BIN/load" --target "$(caller_of 0)" --rate 1000 --seconds 3 \
			>>"$DIR/routed"
	done
	echo "1,000 lookups/s, medians of $TIMES runs in turn"
	for n in p50_ms p99_ms; do
		echo "  $n direct $(values_of $n "$DIR/direct" | median)" \
			"routed $(values_of $n "$DIR/routed" | median)"
	done
	stop_fleet
}

throughput() {
	local rate n
	start_log
	start_node 0 records hakata
	start_backend 0 --slots 200 --connections 200 --work-ms 0
	N=1
	NODES=" 0"
	wait_for "the node" members_are 0 1
	publish examples/kinwaku.json 0 >/dev/null
	wait_for "shards" all_held records 64
	"$BIN/load" --target "$(caller_of 0)" --rate 2000 --seconds 15 >/dev/null
	echo "one node, entry and gate, by rate offered (one run each)"
	for rate in 4000 8000 10000 12000; do
		t0=$(cpu_ticks "${NODE_PID[0]}")
		"$BIN/load" --target "$(caller_of 0)" --rate $rate --seconds 4 \
			>"$DIR/one"
		t1=$(cpu_ticks "${NODE_PID[0]}")
		echo "  $rate/s: $(sed -n 1p "$DIR/one") $(sed -n 2p "$DIR/one")" \
			"core share $(((t1 - t0) * 100 / 400))%"
	done
	stop_fleet
}

# fleet_of N: starts N nodes of one service in four data centres.
fleet_of() {
	local i dcs=(hakata tenjin kurume kitakyu)
	for ((i = 0; i < $1; i++)); do
		start_node $i records "${dcs[$((i % 4))]}"
		start_backend $i
		[ $((i % 16)) = 15 ] && sleep 0.3
	done
	N=$1
}

idle_at() {
	local i a b ta tb size=$1 seconds=20
	start_log
	fleet_of "$size"
	jq ".services[0].shards=$((size * 4))" examples/kinwaku.json \
		>"$DIR/conf.json"
	for i in $NODES; do
		wait_for "node $i" members_are "$i" "$size"
	done
	publish "$DIR/conf.json" 0 >/dev/null
	wait_for "witnesses" witnessed
	wait_for "balance" balanced
	sleep 8
	a=$(total control_bytes_out)
	b=$(total control_bytes_in)
	ta=$(for i in $NODES; do cpu_ticks "${NODE_PID[$i]}"; done | paste -sd+ | bc)
	sleep $seconds
	tb=$(for i in $NODES; do cpu_ticks "${NODE_PID[$i]}"; done | paste -sd+ | bc)
	a=$(($(total control_bytes_out) - a))
	b=$(($(total control_bytes_in) - b))
	echo "  $size nodes: control out $((a / seconds / size)) B/s," \
		"in $((b / seconds / size)) B/s," \
		"core share $(echo "scale=2; ($tb - $ta) / $seconds / $size" | bc)%," \
		"links $(for i in $NODES; do field "$i" links; done | median)," \
		"resident $(for i in $NODES; do rss_kb "${NODE_PID[$i]}"; done |
			median) kB," \
		"log records $(log_stat next)"
	stop_fleet
}

idle() {
	local size
	echo "idle nodes, per node, over 20 s"
	for size in ${SIZES:-4 16 64}; do
		idle_at "$size"
	done
}

others_acquired() {
	local i sum=0
	for i in $NODES; do
		[ "$i" = "$1" ] || sum=$((sum + $(counter "$i" shards_acquired)))
	done
	echo $sum
}

# one_recovery LOG_DOWN: kills the owner of a key and records the time in ms to
# the next answer for the key.
one_recovery() {
	local down=$1 owner via t0 key=frame-$RANDOM acquired
	owner=$(owner_index records $key 0)
	via=$(((owner + 1) % 4))
	acquired=$(others_acquired "$owner")
	if [ "$down" = 1 ]; then
		log_control down=1
		log_seen_down() { [ "$(field $via log_up)" = false ]; }
		wait_for "the outage to be noticed" log_seen_down
	fi
	t0=$(now_ms)
	kill -9 "${NODE_PID[$owner]}"
	until ask -f -m 5 -o /dev/null "http://$(caller_of $via)/records/$key" \
		2>/dev/null; do
		:
	done
	echo $(($(now_ms) - t0)) >>"$DIR/recovery-$down"
	log_control down=0
	wait "${NODE_PID[$owner]}" 2>/dev/null
	wait_for "expulsion" members_are $via 3
	wait_for "shards" all_held records 64
	wait_for "balance" balanced
	sleep 1
	echo $(($(others_acquired "$owner") - acquired)) >>"$DIR/moved"
	start_node "$owner" records "${NODE_DC[$owner]}"
	wait_for "the node" members_are $via 3
	ask -X POST "http://$(backend_of "$owner")/control?announce=1" >/dev/null
	wait_for "the node" members_are $via 4
	wait_for "balance" balanced
	wait_for "witnesses" witnessed
}

recovery() {
	local n down appends
	start_log
	start_fleet "records" "hakata tenjin kurume kitakyu"
	wait_ready examples/kinwaku.json
	appends=$(log_stat appends)
	for ((n = 0; n < TIMES; n++)); do
		one_recovery 0
		one_recovery 1
	done
	for down in 0 1; do
		echo "kill -9 to first answer, log $([ $down = 1 ] && echo down ||
			echo up), ms: median $(median <"$DIR/recovery-$down")," \
			"all $(sort -n "$DIR/recovery-$down" | paste -sd' ')"
	done
	echo "  shards acquired for each loss of 16 (16 is the least):" \
		"median $(median <"$DIR/moved")"
	echo "  appends for each loss and return:" \
		"$((($(log_stat appends) - appends) / TIMES / 2))"
	stop_fleet
}

configuration() {
	local n i t0 v cutoff=3
	start_log
	start_fleet "records bookings gallery archive" \
		"hakata tenjin kurume kitakyu"
	wait_ready examples/kinwaku.json
	for ((n = 0; n < TIMES; n++)); do
		t0=$(now_ms)
		v=$(briargrade target --node "$(operator_of 0)" \
			--target-ms $((40 + n)) lookup | awk '{print $3}')
		for i in $NODES; do
			until version_is "$i" "$v"; do :; done
		done
		echo $(($(now_ms) - t0)) >>"$DIR/config"
	done
	echo "publish to in force on 16 nodes, ms (asking takes part of it):" \
		"median $(median <"$DIR/config"), all $(sort -n "$DIR/config" |
			paste -sd' ')"
	stop_fleet
}

echo "cores $(nproc), $(uname -m)"
for s in hops throughput idle recovery configuration; do
	section_selected $s && $s
done
exit 0

#!/bin/bash
# Compares the policy under load and faults with a plain baseline (round robin,
# fixed limit, no hedging), in one run, at the sizes of the two example fleets.
# Prints a table and, if gnuplot is installed, draws the goodput into
# build/report.svg.
. "$(dirname "$0")/lib.sh"
cd "$TOP" || exit 1
SECTIONS=${*:-straggler goodput cold leave}
SITES=${SITES:-kinwaku registry}
SECONDS_EACH=${SECONDS_EACH:-6}
TIMES=${TIMES:-3}
PLAIN='"hedge": false, "limit": "fixed", "choice": "turns",'
# site NAME: sets services, data centres and sizes of an example fleet.
site() {
	if [ "$1" = kinwaku ]; then
		CONF=examples/kinwaku.json KEYED=records FREE=archive
		KEYED_PATH=/records/%d FREE_PATH=/archive/%d
		DCS="hakata tenjin kurume kitakyu" OUT_DC=hakata
		SLOTS=20 CONNECTIONS=130 PROBE=1
	else
		CONF=examples/registry.json KEYED=tagdesk FREE=logbook
		KEYED_PATH=/tags/%d FREE_PATH=/logbook/%d
		DCS="lagos badagry bonny calabar" OUT_DC=lagos
		SLOTS=10 CONNECTIONS=110 PROBE=6
	fi
}

# fleet POLICY SERVICES WORK_MS [OPTION...]: starts a fleet; the options are for
# its backend servers.
fleet() {
	local policy=$1 services=$2 work=$3
	shift 3
	EXTRA_SETTINGS=
	[ "$policy" = plain ] && EXTRA_SETTINGS=$PLAIN
	start_log
	start_fleet "$services" "$DCS" --slots $SLOTS \
		--connections $CONNECTIONS --probe-ms $PROBE --work-ms "$work" "$@"
	wait_ready $CONF
}

targets() {
	local i
	for i in $NODES; do echo --target "$(caller_of "$i")"; done
}

warm_up() {
	"$BIN/load" $(targets) --rate "$1" --seconds 4 --path "$2" >/dev/null
}

# Stalls backend server 0 for 150 ms twice a second, until $DIR/stalling is
# removed.
stall_bursts() {
	touch "$DIR/stalling"
	while [ -e "$DIR/stalling" ]; do
		ask -X POST "http://$(backend_of 0)/control?stall_ms=150" \
			>/dev/null 2>&1
		sleep 0.5
	done
}

straggler_one() {
	local policy=$1 service=$2 path=$3 n pid
	fleet "$policy" "$service" 2
	warm_up 400 "$path"
	for ((n = 0; n < TIMES; n++)); do
		"$BIN/load" $(targets) --rate 400 --seconds "$SECONDS_EACH" \
			--path "$path" >>"$DIR/calm-$policy-$service"
		stall_bursts &
		pid=$!
		"$BIN/load" $(targets) --rate 400 --seconds "$SECONDS_EACH" \
			--path "$path" >>"$DIR/burst-$policy-$service"
		rm -f "$DIR/stalling"
		wait $pid
	done
	for n in p50_ms p99_ms p999_ms; do
		printf '  %-8s %-8s %-8s without %-8s with %s\n' "$service" \
			"$policy" $n \
			"$(values_of $n "$DIR/calm-$policy-$service" | median)" \
			"$(values_of $n "$DIR/burst-$policy-$service" | median)"
	done
	stop_fleet
}

straggler() {
	local policy
	echo "$1: 1 of 4 backend servers stalls 150 ms twice a second, 400/s," \
		"medians of $TIMES"
	for policy in plain policy; do
		straggler_one $policy $FREE "$FREE_PATH"
		straggler_one $policy $KEYED "$KEYED_PATH"
	done
}

goodput_one() {
	local policy=$1 capacity=$2 share rate
	fleet "$policy" $FREE 20
	warm_up $((capacity / 4)) "$FREE_PATH"
	for share in 0.5 1 1.5 3; do
		rate=$(echo "$capacity * $share / 1" | bc)
		"$BIN/load" $(targets) --rate "$rate" \
			--seconds "$SECONDS_EACH" --path "$FREE_PATH" \
			>"$DIR/goodput"
		printf '  %-8s x%-4s answered %s/s within p99 %s ms; %s\n' \
			"$policy" $share \
			"$(($(values_of answered "$DIR/goodput") / SECONDS_EACH))" \
			"$(values_of p99_ms "$DIR/goodput")" \
			"$(sed -n 1p "$DIR/goodput")"
		echo "$share $(($(values_of answered "$DIR/goodput") / SECONDS_EACH))" \
			>>"$OUT/goodput-$policy.dat"
	done
	stop_fleet
}

goodput() {
	local policy capacity=$((4 * SLOTS * 1000 / 20))
	echo "$1: goodput at shares of capacity ($capacity/s), one run each"
	rm -f "$OUT"/goodput-*.dat
	for policy in plain policy; do
		goodput_one $policy $capacity
	done
}

cold_one() {
	local policy=$1 i
	fleet "$policy" $FREE 20 --cold-ms 5000
	warm_up $((SLOTS * 40)) "$FREE_PATH"
	sleep 5
	# All four servers get cold caches unannounced, under half the load that
	# they can serve with warm ones.
	for i in $NODES; do
		ask -X POST "http://$(backend_of "$i")/control?cold=1" >/dev/null
	done
	"$BIN/load" $(targets) --rate $((4 * SLOTS * 25)) --seconds 10 \
		--path "$FREE_PATH" >"$DIR/cold"
	printf '  %-8s fell over %s times; answered %s of %s, p99 %s ms\n' \
		"$policy" "$(for i in $NODES; do
			ask "http://$(backend_of "$i")/stats" |
				awk '$1=="overloads"{print $2}'
		done | paste -sd+ | bc)" "$(values_of answered "$DIR/cold")" \
		"$(values_of sent "$DIR/cold")" "$(values_of p99_ms "$DIR/cold")"
	stop_fleet
}

cold() {
	local policy
	echo "$1: four servers turn cold at once under half load, one run each"
	for policy in plain policy; do
		cold_one $policy
	done
}

leave_one() {
	local policy=$1 pid
	fleet "$policy" $KEYED 2
	warm_up 400 "$KEYED_PATH"
	"$BIN/load" $(targets) --rate 400 --seconds 12 --path "$KEYED_PATH" \
		>"$DIR/leave" &
	pid=$!
	sleep 2
	briargrade data-centre --node "$(operator_of 2)" out $OUT_DC >/dev/null
	sleep 4
	briargrade data-centre --node "$(operator_of 2)" in $OUT_DC >/dev/null
	wait $pid
	printf '  %-8s %s; %s\n' "$policy" "$(sed -n 1p "$DIR/leave")" \
		"$(sed -n '2,3p' "$DIR/leave" | paste -sd' ')"
	printf '  %-8s shards acquired in all %s\n' "$policy" \
		"$(total shards_acquired)"
	stop_fleet
}

leave() {
	local policy
	echo "$1: a data centre leaves and returns under 400 lookups/s, one run"
	for policy in plain policy; do
		leave_one $policy
	done
}

plot() {
	command -v gnuplot >/dev/null && [ -e "$OUT/goodput-policy.dat" ] ||
		return 0
	gnuplot <<EOF
set terminal svg size 600,400
set output "$OUT/report.svg"
set xlabel "load offered, share of capacity"
set ylabel "answered a second"
plot "$OUT/goodput-plain.dat" with linespoints title "baseline", \
     "$OUT/goodput-policy.dat" with linespoints title "policy"
EOF
}

echo "cores $(nproc)"
for s in $SITES; do
	site "$s"
	for section in straggler goodput cold leave; do
		section_selected $section && $section "$s"
	done
done
plot
exit 0

#!/bin/bash
# A server sends bytes that are no answer, without end, until its caller closes
# the connection. Callers are told at once where no answer can follow, others are
# served meanwhile, and memory stays as it is.
. "$(dirname "$0")/lib-platform.sh"
start_store
dcs=(hakata tenjin kurume kitakyu)
for i in 0 1 2 3; do
	start_platform_node $i "$([ $i = 1 ] && echo bookings || echo records)" "${dcs[$i]}"
done
N=4
for i in 0 2 3; do start_platform_server $i; done
start_faulty_server 1
platform_config 7 "$(long_rule slow unsafe bookings)"
wait_platform
KINDS="endless-line endless-header endless-headers endless-1xx endless-size
	endless-chunk
	endless-trailer garbage"
MOST_KB=4096
rss_kb() { awk '$1=="VmRSS:"{print $2}' "/proc/${NODE_PID[$1]}/status"; }
# faulty N KIND [PATH]: N requests, five at a time; prints how they ended.
faulty() {
	local n=$1 kind=$2 path=${3:-/slow/} k waits=
	rm -f "$DIR"/ended-*
	for ((k = 0; k < 5; k++)); do
		for ((j = 0; j < n / 5; j++)); do
			DEADLINE_MS=${MS:-14000} call 0 POST "$path$kind" -o /dev/null \
				-w '%{http_code} %{time_total}\n'
		done >"$DIR/ended-$k" 2>/dev/null &
		waits="$waits $!"
	done
	wait $waits
	cat "$DIR"/ended-? | awk -v soon="${SOON:-5}" '
		{ s = $1; if ($2 >= soon) s = s " late"; n[s]++ }
		END { for (s in n) print "  " s ": " n[s] }' | sort
}
# Others are served all the while.
others() {
	local key=0
	while [ -e "$DIR/go" ]; do
		key=$(((key + 997) % 65536))
		call 0 GET /look/x -H "X-Mesh-Shard-Key: $key" -o /dev/null
	done >"$DIR/others"
}
for kind in $KINDS; do faulty 10 $kind >/dev/null; done
before0=$(rss_kb 0) before1=$(rss_kb 1)
touch "$DIR/go"
others &
others=$!
for kind in $KINDS; do
	echo "$kind"
	faulty 125 $kind
done
echo "endless-refusal, told before the deadline"
MS=1500 faulty 125 endless-refusal /book/
echo "endless-body, until the deadline"
MS=1500 faulty 50 endless-body /book/
rm "$DIR/go"
wait $others
left() { [ "$(faulty_stat 1 endless_open)" = 0 ]; }
wait_for "connections to close" left
served=$(grep -c '^200' "$DIR/others")
all=$(grep -c . "$DIR/others")
[ "$all" -gt 100 ] && echo "others not served: $((all - served))"
grew0=$(($(rss_kb 0) - before0)) grew1=$(($(rss_kb 1) - before1))
echo "entry grew by $grew0 kB, gate by $grew1 kB, others $all" >&2
[ $grew0 -lt $MOST_KB ] && [ $grew1 -lt $MOST_KB ] && echo "memory is as before"

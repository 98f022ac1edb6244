#!/bin/bash
# Gates are paused for six seconds while their servers work on bookings, so the
# links to them are closed before the answers are sent. The callers must get the
# answers soon after.
COLD_PER_S=1000
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 "$(long_rule once unsafe bookings)"
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=2000; done
for i in {1..12}; do
	ask --max-time 25 -X POST -d x -o /dev/null \
		-H "Host: a.example" -H "X-Mesh-Deadline-Ms: 20000" \
		-H "X-Mesh-Request-Id: book-$i" -w '%{http_code}\n' \
		"http://$(caller_of 0)/once/1" >"$DIR/book-$i" &
done
all_begun() {
	local i
	for i in {1..12}; do [ "$(ran "book-$i")" -ge 1 ] || return 1; done
}
wait_for "all to begin" all_begun
pause_nodes 1 3 5 7
sleep 6
resume_nodes 1 3 5 7
# The deadline of the bookings is 20 s.
sleep 5
echo "of 12 answered 200: $(cat "$DIR"/book-* | grep -c 200)"
echo "ran twice: $(ran_twice)"

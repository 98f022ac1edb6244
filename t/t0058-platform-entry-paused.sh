#!/bin/bash
# An entry is paused while its bookings are answered and their deadlines pass.
# When it resumes, it must pass on the answers that have arrived, not answer
# 504.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=600; done
running=()
for i in {1..10}; do
	REQUEST_ID="book-$i" call 0 POST "/book/$i" -d x -o /dev/null \
		>"$DIR/book-$i" & running+=($!)
done
all_begun() {
	local i
	for i in {1..10}; do [ "$(ran "book-$i")" -ge 1 ] || return 1; done
}
wait_for "all to begin" all_begun
kill -STOP "${NODE_PID[0]}"
sleep 2
kill -CONT "${NODE_PID[0]}"
wait "${running[@]}"
cat "$DIR"/book-* | sort | uniq -c | sed 's/^ *//'

#!/bin/bash
# A node is stopped while lookups and bookings that it has sent are queued at
# other gates for longer than its stop limit. Each must get an answer.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 ',{"name":"slow","kind":"unsafe","goal_ms":20000,"priority":1,
	"match":{"path_prefix":"/slow/"},"action":{"service":"bookings",
	"timeout_ms":20000,"attempts":2}},{"name":"late","kind":"safe",
	"goal_ms":20000,"priority":2,"match":{"path_prefix":"/late/"},
	"action":{"service":"bookings","timeout_ms":20000,"attempts":2}}'
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=9000; done
running=()
for i in {1..80}; do
	ask --max-time 20 -X POST -d x -o /dev/null -H "Host: a.example" \
		-H "X-Mesh-Deadline-Ms: 20000" -H "X-Mesh-Request-Id: first-$i" \
		"http://$(caller_of 2)/slow/1" & running+=($!)
done
queued() { [ "$(total gate_queued)" -ge "$1" ]; }
wait_for "the slots to be taken" queued 8
waiting=()
for i in {1..10}; do
	ask --max-time 20 -o /dev/null -w 'lookups answered %{http_code}\n' \
		-H "Host: a.example" -H "X-Mesh-Deadline-Ms: 20000" \
		-H "X-Mesh-Request-Id: look-$i" "http://$(caller_of 0)/late/1" \
		>"$DIR/look-$i" 2>&1 & waiting+=($!)
	ask --max-time 20 -X POST -d x -o /dev/null \
		-w 'bookings answered %{http_code}\n' -H "Host: a.example" \
		-H "X-Mesh-Deadline-Ms: 20000" -H "X-Mesh-Request-Id: book-$i" \
		"http://$(caller_of 0)/slow/1" >"$DIR/book-$i" 2>&1 & waiting+=($!)
done
wait_for "more to wait" queued 28
kill -TERM "${NODE_PID[0]}"
wait "${NODE_PID[0]}"
wait "${waiting[@]}"
cat "$DIR"/look-* "$DIR"/book-* | sort | uniq -c | sed 's/^ *//'

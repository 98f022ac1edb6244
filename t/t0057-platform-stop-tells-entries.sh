#!/bin/bash
# A node is stopped while the bookings in flight at its server take longer than
# the stop limit. Of the bookings at its gate, only those that were started may
# be answered 504, and at the stop, not at their deadline.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 ',{"name":"slow","kind":"unsafe","goal_ms":20000,"priority":1,
	"match":{"path_prefix":"/slow/"},"action":{"service":"bookings",
	"timeout_ms":20000,"attempts":2}}'
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=13000; done
running=()
for i in {1..120}; do
	ask --max-time 25 -X POST -d x -o /dev/null -H "Host: a.example" \
		-H "X-Mesh-Deadline-Ms: 20000" -H "X-Mesh-Request-Id: book-$i" \
		-w '%{http_code} %{time_total}\n' \
		"http://$(caller_of 2)/slow/1" >"$DIR/book-$i" & running+=($!)
done
waiting_at_gate() { [ "$(counter 1 gate_queued)" -ge 1 ]; }
wait_for "some to wait at the gate" waiting_at_gate
kill -TERM "${NODE_PID[1]}"
wait "${NODE_PID[1]}"
wait "${running[@]}"
ask "http://$(backend_of 1)/ledger" >"$DIR/ledger"
n_504_unbegun=0 n_504_late=0 n_504_begun=0
for i in {1..120}; do
	read -r status s <"$DIR/book-$i"
	[ "$status" = 504 ] || continue
	[ "$(ran "book-$i")" -ge 1 ] || n_504_unbegun=$((n_504_unbegun + 1))
	grep -q "^book-$i " "$DIR/ledger" || continue
	n_504_begun=$((n_504_begun + 1))
	# Answered at the stop, after about 6 s, not at the deadline of 20 s.
	[ "${s%.*}" -lt 15 ] || n_504_late=$((n_504_late + 1))
done
[ $n_504_begun -ge 1 ] && echo "those begun there told 504"
echo "late $n_504_late, others that were not begun $n_504_unbegun"

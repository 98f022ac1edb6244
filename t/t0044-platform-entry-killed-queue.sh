#!/bin/bash
# Lookups are queued at gates behind long work, and the entry that sent them is
# killed. None of them may be started.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 ',{"name":"slow","kind":"safe","goal_ms":20000,"priority":2,
	"match":{"path_prefix":"/slow/"},"action":{"service":"bookings",
	"timeout_ms":20000,"attempts":2}}'
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=3000; done
look() {
	exec curl -sS --noproxy '*' --max-time 20 -o /dev/null \
		-H "Host: a.example" -H "X-Mesh-Deadline-Ms: 20000" \
		-H "X-Mesh-Request-Id: $1" "http://$(caller_of $2)/slow/1" \
		2>/dev/null
}
running=()
for i in {1..80}; do look "first-$i" 0 & running+=($!); done
queued() { [ "$(total gate_queued)" -ge "$1" ]; }
wait_for "the slots to be taken" queued 8
leaving=()
for i in {1..20}; do look "second-$i" 2 & leaving+=($!); done
wait_for "more to wait" queued 28
kill_node 2
wait "${leaving[@]}"
wait "${running[@]}"
sum() { local i n=0; for i in $(seq "$2"); do n=$((n + $(ran "$1-$i"))); done; echo $n; }
echo "of 80 that stayed ran: $(sum first 80)"
echo "of 20 whose entry was killed ran: $(sum second 20)"

#!/bin/bash
# Bookings are queued at the gates behind long work, and their callers leave.
# None of these bookings may be started.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 ',{"name":"slow","kind":"unsafe","goal_ms":20000,"priority":1,
	"match":{"path_prefix":"/slow/"},"action":{"service":"bookings",
	"timeout_ms":20000,"attempts":2}}'
wait_platform
for i in 1 3 5 7; do server_control $i hold=1; done
# book ID: one booking whose caller waits up to 20 s.
book() {
	exec curl -sS --noproxy '*' --max-time 20 -X POST -d x -o /dev/null \
		-H "Host: a.example" -H "X-Mesh-Deadline-Ms: 20000" \
		-H "X-Mesh-Request-Id: $1" "http://$(caller_of 0)/slow/1"
}
running=()
for i in {1..80}; do book "first-$i" & running+=($!); done
queued() { [ "$(total gate_queued)" -ge "$1" ]; }
wait_for "the slots to be taken" queued 8
leaving=()
for i in {1..20}; do book "second-$i" & leaving+=($!); done
wait_for "more to wait" queued 28
before=$(begun second-)
kill "${leaving[@]}"
abandoned() { [ "$(total requests_abandoned)" -ge 20 ]; }
wait_for "their leaving to be noticed" abandoned
for i in 1 3 5 7; do server_control $i hold=0; done
wait "${running[@]}"
sum() { local i n=0; for i in $(seq "$2"); do n=$((n + $(ran "$1-$i"))); done; echo $n; }
echo "of 80 that stayed ran: $(sum first 80)"
echo "of 20 that left ran: $(($(sum second 20) - before))"

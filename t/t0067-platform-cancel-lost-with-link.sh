#!/bin/bash
# Gates are paused for six seconds while their servers work on lookups. The
# callers of the lookups leave, and the cancellations are queued behind long
# bookings and lost with the links. The servers must be told soon after.
COLD_PER_S=1000
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 "$(long_rule slow safe bookings)$(long_rule once unsafe bookings)"
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=15000; done
lookups=()
for i in {1..8}; do
	curl -s --noproxy '*' --max-time 25 -o /dev/null \
		-H "Host: a.example" -H "X-Mesh-Deadline-Ms: 20000" \
		-H "X-Mesh-Request-Id: look-$i" \
		"http://$(caller_of 0)/slow/1" & lookups+=($!)
done
all_begun() {
	local i
	for i in {1..8}; do [ "$(ran "look-$i")" -ge 1 ] || return 1; done
}
wait_for "all to begin" all_begun
for i in 1 3 5 7; do server_control $i work_ms=10; done
head -c 1000000 /dev/zero >"$DIR/long"
before=$(counter 0 requests_received)
pause_nodes 1 3 5 7
for i in {1..48}; do
	ask --max-time 25 -X POST --data-binary @"$DIR/long" -o /dev/null \
		-H "Host: a.example" -H "X-Mesh-Deadline-Ms: 20000" \
		-H "X-Mesh-Request-Id: long-$i" -w '%{http_code}\n' \
		"http://$(caller_of 0)/once/1" >"$DIR/long-$i" &
done
received() { [ "$(counter 0 requests_received)" -ge $((before + 48)) ]; }
wait_for "the bookings to be sent" received
for p in "${lookups[@]}"; do kill "$p"; done
abandoned() { [ "$(counter 0 requests_abandoned)" -ge 8 ]; }
wait_for "their leaving to be noticed" abandoned
sleep 6
resume_nodes 1 3 5 7
# The servers work until 15 s, the deadline is 20 s.
sleep 5
n=0
for i in 1 3 5 7; do n=$((n + $(server_stat $i cancelled))); done
echo "of 8 lookups cancelled at their servers: $n"

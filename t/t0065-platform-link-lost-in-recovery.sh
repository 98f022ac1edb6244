#!/bin/bash
# Gates are paused for six seconds and, half a second after they resume, for six
# seconds again, so the links are lost once more while what was lost with them
# is settled. The callers must be answered soon after, and no booking run twice.
COLD_PER_S=1000
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 "$(long_rule once unsafe bookings 30000)"
wait_platform
head -c 1000000 /dev/zero >"$DIR/long"
before=$(counter 0 requests_received)
pause_nodes 1 3 5 7
for i in {1..12}; do
	ask --max-time 35 -X POST --data-binary @"$DIR/long" -o /dev/null \
		-H "Host: a.example" -H "X-Mesh-Deadline-Ms: 30000" \
		-H "X-Mesh-Request-Id: long-$i" -w '%{http_code}\n' \
		"http://$(caller_of 0)/once/1" >"$DIR/long-$i" &
done
received() { [ "$(counter 0 requests_received)" -ge $((before + 12)) ]; }
wait_for "them to be sent" received
sleep 6
resume_nodes 1 3 5 7
sleep 0.5
pause_nodes 1 3 5 7
sleep 6
resume_nodes 1 3 5 7
# The deadline of the bookings is 30 s.
sleep 5
echo "of 12 answered: $(cat "$DIR"/long-* | grep -c '[1-9]')"
echo "ran twice: $(ran_twice)"

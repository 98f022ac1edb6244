#!/bin/bash
# Two owners of keys are paused for six seconds. The links to them are closed
# while long bookings are half sent, and others take their keys over. The callers
# must be answered soon after the owners resume, and no booking may run twice or
# be refused as not run although it ran.
COLD_PER_S=1000
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 "$(long_rule once unsafe records)"
wait_platform
head -c 1000000 /dev/zero >"$DIR/long"
before=$(counter 1 requests_received)
pause_nodes 2 4
for i in {1..24}; do
	ask --max-time 25 -X POST --data-binary @"$DIR/long" -o /dev/null \
		-H "Host: a.example" -H "X-Mesh-Deadline-Ms: 20000" \
		-H "X-Mesh-Shard-Key: $((i * 2700))" \
		-H "X-Mesh-Request-Id: long-$i" -w '%{http_code}\n' \
		"http://$(caller_of 1)/once/1" >"$DIR/long-$i" &
done
received() { [ "$(counter 1 requests_received)" -ge $((before + 24)) ]; }
wait_for "them to be sent" received
sleep 6
resume_nodes 2 4
# The deadline of the bookings is 20 s.
sleep 5
echo "of 24 answered: $(cat "$DIR"/long-* | grep -c '[1-9]')"
echo "ran twice: $(ran_twice)"
n=0
for i in {1..24}; do
	! grep -q 503 "$DIR/long-$i" || n=$((n + $(ran "long-$i")))
done
echo "refused and ran: $n"

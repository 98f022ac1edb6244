#!/bin/bash
# Lookups are sent, and their callers leave, while the node is paused, so that
# it reads them only afterwards. None may be started.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=500; done
get() {
	printf 'GET /list/%s HTTP/1.1\r\nHost: a.example\r\n' "$1"
	printf 'X-Mesh-Request-Id: %s\r\nX-Mesh-Deadline-Ms: 15000\r\n\r\n' "$1"
}
leave_unread() {
	exec 3<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))"
	for id in "$@"; do get "$id"; done | cat >&3
	exec 3>&-
}
before=$(total gate_received)
kill -STOP "${NODE_PID[0]}"
for i in {1..30}; do leave_unread "alone-$i"; done
for i in {1..30}; do leave_unread "row-$i-1" "row-$i-2" "row-$i-3"; done
sleep 1
kill -CONT "${NODE_PID[0]}"
exec 3<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))"
get last >&3
last_began() { [ "$(ran last)" = 1 ]; }
wait_for "a later caller's to begin" last_began
sleep 1
sum() { local i n=0; for i in {1..30}; do n=$((n + $(ran "${1/N/$i}"))); done; echo $n; }
echo "of 30 alone ran: $(sum alone-N)"
echo "of 90 in a row ran: $(($(sum row-N-1) + $(sum row-N-2) + $(sum row-N-3)))"
echo "sent to gates: $(($(total gate_received) - before - 1))"

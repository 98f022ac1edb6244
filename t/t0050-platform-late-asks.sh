#!/bin/bash
# Lookups reach paused gates about a second late, and their cancellations are
# queued on the links behind long bodies. Unlike in t0041, the gates have
# received requests from this entry before. None of the lookups may be started.
COLD_PER_S=1000
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 ',{"name":"slow","kind":"safe","goal_ms":20000,"priority":2,
	"match":{"path_prefix":"/slow/"},"action":{"service":"bookings",
	"timeout_ms":20000,"attempts":2}},{"name":"once","kind":"unsafe",
	"goal_ms":20000,"priority":1,"match":{"path_prefix":"/once/"},
	"action":{"service":"bookings","timeout_ms":20000,"attempts":2}}'
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=500; done
get() {
	printf 'GET /slow/%s HTTP/1.1\r\nHost: a.example\r\n' "$1"
	printf 'X-Mesh-Request-Id: %s\r\nX-Mesh-Deadline-Ms: 20000\r\n\r\n' "$1"
}
for i in 1 2 3 4 5 6 7 8 9 10 11 12; do call 0 GET /list/$i >/dev/null; done
head -c 1000000 /dev/zero >"$DIR/long"
before=$(counter 0 requests_received) admitted=$(total gate_admitted)
for i in 1 3 5 7; do kill -STOP "${NODE_PID[$i]}"; done
fds=() sent=()
for i in {1..12}; do
	exec {fd}<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))"
	fds+=($fd)
	get "gone-$i" >&$fd
done
received() { [ "$(counter 0 requests_received)" -ge $((before + $1)) ]; }
wait_for "them to be sent" received 12
send_long() {
	for fd in "${fds[@]}"; do exec {fd}>&-; done
	ask -X POST --data-binary @"$DIR/long" -o /dev/null -H "Host: a.example" \
		-H "X-Mesh-Deadline-Ms: 20000" -H "X-Mesh-Request-Id: $1" \
		-w '%{http_code}\n' "http://$(caller_of 0)/once/1"
}
for i in {1..12}; do send_long "long-$i" >"$DIR/long-$i" & sent+=($!); done
wait_for "long ones behind them" received 24
for fd in "${fds[@]}"; do exec {fd}>&-; done
abandoned() { [ "$(counter 0 requests_abandoned)" -ge 12 ]; }
wait_for "their leaving to be noticed" abandoned
sleep 0.7
for i in 1 3 5 7; do kill -CONT "${NODE_PID[$i]}"; done
wait "${sent[@]}"
sum=0
for i in {1..12}; do sum=$((sum + $(ran "gone-$i"))); done
echo "of 12 that left ran: $sum"
echo "of 12 that left admitted: $(($(total gate_admitted) - admitted - 12))"
echo "answers to those that stayed:"
cat "$DIR"/long-* | sort | uniq -c | sed 's/^ *//'

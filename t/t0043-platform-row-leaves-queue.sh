#!/bin/bash
# Pipelined lookups are queued at gates behind long work, and their callers
# leave. None of them may be started.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 ',{"name":"slow","kind":"safe","goal_ms":20000,"priority":2,
	"match":{"path_prefix":"/slow/"},"action":{"service":"bookings",
	"timeout_ms":20000,"attempts":2}}'
wait_platform
for i in 1 3 5 7; do server_control $i hold=1; done
get() {
	printf 'GET /slow/%s HTTP/1.1\r\nHost: a.example\r\n' "$1"
	printf 'X-Mesh-Request-Id: %s\r\nX-Mesh-Deadline-Ms: 20000\r\n\r\n' "$1"
}
running=()
for i in {1..80}; do
	curl -sS --noproxy '*' --max-time 20 -o /dev/null -H "Host: a.example" \
		-H "X-Mesh-Deadline-Ms: 20000" -H "X-Mesh-Request-Id: first-$i" \
		"http://$(caller_of 0)/slow/1" & running+=($!)
done
queued() { [ "$(total gate_queued)" -ge "$1" ]; }
wait_for "the slots to be taken" queued 8
fds=()
for i in {1..5}; do
	exec {fd}<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))"
	fds+=($fd)
	{ get "row-$i-1"; get "row-$i-2"; } | cat >&$fd
done
wait_for "the first of each to wait" queued 13
for n in 3 4 5 6; do for i in {1..5}; do get "row-$i-$n" >&${fds[i - 1]}; done; sleep 0.05; done
for fd in "${fds[@]}"; do exec {fd}>&-; done
abandoned() { [ "$(total requests_abandoned)" -ge 5 ]; }
before=$(begun row-)
wait_for "their leaving to be noticed" abandoned
for i in 1 3 5 7; do server_control $i hold=0; done
wait "${running[@]}"
sum=$(($(begun row-) - before))
stayed=0
for i in {1..80}; do stayed=$((stayed + $(ran "first-$i"))); done
echo "of 80 that stayed ran: $stayed"
echo "of 30 that left ran: $sum"

#!/bin/bash
# A backend server cannot serve all requests for one key in time. Those refused
# must be told "not run" with a time for the retry, and must not have run.
. "$(dirname "$0")/lib.sh"
start_log
start_fleet "records" "hakata tenjin kurume kitakyu" --slots 1 --work-ms 300
wait_ready examples/kinwaku.json
for n in $(seq 30); do
	ask -o /dev/null -D "$DIR/head-$n" -X PUT -d x \
		-H "Idempotency-Key: put-$n" \
		"http://$(caller_of $((n % 4)))/records/frame-7" &
	calls="${calls:-} $!"
done
wait $calls
heads() { cat "$DIR"/head-* | tr -d '\r'; }
answered=$(heads | grep -c '^HTTP/1.1 200')
refused=$(heads | grep -c '^HTTP/1.1 503')
echo "answered and refused: $((answered + refused)) of 30"
[ "$answered" -ge 1 ] && [ "$refused" -ge 1 ] && echo "some of each"
echo "refused without a time to come back:" \
	"$((refused - $(heads | grep -c '^Retry-After: [1-9]')))"
echo "refused without saying not run:" \
	"$((refused - $(heads | grep -c '^Briargrade-Outcome: not-run')))"
wrong=0
for n in $(seq 30); do
	ran=$(ledger "put-$n")
	grep -q '^HTTP/1.1 503' "$DIR/head-$n" && [ "$ran" != 0 ] &&
		wrong=$((wrong + 1))
	grep -q '^HTTP/1.1 200' "$DIR/head-$n" && [ "$ran" != 1 ] &&
		wrong=$((wrong + 1))
done
echo "told wrongly: $wrong"

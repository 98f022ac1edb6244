#!/bin/bash
# Bookings for which no server has a free slot are queued until their deadline.
# Each caller must be told in time that its booking has not run.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 ',{"name":"slow","kind":"unsafe","goal_ms":20000,"priority":1,
	"match":{"path_prefix":"/slow/"},"action":{"service":"bookings",
	"timeout_ms":20000,"attempts":2}}'
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=15000; done
for i in {1..80}; do
	ask --max-time 20 -X POST -d x -o /dev/null -H "Host: a.example" \
		-H "X-Mesh-Deadline-Ms: 20000" -H "X-Mesh-Request-Id: first-$i" \
		"http://$(caller_of 2)/slow/1" &
done
queued() { [ "$(total gate_queued)" -ge 8 ]; }
wait_for "the slots to be taken" queued
waiting=()
for i in {1..200}; do
	REQUEST_ID="book-$i" call 0 POST "/book/$i" -d x -o /dev/null \
		>"$DIR/book-$i" &
	waiting+=($!)
	[ $((i % 20)) != 0 ] || sleep 0.05
done
wait "${waiting[@]}"
refused=0 unbegun=0
for i in {1..200}; do
	read -r status <"$DIR/book-$i"
	[ "$status" != 503 ] || refused=$((refused + 1))
	[ "$status" = 504 ] || continue
	[ "$(ran "book-$i")" -ge 1 ] || unbegun=$((unbegun + 1))
done
[ $refused -ge 100 ] && echo "most told 503"
echo "$unbegun told 504 that had not begun"

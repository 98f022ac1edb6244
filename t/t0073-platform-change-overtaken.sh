#!/bin/bash
# Each time that a long change is appended to the fleet's log, another record
# comes first. Its routes must be served 2.5 s after its acknowledgement all the
# same, at each node and by a process that starts then.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 1
wait_platform
many=$(for i in $(seq 2000); do
	printf ',{"name":"route-%d","kind":"safe","goal_ms":400,"priority":2,
"match":{"path_prefix":"/%s-%d/"},"action":{"service":"bookings",
"timeout_ms":1500,"attempts":2}}' "$i" "$(echo $i | md5sum | cut -c1-12)" "$i"
done)
ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?overtake=4096"
platform_config 2 "$many"
sleep 2.5
path=/$(echo 2000 | md5sum | cut -c1-12)-2000/1
for i in $NODES; do
	echo "node $i: $(call "$i" GET "$path" -o /dev/null)"
done
kill_node 0
start_platform_node 0 records hakata
wait_for "it to be ready" ask -f "http://$(ready_of 0)/-/readyz"
# A process that has just started may tell callers to come back.
answer=503
for i in $(seq 20); do
	[ "$answer" = 503 ] || break
	answer=$(call 0 GET "$path" -o /dev/null)
done
echo "started again: $answer"
ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?overtake=0"
in_log() {
	local i
	for i in $NODES; do
		[ "$(ask "http://$(operator_of "$i")/configuration" |
			jq .document.source)" = 2 ] || return 1
	done
}
wait_for "the change to be in the log" in_log
for i in $NODES; do
	echo "node $i: $(call "$i" GET "$path" -o /dev/null)"
done

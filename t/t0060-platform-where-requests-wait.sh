#!/bin/bash
# The time that a request waits on its way to a server must be counted in the
# histogram of the place where it waits.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
# counted NAME: number of entries in a histogram, over all nodes.
counted() {
	local i
	for i in $NODES; do ask "http://$(operator_of "$i")/metrics"; done |
		awk -v n="$1_count" '$1 == n { sum += $2 } END { print sum + 0 }'
}
for k in $(seq 1 10); do call 1 POST "/book/$k" -o /dev/null; done | sort | uniq -c
for place in entry_ms queue_ms connect_ms server_ms again_ms in_vain_ms; do
	echo "$place $(counted $place)"
done

echo "# servers that may not be sent more"
for i in 1 3 5 7; do server_control "$i" cold_ms=60000; done
before=$(field 1 configuration_version)
COLD_PER_S=1 platform_config 8
version_changed() { [ "$(field 1 configuration_version)" -gt "$before" ]; }
wait_for "a rate that few requests exceed" version_changed
n_before=$(server_stat 7 beats)
heartbeats_sent() { [ "$(server_stat 7 beats)" -gt $((n_before + 1)) ]; }
wait_for "a heartbeat that says so" heartbeats_sent
some_retried() {
	local k waits=
	for k in $(seq 1 30); do
		call 1 POST "/book/$k" -o /dev/null >/dev/null &
		waits="$waits $!"
	done
	wait $waits
	[ "$(counted again_ms)" -gt 0 ]
}
wait_for "a request that a second gate was asked for" some_retried
echo "refused before: $([ "$(counted in_vain_ms)" -gt 0 ] && echo yes)"

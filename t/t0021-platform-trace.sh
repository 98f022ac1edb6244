#!/bin/bash
# Three requests fail, each for a different reason, and the logs alone must show
# which: one is refused although servers had free slots, one is lost in the
# restart of a node, and for one booking it is unknown whether it ran.
EXTRA_SETTINGS='"log_format": "json",'
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
# failure_events ID: how a request failed, without what differs between runs.
failure_events() {
	briargrade trace "$1" "$DIR"/node-*.log | sed -E '
		s/^ *[+-][0-9]+ ms +//
		s/host-[0-9]+ +/ /
		s/\[[0-9]+,("[a-z-]+"),[0-9]+\]/\1/g
		s/"not-owner",//g' |
		grep -oE '^ [a-z_]+|why="[^"]*"|cold=true|running=[0-9]+|by_server=true|attempts=.*' |
		tr '\n' ' ' | sed 's/ \(gate\|request\)_/\n\1_/g' |
		sed 's/ *$//' | grep -E '^(gate|request)_(refused|failed|unknown)' |
		grep -v not-owner.*running | sort
}
is_logged() { grep -q "\"event\":\"$2\",\"id\":\"$1\"" "$DIR"/node-*.log; }

echo "# refused though servers had room"
key=$(ask "http://$(backend_of 0)/rows" | jq '.[0][0]')
server_control 0 cold_ms=60000
before=$(field 0 configuration_version)
COLD_PER_S=1 platform_config 8
version_changed() { [ "$(field 0 configuration_version)" -gt "$before" ]; }
wait_for "a rate that few requests exceed" version_changed
n_before=$(server_stat 0 beats)
heartbeats_sent() { [ "$(server_stat 0 beats)" -gt $((n_before + 1)) ]; }
wait_for "a heartbeat that says so" heartbeats_sent
for k in $(seq 1 60); do
	REQUEST_ID=cold-$k call 2 GET /look/1 -H "X-Mesh-Shard-Key: $key" \
		-o /dev/null >>"$DIR/codes" &
	waits="${waits:-} $!"
done
wait $waits
echo "some were: $(grep -q 503 "$DIR/codes" && echo yes)"
id=$(grep -ohE '"request_refused","id":"cold-[0-9]+"' "$DIR"/node-*.log |
	head -1 | grep -oE 'cold-[0-9]+')
failure_events "$id"
server_control 0 cold_ms=0

echo "# lost around a node's restart"
for i in 1 3 5 7; do server_control $i work_ms=1200; done
REQUEST_ID=restart call 3 POST /book/1 -o /dev/null 2>/dev/null &
curl_pid=$!
busy() { for i in 1 3 5 7; do [ "$(field $i in_flight)" -ge 1 ] && return; done; false; }
wait_for "work" busy
kill_node 3
start_platform_node 3 bookings tenjin
wait $curl_pid
echo "the entry went with it: $(is_logged restart request_unknown && echo no || echo yes)"

echo "# unknown outcome of a booking"
wait_for "it to join" members_are 3 8
for i in 1 3 5 7; do server_control $i "work_ms=1&lose=1"; done
REQUEST_ID=unknown call 0 POST /book/1 -o /dev/null
wait_for "the line" is_logged unknown request_unknown
failure_events unknown

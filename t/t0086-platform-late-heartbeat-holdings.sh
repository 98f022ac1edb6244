#!/bin/bash
# A new process gets a late heartbeat of its living server that lists no keys. The
# server leaves; nobody else is granted its keys before its own grants have ended.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
holds_keys() { [ "$(ranges_of "$1")" != "[]" ]; }
others_rows() { for i in 0 4 6; do ask "http://$(backend_of "$i")/rows"; done | jq -c -s add; }
wait_for "keys" holds_keys 2
wait_heartbeats 2 1
hold_back 2
late=$(echo "$HELD" | jq -c '.holds = [] | .status.seq = 1')
kill_node 2
start_platform_node 2 "${NODE_SERVICE[2]}" "${NODE_DC[2]}"
wait_for "it to answer" ask -f "http://$(ready_of 2)/-/readyz"
tell 2 heartbeat "$late"
owns_shards() { [ "$(field 2 shards_held)" -gt 0 ]; }
wait_for "it to own its shards" owns_shards
tell 2 deregister "{\"born\":$(echo "$HELD" | jq .born)}"
twice=0
for ((k = 0; k < 60; k++)); do
	own=$(ask "http://$(backend_of 2)/rows")
	both=$(jq -n --argjson a "$own" --argjson b "$(others_rows)" \
		'[$a[] as $x | $b[] | select(.[0] <= $x[1] and $x[0] <= .[1])] | length')
	[ "$both" = 0 ] || twice=$((twice + 1))
	sleep 0.05
done
echo "looks at which a key was held twice: $twice of 60"
all_held_elsewhere() { [ "$(others_rows | jq '[.[] | .[1] - .[0] + 1] | add')" = 65536 ]; }
wait_for "others to hold all keys" all_held_elsewhere
echo "then others hold all keys"

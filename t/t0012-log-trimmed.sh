#!/bin/bash
# The log keeps records for a limited time. A node that starts after the first
# records were trimmed must load the state from a snapshot, and a running node
# that missed trimmed records must not go back to an older state.
. "$(dirname "$0")/lib.sh"
EXTRA_SETTINGS='"snapshot_interval_ms": 1000,'
start_log
start_fleet "records" "hakata tenjin kurume kitakyu"
wait_ready examples/kinwaku.json
snapshot_at() {
	ask "http://$LOG_ADDRESS/read?from=0&wait_ms=0" |
		jq '[.records[] | select(.record.type=="snapshot") |
			.record.upto] | max // -1'
}
version=$(field 0 configuration_version)
newer() { [ "$(snapshot_at)" -gt "$version" ]; }
wait_for "a snapshot" newer
log_control "trim=$(($(snapshot_at) + 1))"
[ "$(log_stat first)" -gt "$version" ] && echo "the configuration is trimmed"
# Without seeds the new node has no peers to ask: the log is its only source.
SEED_LIST= start_node 4 records kurume
start_backend 4
N=5
wait_for "the new node to join" members_are 4 5
[ "$(field 4 configuration_version)" -eq "$version" ] &&
	echo "the new node has the configuration"
grep -c 'loaded the snapshot' "$DIR/node-4.log"
wait_for "balance" balanced
wait_for "all shards" all_held records 64
code "http://$(caller_of 4)/records/frame-7"

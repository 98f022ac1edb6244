#!/bin/bash
# An owner is cut off from all other nodes, but not from its backend server, the
# log and its callers. It must stop serving its keys before other nodes start to
# serve them, and serve again when the cut ends.
. "$(dirname "$0")/lib.sh"
start_log
start_fleet "records" "hakata tenjin kurume kitakyu"
wait_ready examples/kinwaku.json
owner=$(owner_index records frame-7)
via=$(((owner + 1) % 4))
cut() {
	local i
	for i in $NODES; do
		[ "$i" = "$owner" ] && continue
		ask -X POST "http://$(operator_of "$owner")/test/cut?peer=$(peer_of "$i")&on=$1"
		ask -X POST "http://$(operator_of "$i")/test/cut?peer=$(peer_of "$owner")&on=$1"
	done >/dev/null
}
cut 1
no_lease() { [ "$(field "$owner" lease)" = false ]; }
wait_for "its lease to lapse" no_lease
owner_changed() { [ "$(owner_index records frame-7 $via)" != "$owner" ]; }
wait_for "a successor" owner_changed
code "http://$(caller_of $via)/records/frame-7"
served() { ask "http://$(backend_of "$owner")/stats" | awk '$1=="served"{print $2}'; }
before=$(served)
for n in 1 2 3; do
	code "http://$(caller_of "$owner")/records/frame-$n" |
		grep -q '^200' && echo "served by a node without a lease"
done
echo "its backend server got $(($(served) - before))"
cut 0
wait_for "it to join anew" has_lease "$owner"
wait_for "balance" balanced
wait_for "all shards" all_held records 64
code "http://$(caller_of "$owner")/records/frame-7"

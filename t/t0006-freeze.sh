#!/bin/bash
# An owner's process is paused until its lease has lapsed and its successor
# serves. When it resumes, it must notice the lapse before it serves again.
. "$(dirname "$0")/lib.sh"
start_log
start_fleet "records" "hakata tenjin kurume kitakyu"
wait_ready examples/kinwaku.json
owner=$(owner_index records frame-7)
via=$(((owner + 1) % 4))
kill -STOP "${NODE_PID[$owner]}"
owner_changed() { [ "$(owner_index records frame-7 $via)" != "$owner" ]; }
wait_for "a successor" owner_changed
wait_for "all shards" all_held records 64
code "http://$(caller_of $via)/records/frame-7"
# The paused owner reads these requests only when it resumes.
for n in 1 2 3 4 5; do
	ask -o /dev/null "http://$(caller_of "$owner")/records/frame-7" &
done
sleep 0.2
kill -CONT "${NODE_PID[$owner]}"
wait_for "it to join anew" members_are $via 4
wait_for "its lease" has_lease "$owner"
wait_for "balance" balanced
wait_for "all shards" all_held records 64
code "http://$(caller_of "$owner")/records/frame-7"
lapsed=$(counter "$owner" lease_lapses)
echo "lapses noticed: $([ "$lapsed" -ge 1 ] && echo yes)"
for i in $NODES; do
	ask "http://$(backend_of "$i")/stats" | grep old_fence
done

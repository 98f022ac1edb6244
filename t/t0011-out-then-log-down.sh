#!/bin/bash
# A data centre is taken out of service and the log goes down directly after.
# The change must still spread from node to node, and the shards must still
# move.
. "$(dirname "$0")/lib.sh"
start_log
start_fleet "records" "hakata tenjin kurume kitakyu"
wait_ready examples/kinwaku.json
briargrade data-centre --node "$(operator_of 2)" out hakata |
	sed 's/[0-9]*$/N/'
log_control down=1
hakata_holds_none() { [ "$(field 0 shards_held)" -eq 0 ]; }
wait_for "hakata to give up its shards" hakata_holds_none
wait_for "records held elsewhere" all_held records 64
served() { ask "http://$(backend_of 0)/stats" | awk '$1=="served"{print $2}'; }
before=$(served)
"$BIN/load" --target "$(caller_of 0)" --target "$(caller_of 1)" --rate 100 \
	--seconds 2 | sed -n '1p'
echo "new work in hakata: $(($(served) - before))"
log_control down=0

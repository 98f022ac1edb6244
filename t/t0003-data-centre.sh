#!/bin/bash
# A data centre is taken out of service and brought back. No caller may see a
# failure, and its backend servers must get no new work while it is out.
. "$(dirname "$0")/lib.sh"
start_log
start_fleet "records bookings" "hakata tenjin kurume kitakyu"
wait_ready examples/kinwaku.json

served_in_hakata() {
	local i
	for i in 0 1; do
		ask "http://$(backend_of $i)/stats"
	done | awk '$1=="served"{n+=$2} END{print n}'
}
hakata_holds() { [ "$(field 0 shards_held)" -eq "$1" ] &&
	[ "$(field 1 shards_held)" -eq "$1" ]; }
all_know_out() {
	local i
	for i in $NODES; do
		status_of "$i" | jq -e '.data_centres[] |
			select(.name=="hakata") | .in_service|not' || return 1
	done
}
callers() {
	"$BIN/load" --target "$(caller_of 0)" --target "$(caller_of 3)" \
		--target "$(caller_of 6)" --rate 200 --seconds 2 |
		sed -n '1s/^sent 400 answered 400 .*/400 of 400 answered/;1p'
}

echo "# out"
briargrade data-centre --node "$(operator_of 2)" --reason "flood drill" \
	out hakata | sed 's/[0-9]*$/N/'
wait_for "all nodes to know" all_know_out
wait_for "hakata to give up its shards" hakata_holds 0
wait_for "records held elsewhere" all_held records 64
before=$(served_in_hakata)
callers
echo "new work in hakata: $(($(served_in_hakata) - before))"

echo "# in"
briargrade data-centre --node "$(operator_of 5)" in hakata | sed 's/[0-9]*$/N/'
wait_for "its share of the shards" hakata_holds 16
wait_for "records held" all_held records 64
callers
briargrade audit --node "$(operator_of 7)" | grep -c 'configuration in force'
briargrade data-centre --node "$(operator_of 5)" out nowhere 2>&1
echo "exit $?"

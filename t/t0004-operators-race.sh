#!/bin/bash
# Two operators publish at different nodes, both based on the same version. One
# must be told of the conflict; the other's change must be in force and stay so.
. "$(dirname "$0")/lib.sh"
start_log
start_fleet "records" "hakata tenjin kurume kitakyu"
wait_ready examples/kinwaku.json
base=$(field 0 configuration_version)
jq '.classes[0].target_ms=11' examples/kinwaku.json >"$DIR/a.json"
jq '.classes[0].target_ms=22' examples/kinwaku.json >"$DIR/b.json"
briargrade publish --node "$(operator_of 0)" --base "$base" "$DIR/a.json" \
	>"$DIR/a.out" &
a=$!
briargrade publish --node "$(operator_of 1)" --base "$base" "$DIR/b.json" \
	>"$DIR/b.out" &
b=$!
wait $a
ra=$?
wait $b
rb=$?
echo "exit statuses together: $((ra + rb))"
cat "$DIR/a.out" "$DIR/b.out" | sed 's/[0-9][0-9]*/N/g' | sort
won=11
[ $ra = 0 ] || won=22
same() {
	local i
	for i in $NODES; do
		[ "$(ask "http://$(operator_of "$i")/configuration" |
			jq .document.classes[0].target_ms)" = $won ] || return 1
	done
}
wait_for "the same everywhere" same
echo "the accepted one is in force on every node"
briargrade publish --node "$(operator_of 2)" --base "$base" "$DIR/a.json" |
	sed 's/[0-9][0-9]*/N/g'
briargrade target --node "$(operator_of 2)" --target-ms 33 lookup |
	sed 's/[0-9][0-9]*/N/g'
won=33
wait_for "the new target" same
briargrade target --node "$(operator_of 2)" --target-ms 33 nothing 2>&1
echo "exit $?"

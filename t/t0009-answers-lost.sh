#!/bin/bash
# The log accepts a write and its answer is lost. The operator must be told that
# the change is in force, and the change must not be applied twice.
. "$(dirname "$0")/lib.sh"
start_log
start_fleet "records" "hakata tenjin kurume kitakyu"
wait_ready examples/kinwaku.json
log_control lose=1
briargrade target --node "$(operator_of 1)" --target-ms 44 lookup |
	sed 's/[0-9][0-9]*/N/g'
in_force() { [ "$(ask "http://$(operator_of 3)/configuration" |
	jq .document.classes[0].target_ms)" = 44 ]; }
wait_for "the target" in_force
briargrade audit --node "$(operator_of 3)" | grep -c 'configuration in force'
echo "# with the log down nothing is accepted"
log_control down=1
briargrade target --node "$(operator_of 1)" --target-ms 55 lookup |
	sed 's/^not-accepted.*/not accepted/; s/^unknown.*/not accepted/'
log_control down=0
sleep 0.1
log_up() { [ "$(field 3 log_up)" = true ]; }
wait_for "the log" log_up
in_force && echo "the old target is still in force"

#!/bin/bash
# Case 3: a heartbeat arrives late, after its sender has deregistered. Exit code:
# 1 if a request reached that server later than drain_ms after the
# acknowledgement, 0 if none did, 2 if the case could not run. TROUBLE=0 does
# the same, but that heartbeat arrives at once.
. "$(dirname "$0")/../lib.sh"
start_store
start_node 0 bookings hakata
start_node 1 bookings tenjin
start_node 2 bookings kurume
start_node 3 bookings kitakyu
start_node 4 archive hakata
run_case 3

#!/bin/bash
# Case 2: a heartbeat arrives late, after its sender has crashed and the next
# life of the server listens at the same address. Exit code: 1 if a server took
# a key under a fence that was not above that of another server, 0 if none did,
# 2 if the case could not run. TROUBLE=0 does the same, but that heartbeat
# arrives at once.
. "$(dirname "$0")/../lib.sh"
start_store
start_node 0 weighbridge tipton call
start_node 1 weighbridge oldbury call
start_node 2 weighbridge dudley-port call
start_node 3 weighbridge tipton call
start_node 4 weighbridge oldbury call
start_node 5 weighbridge dudley-port call
start_node 6 weighbridge tipton call
start_node 7 weighbridge oldbury call
start_node 8 bookings dudley-port call
run_case 2

#!/bin/bash
# Case 2: servers refuse a share of the bookings, and a few of their answers come
# once more. Exit code: 1 if a booking was answered as not run and was run, 0 if
# none was, 2 if the case could not run. TROUBLE=0 does the same, but no answer
# comes once more.
. "$(dirname "$0")/../lib.sh"
start_store
start_node 0 bookings hakata
start_node 1 bookings tenjin
start_node 2 archive kurume
run_case 2

#!/bin/bash
# Servers answer with a status that is none, 000 among them, also in refusals. No
# caller gets it as an answer, and nothing is told "not run" that ran.
CALLS=60
. "$(dirname "$0")/lib-faulty.sh"
start_faulty_platform
play_forms ${FORMS:-status-000-200 status-000n-200 status-000-chunks
	status-000-unframed status-000-404 status-000-503 status-000n-421
	status-099-200 status-199-200 status-600-200 status-999-503}

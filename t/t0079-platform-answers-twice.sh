#!/bin/bash
# Servers answer a request twice, or send part of another answer before the next
# one. No caller gets an answer that no server gave as a whole to its request.
. "$(dirname "$0")/lib-faulty.sh"
forms() {
	local kind how when
	for kind in 200 503 421 404; do
		for how in whole cut parts; do
			for when in now late next; do echo "twice-$kind-$how-$when"; done
		done
		for how in line header headers head body; do
			echo "stray-$kind-$how"
		done
	done
	for kind in 1 2 3 4; do echo "stutter-$kind"; done
}
start_faulty_platform
play_forms ${FORMS:-$(forms)}

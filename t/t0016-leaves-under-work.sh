#!/bin/bash
# A backend server leaves while it still works on long requests without a key.
# Their callers must get the answers. A node that cancelled them because the
# member has been removed would answer "unknown", and the work would be lost.
. "$(dirname "$0")/lib.sh"
EXTRA_SETTINGS='"hedge": false,'
start_log
start_fleet "records archive" "hakata tenjin kurume kitakyu" --work-ms 3000
wait_ready examples/kinwaku.json
running() { [ "$(field 1 in_flight)" -ge 1 ]; }
for n in 1 2 3 4 5 6 7 8; do
	ask -o /dev/null -w '%{http_code}\n' --max-time 10 \
		"http://$(caller_of 1)/archive/x-$n" >>"$DIR/codes" &
	waits="${waits:-} $!"
done
wait_for "work at the leaving one" running
ask -X POST "http://$(backend_of 1)/control?leave=1" >/dev/null
wait_for "it to leave" members_are 3 7
wait $waits
sort "$DIR/codes" | uniq -c | sed 's/^ *//'
echo "broken off $(total gate_cancelled)"

#!/bin/bash
# The reader of a node's standard output has stopped reading, and the pipe is
# full. A node that blocked on the write would stop answering its callers. It
# must drop log lines instead, and count them.
EXTRA_SETTINGS='"log_format": "json",'
. "$(dirname "$0")/lib-platform.sh"
mkfifo "$DIR/pipe"
exec 5<>"$DIR/pipe"
perl -e 'fcntl(STDIN, 1031, 4096) or die "pipe size: $!"' <&5
link_log_to_pipe() { rm -f "$DIR/node-0.log"; ln -s "$DIR/pipe" "$DIR/node-0.log"; }
link_log_to_pipe
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
for n in $(seq 1 60); do
	call 0 GET "/list/$n" -o /dev/null
done | sort | uniq -c | sed 's/^ *//'
for n in $(seq 1 30); do
	call 0 GET "/none/$n" -o /dev/null
done | sort | uniq -c | sed 's/^ *//'
dropped() { [ "$(counter 0 log_lines_dropped)" -gt 0 ]; }
wait_for "dropped lines" dropped
echo "lines dropped"
rm -f "$DIR/node-0.log"

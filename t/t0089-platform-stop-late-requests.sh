#!/bin/bash
# A node is stopped while callers go on to send over kept connections until it is
# gone, and work gets slower meanwhile. None is cut off, and none that runs is told
# something else in place of its server's answer.
. "$(dirname "$0")/lib-platform.sh"
CALLERS=24
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 "$(long_rule job unsafe bookings)$(long_rule get safe bookings)
$(long_rule tag safe records)"
wait_platform
server_of_records() { # the key of a range that a server of another node holds
	ranges_of 4 | jq '.[0][0]'
}
# requests_of NODE PATH METHOD K: curl's configuration for one caller.
requests_of() {
	awk -v at="$(caller_of "$1")" -v path="$2" -v method="$3" -v k="$4" -v key="$KEY" 'BEGIN {
		for (i = 0; i < 200; i++) {
			printf "next\nsilent\nnoproxy = \"*\"\nmax-time = 20\n"
			printf "url = \"http://%s/%s/%d\"\nrequest = %s\n", at, path, i, method
			printf "header = \"Host: a.example\"\n"
			printf "header = \"X-Mesh-Deadline-Ms: 20000\"\n"
			printf "header = \"X-Mesh-Request-Id: %s-%s-%d-%d\"\n", path, substr(at, 11), k, i
			if (path == "tag")
				printf "header = \"X-Mesh-Shard-Key: %s\"\n", key
			printf "output = /dev/null\nwrite-out = \"%%{http_code} %%{exitcode}\\n\"\n"
		}
	}'
}
work() { for i in 0 1 2 3 4 5 6 7; do server_control "$i" "work_ms=$1"; done; }
# stop_under_load NODE PATH METHOD
stop_under_load() {
	local k waits=
	work 400
	for ((k = 0; k < CALLERS; k++)); do
		requests_of "$1" "$2" "$3" "$k" >"$DIR/requests-$k"
		curl -K "$DIR/requests-$k" >"$DIR/told-$k" 2>/dev/null &
		waits="$waits $!"
	done
	began=$(begun "$2-")
	all_begun() { [ "$(begun "$2-")" -ge $((began + 2 * CALLERS)) ]; }
	wait_for "requests to be served" all_begun "$@"
	kill -TERM "${NODE_PID[$1]}"
	sleep 1
	work 1500
	sleep 1
	work 2500
	wait "${NODE_PID[$1]}" 2>/dev/null
	wait $waits
	# 7: no connection, so that nothing was sent.
	awk -v what="$2" '$2 != 7 && $1 != 0 {n[$1]++} $2 != 0 && $2 != 7 {cut++}
		END {print what ": cut off " cut + 0 ", told 502 or 504: " n[502] + n[504] + 0}' \
		"$DIR"/told-*
	awk '{n[$1 " " $2]++} END {for (s in n) print s ": " n[s]}' "$DIR"/told-* >&2
	start_platform_node "$1" "${NODE_SERVICE[$1]}" "${NODE_DC[$1]}"
	work 10
	wait_for "it to be ready" ask -f "http://$(ready_of "$1")/-/readyz"
	wait_for "all keys" all_keys_held
}
KEY=$(server_of_records)
stop_under_load 1 job POST
stop_under_load 2 tag GET
stop_under_load 4 tag GET
stop_under_load 3 get GET

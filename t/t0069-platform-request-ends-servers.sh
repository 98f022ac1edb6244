#!/bin/bash
# A lookup that ends each server that runs it is sent again and again, at all
# nodes in turn, beside ordinary lookups. From 3 s after it has ended the third
# server on, it may reach three more.
. "$(dirname "$0")/lib-platform.sh"
END_ON=/ends/
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform

# arrived: number of times that the request has reached a server.
arrived() { cat "$DIR"/backend-*.log | grep -c " arrived "; }
send_it() {
	local path=$1
	shift
	call $((RANDOM % N)) GET "$path" -o /dev/null "$@" --max-time 2 2>/dev/null
}
now_ms() { awk '{ printf "%d", $1 * 1000 }' /proc/uptime; }
# third_end: when the third server ended since the part began, 0: not yet.
third_end() {
	cat "$DIR"/backend-*.log | sort -n | awk -v b="$BEGAN" '
		$1 >= b && $2 == "ended" && ++n == 3 { t = $1 }
		END { print t + 0 }'
}
# late: requests that reached a server later than 3 s after that.
late() {
	local third
	third=$(third_end)
	[ "$third" = 0 ] && echo 0 && return
	cat "$DIR"/backend-*.log | awk -v t="$third" '
		$2 == "arrived" && $1 > t + 3000 { n++ } END { print n + 0 }'
}
# play PATH [CURL OPTION...]: sends the request until it has been refused 40
# times in a row without reaching a server, for 5 s after the third ending, or
# 150 times.
play() {
	local i n=0 before=-1
	BEGAN=$(now_ms)
	for ((i = 0; i < 150; i++)); do
		send_it "$@" >/dev/null
		[ "$(arrived)" = "$before" ] && n=$((n + 1)) || n=0
		before=$(arrived)
		[ $n -lt 40 ] || [ "$(now_ms)" -lt $(($(third_end) + 5000)) ] ||
			break
		sleep 0.05
	done
}
# told_at_once PATH [CURL OPTION...]: what a caller is told once it is refused.
told_at_once() {
	local head
	head=$(call 1 GET "$@" -D - -o /dev/null)
	echo "told: $(tail -n 1 <<<"$head"), Retry-After: $(grep -qi '^retry-after: [0-9]' <<<"$head" && echo yes)"
}
at_most() { [ "$1" -le "$2" ] && echo "at most $2" || echo "$1"; }

echo "# a request with a key, which its owner must run"
key="X-Mesh-Shard-Key: 12345"
play /look/ends/a -H "$key"
echo "sent on after three had ended: $(at_most "$(late)" 3)"
told_at_once /look/ends/a -H "$key"

echo "# one without, which every server of its service may run"
play /list/ends/b
echo "sent on after three had ended: $(at_most "$(late)" 3)"
told_at_once /list/ends/b

echo "# others are served"
wait_for "all keys" all_keys_held
served() { [ "$(call 0 GET "$@" -o /dev/null)" = 200 ]; }
wait_for "the same key" served /look/other -H "$key"
wait_for "another path" served /list/other
listed() {
	local i
	for i in $NODES; do ask "http://$(operator_of "$i")/metrics"; done |
		awk '$1 == "servers_ended" { s += $2 } END { print s + 0 }'
}
[ "$(listed)" -ge 2 ] && echo "endings counted: yes"

echo "# what operators see and clear"
quarantine() { briargrade quarantine --node "$(operator_of 0)" "$@"; }
blocked() { quarantine | jq -r '.requests[] | select(.state == "blocked").fingerprint'; }
echo "blocked: $(blocked | wc -l)"
first=$(blocked | head -n 1)
quarantine --reason cured "$first" | jq -c .
cleared() { ! blocked | grep -q "$first"; }
wait_for "it to be cleared" cleared
audit() { ask "http://$(operator_of 0)/audit" | grep -c "request $first $1"; }
echo "in the audit trail: blocked $(audit blocked), cleared $(audit cleared)"
quarantine 0123456789abcdef | jq -c .

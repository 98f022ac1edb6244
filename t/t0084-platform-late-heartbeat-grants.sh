#!/bin/bash
# A heartbeat of a server that has ended arrives once the next instance listens
# at its address, before the first heartbeat of that one.
GRANTS=call
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
# n_old I FENCES: how many of the fences server I holds keys under.
n_old() {
	ask "http://$(backend_of "$1")/rows" |
		jq --argjson old "$2" '[.[] | .[2] | select(IN($old[]))] | unique | length'
}
holds_keys() { [ "$(ranges_of "$1")" != "[]" ]; }
for i in 0 2 4 6; do
	wait_for "keys" holds_keys "$i"
	old=$(ask "http://$(backend_of "$i")/rows" | jq -c '[.[] | .[2]] | unique')
	server_control "$i" mute=1
	id=$(ask "http://$(backend_of "$i")/id")
	held=$(ask "http://$(backend_of "$i")/heartbeat")
	kill -9 "${BACKEND_PID[$i]}"
	wait "${BACKEND_PID[$i]}" 2>/dev/null
	sleep 0.05
	MUTE=1 start_platform_server "$i"
	wait_for "the next instance" ask -f "http://$(backend_of "$i")/id" -o /dev/null
	ask -o /dev/null -w "late heartbeat: %{http_code}\n" -X POST --data-binary "$held" \
		"http://$(announce_of "$i")/-/instances/$id/heartbeat"
	sleep 0.8
	echo "under fences of before: $(n_old "$i" "$old")"
	server_control "$i" mute=0
	wait_for "all keys" all_keys_held
	echo "then: $(n_old "$i" "$old")"
done

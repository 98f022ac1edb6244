#!/bin/bash
# Another writer sends odd heartbeats in the name of a living server. They name no
# server to use: its keys stay with it, and its node goes on.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
id=$(ask "http://$(backend_of 2)/id")
sound=$(ask "http://$(backend_of 2)/heartbeat")
odd() { # NAME [JQ FILTER]: a heartbeat with a change
	echo "$1: $(echo "$sound" | jq -c "$2" | sed "${3:-}" |
		ask -o /dev/null -w '%{http_code}' -X POST --data-binary @- \
			"http://$(announce_of 2)/-/instances/$id/heartbeat")"
}
max=9223372036854775807
before=$(ranges_of 2)
odd "a start of 2^63 - 1" . "s/\"born\":[0-9]*/\"born\":$max/"
odd "a start of 2^53" '.born = 9007199254740992'
odd "a start that is text" '.born = "now"'
odd "a number of 2^63 - 1" . "s/\"seq\":[0-9]*/\"seq\":$max/"
odd "a number of 40 digits" . "s/\"seq\":[0-9]*/\"seq\":$max$max$max/"
odd "a port of 65,536" '.address = "127.0.0.1:65536"'
odd "negative keys" '.holds = [[-5, 31, 1]]'
odd "keys up to 2^63 - 1" '.holds = [[0, 7777, 1]]' "s/7777/$max/"
head -c 200000 /dev/zero | tr '\0' '[' >"$DIR/deep"
echo "nested: $(ask -o /dev/null -w '%{http_code}' -X POST --data-binary "@$DIR/deep" \
	"http://$(announce_of 2)/-/instances/$id/heartbeat")"
twice=0
for ((k = 0; k < 20; k++)); do
	[ "$(keys_held)" -le 65536 ] || twice=$((twice + 1))
	sleep 0.05
done
echo "looks at which keys were held twice: $twice of 20"
[ "$(ranges_of 2)" = "$before" ] && echo "the server has the keys that it had"
key=$(echo "$before" | jq '.[0][0]')
for ((k = 0; k < 40; k++)); do
	call 0 GET "/look/$k" -H "X-Mesh-Shard-Key: $key" -o /dev/null
done | sort | uniq -c | sed 's/^ *//'
kill -0 "${NODE_PID[2]}" && echo "its node goes on"

#!/bin/bash
# A fleet on the users' platform from its first start: configuration from the
# store, keys granted by heartbeats, requests routed by host, path and key, and
# the answers to invalid requests.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
echo "ready without a configuration: $(ask -o /dev/null -w '%{http_code}' \
	"http://$(ready_of 0)/-/readyz")"
call 0 GET /look/1 -H "X-Mesh-Shard-Key: 7" -o /dev/null
platform_config 7
wait_platform
echo "# a key, asked at every node, whatever the caller says it is"
for i in $NODES; do
	call "$i" GET "/look/x?y=%20z" -H "X-Mesh-Shard-Key: 40000" \
		-H "X-Mesh-Caller: liar"
done | sort | uniq -c | sed 's/^ *//'
echo "# no key needed"
call 0 POST /book/1 -d body
call 3 GET /list/1
echo "# at fault"
call 0 GET /none/1
call 0 GET /look/1
call 0 GET /look/1 -H "X-Mesh-Shard-Key: 65536"
call 0 GET /look/1 -H "X-Mesh-Shard-Key: 1x"
HOST_NAME=b.example call 0 GET /look/1 -H "X-Mesh-Shard-Key: 1"
echo "# a route is added, by a record of the store alone"
platform_config 9 ',{"name":"new","kind":"safe","goal_ms":400,"priority":2,
	"match":{"path_prefix":"/list/new/"},"action":{"split":[
	{"service":"records","weight":1},{"service":"bookings","weight":0}],
	"timeout_ms":1500,"attempts":2}}'
route_added() { [ "$(call 5 GET /list/new/1 -o /dev/null)" = 400 ]; }
wait_for "the new route" route_added
echo "in force"
echo "# an older version does not come back"
platform_config 8
platform_config 11
route_removed() { [ "$(call 5 GET /list/new/1 -o /dev/null)" = 200 ]; }
wait_for "the route to go" route_removed
echo "misdirected $(for i in $NODES; do server_stat "$i" misdirected; done |
	awk '{n+=$1} END{print n}')"

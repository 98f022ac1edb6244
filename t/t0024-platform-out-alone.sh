#!/bin/bash
# Operators take a data centre out of service, and no other one has servers for
# its keys. Its servers must still get no more work, as operators may be about
# to turn them off. Back in service, they must serve again.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata"
platform_config 7
for i in 0 1; do
	wait_for "node $i to be ready" ask -f "http://$(ready_of "$i")/-/readyz"
done
wait_for "all keys" all_keys_held
look() { call 0 GET /look/1 -H "X-Mesh-Shard-Key: 9" -o /dev/null; }
look
put evacuate/hakata '{}'
refused() { [ "$(look)" = 503 ]; }
wait_for "a refusal" refused
before=$(server_stat 0 served)
for n in 1 2 3 4 5 6; do look; done | sort | uniq -c | sed 's/^ *//'
echo "new work: $(($(server_stat 0 served) - before))"
put evacuate/hakata
served() { [ "$(look)" = 200 ]; }
wait_for "service" served
echo "served again"

#!/bin/bash
# All open connections to the store turn silent while new ones work, just before
# operators add a route. 2 s after the acknowledgement every node serves it.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 1
wait_platform
route() {
	echo ",{\"name\":\"r\",\"kind\":\"safe\",\"goal_ms\":400,\"priority\":2,
\"match\":{\"path_prefix\":\"/r-$1/\"},\"action\":{\"service\":\"bookings\",
\"timeout_ms\":1500,\"attempts\":2}}"
}
for n in 2 3 4; do
	ask -o /dev/null -X POST "http://$LOG_ADDRESS/control?silent=1"
	platform_config $n "$(route $n)"
	sleep 2
	for i in $NODES; do
		call $i GET /r-$n/1 -o /dev/null >"$DIR/new-$i" 2>/dev/null &
		asked="${asked:-} $!"
	done
	wait $asked
	echo "change $n: not served by $(cat "$DIR"/new-* | grep -vc '^200') of $N"
done

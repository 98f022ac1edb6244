#!/bin/bash
# A server's leaving is acknowledged and its node's process is killed. A heartbeat
# that the server sent before reaches the next process, which sends it nothing.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
# kill_after_answer I: ends the process and starts the next one.
kill_after_answer() {
	kill_node "$1"
	start_platform_node "$1" "${NODE_SERVICE[$1]}" "${NODE_DC[$1]}"
	wait_for "it to answer" ask -f "http://$(ready_of "$1")/-/readyz"
}
starts_again() {
	server_control "$1" "crash=1&mute=0&drain=0"
	wait_for "it to be sent requests" gets_requests "$1"
	echo "another instance gets requests"
}

echo "# it deregisters"
hold_back 1
tell 1 deregister "{\"born\":$(echo "$HELD" | jq .born)}"
kill_after_answer 1
tell 1 heartbeat "$HELD"
sent 1 POST /book/a
starts_again 1

echo "# it deregisters and names no start"
hold_back 3
tell 3 deregister
kill_after_answer 3
tell 3 heartbeat "$HELD"
sent 3 POST /book/b
starts_again 3

echo "# it says in a heartbeat that it is leaving"
hold_back 5
ready=$HELD
tell 5 heartbeat "$(echo "$HELD" | jq -c '.status.state = "draining" | .status.seq += 1')"
kill_after_answer 5
tell 5 heartbeat "$ready"
sent 5 POST /book/c
starts_again 5

echo "# its process is killed twice"
hold_back 7
tell 7 deregister "{\"born\":$(echo "$HELD" | jq .born)}"
kill_after_answer 7
kill_after_answer 7
tell 7 heartbeat "$HELD"
sent 7 POST /book/d
starts_again 7

echo "# a server that does not leave"
kill_after_answer 1
wait_for "it to be sent requests" gets_requests 1
echo "gets requests"

echo "# the store is down"
hold_back 3
log_control down=1
tell 3 deregister "{\"born\":$(echo "$HELD" | jq .born)}"
tell 3 heartbeat "$(echo "$HELD" | jq -c '.status.state = "draining" | .status.seq += 1')"
sent 3 POST /book/e
log_control down=0
acknowledged() { [ "$(tell 3 deregister "{\"born\":$(echo "$HELD" | jq .born)}")" = "deregister: 200" ]; }
wait_for "the acknowledgement" acknowledged
echo "acknowledged once the store is back"
kill_after_answer 3
tell 3 heartbeat "$HELD"
sent 3 POST /book/f

#!/bin/bash
# A caller sends the head of a request behind another one, and its body, the text of
# a third request, while the first is in progress. No server runs the third.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=400; done
head_of() { # ID PATH [HEADER]
	printf 'GET %s HTTP/1.1\r\nHost: a.example\r\nX-Mesh-Deadline-Ms: 1500\r\nX-Mesh-Request-Id: %s\r\n%s\r\n' \
		"$2" "$1" "${3:-}"
}
# inside K: the three requests of caller K.
inside() {
	local k=$1 address body
	address=$(caller_of $((k % 8)))
	body=$(head_of "inner-$k" /list/inner; echo .)
	body=${body%.}
	exec {fd}<>"/dev/tcp/${address%:*}/${address#*:}"
	{ head_of "first-$k" /list/first
	  head_of "second-$k" /list/second "Content-Length: ${#body}"$'\r\n'; } >"$DIR/heads-$k"
	cat "$DIR/heads-$k" >&"$fd"
	sleep 0.1
	printf %s "$body" >&"$fd"
	timeout 1.5 cat <&"$fd" | grep -c '^HTTP/1.1 200' >"$DIR/answers-$k"
	exec {fd}>&-
}
for ((k = 0; k < 20; k++)); do inside "$k" & waits="${waits:-} $!"; done
wait $waits
echo "first run: $(begun first-), second run: $(begun second-), inner run: $(begun inner-)"
echo "answers: $(cat "$DIR"/answers-* | awk '{n+=$1} END{print n}')"
ahead() { # two requests sent at once, 20 times: how often the second was begun ahead
	local k address before=0 after=0
	for i in $NODES; do before=$((before + $(counter "$i" requests_begun_ahead))); done
	for ((k = 0; k < 20; k++)); do
		address=$(caller_of 0)
		exec {fd}<>"/dev/tcp/${address%:*}/${address#*:}"
		head_of "a-$k" /list/a >&"$fd"
		sleep 0.05
		head_of "b-$k" /list/b >&"$fd"
		timeout 1 cat <&"$fd" >/dev/null
		exec {fd}>&-
	done
	for i in $NODES; do after=$((after + $(counter "$i" requests_begun_ahead))); done
	echo "begun ahead: $((after - before)) of 20"
}
ahead

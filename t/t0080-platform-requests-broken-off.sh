#!/bin/bash
# Callers close their connections within a request, at each byte of its head and
# its body. No server may run a request that was not sent whole.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin"
platform_config 7
wait_platform
# head ID LINE...: the head of a booking.
head() {
	local id=$1
	shift
	printf '%s\r\n' "POST /book/1 HTTP/1.1" "Host: a.example" \
		"X-Mesh-Request-Id: $id" "X-Mesh-Deadline-Ms: 1500" "$@" ""
}
# send FILE N: sends the first N bytes of a file and closes the connection.
send() {
	{ dd if="$1" bs="$2" count=1 status=none 2>/dev/null >&3; } \
		3<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))"
}
# answer FILE: sends all of it and prints the status of the answer.
answer() {
	exec 4<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))"
	cat "$1" >&4
	IFS=' ' read -r -t 10 _ status _ <&4
	exec 4>&-
	echo "whole: $status"
}
# broken_off NAME: each beginning of the request in a file, then all of it.
broken_off() {
	local name=$1 n size
	size=$(stat -c %s "$DIR/$name")
	for ((n = 1; n < size; n++)); do send "$DIR/$name" $n; done
	echo "$name"
	answer "$DIR/$name"
	echo "ran $(ran "$name")"
}
{ head with-length "Content-Length: 20"; printf 'twenty bytes of body'; } \
	>"$DIR/with-length"
{
	head in-chunks "Transfer-Encoding: chunked"
	printf '8\r\nin parts\r\n3\r\n, 2\r\n0\r\n\r\n'
} >"$DIR/in-chunks"
{ head lines-end-with-lf "Content-Length: 4"; printf body; } | tr -d '\r' \
	>"$DIR/lines-end-with-lf"
broken_off with-length
broken_off in-chunks
broken_off lines-end-with-lf

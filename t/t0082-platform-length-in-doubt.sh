#!/bin/bash
# A request states the length of its body in two ways, and another request stands
# in what one of them makes its body. The servers run neither of them.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin"
platform_config 7
wait_platform
# request ID LINE...: the head of a booking.
request() {
	local id=$1
	shift
	printf '%s\r\n' "POST /book/1 HTTP/1.1" "Host: a.example" \
		"X-Mesh-Request-Id: $id" "X-Mesh-Deadline-Ms: 1500" "$@" ""
}
# in_doubt NAME BODY LINE...: a request with these headers for its length.
in_doubt() {
	local name=$1 body=$2
	shift 2
	{
		request "$name" "$@"
		printf '%b' "$body"
		request "within-$name" "Content-Length: 0"
	} >"$DIR/request"
	exec 4<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))"
	# At once: a refusal may reset the connection before the rest is sent.
	cat "$DIR/request" >&4
	IFS=' ' read -r -t 10 _ status _ <&4
	timeout 2 cat <&4 >/dev/null
	exec 4>&-
	echo "$name: $status, ran $(ran "$name"), within it $(ran "within-$name")"
}
long="Content-Length: $(request within-two-lengths "Content-Length: 0" | wc -c)"
in_doubt two-lengths "" "Content-Length: 0" "$long"
in_doubt two-lengths-other-way "" "$long" "Content-Length: 0"
in_doubt length-and-chunks '0\r\n\r\n' "$long" "Transfer-Encoding: chunked"
in_doubt space-before-colon "" "${long/:/ :}"
in_doubt list-of-lengths "" "${long/: /: 0, }"

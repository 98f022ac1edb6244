#!/bin/bash
# Successes without the header that servers sign with are no answers: the load
# generator must not count them as such.
. "$(dirname "$0")/lib.sh"
NODE_SERVICE[0]=records
start_backend 0
wait_for "the server" ask "http://$(backend_of 0)/health"
# load OPTION...: of 100 requests, how many were answered and wrong.
load() {
	"$BIN/load" --target "$(backend_of 0)" --rate 100 --seconds 1 "$@" |
		grep -oE 'answered [0-9]+|wrong [0-9]+' | paste -sd ' ' |
		sed -E 's/(9[0-9]|100)/all/g'
}
load
load --signature X-Mesh-Stamp
load --signature Content-Length

#!/bin/bash
# Servers break off their answers, end lines in another way or send trailers
# that look like a head. No caller gets an answer that no server gave as a whole.
. "$(dirname "$0")/lib-faulty.sh"
forms() {
	local kind place end
	for kind in 200 503 421 404 chunks; do
		for place in line header headers head body; do
			for end in fin reset; do echo "break-$kind-$place-$end"; done
		done
	done
	# A body without a length that ends by FIN is whole.
	for place in line header headers; do echo "break-unframed-$place-fin"; done
	for place in line header headers head body; do
		echo "break-unframed-$place-reset"
	done
	for end in lf lastlf cr lastcr; do
		for kind in own other unsigned; do echo "ends-$end-$kind"; done
	done
	for kind in 200 503 404; do
		for place in head headers; do echo "trailers-$kind-$place"; done
	done
}
start_faulty_platform
play_forms ${FORMS:-$(forms)}

#!/bin/bash
# Builds the stand-ins that the cases 4 to 8 start, into build/.
set -eu
cd "$(dirname "$0")/.."
make -j8 build/bin/platform-store build/bin/platform-server
mkdir -p build/review-2
packages="glib-2.0 jansson libxxhash msgpack libmicrohttpd libcurl libzmq zlib"
objects=$(find build/util build/settings build/state build/member build/gate \
	build/route build/model build/platform build/audit build/net build/node \
	-name '*.o')
# shellcheck disable=SC2046,SC2086
${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -I. $(pkg-config --cflags $packages) \
	-o build/review-2/server review/src-2/server.c $objects \
	$(pkg-config --libs $packages) -lev -lhttp_parser -lm

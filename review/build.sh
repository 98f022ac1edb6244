#!/bin/bash
# Builds what the scripts of the cases start besides the program of the deploy
# file: the project's stand-in for the store, and the cases' own programs. All
# goes into build/.
set -eu
cd "$(dirname "$0")/.."
make -j8 OUT=build build/bin/platform-store
mkdir -p build/review
for n in 1 2 3; do
	[ -f "review/src/case-$n.c" ] || continue
	${CC:-gcc} -std=gnu11 -Wall -Wextra -O2 -pthread \
		-o "build/review/case-$n" "review/src/case-$n.c" \
		review/src/common.c
done

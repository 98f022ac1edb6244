#!/bin/bash
# Runs real processes for half a minute under random faults, drawn from one
# seed.
. "$(dirname "$0")/lib.sh"
"$BIN/fault-soak" --seed 39 --minutes 0.5 --port "$BASE_PORT" --bin "$BIN" \
	>"$DIR/soak" || cat "$DIR/soak" >&2
tail -n 1 "$DIR/soak" | cut -d, -f1

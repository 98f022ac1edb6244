#!/bin/bash
# Photographs are sent over links that carry two thirds of the load. If all were
# begun, they would queue at the link and nearly all be late, also those that
# could have been in time. As many as fit must be in time and the others be
# refused at once, and short answers over the same links must not wait behind
# photographs.
. "$(dirname "$0")/lib.sh"
cat >"$DIR/thin.json" <<JSON
{"seconds": 30, "link_ms": 0.5, "seeds": [1, 2], "services": [
 {"name": "gallery", "servers": 8, "slots": 18, "spread": 0.2, "link_mbps": 10},
 {"name": "desk", "servers": 24, "slots": 18}],
 "classes": [
 {"name": "index", "service": "gallery", "per_s": 40, "work_ms": 70, "target_ms": 300,
  "deadline_ms": 800, "answer_bytes": 600},
 {"name": "photo", "service": "gallery", "per_s": 165, "work_ms": 220, "target_ms": 1200,
  "deadline_ms": 4000, "answer_bytes": 90000}],
 "policies": [{"name": "soonest"}]}
JSON
"$BIN/briargrade" model "$DIR/thin.json" --json 2>/dev/null >"$DIR/out"
# in_target CLASS: share of answers in time, the lowest of all seeds.
in_target() {
	jq --arg c "$1" '[.[].classes[] | select(.class == $c) |
		.in_target / .asked] | min' "$DIR/out"
}
at_least() { awk -v a="$1" -v b="$2" 'BEGIN{exit !(a >= b)}'; }
at_least "$(in_target photo)" 0.5 && echo "photographs: half or more in time" ||
	echo "photographs in time: $(in_target photo)"
at_least "$(in_target index)" 0.8 && echo "short answers: four fifths or more in time" ||
	echo "short answers in time: $(in_target index)"

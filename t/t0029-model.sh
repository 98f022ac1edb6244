#!/bin/bash
# The model computes in virtual time, with the decision code of the nodes, what
# a fleet would serve in a lasting overload under two policies. A run must
# repeat exactly. In an invalid experiment each problem must be reported with
# its place; otherwise someone would compare results of an experiment that was
# never run.
. "$(dirname "$0")/lib.sh"
cat >"$DIR/overload.json" <<JSON
{"seconds": 10, "link_ms": 0.5, "seeds": [1, 2], "services": [
 {"name": "desk", "servers": 4, "slots": 8, "spread": 0.2, "crowding": 0.2},
 {"name": "ledger", "servers": 3, "slots": 8, "keyed": true, "skew": 0.1}],
 "classes": [
 {"name": "check", "service": "ledger", "work_ms": 15, "target_ms": 60, "deadline_ms": 200, "retries": 0},
 {"name": "lookup", "service": "desk", "per_s": 450, "work_ms": 60, "target_ms": 200, "deadline_ms": 800, "calls": "check", "call_share": 0.5},
 {"name": "entry", "service": "ledger", "per_s": 120, "work_ms": 90, "target_ms": 300, "deadline_ms": 1000, "worth": 2, "repeatable": false}],
 "faults": [{"kind": "slow", "service": "desk", "server": 1, "from_s": 3, "to_s": 6, "factor": 5},
  {"kind": "down", "service": "desk", "server": 2, "from_s": 7, "to_s": 8}],
 "policies": [{"name": "soonest"}, {"name": "turns", "choice": "turns", "hedge": false}]}
JSON
"$BIN/briargrade" model "$DIR/overload.json" 2>/dev/null >"$DIR/first"
"$BIN/briargrade" model "$DIR/overload.json" 2>/dev/null | cmp - "$DIR/first" && echo "repeats"
# Shares are rounded to two digits, as floating point differs between machines.
awk 'NR>1 && NF>=9 && $2!="earned" {printf "%s %s in %.2f late %.2f refused %.2f failed %.2f\n",$1,$2,$4,$5,$6,$7}' "$DIR/first"
jq -n '{seconds: 1, services: [{name: "a", servres: 2}], classes: [{name: "x", service: "b", target_ms: 1}],
 policies: [{name: "p", choice: "best"}], faults: [{kind: "fire"}]}' >"$DIR/wrong.json"
"$BIN/briargrade" model "$DIR/wrong.json" 2>&1 >/dev/null | sed "s|$DIR/||"
"$BIN/briargrade" model "$DIR/overload.json" --json 2>/dev/null | jq -c '.[0].classes[0] | keys'

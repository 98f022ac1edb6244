# Functions for scripted sessions: start the stand-ins and nodes on loopback and
# wait for conditions. t/run-tests compares what a session prints with its
# golden file. Waits here are for a condition, with a generous time-out, and
# never for a fixed time.

set -u
TOP=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
OUT=${OUT:-build}
case $OUT in /*) ;; *) OUT=$TOP/$OUT ;; esac
BIN=$OUT/bin
BASE_PORT=${BASE_PORT:-21000}
LOG_ADDRESS=127.0.0.1:$BASE_PORT
DIR=$(mktemp -d "${TMPDIR:-/tmp}/briargrade.XXXXXX")
PIDS=
LIMIT_S=${LIMIT_S:-60}
declare -A NODE_PID BACKEND_PID NODE_SERVICE NODE_DC
NODES=

caller_of() { echo 127.0.0.1:$((BASE_PORT + 10 * $1 + 1)); }
peer_of() { echo 127.0.0.1:$((BASE_PORT + 10 * $1 + 2)); }
operator_of() { echo 127.0.0.1:$((BASE_PORT + 10 * $1 + 3)); }
backend_of() { echo 127.0.0.1:$((BASE_PORT + 10 * $1 + 4)); }

cleanup() {
	local pid
	for pid in $PIDS; do
		kill -CONT "$pid" 2>/dev/null
		kill -9 "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	[ -n "${KEEP:-}" ] || rm -rf "$DIR"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

die() {
	echo "FAILED: $*"
	tail -n 5 "$DIR"/node-*.log 2>/dev/null >&2
	exit 1
}

# wait_for WHAT COMMAND...: repeats the command until it succeeds; fails the
# session after LIMIT_S seconds.
wait_for() {
	local what=$1 end=$((SECONDS + LIMIT_S))
	shift
	until "$@" >/dev/null 2>&1; do
		[ $SECONDS -lt $end ] || die "gave up waiting for $what"
		sleep 0.05
	done
}

ask() { curl -sS --noproxy '*' --max-time 15 "$@"; }

start_log() {
	"$BIN/log-standin" --listen "$LOG_ADDRESS" "$@" &
	LOG_PID=$!
	PIDS="$PIDS $LOG_PID"
	wait_for "the log" ask -f "http://$LOG_ADDRESS/stats"
}

log_control() { ask -X POST "http://$LOG_ADDRESS/control?$1" >/dev/null; }
log_stat() { ask "http://$LOG_ADDRESS/stats" | awk -v n="$1" '$1==n{print $2}'; }

# write_settings I SERVICE DATA_CENTRE
write_settings() {
	cat >"$DIR/node-$1.json" <<EOF
{"host": "host-$1", "data_centre": "$3", "service": "$2",
 "caller_address": "$(caller_of "$1")", "peer_address": "$(peer_of "$1")",
 "operator_address": "$(operator_of "$1")",
 "backend_server": "$(backend_of "$1")", "log": "$LOG_ADDRESS",
 "seeds": [${SEED_LIST-"\"$(peer_of 0)\", \"$(peer_of 1)\""}],
 ${EXTRA_SETTINGS:-}
 "log_level": "info", "test_hooks": true}
EOF
}

# start_node I SERVICE DATA_CENTRE: without a backend server.
start_node() {
	write_settings "$1" "$2" "$3"
	"$BIN/briargrade" run --settings "$DIR/node-$1.json" \
		2>>"$DIR/node-$1.log" &
	NODE_PID[$1]=$!
	NODE_SERVICE[$1]=$2
	NODE_DC[$1]=$3
	PIDS="$PIDS $!"
	case " $NODES " in *" $1 "*) ;; *) NODES="$NODES $1" ;; esac
}

# start_backend I [OPTION...]: a backend server that announces itself to node I.
start_backend() {
	local i=$1
	shift
	"$BIN/backend-standin" --listen "$(backend_of "$i")" \
		--node "$(operator_of "$i")" \
		--service "${NODE_SERVICE[$i]}" "$@" \
		2>>"$DIR/backend-$i.log" >/dev/null &
	BACKEND_PID[$i]=$!
	PIDS="$PIDS $!"
}

# start_fleet SERVICES DATA_CENTRES [BACKEND OPTION...]: one node and backend
# server of each service in each data centre.
start_fleet() {
	local services=$1 dcs=$2 i=0 s d
	shift 2
	for d in $dcs; do
		for s in $services; do
			start_node $i "$s" "$d"
			start_backend $i "$@"
			i=$((i + 1))
		done
	done
	N=$i
}

status_of() { ask -f "http://$(operator_of "$1")/status"; }
# field I NAME: a field of a node's status.
field() { status_of "$1" | jq -r ".$2"; }
# counter I NAME: a counter of a node.
counter() { status_of "$1" | jq -r ".counters.$2"; }
# total NAME: sum of a counter over all nodes that answer.
total() {
	local i sum=0 v
	for i in $NODES; do
		v=$(counter "$i" "$1" 2>/dev/null) && sum=$((sum + ${v:-0}))
	done
	echo $sum
}

publish() { "$BIN/briargrade" publish --node "$(operator_of "${2:-0}")" "$1"; }
briargrade() { "$BIN/briargrade" "$@"; }

has_lease() { [ "$(field "$1" lease)" = true ]; }
shards_held() {
	local i sum=0 v
	for i in $NODES; do
		[ "${NODE_SERVICE[$i]}" = "$1" ] || continue
		v=$(field "$i" shards_held 2>/dev/null) || continue
		sum=$((sum + ${v:-0}))
	done
	echo $sum
}
all_held() { [ "$(shards_held "$1")" -eq "$2" ]; }
members_are() { [ "$(field "$1" 'members|length')" -eq "$2" ]; }
version_is() { [ "$(field "$1" configuration_version)" -eq "$2" ]; }

# wait_ready CONFIGURATION: publishes it and waits until all nodes have joined,
# every shard is held, no shard is being moved and each lease has its witnesses.
wait_ready() {
	local i service shards
	for i in $NODES; do
		wait_for "node $i to join" members_are "$i" "$N"
	done
	publish "$1" 0 >/dev/null || die "publish"
	jq -r '.services[] | "\(.name) \(.shards)"' "$1" >"$DIR/services"
	while read -r service shards; do
		[[ " ${NODE_SERVICE[*]} " == *" $service "* ]] || continue
		wait_for "shards of $service" all_held "$service" "$shards"
	done <"$DIR/services"
	wait_for "leases" all_leases
	wait_for "balance" balanced
	wait_for "witnesses" witnessed
}
# Whether every member's lease is granted by witnesses, not by the log.
witnessed() {
	status_of 0 | jq -e 'all(.members[]; .witnesses_settled and
		(.witnesses | length == 3))' >/dev/null
}
all_leases() { local i; for i in $NODES; do has_lease "$i" || return 1; done; }
# Whether the shard counts of members of one service that take work differ by at
# most one.
balanced() {
	status_of 0 | jq -e '[.members[] | select(.takes_work)] |
		group_by(.service) | map((map(.shards) | max - min) <= 1) |
		all' >/dev/null
}

owner_index() {
	local host
	host=$(ask "http://$(operator_of "${3:-0}")/explain?service=$1&key=$2" |
		jq -r .owner_host)
	echo "${host#host-}"
}

kill_node() { kill -9 "${NODE_PID[$1]}"; wait "${NODE_PID[$1]}" 2>/dev/null; }

# ledger ID: number of runs of the request over all backend servers.
ledger() {
	local i sum=0 v
	for i in $NODES; do
		v=$(ask "http://$(backend_of "$i")/ledger" 2>/dev/null |
			awk -v id="$1" '$1==id{print $2}')
		sum=$((sum + ${v:-0}))
	done
	echo $sum
}
# ran_twice: ids that ran more than once over all backend servers.
ran_twice() {
	local i
	for i in $NODES; do
		ask "http://$(backend_of "$i")/ledger" 2>/dev/null
	done | awk '{n[$1]+=$2} END{for(k in n) if(n[k]>1) print k, n[k]}'
}

# code URL [CURL OPTION...]: sends a request and prints its status and outcome.
code() {
	local url=$1
	shift
	ask -o "$DIR/body" -D "$DIR/head" -w '%{http_code}' "$@" "$url"
	awk -F': ' 'tolower($1)=="briargrade-outcome"{printf " %s", $2}' \
		"$DIR/head" | tr -d '\r'
	echo
}

# For the measuring scripts bench.sh and report.sh.
median() { sort -n | awk '{v[NR]=$1} END{print NR ? v[int((NR+1)/2)] : "-"}'; }
section_selected() { [[ " $SECTIONS " == *" $1 "* ]]; }
# values_of NAME FILE: the number after each occurrence of the name.
values_of() { grep -o "$1 [0-9.]*" "$2" | cut -d' ' -f2; }
# stop_fleet: kills all processes started; the next ones use other ports.
stop_fleet() {
	local pid
	for pid in $PIDS; do
		kill -9 "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	PIDS= NODES=
	NODE_SERVICE=()
	BASE_PORT=$((BASE_PORT + 500))
	LOG_ADDRESS=127.0.0.1:$BASE_PORT
	rm -f "$DIR"/*.log
}

# Functions for the cases' scripts: a small fleet of real processes on loopback
# with settings from deploy/settings.json.in, the project's stand-ins for the
# platform's store and servers, and a record of what was sent, answered and run.
#
# Ports of node I, from BASE + 10 * I: callers +1, peers +2, operator +3,
# server +4, ready +5, heartbeats +6. The store has BASE.
set -u
TOP=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
NODE_BIN=$TOP/target/bin/briargrade
STAND_INS=$TOP/build/bin
SERVER_BIN=$TOP/build/review-2/server
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
LIMIT_S=100 # after this time nothing is waited for
PIDS=
declare -A NODE SERVER SERVICE ZONE
NODES=
DIR=$(mktemp -d)

now_ms() { date +%s%3N; }
note() { echo "$(($(now_ms) - STARTED)) ms: $*" | tee -a "$RECORD"; }

end_all() {
	local pid
	for pid in $(jobs -p) $PIDS; do
		kill -CONT "$pid" 2>/dev/null
		kill -9 "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	[ -n "${KEEP:-}" ] && cp -r "$DIR" "$KEEP"
	rm -rf "$DIR"
}
finish() { # 0 the rule held, 1 it was broken, 2 the case could not run
	trap - EXIT INT TERM HUP
	end_all 2>/dev/null
	exit "$1"
}
fail() {
	note "the case could not run: $*"
	tail -n 3 "$DIR"/*.log >>"$RECORD" 2>/dev/null
	finish 2
}
trap 'end_all 2>/dev/null' EXIT
trap 'finish 2' INT TERM HUP

port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
ports_are_free() { # BASE
	local p
	for ((p = $1; p < $1 + 10 * ${N_NODES:-8} + 10; p++)); do
		port_is_free "$p" || return 1
	done
}
pick_ports() {
	local try
	for try in 1 2 3 4 5 6 7 8 9 10; do
		BASE=$((12000 + (RANDOM % 160) * 100))
		ports_are_free $BASE && return
	done
	fail "no free ports"
}
begin() {
	STARTED=$(now_ms)
	: >"$RECORD"
	[ -x "$NODE_BIN" ] || fail "target/bin/briargrade is not built"
	[ -x "$STAND_INS/platform-store" ] && [ -x "$SERVER_BIN" ] || fail "the stand-ins are not built"
	pick_ports
	STORE=127.0.0.1:$BASE
}

ask() { curl -sS --noproxy '*' --max-time 10 "$@" 2>>"$DIR/curl.log"; }
address() { echo "127.0.0.1:$((BASE + 10 * $1 + $2))"; }
wait_for() { # WHAT COMMAND...
	local what=$1 end=$((SECONDS + 40))
	shift
	[ $end -lt $LIMIT_S ] || end=$LIMIT_S
	until "$@" >/dev/null 2>&1; do
		[ $SECONDS -lt $end ] || fail "gave up waiting for $what"
		sleep 0.1
	done
}

# The settings of node I: the template of the deployment with the figures of the
# site kinwaku-mesh. Only ports differ, since all machines have one address here.
write_settings() {
	sed -e "s|{{node_name}}|host-$1|; s|{{zone}}|${ZONE[$1]}|" \
		-e "s|{{service}}|${SERVICE[$1]}|" \
		-e "s|{{listen.outbound}}|$(address "$1" 1)|" \
		-e "s|{{ip}}:{{internal_ports.0}}|$(address "$1" 2)|" \
		-e "s|{{ip}}:7621|$(address "$1" 3)|" \
		-e "s|{{app_addr}}|$(address "$1" 4)|" \
		-e "s|{{listen.ready}}|$(address "$1" 5)|" \
		-e "s|{{listen.control}}|$(address "$1" 6)|" \
		-e "s|{{platform.address}}|$STORE|" \
		-e "s|\[{{#seeds}}.*{{/seeds}}\]|[]|" \
		-e "s|{{grants}}|heartbeat|; s|{{bounds.hold_max_ms}}|10000|" \
		-e "s|{{bounds.budget_ratio}}|0.2|; s|{{bounds.budget_slack}}|64|" \
		-e "s|{{limits.link_mbps}}|1000.0|" \
		"$TOP/deploy/settings.json.in" >"$DIR/node-$1.json"
	! grep -q '{{' "$DIR/node-$1.json" || fail "a placeholder is left"
}
start_node() {
	"$NODE_BIN" run --settings "$DIR/node-$1.json" >>"$DIR/node-$1.log" 2>&1 &
	NODE[$1]=$!
	PIDS="$PIDS $!"
}
start_server() { # I [OPTION...]
	local i=$1
	shift
	"$SERVER_BIN" --listen "$(address "$i" 4)" \
		--node "$(address "$i" 6)" --service "${SERVICE[$i]}" \
		--data-centre "${ZONE[$i]}" "$@" 2>>"$DIR/server-$i.log" &
	SERVER[$i]=$!
	PIDS="$PIDS $!"
}
start_store() {
	"$STAND_INS/platform-store" --listen "$STORE" 2>>"$DIR/store.log" &
	STORE_PID=$!
	PIDS="$PIDS $!"
	wait_for "the store" ask -f "http://$STORE/stats"
}
publish() { ask -o /dev/null --data-binary "$2" "http://$STORE/publish?key=$1"; }
# configure VERSION [FURTHER RULES]
configure() {
	publish config "{\"version\":$1,\"limits\":{\"max_header_bytes\":16384,
\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},
\"listeners\":[{\"hostname\":\"a.example\",\"rules\":[
{\"name\":\"look\",\"kind\":\"safe\",\"goal_ms\":400,\"priority\":2,
 \"match\":{\"path_prefix\":\"/look/\"},
 \"action\":{\"service\":\"records\",\"timeout_ms\":${TIMEOUT_MS:-1500},\"attempts\":2}},
{\"name\":\"book\",\"kind\":\"unsafe\",\"goal_ms\":500,\"priority\":1,
 \"match\":{\"path_prefix\":\"/book/\"},
 \"action\":{\"service\":\"bookings\",\"timeout_ms\":${TIMEOUT_MS:-1500},\"attempts\":2}},
{\"name\":\"list\",\"kind\":\"safe\",\"goal_ms\":400,\"priority\":2,
 \"match\":{\"path_prefix\":\"/list/\"},
 \"action\":{\"service\":\"bookings\",\"timeout_ms\":${TIMEOUT_MS:-1500},\"attempts\":2}}${2:-}]}],
\"clusters\":[{\"name\":\"records\",\"max_conns\":130,\"cold_start_s\":3,
\"cold_per_s\":25,\"sharded\":true,\"warmup_s\":2,\"health_path\":\"/healthz\"},
{\"name\":\"bookings\",\"max_conns\":130,\"cold_start_s\":3,\"cold_per_s\":25,
\"health_path\":\"/healthz\"}]}"
}
stat_of() { ask "http://$(address "$1" 4)/stats" | awk -v n="$2" '$1 == n {print $2}'; }
control() { ask -o /dev/null -X POST "http://$(address "$1" 4)/control?$2"; }
all_keys_held() {
	local i sum=0
	for i in $NODES; do
		[ "${SERVICE[$i]}" != records ] || sum=$((sum + $(stat_of "$i" keys)))
	done
	[ $sum -eq 65536 ]
}
is_ready() { ask -f "http://$(address "$1" 5)/-/readyz"; }
# start_fleet: nodes and servers of records and bookings in four zones.
start_fleet() {
	local i=0 z s
	N_NODES=20
	begin
	start_store
	configure 3
	for z in hakata tenjin kurume kitakyu; do
		for s in records bookings; do
			SERVICE[$i]=$s ZONE[$i]=$z NODES="$NODES $i"
			write_settings $i
			start_node $i
			start_server $i
			i=$((i + 1))
		done
	done
	for i in $NODES; do
		wait_for "node $i to be ready" is_ready $i
	done
	wait_for "all keys to be held" all_keys_held
	# Traffic begins 8 s after the machines; cold starts are over by then.
	sleep 5
	note "the fleet is ready"
}
# send I METHOD PATH ID [CURL OPTION...]: one request; prints the status.
send() {
	local i=$1 method=$2 path=$3 id=$4
	shift 4
	ask -o /dev/null -w '%{http_code}\n' -X "$method" -H "Host: a.example" \
		-H "X-Mesh-Deadline-Ms: ${DEADLINE_MS:-1500}" \
		-H "X-Mesh-Request-Id: $id" "$@" "http://$(address "$i" 1)$path"
}
# born_of HEARTBEAT: the start of the server that sent it.
born_of() { sed -n 's/.*"born":\([0-9]*\).*/\1/p' <<<"$1"; }
# ledger I: the requests that server I has run, one a line: id, times.
ledger() { ask "http://$(address "$1" 4)/ledger"; }

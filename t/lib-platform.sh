# Functions for sessions that use the platform's protocol: stand-ins for the
# store and the backend servers, and nodes with settings like
# deploy/settings.json.in. Ports of node I, from BASE_PORT + 10 * I: callers +1,
# peers +2, operator +3, backend server +4, ready +5, heartbeats +6.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"

ready_of() { echo 127.0.0.1:$((BASE_PORT + 10 * $1 + 5)); }
announce_of() { echo 127.0.0.1:$((BASE_PORT + 10 * $1 + 6)); }

start_store() {
	"$BIN/platform-store" --listen "$LOG_ADDRESS" &
	LOG_PID=$!
	PIDS="$PIDS $LOG_PID"
	wait_for "the store" ask -f "http://$LOG_ADDRESS/stats"
}

# start_platform_node I SERVICE DATA_CENTRE
start_platform_node() {
	cat >"$DIR/node-$1.json" <<JSON
{"interface": "platform", "host": "host-$1", "data_centre": "$3",
 "service": "$2", "caller_address": "$(caller_of "$1")",
 "peer_address": "$(peer_of "$1")", "operator_address": "$(operator_of "$1")",
 "backend_server": "$(backend_of "$1")", "log": "$LOG_ADDRESS",
 "ready_address": "$(ready_of "$1")",
 "announce_address": "$(announce_of "$1")",
 "seeds": ["$(peer_of 0)", "$(peer_of 1)"], "lease_ms": 3000,
 "snapshot_records": ${SNAPSHOT_RECORDS:-64}, "move_batch": 160, "hold_share": 0.125,
 "retry_share": 0.2, "retry_reserve": 64, "hedge": false, "limit": "fixed",
 "choice": "soonest", "far_ms": 10, "far_ms_per_kb": 10,
 "stop_limit_ms": 5600, "grants": "${GRANTS:-heartbeat}", ${EXTRA_SETTINGS:-} "log_level": "info",
 "test_hooks": true}
JSON
	"$BIN/briargrade" run --settings "$DIR/node-$1.json" \
		>>"$DIR/node-$1.log" 2>&1 &
	NODE_PID[$1]=$!
	NODE_SERVICE[$1]=$2
	NODE_DC[$1]=$3
	PIDS="$PIDS $!"
	case " $NODES " in *" $1 "*) ;; *) NODES="$NODES $1" ;; esac
}

start_platform_server() {
	"$BIN/platform-server" --listen "$(backend_of "$1")" \
		--node "$(announce_of "$1")" --service "${NODE_SERVICE[$1]}" \
		--data-centre "${NODE_DC[$1]}" --grants "${GRANTS:-heartbeat}" \
		${END_ON:+--end-on "$END_ON"} ${MUTE:+--mute} 2>>"$DIR/backend-$1.log" &
	BACKEND_PID[$1]=$!
	PIDS="$PIDS $!"
}

# start_platform SERVICES DATA_CENTRES: the store, and one node and backend
# server of each service in each data centre.
start_platform() {
	local services=$1 dcs=$2 i=0 s d
	start_store
	for d in $dcs; do
		for s in $services; do
			start_platform_node $i "$s" "$d"
			start_platform_server $i
			i=$((i + 1))
		done
	done
	N=$i
}

# put KEY [BODY]: publishes as an operator; without a body, removes the key.
put() {
	printf %s "${2:-}" | ask -o /dev/null --data-binary @- \
		"http://$LOG_ADDRESS/publish?key=$1"
}

# platform_config VERSION [RULES]: publishes a configuration of the services
# records (sharded by key) and bookings; RULES are added to the listener's.
platform_config() {
	put config "{\"version\":$1,\"limits\":{\"max_header_bytes\":16384,
\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},
\"listeners\":[{\"hostname\":\"a.example\",\"rules\":[
{\"name\":\"look\",\"kind\":\"safe\",\"goal_ms\":400,\"priority\":2,
 \"match\":{\"path_prefix\":\"/look/\"},
 \"action\":{\"service\":\"records\",\"timeout_ms\":1500,\"attempts\":2}},
{\"name\":\"book\",\"kind\":\"unsafe\",\"goal_ms\":500,\"priority\":1,
 \"match\":{\"path_prefix\":\"/book/\"},
 \"action\":{\"service\":\"bookings\",\"timeout_ms\":1500,\"attempts\":2}},
{\"name\":\"list\",\"kind\":\"safe\",\"goal_ms\":400,\"priority\":2,
 \"match\":{\"path_prefix\":\"/list/\"},
 \"action\":{\"service\":\"bookings\",\"timeout_ms\":1500,\"attempts\":2}}
${2:-}]}],
\"clusters\":[{\"name\":\"records\",\"max_conns\":130,\"cold_start_s\":3,
\"cold_per_s\":${COLD_PER_S:-25},\"sharded\":true,\"warmup_s\":2,\"grants\":\"${GRANTS:-heartbeat}\"},
{\"name\":\"bookings\",\"max_conns\":130,\"cold_start_s\":3,\"cold_per_s\":25}]}"
}

server_stat() {
	ask "http://$(backend_of "$1")/stats" | awk -v n="$2" '$1==n{print $2}'
}
server_control() { ask -o /dev/null -X POST "http://$(backend_of "$1")/control?$2"; }

# keys_held: number of keys held, over all servers of records.
keys_held() {
	local i sum=0 v
	for i in $NODES; do
		[ "${NODE_SERVICE[$i]}" = records ] || continue
		v=$(server_stat "$i" keys 2>/dev/null) || continue
		sum=$((sum + ${v:-0}))
	done
	echo $sum
}
all_keys_held() { [ "$(keys_held)" -eq 65536 ]; }
settled() {
	local i
	for i in $NODES; do
		status_of "$i" | jq -e 'all(.members[]; .witnesses_settled and
			(.witnesses | length == 3))' >/dev/null || return 1
	done
}

# wait_platform: waits until all nodes have joined and are ready, every key is
# held and all witnesses are settled.
wait_platform() {
	local i
	for i in $NODES; do
		wait_for "node $i to join" members_are "$i" "$N"
		wait_for "node $i to be ready" ask -f "http://$(ready_of "$i")/-/readyz"
	done
	wait_for "all keys" all_keys_held
	wait_for "witnesses" settled
}

# call I METHOD PATH [CURL OPTION...]: sends a request to a node and prints body
# and status. HOST_NAME (a.example) is the host, REQUEST_ID (random) the id.
call() {
	local i=$1 method=$2 path=$3
	shift 3
	ask -X "$method" -H "Host: ${HOST_NAME:-a.example}" \
		-H "X-Mesh-Deadline-Ms: ${DEADLINE_MS:-1500}" \
		-H "X-Mesh-Request-Id: ${REQUEST_ID:-r-$BASHPID-$RANDOM}" \
		-w '%{http_code}\n' "$@" "http://$(caller_of "$i")$path"
}
# ranges_of I: the ranges of keys that a server holds, without their fences.
ranges_of() {
	ask "http://$(backend_of "$1")/rows" | jq -c '[.[] | [.[0], .[1]]]'
}
# wait_heartbeats I N: waits until the server has sent more than N heartbeats.
wait_heartbeats() {
	local i=$1 until=$(($(server_stat "$1" beats) + $2))
	more_heartbeats() { [ "$(server_stat "$i" beats)" -gt "$until" ]; }
	wait_for "more heartbeats" more_heartbeats
}
# restart_node_beside_server I TIMES: kills and restarts a node, but not its
# backend server.
restart_node_beside_server() {
	local i=$1 n
	holds_shards() { [ "$(field "$i" shards_held)" -gt 0 ]; }
	for ((n = 0; n < $2; n++)); do
		kill_node "$i"
		start_platform_node "$i" "${NODE_SERVICE[$i]}" "${NODE_DC[$i]}"
		wait_for "it to join" members_are "$i" "$N"
		wait_for "its lease" has_lease "$i"
		wait_for "its shards" holds_shards
	done
}
misdirected() {
	local i
	for i in $NODES; do server_stat "$i" misdirected; done |
		awk '{n+=$1} END{print n}'
}

# begun PREFIX: number of requests, by the prefix of their ids, that any server
# has started.
begun() {
	local i
	for i in $NODES; do
		ask "http://$(backend_of "$i")/ledger" 2>/dev/null
	done | awk -v p="$1" 'index($1, p) == 1 && !n[$1]++ {s++} END{print s + 0}'
}
# ran ID: number of runs of the request over all servers.
ran() {
	local i sum=0 v
	for i in $NODES; do
		v=$(ask "http://$(backend_of "$i")/ledger" 2>/dev/null |
			awk -v id="$1" '$1==id{print $2}')
		sum=$((sum + ${v:-0}))
	done
	echo $sum
}
# long_rule NAME KIND SERVICE [MS]: a rule for platform_config, for paths below
# /NAME/, whose requests may take 20 s.
long_rule() {
	echo ",{\"name\":\"$1\",\"kind\":\"$2\",\"goal_ms\":${4:-20000},
	\"priority\":1,\"match\":{\"path_prefix\":\"/$1/\"},
	\"action\":{\"service\":\"$3\",\"timeout_ms\":${4:-20000},
	\"attempts\":2}}"
}
pause_nodes() { local i; for i; do kill -STOP "${NODE_PID[$i]}"; done; }
resume_nodes() { local i; for i; do kill -CONT "${NODE_PID[$i]}"; done; }
# start_faulty_server I: a server with faulty answers for node I, whose
# heartbeats another process sends.
start_faulty_server() {
	"$BIN/faulty-server" "$(backend_of "$1")" &
	PIDS="$PIDS $!"
	"$BIN/platform-server" --listen "127.0.0.1:$((BASE_PORT + 10 * $1 + 7))" \
		--address "$(backend_of "$1")" --node "$(announce_of "$1")" \
		--service "${NODE_SERVICE[$1]}" --data-centre "${NODE_DC[$1]}" \
		2>>"$DIR/backend-$1.log" &
	BACKEND_PID[$1]=$!
	PIDS="$PIDS $!"
}
faulty_stat() { call_server "$1" /stats | awk -v n="$2" '$1==n{print $2}'; }
call_server() { ask "http://$(backend_of "$1")$2"; }
# hold_back I: server I is about to send a heartbeat that arrives later.
hold_back() {
	server_control "$1" mute=1
	ID=$(ask "http://$(backend_of "$1")/id")
	HELD=$(ask "http://$(backend_of "$1")/heartbeat")
}
# tell I CALL [BODY]: the call of the server that hold_back() was for.
tell() {
	ask -o /dev/null -w "$2: %{http_code}\n" -X POST --data-binary "${3:-}" \
		"http://$(announce_of "$1")/-/instances/$ID/$2"
}
# sent I METHOD PATH [CURL OPTION...]: requests that reach server I out of 40 sent to node 0.
sent() {
	local i=$1 method=$2 path=$3 before k waits=
	shift 3
	sleep 2
	before=$(server_stat "$i" arrived)
	for ((k = 0; k < 40; k++)); do
		call 0 "$method" "$path$k" "$@" -o /dev/null \
			>"$DIR/status-$k" &
		waits="$waits $!"
	done
	wait $waits
	echo "reached it: $(($(server_stat "$i" arrived) - before)), served: $(
		cat "$DIR"/status-* | grep -c '^200')"
}
# gets_requests I: 40 bookings at once reach server I.
gets_requests() {
	local before k waits=
	before=$(server_stat "$1" arrived)
	for ((k = 0; k < 40; k++)); do
		call 0 POST "/book/z$k" -o /dev/null >/dev/null &
		waits="$waits $!"
	done
	wait $waits
	[ "$(server_stat "$1" arrived)" -gt "$before" ]
}

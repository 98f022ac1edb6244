# Functions of the cases: start the store's stand-in and nodes, with the command
# of deploy/system.toml and the settings of deploy/settings.json.in, on loopback
# addresses of their own. Each machine of the deployment has an address; the
# ports are the same on all machines.

set -u
TOP=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
CASE_DIR=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1}
DIR=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX")
PIDS=
# Loopback addresses that hardly anything else uses.
NET=127.$((64 + $$ % 150)).$((1 + $$ / 150 % 250))
STORE=$NET.250:8309

cleanup() {
	local pid
	for pid in $PIDS; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	if [ -n "${KEEP:-}" ]; then
		echo "logs are in $DIR" >&2
	else
		rm -rf "$DIR"
	fi
}
trap cleanup EXIT
trap 'exit 2' INT TERM HUP

cannot_run() {
	echo "the case could not run: $*" >&2
	exit 2
}

[ -x "$TOP/target/bin/briargrade" ] ||
	cannot_run "target/bin/briargrade is missing: run the build of deploy/system.toml"
[ -x "$TOP/build/bin/platform-store" ] ||
	cannot_run "build/bin/platform-store is missing: run review/build.sh"

ip_of() { echo "$NET.$((10 + $1))"; }

start_store() {
	"$TOP/build/bin/platform-store" --listen "$STORE" >"$DIR/store.log" 2>&1 &
	PIDS="$PIDS $!"
}

# start_node I SERVICE ZONE [GRANTS]: the node of machine I.
start_node() {
	local ip
	ip=$(ip_of "$1")
	sed -e "s|\[{{#seeds}}.*{{/seeds}}\]|[\"$(ip_of 0):8306\", \"$(ip_of 1):8306\", \"$(ip_of 2):8306\"]|" \
		-e "s|{{node_name}}|side-$3-$1|" -e "s|{{zone}}|$3|" \
		-e "s|{{service}}|$2|" \
		-e "s|{{listen.outbound}}|$ip:8304|" \
		-e "s|{{listen.ready}}|$ip:8302|" \
		-e "s|{{listen.control}}|$ip:8306|" \
		-e "s|{{internal_ports.0}}|7620|" -e "s|{{ip}}|$ip|" \
		-e "s|{{app_addr}}|$ip:8301|" \
		-e "s|{{platform.address}}|$STORE|" \
		-e "s|{{grants}}|${4:-heartbeat}|" \
		-e "s|{{bounds.hold_max_ms}}|10000|" \
		-e "s|{{bounds.budget_ratio}}|0.2|" \
		-e "s|{{bounds.budget_slack}}|64|" \
		-e "s|{{limits.link_mbps}}|1000.0|" \
		"$TOP/deploy/settings.json.in" >"$DIR/node-$1.json"
	if grep -q '{{' "$DIR/node-$1.json"; then
		cannot_run "the template has a field that the script does not fill"
	fi
	(cd "$TOP" && exec target/bin/briargrade run --settings "$DIR/node-$1.json") \
		>"$DIR/node-$1.log" 2>&1 &
	PIDS="$PIDS $!"
}

# run_case N: the program that plays servers, clients and the operator. It ends
# by itself; its exit code is that of the case.
run_case() {
	local pid
	[ -x "$TOP/build/review/case-$1" ] ||
		cannot_run "build/review/case-$1 is missing: run review/build.sh"
	CASE_NET=$NET CASE_STORE=$STORE CASE_TROUBLE=$TROUBLE \
		CASE_RECORD=$CASE_DIR/record.txt \
		"$TOP/build/review/case-$1" &
	pid=$!
	PIDS="$PIDS $pid"
	wait "$pid"
	code=$?
	[ "$code" -le 2 ] || code=2
	exit "$code"
}

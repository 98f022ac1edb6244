#!/bin/bash
# Invalid settings: all errors must be reported at once, with file and path, and
# the program must not start to serve.
. "$(dirname "$0")/lib.sh"
cd "$DIR" || exit 1
check() {
	"$BIN/briargrade" "$@"
	echo "exit $?"
}
exec 2>&1
echo '{"host": 7, "data_centre": "hakata", "colour": "gold",
 "service": "records", "caller_address": "localhost:1",
 "peer_address": "127.0.0.1:99999", "operator_address": "127.0.0.1:3",
 "backend_server": "127.0.0.1:4", "log": "127.0.0.1:5",
 "max_body_bytes": -1, "log_level": "loud", "seeds": ["x"]}' >bad.json
check check --settings bad.json
check run --settings bad.json
echo '{"host": "h",' >cut.json
check check --settings cut.json
check check --settings none.json
echo '{"services": [{"name": "a b"}], "classes": [{"name": "c",
 "service": "x", "method": "GET", "path": "p", "target_ms": 0}],
 "data_centres": {}}' >conf.json
check check --configuration conf.json
check check --configuration "$TOP/examples/registry.json"
check check
check fly
check run --help
EXTRA_SETTINGS='"hedge": false,' write_settings 1 records hakata
check check --settings node-1.json

#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "gate/grants.h"
#include "gate/limit.h"
#include "net/headers.h"
#include "route/choose.h"
#include "settings/configuration.h"

#define SETTINGS_ADDRESS_MAX_LEN 63
#define SETTINGS_MAX_SEEDS 16

/* The protocol that a node speaks: our own or that of the platform. */
enum interface_kind {
	INTERFACE_OWN,
	INTERFACE_PLATFORM,
};

/* Settings of one node, as read from its file. */
struct settings {
	char path[256]; /* of the settings file */
	enum interface_kind interface;
	const struct header_names *headers;
	char host[64];
	char data_centre[NAME_MAX_LEN + 1];
	char service[NAME_MAX_LEN + 1];
	char caller_address[SETTINGS_ADDRESS_MAX_LEN + 1];
	char peer_address[SETTINGS_ADDRESS_MAX_LEN + 1];
	char operator_address[SETTINGS_ADDRESS_MAX_LEN + 1];
	char backend_server[SETTINGS_ADDRESS_MAX_LEN + 1];
	char log[SETTINGS_ADDRESS_MAX_LEN + 1];
	char seeds[SETTINGS_MAX_SEEDS][SETTINGS_ADDRESS_MAX_LEN + 1];
	uint32_t n_seeds;
	char log_level[16];
	bool log_json;
	char ready_address[SETTINGS_ADDRESS_MAX_LEN + 1]; /* "" none */
	char announce_address[SETTINGS_ADDRESS_MAX_LEN + 1]; /* "" none */
	/* How backend servers learn which keys they hold, NULL: they do not. */
	const struct grant_ops *grants;
	int64_t hold_max_ms; /* longest duration of one grant */
	int64_t lease_ms;
	/* A connection to the backend server idle for longer is not reused. */
	int64_t kept_idle_s;
	int64_t stop_limit_ms; /* longest duration of a stop */
	uint32_t snapshot_records; /* records after which a snapshot is due */
	uint32_t move_batch; /* most shards that one balancing record moves */
	/*
	 * Cost of sending a request to a gate in another data centre: the
	 * additional time that its caller would wait for a local gate instead,
	 * for each request and for each KiB of its answer.
	 */
	double far_ms;
	double far_ms_per_kb;
	double link_mbps; /* link speed of this host, 0 unknown */
	/*
	 * Share of its target time that a request waits for an owner of its
	 * key, 0: until its deadline.
	 */
	double hold_share;
	double retry_share; /* retries allowed, as a share of requests */
	double retry_reserve; /* further retries, over the whole fleet */
	int64_t max_body_bytes;
	int64_t snapshot_interval_ms;
	int64_t drift_ppm; /* bound on the difference of two clocks' rates */
	bool hedge;
	const struct limit_ops *limit;
	const struct chooser_ops *choice;
	bool test_hooks; /* tests may cut links */
};

/*
 * Read a settings file and check all of it. Returns RESULT_OK, or
 * RESULT_INVALID or RESULT_IO with each problem appended to errors as
 * "file: path: problem".
 */
int settings_read(struct settings *s, const char *path, GString *errors);

/*
 * Read a configuration document from a file and check it. Returns RESULT_OK
 * with a new reference in *doc, or RESULT_INVALID or RESULT_IO with NULL in
 * *doc and each problem appended to errors.
 */
int settings_read_document(const char *path, json_t **doc, GString *errors);

#endif

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

/* How nodes are spoken to: our own interface, or that of the platform. */
enum interface_kind {
	INTERFACE_OWN,
	INTERFACE_PLATFORM,
};

/* One node's settings, as read from its file. */
struct settings {
	char path[256]; /* the file itself */
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
	/* How backend servers are told what keys they hold, NULL not at all. */
	const struct grant_ops *grants;
	int64_t hold_max_ms; /* longest that one such grant may last */
	int64_t lease_ms;
	/* A connection to the backend server idle for longer is not reused. */
	int64_t kept_idle_s;
	int64_t stop_limit_ms; /* a stop takes no longer than this */
	uint32_t snapshot_records; /* records after which one is due */
	uint32_t move_batch; /* shards that one balancing record moves */
	/*
	 * What a gate in another data centre costs a request, as time that its
	 * caller would wait for one at home instead: at all, and for each KiB
	 * of answer.
	 */
	double far_ms;
	double far_ms_per_kb;
	double link_mbps; /* of this host, 0 unknown */
	double hold_share; /* of its target a request waits for an owner, 0 all
			      its time */
	double retry_share; /* of requests, that repeats may add */
	double retry_reserve; /* repeats beside that, over the whole fleet */
	int64_t max_body_bytes;
	int64_t snapshot_interval_ms;
	int64_t drift_ppm;
	bool hedge;
	const struct limit_ops *limit;
	const struct chooser_ops *choice;
	bool test_hooks; /* allow a test to cut links */
};

/*
 * Read a settings file and check all of it. Returns RESULT_OK, or
 * RESULT_INVALID or RESULT_IO with each problem appended to errors as
 * "file: path: what is wrong".
 */
int settings_read(struct settings *s, const char *path, GString *errors);

/* Read and check a configuration document; the caller drops *doc. */
int settings_read_document(const char *path, json_t **doc, GString *errors);

#endif

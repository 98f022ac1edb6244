#ifndef SETTINGS_CONFIGURATION_H
#define SETTINGS_CONFIGURATION_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

#include "settings/json-check.h"
#include "settings/match.h"

#define NAME_MAX_LEN 31
#define NAME_FORBIDDEN_CHARS " \t\r\n/\"\\"
/*
 * Bounds on single values. The number of services, classes and data centres is
 * limited only by the size of the log record that carries the configuration.
 */
#define CLASS_TEXT_MAX_LEN 8192
#define METHOD_MAX_LEN 15
#define CLASS_MAX_TARGETS 1000
#define CLASS_MAX_WEIGHT INT32_MAX
#define CLASS_MAX_ATTEMPTS 1000
#define CLASS_MAX_PRIORITY 1000
#define SERVICE_MAX_CONNECTIONS 100000
#define SERVICE_MAX_COLD_PER_S 1e6
#define CLASS_MIN_DEADLINE_MS 10
#define CLASS_MAX_DEADLINE_MS 600000
#define CALLER_MAX_IDLE_MS (10 * CLASS_MAX_DEADLINE_MS)
#define ANY_METHOD "*"

/* The part of a request that holds its key. */
enum key_place {
	KEY_NONE, /* the service is not sharded by key */
	KEY_PATH, /* a segment of the path, the first one is 1 */
	KEY_QUERY, /* a query argument */
	KEY_HEADER, /* a request header */
};

struct service_settings {
	char name[NAME_MAX_LEN + 1];
	enum key_place key_place;
	char key_name[NAME_MAX_LEN + 1];
	uint32_t key_segment;
	/*
	 * Keys are the whole numbers below this, and each shard is a range of
	 * them. 0: keys are strings, and their hash selects the shard.
	 */
	uint32_t key_numbers;
	uint32_t n_shards;
	bool checks_grants; /* its backend servers refuse outdated fences */
	int64_t guard_ms; /* extra wait before a takeover if they do not */
	uint32_t connections; /* most to one backend server, 0 unknown */
	/* Requests per second for a server in cold start, 0 unknown. */
	double cold_per_s;
};

/* One of the services between which the requests of a class are split. */
struct class_target {
	uint32_t service; /* index into the services */
	uint32_t weight;
};

struct class_settings {
	char *name;
	struct class_target *targets;
	uint32_t n_targets;
	char method[METHOD_MAX_LEN + 1]; /* or ANY_METHOD */
	char *host; /* in the Host header, lower case; "" matches any */
	char *path; /* prefix of the request's path */
	int64_t target_ms;
	double percentile;
	double refused_share;
	bool repeatable;
	int64_t deadline_ms;
	/* How long a request may be sent again with the same id. */
	int64_t resend_window_ms;
	uint32_t attempts; /* most backend servers that may get a request */
	uint32_t priority; /* 0 is served first when there is overload */
};

struct data_centre_settings {
	char name[NAME_MAX_LEN + 1];
	bool in_service;
};

/* Limits on what a caller sends and how long it takes; 0: the default. */
struct caller_limits {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

/* A configuration document that was read and checked. */
struct configuration {
	struct service_settings *services;
	uint32_t n_services;
	struct class_settings *classes;
	uint32_t n_classes;
	struct match_index index; /* of the classes */
	struct data_centre_settings *data_centres;
	uint32_t n_data_centres;
	struct caller_limits limits;
};

/*
 * Read and check a document into cfg, which must not hold another one. Returns
 * RESULT_OK, or RESULT_INVALID with every problem listed in c. Call
 * configuration_finish() in either case.
 */
int configuration_read(struct configuration *cfg, const json_t *doc,
		       struct json_check *c);
void configuration_finish(struct configuration *cfg);

/* Copies from into cfg, which must not hold another one. */
void configuration_copy(struct configuration *cfg,
			const struct configuration *from);
bool configuration_in_service(const struct configuration *cfg,
			      const char *data_centre);

/*
 * Returns the class that a request belongs to, as match_index_find() selects
 * it, or NULL if there is none. host is the Host header as received, or NULL.
 */
const struct class_settings *
configuration_match(const struct configuration *cfg, const char *method,
		    const char *host, const char *path);
const struct service_settings *
configuration_service(const struct configuration *cfg, const char *name);

#endif

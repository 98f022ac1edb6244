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
 * How many services, classes and data centres there may be is bounded only by
 * the record that carries them.
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

enum key_place {
	KEY_NONE, /* the service is not divided by key */
	KEY_PATH, /* a segment of the path, counted from 1 */
	KEY_QUERY, /* a query argument */
	KEY_HEADER, /* a request header */
};

struct service_settings {
	char name[NAME_MAX_LEN + 1];
	enum key_place key_place;
	char key_name[NAME_MAX_LEN + 1];
	uint32_t key_segment;
	/*
	 * Keys are the whole numbers below this, and shards are ranges of
	 * them; 0: keys are strings, and shards take them by hash.
	 */
	uint32_t key_numbers;
	uint32_t n_shards;
	bool checks_grants; /* its backend servers refuse an old fence */
	int64_t guard_ms; /* added wait before a takeover where they do not */
	uint32_t connections; /* that one server takes, 0 not told */
	/* Requests a second that a server in cold start bears, 0 not told. */
	double cold_per_s;
};

/* One of the services between which a class's requests are split. */
struct class_target {
	uint32_t service; /* index into the services */
	uint32_t weight;
};

struct class_settings {
	char *name;
	struct class_target *targets;
	uint32_t n_targets;
	char method[METHOD_MAX_LEN + 1]; /* ANY_METHOD: all */
	char *host; /* of the Host header, "" any */
	char *path; /* prefix */
	int64_t target_ms;
	double percentile;
	double refused_share;
	bool repeatable;
	int64_t deadline_ms;
	int64_t resend_window_ms; /* how long an id may be sent again */
	uint32_t attempts; /* most backend servers one request may reach */
	uint32_t priority; /* 0 goes first when not all can be served */
};

struct data_centre_settings {
	char name[NAME_MAX_LEN + 1];
	bool in_service;
};

/* What a caller may send and how long it may take; 0 means our default. */
struct caller_limits {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

/* A whole configuration document, checked. */
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
 * Read and check a document into zeroed or finished memory. Returns RESULT_OK,
 * or RESULT_INVALID with every problem named in c. Finish cfg in either case.
 */
int configuration_read(struct configuration *cfg, const json_t *doc,
		       struct json_check *c);
void configuration_finish(struct configuration *cfg);
bool configuration_in_service(const struct configuration *cfg,
			      const char *data_centre);

/*
 * The class of a request, or NULL. host: the Host header as it came, NULL when
 * there is none.
 */
const struct class_settings *
configuration_match(const struct configuration *cfg, const char *method,
		    const char *host, const char *path);
const struct service_settings *
configuration_service(const struct configuration *cfg, const char *name);

#endif

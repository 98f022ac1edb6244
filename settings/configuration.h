#ifndef SETTINGS_CONFIGURATION_H
#define SETTINGS_CONFIGURATION_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

#include "settings/json-check.h"

#define NAME_MAX_LEN 31
#define CONFIGURATION_MAX_SERVICES 64
#define CONFIGURATION_MAX_CLASSES 256
#define CONFIGURATION_MAX_DATA_CENTRES 64
#define PATH_MAX_LEN 127

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
	uint32_t n_shards;
	bool checks_grants; /* its backend servers refuse an old fence */
	int64_t guard_ms; /* added wait before a takeover where they do not */
};

struct class_settings {
	char name[NAME_MAX_LEN + 1];
	uint32_t service; /* index into the services */
	char method[16];
	char path[PATH_MAX_LEN + 1]; /* prefix */
	int64_t target_ms;
	double percentile;
	double refused_share;
	bool repeatable;
	int64_t deadline_ms;
	int64_t resend_window_ms; /* how long an id may be sent again */
};

struct data_centre_settings {
	char name[NAME_MAX_LEN + 1];
	bool in_service;
};

/* A whole configuration document, checked. */
struct configuration {
	struct service_settings services[CONFIGURATION_MAX_SERVICES];
	uint32_t n_services;
	struct class_settings classes[CONFIGURATION_MAX_CLASSES];
	uint32_t n_classes;
	struct data_centre_settings data_centres[CONFIGURATION_MAX_DATA_CENTRES];
	uint32_t n_data_centres;
};

/*
 * Read and check a document into cfg. Returns RESULT_OK, or RESULT_INVALID
 * with every problem named in c.
 */
int configuration_read(struct configuration *cfg, const json_t *doc,
		       struct json_check *c);
bool configuration_in_service(const struct configuration *cfg,
			      const char *data_centre);
const struct class_settings *
configuration_match(const struct configuration *cfg, const char *method,
		    const char *path);

#endif

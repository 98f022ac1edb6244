#ifndef SETTINGS_JSON_CHECK_H
#define SETTINGS_JSON_CHECK_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>

/*
 * Checked reading of JSON objects. Each problem is appended to a list as a line
 * "file: path: problem", so that an operator sees all of them at once and where
 * they are. For an absent field the functions return the given fallback.
 */
struct json_check {
	const char *file;
	GString *errors;
	uint32_t n_errors;
};

void json_check_init(struct json_check *c, const char *file);
void json_check_finish(struct json_check *c);
void json_check_fail(struct json_check *c, const char *path, const char *fmt,
		     ...) G_GNUC_PRINTF(3, 4);
void json_check_fields(struct json_check *c, const json_t *obj,
		       const char *path, const char *const *allowed);
const char *json_check_string(struct json_check *c, const json_t *obj,
			      const char *path, const char *name,
			      const char *fallback, uint32_t max_len);
int64_t json_check_int(struct json_check *c, const json_t *obj,
		       const char *path, const char *name, int64_t fallback,
		       int64_t min, int64_t max);
double json_check_number(struct json_check *c, const json_t *obj,
			 const char *path, const char *name, double fallback,
			 double min, double max);
double json_check_share(struct json_check *c, const json_t *obj,
			const char *path, const char *name, double fallback);
bool json_check_bool(struct json_check *c, const json_t *obj, const char *path,
		     const char *name, bool fallback);

/* Fallbacks for required fields: an absent one is a problem. */
#define JSON_REQUIRED_INT INT64_MIN
#define JSON_REQUIRED_STRING NULL

#endif

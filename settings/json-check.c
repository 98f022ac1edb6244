#include <inttypes.h>
#include <string.h>

#include "settings/json-check.h"

/* Start an empty list of problems; file is what they are reported for. */
void json_check_init(struct json_check *c, const char *file)
{
	c->file = file;
	c->errors = g_string_new(NULL);
	c->n_errors = 0;
}

/* Free the list. */
void json_check_finish(struct json_check *c)
{
	g_string_free(c->errors, TRUE);
	c->errors = NULL;
}

/* Add one problem found at path. */
void json_check_fail(struct json_check *c, const char *path, const char *fmt,
		     ...)
{
	va_list ap;

	g_string_append_printf(c->errors, "%s: %s: ", c->file, path);
	va_start(ap, fmt);
	g_string_append_vprintf(c->errors, fmt, ap);
	va_end(ap);
	g_string_append_c(c->errors, '\n');
	c->n_errors++;
}

static void fail_field(struct json_check *c, const char *path, const char *name,
		       const char *what)
{
	g_autofree char *full = g_strdup_printf("%s.%s", path, name);

	json_check_fail(c, full, "%s", what);
}

/* Add a problem for each field of obj that the NULL-terminated list lacks. */
void json_check_fields(struct json_check *c, const json_t *obj,
		       const char *path, const char *const *allowed)
{
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)obj, name, value)
	{
		if (!g_strv_contains((const gchar *const *)allowed, name))
			fail_field(c, path, name, "no such field");
	}
}

/* Read a string of at most max_len bytes. Returns "" for an invalid one. */
const char *json_check_string(struct json_check *c, const json_t *obj,
			      const char *path, const char *name,
			      const char *fallback, uint32_t max_len)
{
	json_t *v = json_object_get(obj, name);

	if (!v) {
		if (!fallback)
			fail_field(c, path, name, "missing");
		return fallback ? fallback : "";
	}
	if (!json_is_string(v)) {
		fail_field(c, path, name, "must be a string");
		return "";
	}
	if (json_string_length(v) > max_len) {
		fail_field(c, path, name, "too long");
		return "";
	}
	return json_string_value(v);
}

/* Read a whole number in [min, max]. Returns min for an invalid one. */
int64_t json_check_int(struct json_check *c, const json_t *obj,
		       const char *path, const char *name, int64_t fallback,
		       int64_t min, int64_t max)
{
	json_t *v = json_object_get(obj, name);
	g_autofree char *what = NULL;

	if (!v) {
		if (fallback == JSON_REQUIRED_INT)
			fail_field(c, path, name, "missing");
		return fallback == JSON_REQUIRED_INT ? min : fallback;
	}
	if (!json_is_integer(v)) {
		fail_field(c, path, name, "must be a whole number");
		return min;
	}
	if (json_integer_value(v) < min || json_integer_value(v) > max) {
		what = g_strdup_printf("must be from %" PRId64 " to %" PRId64,
				       min, max);
		fail_field(c, path, name, what);
		return min;
	}
	return json_integer_value(v);
}

/* Read a number in [min, max]. Returns fallback for an invalid one. */
double json_check_number(struct json_check *c, const json_t *obj,
			 const char *path, const char *name, double fallback,
			 double min, double max)
{
	json_t *v = json_object_get(obj, name);
	g_autofree char *what = NULL;

	if (!v)
		return fallback;
	if (!json_is_number(v) || json_number_value(v) < min ||
	    json_number_value(v) > max) {
		what = g_strdup_printf("must be a number from %g to %g", min,
				       max);
		fail_field(c, path, name, what);
		return fallback;
	}
	return json_number_value(v);
}

/* Read a number in [0, 1]. Returns fallback for an invalid one. */
double json_check_share(struct json_check *c, const json_t *obj,
			const char *path, const char *name, double fallback)
{
	return json_check_number(c, obj, path, name, fallback, 0, 1);
}

/* Read true or false. Returns fallback for anything else. */
bool json_check_bool(struct json_check *c, const json_t *obj, const char *path,
		     const char *name, bool fallback)
{
	json_t *v = json_object_get(obj, name);

	if (!v)
		return fallback;
	if (!json_is_boolean(v)) {
		fail_field(c, path, name, "must be true or false");
		return fallback;
	}
	return json_is_true(v);
}

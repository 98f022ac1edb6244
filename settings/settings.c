#include <string.h>

#include "net/address.h"
#include "settings/settings.h"
#include "util/result.h"

#define MIB (1024 * 1024)

static const char *const fields[] = { "host",
				      "data_centre",
				      "service",
				      "caller_address",
				      "peer_address",
				      "operator_address",
				      "backend_server",
				      "log",
				      "seeds",
				      "log_level",
				      "log_format",
				      "max_body_bytes",
				      "snapshot_interval_ms",
				      "drift_ppm",
				      "hedge",
				      "limit",
				      "choice",
				      "limit",
				      "choice",
				      "test_hooks",
				      NULL };

static const char *const log_levels[] = { "error", "warning", "info", "debug",
					  NULL };

static void read_text(struct json_check *c, const json_t *o, const char *name,
		      char *out, size_t size)
{
	g_strlcpy(out,
		  json_check_string(c, o, "$", name, JSON_REQUIRED_STRING,
				    size - 1),
		  size);
}

static void check_address(struct json_check *c, const char *name,
			  const char *text)
{
	struct sockaddr_in addr;

	if (address_parse(text, &addr))
		json_check_fail(c, name, "must be an IPv4 number and a port");
}

static void read_address(struct json_check *c, const json_t *o,
			 const char *name, char *out)
{
	g_autofree char *path = g_strdup_printf("$.%s", name);

	read_text(c, o, name, out, SETTINGS_ADDRESS_MAX + 1);
	if (out[0])
		check_address(c, path, out);
}

static void read_seeds(struct json_check *c, const json_t *o,
		       struct settings *s)
{
	json_t *list = json_object_get(o, "seeds");
	json_t *v;
	size_t i;

	if (!list)
		return;
	if (!json_is_array(list) ||
	    json_array_size(list) > SETTINGS_MAX_SEEDS) {
		json_check_fail(c, "$.seeds", "must be a list of at most %d",
				SETTINGS_MAX_SEEDS);
		return;
	}
	json_array_foreach(list, i, v)
	{
		g_autofree char *path = g_strdup_printf("$.seeds[%zu]", i);
		const char *text = json_string_value(v);

		if (!text || strlen(text) > SETTINGS_ADDRESS_MAX) {
			json_check_fail(c, path, "must be an address");
			continue;
		}
		check_address(c, path, text);
		g_strlcpy(s->seeds[s->n_seeds++], text, sizeof(s->seeds[0]));
	}
}

static void read_logging(struct json_check *c, const json_t *o,
			 struct settings *s)
{
	const char *format =
		json_check_string(c, o, "$", "log_format", "text", 15);

	g_strlcpy(s->log_level,
		  json_check_string(c, o, "$", "log_level", "info", 15),
		  sizeof(s->log_level));
	if (!g_strv_contains(log_levels, s->log_level))
		json_check_fail(c, "$.log_level",
				"must be error, warning, info or debug");
	s->log_json = !strcmp(format, "json");
	if (!s->log_json && strcmp(format, "text"))
		json_check_fail(c, "$.log_format", "must be text or json");
}

static void read_policy(struct json_check *c, const json_t *o,
			struct settings *s)
{
	s->hedge = json_check_bool(c, o, "$", "hedge", true);
	s->limit = limit_ops_by_name(
		json_check_string(c, o, "$", "limit", "adaptive", 15));
	s->choice = chooser_ops_by_name(
		json_check_string(c, o, "$", "choice", "two", 15));
	if (!s->limit)
		json_check_fail(c, "$.limit", "must be adaptive or fixed");
	if (!s->choice)
		json_check_fail(c, "$.choice", "must be two or turns");
}

static void read_all(struct settings *s, const json_t *o, struct json_check *c)
{
	memset(s, 0, sizeof(*s));
	json_check_fields(c, o, "$", fields);
	read_text(c, o, "host", s->host, sizeof(s->host));
	read_text(c, o, "data_centre", s->data_centre, sizeof(s->data_centre));
	read_text(c, o, "service", s->service, sizeof(s->service));
	read_address(c, o, "caller_address", s->caller_address);
	read_address(c, o, "peer_address", s->peer_address);
	read_address(c, o, "operator_address", s->operator_address);
	read_address(c, o, "backend_server", s->backend_server);
	read_address(c, o, "log", s->log);
	read_seeds(c, o, s);
	read_logging(c, o, s);
	s->max_body_bytes = json_check_int(c, o, "$", "max_body_bytes", MIB,
					   1024, 64 * MIB);
	s->snapshot_interval_ms = json_check_int(
		c, o, "$", "snapshot_interval_ms", 600000, 1000, 86400000);
	s->drift_ppm = json_check_int(c, o, "$", "drift_ppm", 10000, 0, 100000);
	read_policy(c, o, s);
	s->test_hooks = json_check_bool(c, o, "$", "test_hooks", false);
}

static json_t *load(const char *path, GString *errors)
{
	json_error_t e;
	json_t *o = json_load_file(path, JSON_REJECT_DUPLICATES, &e);

	if (!o)
		g_string_append_printf(errors, "%s: line %d: %s\n", path,
				       e.line, e.text);
	return o;
}

int settings_read(struct settings *s, const char *path, GString *errors)
{
	json_t *o = load(path, errors);
	struct json_check c;
	uint32_t n;

	if (!o)
		return RESULT_IO;
	json_check_init(&c, path);
	if (json_is_object(o))
		read_all(s, o, &c);
	else
		json_check_fail(&c, "$", "must be an object");
	g_string_append(errors, c.errors->str);
	n = c.n_errors;
	json_check_finish(&c);
	json_decref(o);
	return n ? RESULT_INVALID : RESULT_OK;
}

int settings_read_document(const char *path, json_t **doc, GString *errors)
{
	struct configuration *cfg;
	struct json_check c;
	int err;

	*doc = load(path, errors);
	if (!*doc)
		return RESULT_IO;
	cfg = g_new0(struct configuration, 1);
	json_check_init(&c, path);
	err = configuration_read(cfg, *doc, &c);
	g_string_append(errors, c.errors->str);
	json_check_finish(&c);
	g_free(cfg);
	if (err) {
		json_decref(*doc);
		*doc = NULL;
	}
	return err;
}

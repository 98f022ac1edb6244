#include <string.h>

#include "net/address.h"
#include "platform/request.h"
#include "settings/settings.h"
#include "util/result.h"

#define MIB (1024 * 1024)
/* The reasons are in docs/design/ownership.md and docs/design/load.md. */
#define DEFAULT_LEASE_MS 1500
#define DEFAULT_SNAPSHOT_RECORDS 500
#define DEFAULT_MOVE_BATCH 16
#define DEFAULT_RETRY_SHARE 0.1
#define DEFAULT_RETRY_RESERVE 800
#define DEFAULT_KEPT_IDLE_S 60
#define DEFAULT_HOLD_MAX_MS 10000
#define DEFAULT_STOP_LIMIT_MS 60000

static const char *const fields[] = { "interface",
				      "ready_address",
				      "announce_address",
				      "seeds_by_host",
				      "grants",
				      "hold_max_ms",
				      "lease_ms",
				      "kept_idle_s",
				      "stop_limit_ms",
				      "snapshot_records",
				      "move_batch",
				      "hold_share",
				      "far_ms",
				      "far_ms_per_kb",
				      "link_mbps",
				      "retry_share",
				      "retry_reserve",
				      "host",
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

	read_text(c, o, name, out, SETTINGS_ADDRESS_MAX_LEN + 1);
	if (out[0])
		check_address(c, path, out);
}

static void read_optional_address(struct json_check *c, const json_t *o,
				  const char *name, char *out)
{
	if (json_object_get(o, name))
		read_address(c, o, name, out);
}

/*
 * Replace the port of a seed by that of our own peer address. A seed may be
 * listed with another of its ports, and all hosts of a fleet have the same peer
 * port.
 */
static void use_peer_port(struct settings *s, char *seed)
{
	const char *port = strrchr(s->peer_address, ':');
	char *colon = strrchr(seed, ':');

	if (port && colon)
		g_strlcpy(colon, port,
			  SETTINGS_ADDRESS_MAX_LEN + 1 - (colon - seed));
}

static void read_seeds(struct json_check *c, const json_t *o,
		       struct settings *s)
{
	bool by_host = json_check_bool(c, o, "$", "seeds_by_host", false);
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

		if (!text || strlen(text) > SETTINGS_ADDRESS_MAX_LEN) {
			json_check_fail(c, path, "must be an address");
			continue;
		}
		check_address(c, path, text);
		g_strlcpy(s->seeds[s->n_seeds], text, sizeof(s->seeds[0]));
		if (by_host)
			use_peer_port(s, s->seeds[s->n_seeds]);
		s->n_seeds++;
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
		json_check_fail(c, "$.choice", "must be two, turns or soonest");
}

static void read_interface(struct json_check *c, const json_t *o,
			   struct settings *s)
{
	const char *name = json_check_string(c, o, "$", "interface", "own", 15);

	if (!strcmp(name, "platform")) {
		s->interface = INTERFACE_PLATFORM;
		s->headers = &headers_platform;
		return;
	}
	s->interface = INTERFACE_OWN;
	s->headers = &headers_default;
	if (strcmp(name, "own"))
		json_check_fail(c, "$.interface", "must be own or platform");
}

/*
 * Read how the backend server learns which keys it holds. An empty string
 * counts as absent: settings made from a template have one if the platform
 * specifies none.
 */
static void read_grants(struct json_check *c, const json_t *o,
			struct settings *s)
{
	const char *default_name =
		s->interface == INTERFACE_PLATFORM ? "heartbeat" : "none";
	const char *name = json_check_string(c, o, "$", "grants", "", 15);

	if (!name[0])
		name = default_name;
	s->grants = grant_ops_by_name(name);
	if (!s->grants && strcmp(name, "none"))
		json_check_fail(c, "$.grants",
				"must be heartbeat, call or none");
}

static void read_times(struct json_check *c, const json_t *o,
		       struct settings *s)
{
	s->lease_ms = json_check_int(c, o, "$", "lease_ms", DEFAULT_LEASE_MS,
				     200, 60000);
	s->kept_idle_s = json_check_int(c, o, "$", "kept_idle_s",
					DEFAULT_KEPT_IDLE_S, 1, 3600);
	s->hold_max_ms = json_check_int(c, o, "$", "hold_max_ms",
					DEFAULT_HOLD_MAX_MS, 100, 600000);
	s->stop_limit_ms = json_check_int(c, o, "$", "stop_limit_ms",
					  DEFAULT_STOP_LIMIT_MS, 1000, 3600000);
	s->snapshot_records = json_check_int(c, o, "$", "snapshot_records",
					     DEFAULT_SNAPSHOT_RECORDS, 8,
					     100000);
	s->move_batch = json_check_int(c, o, "$", "move_batch",
				       DEFAULT_MOVE_BATCH, 1, 4096);
	s->far_ms = json_check_number(c, o, "$", "far_ms", 0, 0, 60000);
	s->far_ms_per_kb =
		json_check_number(c, o, "$", "far_ms_per_kb", 0, 0, 60000);
	s->link_mbps = json_check_number(c, o, "$", "link_mbps", 0, 0, 1e6);
	s->hold_share = json_check_number(c, o, "$", "hold_share", 0, 0, 1000);
	s->retry_share =
		json_check_share(c, o, "$", "retry_share", DEFAULT_RETRY_SHARE);
	s->retry_reserve = json_check_number(c, o, "$", "retry_reserve",
					     DEFAULT_RETRY_RESERVE, 0, 1e6);
}

static void read_settings(struct settings *s, const json_t *o,
			  struct json_check *c)
{
	memset(s, 0, sizeof(*s));
	json_check_fields(c, o, "$", fields);
	read_interface(c, o, s);
	read_grants(c, o, s);
	read_text(c, o, "host", s->host, sizeof(s->host));
	read_text(c, o, "data_centre", s->data_centre, sizeof(s->data_centre));
	read_text(c, o, "service", s->service, sizeof(s->service));
	read_address(c, o, "caller_address", s->caller_address);
	read_address(c, o, "peer_address", s->peer_address);
	read_address(c, o, "operator_address", s->operator_address);
	read_address(c, o, "backend_server", s->backend_server);
	read_address(c, o, "log", s->log);
	read_optional_address(c, o, "ready_address", s->ready_address);
	read_optional_address(c, o, "announce_address", s->announce_address);
	read_seeds(c, o, s);
	read_times(c, o, s);
	read_logging(c, o, s);
	s->max_body_bytes = json_check_int(c, o, "$", "max_body_bytes", MIB,
					   1024, 64 * MIB);
	s->snapshot_interval_ms = json_check_int(
		c, o, "$", "snapshot_interval_ms", 600000, 1000, 86400000);
	s->drift_ppm = json_check_int(c, o, "$", "drift_ppm", 10000, 0, 100000);
	read_policy(c, o, s);
	s->test_hooks = json_check_bool(c, o, "$", "test_hooks", false);
}

static json_t *load_json_file(const char *path, GString *errors)
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
	json_t *o = load_json_file(path, errors);
	struct json_check c;
	uint32_t n;

	if (!o)
		return RESULT_IO;
	json_check_init(&c, path);
	if (json_is_object(o))
		read_settings(s, o, &c);
	else
		json_check_fail(&c, "$", "must be an object");
	g_strlcpy(s->path, path, sizeof(s->path));
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

	*doc = load_json_file(path, errors);
	if (!*doc)
		return RESULT_IO;
	cfg = g_new0(struct configuration, 1);
	json_check_init(&c, path);
	err = configuration_read(cfg, *doc, &c);
	g_string_append(errors, c.errors->str);
	json_check_finish(&c);
	configuration_finish(cfg);
	g_free(cfg);
	if (err) {
		json_decref(*doc);
		*doc = NULL;
	}
	return err;
}

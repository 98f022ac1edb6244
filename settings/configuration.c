#include <string.h>

#include "settings/internal.h"
#include "util/result.h"

#define DEFAULT_SHARDS 64
#define MAX_SHARDS 16384
#define DEFAULT_DEADLINE_MS 2000
#define DEFAULT_RESEND_WINDOW_MS 30000
#define DEFAULT_GUARD_MS 500
/*
 * Together with the caller's own retries, this many attempts still reach the
 * new owner while a key is moving.
 */
#define DEFAULT_ATTEMPTS 24
#define MAX_LIMIT INT32_MAX

static const char *const top_fields[] = { "services", "classes", "data_centres",
					  "limits",   "source",	 NULL };
static const char *const service_fields[] = { "name",	    "key",
					      "shards",	    "checks_grants",
					      "guard_ms",   "connections",
					      "cold_per_s", NULL };
static const char *const key_fields[] = { "in", "segment", "name", "numbers",
					  NULL };
static const char *const limit_fields[] = { "max_header_bytes",
					    "max_body_bytes",
					    "header_timeout_ms",
					    "idle_timeout_ms", NULL };
static const char *const split_fields[] = { "service", "weight", NULL };
static const char *const class_fields[] = { "name",
					    "service",
					    "split",
					    "attempts",
					    "priority",
					    "host",
					    "method",
					    "path",
					    "target_ms",
					    "percentile",
					    "refused_share",
					    "repeatable",
					    "deadline_ms",
					    "resend_window_ms",
					    NULL };
static const char *const data_centre_fields[] = { "name", "in_service", NULL };

static void check_name(struct json_check *c, const char *path, const char *s)
{
	if (strpbrk(s, NAME_FORBIDDEN_CHARS))
		json_check_fail(c, path, "name holds a space, slash or quote");
}

static void read_name(struct json_check *c, const json_t *obj, const char *path,
		      char *out)
{
	const char *s = json_check_string(c, obj, path, "name",
					  JSON_REQUIRED_STRING, NAME_MAX_LEN);

	g_strlcpy(out, s, NAME_MAX_LEN + 1);
	check_name(c, path, s);
}

static void read_key(struct service_settings *s, const json_t *key,
		     const char *path, struct json_check *c)
{
	const char *in;

	s->key_place = KEY_NONE;
	if (!key)
		return;
	if (!json_is_object(key)) {
		json_check_fail(c, path, "key must be an object");
		return;
	}
	json_check_fields(c, key, path, key_fields);
	s->key_numbers =
		json_check_int(c, key, path, "numbers", 0, 0, UINT32_MAX);
	in = json_check_string(c, key, path, "in", JSON_REQUIRED_STRING, 16);
	if (!strcmp(in, "path")) {
		s->key_place = KEY_PATH;
		s->key_segment = json_check_int(c, key, path, "segment",
						JSON_REQUIRED_INT, 1, 16);
		return;
	}
	if (!strcmp(in, "query"))
		s->key_place = KEY_QUERY;
	else if (!strcmp(in, "header"))
		s->key_place = KEY_HEADER;
	else
		json_check_fail(c, path,
				"key.in must be path, query or header");
	read_name(c, key, path, s->key_name);
}

static void read_service(struct configuration *cfg, const json_t *obj,
			 const char *path, struct json_check *c)
{
	struct service_settings *s = &cfg->services[cfg->n_services];
	g_autofree char *key_path = g_strdup_printf("%s.key", path);
	uint32_t i;

	memset(s, 0, sizeof(*s));
	json_check_fields(c, obj, path, service_fields);
	read_name(c, obj, path, s->name);
	read_key(s, json_object_get(obj, "key"), key_path, c);
	s->n_shards = json_check_int(c, obj, path, "shards", DEFAULT_SHARDS, 1,
				     MAX_SHARDS);
	s->checks_grants = json_check_bool(c, obj, path, "checks_grants", true);
	s->guard_ms = json_check_int(c, obj, path, "guard_ms",
				     s->checks_grants ? 0 : DEFAULT_GUARD_MS, 0,
				     60000);
	s->connections = json_check_int(c, obj, path, "connections", 0, 0,
					SERVICE_MAX_CONNECTIONS);
	s->cold_per_s = json_check_number(c, obj, path, "cold_per_s", 0, 0,
					  SERVICE_MAX_COLD_PER_S);
	if (s->key_numbers && s->key_numbers < s->n_shards)
		json_check_fail(c, path, "more shards than keys");
	for (i = 0; i < cfg->n_services; i++)
		if (!strcmp(cfg->services[i].name, s->name))
			json_check_fail(c, path, "service %s is defined twice",
					s->name);
	cfg->n_services++;
}

static uint32_t find_service(const struct configuration *cfg, const char *name)
{
	uint32_t i;

	for (i = 0; i < cfg->n_services; i++)
		if (!strcmp(cfg->services[i].name, name))
			return i;
	return UINT32_MAX;
}

static void read_target(const struct configuration *cfg, const json_t *obj,
			const char *path, struct class_settings *k,
			uint32_t weight, struct json_check *c)
{
	struct class_target *t = &k->targets[k->n_targets];
	const char *service = json_check_string(
		c, obj, path, "service", JSON_REQUIRED_STRING, NAME_MAX_LEN);

	t->service = find_service(cfg, service);
	t->weight = weight;
	if (t->service == UINT32_MAX) {
		json_check_fail(c, path, "service %s does not exist", service);
		t->service = 0;
	}
	k->n_targets++;
}

static void read_split(const struct configuration *cfg, const json_t *list,
		       const char *path, struct class_settings *k,
		       struct json_check *c)
{
	uint64_t total = 0;
	json_t *item;
	size_t i;

	if (!json_is_array(list) || !json_array_size(list) ||
	    json_array_size(list) > CLASS_MAX_TARGETS) {
		json_check_fail(c, path, "split must be a list of 1 to %d",
				CLASS_MAX_TARGETS);
		return;
	}
	k->targets = g_new0(struct class_target, json_array_size(list));
	json_array_foreach(list, i, item)
	{
		g_autofree char *at = g_strdup_printf("%s.split[%zu]", path, i);
		uint32_t weight = json_check_int(c, item, at, "weight",
						 JSON_REQUIRED_INT, 0,
						 CLASS_MAX_WEIGHT);

		json_check_fields(c, item, at, split_fields);
		read_target(cfg, item, at, k, weight, c);
		total += weight;
	}
	if (!total)
		json_check_fail(c, path, "no part of the split has a weight");
}

static char *read_text(const json_t *obj, const char *path, const char *field,
		       const char *fallback, struct json_check *c)
{
	return g_strdup(json_check_string(c, obj, path, field, fallback,
					  CLASS_TEXT_MAX_LEN));
}

static void lowercase(char *s)
{
	for (; *s; s++)
		*s = g_ascii_tolower(*s);
}

void class_finish(struct class_settings *k)
{
	g_free(k->name);
	g_free(k->host);
	g_free(k->path);
	g_free(k->targets);
}

void class_read(struct class_settings *k, const struct configuration *cfg,
		const json_t *obj, const char *path, struct json_check *c)
{
	json_t *split = json_object_get(obj, "split");

	memset(k, 0, sizeof(*k));
	if (!json_is_object(obj))
		json_check_fail(c, path, "must be an object");
	json_check_fields(c, obj, path, class_fields);
	k->name = read_text(obj, path, "name", JSON_REQUIRED_STRING, c);
	check_name(c, path, k->name);
	if (split) {
		read_split(cfg, split, path, k, c);
	} else {
		k->targets = g_new0(struct class_target, 1);
		read_target(cfg, obj, path, k, 1, c);
	}
	k->attempts = json_check_int(c, obj, path, "attempts", DEFAULT_ATTEMPTS,
				     1, CLASS_MAX_ATTEMPTS);
	k->priority = json_check_int(c, obj, path, "priority", 0, 0,
				     CLASS_MAX_PRIORITY);
	k->host = read_text(obj, path, "host", "", c);
	lowercase(k->host);
	g_strlcpy(k->method,
		  json_check_string(c, obj, path, "method",
				    JSON_REQUIRED_STRING, METHOD_MAX_LEN),
		  sizeof(k->method));
	k->path = read_text(obj, path, "path", JSON_REQUIRED_STRING, c);
	if (k->path[0] != '/')
		json_check_fail(c, path, "path must begin with a slash");
	k->target_ms = json_check_int(c, obj, path, "target_ms",
				      JSON_REQUIRED_INT, 1,
				      CLASS_MAX_DEADLINE_MS);
	k->percentile =
		(double)json_check_int(c, obj, path, "percentile", 99, 1, 100);
	k->refused_share =
		json_check_share(c, obj, path, "refused_share", 0.01);
	k->repeatable = json_check_bool(c, obj, path, "repeatable", false);
	k->deadline_ms =
		json_check_int(c, obj, path, "deadline_ms", DEFAULT_DEADLINE_MS,
			       CLASS_MIN_DEADLINE_MS, CLASS_MAX_DEADLINE_MS);
	k->resend_window_ms = json_check_int(c, obj, path, "resend_window_ms",
					     DEFAULT_RESEND_WINDOW_MS, 0,
					     3600000);
}

static void read_class(struct configuration *cfg, const json_t *obj,
		       const char *path, struct json_check *c)
{
	class_read(&cfg->classes[cfg->n_classes++], cfg, obj, path, c);
}

static void read_data_centre(struct configuration *cfg, const json_t *obj,
			     const char *path, struct json_check *c)
{
	struct data_centre_settings *d =
		&cfg->data_centres[cfg->n_data_centres];

	memset(d, 0, sizeof(*d));
	json_check_fields(c, obj, path, data_centre_fields);
	read_name(c, obj, path, d->name);
	d->in_service = json_check_bool(c, obj, path, "in_service", true);
	cfg->n_data_centres++;
}

typedef void (*read_item)(struct configuration *, const json_t *, const char *,
			  struct json_check *);

static void read_list(struct configuration *cfg, const json_t *doc,
		      const char *name, read_item read, struct json_check *c)
{
	json_t *list = json_object_get(doc, name);
	json_t *item;
	size_t i;

	if (!json_is_array(list)) {
		json_check_fail(c, name, "must be a list");
		return;
	}
	json_array_foreach(list, i, item)
	{
		g_autofree char *path = g_strdup_printf("%s[%zu]", name, i);

		if (json_is_object(item))
			read(cfg, item, path, c);
		else
			json_check_fail(c, path, "must be an object");
	}
}

static void read_limits(struct configuration *cfg, const json_t *o,
			struct json_check *c)
{
	struct caller_limits *l = &cfg->limits;

	if (!o)
		return;
	if (!json_is_object(o)) {
		json_check_fail(c, "$.limits", "must be an object");
		return;
	}
	json_check_fields(c, o, "$.limits", limit_fields);
	l->max_header_bytes = json_check_int(
		c, o, "$.limits", "max_header_bytes", 0, 0, MAX_LIMIT);
	l->max_body_bytes = json_check_int(c, o, "$.limits", "max_body_bytes",
					   0, 0, MAX_LIMIT);
	l->header_timeout_ms = json_check_int(c, o, "$.limits",
					      "header_timeout_ms", 0, 0,
					      CLASS_MAX_DEADLINE_MS);
	l->idle_timeout_ms = json_check_int(c, o, "$.limits", "idle_timeout_ms",
					    0, 0, CALLER_MAX_IDLE_MS);
}

/* Free what configuration_read() allocated; cfg can then be used again. */
void configuration_finish(struct configuration *cfg)
{
	uint32_t i;

	for (i = 0; i < cfg->n_classes; i++)
		class_finish(&cfg->classes[i]);
	match_index_finish(&cfg->index);
	g_free(cfg->classes);
	g_free(cfg->services);
	g_free(cfg->data_centres);
	memset(cfg, 0, sizeof(*cfg));
}

static void class_copy(struct class_settings *k,
		       const struct class_settings *from)
{
	*k = *from;
	k->name = g_strdup(from->name);
	k->host = g_strdup(from->host);
	k->path = g_strdup(from->path);
	k->targets = g_memdup2(from->targets,
			       from->n_targets * sizeof(*from->targets));
}

void configuration_copy(struct configuration *cfg,
			const struct configuration *from)
{
	uint32_t i;

	*cfg = *from;
	cfg->services = g_memdup2(from->services,
				  from->n_services * sizeof(*from->services));
	cfg->data_centres =
		g_memdup2(from->data_centres,
			  from->n_data_centres * sizeof(*from->data_centres));
	cfg->classes = g_new0(struct class_settings, from->n_classes);
	for (i = 0; i < from->n_classes; i++)
		class_copy(&cfg->classes[i], &from->classes[i]);
	match_index_copy(&cfg->index, &from->index);
}

static size_t list_length(const json_t *doc, const char *list)
{
	return json_array_size(json_object_get(doc, list));
}

int configuration_read(struct configuration *cfg, const json_t *doc,
		       struct json_check *c)
{
	memset(cfg, 0, sizeof(*cfg));
	if (!json_is_object(doc)) {
		json_check_fail(c, "$", "the document must be an object");
		return RESULT_INVALID;
	}
	json_check_fields(c, doc, "$", top_fields);
	read_limits(cfg, json_object_get(doc, "limits"), c);
	cfg->services =
		g_new0(struct service_settings, list_length(doc, "services"));
	cfg->classes =
		g_new0(struct class_settings, list_length(doc, "classes"));
	cfg->data_centres = g_new0(struct data_centre_settings,
				   list_length(doc, "data_centres"));
	read_list(cfg, doc, "services", read_service, c);
	read_list(cfg, doc, "classes", read_class, c);
	read_list(cfg, doc, "data_centres", read_data_centre, c);
	match_index_init(&cfg->index, cfg->classes, cfg->n_classes);
	return c->n_errors ? RESULT_INVALID : RESULT_OK;
}

/*
 * Returns whether a data centre is in service. One that the configuration does
 * not list is.
 */
bool configuration_in_service(const struct configuration *cfg,
			      const char *data_centre)
{
	uint32_t i;

	for (i = 0; i < cfg->n_data_centres; i++)
		if (!strcmp(cfg->data_centres[i].name, data_centre))
			return cfg->data_centres[i].in_service;
	return true;
}

const struct class_settings *
configuration_match(const struct configuration *cfg, const char *method,
		    const char *host, const char *path)
{
	return match_index_find(&cfg->index, cfg->classes, method, host, path);
}

/* Returns the service of this name, or NULL. */
const struct service_settings *
configuration_service(const struct configuration *cfg, const char *name)
{
	uint32_t i;

	for (i = 0; i < cfg->n_services; i++)
		if (!strcmp(cfg->services[i].name, name))
			return &cfg->services[i];
	return NULL;
}

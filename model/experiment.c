#include <string.h>

#include "model/model.h"
#include "settings/json-check.h"
#include "util/result.h"

/* Reads experiment files (JSON) and reports every problem with its path. */

static const char *const top_fields[] = {
	"seconds",     "link_ms",	"swing",    "period_s",
	"retry_share", "retry_reserve", "services", "classes",
	"policies",    "faults",	"seeds",    NULL
};
static const char *const service_fields[] = { "name",	"servers",   "slots",
					      "spread", "crowding",  "keyed",
					      "skew",	"link_mbps", NULL };
static const char *const class_fields[] = {
	"name",	    "service",	  "per_s",	  "work_ms",
	"noise",    "target_ms",  "deadline_ms",  "repeatable",
	"attempts", "retries",	  "calls",	  "call_share",
	"worth",    "late_worth", "answer_bytes", NULL
};
static const char *const fault_fields[] = { "kind",   "service", "server",
					    "from_s", "to_s",	 "factor",
					    NULL };
static const char *const policy_fields[] = { "name", "choice", "limit", "hedge",
					     NULL };

typedef void (*reader)(struct json_check *c, const json_t *o, const char *path,
		       struct experiment *e, uint32_t i);

static void read_name(struct json_check *c, const json_t *o, const char *path,
		      char *out)
{
	const char *s = json_check_string(c, o, path, "name",
					  JSON_REQUIRED_STRING, NAME_MAX_LEN);

	g_strlcpy(out, s ? s : "", NAME_MAX_LEN + 1);
}

static uint32_t find_service(const struct experiment *e, const char *name)
{
	uint32_t i;

	for (i = 0; i < e->n_services; i++)
		if (!g_strcmp0(e->services[i].name, name))
			return i;
	return MODEL_NONE;
}

static uint32_t find_class(const struct experiment *e, const char *name)
{
	uint32_t i;

	for (i = 0; i < e->n_classes; i++)
		if (!g_strcmp0(e->classes[i].name, name))
			return i;
	return MODEL_NONE;
}

static uint32_t read_service_name(struct json_check *c, const json_t *o,
				  const char *path, const struct experiment *e)
{
	const char *name = json_check_string(
		c, o, path, "service", JSON_REQUIRED_STRING, NAME_MAX_LEN);
	uint32_t i = find_service(e, name);

	if (i == MODEL_NONE)
		json_check_fail(
			c, path,
			"service is not one of the experiment's services");
	return i == MODEL_NONE ? 0 : i;
}

static void read_service(struct json_check *c, const json_t *o,
			 const char *path, struct experiment *e, uint32_t i)
{
	struct model_service *s = &e->services[i];

	json_check_fields(c, o, path, service_fields);
	read_name(c, o, path, s->name);
	s->servers = json_check_int(c, o, path, "servers", 4, 1, 2000);
	s->slots = json_check_int(c, o, path, "slots", 12, 1, 10000);
	s->spread = json_check_number(c, o, path, "spread", 0.2, 0, 10);
	s->crowding = json_check_number(c, o, path, "crowding", 0.2, 0, 10);
	s->keyed = json_check_bool(c, o, path, "keyed", false);
	s->skew = json_check_share(c, o, path, "skew", 0);
	s->link_mbps = json_check_number(c, o, path, "link_mbps", 0, 0, 1e6);
}

static void read_class(struct json_check *c, const json_t *o, const char *path,
		       struct experiment *e, uint32_t i)
{
	struct model_class *k = &e->classes[i];
	const char *calls;

	json_check_fields(c, o, path, class_fields);
	read_name(c, o, path, k->name);
	k->service = read_service_name(c, o, path, e);
	k->per_s = json_check_number(c, o, path, "per_s", 0, 0, 1e7);
	k->work_ms = json_check_number(c, o, path, "work_ms", 50, 0.01, 1e6);
	k->noise = json_check_number(c, o, path, "noise", 0.6, 0, 3);
	k->target_ms = json_check_int(c, o, path, "target_ms",
				      JSON_REQUIRED_INT, 1, 600000);
	k->deadline_ms = json_check_int(c, o, path, "deadline_ms",
					JSON_REQUIRED_INT, 1, 600000);
	k->repeatable = json_check_bool(c, o, path, "repeatable", true);
	k->attempts = json_check_int(c, o, path, "attempts", 2, 1, 8);
	k->retries = json_check_int(c, o, path, "retries", 1, 0, 8);
	k->call_share = json_check_share(c, o, path, "call_share", 1);
	k->worth = json_check_number(c, o, path, "worth", k->per_s > 0, 0, 1e6);
	k->late_worth = json_check_number(c, o, path, "late_worth",
					  0.3 * k->worth, 0, 1e6);
	k->answer_bytes =
		json_check_number(c, o, path, "answer_bytes", 0, 0, 1e9);
	/* Only a class listed before may be called, which rules out cycles. */
	calls = json_check_string(c, o, path, "calls", "", NAME_MAX_LEN);
	e->n_classes = i;
	k->called_class = calls[0] ? find_class(e, calls) : MODEL_NONE;
	if (calls[0] && k->called_class == MODEL_NONE)
		json_check_fail(
			c, path,
			"calls must name a class listed before this one");
}

static void read_fault(struct json_check *c, const json_t *o, const char *path,
		       struct experiment *e, uint32_t i)
{
	static const char *const kinds[] = { "slow", "down", "burst" };
	struct model_fault *f = &e->faults[i];
	const char *kind =
		json_check_string(c, o, path, "kind", JSON_REQUIRED_STRING, 15);
	uint32_t k;

	json_check_fields(c, o, path, fault_fields);
	for (k = 0; k < G_N_ELEMENTS(kinds); k++)
		if (!g_strcmp0(kinds[k], kind))
			break;
	if (k == G_N_ELEMENTS(kinds))
		json_check_fail(c, path, "kind must be slow, down or burst");
	f->kind = k;
	if (f->kind != MODEL_FAULT_BURST)
		f->service = read_service_name(c, o, path, e);
	f->server = json_check_int(c, o, path, "server", 0, 0, 2000);
	f->from_ms = json_check_number(c, o, path, "from_s", 0, 0, 1e6) * 1000;
	f->to_ms = json_check_number(c, o, path, "to_s", 1e6, 0, 1e6) * 1000;
	f->factor = json_check_number(c, o, path, "factor", 2, 0, 1000);
}

static void read_policy(struct json_check *c, const json_t *o, const char *path,
			struct experiment *e, uint32_t i)
{
	struct model_policy *p = &e->policies[i];

	json_check_fields(c, o, path, policy_fields);
	read_name(c, o, path, p->name);
	p->choice = chooser_ops_by_name(
		json_check_string(c, o, path, "choice", "soonest", 15));
	p->limit = limit_ops_by_name(
		json_check_string(c, o, path, "limit", "fixed", 15));
	p->hedge = json_check_bool(c, o, path, "hedge", true);
	if (!p->choice || !p->limit)
		json_check_fail(c, path, "unknown choice or limit");
}

static uint32_t read_list(struct json_check *c, const json_t *o,
			  const char *name, reader read, struct experiment *e)
{
	const json_t *list = json_object_get(o, name);
	uint32_t n = json_array_size(list);
	uint32_t i;

	if (list && (!json_is_array(list) || n > MODEL_MAX)) {
		json_check_fail(c, name, "must be a list of at most %d",
				MODEL_MAX);
		return 0;
	}
	for (i = 0; i < n; i++) {
		g_autofree char *path = g_strdup_printf("$.%s[%u]", name, i);
		const json_t *item = json_array_get(list, i);

		if (json_is_object(item))
			read(c, item, path, e, i);
		else
			json_check_fail(c, path, "must be an object");
	}
	return n;
}

static void read_seeds(struct json_check *c, const json_t *o,
		       struct experiment *e)
{
	const json_t *list = json_object_get(o, "seeds");
	uint32_t i;

	e->n_seeds = MIN(json_array_size(list), MODEL_MAX);
	for (i = 0; i < e->n_seeds; i++) {
		const json_t *v = json_array_get(list, i);

		if (!json_is_integer(v))
			json_check_fail(c, "$.seeds", "must be integers");
		e->seeds[i] = json_integer_value(v);
	}
	if (!e->n_seeds)
		e->seeds[e->n_seeds++] = 1;
}

static void read_all(struct json_check *c, const json_t *o,
		     struct experiment *e)
{
	json_check_fields(c, o, "$", top_fields);
	e->seconds = json_check_number(c, o, "$", "seconds", 20, 0.1, 1e6);
	e->link_ms = json_check_number(c, o, "$", "link_ms", 0.5, 0, 1000);
	e->swing = json_check_share(c, o, "$", "swing", 0);
	e->period_s = json_check_number(c, o, "$", "period_s", 10, 0.1, 1e6);
	e->retry_share = json_check_share(c, o, "$", "retry_share", 0.2);
	e->retry_reserve =
		json_check_number(c, o, "$", "retry_reserve", 64, 0, 1e6);
	e->n_services = read_list(c, o, "services", read_service, e);
	e->n_classes = read_list(c, o, "classes", read_class, e);
	e->n_faults = read_list(c, o, "faults", read_fault, e);
	e->n_policies = read_list(c, o, "policies", read_policy, e);
	read_seeds(c, o, e);
	if (!e->n_services || !e->n_classes || !e->n_policies)
		json_check_fail(c, "$",
				"must list services, classes and policies");
}

int experiment_read(struct experiment *e, const char *path, GString *errors)
{
	json_error_t error;
	json_t *o = json_load_file(path, JSON_REJECT_DUPLICATES, &error);
	struct json_check c;
	uint32_t n;

	memset(e, 0, sizeof(*e));
	if (!o) {
		g_string_append_printf(errors, "%s: line %d: %s\n", path,
				       error.line, error.text);
		return RESULT_IO;
	}
	json_check_init(&c, path);
	if (json_is_object(o))
		read_all(&c, o, e);
	else
		json_check_fail(&c, "$", "must be an object");
	g_string_append(errors, c.errors->str);
	n = c.n_errors;
	json_check_finish(&c);
	json_decref(o);
	return n ? RESULT_INVALID : RESULT_OK;
}

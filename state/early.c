#include <string.h>

#include "settings/changes.h"
#include "state/early.h"
#include "util/result.h"

static bool early_rule_enabled(const struct early_configuration *e,
			       enum early_rule rule)
{
#ifdef RULE_SWITCHES
	return !(e->disabled_rules & rule);
#else
	(void)e;
	(void)rule;
	return true;
#endif
}

void early_init(struct early_configuration *e)
{
	memset(e, 0, sizeof(*e));
	e->source = -1;
}

static void clear(struct early_configuration *e)
{
	e->source = -1;
	g_clear_pointer(&e->document, json_decref);
	g_clear_pointer(&e->changes, json_decref);
	configuration_finish(&e->configuration);
}

void early_finish(struct early_configuration *e)
{
	clear(e);
}

int64_t early_source(const struct early_configuration *e, const struct fleet *f)
{
	return e->source >= 0 ? e->source : f->source_offset;
}

json_t *early_document(const struct early_configuration *e,
		       const struct fleet *f)
{
	return e->source >= 0 ? e->document : f->document;
}

const struct configuration *early_in_force(const struct early_configuration *e,
					   const struct fleet *f)
{
	return e->source >= 0 ? &e->configuration : &f->configuration;
}

static int64_t operators_version(const json_t *document)
{
	return json_integer_value(json_object_get(document, "source"));
}

/* Whether source and the document's version are newer than what is in force. */
static bool is_newer(const struct early_configuration *e, const struct fleet *f,
		     int64_t source, int64_t version)
{
	if (!early_rule_enabled(e, EARLY_NEWER_ONLY))
		return source > f->source_offset && source != e->source;
	return source > early_source(e, f) &&
	       version >= operators_version(early_document(e, f));
}

/* Takes over the contents of cfg and the references. */
static void replace(struct early_configuration *e, int64_t source, int64_t base,
		    json_t *changes, json_t *document,
		    const struct configuration *cfg)
{
	clear(e);
	e->source = source;
	e->base = base;
	e->changes = changes;
	e->document = document;
	e->configuration = *cfg;
}

int early_apply(struct early_configuration *e, const struct fleet *f,
		int64_t source, int64_t base, json_t *changes)
{
	int64_t version =
		json_integer_value(json_object_get(changes, "version"));
	json_t *document = NULL;
	struct configuration cfg;
	struct json_check c;
	int err;

	if (!is_newer(e, f, source, version))
		return RESULT_STALE;
	if (base != f->configuration_version &&
	    early_rule_enabled(e, EARLY_CHANGES_FIT_BASE))
		return RESULT_GAP;
	configuration_copy(&cfg, &f->configuration);
	if (f->document)
		document = json_incref(f->document);
	json_check_init(&c, "change");
	err = changes_apply(&cfg, &document, changes, &c);
	json_check_finish(&c);
	if (err) {
		configuration_finish(&cfg);
		json_decref(document);
		return err;
	}
	replace(e, source, base, json_incref(changes), document, &cfg);
	return RESULT_OK;
}

int early_load(struct early_configuration *e, const struct fleet *f,
	       int64_t source, json_t *document)
{
	struct configuration cfg = { 0 };
	struct json_check c;
	int err;

	if (!is_newer(e, f, source, operators_version(document)))
		return RESULT_STALE;
	json_check_init(&c, "change");
	err = configuration_read(&cfg, document, &c);
	json_check_finish(&c);
	if (err) {
		configuration_finish(&cfg);
		return err;
	}
	replace(e, source, f->configuration_version, NULL,
		json_incref(document), &cfg);
	return RESULT_OK;
}

bool early_on_log(struct early_configuration *e, const struct fleet *f)
{
	if (e->source < 0 || (f->source_offset < e->source &&
			      (early_rule_enabled(e, EARLY_UNTIL_LOG_HAS_IT) ||
			       f->configuration_version == e->base)))
		return false;
	clear(e);
	return true;
}

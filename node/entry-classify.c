#include <string.h>

#include "net/headers.h"
#include "node/entry-request.h"
#include "node/node.h"

#define MAX_KEY_LEN 512

/*
 * The n-th segment of a path, counted from 1. NULL if the path has fewer; to be
 * freed.
 */
static char *path_segment(const char *path, uint32_t n)
{
	const char *p = path;
	const char *end;

	while (n--) {
		if (*p != '/')
			return NULL;
		p++;
		if (!n)
			break;
		p = strchr(p, '/');
		if (!p)
			return NULL;
	}
	end = strchr(p, '/');
	return g_strndup(p, end ? (size_t)(end - p) : strlen(p));
}

/* The service's key in a request, NULL if there is none; to be freed. */
static char *find_key(struct httpd_request *http,
		      const struct service_settings *s)
{
	switch (s->key_place) {
	case KEY_PATH:
		return path_segment(http->path, s->key_segment);
	case KEY_QUERY:
		return g_strdup(httpd_argument(http, s->key_name));
	case KEY_HEADER:
		return g_strdup(httpd_header(http, s->key_name));
	default:
		return NULL;
	}
}

/* Draws the service of a request, by weight, from those of its class. */
static const struct service_settings *
pick_target(const struct configuration *cfg, const struct class_settings *k,
	    GRand *rand)
{
	uint64_t total = 0;
	uint64_t draw;
	uint32_t i;

	for (i = 0; i < k->n_targets; i++)
		total += k->targets[i].weight;
	draw = total > 1 ? g_rand_double_range(rand, 0, total) : 0;
	for (i = 0; i + 1 < k->n_targets; i++) {
		if (draw < k->targets[i].weight)
			break;
		draw -= k->targets[i].weight;
	}
	return &cfg->services[k->targets[i].service];
}

/* How long the caller waits, by its header; at most the deadline of the class. */
static int64_t caller_timeout_ms(const struct entry_request *r,
				 const struct class_settings *k)
{
	const struct settings *s = &r->entry->node->settings;
	const char *text = s->headers->wait_ms
				   ? httpd_header(r->http, s->headers->wait_ms)
				   : NULL;
	guint64 ms;

	if (!text ||
	    !g_ascii_string_to_unsigned(text, 10, 0, INT32_MAX, &ms, NULL))
		return k->deadline_ms;
	return MIN((int64_t)ms, k->deadline_ms);
}

/* Sets target, deadline and limits of a request from its class. */
static void apply_class(struct entry_request *r, const struct class_settings *k)
{
	const struct settings *s = &r->entry->node->settings;
	struct plan *p = &r->plan;

	g_free(r->class_name);
	r->class_name = g_strdup(k->name);
	r->target_ms = k->target_ms;
	r->priority = k->priority;
	r->resend_window_ms = k->resend_window_ms;
	p->repeatable = k->repeatable;
	p->max_servers = k->attempts;
	p->deadline_ms = p->received_at_ms + caller_timeout_ms(r, k);
	p->hold_until_ms = p->deadline_ms;
	if (s->hold_share > 0)
		p->hold_until_ms =
			MIN(p->deadline_ms,
			    p->received_at_ms +
				    (int64_t)(s->hold_share * k->target_ms));
}

/*
 * Finds the key and shard of a request. If the service has no keys, a request
 * that must not run twice and may have been sent before takes the shard of its
 * idempotency key, which thereby chooses the gate. Returns false if the
 * service's key is missing or too long.
 */
static bool find_shard(struct entry_request *r,
		       const struct service_settings *ss)
{
	struct fleet_service *s =
		fleet_service(&r->entry->node->member.fleet, ss->name);
	bool by_id = !r->plan.repeatable && r->idempotency_key &&
		     !r->is_first_send;

	r->key = find_key(r->http, ss);
	if (ss->key_place != KEY_NONE &&
	    (!r->key || !r->key[0] || strlen(r->key) > MAX_KEY_LEN))
		return false;
	r->plan.keyed = r->key || by_id;
	if (r->plan.keyed &&
	    shard_of_key(s, r->key ? r->key : r->idempotency_key, &r->shard))
		return false;
	if (!r->key)
		r->key = g_strdup("");
	return true;
}

static const struct class_settings *
match_class(const struct entry *e, const struct httpd_request *http)
{
	g_autofree char *path = g_strndup(http->url, strcspn(http->url, "?"));

	return configuration_match(member_configuration(&e->node->member),
				   http->method, httpd_header(http, "Host"),
				   path);
}

bool entry_is_repeatable(const struct entry *e,
			 const struct httpd_request *http)
{
	const struct class_settings *k = match_class(e, http);

	return k && k->repeatable;
}

bool entry_classify(struct entry_request *r)
{
	struct entry *e = r->entry;
	const struct member_node *m = &e->node->member;
	const struct header_names *names = e->node->settings.headers;
	const struct service_settings *ss;
	const struct class_settings *k;

	/*
	 * A process that has just started applies old configurations before it
	 * reaches the one in force. With an old one, a caller would get 404 for
	 * a route that exists, or its request would go to a service that the
	 * route no longer leads to.
	 */
	if (!member_document(m) || !member_is_current(m)) {
		entry_reply_not_run(r, "no configuration is in force yet\n");
		return false;
	}
	r->configuration_version = m->fleet.configuration_version;
	r->configuration_source = member_source_in_force(m);
	k = match_class(e, r->http);
	if (!k && member_is_behind(m)) {
		entry_reply_not_run(r, "a newer configuration is on its way\n");
		return false;
	}
	if (!k) {
		entry_reject(r, 404, "no class matches this method and path\n");
		return false;
	}
	if (names->idempotency)
		r->idempotency_key = httpd_header(r->http, names->idempotency);
	if (names->attempt_id)
		r->attempt_id = httpd_header(r->http, names->attempt_id);
	r->is_first_send = r->attempt_id;
	apply_class(r, k);
	ss = pick_target(member_configuration(m), k, e->rand);
	g_strlcpy(r->service, ss->name, sizeof(r->service));
	if (!fleet_service(&m->fleet, r->service)) {
		entry_reply_not_run(r, "its service is not in force yet\n");
		return false;
	}
	if (r->idempotency_key && strlen(r->idempotency_key) > MAX_KEY_LEN) {
		entry_reject(r, 400, "the idempotency key is too long\n");
		return false;
	}
	if (!find_shard(r, ss)) {
		entry_reject(r, 400,
			     "the request names no key, or one too long\n");
		return false;
	}
	return true;
}

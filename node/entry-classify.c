#include <string.h>

#include "node/entry-request.h"
#include "net/headers.h"
#include "node/node.h"

#define MAX_KEY_LEN 512

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

bool entry_classify(struct entry_request *r)
{
	struct entry *e = r->entry;
	const struct fleet *f = &e->node->member.fleet;
	const struct service_settings *ss;
	struct fleet_service *s;
	const char *id = httpd_header(r->http, HEADER_IDEMPOTENCY);

	if (!f->document) {
		r->refused_wait_ms = 1000;
		entry_reply_not_run(r, "no configuration is in force yet\n");
		return false;
	}
	r->class = configuration_match(&f->configuration, r->http->method,
				       r->http->path);
	if (!r->class) {
		entry_reject(r, 404, "no class matches this method and path\n");
		return false;
	}
	ss = &f->configuration.services[r->class->service];
	s = fleet_service(f, ss->name);
	r->version = f->configuration_version;
	r->repeatable = r->class->repeatable;
	r->target_ms = r->class->target_ms;
	r->deadline_ms = r->received_ms + r->class->deadline_ms;
	r->id_header = id;
	g_strlcpy(r->service, ss->name, sizeof(r->service));
	r->key = find_key(r->http, ss);
	if (ss->key_place != KEY_NONE &&
	    (!r->key || !r->key[0] || strlen(r->key) > MAX_KEY_LEN)) {
		entry_reject(r, 400,
			     "the request names no key, or one too long\n");
		return false;
	}
	if (id && strlen(id) > MAX_KEY_LEN) {
		entry_reject(r, 400, "the idempotency key is too long\n");
		return false;
	}
	r->keyed = r->key || (!r->repeatable && id);
	if (r->keyed)
		r->shard = shard_of_key(s, r->key ? r->key : id);
	if (!r->key)
		r->key = g_strdup("");
	return true;
}

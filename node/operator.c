#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "net/headers.h"
#include "node/node.h"
#include "state/records.h"
#include "util/counters.h"
#include "util/histogram.h"
#include "util/result.h"

/* The operators' HTTP interface: status, metrics, configuration, audit trail. */

#define MAX_DOCUMENT_BYTES (4 * 1024 * 1024)
#define PUBLISH_TIMEOUT_MS 8000
#define MAX_PUBLISHES 32

static void reply_json(struct httpd_request *r, uint32_t status, json_t *o)
{
	char *text = json_dumps(o, JSON_INDENT(2) | JSON_SORT_KEYS);
	GPtrArray *headers = headers_new();

	header_add(headers, "Content-Type", "application/json");
	httpd_reply(r, status, headers, text, strlen(text));
	g_ptr_array_unref(headers);
	free(text);
	json_decref(o);
}

static void reply_problem(struct httpd_request *r, uint32_t status,
			  const char *text)
{
	reply_json(r, status, json_pack("{s:s}", "problem", text));
}

static uint32_t count_shards_owned(const struct node *n, const struct member *m)
{
	struct fleet_service *s = fleet_service(&n->member.fleet, m->service);
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; s && i < s->n_shards; i++)
		count += s->shards[i].owner == m->id;
	return count;
}

static uint32_t count_shards_held(const struct node *n)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < n->member.n_holds; i++)
		count += n->member.holds[i].state == HOLD_HELD;
	return count;
}

static int64_t unsettled_ms(const struct unsettled_moves *u)
{
	return u->n ? clock_now_ms() - u->since_ms : 0;
}

static json_t *members_json(const struct node *n)
{
	json_t *list = json_array();
	struct member *m;
	uint32_t i;

	for_each_member (&n->member.fleet, m, i)
		json_array_append_new(
			list,
			json_pack("{s:I,s:s,s:s,s:s,s:s,s:i,s:b,s:b,s:o,s:b}",
				  "id", (json_int_t)m->id, "host", m->host,
				  "data_centre", m->data_centre, "service",
				  m->service, "peer", m->peer, "shards",
				  count_shards_owned(n, m), "takes_work",
				  fleet_member_in_service(&n->member.fleet, m),
				  "known_stopped",
				  member_known_stopped(&n->member, m->id),
				  "witnesses",
				  witness_set_to_json(&m->witnesses),
				  "witnesses_settled", !m->old_witnesses.n));
	return list;
}

static json_t *data_centres_json(const struct node *n)
{
	const struct configuration *cfg = &n->member.fleet.configuration;
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < cfg->n_data_centres; i++)
		json_array_append_new(
			list, json_pack("{s:s,s:b}", "name",
					cfg->data_centres[i].name, "in_service",
					cfg->data_centres[i].in_service));
	return list;
}

static json_t *counters_json(void)
{
	json_t *o = json_object();
	int i;

	for (i = 0; i < N_COUNTERS; i++)
		json_object_set_new(o, counter_name(i),
				    json_integer(counters[i]));
	return o;
}

static void get_status(struct node *n, struct httpd_request *r)
{
	const struct member_node *m = &n->member;
	int64_t lease = member_lease_end_ms(m) - clock_now_ms();
	struct unsettled_moves unsettled = member_unsettled_moves(m);

	reply_json(
		r, 200,
		json_pack(
			"{s:s,s:s,s:s,s:I,s:I,s:I,s:b,s:b,s:i,s:i,s:I,s:i,s:i,"
			"s:f,s:o,s:o,s:o}",
			"host", n->settings.host, "data_centre",
			n->settings.data_centre, "service", n->settings.service,
			"member", (json_int_t)m->self_id, "applied",
			(json_int_t)m->fleet.applied, "configuration_version",
			(json_int_t)m->fleet.configuration_version, "lease",
			lease > 0, "log_up", log_client_up(&n->log),
			"shards_held", count_shards_held(n), "moves_unsettled",
			unsettled.n, "moves_unsettled_ms",
			(json_int_t)unsettled_ms(&unsettled), "links",
			peers_n_links(&n->peers), "in_flight",
			n->gate.admission.n_in_flight, "limit",
			n->gate.admission.limit.allowed, "members",
			members_json(n), "data_centres", data_centres_json(n),
			"counters", counters_json()));
}

static void get_metrics(struct node *n, struct httpd_request *r)
{
	GString *text = g_string_new(NULL);
	struct unsettled_moves unsettled = member_unsettled_moves(&n->member);

	counters_text(text);
	histograms_text(text);
	g_string_append_printf(
		text,
		"applied_offset %" PRId64 "\n"
		"configuration_version %" PRId64 "\n"
		"configuration_classes %u\n"
		"configuration_source %" PRId64 "\n"
		"published_source %" PRId64 "\n"
		"in_force_source %" PRId64 "\n"
		"members %u\nshards_held %u\nlease %d\n"
		"moves_unsettled %u\nmoves_unsettled_ms %" PRId64 "\n"
		"in_flight %u\nwaiting %u\nlimit %.1f\n"
		"backend_latency_us %.0f\n",
		n->member.fleet.applied, n->member.fleet.configuration_version,
		n->member.fleet.configuration.n_classes,
		n->member.fleet.source_offset, n->member.published_source,
		member_source_in_force(&n->member),
		fleet_n_members(&n->member.fleet), count_shards_held(n),
		member_lease_end_ms(&n->member) > clock_now_ms(), unsettled.n,
		unsettled_ms(&unsettled), n->gate.admission.n_in_flight,
		n->gate.admission.queue.heap->len,
		n->gate.admission.limit.allowed,
		n->gate.admission.limit.recent_ms * 1000);
	httpd_reply(r, 200, NULL, text->str, text->len);
	g_string_free(text, TRUE);
}

static const char *host_of(const struct node *n, int64_t id)
{
	const struct member *m = fleet_member(&n->member.fleet, id);

	return m ? m->host : "";
}

static void get_explain(struct node *n, struct httpd_request *r)
{
	const char *service = httpd_argument(r, "service");
	const char *key = httpd_argument(r, "key");
	struct fleet_service *s;
	const struct shard *sh;
	bool stopped;
	int64_t server;
	uint32_t i;

	s = service ? fleet_service(&n->member.fleet, service) : NULL;
	if (!s || !key || shard_of_key(s, key, &i)) {
		reply_problem(r, 404, "no such service, or no such key");
		return;
	}
	sh = &s->shards[i];
	stopped = member_known_stopped(&n->member, sh->owner);
	server = stopped ? sh->successor : sh->owner;
	reply_json(r, 200,
		   json_pack("{s:s,s:s,s:i,s:I,s:s,s:I,s:s,s:I,s:I,s:b,s:s}",
			     "service", service, "key", key, "shard", i,
			     "owner", (json_int_t)server, "owner_host",
			     host_of(n, server), "successor",
			     (json_int_t)sh->successor, "successor_host",
			     host_of(n, sh->successor), "since_offset",
			     (json_int_t)sh->fence, "moving_from",
			     (json_int_t)sh->prev_owner, "ahead_of_log",
			     stopped, "why",
			     stopped ? "the owner's witnesses say it stopped; "
				       "its successor serves"
			     : sh->prev_owner ? "planned move, not settled yet"
					      : "assigned by the log record"));
}

static void get_audit(struct node *n, struct httpd_request *r)
{
	const char *from = httpd_argument(r, "from");
	GString *text = g_string_new(NULL);
	GPtrArray *headers = headers_new();
	int64_t next = audit_text(
		&n->audit, from ? g_ascii_strtoll(from, NULL, 10) : 0, text);

	header_add_int(headers, "Next", next);
	httpd_reply(r, 200, headers, text->str, text->len);
	g_ptr_array_unref(headers);
	g_string_free(text, TRUE);
}

static void get_configuration(struct node *n, struct httpd_request *r)
{
	const struct fleet *f = &n->member.fleet;

	reply_json(r, 200,
		   json_pack("{s:I,s:O?}", "version",
			     (json_int_t)f->configuration_version, "document",
			     f->document));
}

static json_t *read_body(struct httpd_request *r)
{
	json_t *o =
		json_loadb((const char *)r->body->data, r->body->len, 0, NULL);

	if (json_is_object(o))
		return o;
	json_decref(o);
	reply_problem(r, 400, "the body is no JSON object");
	return NULL;
}

static void post_announce(struct node *n, struct httpd_request *r)
{
	static const char *const fields[] = { "service", "slots", "connections",
					      "probe_ms", NULL };
	json_t *o = read_body(r);
	struct backend_server b = { 0 };
	struct json_check c;
	const char *service;

	if (!o)
		return;
	json_check_init(&c, "announce");
	json_check_fields(&c, o, "$", fields);
	service = json_check_string(&c, o, "$", "service", JSON_REQUIRED_STRING,
				    NAME_MAX_LEN);
	b.slots = json_check_int(&c, o, "$", "slots", JSON_REQUIRED_INT, 1,
				 100000);
	b.connections = json_check_int(&c, o, "$", "connections",
				       JSON_REQUIRED_INT, 1, 100000);
	b.probe_cost_ms = json_check_int(&c, o, "$", "probe_ms", 0, 0, 10000);
	if (!c.n_errors && strcmp(service, n->settings.service))
		json_check_fail(&c, "$.service",
				"this node serves another service");
	if (c.n_errors) {
		reply_problem(r, 400, c.errors->str);
	} else {
		/* It announces itself once, when it starts. */
		g_snprintf(b.instance_id, sizeof(b.instance_id),
			   "%s/%" G_GINT64_FORMAT, n->settings.host,
			   (gint64)g_get_real_time());
		instance_set_ready(&n->server_instance, "", 0, 0,
				   clock_now_ms());
		gate_backend_announced(&n->gate, &b);
		node_backend_announced(n);
		reply_json(r, 200, json_pack("{s:b}", "announced", 1));
	}
	json_check_finish(&c);
	json_decref(o);
}

static void post_leave(struct node *n, struct httpd_request *r)
{
	instance_on_event(&n->server_instance, SERVER_DEREGISTERS);
	gate_backend_left(&n->gate);
	node_backend_left(n);
	reply_json(r, 200, json_pack("{s:b}", "leaving", 1));
}

static void publish_end(struct node *n, struct publish *p, uint32_t status,
			json_t *answer)
{
	if (p->http) {
		p->http->user = NULL;
		reply_json(p->http, status, answer);
	} else {
		json_decref(answer);
	}
	g_ptr_array_remove_fast(n->publishes, p);
	g_free(p);
}

static void publish_accepted(struct node *n, struct publish *p)
{
	publish_end(n, p, 200,
		    json_pack("{s:s,s:I}", "outcome", "accepted", "version",
			      (json_int_t)p->version));
}

static void publish_conflict(struct node *n, struct publish *p)
{
	publish_end(
		n, p, 409,
		json_pack("{s:s,s:I,s:s}", "outcome", "conflict", "in_force",
			  (json_int_t)n->member.fleet.configuration_version,
			  "problem",
			  "another change came first; nothing was changed"));
}

void operator_appended(struct node *n, struct publish *p, int result)
{
	p->appended = result == RESULT_OK;
	if (p->in_force) {
		publish_accepted(n, p);
	} else if (p->dropped) {
		publish_conflict(n, p);
	} else if (!p->appended) {
		publish_end(
			n, p, 503,
			json_pack("{s:s,s:s}", "outcome", "not-accepted",
				  "problem",
				  "the log could not be reached; the change "
				  "is not in force"));
	}
}

void operator_on_event(struct node *n, const struct fleet_event *ev)
{
	uint32_t i;

	if (ev->type != FLEET_CONFIGURATION_CHANGED &&
	    ev->type != FLEET_RECORD_DROPPED)
		return;
	for (i = 0; i < n->publishes->len; i++) {
		struct publish *p = g_ptr_array_index(n->publishes, i);

		if (!strstr(ev->written_by, p->id))
			continue;
		p->in_force = ev->type == FLEET_CONFIGURATION_CHANGED;
		p->dropped = !p->in_force;
		p->version = ev->offset;
	}
}

void operator_tick(struct node *n)
{
	int64_t now = clock_now_ms();
	uint32_t i;

	for (i = n->publishes->len; i-- > 0;) {
		struct publish *p = g_ptr_array_index(n->publishes, i);

		if (p->appended && p->in_force) {
			publish_accepted(n, p);
		} else if (p->appended && p->dropped) {
			publish_conflict(n, p);
		} else if (p->http &&
			   now - p->started_at_ms > PUBLISH_TIMEOUT_MS) {
			struct httpd_request *http = p->http;

			p->http = NULL;
			http->user = NULL;
			reply_json(http, 504,
				   json_pack("{s:s,s:s}", "outcome", "unknown",
					     "problem",
					     "the log does not answer; look at "
					     "the configuration later"));
		}
	}
}

static void start_publish(struct node *n, struct httpd_request *r,
			  json_t *record, const char *by)
{
	struct publish *p;
	g_autofree char *written_by = NULL;

	if (n->publishes->len >= MAX_PUBLISHES) {
		json_decref(record);
		reply_problem(r, 503, "too many changes at once");
		return;
	}
	p = g_new0(struct publish, 1);
	p->http = r;
	p->started_at_ms = clock_now_ms();
	g_snprintf(p->id, sizeof(p->id), "%08x", g_random_int());
	r->user = p;
	written_by = g_strdup_printf("%s [%s]", by, p->id);
	json_object_set_new(record, "by", json_string(written_by));
	g_ptr_array_add(n->publishes, p);
	log_client_append(&n->log, APPEND_OPERATOR, false, p, record);
}

static const char *get_string_or(const json_t *o, const char *name,
				 const char *fallback)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s ? s : fallback;
}

static void post_configuration(struct node *n, struct httpd_request *r)
{
	json_t *o = read_body(r);
	json_t *doc = json_object_get(o, "document");
	json_t *base = json_object_get(o, "base");
	struct configuration *cfg;
	struct json_check c;

	if (!o)
		return;
	cfg = g_new0(struct configuration, 1);
	json_check_init(&c, "document");
	if (!json_is_integer(base))
		json_check_fail(&c, "$.base", "must be a version");
	if (configuration_read(cfg, doc, &c))
		reply_problem(r, 400, c.errors->str);
	else
		start_publish(
			n, r,
			record_configuration(json_integer_value(base), doc, "",
					     get_string_or(o, "reason", "")),
			get_string_or(o, "by", "operator"));
	json_check_finish(&c);
	configuration_finish(cfg);
	g_free(cfg);
	json_decref(o);
}

static void post_declare_lost(struct node *n, struct httpd_request *r)
{
	json_t *o = read_body(r);
	const char *host = get_string_or(o, "host", "");
	struct member *m;
	json_t *record;

	if (!o)
		return;
	m = fleet_member_by_host(&n->member.fleet, host);
	if (!m) {
		reply_problem(r, 404, "no member on this host");
		json_decref(o);
		return;
	}
	record = record_expel(0, "declared lost by an operator");
	record_expel_add(record, m);
	log_client_append(&n->log, APPEND_DECLARE_LOST, false, NULL, record);
	reply_json(r, 202,
		   json_pack("{s:s,s:I}", "outcome", "sent", "member",
			     (json_int_t)m->id));
	json_decref(o);
}

static void get_quarantine(struct node *n, struct httpd_request *r)
{
	const struct quarantine *q = &n->member.fleet.quarantine;
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < q->n; i++) {
		const struct quarantined_request *e = &q->requests[i];
		g_autofree char *text =
			g_strdup_printf("%016" PRIx64, e->fingerprint);

		json_array_append_new(
			list, json_pack("{s:s,s:s,s:i,s:i,s:I}", "fingerprint",
					text, "state",
					e->endings >= QUARANTINE_BLOCK_ENDINGS
						? "blocked"
						: "suspect",
					"endings", e->endings, "servers_ended",
					e->n_instances, "offset",
					(json_int_t)e->offset));
	}
	reply_json(r, 200, json_pack("{s:o}", "requests", list));
}

static void post_quarantine(struct node *n, struct httpd_request *r)
{
	json_t *o = read_body(r);
	uint64_t fingerprint;

	if (!o)
		return;
	fingerprint = g_ascii_strtoull(get_string_or(o, "clear", ""), NULL, 16);
	if (!quarantine_find(&n->member.fleet.quarantine, fingerprint)) {
		reply_problem(r, 404, "no request with this fingerprint");
		json_decref(o);
		return;
	}
	log_client_append(
		&n->log, APPEND_CLEAR_REQUEST, true, NULL,
		record_cleared(json_string(get_string_or(o, "by", "")),
			       get_string_or(o, "reason", ""), &fingerprint,
			       1));
	reply_json(r, 202, json_pack("{s:s}", "outcome", "sent"));
	json_decref(o);
}

static void post_cut(struct node *n, struct httpd_request *r)
{
	const char *peer = httpd_argument(r, "peer");
	const char *on = httpd_argument(r, "on");

	if (!n->settings.test_hooks || !peer || !on) {
		reply_problem(r, 404, "no such page");
		return;
	}
	peers_block(&n->peers, peer, !strcmp(on, "1"));
	reply_json(r, 200, json_pack("{s:s}", "peer", peer));
}

struct page {
	const char *method;
	const char *path;
	void (*serve)(struct node *n, struct httpd_request *r);
};

static const struct page pages[] = {
	{ "GET", "/status", get_status },
	{ "GET", "/metrics", get_metrics },
	{ "GET", "/explain", get_explain },
	{ "GET", "/audit", get_audit },
	{ "GET", "/configuration", get_configuration },
	{ "POST", "/configuration", post_configuration },
	{ "POST", "/announce", post_announce },
	{ "POST", "/leave", post_leave },
	{ "POST", "/declare-lost", post_declare_lost },
	{ "GET", "/quarantine", get_quarantine },
	{ "POST", "/quarantine", post_quarantine },
	{ "POST", "/test/cut", post_cut },
};

static void on_request(void *user, struct httpd_request *r)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(pages); i++) {
		if (strcmp(pages[i].method, r->method) ||
		    strcmp(pages[i].path, r->path))
			continue;
		pages[i].serve(user, r);
		return;
	}
	reply_problem(r, 404, "no such page");
}

static void on_closed(void *user, struct httpd_request *r)
{
	struct publish *p = r->user;

	(void)user;
	/* The operator disconnected; the record may still take effect. */
	if (p)
		p->http = NULL;
}

static const struct httpd_ops operator_ops = {
	.on_request = on_request,
	.on_closed = on_closed,
};

int operator_init(struct node *n)
{
	return httpd_init(&n->operator_httpd, n->loop,
			  n->settings.operator_address, MAX_DOCUMENT_BYTES,
			  &operator_ops, n);
}

void operator_finish(struct node *n)
{
	while (n->publishes->len) {
		struct publish *p = g_ptr_array_index(n->publishes, 0);

		if (p->http)
			p->http->user = NULL;
		g_ptr_array_remove_index_fast(n->publishes, 0);
		g_free(p);
	}
	if (n->operator_httpd.daemon)
		httpd_finish(&n->operator_httpd);
}

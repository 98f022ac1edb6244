#include <string.h>

#include "gate/grant-heartbeat.h"
#include "net/clock.h"
#include "node/backend.h"
#include "node/node.h"
#include "platform/announce.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/histogram.h"
#include "util/result.h"

#define MAX_BODY_BYTES (256 * 1024)
/* The platform accepts answers of at most 4 KiB. */
#define MAX_ANSWER_BYTES 4000
/* The clock may have been set back since the server started. */
#define MAX_START_AHEAD_MS (10 * 365 * 24 * 60 * 60 * INT64_C(1000))
/*
 * Connections beyond one for each slot: a connection may still be closing while
 * its replacement opens.
 */
#define SPARE_CONNECTIONS 4
/*
 * Grants that no heartbeat renews end at the backend server after a lease at
 * most. It then serves none of the shards, and another one should get them.
 */
#define HEARTBEAT_TIMEOUT_LEASES 1
#define HEARTBEAT_TIMEOUT_MARGIN_MS 500

void backend_reply(struct httpd_request *r, uint32_t status, const char *text)
{
	GPtrArray *headers = headers_new();

	header_add(headers, "Content-Type", "application/json");
	httpd_reply(r, status, headers, text, strlen(text));
	g_ptr_array_unref(headers);
}

static void announce_instance(struct node *n, const struct announcement *a)
{
	struct backend_server b = {
		.slots = a->slots, .connections = a->slots + SPARE_CONNECTIONS
	};

	g_strlcpy(b.id, a->id, sizeof(b.id));
	g_snprintf(b.instance_id, sizeof(b.instance_id), "%s/%" G_GINT64_FORMAT,
		   a->id, (gint64)a->started_ms);
	gate_backend_announced(&n->gate, &b);
	member_set_server_instance(&n->member, b.instance_id);
	node_backend_announced(n);
}

/* Follows the state of the server's instance from READY to another one. */
static void follow_leaving(struct node *n, bool was_gone, const char *why)
{
	if (was_gone || !instance_is_gone(&n->server_instance))
		return;
	EVENT(server_leaves, NULL, "\"server\":\"%s\",\"why\":\"%s\"",
	      event_text(n->server_instance.id), event_text(why));
	g_info("backend server %s: %s", n->server_instance.id, why);
	gate_backend_left(&n->gate);
	node_backend_left(n);
}

static void on_backend_event(struct node *n, enum server_event event,
			     const char *why)
{
	bool was_gone = instance_is_gone(&n->server_instance);

	instance_on_event(&n->server_instance, event);
	follow_leaving(n, was_gone, why);
}

void backend_said_leaving(struct node *n)
{
	const struct server_instance *s = &n->server_instance;

	on_backend_event(n, SERVER_SAYS_LEAVING,
			 "says in its answers that it leaves");
	/* In Briargrade's own interface servers have no id. */
	if (s->id[0])
		leaving_record(n, s->id, s->started_ms);
}

void backend_left_by_log(struct node *n, const struct leaving *left)
{
	bool was_gone = instance_is_gone(&n->server_instance);

	instance_on_recorded_leaving(&n->server_instance, left->server,
				     left->started_ms, left->left_wall_ms,
				     clock_now_ms());
	follow_leaving(n, was_gone, "has left, by the log");
}

static void on_new_instance(struct node *n, const struct announcement *a)
{
	grants_new_instance(&n->gate.grants);
	/* The grants of the previous instance ended with it. */
	if (n->member.self_id)
		node_backend_left(n);
	announce_instance(n, a);
}

static void update_state(struct node *n, const struct announcement *a,
			 enum instance_check check, bool was_gone)
{
	bool gone = instance_is_gone(&n->server_instance);

	if (check == INSTANCE_NEW)
		on_new_instance(n, a);
	else if (was_gone && !gone)
		announce_instance(n, a);
	follow_leaving(n, was_gone && check != INSTANCE_NEW, "is leaving");
	cold_start_set_remaining(&n->gate.admission.cold_start, a->cold_left_ms,
				 clock_now_ms());
}

static void on_deregister(struct node *n, struct httpd_request *r,
			  const char *id)
{
	bool was_gone = instance_is_gone(&n->server_instance);
	int64_t started_ms = announce_read_start(r->body->data, r->body->len);

	instance_on_deregister(&n->server_instance, id, started_ms,
			       g_get_real_time() / 1000, clock_now_ms());
	EVENT(server_deregistered, NULL,
	      "\"server\":\"%s\",\"known\":\"%s\",\"state\":\"%s\"",
	      event_text(id), event_text(n->server_instance.id),
	      instance_state_name(n->server_instance.state));
	follow_leaving(n, was_gone, "has left");
	leaving_acknowledge(n, r, id, started_ms, -1);
}

/*
 * Returns the answer to a heartbeat, newly allocated. Sets *rows to the rows to
 * grant (or NULL), *hold_ms to how long they are granted for, and *n_included
 * to how many of the rows fit into the answer.
 */
static char *encode_answer(struct node *n, const struct grant_owner *o,
			   bool with_handovers, GArray **rows, int64_t *hold_ms,
			   uint32_t *n_included)
{
	uint32_t n_omitted;
	char *text;

	*rows = grant_heartbeat_rows(&n->gate.grants, o, with_handovers,
				     n->settings.hold_max_ms, clock_now_ms(),
				     hold_ms);
	text = announce_encode_answer(*rows, *hold_ms, MAX_ANSWER_BYTES,
				      &n_omitted);
	*n_included = *rows ? (*rows)->len - n_omitted : 0;
	return text;
}

static char *grant_rows(struct node *n, int64_t number)
{
	struct grant_owner owner;
	int64_t hold_ms;
	GArray *rows;
	uint32_t n_included;
	char *text;

	grant_owner_from(&owner, &n->member);
	text = encode_answer(n, &owner, true, &rows, &hold_ms, &n_included);
	if (!rows)
		return text;
	/*
	 * If not all rows fit, send them without handovers: a key without its
	 * handover starts cold, but the backend server releases a key that is
	 * in no row.
	 */
	if (n_included < rows->len) {
		g_free(text);
		g_array_unref(rows);
		text = encode_answer(n, &owner, false, &rows, &hold_ms,
				     &n_included);
	}
	if (n_included < rows->len)
		g_warning("heartbeat answer too long: %u of %u rows left out",
			  rows->len - n_included, rows->len);
	MEASURE(grant_ms, hold_ms);
	grant_heartbeat_answered(&n->gate.grants, rows, n_included, number,
				 hold_ms, clock_now_ms());
	g_array_unref(rows);
	return text;
}

void backend_answer_heartbeat(struct node *n, struct httpd_request *r,
			      int64_t number)
{
	g_autofree char *text = grant_rows(n, number);

	backend_reply(r, 200, text);
}

/*
 * Answers a heartbeat. grants: its answer names what the server may hold.
 */
static void reply_to_heartbeat(struct node *n, struct httpd_request *r,
			       const struct announcement *a, bool grants)
{
	int64_t number = grants ? a->heartbeat_number : -1;

	if (a->draining)
		leaving_acknowledge(n, r, a->id, a->started_ms, number);
	else if (grants)
		backend_answer_heartbeat(n, r, number);
	else
		backend_reply(r, 200, "{}");
}

/* Why a heartbeat is not one of the server beside this node, or NULL. */
static const char *foreign_heartbeat(const struct node *n,
				     const struct announcement *a)
{
	if (strcmp(a->service, n->settings.service) ||
	    strcmp(a->address, n->settings.backend_server))
		return "not the backend server of this host";
	/* Its clock is that of this host. */
	if (a->started_ms > g_get_real_time() / 1000 + MAX_START_AHEAD_MS)
		return "its start is in the future";
	return NULL;
}

static void on_heartbeat(struct node *n, struct httpd_request *r,
			 const char *id)
{
	GString *why = g_string_new(NULL);
	struct announcement a;
	enum instance_check check;
	bool was_gone = instance_is_gone(&n->server_instance);
	int err = announce_read(&a, id, r->body->data, r->body->len, why);

	if (!err && foreign_heartbeat(n, &a))
		g_string_append(why, foreign_heartbeat(n, &a));
	if (why->len) {
		EVENT(server_refused, NULL, "\"server\":\"%s\",\"why\":\"%s\"",
		      event_text(id), event_text(why->str));
		g_info("heartbeat of %s refused: %s", id, why->str);
		backend_reply(r, 400, "{}");
		goto out;
	}
	check = instance_on_heartbeat(&n->server_instance, a.id, a.started_ms,
				      a.heartbeat_number, a.draining,
				      clock_now_ms());
	if (check == INSTANCE_STALE) {
		COUNT(heartbeats_stale);
		follow_leaving(n, was_gone, "is leaving");
		reply_to_heartbeat(n, r, &a, false);
		goto out;
	}
	update_state(n, &a, check, was_gone);
	gate_apply_configuration(&n->gate);
	if (n->gate.grants.ops == &grant_by_call) {
		reply_to_heartbeat(n, r, &a, false);
		granter_on_heartbeat(&n->granter, check == INSTANCE_NEW);
		goto out;
	}
	grant_heartbeat_received(&n->gate.grants, a.heartbeat_number, a.holds,
				 a.released, n->settings.hold_max_ms,
				 clock_now_ms());
	reply_to_heartbeat(n, r, &a, true);
out:
	announce_finish(&a);
	g_string_free(why, TRUE);
}

static void on_request(void *user, struct httpd_request *r)
{
	struct node *n = user;
	char id[ANNOUNCE_ID_MAX_LEN + 1];

	switch (announce_parse_call(r->method, r->path, id)) {
	case ANNOUNCE_READY:
		httpd_reply_text(r, node_is_ready(n) ? 200 : 503, "");
		break;
	case ANNOUNCE_HEARTBEAT:
		on_heartbeat(n, r, id);
		break;
	case ANNOUNCE_DEREGISTER:
		on_deregister(n, r, id);
		break;
	default:
		httpd_reply_text(r, 404, "no such page\n");
	}
}

static void on_closed(void *user, struct httpd_request *r)
{
	leaving_on_closed(user, r);
}

static const struct httpd_ops backend_ops = {
	.on_request = on_request,
	.on_closed = on_closed,
};

int backend_init(struct node *n)
{
	const struct settings *s = &n->settings;
	int err = RESULT_OK;

	if (s->ready_address[0])
		err = httpd_init(&n->ready_httpd, n->loop, s->ready_address,
				 MAX_BODY_BYTES, &backend_ops, n);
	if (!err && s->announce_address[0])
		err = httpd_init(&n->announce_httpd, n->loop,
				 s->announce_address, MAX_BODY_BYTES,
				 &backend_ops, n);
	return err;
}

void backend_finish(struct node *n)
{
	if (n->ready_httpd.daemon)
		httpd_finish(&n->ready_httpd);
	if (n->announce_httpd.daemon)
		httpd_finish(&n->announce_httpd);
}

void backend_tick(struct node *n)
{
	int64_t silent_ms =
		clock_now_ms() - n->server_instance.last_heartbeat_at_ms;

	if (!n->server_instance.id[0] ||
	    instance_is_gone(&n->server_instance) || !n->gate.grants.n_shards)
		return;
	if (silent_ms > HEARTBEAT_TIMEOUT_LEASES * n->settings.lease_ms +
				HEARTBEAT_TIMEOUT_MARGIN_MS)
		on_backend_event(n, SERVER_FALLS_SILENT,
				 "sent no heartbeat for a whole lease");
}

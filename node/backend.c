#include <string.h>

#include "gate/grant-heartbeat.h"
#include "net/clock.h"
#include "node/backend.h"
#include "node/node.h"
#include "platform/announce.h"
#include "util/event.h"
#include "util/histogram.h"
#include "util/result.h"

#define MAX_BODY_BYTES (256 * 1024)
/* The platform takes answers of at most 4 KiB. */
#define MAX_ANSWER_BYTES 4000
/* Connections beside those in use: one closing while its successor opens. */
#define SPARE_CONNECTIONS 4
/*
 * Keys that no heartbeat renewed have run out at the server after their lease.
 * Then it serves none of them, and another server should.
 */
#define SILENT_LEASES 1
#define SILENT_MARGIN_MS 500

static void reply_json(struct httpd_request *r, uint32_t status,
		       const char *text)
{
	GPtrArray *headers = headers_new();

	header_add(headers, "Content-Type", "application/json");
	httpd_reply(r, status, headers, text, strlen(text));
	g_ptr_array_unref(headers);
}

static void announced(struct node *n, const struct announcement *a)
{
	struct backend_server b = {
		.slots = a->slots, .connections = a->slots + SPARE_CONNECTIONS
	};

	g_strlcpy(b.id, a->id, sizeof(b.id));
	g_snprintf(b.life, sizeof(b.life), "%s/%" G_GINT64_FORMAT, a->id,
		   (gint64)a->started_ms);
	gate_announce(&n->gate, &b);
	n->backend_left = false;
	member_set_server_instance(&n->member, b.life);
	node_backend_announced(n);
}

static void leaves(struct node *n, const char *why)
{
	if (n->backend_left)
		return;
	EVENT(server_leaves, NULL, "\"server\":\"%s\",\"why\":\"%s\"",
	      event_text(n->life.id), event_text(why));
	g_info("backend server %s: %s", n->life.id, why);
	n->backend_left = true;
	gate_leave(&n->gate);
	node_backend_left(n);
}

static void follow_state(struct node *n, const struct announcement *a,
			 enum instance_check news)
{
	if (news == INSTANCE_NEW) {
		grants_new_instance(&n->gate.grants);
		/* What was granted to the life before ended with it. */
		if (n->member.self_id)
			node_backend_left(n);
		announced(n, a);
	} else if (!a->draining && n->backend_left) {
		announced(n, a);
	}
	if (a->draining)
		leaves(n, "is leaving");
	cold_start_set_remaining(&n->gate.load.cold_start, a->cold_left_ms,
				 clock_now_ms());
}

/* The answer to a heartbeat; n_named of its rows had room. */
static char *write_answer(struct node *n, const struct grant_owner *o,
			  bool with_handovers, GArray **rows, int64_t *hold_ms,
			  uint32_t *n_named)
{
	uint32_t n_left_out;
	char *text;

	*rows = grant_heartbeat_rows(&n->gate.grants, o, with_handovers,
				     n->settings.hold_max_ms, clock_now_ms(),
				     hold_ms);
	text = announce_encode_answer(*rows, *hold_ms, MAX_ANSWER_BYTES,
				      &n_left_out);
	*n_named = *rows ? (*rows)->len - n_left_out : 0;
	return text;
}

static char *answer(struct node *n, int64_t number)
{
	struct grant_owner owner;
	int64_t hold_ms;
	GArray *rows;
	uint32_t n_named;
	char *text;

	grant_owner_from(&owner, &n->member);
	text = write_answer(n, &owner, true, &rows, &hold_ms, &n_named);
	if (!rows)
		return text;
	/* Cold keys are better than keys let go because a row had no room. */
	if (n_named < rows->len) {
		g_free(text);
		g_array_unref(rows);
		text = write_answer(n, &owner, false, &rows, &hold_ms,
				    &n_named);
	}
	if (n_named < rows->len)
		g_warning("%u of %u rows left out of an answer too long",
			  rows->len - n_named, rows->len);
	MEASURE(grant_ms, hold_ms);
	grant_heartbeat_answered(&n->gate.grants, rows, n_named, number,
				 hold_ms, clock_now_ms());
	g_array_unref(rows);
	return text;
}

static void on_beat(struct node *n, struct httpd_request *r, const char *id)
{
	GString *why = g_string_new(NULL);
	struct announcement a;
	enum instance_check news;
	g_autofree char *text = NULL;
	int err = announce_read(&a, id, r->body->data, r->body->len, why);

	if (!err && (strcmp(a.service, n->settings.service) ||
		     strcmp(a.address, n->settings.backend_server)))
		g_string_append(why, "not the backend server of this host");
	if (why->len) {
		EVENT(server_refused, NULL, "\"server\":\"%s\",\"why\":\"%s\"",
		      event_text(id), event_text(why->str));
		g_info("heartbeat of %s not taken: %s", id, why->str);
		reply_json(r, 400, "{}");
		goto out;
	}
	news = instance_on_heartbeat(&n->life, a.id, a.started_ms,
				     a.heartbeat_number, clock_now_ms());
	if (news == INSTANCE_STALE) {
		reply_json(r, 200, "{}");
		goto out;
	}
	follow_state(n, &a, news);
	gate_follow_configuration(&n->gate);
	if (n->gate.grants.ops == &grant_by_call) {
		reply_json(r, 200, "{}");
		granter_on_beat(&n->granter);
		goto out;
	}
	grant_heartbeat_received(&n->gate.grants, a.heartbeat_number, a.holds,
				 a.released, n->settings.hold_max_ms,
				 clock_now_ms());
	text = answer(n, a.heartbeat_number);
	reply_json(r, 200, text);
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
		on_beat(n, r, id);
		break;
	case ANNOUNCE_DEREGISTER:
		if (!strcmp(id, n->life.id))
			leaves(n, "has left");
		reply_json(r, 200, "{}");
		break;
	default:
		httpd_reply_text(r, 404, "no such page\n");
	}
}

static void on_closed(void *user, struct httpd_request *r)
{
	(void)user;
	(void)r;
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
	int64_t silent_ms = clock_now_ms() - n->life.heard_at_ms;

	if (!n->life.id[0] || n->backend_left || !n->gate.grants.n_shards)
		return;
	if (silent_ms > SILENT_LEASES * n->settings.lease_ms + SILENT_MARGIN_MS)
		leaves(n, "sent no heartbeat for a whole lease");
}

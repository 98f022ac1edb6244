#include "net/attempt-list.h"
#include "net/clock.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"

/*
 * Tells an entry, after their connection was lost, what became of the requests
 * that it had sent over it.
 */

static void on_last_message_dropped(void *user, const struct last_message *m)
{
	struct gate *g = user;
	struct gate_origin *o = fifo_cache_get(&g->origins, m->origin, 0);

	if (o)
		reconcile_forget(&o->reconcile, m->id);
	if (m->unsent)
		COUNT(gate_answers_lost);
}

void gate_init_last_messages(struct gate *g)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(g->last_messages); i++)
		last_messages_init(&g->last_messages[i], LAST_MESSAGES_MAX,
				   on_last_message_dropped, g);
}

static struct last_message *find_last_message(const struct gate *g,
					      uint64_t origin, uint64_t id)
{
	struct last_message *m =
		last_messages_find(&g->last_messages[0], origin, id);

	return m ? m : last_messages_find(&g->last_messages[1], origin, id);
}

void gate_keep_last_message(struct gate_request *r, const struct request_msg *m,
			    const GByteArray *encoded, bool unsent)
{
	bool whole = m->type != REQ_DATA;

	if (unsent)
		COUNT(gate_answers_kept);
	last_messages_add(&r->gate->last_messages[r->repeatable], r->origin,
			  r->id, whole ? encoded->data : NULL, encoded->len,
			  unsent, clock_now_ms());
}

/* Sends the last message about a request again. Returns what to tell of it. */
static enum reconcile_state resend(struct gate *g, GBytes *identity,
				   struct last_message *m)
{
	gsize id_len, len;
	const void *id = g_bytes_get_data(identity, &id_len);
	const void *data;

	if (!m->data)
		return RECONCILE_LOST;
	data = g_bytes_get_data(m->data, &len);
	/* The link is full or lost again: the entry will ask again. */
	if (peers_answer(&g->node->peers, id, id_len, PLANE_REQUEST, data, len))
		return RECONCILE_UNKNOWN;
	m->unsent = false;
	COUNT(gate_answers_resent);
	return RECONCILE_ENDED;
}

/*
 * The answer to a request goes over the link that its entry has now. An
 * outdated question is read only when the record of the entry has been evicted.
 */
static void take_over(struct gate_request *r, GBytes *identity,
		      uint64_t connection, int64_t credited_bytes)
{
	if (r->connection > connection)
		return;
	g_bytes_unref(r->identity);
	r->identity = g_bytes_ref(identity);
	r->connection = connection;
	if (r->state != GATE_IN_FLIGHT)
		return;
	/* Credits may have been lost with the connection. */
	r->uncredited = gate_sent_bytes(r) - credited_bytes;
	if (r->uncredited < GATE_WINDOW_BYTES)
		fetch_resume(&r->fetch);
}

/* Sets what the entry is told of one attempt. */
static void settle(struct gate *g, GBytes *identity,
		   const struct request_msg *m, struct listed_attempt *a)
{
	struct gate_request key = { .origin = m->origin, .id = a->id };
	struct gate_request *r = g_hash_table_lookup(g->requests, &key);
	struct last_message *last = find_last_message(g, m->origin, a->id);
	struct reconcile_request known = {
		.id = a->id,
		.connection = a->connection,
		.process = a->process,
		.queued = r && r->state != GATE_IN_FLIGHT,
		.started = r && r->state == GATE_IN_FLIGHT,
		.ended = last,
	};

	a->state = reconcile_state(&gate_get_origin(g, m)->reconcile,
				   g->node->member.process, &known);
	if (a->state == RECONCILE_QUEUED || a->state == RECONCILE_STARTED)
		take_over(r, identity, (uint64_t)m->number, a->bytes);
	/* What is sent on resuming arrives before this is told. */
	a->bytes = r ? gate_sent_bytes(r) : 0;
	if (a->state == RECONCILE_ENDED)
		a->state = resend(g, identity, last);
}

/* A request of the entry that it has sent over an earlier connection. */
static struct gate_request *find_earlier(const struct gate *g,
					 const struct request_msg *m)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, g->requests);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct gate_request *r = key;

		if (r->identity && !r->cancelled && r->origin == m->origin &&
		    r->connection < (uint64_t)m->number)
			return r;
	}
	return NULL;
}

/*
 * Cancels the requests that the entry has not listed. It needs no answer to
 * them, and its cancels may have been lost. Each search starts from the
 * beginning, as a cancel may end other requests.
 */
static void cancel_unlisted(struct gate *g, const struct request_msg *m)
{
	struct gate_request *r;

	while ((r = find_earlier(g, m)))
		gate_cancel_request(r, 0);
}

static void tell(struct gate *g, GBytes *identity, const struct request_msg *m,
		 const GArray *list)
{
	GByteArray *data = g_byte_array_new();
	struct request_msg told = { .type = REQ_RECONCILED,
				    .origin = m->origin,
				    .number = m->number,
				    .gate_member = g->node->member.self_id };

	attempt_list_encode(list, data);
	told.data = data->data;
	told.len = data->len;
	gate_send(g, identity, &told);
	g_byte_array_unref(data);
}

void gate_on_reconcile(struct gate *g, const void *identity, size_t len,
		       const struct request_msg *m)
{
	struct gate_origin *o = gate_get_origin(g, m);
	GArray *list = attempt_list_decode(m->data, m->len);
	GBytes *link;
	uint32_t i;

	if (!list || !identity) {
		COUNT(peer_messages_malformed);
		g_clear_pointer(&list, g_array_unref);
		return;
	}
	if (!reconcile_raise(&o->reconcile, (uint64_t)m->number)) {
		g_array_unref(list);
		return;
	}
	link = g_bytes_new(identity, len);
	gate_record_entry(g, identity, len);
	for (i = 0; i < list->len; i++)
		settle(g, link, m,
		       &g_array_index(list, struct listed_attempt, i));
	cancel_unlisted(g, m);
	tell(g, link, m, list);
	/* The stop notice may have been lost as well. */
	if (g->stopping)
		gate_send_stopping(g, link);
	g_bytes_unref(link);
	g_array_unref(list);
}

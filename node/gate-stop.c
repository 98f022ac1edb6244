#include "net/clock.h"
#include "net/peer.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/result.h"

/* Ends the requests at the gate before the process ends. */

static bool has_started(const struct gate_request *r)
{
	return r->state == GATE_IN_FLIGHT && r->fetch.sent;
}

/*
 * Returns a request that can be refused since it was not sent to the backend
 * server, or NULL. include_in_flight: also one in GATE_IN_FLIGHT of which
 * nothing is sent yet.
 */
static struct gate_request *find_not_started(const struct gate *g,
					     bool include_in_flight)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, g->requests);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct gate_request *r = key;

		if (!has_started(r) &&
		    (include_in_flight || r->state != GATE_IN_FLIGHT))
			return r;
	}
	return NULL;
}

/*
 * Refusing a request of our own entry may add or remove others, so each search
 * starts from the beginning.
 */
static void refuse_not_started(struct gate *g, bool include_in_flight)
{
	struct gate_request *r;

	while ((r = find_not_started(g, include_in_flight))) {
		gate_detach(r);
		gate_refuse(r, RESULT_NOT_OWNER);
	}
}

void gate_drain(struct gate *g)
{
	if (g->draining)
		return;
	g->draining = true;
	refuse_not_started(g, false);
}

/* Idle links are closed after this time. */
#define LINK_IDLE_TIMEOUT_MS 30000

void gate_send_stopping(struct gate *g, GBytes *identity)
{
	struct request_msg m = { .type = REQ_STOPPING,
				 .gate_member = g->node->member.self_id,
				 .key = g->node->settings.peer_address };

	gate_send(g, identity, &m);
}

/*
 * If a connection is closed while received data is unread, the kernel resets
 * it, and the other end loses what it has not read yet, such as the last
 * answers. Therefore a stop notice follows them, and the process waits until
 * the entries have acknowledged it.
 */
static void send_stopping_to_all(struct gate *g)
{
	int64_t now = clock_now_ms();
	GHashTableIter it;
	gpointer key, value;

	g->stopping = true;
	g_hash_table_iter_init(&it, g->entries);
	while (g_hash_table_iter_next(&it, &key, &value))
		if (now - ((struct gate_entry *)value)->last_request_at_ms <
		    LINK_IDLE_TIMEOUT_MS)
			gate_send_stopping(g, key);
}

void gate_on_stopping_ack(struct gate *g, const void *identity, size_t len)
{
	GBytes *key = identity ? g_bytes_new(identity, len) : NULL;
	struct gate_entry *e = key ? g_hash_table_lookup(g->entries, key)
				   : NULL;

	if (e && e->sent_after_stopping) {
		/*
		 * Requests that were in transit were answered after the
		 * stop notice. These answers need an acknowledgement too.
		 */
		e->sent_after_stopping = false;
		gate_send_stopping(g, key);
	} else if (e) {
		e->stopping_ack_pending = false;
	}
	if (key)
		g_bytes_unref(key);
}

bool gate_stopping_is_acked(const struct gate *g)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->entries);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((struct gate_entry *)value)->stopping_ack_pending)
			return false;
	return true;
}

void gate_stop(struct gate *g)
{
	GHashTableIter it;
	gpointer key;

	g->draining = true;
	/* Requests that have arrived but were not read yet are refused too. */
	peers_receive(&g->node->peers);
	refuse_not_started(g, true);
	while (g_hash_table_iter_init(&it, g->requests),
	       g_hash_table_iter_next(&it, &key, NULL)) {
		gate_detach(key);
		gate_fail(key, RESULT_CUT);
	}
	send_stopping_to_all(g);
}

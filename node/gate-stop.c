#include "net/clock.h"
#include "net/peer.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/result.h"

/* What a gate says of the requests that it holds before its process ends. */

static bool has_begun(const struct gate_request *r)
{
	return r->state == GATE_RUNNING && r->fetch.sent;
}

/* Any request that may be refused, NULL when there is none. */
static struct gate_request *find_unbegun(const struct gate *g, bool running_too)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, g->requests);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct gate_request *r = key;

		if (!has_begun(r) && (running_too || r->state != GATE_RUNNING))
			return r;
	}
	return NULL;
}

/* Refusing one to our own entry may bring or end others. */
static void refuse_unbegun(struct gate *g, bool running_too)
{
	struct gate_request *r;

	while ((r = find_unbegun(g, running_too))) {
		gate_take_out(r);
		gate_refuse(r, RESULT_NOT_OWNER);
	}
}

void gate_stop_taking(struct gate *g)
{
	if (g->draining)
		return;
	g->draining = true;
	refuse_unbegun(g, false);
}

/* Links are closed after as long without use. */
#define KNOWN_MS 30000

static void say_ending(struct gate *g, GBytes *identity)
{
	struct request_msg m = { .type = REQ_STOPPING,
				 .gate_member = g->node->member.self_id,
				 .key = g->node->settings.peer_address };

	gate_emit(g, identity, &m);
}

/*
 * Closed right after the last words, a connection is reset for what has come
 * over it unread, and the other end drops what it has not read by then. So the
 * words are followed by one that has to be answered.
 */
static void say_ending_to_all(struct gate *g)
{
	int64_t now = clock_now_ms();
	GHashTableIter it;
	gpointer key, value;

	g->ending = true;
	g_hash_table_iter_init(&it, g->entries);
	while (g_hash_table_iter_next(&it, &key, &value))
		if (now - ((struct gate_entry *)value)->heard_ms < KNOWN_MS)
			say_ending(g, key);
}

void gate_on_heard(struct gate *g, const void *identity, size_t len)
{
	GBytes *key = identity ? g_bytes_new(identity, len) : NULL;
	struct gate_entry *e = key ? g_hash_table_lookup(g->entries, key)
				   : NULL;

	if (e && e->answered_since) {
		/* To requests that were on their way to us. */
		e->answered_since = false;
		say_ending(g, key);
	} else if (e) {
		e->unheard = false;
	}
	if (key)
		g_bytes_unref(key);
}

bool gate_was_heard(const struct gate *g)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->entries);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((struct gate_entry *)value)->unheard)
			return false;
	return true;
}

void gate_say_last(struct gate *g)
{
	GHashTableIter it;
	gpointer key;

	g->draining = true;
	/* What has come and was not read yet is refused as well. */
	peers_receive(&g->node->peers);
	refuse_unbegun(g, true);
	while (g_hash_table_iter_init(&it, g->requests),
	       g_hash_table_iter_next(&it, &key, NULL)) {
		gate_take_out(key);
		gate_fail(key, RESULT_CUT);
	}
	say_ending_to_all(g);
}

#include "node/gate-request.h"
#include "net/peer.h"
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

void gate_say_last(struct gate *g)
{
	GHashTableIter it;
	gpointer key;

	g->draining = true;
	/* What has come and was not read yet is refused as well. */
	peers_read(&g->node->peers);
	refuse_unbegun(g, true);
	while (g_hash_table_iter_init(&it, g->requests),
	       g_hash_table_iter_next(&it, &key, NULL)) {
		gate_take_out(key);
		gate_fail(key, RESULT_CUT);
	}
}

#include <inttypes.h>

#include "net/clock.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/result.h"

/*
 * Requests that are due to be started while there is no connection to their
 * entry. If the entry was killed, the backend server would work on them in
 * vain. If only the connection broke, it is restored within a second.
 */

/* A request that arrived within this time shows that its entry is alive. */
#define RECENT_REQUEST_MS 20

static bool entry_is_connected(const struct gate_request *r)
{
	const void *identity;
	gsize len;

	if (!r->identity ||
	    clock_now_ms() - r->arrived_at_ms < RECENT_REQUEST_MS)
		return true;
	identity = g_bytes_get_data(r->identity, &len);
	return peers_is_connected(&r->gate->node->peers, identity, len);
}

bool gate_link_wait_begin(struct gate_request *r)
{
	if (entry_is_connected(r))
		return false;
	COUNT(gate_set_aside);
	EVENT(gate_set_aside, r->attempt_id,
	      "\"member\":%" PRId64 ",\"left_ms\":%" PRId64,
	      r->gate->node->member.self_id, r->deadline_ms - clock_now_ms());
	gate_unreserve_link(r);
	r->state = GATE_LINK_WAIT;
	g_ptr_array_add(r->gate->link_waiters, r);
	return true;
}

void gate_link_wait_end(struct gate_request *r)
{
	g_ptr_array_remove(r->gate->link_waiters, r);
	r->state = GATE_QUEUED;
}

void gate_link_wait_tick(struct gate *g, int64_t now_ms)
{
	bool takes_work = node_accepts_unsharded(g->node);
	uint32_t i;

	for (i = g->link_waiters->len; i-- > 0;) {
		struct gate_request *r;

		/* Refusing a request may remove others from the list. */
		if (i >= g->link_waiters->len)
			continue;
		r = g_ptr_array_index(g->link_waiters, i);
		if (!takes_work || now_ms >= r->start_by_ms) {
			gate_link_wait_end(r);
			gate_refuse(r, RESULT_UNREACHABLE);
		} else if (entry_is_connected(r)) {
			gate_link_wait_end(r);
			gate_enqueue(r);
		}
	}
}

#include <inttypes.h>

#include "net/clock.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/result.h"

/*
 * Requests whose turn has come while nothing connects us to their entry. Begun
 * now, they would be worked on for nobody if it was killed. Where only the
 * connection broke, it is back within a second.
 */

/* A request that has come so lately is word of its entry itself. */
#define FRESH_MS 20

static bool can_answer(const struct gate_request *r)
{
	const void *identity;
	gsize len;

	if (!r->identity || clock_now_ms() - r->arrived_ms < FRESH_MS)
		return true;
	identity = g_bytes_get_data(r->identity, &len);
	return peers_reaches(&r->gate->node->peers, identity, len);
}

bool gate_set_aside(struct gate_request *r)
{
	if (can_answer(r))
		return false;
	COUNT(gate_set_aside);
	EVENT(gate_set_aside, r->attempt_id,
	      "\"member\":%" PRId64 ",\"left_ms\":%" PRId64,
	      r->gate->node->member.self_id, r->deadline_ms - clock_now_ms());
	gate_leave_link(r);
	r->state = GATE_CUT;
	g_ptr_array_add(r->gate->cut, r);
	return true;
}

void gate_bring_back(struct gate_request *r)
{
	g_ptr_array_remove(r->gate->cut, r);
	r->state = GATE_WAITING;
}

void gate_cut_tick(struct gate *g, int64_t now_ms)
{
	bool takes_work = node_accepts_unsharded(g->node);
	uint32_t i;

	for (i = g->cut->len; i-- > 0;) {
		struct gate_request *r;

		/* Refusing one may end others. */
		if (i >= g->cut->len)
			continue;
		r = g_ptr_array_index(g->cut, i);
		if (!takes_work || now_ms >= r->answer_by_ms) {
			gate_bring_back(r);
			gate_refuse(r, RESULT_UNREACHABLE);
		} else if (can_answer(r)) {
			gate_bring_back(r);
			gate_enqueue(r);
		}
	}
}

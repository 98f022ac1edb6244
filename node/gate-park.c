#include "net/clock.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/histogram.h"
#include "util/result.h"

/*
 * Requests for keys in motion. A key that moves is let go by one server and
 * taken up by the next within two heartbeats; refused in between, its callers
 * would all come back later than that.
 */

/* As many as the queue behind the server takes in a moment. */
#define PARKED_PER_SLOT 4
/* Time that the server needs besides. */
#define WORK_MARGIN_MS 100

static bool on_its_way(const struct gate_request *r)
{
	const struct member_node *n = &r->gate->node->member;
	int64_t fence, end;

	/* Only another row's end makes room, and nobody knows when. */
	if (grants_waiting_for_room(&r->gate->grants, r->shard))
		return false;
	return member_is_acquiring(n, r->shard) ||
	       !member_may_serve(n, r->shard, clock_now_ms(), &fence, &end);
}

bool gate_park(struct gate_request *r)
{
	struct gate *g = r->gate;
	uint32_t most = g->backend_server.slots * PARKED_PER_SLOT;

	if (!r->keyed || !g->grants.ops || g->draining ||
	    g->parked->len >= most || !on_its_way(r))
		return false;
	COUNT(gate_parked);
	r->state = GATE_PARKED;
	g_ptr_array_add(g->parked, r);
	return true;
}

void gate_unpark(struct gate_request *r)
{
	g_ptr_array_remove(r->gate->parked, r);
	r->state = GATE_WAITING;
	r->parked_ms = clock_now_ms() - r->arrived_ms;
	MEASURE(parked_ms, r->parked_ms);
}

void gate_park_tick(struct gate *g, int64_t now_ms)
{
	uint32_t i;

	for (i = g->parked->len; i-- > 0;) {
		struct gate_request *r;
		int64_t fence, end;

		/* Refusing one may end others. */
		if (i >= g->parked->len)
			continue;
		r = g_ptr_array_index(g->parked, i);
		if (gate_may_serve(r, &fence, &end)) {
			gate_unpark(r);
			gate_enqueue(r);
		} else if (now_ms + WORK_MARGIN_MS >= r->deadline_ms ||
			   g->draining || !on_its_way(r)) {
			gate_unpark(r);
			gate_refuse(r, RESULT_NOT_OWNER);
		}
	}
}

#include "net/clock.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/histogram.h"
#include "util/result.h"

/*
 * Requests for a shard that is being moved to this member. One server releases
 * the shard and the next is granted it within two heartbeats. Refused in
 * between, all callers of the shard would retry later than that.
 */

/* As many as the backend server's queue takes in a short time. */
#define WAITERS_PER_SLOT 4
/* Time before the deadline that the backend server needs for the request. */
#define SERVICE_MARGIN_MS 100

static bool shard_is_expected(const struct gate_request *r)
{
	const struct member_node *n = &r->gate->node->member;
	int64_t fence, end;

	/*
	 * The heartbeat answer has no room for this shard until another grant
	 * ends, and it is not known when that will be.
	 */
	if (grants_waiting_for_room(&r->gate->grants, r->shard))
		return false;
	return member_is_acquiring(n, r->shard) ||
	       !member_may_serve(n, r->shard, clock_now_ms(), &fence, &end);
}

bool gate_shard_wait_begin(struct gate_request *r)
{
	struct gate *g = r->gate;
	uint32_t max_waiters = g->backend_server.slots * WAITERS_PER_SLOT;

	if (!r->keyed || !g->grants.ops || g->draining ||
	    g->shard_waiters->len >= max_waiters || !shard_is_expected(r))
		return false;
	COUNT(gate_parked);
	r->state = GATE_SHARD_WAIT;
	g_ptr_array_add(g->shard_waiters, r);
	return true;
}

void gate_shard_wait_end(struct gate_request *r)
{
	g_ptr_array_remove(r->gate->shard_waiters, r);
	r->state = GATE_QUEUED;
	r->shard_wait_ms = clock_now_ms() - r->arrived_at_ms;
	MEASURE(parked_ms, r->shard_wait_ms);
}

void gate_shard_wait_tick(struct gate *g, int64_t now_ms)
{
	uint32_t i;

	for (i = g->shard_waiters->len; i-- > 0;) {
		struct gate_request *r;
		int64_t fence, end;

		/* Refusing a request may remove others from the list. */
		if (i >= g->shard_waiters->len)
			continue;
		r = g_ptr_array_index(g->shard_waiters, i);
		if (gate_may_serve(r, &fence, &end)) {
			gate_shard_wait_end(r);
			gate_enqueue(r);
		} else if (now_ms + SERVICE_MARGIN_MS >= r->deadline_ms ||
			   g->draining || !shard_is_expected(r)) {
			gate_shard_wait_end(r);
			gate_refuse(r, RESULT_NOT_OWNER);
		}
	}
}

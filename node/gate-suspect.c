#include "net/clock.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "route/fingerprint.h"
#include "util/counters.h"
#include "util/result.h"

/*
 * Requests that may end the backend server. Two suspects at the server at once
 * would both be suspect still if it ended, so the others wait for the first.
 */

/* More suspects are refused than the server could run one by one in time. */
#define WAITERS_PER_SLOT 2
#define STATUS_SERVER_ERROR 500

static bool wait_begin(struct gate_request *r)
{
	struct gate *g = r->gate;

	if (g->suspect_waiters->len >=
	    g->backend_server.slots * WAITERS_PER_SLOT)
		return false;
	COUNT(gate_suspects_waited);
	gate_unreserve_link(r);
	r->state = GATE_SUSPECT_WAIT;
	g_ptr_array_add(g->suspect_waiters, r);
	return true;
}

void gate_suspect_wait_end(struct gate_request *r)
{
	g_ptr_array_remove(r->gate->suspect_waiters, r);
	r->state = GATE_QUEUED;
}

/*
 * Whether another suspect is at the server, also one that was none when it was
 * sent.
 */
static bool suspect_in_flight(struct gate *g)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, g->requests);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		struct gate_request *r = p;

		if (r->state == GATE_IN_FLIGHT &&
		    member_is_suspect(&g->node->member, gate_fingerprint(r)))
			return true;
	}
	return false;
}

bool gate_suspect_admit(struct gate_request *r)
{
	struct gate *g = r->gate;
	struct member_node *n = &g->node->member;
	int64_t now = clock_now_ms();
	enum suspect_verdict v;
	int64_t wait_ms;

	if (!member_has_suspects(n))
		return true;
	v = member_judge_request(n, gate_fingerprint(r), r->keyed, now,
				 &wait_ms);
	if (v == SUSPECT_NONE)
		return true;
	if (v == SUSPECT_BLOCKED) {
		r->blocked_ms = wait_ms;
		gate_refuse(r, RESULT_QUARANTINED);
		return false;
	}
	if (v == SUSPECT_ELSEWHERE) {
		gate_refuse(r, RESULT_OVERLOAD);
		return false;
	}
	if (suspect_in_flight(g)) {
		if (!wait_begin(r))
			gate_refuse(r, RESULT_OVERLOAD);
		return false;
	}
	member_suspect_sent(n, r->fingerprint, now);
	return true;
}

static void enqueue_first(struct gate *g)
{
	struct gate_request *r = g_ptr_array_index(g->suspect_waiters, 0);

	gate_suspect_wait_end(r);
	gate_enqueue(r);
}

void gate_suspect_tick(struct gate *g, int64_t now_ms)
{
	uint32_t i;

	for (i = g->suspect_waiters->len; i-- > 0;) {
		struct gate_request *r;

		/* Refusing a request may remove others from the list. */
		if (i >= g->suspect_waiters->len)
			continue;
		r = g_ptr_array_index(g->suspect_waiters, i);
		if (now_ms < r->start_by_ms)
			continue;
		gate_suspect_wait_end(r);
		gate_refuse(r, RESULT_TIMEOUT);
	}
	if (g->suspect_waiters->len && !suspect_in_flight(g))
		enqueue_first(g);
}

void gate_suspect_answered(struct gate_request *r, long status)
{
	struct member_node *n = &r->gate->node->member;

	/* A run that failed may have ended before it could end the server. */
	if (status < STATUS_SERVER_ERROR && member_has_suspects(n))
		member_request_answered(n, gate_fingerprint(r));
}

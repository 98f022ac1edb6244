#include "net/clock.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/result.h"

/*
 * Requests of which it is not known whether they are still wanted. What takes
 * one back comes behind it: while this process did not run, or from an entry
 * whose clock it does not know yet, both may have come long ago. Which of them
 * is read first is chance, so the entry is asked.
 */

/* An answer that took longer is as old as what it answers for. */
#define ANSWER_MS 400

static bool is_wanted(const struct gate_request *r)
{
	return !r->identity ||
	       (r->wanted_ms >= 0 && r->wanted_ms >= r->gate->hold_until_ms);
}

static void ask(struct gate_request *r)
{
	struct request_msg m = { .type = REQ_CONFIRM };

	r->asked_ms = clock_now_ms();
	m.sent_at_ms = r->asked_ms;
	COUNT(gate_confirms);
	gate_emit_for(r, &m);
}

bool gate_confirm(struct gate_request *r)
{
	if (is_wanted(r))
		return false;
	gate_leave_link(r);
	r->state = GATE_ASKED;
	g_ptr_array_add(r->gate->asked, r);
	ask(r);
	return true;
}

void gate_end_confirm(struct gate_request *r)
{
	g_ptr_array_remove(r->gate->asked, r);
	r->state = GATE_WAITING;
}

void gate_on_confirmed(struct gate_request *r, const struct request_msg *m)
{
	if (r->state != GATE_ASKED || clock_now_ms() - m->number > ANSWER_MS)
		return;
	gate_know_origin(r->gate, m);
	gate_end_confirm(r);
	r->wanted_ms = m->number;
	gate_enqueue(r);
}

void gate_confirm_tick(struct gate *g, int64_t now_ms)
{
	uint32_t i;

	for (i = g->asked->len; i-- > 0;) {
		struct gate_request *r;

		/* Refusing one may end others. */
		if (i >= g->asked->len)
			continue;
		r = g_ptr_array_index(g->asked, i);
		if (now_ms >= r->answer_by_ms) {
			gate_end_confirm(r);
			gate_refuse(r, RESULT_TIMEOUT);
		} else if (now_ms - r->asked_ms > ANSWER_MS) {
			ask(r);
		}
	}
}

#include "net/clock.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/result.h"

/*
 * Requests of which it is not known whether their entry still wants them. A
 * cancel is sent after its request. When this process was suspended, or when
 * the delay of the entry's messages is not known yet, both may have arrived
 * long ago, and the cancel may be read only after the request was started. The
 * gate therefore asks the entry before it starts such a request.
 */

/*
 * A confirmation whose round trip took longer is ignored, as it may be as
 * outdated as the request, and is asked for again.
 */
#define CONFIRM_ROUND_TRIP_MS 400

static bool is_confirmed(const struct gate_request *r)
{
	return !r->identity ||
	       (r->confirmed_at_ms >= 0 &&
		r->confirmed_at_ms >= r->gate->no_start_until_ms);
}

static void send_confirm(struct gate_request *r)
{
	struct request_msg m = { .type = REQ_CONFIRM,
				 .origin = r->origin,
				 .sent_at_ms = r->sent_at_ms };

	r->confirm_serial = gate_get_origin(r->gate, &m)->serial;
	r->confirm_sent_at_ms = clock_now_ms();
	m.sent_at_ms = r->confirm_sent_at_ms;
	COUNT(gate_confirms);
	gate_send_for(r, &m);
}

bool gate_confirm_begin(struct gate_request *r)
{
	if (is_confirmed(r))
		return false;
	gate_unreserve_link(r);
	r->state = GATE_CONFIRM_WAIT;
	g_ptr_array_add(r->gate->confirm_waiters, r);
	send_confirm(r);
	return true;
}

void gate_confirm_end(struct gate_request *r)
{
	g_ptr_array_remove(r->gate->confirm_waiters, r);
	r->state = GATE_QUEUED;
}

void gate_on_confirmed(struct gate_request *r, const struct request_msg *m)
{
	if (r->state != GATE_CONFIRM_WAIT ||
	    clock_now_ms() - m->number > CONFIRM_ROUND_TRIP_MS)
		return;
	gate_on_delay_known(r, m);
	gate_confirm_end(r);
	r->confirmed_at_ms = m->number;
	gate_enqueue(r);
}

void gate_confirm_tick(struct gate *g, int64_t now_ms)
{
	uint32_t i;

	for (i = g->confirm_waiters->len; i-- > 0;) {
		struct gate_request *r;

		/* Refusing a request may remove others from the list. */
		if (i >= g->confirm_waiters->len)
			continue;
		r = g_ptr_array_index(g->confirm_waiters, i);
		if (now_ms >= r->start_by_ms) {
			gate_confirm_end(r);
			gate_refuse(r, RESULT_TIMEOUT);
		} else if (now_ms - r->confirm_sent_at_ms >
			   CONFIRM_ROUND_TRIP_MS) {
			send_confirm(r);
		}
	}
}

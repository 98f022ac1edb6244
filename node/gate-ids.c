#include <string.h>

#include "net/clock.h"
#include "net/headers.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/result.h"

/*
 * Of all requests that carry the same idempotency key, at most one is run.
 */

static void replay_answer(struct gate_request *r, const struct seen_id *e)
{
	struct request_msg m = { .type = REQ_HEAD,
				 .flags = REQ_FLAG_END,
				 .status = 409 };
	GPtrArray *headers = headers_new();
	gsize len = 0;

	COUNT(gate_id_replayed);
	m.headers = headers;
	if (e->state == SEEN_RUNNING) {
		header_set(headers, gate_header_names(r)->outcome,
			   OUTCOME_IN_PROGRESS);
		header_add(headers, "Retry-After", "1");
	} else if (e->answer) {
		m.status = e->status;
		m.data = g_bytes_get_data(e->answer, &len);
		m.len = len;
		m.body_length = len;
		header_set(headers, gate_header_names(r)->replayed, "true");
		if (e->content_type)
			header_add(headers, "Content-Type", e->content_type);
	} else {
		header_set(headers, gate_header_names(r)->outcome,
			   OUTCOME_ALREADY_RUN);
	}
	m.body_digest = XXH64(m.data, m.len, 0);
	gate_send_for(r, &m);
	g_ptr_array_unref(headers);
	gate_request_free(r);
}

/*
 * Whether a request with an id that is not recorded here may have run under a
 * previous owner that was lost before it handed over its ids.
 */
static bool may_have_run(const struct gate_request *r, const char *id)
{
	const struct member_node *n = &r->gate->node->member;
	int64_t now = clock_now_ms();
	int64_t unknown_for_ms;
	int64_t created_ms;

	if (!r->keyed || r->shard >= n->n_holds ||
	    !n->holds[r->shard].ids_unknown_since_ms)
		return false;
	unknown_for_ms = now - n->holds[r->shard].ids_unknown_since_ms;
	if (unknown_for_ms > r->resend_window_ms)
		return false;
	/*
	 * An id created after the loss cannot have reached the lost owner. The
	 * caller's clock may be off by CALLER_CLOCK_BOUND_MS.
	 */
	created_ms = ids_created_ms(id);
	if (created_ms < 0)
		return true;
	return created_ms < g_get_real_time() / 1000 - unknown_for_ms +
				    CALLER_CLOCK_BOUND_MS;
}

bool gate_check_id(struct gate_request *r, const char *class_name,
		   const char *id)
{
	struct gate *g = r->gate;
	struct seen_id *e;

	if (r->repeatable || r->is_first_send || !id || !id[0])
		return true;
	r->id_hash = ids_hash(class_name, r->key, id);
	e = ids_find(&g->ids, r->id_hash, clock_now_ms());
	if (e && e->state == SEEN_UNKNOWN) {
		COUNT(gate_id_in_doubt);
		gate_fail(r, RESULT_CUT);
		return false;
	}
	if (e) {
		replay_answer(r, e);
		return false;
	}
	if (may_have_run(r, id)) {
		COUNT(gate_id_in_doubt);
		gate_fail(r, RESULT_NOT_OWNER);
		return false;
	}
	return true;
}

/* The body to repeat, NULL if what is kept of the answer is not all of it. */
static const char *body_to_repeat(const struct gate_request *r)
{
	if ((int64_t)r->stored_answer->len != r->answer_bytes ||
	    header_find(r->fetch.answer->headers, "Content-Encoding"))
		return NULL;
	return r->stored_answer->str;
}

void gate_record_outcome(struct gate_request *r, int result)
{
	struct ids *t = &r->gate->ids;

	if (!r->id_hash)
		return;
	if (r->server_refused || (result && !r->fetch.sent))
		ids_forget(t, r->id_hash);
	else if (result)
		ids_end(t, r->id_hash, SEEN_UNKNOWN, 0, NULL, NULL, 0);
	else
		ids_end(t, r->id_hash, SEEN_ANSWERED, r->fetch.status,
			header_find(r->fetch.answer->headers, "Content-Type"),
			body_to_repeat(r), r->stored_answer->len);
}

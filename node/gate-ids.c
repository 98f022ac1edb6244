#include <string.h>

#include "net/clock.h"
#include "net/headers.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/result.h"

/*
 * Requests that carry the id of one sent before: at most one of them runs.
 */

static void reply_again(struct gate_request *r, const struct seen_id *e)
{
	struct request_msg m = { .type = REQ_HEAD,
				 .flags = REQ_FLAG_END,
				 .status = 409 };
	GPtrArray *headers = headers_new();
	gsize len = 0;

	COUNT(gate_id_replayed);
	m.headers = headers;
	if (e->state == SEEN_RUNNING) {
		header_set(headers, gate_names(r)->outcome,
			   OUTCOME_IN_PROGRESS);
		header_add(headers, "Retry-After", "1");
	} else if (e->answer) {
		m.status = e->status;
		m.data = g_bytes_get_data(e->answer, &len);
		m.len = len;
		m.body_length = len;
		header_set(headers, gate_names(r)->replayed, "true");
		if (e->content_type)
			header_add(headers, "Content-Type", e->content_type);
	} else {
		header_set(headers, gate_names(r)->outcome,
			   OUTCOME_ALREADY_RUN);
	}
	m.body_digest = XXH64(m.data, m.len, 0);
	gate_emit_for(r, &m);
	g_ptr_array_unref(headers);
	gate_request_free(r);
}

/* Whether an id not seen here may have run under an owner lost abruptly. */
static bool in_doubt(const struct gate_request *r, const char *id)
{
	const struct member_node *n = &r->gate->node->member;
	int64_t now = clock_now_ms();
	int64_t blind_ms;
	int64_t made_ms;

	if (!r->keyed || r->shard >= n->n_holds ||
	    !n->holds[r->shard].ids_unknown_since_ms)
		return false;
	blind_ms = now - n->holds[r->shard].ids_unknown_since_ms;
	if (blind_ms > r->resend_window_ms)
		return false;
	/*
	 * Made after the loss, on a clock that may be off by our bound, an id
	 * cannot have reached the owner that was lost.
	 */
	made_ms = ids_created_ms(id);
	if (made_ms < 0)
		return true;
	return made_ms <
	       g_get_real_time() / 1000 - blind_ms + CALLER_CLOCK_BOUND_MS;
}

/* Deal with an idempotency key; false when the request has been answered. */
bool gate_check_id(struct gate_request *r, const char *class_name,
		   const char *id)
{
	struct gate *g = r->gate;
	struct seen_id *e;

	if (r->repeatable || r->first_sending || !id || !id[0])
		return true;
	r->seen_hash = ids_hash(class_name, r->key, id);
	e = ids_find(&g->ids, r->seen_hash, clock_now_ms());
	if (e && e->state == SEEN_UNKNOWN) {
		COUNT(gate_id_in_doubt);
		gate_fail(r, RESULT_CUT);
		return false;
	}
	if (e) {
		reply_again(r, e);
		return false;
	}
	if (in_doubt(r, id)) {
		COUNT(gate_id_in_doubt);
		gate_fail(r, RESULT_NOT_OWNER);
		return false;
	}
	return true;
}

void gate_note_seen(struct gate_request *r, int result)
{
	struct ids *t = &r->gate->ids;
	bool whole = r->kept && (int64_t)r->kept->len == r->total;

	if (!r->seen_hash)
		return;
	if (r->shed || (result && !r->fetch.sent))
		ids_forget(t, r->seen_hash);
	else if (result)
		ids_end(t, r->seen_hash, SEEN_UNKNOWN, 0, NULL, NULL, 0);
	else
		ids_end(t, r->seen_hash, SEEN_ANSWERED, r->fetch.status,
			header_find(r->fetch.answer_headers, "Content-Type"),
			whole ? r->kept->str : NULL, r->kept->len);
}

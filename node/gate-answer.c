#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "net/headers.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/histogram.h"
#include "util/result.h"

/* What comes back from the backend server, and goes on to the entry. */

#define BLOCK_BYTES (64 * 1024)
#define STATUS_MISDIRECTED 421

static int result_outcome(const struct gate_request *r, int result)
{
	if (r->shed)
		return LIMIT_SHED;
	return result == RESULT_OK ? LIMIT_ANSWERED : LIMIT_FAILED;
}

static void send_part(struct gate_request *r, bool end)
{
	struct request_msg m = { .type = r->head_sent ? REQ_DATA : REQ_HEAD };
	GPtrArray *headers = NULL;
	uint32_t i;

	if (!r->head_sent) {
		headers = g_ptr_array_new();
		for (i = 0; i + 1 < r->fetch.answer_headers->len; i += 2) {
			char *name =
				g_ptr_array_index(r->fetch.answer_headers, i);

			/* Kept, to tell the length of a streamed answer. */
			if (header_is_hop_by_hop(name) &&
			    g_ascii_strcasecmp(name, "Content-Length"))
				continue;
			g_ptr_array_add(headers, name);
			g_ptr_array_add(
				headers,
				g_ptr_array_index(r->fetch.answer_headers,
						  i + 1));
		}
	}
	m.headers = headers;
	m.status = r->fetch.status;
	m.data = r->pending->data;
	m.len = r->pending->len;
	if (end) {
		m.flags |= REQ_FLAG_END;
		m.body_length = r->total;
		m.body_digest = XXH64_digest(&r->digest);
	}
	r->uncredited += r->pending->len;
	r->head_sent = true;
	gate_emit_for(r, &m);
	g_byte_array_set_size(r->pending, 0);
	if (headers)
		g_ptr_array_unref(headers);
}

/*
 * A server may send a second answer late, at the place where that of the next
 * request on the connection is due, or bytes that are none of its own. Passed
 * on, they would be another caller's answer: what is not marked as the answer
 * to this very sending is dropped with its connection.
 */
static bool check_head(struct fetch *f)
{
	const struct gate_request *r = f->user;
	const struct header_names *names = gate_names(r);
	const char *echo = header_find(f->answer_headers, names->attempt_id);

	if (r->attempt_id && (!echo || strcmp(echo, r->attempt_id))) {
		COUNT(answers_mixed);
		return false;
	}
	if (!names->signature || f->status >= 300)
		return true;
	if (header_find(f->answer_headers, names->signature) &&
	    !header_find(f->answer_headers, "Content-Encoding"))
		return true;
	COUNT(answers_mixed);
	return false;
}

static double connect_ms(const struct gate_request *r)
{
	return (r->fetch.sent_at_us - r->started_us) / 1000.0;
}

static void on_head(struct fetch *f)
{
	struct gate_request *r = f->user;

	MEASURE(connect_ms, connect_ms(r));
	r->gate->heard_ms = clock_now_ms();
	if (f->status != STATUS_MISDIRECTED)
		gate_connected(r->gate);
	/* Another server than the one that was named says no more than that. */
	r->shed = header_find(f->answer_headers, gate_names(r)->not_run) ||
		  f->status == STATUS_MISDIRECTED;
}

static bool on_data(struct fetch *f, const void *data, size_t len)
{
	struct gate_request *r = f->user;

	if (r->shed)
		return true;
	/*
	 * An entry whose caller reads slowly must not make this process hold
	 * the whole answer: beyond the window the backend server waits.
	 */
	if (r->uncredited >= GATE_WINDOW_BYTES && !r->unwanted)
		return false;
	g_byte_array_append(r->pending, data, len);
	XXH64_update(&r->digest, data, len);
	r->total += len;
	if (r->kept && r->kept->len + len <= BLOCK_BYTES)
		g_string_append_len(r->kept, data, len);
	if (r->pending->len >= BLOCK_BYTES)
		send_part(r, false);
	return true;
}

/* Our picture of what the server holds is wrong. */
static void misdirected(const struct gate_request *r, int64_t now)
{
	struct grants *g = &r->gate->grants;
	const struct grant *s;

	if (r->shard >= g->n_shards)
		return;
	s = &g->shards[r->shard];
	EVENT(grant_misdirected, r->attempt_id,
	      "\"shard\":%" PRId64 ",\"fence\":%" PRId64
	      ",\"state\":%d,\"sure_ms\":%" PRId64 ",\"until_ms\":%" PRId64,
	      r->shard, s->fence, s->state, s->holds_until_ms - now,
	      s->may_hold_until_ms - now);
	grants_misdirected(g, r->shard, now);
}

static void on_done(struct fetch *f, int result)
{
	struct gate_request *r = f->user;
	struct gate *g = r->gate;
	int64_t now = clock_now_ms();
	double ms = (clock_now_us() - r->started_us) / 1000.0;

	admission_done(&g->load, r->class_index, result_outcome(r, result), ms,
		       r->started_us / 1000, now);
	gate_note_seen(r, result);
	if (result == RESULT_UNREACHABLE)
		gate_not_connected(g, f);
	if (r->shed) {
		COUNT(gate_backend_shed);
		if (f->status == STATUS_MISDIRECTED && r->keyed)
			misdirected(r, now);
		else if (f->status == STATUS_MISDIRECTED)
			gate_not_connected(g, f);
		gate_refuse(r, f->status == STATUS_MISDIRECTED
				       ? RESULT_NOT_OWNER
				       : RESULT_OVERLOAD);
	} else if (!result) {
		MEASURE(server_ms, ms);
		if (r->traced)
			EVENT(gate_answered, r->attempt_id,
			      "\"member\":%" PRId64 ",\"status\":%ld"
			      ",\"connect_ms\":%.0f,\"server_ms\":%.0f"
			      ",\"bytes\":%" PRId64 ",\"sent_ms\":%" PRId64
			      ",\"arrived_ms\":%" PRId64,
			      g->node->member.self_id, f->status, connect_ms(r),
			      ms, r->total, r->sent_ms, r->arrived_ms);
		queue_update_answer_bytes(&g->load.queue, r->class_index,
					  r->total);
		send_part(r, true);
		gate_request_free(r);
	} else if (!f->sent) {
		COUNT(gate_backend_failed);
		gate_refuse(r, RESULT_UNREACHABLE);
	} else {
		COUNT(gate_backend_failed);
		gate_fail(r, result);
	}
	gate_check_reached(g);
	gate_refill(g);
}

const struct fetch_ops gate_fetch_ops = {
	.check_head = check_head,
	.on_head = on_head,
	.on_data = on_data,
	.on_done = on_done,
};

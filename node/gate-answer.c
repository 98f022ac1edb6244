#include <inttypes.h>
#include <string.h>

#include "net/answer-check.h"
#include "net/clock.h"
#include "net/headers.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/histogram.h"
#include "util/result.h"

/* Receives answers from the backend server and sends them to the entry. */

#define BLOCK_BYTES (64 * 1024)
#define STATUS_MISDIRECTED 421
#define MAX_REFUSAL_BYTES (16 * 1024)

static int limit_outcome(const struct gate_request *r, int result)
{
	if (r->server_refused)
		return LIMIT_SHED;
	return result == RESULT_OK ? LIMIT_ANSWERED : LIMIT_FAILED;
}

int64_t gate_sent_bytes(const struct gate_request *r)
{
	return r->unsent_answer ? r->answer_bytes - r->unsent_answer->len : 0;
}

static void send_answer_part(struct gate_request *r, bool end)
{
	struct request_msg m = { .type = r->head_sent ? REQ_DATA : REQ_HEAD };
	GPtrArray *headers = NULL;
	uint32_t i;

	if (!r->head_sent) {
		headers = g_ptr_array_new();
		for (i = 0; i + 1 < r->fetch.answer->headers->len; i += 2) {
			char *name =
				g_ptr_array_index(r->fetch.answer->headers, i);

			/* Kept: it gives the length of a streamed answer. */
			if (header_is_hop_by_hop(name) &&
			    g_ascii_strcasecmp(name, "Content-Length"))
				continue;
			g_ptr_array_add(headers, name);
			g_ptr_array_add(
				headers,
				g_ptr_array_index(r->fetch.answer->headers,
						  i + 1));
		}
	}
	if (r->head_sent)
		m.number = gate_sent_bytes(r);
	m.headers = headers;
	m.status = r->fetch.status;
	m.data = r->unsent_answer->data;
	m.len = r->unsent_answer->len;
	if (end) {
		m.flags |= REQ_FLAG_END;
		m.body_length = r->answer_bytes;
		m.body_digest = XXH64_digest(&r->digest);
	}
	r->uncredited += r->unsent_answer->len;
	r->head_sent = true;
	gate_send_for(r, &m);
	g_byte_array_set_size(r->unsent_answer, 0);
	if (headers)
		g_ptr_array_unref(headers);
}

static enum answer_fault check_head(struct fetch *f)
{
	const struct gate_request *r = f->user;
	enum answer_fault fault = answer_check_head(f->answer->headers,
						    gate_header_names(r),
						    r->attempt_id, f->status);

	if (fault)
		COUNT(answers_mixed);
	return fault;
}

static double connect_ms(const struct gate_request *r)
{
	return (r->fetch.sent_at_us - r->started_at_us) / 1000.0;
}

static void on_head(struct fetch *f)
{
	struct gate_request *r = f->user;

	MEASURE(connect_ms, connect_ms(r));
	r->gate->backend_alive_at_ms = clock_now_ms();
	if (f->status != STATUS_MISDIRECTED)
		gate_connect_succeeded(r->gate);
	/*
	 * 421 comes from another server instance, or from one that does not
	 * hold the shard. In both cases the request was not run.
	 */
	r->server_refused = header_find(f->answer->headers,
					gate_header_names(r)->not_run) ||
			    f->status == STATUS_MISDIRECTED;
	/* It may be from another instance of the server. */
	if (f->status != STATUS_MISDIRECTED)
		gate_on_server_status(r, f->answer->headers);
}

/*
 * When the caller reads slowly, this process must not buffer the whole answer:
 * once the window is full, reading from the backend server pauses.
 */
static bool has_room(const struct fetch *f)
{
	const struct gate_request *r = f->user;

	return r->uncredited < GATE_WINDOW_BYTES || r->cancelled ||
	       r->server_refused;
}

static bool on_data(struct fetch *f, const void *data, size_t len)
{
	struct gate_request *r = f->user;

	/* Its caller is told at once, however long the body of a refusal is. */
	if (r->server_refused)
		return f->answer->body_bytes <= MAX_REFUSAL_BYTES;
	g_byte_array_append(r->unsent_answer, data, len);
	XXH64_update(&r->digest, data, len);
	r->answer_bytes += len;
	if (r->stored_answer && r->stored_answer->len + len <= BLOCK_BYTES)
		g_string_append_len(r->stored_answer, data, len);
	if (r->unsent_answer->len >= BLOCK_BYTES)
		send_answer_part(r, false);
	return true;
}

/* The server does not hold a shard that it was believed to hold. */
static void handle_misdirected(const struct gate_request *r, int64_t now)
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

/*
 * Whether the server's "not run" holds: the answer that says so is whole, or
 * its body is longer than what is read of it.
 */
static bool refusal_holds(const struct gate_request *r, int result)
{
	return r->server_refused &&
	       (!result || r->fetch.answer->fault == ANSWER_FAULT_endless);
}

/* The server did not run the request. */
static void end_refused(struct gate_request *r, int64_t now)
{
	bool misdirected = r->fetch.status == STATUS_MISDIRECTED;

	COUNT(gate_backend_shed);
	if (misdirected && r->keyed)
		handle_misdirected(r, now);
	else if (misdirected)
		gate_connect_failed(r->gate, &r->fetch);
	gate_refuse(r, misdirected ? RESULT_NOT_OWNER : RESULT_OVERLOAD);
}

/* The answer is whole. ms: since the request was started. */
static void end_answered(struct gate_request *r, double ms)
{
	struct gate *g = r->gate;

	MEASURE(server_ms, ms);
	if (r->traced)
		EVENT(gate_answered, r->attempt_id,
		      "\"member\":%" PRId64 ",\"status\":%ld"
		      ",\"connect_ms\":%.0f,\"server_ms\":%.0f"
		      ",\"bytes\":%" PRId64 ",\"sent_ms\":%" PRId64
		      ",\"arrived_ms\":%" PRId64,
		      g->node->member.self_id, r->fetch.status, connect_ms(r),
		      ms, r->answer_bytes, r->sent_at_ms, r->arrived_at_ms);
	queue_update_answer_bytes(&g->admission.queue, r->class_index,
				  r->answer_bytes);
	send_answer_part(r, true);
	gate_request_free(r);
}

static void on_done(struct fetch *f, int result)
{
	struct gate_request *r = f->user;
	struct gate *g = r->gate;
	int64_t now = clock_now_ms();
	double ms = (clock_now_us() - r->started_at_us) / 1000.0;

	r->server_refused = refusal_holds(r, result);
	admission_done(&g->admission, r->class_index, limit_outcome(r, result),
		       ms, r->started_at_us / 1000, now);
	gate_record_outcome(r, result);
	if (f->head_done)
		server_end_answered(&g->server_end, r->started_at_us / 1000);
	else
		gate_run_lost(r);
	if (result == RESULT_CUT && !f->head_done)
		gate_connection_lost(g);
	if (!result && !r->server_refused)
		gate_suspect_answered(r, f->status);
	if (result == RESULT_UNREACHABLE)
		gate_connect_failed(g, f);
	if (r->server_refused) {
		end_refused(r, now);
	} else if (!result) {
		end_answered(r, ms);
	} else if (!f->sent) {
		COUNT(gate_backend_failed);
		gate_refuse(r, RESULT_UNREACHABLE);
	} else {
		COUNT(gate_backend_failed);
		gate_fail(r, result);
	}
	gate_check_connect_failures(g);
	gate_check_leaving(g);
	gate_read_and_start(g);
}

const struct fetch_ops gate_fetch_ops = {
	.check_head = check_head,
	.on_head = on_head,
	.has_room = has_room,
	.on_data = on_data,
	.on_done = on_done,
};

#include <inttypes.h>
#include <string.h>

#include "net/answer-check.h"
#include "net/answer.h"
#include "net/clock.h"
#include "net/headers.h"
#include "node/entry-request.h"
#include "node/node.h"
#include "route/fingerprint.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/histogram.h"
#include "util/result.h"

/* Answers to callers: those from gates, and those that the entry makes. */

/* Largest random addition to Retry-After in whole seconds. */
#define RETRY_AFTER_SPREAD_S 2
#define MS_PER_S 1000
/* Statuses of answers that end a request. */
#define MIN_STATUS 200
#define MAX_STATUS 599

void entry_record_attempt(struct entry_request *r, const struct attempt *a,
			  int result)
{
	struct past_attempt *p =
		&r->past_attempts[r->n_past_attempts++ % MAX_PAST_ATTEMPTS];

	p->member = a->member;
	p->result = result;
	p->ms = (clock_now_us() - a->sent_at_us) / 1000;
}

/*
 * The last attempts as JSON arrays of member, result and milliseconds. They make
 * the event of a request complete without the events of its attempts.
 * Valid until the next call.
 */
static const char *past_attempts_text(const struct entry_request *r)
{
	static char out[256];
	uint32_t n = MIN(r->n_past_attempts, MAX_PAST_ATTEMPTS);
	uint32_t i;
	int at = 0;

	out[0] = '\0';
	for (i = 0; i < n; i++)
		at += g_snprintf(out + at, sizeof(out) - at,
				 "%s[%" PRId64 ",\"%s\",%" PRId64 "]",
				 i ? "," : "", r->past_attempts[i].member,
				 result_name(r->past_attempts[i].result),
				 r->past_attempts[i].ms);
	return out;
}

/*
 * A further field with the fingerprint, "" if it was not needed. Valid until
 * the next call.
 */
static const char *fingerprint_field(const struct entry_request *r)
{
	static char out[40];

	out[0] = '\0';
	if (r->fingerprint != FINGERPRINT_NONE)
		g_snprintf(out, sizeof(out),
			   ",\"fingerprint\":\"%016" PRIx64 "\"",
			   r->fingerprint);
	return out;
}

/* Emits the event of a final answer that no gate sent, with its reason. */
static void emit_outcome(struct entry_request *r, enum event e, const char *why,
			 int64_t wait_ms)
{
	int64_t now = clock_now_ms();
	const struct plan *p = &r->plan;

	if (!event_allowed(e))
		return;
	event_write(e, r->attempt_id,
		    "\"class\":\"%s\",\"service\":\"%s\",\"version\":%" PRId64
		    ",\"source\":%" PRId64 ",\"shard\":%" PRId64
		    ",\"why\":\"%s\",\"age_ms\":%" PRId64
		    ",\"left_ms\":%" PRId64 ",\"wait_ms\":%" PRId64
		    ",\"tries\":%u,\"reached\":%u,\"attempts\":[%s]%s",
		    event_text(r->class_name), event_text(r->service),
		    r->configuration_version, r->configuration_source,
		    p->keyed ? (int64_t)r->shard : -1, event_text(why),
		    now - p->received_at_ms, p->deadline_ms - now, wait_ms,
		    p->tries, plan_n_servers_reached(p), past_attempts_text(r),
		    fingerprint_field(r));
}

/* Time since the request was received. */
static double age_ms(const struct entry_request *r)
{
	return clock_now_ms() - r->plan.received_at_ms;
}

static void add_retry_after(struct entry_request *r, GPtrArray *headers,
			    int64_t wait_ms)
{
	struct entry *e = r->entry;
	char text[32];

	if (e->node->settings.headers->fractional_retry_after) {
		g_snprintf(text, sizeof(text), "%.3f",
			   (double)wait_ms / MS_PER_S);
		header_add(headers, "Retry-After", text);
		return;
	}
	/*
	 * Callers that are refused at the same time must not retry at the same
	 * time, which would bring the overload back. So a random time is added.
	 */
	header_add_int(headers, "Retry-After",
		       MAX((wait_ms + MS_PER_S - 1) / MS_PER_S, 1) +
			       g_rand_int_range(e->rand, 0,
						RETRY_AFTER_SPREAD_S + 1));
}

/*
 * Sends an answer that no gate sent. It gets no outcome header if outcome is
 * NULL, and no Retry-After if wait_ms is negative.
 */
static void reply(struct entry_request *r, uint32_t status, const char *outcome,
		  int64_t wait_ms, const char *text)
{
	GPtrArray *headers;

	if (r->done)
		return;
	r->done = true;
	entry_cancel_others(r, NULL);
	headers = headers_new();
	if (outcome)
		header_set(headers, r->entry->node->settings.headers->outcome,
			   outcome);
	if (wait_ms >= 0)
		add_retry_after(r, headers, wait_ms);
	header_add(headers, "Content-Type", "text/plain");
	httpd_reply(r->http, status, headers, text, strlen(text));
	g_ptr_array_unref(headers);
}

void entry_reply_not_run(struct entry_request *r, const char *text)
{
	double jitter = g_rand_double(r->entry->rand);
	int64_t wait_ms = plan_retry_after_ms(&r->plan, jitter, clock_now_ms());

	if (r->done)
		return;
	COUNT(requests_not_run);
	MEASURE(refused_ms, age_ms(r));
	emit_outcome(r, EVENT_request_refused, text, wait_ms);
	reply(r, 503, OUTCOME_NOT_RUN, wait_ms, text);
}

static const enum counter cause_counters[] = {
#define CAUSE_COUNTER(name, text) COUNTER_unknown_##name,
	PLAN_CAUSE_LIST(CAUSE_COUNTER)
#undef CAUSE_COUNTER
};

void entry_reply_unknown(struct entry_request *r)
{
	enum plan_cause cause;

	if (r->done)
		return;
	cause = plan_cause(plan_in_doubt(&r->plan));
	COUNT(requests_unknown);
	counters[cause_counters[cause]]++;
	MEASURE(unknown_ms, age_ms(r));
	emit_outcome(r, EVENT_request_unknown, plan_cause_text(cause), -1);
	reply(r, 504, OUTCOME_UNKNOWN, r->plan.repeatable ? MS_PER_S : -1,
	      "no whole answer came; the request may have run\n");
}

void entry_reject(struct entry_request *r, uint32_t status, const char *text)
{
	COUNT(requests_rejected);
	emit_outcome(r, EVENT_request_rejected, text, -1);
	reply(r, status, NULL, -1, text);
}

/* Headers for the caller, without the length. */
static GPtrArray *answer_headers(const struct request_msg *m)
{
	GPtrArray *headers = headers_new();
	uint32_t i;

	for (i = 0; m->headers && i + 1 < m->headers->len; i += 2) {
		const char *name = g_ptr_array_index(m->headers, i);
		const char *value = g_ptr_array_index(m->headers, i + 1);

		if (!header_is_hop_by_hop(name))
			header_add(headers, name, value);
	}
	return headers;
}

/*
 * Whether the answer that m ends has the length and digest that the gate sent.
 * If not, it is incomplete or mixed with another one.
 */
static bool answer_is_complete(const struct entry_request *r,
			       const struct request_msg *m)
{
	return m->body_length == r->received_bytes &&
	       m->body_digest == XXH64_digest(&r->digest);
}

static void add_answer_bytes(struct entry_request *r,
			     const struct request_msg *m)
{
	XXH64_update(&r->digest, m->data, m->len);
	r->received_bytes += m->len;
}

/* Whether all of a body can be as long as the head of its answer states. */
static bool length_fits(const struct entry_request *r,
			const struct request_msg *m, bool has_body)
{
	bool end = m->flags & REQ_FLAG_END;

	if (!has_body)
		return end && !m->len;
	if (r->answer_length < 0)
		return true;
	return end ? r->answer_length == r->received_bytes
		   : r->answer_length >= r->received_bytes;
}

/*
 * Why the answer that m begins is none to the request. Gates check answers, but
 * those of earlier versions accept more.
 */
static enum answer_fault find_fault(const struct entry_request *r,
				    const struct request_msg *m)
{
	const struct header_names *names = r->entry->node->settings.headers;
	bool has_body =
		answer_has_body(!strcmp(r->http->method, "HEAD"), m->status);
	enum answer_fault fault;

	if (m->status < MIN_STATUS || m->status > MAX_STATUS ||
	    r->answer_length == ANSWER_LENGTH_IN_DOUBT)
		return ANSWER_FAULT_protocol;
	fault = answer_check_head(m->headers, names, r->attempt_id, m->status);
	if (fault)
		return fault;
	if (((m->flags & REQ_FLAG_END) && !answer_is_complete(r, m)) ||
	    !length_fits(r, m, has_body))
		return ANSWER_FAULT_body_cut;
	return ANSWER_FAULT_none;
}

/* Ends an attempt whose gate sent no answer to it. */
static void refuse_answer(struct entry_request *r, struct attempt *a,
			  const struct request_msg *m, enum answer_fault fault)
{
	if (fault == ANSWER_FAULT_body_cut)
		COUNT(answers_cut);
	else
		COUNT(answers_mixed);
	if (fault == ANSWER_FAULT_unsigned)
		COUNT(answers_unsigned);
	EVENT(answer_refused, r->attempt_id,
	      "\"by\":\"entry\",\"why\":\"%s\",\"gate\":%" PRId64
	      ",\"status\":%" PRId64
	      ",\"head_bytes\":-1,\"body_bytes\":%zu,\"connection\":%" PRIu64,
	      answer_fault_text(fault), a->member, m->status, m->len,
	      a->connection);
	if (!(m->flags & REQ_FLAG_END))
		entry_send_cancel(r->entry, a);
	entry_end_attempt(r, a, ATTEMPT_EVENT_INVALID_ANSWER, RESULT_MIXED);
}

static void emit_answered(struct entry_request *r, const struct attempt *a,
			  int64_t status)
{
	MEASURE(answered_ms, age_ms(r));
	if (!r->traced)
		return;
	EVENT(request_answered, r->attempt_id,
	      "\"class\":\"%s\",\"gate\":%" PRId64 ",\"status\":%" PRId64
	      ",\"age_ms\":%.0f,\"tries\":%u,\"hedge\":%s,\"attempts\":[%s]",
	      event_text(r->class_name), a->member, status, age_ms(r),
	      r->plan.tries, a->hedge ? "true" : "false",
	      past_attempts_text(r));
}

static void update_answer_size(struct entry_request *r)
{
	cost_update_bytes(entry_class_cost(r), r->received_bytes);
}

void entry_end_answer(struct entry_request *r, struct attempt *a, bool ok)
{
	if (ok) {
		COUNT(requests_answered);
		update_answer_size(r);
	} else {
		COUNT(answers_cut);
		COUNT(requests_unknown);
	}
	r->done = true;
	httpd_stream_end(r->http, ok);
	entry_remove_attempt(r->entry, a);
}

/* Ends an answer whose head has been sent to the caller, and stops its gate. */
static void break_off(struct entry_request *r, struct attempt *a)
{
	entry_send_cancel(r->entry, a);
	entry_end_answer(r, a, false);
}

/* Sends an answer that has more parts, or the head alone for a HEAD. */
static void begin_stream(struct entry_request *r, struct attempt *a,
			 const struct request_msg *m, const GPtrArray *headers)
{
	r->winner = a;
	r->streaming = true;
	httpd_stream_begin(r->http, m->status, headers, r->answer_length);
	httpd_stream_write(r->http, m->data, m->len);
	if (m->flags & REQ_FLAG_END)
		entry_end_answer(r, a, true);
}

void entry_on_answer_head(struct entry_request *r, struct attempt *a,
			  const struct request_msg *m)
{
	struct entry *e = r->entry;
	enum answer_fault fault;
	GPtrArray *headers;

	if (r->streaming) {
		break_off(r, a);
		return;
	}
	XXH64_reset(&r->digest, 0);
	r->received_bytes = 0;
	r->answer_length = answer_length(m->headers);
	add_answer_bytes(r, m);
	fault = find_fault(r, m);
	if (fault) {
		refuse_answer(r, a, m, fault);
		return;
	}
	plan_attempt_event(&r->plan, a->number, ATTEMPT_EVENT_ANSWERED);
	entry_on_server_status(e, a->member, m->headers);
	entry_cancel_others(r, a);
	emit_answered(r, a, m->status);
	if (a->hedge)
		COUNT(hedges_won);
	headers = answer_headers(m);
	if ((m->flags & REQ_FLAG_END) && strcmp(r->http->method, "HEAD")) {
		COUNT(requests_answered);
		update_answer_size(r);
		r->done = true;
		httpd_reply(r->http, m->status, headers, m->data, m->len);
		entry_remove_attempt(e, a);
	} else {
		begin_stream(r, a, m, headers);
	}
	g_ptr_array_unref(headers);
}

/*
 * Whether parts before this one were lost with a connection. Gates of earlier
 * versions do not state the place of a part.
 */
static bool follows_gap(const struct entry_request *r,
			const struct request_msg *m)
{
	return m->number && m->number != r->received_bytes;
}

void entry_on_answer_data(struct entry_request *r, struct attempt *a,
			  const struct request_msg *m)
{
	if (!r->streaming || r->winner != a)
		return;
	if (follows_gap(r, m)) {
		break_off(r, a);
		return;
	}
	add_answer_bytes(r, m);
	if (!length_fits(r, m, true)) {
		break_off(r, a);
		return;
	}
	httpd_stream_write(r->http, m->data, m->len);
	if (m->flags & REQ_FLAG_END)
		entry_end_answer(r, a, answer_is_complete(r, m));
}

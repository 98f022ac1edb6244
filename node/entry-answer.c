#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "net/headers.h"
#include "node/entry-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/histogram.h"
#include "util/result.h"

/* What the caller gets: a gate's answer, or one of our own. */

#define RETRY_AFTER_SPREAD_S 2
#define MS_PER_S 1000

/* Keep how an attempt ended, for the line about its request. */
void entry_note_attempt(struct entry_request *r, const struct attempt *a,
			int result)
{
	struct past_attempt *p = &r->past[r->n_past++ % MAX_PAST];

	p->member = a->member;
	p->result = result;
	p->ms = (clock_now_us() - a->sent_us) / 1000;
}

/* All attempts in one line, so that no other has to be looked up. */
static const char *past_text(const struct entry_request *r)
{
	static char out[256];
	uint32_t n = MIN(r->n_past, MAX_PAST);
	uint32_t i;
	int at = 0;

	out[0] = '\0';
	for (i = 0; i < n; i++)
		at += g_snprintf(out + at, sizeof(out) - at,
				 "%s[%" PRId64 ",\"%s\",%" PRId64 "]",
				 i ? "," : "", r->past[i].member,
				 result_name(r->past[i].result), r->past[i].ms);
	return out;
}

static void note_end(struct entry_request *r, enum event e, const char *why,
		     int64_t wait_ms)
{
	int64_t now = clock_now_ms();
	const struct plan *p = &r->plan;

	if (!event_allowed(e))
		return;
	event_write(e, r->attempt_id,
		    "\"class\":\"%s\",\"service\":\"%s\",\"version\":%" PRId64
		    ",\"shard\":%" PRId64 ",\"why\":\"%s\",\"age_ms\":%" PRId64
		    ",\"left_ms\":%" PRId64 ",\"wait_ms\":%" PRId64
		    ",\"tries\":%u,\"reached\":%u,\"attempts\":[%s]",
		    event_text(r->class_name), event_text(r->service),
		    r->version, p->keyed ? (int64_t)r->shard : -1,
		    event_text(why), now - p->received_at_ms,
		    p->deadline_ms - now, wait_ms, p->tries,
		    plan_n_servers_reached(p), past_text(r));
}

static double age_ms(const struct entry_request *r)
{
	return clock_now_ms() - r->plan.received_at_ms;
}

static void add_retry_after(struct entry_request *r, GPtrArray *headers,
			    int64_t wait_ms)
{
	struct entry *e = r->entry;
	char text[32];

	if (e->node->settings.headers->fractional_retry) {
		g_snprintf(text, sizeof(text), "%.3f",
			   (double)wait_ms / MS_PER_S);
		header_add(headers, "Retry-After", text);
		return;
	}
	/*
	 * Callers refused together would come back together, and bring the
	 * overload back with them; so each is told a time of its own.
	 */
	header_add_int(headers, "Retry-After",
		       MAX((wait_ms + MS_PER_S - 1) / MS_PER_S, 1) +
			       g_rand_int_range(e->rand, 0,
						RETRY_AFTER_SPREAD_S + 1));
}

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

/* Answer for good that the request did not run. */
void entry_reply_not_run(struct entry_request *r, const char *text)
{
	double jitter = g_rand_double(r->entry->rand);
	int64_t wait_ms = plan_retry_after_ms(&r->plan, jitter, clock_now_ms());

	if (r->done)
		return;
	COUNT(requests_not_run);
	MEASURE(refused_ms, age_ms(r));
	note_end(r, EVENT_request_refused, text, wait_ms);
	reply(r, 503, OUTCOME_NOT_RUN, wait_ms, text);
}

static const enum counter cause_counters[] = {
#define CAUSE_COUNTER(name, text) COUNTER_unknown_##name,
	PLAN_CAUSE_LIST(CAUSE_COUNTER)
#undef CAUSE_COUNTER
};

/* Answer for good that it may have run. */
void entry_reply_unknown(struct entry_request *r)
{
	enum plan_cause cause;

	if (r->done)
		return;
	cause = plan_cause(plan_in_doubt(&r->plan));
	COUNT(requests_unknown);
	counters[cause_counters[cause]]++;
	MEASURE(unknown_ms, age_ms(r));
	note_end(r, EVENT_request_unknown, plan_cause_text(cause), -1);
	reply(r, 504, OUTCOME_UNKNOWN, r->plan.repeatable ? MS_PER_S : -1,
	      "no whole answer came; the request may have run\n");
}

/* Answer that the request itself is at fault. */
void entry_reject(struct entry_request *r, uint32_t status, const char *text)
{
	COUNT(requests_rejected);
	note_end(r, EVENT_request_rejected, text, -1);
	reply(r, status, NULL, -1, text);
}

static GPtrArray *answer_headers(const struct request_msg *m, int64_t *length)
{
	GPtrArray *headers = headers_new();
	uint32_t i;

	*length = -1;
	for (i = 0; m->headers && i + 1 < m->headers->len; i += 2) {
		const char *name = g_ptr_array_index(m->headers, i);
		const char *value = g_ptr_array_index(m->headers, i + 1);

		if (!g_ascii_strcasecmp(name, "Content-Length"))
			*length = g_ascii_strtoll(value, NULL, 10);
		else if (!header_is_hop_by_hop(name))
			header_add(headers, name, value);
	}
	return headers;
}

static bool whole(const struct entry_request *r, const struct request_msg *m)
{
	return m->total == r->received_bytes &&
	       m->digest == XXH64_digest(&r->digest);
}

static void take_bytes(struct entry_request *r, const struct request_msg *m)
{
	XXH64_update(&r->digest, m->data, m->len);
	r->received_bytes += m->len;
}

static void note_answered(struct entry_request *r, const struct attempt *a,
			  int64_t status)
{
	MEASURE(answered_ms, age_ms(r));
	if (!r->traced)
		return;
	EVENT(request_answered, r->attempt_id,
	      "\"class\":\"%s\",\"gate\":%" PRId64 ",\"status\":%" PRId64
	      ",\"age_ms\":%.0f,\"tries\":%u,\"hedge\":%s,\"attempts\":[%s]",
	      event_text(r->class_name), a->member, status, age_ms(r),
	      r->plan.tries, a->hedge ? "true" : "false", past_text(r));
}

static void learn_size(struct entry_request *r)
{
	cost_update_bytes(entry_cost(r), r->received_bytes);
}

/* The answer of an attempt is at its end; one not whole cuts the caller off. */
void entry_end_answer(struct entry_request *r, struct attempt *a, bool ok)
{
	if (ok) {
		COUNT(requests_answered);
		learn_size(r);
	} else {
		COUNT(answers_cut);
		COUNT(requests_unknown);
	}
	r->done = true;
	httpd_end(r->http, ok);
	entry_forget_attempt(r->entry, a);
}

/* An answer's head, with its first bytes or all of them. */
void entry_take_head(struct entry_request *r, struct attempt *a,
		     const struct request_msg *m)
{
	struct entry *e = r->entry;
	GPtrArray *headers;
	int64_t length;

	XXH64_reset(&r->digest, 0);
	r->received_bytes = 0;
	take_bytes(r, m);
	if ((m->flags & REQ_FLAG_END) && !whole(r, m)) {
		COUNT(answers_cut);
		entry_end_attempt(r, a, ATTEMPT_EVENT_MIXED, RESULT_MIXED);
		return;
	}
	plan_attempt_event(&r->plan, a->number, ATTEMPT_EVENT_ANSWERED);
	entry_cancel_others(r, a);
	note_answered(r, a, m->status);
	if (a->hedge)
		COUNT(hedges_won);
	headers = answer_headers(m, &length);
	if ((m->flags & REQ_FLAG_END) && strcmp(r->http->method, "HEAD")) {
		COUNT(requests_answered);
		learn_size(r);
		r->done = true;
		httpd_reply(r->http, m->status, headers, m->data, m->len);
		entry_forget_attempt(e, a);
	} else {
		r->winner = a;
		r->streaming = true;
		httpd_stream(r->http, m->status, headers, length);
		httpd_push(r->http, m->data, m->len);
		if (m->flags & REQ_FLAG_END)
			entry_end_answer(r, a, true);
	}
	g_ptr_array_unref(headers);
}

/* More bytes of an answer under way. */
void entry_take_data(struct entry_request *r, struct attempt *a,
		     const struct request_msg *m)
{
	if (!r->streaming || r->winner != a)
		return;
	take_bytes(r, m);
	httpd_push(r->http, m->data, m->len);
	if (m->flags & REQ_FLAG_END)
		entry_end_answer(r, a, whole(r, m));
}

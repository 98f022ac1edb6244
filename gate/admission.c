#include <string.h>

#include "gate/admission.h"
#include "util/counters.h"
#include "util/result.h"

#define QUEUE_PER_SLOT 4
#define MIN_RETRY_AFTER_MS 100
/* Share of the time to the target that the link may use; the rest is for work. */
#define LINK_TARGET_SHARE 0.4
/* Refusing shorter answers would not noticeably free the link for others. */
#define SHORT_ANSWER_BYTES 8192.0

void admission_init(struct admission *a, const struct limit_ops *limit,
		    double link_mbps, int64_t now_ms)
{
	memset(a, 0, sizeof(*a));
	link_init(&a->link, link_mbps);
	queue_init(&a->queue, QUEUE_PER_SLOT);
	cold_start_init(&a->cold_start, now_ms);
	limit_init(&a->limit, limit, 1, now_ms);
}

void admission_finish(struct admission *a)
{
	queue_finish(&a->queue);
}

void admission_reset(struct admission *a, const struct limit_ops *limit,
		     uint32_t slots, int64_t now_ms)
{
	a->queue.max = slots * QUEUE_PER_SLOT;
	limit_init(&a->limit, limit, slots, now_ms);
}

/*
 * Whether the link will have sent the answer early enough. If more long answers
 * were accepted than the link can carry, they would queue there and all be
 * late. Most requests that are refused early enough are served by another gate,
 * or are accepted when they are retried.
 */
static bool link_can_send_in_time(const struct admission *a,
				  const struct queued *in, int64_t now_ms)
{
	double bytes = queue_avg_answer_bytes(&a->queue, in->class_index);

	if (!in->remote)
		return true;
	/*
	 * A short answer is sent before the long answers that are reserved but
	 * not yet ready.
	 */
	if (bytes < SHORT_ANSWER_BYTES)
		return now_ms + link_backlog_ms(&a->link, now_ms) <=
		       in->deadline_ms;
	return link_wait_ms(&a->link, bytes, now_ms) <=
	       (in->due_ms - now_ms) * LINK_TARGET_SHARE;
}

/* Whether the rate that the server names lets it start early enough. */
static bool rate_allows_in_time(const struct admission *a,
				const struct queued *in, int64_t now_ms)
{
	double wait_ms =
		rate_limit_wait_ms(&a->rate_limit, a->queue.heap->len, now_ms);

	return wait_ms <= 0 ||
	       now_ms + wait_ms + a->queue.service_ms <= in->due_ms;
}

int admission_offer(struct admission *a, const struct queued *in,
		    bool has_alternative, int64_t now_ms,
		    struct queued **victim)
{
	*victim = NULL;
	/*
	 * Another gate of the service can take this request. Here it would wait
	 * for the end of the stall, or until the rate limit of a cold start
	 * allows one more.
	 */
	rate_limit_record_offer(&a->rate_limit, now_ms);
	if (has_alternative &&
	    (a->limit.stalled || !cold_start_allows(&a->cold_start, now_ms) ||
	     rate_limit_wait_ms(&a->rate_limit, a->queue.heap->len, now_ms) >
		     0))
		return RESULT_OVERLOAD;
	if (!rate_allows_in_time(a, in, now_ms)) {
		COUNT(gate_refused_rate);
		return RESULT_OVERLOAD;
	}
	/* It would be late. Refused now, its caller can still try elsewhere. */
	if (!queue_can_finish_in_time(&a->queue, now_ms, in, a->n_in_flight,
				      a->limit.allowed))
		return RESULT_OVERLOAD;
	if (!link_can_send_in_time(a, in, now_ms)) {
		COUNT(gate_refused_link);
		return RESULT_OVERLOAD;
	}
	if (!limit_allows(&a->limit, a->n_in_flight))
		COUNT(gate_queued);
	*victim = queue_push(&a->queue, in);
	return RESULT_OK;
}

double admission_reserve_link(struct admission *a, const struct queued *in)
{
	double bytes = 0;

	if (in->remote)
		bytes = queue_avg_answer_bytes(&a->queue, in->class_index);
	link_reserve(&a->link, bytes);
	return bytes;
}

bool admission_next(struct admission *a, int64_t now_ms, struct queued *out)
{
	return a->queue.heap->len && limit_allows(&a->limit, a->n_in_flight) &&
	       cold_start_allows(&a->cold_start, now_ms) &&
	       rate_limit_allows(&a->rate_limit, now_ms) &&
	       queue_next(&a->queue, now_ms, a->limit.allowed, out);
}

bool admission_pop_overtaken(struct admission *a, int64_t now_ms,
			     struct queued *out)
{
	return queue_pop_overtaken(&a->queue, now_ms, a->n_in_flight,
				   a->limit.allowed, out);
}

void admission_started(struct admission *a, int64_t now_ms)
{
	a->n_in_flight++;
	cold_start_record_send(&a->cold_start, now_ms);
	rate_limit_record_send(&a->rate_limit, now_ms);
}

void admission_done(struct admission *a, uint32_t class_index,
		    enum limit_outcome outcome, double service_ms,
		    int64_t started_ms, int64_t now_ms)
{
	a->n_in_flight--;
	limit_done(&a->limit, outcome, service_ms, started_ms, now_ms);
	if (outcome != LIMIT_ANSWERED)
		return;
	queue_update_service_ms(&a->queue, class_index, service_ms);
	queue_count(&a->queue, class_index, false);
}

void admission_cancelled(struct admission *a)
{
	a->n_in_flight--;
}

bool admission_needs_timer(const struct admission *a, int64_t now_ms)
{
	if (a->limit.ops->check_stall && a->n_in_flight)
		return true;
	return a->queue.heap->len &&
	       (cold_start_is_active(&a->cold_start, now_ms) ||
		rate_limit_is_active(&a->rate_limit));
}

uint32_t admission_load(const struct admission *a)
{
	return a->n_in_flight + a->queue.heap->len;
}

double admission_utilization(const struct admission *a, int64_t now_ms)
{
	return MAX(admission_load(a) / MAX(a->limit.allowed, 1.0),
		   rate_limit_utilization(&a->rate_limit, now_ms));
}

int64_t admission_retry_after_ms(const struct admission *a, double jitter,
				 int64_t now_ms)
{
	double drain = a->queue.heap->len * a->queue.service_ms /
		       MAX(a->limit.allowed, 1.0);
	double wait = MAX(drain, link_wait_ms(&a->link, 0, now_ms));

	wait = MAX(wait, rate_limit_wait_ms(&a->rate_limit, a->queue.heap->len,
					    now_ms));
	return (int64_t)((MIN_RETRY_AFTER_MS + wait) * (1 + jitter));
}

#include <string.h>

#include "gate/admission.h"
#include "util/counters.h"
#include "util/result.h"

#define QUEUE_PER_SLOT 4
#define MIN_WAIT_MS 100

void admission_init(struct admission *a, const struct limit_ops *limit,
		    int64_t now_ms)
{
	memset(a, 0, sizeof(*a));
	queue_init(&a->queue, QUEUE_PER_SLOT);
	cold_init(&a->cold, now_ms);
	limit_init(&a->limit, limit, 1, now_ms);
}

void admission_finish(struct admission *a)
{
	queue_finish(&a->queue);
}

void admission_announce(struct admission *a, const struct limit_ops *limit,
			uint32_t slots, int64_t now_ms)
{
	a->queue.max = slots * QUEUE_PER_SLOT;
	limit_init(&a->limit, limit, slots, now_ms);
}

int admission_offer(struct admission *a, const struct queued *in,
		    bool elsewhere, int64_t now_ms, struct queued **victim)
{
	*victim = NULL;
	/*
	 * Others of the service can take this one; here it would share the
	 * stall of those in flight, or wait until a cold server bears more.
	 */
	if (elsewhere && (a->limit.stalled || !cold_allows(&a->cold, now_ms)))
		return RESULT_OVERLOAD;
	/* Late already: refused now, its caller can still go elsewhere. */
	if (!queue_can_meet(&a->queue, now_ms, in, a->n_running, a->limit.now))
		return RESULT_OVERLOAD;
	if (!limit_allows(&a->limit, a->n_running))
		COUNT(gate_queued);
	*victim = queue_push(&a->queue, in);
	return RESULT_OK;
}

bool admission_next(struct admission *a, int64_t now_ms, struct queued *out)
{
	return a->queue.heap->len && limit_allows(&a->limit, a->n_running) &&
	       cold_allows(&a->cold, now_ms) && queue_pop(&a->queue, out);
}

void admission_started(struct admission *a, int64_t now_ms)
{
	a->n_running++;
	cold_sent(&a->cold, now_ms);
}

void admission_done(struct admission *a, uint32_t class_index,
		    enum limit_outcome outcome, double ms, int64_t started_ms,
		    int64_t now_ms)
{
	a->n_running--;
	limit_done(&a->limit, outcome, ms, started_ms, now_ms);
	if (outcome != LIMIT_ANSWERED)
		return;
	queue_learn(&a->queue, class_index, ms);
	queue_count(&a->queue, class_index, false);
}

void admission_cancelled(struct admission *a)
{
	a->n_running--;
}

bool admission_needs_watch(const struct admission *a, int64_t now_ms)
{
	if (a->limit.ops->watch && a->n_running)
		return true;
	return a->queue.heap->len && cold_now(&a->cold, now_ms);
}

uint32_t admission_load(const struct admission *a)
{
	return a->n_running + a->queue.heap->len;
}

int64_t admission_wait_ms(const struct admission *a, double jitter)
{
	double drain = a->queue.heap->len * a->queue.service_ms /
		       MAX(a->limit.now, 1.0);

	return (int64_t)((MIN_WAIT_MS + drain) * (1 + jitter));
}

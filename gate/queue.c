#include <math.h>
#include <string.h>

#include "gate/queue.h"

#define COUNT_DECAY 0.998
#define SMOOTHING_WEIGHT 0.1
/* Share of a class's average time in which many of its requests finish. */
#define MIN_WORK_SHARE 0.5
/*
 * Requests of one work_log2 are congested when the wait for the last of them is
 * expected to take more than this share of the time until it is due.
 */
#define CONGESTED_SHARE 0.25

void queue_init(struct queue *q, uint32_t max)
{
	memset(q, 0, sizeof(*q));
	q->heap = g_ptr_array_new_with_free_func(g_free);
	q->max = max;
}

void queue_finish(struct queue *q)
{
	g_ptr_array_unref(q->heap);
	g_free(q->classes);
}

void queue_set_classes(struct queue *q, uint32_t n)
{
	uint32_t n_before = q->n_classes;
	uint32_t i;

	q->classes = g_renew(struct class_stats, q->classes, n);
	q->n_classes = n;
	if (n > n_before)
		memset(q->classes + n_before, 0,
		       (n - n_before) * sizeof(q->classes[0]));
	for (i = 0; i < n; i++)
		q->classes[i].refusal_target = 0;
	q->has_refusal_targets = false;
}

void queue_set_refusal_target(struct queue *q, uint32_t class_index,
			      double share)
{
	if (class_index >= q->n_classes)
		return;
	q->classes[class_index].refusal_target = share;
	q->has_refusal_targets = q->has_refusal_targets || share > 0;
}

void queue_count(struct queue *q, uint32_t class_index, bool refused)
{
	struct class_stats *c;

	if (class_index >= q->n_classes)
		return;
	c = &q->classes[class_index];
	c->decayed_total = c->decayed_total * COUNT_DECAY + 1;
	c->decayed_refused = c->decayed_refused * COUNT_DECAY + refused;
}

static struct queued *entry_at(const struct queue *q, uint32_t i)
{
	return g_ptr_array_index(q->heap, i);
}

/*
 * Heap order: least expected work first. When not all requests can be served,
 * this serves the most of them. It also keeps a short call that a request at
 * another backend server waits for from being refused in favour of long
 * requests. Requests with the same work_log2 are ordered by due_ms.
 */
static bool is_before(const struct queued *a, const struct queued *b)
{
	if (a->work_log2 != b->work_log2)
		return a->work_log2 < b->work_log2;
	return a->due_ms < b->due_ms;
}

static void swap(struct queue *q, uint32_t i, uint32_t j)
{
	gpointer t = q->heap->pdata[i];

	q->heap->pdata[i] = q->heap->pdata[j];
	q->heap->pdata[j] = t;
}

static void sift_up(struct queue *q, uint32_t i)
{
	while (i && is_before(entry_at(q, i), entry_at(q, (i - 1) / 2))) {
		swap(q, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void sift_down(struct queue *q, uint32_t i)
{
	for (;;) {
		uint32_t l = 2 * i + 1;
		uint32_t best = i;

		if (l < q->heap->len &&
		    is_before(entry_at(q, l), entry_at(q, best)))
			best = l;
		if (l + 1 < q->heap->len &&
		    is_before(entry_at(q, l + 1), entry_at(q, best)))
			best = l + 1;
		if (best == i)
			return;
		swap(q, i, best);
		i = best;
	}
}

static struct queued *remove_at(struct queue *q, uint32_t i)
{
	struct queued *e;

	swap(q, i, q->heap->len - 1);
	e = g_ptr_array_steal_index(q->heap, q->heap->len - 1);
	if (i < q->heap->len) {
		sift_down(q, i);
		sift_up(q, i);
	}
	return e;
}

/* How far the refused share of a class is below its target. */
static double refusal_headroom(const struct queue *q, uint32_t class_index)
{
	const struct class_stats *c;

	if (class_index >= q->n_classes)
		return 0;
	c = &q->classes[class_index];
	return c->refusal_target -
	       (c->decayed_refused + 1) / (c->decayed_total + 1);
}

/*
 * Picks the request to refuse: of the class with the most headroom, the one
 * that would start last. If the operators have set no class a target for
 * refusals, headroom is ignored: it would only spread refusals evenly over the
 * classes and refuse as many short requests as long ones.
 */
static uint32_t pick_victim(const struct queue *q)
{
	uint32_t best = 0;
	uint32_t i;

	for (i = 1; i < q->heap->len; i++) {
		double a = refusal_headroom(q, entry_at(q, i)->class_index);
		double b = refusal_headroom(q, entry_at(q, best)->class_index);

		if (!q->has_refusal_targets)
			a = b = 0;
		if (a > b ||
		    (a >= b && is_before(entry_at(q, best), entry_at(q, i))))
			best = i;
	}
	return best;
}

static double class_service_ms(const struct queue *q, uint32_t class_index)
{
	if (class_index < q->n_classes &&
	    q->classes[class_index].service_ms > 0)
		return q->classes[class_index].service_ms;
	return q->service_ms;
}

/* Requests within a factor of two rank equal, since the averages keep moving. */
static void set_expected_work(const struct queue *q, struct queued *e)
{
	e->work_ms = class_service_ms(q, e->class_index);
	e->work_log2 = e->work_ms > 0 ? ilogb(e->work_ms) : INT32_MIN;
}

/*
 * Whether so many requests of one work_log2 are queued that their order decides
 * how many finish in time. If the one due first always started first, each
 * would wait until it is nearly late, and would be late as soon as its work
 * takes longer than usual. So under congestion the one with the most time left
 * starts first, and the others are refused once they cannot finish in time.
 */
static bool is_congested(const struct queue *q, int32_t work_log2,
			 int64_t now_ms, double slots)
{
	double work_ms = 0;
	int64_t last_due_ms = 0;
	uint32_t i;

	for (i = 0; i < q->heap->len; i++) {
		const struct queued *e = entry_at(q, i);

		if (e->work_log2 > work_log2)
			continue;
		work_ms += e->work_ms;
		if (e->work_log2 == work_log2)
			last_due_ms = MAX(last_due_ms, e->due_ms);
	}
	return work_ms / MAX(slots, 1.0) >
	       (last_due_ms - now_ms) * CONGESTED_SHARE;
}

/* Whether queued request a starts before queued request b. */
static bool starts_before(const struct queued *a, const struct queued *b,
			  bool congested)
{
	if (congested && a->work_log2 == b->work_log2)
		return a->due_ms > b->due_ms;
	return is_before(a, b);
}

/*
 * Expected wait until a request can start. A new request (is_queued false)
 * counts all queued requests of its work_log2 as ahead of it, since requests
 * that arrive later may start before it.
 */
static double expected_wait_ms(const struct queue *q, const struct queued *in,
			       bool is_queued, int64_t now_ms,
			       uint32_t n_in_flight, double slots)
{
	bool congested = is_queued &&
			 is_congested(q, in->work_log2, now_ms, slots);
	double work_ms = 0;
	uint32_t i;

	for (i = 0; i < q->heap->len; i++) {
		const struct queued *e = entry_at(q, i);

		if (is_queued ? e != in && !starts_before(in, e, congested)
			      : e->work_log2 <= in->work_log2)
			work_ms += e->work_ms;
	}
	if (!work_ms && n_in_flight < slots)
		return 0;
	return (work_ms + q->service_ms) / MAX(slots, 1.0);
}

/* in: a queued or a new request, after set_expected_work(). */
static bool can_finish_in_time(const struct queue *q, int64_t now_ms,
			       const struct queued *in, bool is_queued,
			       uint32_t n_in_flight, double slots)
{
	double wait =
		expected_wait_ms(q, in, is_queued, now_ms, n_in_flight, slots);
	double done_ms = now_ms + wait + in->work_ms * MIN_WORK_SHARE;

	if (done_ms > in->deadline_ms)
		return false;
	/*
	 * A queue longer than the target serves as many requests as a short
	 * one, but all of them late. So a request that would be late by waiting
	 * is refused while its caller can still try elsewhere or retry. A
	 * request that finds a free slot is served late rather than refused.
	 */
	return wait <= 0 || done_ms <= in->due_ms;
}

bool queue_can_finish_in_time(const struct queue *q, int64_t now_ms,
			      const struct queued *in, uint32_t n_in_flight,
			      double slots)
{
	struct queued candidate = *in;

	set_expected_work(q, &candidate);
	return can_finish_in_time(q, now_ms, &candidate, false, n_in_flight,
				  slots);
}

struct queued *queue_push(struct queue *q, const struct queued *in)
{
	struct queued *e = g_memdup2(in, sizeof(*in));

	set_expected_work(q, e);
	g_ptr_array_add(q->heap, e);
	sift_up(q, q->heap->len - 1);
	if (q->heap->len <= q->max)
		return NULL;
	return remove_at(q, pick_victim(q));
}

static bool pop_at(struct queue *q, uint32_t i, struct queued *out)
{
	struct queued *e = remove_at(q, i);

	*out = *e;
	g_free(e);
	return true;
}

bool queue_pop(struct queue *q, struct queued *out)
{
	return q->heap->len && pop_at(q, 0, out);
}

bool queue_next(struct queue *q, int64_t now_ms, double slots,
		struct queued *out)
{
	uint32_t best = 0;
	uint32_t i;

	if (!q->heap->len)
		return false;
	if (!is_congested(q, entry_at(q, 0)->work_log2, now_ms, slots))
		return pop_at(q, 0, out);
	for (i = 1; i < q->heap->len; i++)
		if (starts_before(entry_at(q, i), entry_at(q, best), true))
			best = i;
	return pop_at(q, best, out);
}

bool queue_remove(struct queue *q, const void *request)
{
	struct queued dropped;
	uint32_t i;

	for (i = 0; i < q->heap->len; i++)
		if (entry_at(q, i)->request == request)
			return pop_at(q, i, &dropped);
	return false;
}

bool queue_pop_expired(struct queue *q, int64_t now_ms, struct queued *out)
{
	uint32_t i;

	for (i = 0; i < q->heap->len; i++)
		if (entry_at(q, i)->deadline_ms <= now_ms)
			return pop_at(q, i, out);
	return false;
}

bool queue_pop_overtaken(struct queue *q, int64_t now_ms, uint32_t n_in_flight,
			 double slots, struct queued *out)
{
	uint32_t best = q->heap->len;
	uint32_t i;

	/*
	 * Of the requests that cannot finish in time, take the first in heap
	 * order: without it, those behind it may finish in time.
	 */
	for (i = 0; i < q->heap->len; i++)
		if (!can_finish_in_time(q, now_ms, entry_at(q, i), true,
					n_in_flight, slots) &&
		    (best == q->heap->len ||
		     is_before(entry_at(q, i), entry_at(q, best))))
			best = i;
	return best < q->heap->len && pop_at(q, best, out);
}

static void update_average(double *mean, double v)
{
	*mean += *mean > 0 ? SMOOTHING_WEIGHT * (v - *mean) : v;
}

void queue_update_service_ms(struct queue *q, uint32_t class_index,
			     double service_ms)
{
	update_average(&q->service_ms, service_ms);
	if (class_index < q->n_classes)
		update_average(&q->classes[class_index].service_ms, service_ms);
}

void queue_update_answer_bytes(struct queue *q, uint32_t class_index,
			       double bytes)
{
	if (class_index < q->n_classes)
		update_average(&q->classes[class_index].answer_bytes, bytes);
}

double queue_avg_answer_bytes(const struct queue *q, uint32_t class_index)
{
	return class_index < q->n_classes ? q->classes[class_index].answer_bytes
					  : 0;
}

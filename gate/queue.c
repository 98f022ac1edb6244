#include <string.h>

#include "gate/queue.h"

#define FADE 0.998
#define SERVICE_WEIGHT 0.1
/* Of a class's usual time: enough for many of its requests. */
#define LEAST_SHARE 0.5

/* Set up an empty queue of at most max requests. */
void queue_init(struct queue *q, uint32_t max)
{
	memset(q, 0, sizeof(*q));
	q->heap = g_ptr_array_new_with_free_func(g_free);
	q->max = max;
}

/* Release the queue; the requests stay the caller's. */
void queue_finish(struct queue *q)
{
	g_ptr_array_unref(q->heap);
	g_free(q->classes);
}

void queue_set_classes(struct queue *q, uint32_t n)
{
	uint32_t before = q->n_classes;
	uint32_t i;

	q->classes = g_renew(struct class_load, q->classes, n);
	q->n_classes = n;
	if (n > before)
		memset(q->classes + before, 0,
		       (n - before) * sizeof(q->classes[0]));
	for (i = 0; i < n; i++)
		q->classes[i].refused_share = 0;
	q->has_shares = false;
}

void queue_set_share(struct queue *q, uint32_t class_index, double share)
{
	if (class_index >= q->n_classes)
		return;
	q->classes[class_index].refused_share = share;
	q->has_shares = q->has_shares || share > 0;
}

void queue_count(struct queue *q, uint32_t class_index, bool refused)
{
	struct class_load *c;

	if (class_index >= q->n_classes)
		return;
	c = &q->classes[class_index];
	c->seen = c->seen * FADE + 1;
	c->refused = c->refused * FADE + refused;
}

static struct queued *at(const struct queue *q, uint32_t i)
{
	return g_ptr_array_index(q->heap, i);
}

/*
 * Shortest first: when not all can be served, most are, and a call that a
 * request at another server waits for, which is short, is not refused for the
 * time of long ones. Those of one length by when they are due.
 */
static bool before(const struct queued *a, const struct queued *b)
{
	if (a->work_ms != b->work_ms)
		return a->work_ms < b->work_ms;
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
	while (i && before(at(q, i), at(q, (i - 1) / 2))) {
		swap(q, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void sift_down(struct queue *q, uint32_t i)
{
	for (;;) {
		uint32_t l = 2 * i + 1;
		uint32_t best = i;

		if (l < q->heap->len && before(at(q, l), at(q, best)))
			best = l;
		if (l + 1 < q->heap->len && before(at(q, l + 1), at(q, best)))
			best = l + 1;
		if (best == i)
			return;
		swap(q, i, best);
		i = best;
	}
}

static struct queued *take(struct queue *q, uint32_t i)
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

/* How far a class is from refusing more than its target allows. */
static double headroom(const struct queue *q, uint32_t class_index)
{
	const struct class_load *c;

	if (class_index >= q->n_classes)
		return 0;
	c = &q->classes[class_index];
	return c->refused_share - (c->refused + 1) / (c->seen + 1);
}

/*
 * What should be refused when something must: of the class with the most
 * headroom, and of that what would be begun last. Where operators have set no
 * class a target for refusals, headroom would only share them out evenly, and
 * refuse as many of the short as of the long ones.
 */
static uint32_t pick_victim(const struct queue *q)
{
	uint32_t best = 0;
	uint32_t i;

	for (i = 1; i < q->heap->len; i++) {
		double a = headroom(q, at(q, i)->class_index);
		double b = headroom(q, at(q, best)->class_index);

		if (!q->has_shares)
			a = b = 0;
		if (a > b || (a >= b && before(at(q, best), at(q, i))))
			best = i;
	}
	return best;
}

static double class_ms(const struct queue *q, uint32_t class_index)
{
	if (class_index < q->n_classes &&
	    q->classes[class_index].service_ms > 0)
		return q->classes[class_index].service_ms;
	return q->service_ms;
}

/* How long until all that would go before a request has been begun. */
static double wait_ms(const struct queue *q, const struct queued *in,
		      uint32_t running, double slots)
{
	double work_ms = 0;
	uint32_t i;

	for (i = 0; i < q->heap->len; i++)
		if (at(q, i) != in && !before(in, at(q, i)))
			work_ms += at(q, i)->work_ms;
	if (!work_ms && running < slots)
		return 0;
	return (work_ms + q->service_ms) / MAX(slots, 1.0);
}

/* work_ms of in is known by now; in itself may wait in the queue or not. */
static bool can_be_in_time(const struct queue *q, int64_t now_ms,
			   const struct queued *in, uint32_t running,
			   double slots)
{
	double wait = wait_ms(q, in, running, slots);
	double done_ms = now_ms + wait + in->work_ms * LEAST_SHARE;

	if (done_ms > in->deadline_ms)
		return false;
	/*
	 * A queue that lasts beyond the target serves as many as a short one,
	 * all of them late. So what would have to wait into lateness is
	 * refused while it can still go elsewhere or come back; what finds a
	 * slot free is served late rather than not at all.
	 */
	return wait <= 0 || done_ms <= in->due_ms;
}

bool queue_can_meet(const struct queue *q, int64_t now_ms,
		    const struct queued *in, uint32_t running, double slots)
{
	struct queued sized = *in;

	sized.work_ms = class_ms(q, in->class_index);
	return can_be_in_time(q, now_ms, &sized, running, slots);
}

struct queued *queue_push(struct queue *q, const struct queued *in)
{
	struct queued *e = g_memdup2(in, sizeof(*in));

	e->work_ms = class_ms(q, in->class_index);
	g_ptr_array_add(q->heap, e);
	sift_up(q, q->heap->len - 1);
	if (q->heap->len <= q->max)
		return NULL;
	return take(q, pick_victim(q));
}

bool queue_pop(struct queue *q, struct queued *out)
{
	struct queued *e;

	if (!q->heap->len)
		return false;
	e = take(q, 0);
	*out = *e;
	g_free(e);
	return true;
}

static bool take_into(struct queue *q, uint32_t i, struct queued *out)
{
	struct queued *e = take(q, i);

	*out = *e;
	g_free(e);
	return true;
}

bool queue_remove(struct queue *q, const void *request)
{
	struct queued dropped;
	uint32_t i;

	for (i = 0; i < q->heap->len; i++)
		if (at(q, i)->request == request)
			return take_into(q, i, &dropped);
	return false;
}

bool queue_pop_expired(struct queue *q, int64_t now_ms, struct queued *out)
{
	uint32_t i;

	for (i = 0; i < q->heap->len; i++)
		if (at(q, i)->deadline_ms <= now_ms)
			return take_into(q, i, out);
	return false;
}

bool queue_pop_overtaken(struct queue *q, int64_t now_ms, uint32_t running,
			 double slots, struct queued *out)
{
	uint32_t best = q->heap->len;
	uint32_t i;

	/* The foremost, since those behind it may be in time without it. */
	for (i = 0; i < q->heap->len; i++)
		if (!can_be_in_time(q, now_ms, at(q, i), running, slots) &&
		    (best == q->heap->len || before(at(q, i), at(q, best))))
			best = i;
	return best < q->heap->len && take_into(q, best, out);
}

static void smooth(double *mean, double v)
{
	*mean += *mean > 0 ? SERVICE_WEIGHT * (v - *mean) : v;
}

void queue_learn(struct queue *q, uint32_t class_index, double service_ms)
{
	smooth(&q->service_ms, service_ms);
	if (class_index < q->n_classes)
		smooth(&q->classes[class_index].service_ms, service_ms);
}

void queue_learn_bytes(struct queue *q, uint32_t class_index, double bytes)
{
	if (class_index < q->n_classes)
		smooth(&q->classes[class_index].answer_bytes, bytes);
}

double queue_usual_bytes(const struct queue *q, uint32_t class_index)
{
	return class_index < q->n_classes ? q->classes[class_index].answer_bytes
					  : 0;
}

#include <math.h>
#include <string.h>

#include "route/choose.h"

/* Weights of a new value in the moving averages. */
#define LATENCY_WEIGHT 0.2
#define UTILIZATION_WEIGHT 0.2
#define DEFAULT_LIMIT 4.0
#define SUSPECT_MS 300
#define NOT_SERVING_AVOID_MS 500

/* Of the policy "two". */

/* Load reports older than this are not used. */
#define TWO_CHOICES_LOAD_MAX_AGE_MS 200
/*
 * A gate is taken for stalled when none of its outstanding requests has ended
 * for this many average latencies, and for at least STALL_MIN_MS.
 */
#define STALL_FACTOR 4
#define STALL_MIN_MS 20
#define LOCAL_COST_FACTOR 0.8

/* Of the policy "soonest". */

/* Load reports older than this are not used. */
#define SOONEST_LOAD_MAX_AGE_MS 1000
/*
 * Added to the expected time of a gate that refused or that is suspect, so that
 * it is rarely chosen unless all others are worse.
 */
#define AVOID_COST_MS 300.0
#define SUSPECT_COST_MS 2000.0
/*
 * Assumed latency of a gate that has not answered yet. It has probably just
 * started, and if it were taken for fast it would get all requests at once.
 */
#define UNKNOWN_LATENCY_MS 150.0
/* A gate that answers in half the time gets eight times as many requests. */
#define WEIGHT_EXPONENT 3.0
/* See expected_ms(). */
#define UNCONTENDED_SHARE 0.5
#define CONTENTION_FACTOR 2.0

void chooser_init(struct chooser *c, const struct chooser_ops *ops,
		  uint32_t seed)
{
	c->ops = ops;
	c->round_robin_next = 0;
	c->views = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	c->rand = g_rand_new_with_seed(seed);
}

void chooser_finish(struct chooser *c)
{
	g_hash_table_unref(c->views);
	g_rand_free(c->rand);
}

struct gate_view *chooser_gate_view(struct chooser *c, int64_t member)
{
	struct gate_view *v = g_hash_table_lookup(c->views, &member);

	if (v)
		return v;
	v = g_new0(struct gate_view, 1);
	v->member = member;
	v->limit = DEFAULT_LIMIT;
	g_hash_table_insert(c->views, &v->member, v);
	return v;
}

void chooser_remove_gate(struct chooser *c, int64_t member)
{
	g_hash_table_remove(c->views, &member);
}

void chooser_sent(struct chooser *c, int64_t member, int64_t now_ms)
{
	struct gate_view *v = chooser_gate_view(c, member);

	if (!v->outstanding)
		v->no_progress_since_ms = now_ms;
	v->outstanding++;
}

/* An attempt at the gate has ended, answered or not. */
static void record_end(struct gate_view *v, int64_t now_ms)
{
	if (v->outstanding)
		v->outstanding--;
	v->no_progress_since_ms = v->outstanding ? now_ms : 0;
}

void chooser_answered(struct chooser *c, int64_t member, double latency_ms,
		      double load, double limit, int64_t now_ms)
{
	struct gate_view *v = chooser_gate_view(c, member);

	record_end(v, now_ms);
	v->load = load;
	v->limit = MAX(limit, 1.0);
	v->last_answer_at_ms = now_ms;
	v->utilization +=
		UTILIZATION_WEIGHT * (load / v->limit - v->utilization);
	if (latency_ms <= 0)
		return;
	v->latency_ms += v->latency_ms > 0
				 ? LATENCY_WEIGHT * (latency_ms - v->latency_ms)
				 : latency_ms;
}

void chooser_unanswered(struct chooser *c, int64_t member, bool suspect,
			int64_t now_ms)
{
	struct gate_view *v = chooser_gate_view(c, member);

	record_end(v, now_ms);
	if (!suspect)
		return;
	v->avoid_until_ms = now_ms + SUSPECT_MS;
	v->suspect_until_ms = v->avoid_until_ms;
}

void chooser_refused(struct chooser *c, int64_t member, int64_t avoid_ms,
		     int64_t now_ms)
{
	struct gate_view *v = chooser_gate_view(c, member);

	v->avoid_until_ms = MAX(v->avoid_until_ms, now_ms + avoid_ms);
}

void chooser_not_serving(struct chooser *c, int64_t member, int64_t now_ms)
{
	struct gate_view *v = chooser_gate_view(c, member);

	v->suspect_until_ms =
		MAX(v->suspect_until_ms, now_ms + NOT_SERVING_AVOID_MS);
	v->avoid_until_ms = MAX(v->avoid_until_ms, v->suspect_until_ms);
}

/*
 * Cost of sending a request to the gate, for comparison with another gate: load
 * divided by limit, times the average latency, and penalties.
 */
static double relative_cost(struct gate_view *v, int64_t local, int64_t now_ms)
{
	double load = v->outstanding;
	double c;

	if (now_ms - v->last_answer_at_ms < TWO_CHOICES_LOAD_MAX_AGE_MS)
		load = MAX(load, v->load);
	c = (load + 1) / v->limit * MAX(v->latency_ms, 1.0);
	/*
	 * A gate whose backend server stalls sends no answers, so its last load
	 * report still looks good. The time since any attempt there ended shows
	 * the stall earlier than a late answer or a new load report would.
	 */
	if (v->no_progress_since_ms &&
	    now_ms - v->no_progress_since_ms >
		    MAX(STALL_MIN_MS, STALL_FACTOR * v->latency_ms))
		c *= 10;
	if (now_ms < v->avoid_until_ms)
		c *= 100;
	return v->member == local ? c * LOCAL_COST_FACTOR : c;
}

static int64_t pick_two_choices(struct chooser *c,
				const struct gate_option *options, uint32_t n,
				int64_t local, int64_t excluded, int64_t now_ms)
{
	int64_t ids[2] = { 0, 0 };
	uint32_t usable = 0;
	uint32_t i;

	/*
	 * Draw two gates at random and take the better. If every entry took
	 * the least loaded gate of all, all would send to the same one at once.
	 */
	for (i = 0; i < n; i++) {
		int64_t id = options[i].member;

		if (id == excluded)
			continue;
		usable++;
		if (usable <= 2)
			ids[usable - 1] = id;
		else if (g_rand_int_range(c->rand, 0, usable) < 2)
			ids[g_rand_int_range(c->rand, 0, 2)] = id;
	}
	if (usable < 2)
		return ids[0];
	return relative_cost(chooser_gate_view(c, ids[0]), local, now_ms) <=
			       relative_cost(chooser_gate_view(c, ids[1]),
					     local, now_ms)
		       ? ids[0]
		       : ids[1];
}

static int64_t pick_round_robin(struct chooser *c,
				const struct gate_option *options, uint32_t n,
				int64_t local, int64_t excluded, int64_t now_ms)
{
	uint32_t i;

	(void)local;
	(void)now_ms;
	for (i = 0; i < n; i++) {
		int64_t id = options[c->round_robin_next++ % n].member;

		if (id != excluded)
			return id;
	}
	return 0;
}

/*
 * Expected time until a gate answers one more request, by its last load report.
 * Up to half of its limit, requests do not slow each other down; closer to the
 * limit the backend server becomes slower, and beyond it each request waits for
 * those queued before it.
 */
static double expected_ms(struct gate_view *v, int64_t now_ms)
{
	double load = v->outstanding;
	double ms = v->latency_ms > 0 ? v->latency_ms : UNKNOWN_LATENCY_MS;

	if (now_ms - v->last_answer_at_ms < SOONEST_LOAD_MAX_AGE_MS)
		load = MAX(load, v->load);
	ms *= 1 + CONTENTION_FACTOR *
			  MAX(0.0, (load + 1) / v->limit - UNCONTENDED_SHARE);
	if (now_ms < v->avoid_until_ms)
		ms += AVOID_COST_MS;
	if (now_ms < v->suspect_until_ms)
		ms += SUSPECT_COST_MS;
	return ms;
}

/*
 * Draws a gate at random, weighted by a power of the inverse of its expected
 * time. The load of a gate is only known as of its last answer: if each entry
 * chose the gate with the least expected time, all entries would choose the
 * same one at once and make it the slowest.
 */
static int64_t pick_soonest(struct chooser *c,
			    const struct gate_option *options, uint32_t n,
			    int64_t local, int64_t excluded, int64_t now_ms)
{
	int64_t chosen = 0;
	double total = 0;
	uint32_t i;

	(void)local;
	for (i = 0; i < n; i++) {
		double weight;
		double ms;

		if (options[i].member == excluded)
			continue;
		ms = expected_ms(chooser_gate_view(c, options[i].member),
				 now_ms) +
		     options[i].extra_ms;
		weight = pow(1 / ms, WEIGHT_EXPONENT);
		total += weight;
		/*
		 * Reservoir sampling: this gate replaces the one chosen so far
		 * with the probability of its share of the total weight.
		 */
		if (g_rand_double(c->rand) * total < weight)
			chosen = options[i].member;
	}
	return chosen;
}

const struct chooser_ops chooser_two_choices = { "two", pick_two_choices };
const struct chooser_ops chooser_round_robin = { "turns", pick_round_robin };
const struct chooser_ops chooser_soonest = { "soonest", pick_soonest };

const struct chooser_ops *chooser_ops_by_name(const char *name)
{
	static const struct chooser_ops *const all[] = { &chooser_two_choices,
							 &chooser_round_robin,
							 &chooser_soonest };
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(all); i++)
		if (!strcmp(all[i]->name, name))
			return all[i];
	return NULL;
}

int64_t chooser_pick(struct chooser *c, const struct gate_option *options,
		     uint32_t n, int64_t local, int64_t excluded,
		     int64_t now_ms)
{
	return c->ops->pick(c, options, n, local, excluded, now_ms);
}

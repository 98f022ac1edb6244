#include <math.h>
#include <string.h>

#include "route/choose.h"

#define LATENCY_WEIGHT 0.2
#define UTILIZATION_WEIGHT 0.2
#define DEFAULT_LIMIT 4.0
#define TWO_CHOICES_LOAD_MAX_AGE_MS 200
#define SUSPECT_MS 300
#define NOT_SERVING_AVOID_MS 500
#define STALL_FACTOR 4
#define STALL_MIN_MS 20
#define LOCAL_COST_FACTOR 0.8
/* What a gate said of its load is no use after this long. */
#define SOONEST_LOAD_MAX_AGE_MS 1000
/* A gate that refused, or was silent, is asked only if all others are worse. */
#define AVOID_COST_MS 300.0
#define SUSPECT_COST_MS 2000.0
/*
 * A gate never heard of is likely one just started: taken for quick it would
 * get everything at once.
 */
#define UNKNOWN_LATENCY_MS 150.0
/* Twice as soon gets eight times as many. */
#define WEIGHT_EXPONENT 3.0
#define UNCONTENDED_SHARE 0.5
#define CONTENTION_FACTOR 2.0

/* Start knowing no gate; seed makes the choices repeatable. */
void chooser_init(struct chooser *c, const struct chooser_ops *ops,
		  uint32_t seed)
{
	c->ops = ops;
	c->round_robin_next = 0;
	c->views = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	c->rand = g_rand_new_with_seed(seed);
}

/* Release everything. */
void chooser_finish(struct chooser *c)
{
	g_hash_table_unref(c->views);
	g_rand_free(c->rand);
}

/* What is known of a gate, made anew when nothing is. */
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

/* Forget a member that is gone. */
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

/* Work expected ahead of a new request at the gate, per slot it has. */
static double relative_cost(struct gate_view *v, int64_t local, int64_t now_ms)
{
	double load = v->outstanding;
	double c;

	/* What the gate said counts for as long as it is fresh. */
	if (now_ms - v->last_answer_at_ms < TWO_CHOICES_LOAD_MAX_AGE_MS)
		load = MAX(load, v->load);
	c = (load + 1) / v->limit * MAX(v->latency_ms, 1.0);
	/*
	 * A gate whose backend server stalls says nothing at all: its last
	 * word still sounds well. The age of what is outstanding there shows
	 * the stall before any late answer or load report does.
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
	 * Two drawn at random, the better taken: the least loaded of all
	 * would draw every entry to the same gate at once.
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
 * When a gate would be done with one more request, by what it last said. Up to
 * half of what it works on at once none is in another's way; a server nearly
 * full slows down, and beyond that each request waits for those before it.
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
 * The gates that would answer soonest get the most, by a power of the time that
 * each would take. What is known of a gate is as old as the last answer from
 * there, so the very soonest by each entry's knowledge would get the requests
 * of all of them at once, and be the slowest next.
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
		/* Each takes the place of those before with its share. */
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

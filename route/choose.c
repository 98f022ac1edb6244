#include <string.h>

#include "route/choose.h"

#define LATENCY_WEIGHT 0.2
#define DEFAULT_LIMIT 4.0
#define FRESH_MS 200
#define SILENT_AVOID_MS 300
#define STALL_FACTOR 4
#define STALL_MIN_MS 20
#define HOME_BONUS 0.8

/* Start knowing no gate; seed makes the choices repeatable. */
void chooser_init(struct chooser *c, const struct chooser_ops *ops,
		  uint32_t seed)
{
	c->ops = ops;
	c->turn = 0;
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
struct gate_view *chooser_view(struct chooser *c, int64_t member)
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
void chooser_forget(struct chooser *c, int64_t member)
{
	g_hash_table_remove(c->views, &member);
}

void chooser_sent(struct chooser *c, int64_t member, int64_t now_ms)
{
	struct gate_view *v = chooser_view(c, member);

	if (!v->outstanding)
		v->waiting_since_ms = now_ms;
	v->outstanding++;
}

static void one_less(struct gate_view *v, int64_t now_ms)
{
	if (v->outstanding)
		v->outstanding--;
	v->waiting_since_ms = v->outstanding ? now_ms : 0;
}

void chooser_answered(struct chooser *c, int64_t member, double latency_ms,
		      double load, double limit, int64_t now_ms)
{
	struct gate_view *v = chooser_view(c, member);

	one_less(v, now_ms);
	v->load = load;
	v->limit = MAX(limit, 1.0);
	v->heard_ms = now_ms;
	if (latency_ms <= 0)
		return;
	v->latency_ms += v->latency_ms > 0
				 ? LATENCY_WEIGHT * (latency_ms - v->latency_ms)
				 : latency_ms;
}

void chooser_dropped(struct chooser *c, int64_t member, bool silent,
		     int64_t now_ms)
{
	struct gate_view *v = chooser_view(c, member);

	one_less(v, now_ms);
	if (!silent)
		return;
	v->avoid_until_ms = now_ms + SILENT_AVOID_MS;
	v->silent_until_ms = v->avoid_until_ms;
}

void chooser_refused(struct chooser *c, int64_t member, int64_t avoid_ms,
		     int64_t now_ms)
{
	struct gate_view *v = chooser_view(c, member);

	v->avoid_until_ms = MAX(v->avoid_until_ms, now_ms + avoid_ms);
}

/* Work expected ahead of a new request at the gate, per slot it has. */
static double cost(struct gate_view *v, int64_t home, int64_t now_ms)
{
	double load = v->outstanding;
	double c;

	/* What the gate said counts for as long as it is fresh. */
	if (now_ms - v->heard_ms < FRESH_MS)
		load = MAX(load, v->load);
	c = (load + 1) / v->limit * MAX(v->latency_ms, 1.0);
	/*
	 * A gate whose backend server stalls says nothing at all: its last
	 * word still sounds well. The age of what is outstanding there shows
	 * the stall before any late answer or load report does.
	 */
	if (v->waiting_since_ms &&
	    now_ms - v->waiting_since_ms >
		    MAX(STALL_MIN_MS, STALL_FACTOR * v->latency_ms))
		c *= 10;
	if (now_ms < v->avoid_until_ms)
		c *= 100;
	return v->member == home ? c * HOME_BONUS : c;
}

static int64_t pick_two(struct chooser *c, const int64_t *members, uint32_t n,
			int64_t home, int64_t except, int64_t now_ms)
{
	int64_t ids[2] = { 0, 0 };
	uint32_t usable = 0;
	uint32_t i;

	/*
	 * Two drawn at random, the better taken: the least loaded of all
	 * would draw every entry to the same gate at once.
	 */
	for (i = 0; i < n; i++) {
		if (members[i] == except)
			continue;
		usable++;
		if (usable <= 2)
			ids[usable - 1] = members[i];
		else if (g_rand_int_range(c->rand, 0, usable) < 2)
			ids[g_rand_int_range(c->rand, 0, 2)] = members[i];
	}
	if (usable < 2)
		return ids[0];
	return cost(chooser_view(c, ids[0]), home, now_ms) <=
			       cost(chooser_view(c, ids[1]), home, now_ms)
		       ? ids[0]
		       : ids[1];
}

static int64_t pick_turns(struct chooser *c, const int64_t *members, uint32_t n,
			  int64_t home, int64_t except, int64_t now_ms)
{
	uint32_t i;

	(void)home;
	(void)now_ms;
	for (i = 0; i < n; i++) {
		int64_t id = members[c->turn++ % n];

		if (id != except)
			return id;
	}
	return 0;
}

const struct chooser_ops chooser_two = { "two", pick_two };
const struct chooser_ops chooser_turns = { "turns", pick_turns };

const struct chooser_ops *chooser_ops_by_name(const char *name)
{
	if (!strcmp(name, chooser_two.name))
		return &chooser_two;
	return strcmp(name, chooser_turns.name) ? NULL : &chooser_turns;
}

int64_t chooser_pick(struct chooser *c, const int64_t *members, uint32_t n,
		     int64_t home, int64_t except, int64_t now_ms)
{
	return c->ops->pick(c, members, n, home, except, now_ms);
}

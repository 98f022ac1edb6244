#include <math.h>
#include <string.h>

#include "route/balance.h"

/* Half of what was counted is forgotten in this time. */
#define HALF_LIFE_MS 2000.0
#define USE_TAU_MS 1500.0
/* Below that a server answers as fast as an idle one. */
#define FULL_USE 0.6
/* Less of a difference is noise, and would only move back again. */
#define LEAST_GAP 0.25
/* A server deep in its queue is not twice as far from even as a full one. */
#define MOST_USE 2.0
/* At once; more would leave the taker with a storm of cold keys. */
#define MOST_SHARDS 96
#define MOST_SHARE 0.4
/* Too cool to matter to the load, and each move costs its keys a second. */
#define LEAST_SHARE 0.002

void balance_init(struct balance *b)
{
	memset(b, 0, sizeof(*b));
}

void balance_finish(struct balance *b)
{
	g_free(b->heat);
	memset(b, 0, sizeof(*b));
}

void balance_resize(struct balance *b, uint32_t n_shards)
{
	if (b->n_shards == n_shards)
		return;
	g_free(b->heat);
	b->heat = g_new0(double, n_shards);
	b->n_shards = n_shards;
}

void balance_count(struct balance *b, uint32_t shard)
{
	/* In the long run the sum is the rate: each fades to half in time. */
	if (shard < b->n_shards)
		b->heat[shard] += G_LN2 * 1000 / HALF_LIFE_MS;
}

void balance_tick(struct balance *b, double use, int64_t now_ms)
{
	int64_t passed = now_ms - b->faded_ms;
	double keep;
	uint32_t i;

	if (passed <= 0)
		return;
	b->faded_ms = now_ms;
	b->use += (MIN(use, MOST_USE) - b->use) *
		  (1 - exp(-(double)passed / USE_TAU_MS));
	keep = exp2(-(double)passed / HALF_LIFE_MS);
	for (i = 0; i < b->n_shards; i++)
		if (b->heat[i] > 0)
			b->heat[i] = b->heat[i] < 0.01 ? 0 : b->heat[i] * keep;
}

static const struct balance_other *emptiest(const GArray *others)
{
	const struct balance_other *best = NULL;
	uint32_t i;

	for (i = 0; i < others->len; i++) {
		const struct balance_other *o =
			&g_array_index(others, struct balance_other, i);

		if (!best || o->use < best->use)
			best = o;
	}
	return best;
}

struct hot {
	uint32_t shard;
	double heat;
};

static int hotter(gconstpointer a, gconstpointer b)
{
	const struct hot *x = a;
	const struct hot *y = b;

	return (x->heat < y->heat) - (x->heat > y->heat);
}

static GArray *movable(const struct balance *b,
		       bool (*mine)(void *user, uint32_t shard), void *user,
		       double *total)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct hot));
	uint32_t i;

	*total = 0;
	for (i = 0; i < b->n_shards; i++) {
		struct hot h = { i, b->heat[i] };

		if (h.heat <= 0 || !mine(user, i))
			continue;
		*total += h.heat;
		g_array_append_val(list, h);
	}
	g_array_sort(list, hotter);
	return list;
}

bool balance_choose(struct balance *b, const GArray *others,
		    bool (*mine)(void *user, uint32_t shard), void *user,
		    int64_t now_ms, int64_t *to, GArray *shards)
{
	const struct balance_other *o = emptiest(others);
	GArray *list;
	double total, left;
	uint32_t i;

	if (now_ms < b->next_ms || !o || b->use < FULL_USE ||
	    b->use - o->use < LEAST_GAP)
		return false;
	list = movable(b, mine, user, &total);
	/* What makes both equally full, were they equally fast. */
	left = total * MIN((b->use - o->use) / (2 * b->use), MOST_SHARE);
	for (i = 0; i < list->len && shards->len < MOST_SHARDS; i++) {
		const struct hot *h = &g_array_index(list, struct hot, i);

		if (h->heat < total * LEAST_SHARE)
			break;
		if (h->heat > left)
			continue;
		left -= h->heat;
		g_array_append_val(shards, h->shard);
	}
	g_array_unref(list);
	if (!shards->len)
		return false;
	*to = o->member;
	b->next_ms = now_ms + BALANCE_REST_MS;
	return true;
}

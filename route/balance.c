#include <math.h>
#include <string.h>

#include "route/balance.h"

/* The shard rates decay to half their value in this time. */
#define RATE_HALF_LIFE_MS 2000.0
/* Time constant of the moving average of the utilization. */
#define UTILIZATION_TAU_MS 1500.0
/* A less utilized owner moves nothing: it answers as fast as an idle one. */
#define MIN_UTILIZATION 0.6
/* A smaller difference is noise; shards moved for it would soon move back. */
#define MIN_UTILIZATION_GAP 0.25
/*
 * Higher utilizations count as this one: twice as long a queue does not mean
 * that twice as much load has to move.
 */
#define MAX_UTILIZATION 2.0
/*
 * Limits of one move, in shards and as a share of the owner's requests. A
 * larger move would send the receiver requests for many cold keys at once.
 */
#define MAX_SHARDS_PER_MOVE 96
#define MAX_MOVED_SHARE 0.4
/*
 * Shards with a smaller share of the owner's requests do not move: they hardly
 * change the load, while their keys are not served for a second.
 */
#define MIN_SHARD_SHARE 0.002

void balance_init(struct balance *b)
{
	memset(b, 0, sizeof(*b));
}

void balance_finish(struct balance *b)
{
	g_free(b->shard_rates);
	memset(b, 0, sizeof(*b));
}

void balance_resize(struct balance *b, uint32_t n_shards)
{
	if (b->n_shards == n_shards)
		return;
	g_free(b->shard_rates);
	b->shard_rates = g_new0(double, n_shards);
	b->n_shards = n_shards;
}

void balance_count_request(struct balance *b, uint32_t shard)
{
	/*
	 * With this increment the decayed sum approaches the rate of requests
	 * per second.
	 */
	if (shard < b->n_shards)
		b->shard_rates[shard] += G_LN2 * 1000 / RATE_HALF_LIFE_MS;
}

void balance_update(struct balance *b, double utilization, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - b->decayed_at_ms;
	double decay;
	uint32_t i;

	if (elapsed_ms <= 0)
		return;
	b->decayed_at_ms = now_ms;
	b->utilization += (MIN(utilization, MAX_UTILIZATION) - b->utilization) *
			  (1 - exp(-(double)elapsed_ms / UTILIZATION_TAU_MS));
	decay = exp2(-(double)elapsed_ms / RATE_HALF_LIFE_MS);
	for (i = 0; i < b->n_shards; i++)
		if (b->shard_rates[i] > 0)
			b->shard_rates[i] = b->shard_rates[i] < 0.01
						    ? 0
						    : b->shard_rates[i] * decay;
}

static const struct balance_candidate *find_least_utilized(const GArray *others)
{
	const struct balance_candidate *best = NULL;
	uint32_t i;

	for (i = 0; i < others->len; i++) {
		const struct balance_candidate *o =
			&g_array_index(others, struct balance_candidate, i);

		if (!best || o->utilization < best->utilization)
			best = o;
	}
	return best;
}

struct shard_rate {
	uint32_t shard;
	double rate;
};

static int by_rate_descending(gconstpointer a, gconstpointer b)
{
	const struct shard_rate *x = a;
	const struct shard_rate *y = b;

	return (x->rate < y->rate) - (x->rate > y->rate);
}

static GArray *list_movable_shards(const struct balance *b,
				   bool (*may_move)(void *user, uint32_t shard),
				   void *user, double *total)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct shard_rate));
	uint32_t i;

	*total = 0;
	for (i = 0; i < b->n_shards; i++) {
		struct shard_rate s = { i, b->shard_rates[i] };

		if (s.rate <= 0 || !may_move(user, i))
			continue;
		*total += s.rate;
		g_array_append_val(list, s);
	}
	g_array_sort(list, by_rate_descending);
	return list;
}

bool balance_choose_shards(struct balance *b, const GArray *others,
			   bool (*may_move)(void *user, uint32_t shard),
			   void *user, int64_t now_ms, int64_t *target,
			   GArray *shards)
{
	const struct balance_candidate *o = find_least_utilized(others);
	GArray *list;
	double total, remaining;
	uint32_t i;

	if (now_ms < b->next_move_at_ms || !o ||
	    b->utilization < MIN_UTILIZATION ||
	    b->utilization - o->utilization < MIN_UTILIZATION_GAP)
		return false;
	list = list_movable_shards(b, may_move, user, &total);
	/*
	 * Requests per second that may still move. At first this is the rate
	 * that would make the utilizations equal if both servers were equally
	 * fast.
	 */
	remaining = total * MIN((b->utilization - o->utilization) /
					(2 * b->utilization),
				MAX_MOVED_SHARE);
	for (i = 0; i < list->len && shards->len < MAX_SHARDS_PER_MOVE; i++) {
		const struct shard_rate *s =
			&g_array_index(list, struct shard_rate, i);

		if (s->rate < total * MIN_SHARD_SHARE)
			break;
		if (s->rate > remaining)
			continue;
		remaining -= s->rate;
		g_array_append_val(shards, s->shard);
	}
	g_array_unref(list);
	if (!shards->len)
		return false;
	*target = o->member;
	b->next_move_at_ms = now_ms + BALANCE_MIN_INTERVAL_MS;
	return true;
}

#ifndef ROUTE_BALANCE_H
#define ROUTE_BALANCE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * When the owner of ranges of keys should give some of them away, to whom and
 * which. Servers differ in speed, some keys are far busier than others and
 * which ones changes within minutes, so equal numbers of keys are unequal
 * loads. Each owner decides for its own ranges, by what it measures itself and
 * what the others' answers say of them; no node has to know all. Times are
 * passed in.
 *
 * A range that moves is not served for about a second, so only an owner that
 * is truly fuller than another gives, what it gives is little and hot, and then
 * it waits to see what came of it.
 */

struct balance {
	double *shard_rates; /* per shard, requests a second, fading */
	uint32_t n_shards;
	double utilization; /* of our slots, waiting requests included, smoothed
			     */
	int64_t decayed_at_ms;
	int64_t next_move_at_ms; /* no giving before */
};

/* Another owner of the service, by what its answers said. */
struct balance_candidate {
	int64_t member;
	double utilization;
};

void balance_init(struct balance *b);
void balance_finish(struct balance *b);
void balance_resize(struct balance *b, uint32_t n_shards);

/* A request for a shard was admitted. */
void balance_count_request(struct balance *b, uint32_t shard);

/* Let time pass; use is that of the moment. */
void balance_update(struct balance *b, double utilization, int64_t now_ms);

/*
 * Choose what to give. mine(user, shard) tells the shards that may move. On
 * true, *to and shards (uint32_t, appended) say what; the next time is not
 * before BALANCE_MIN_INTERVAL_MS from now.
 */
#define BALANCE_MIN_INTERVAL_MS 3000
bool balance_choose_shards(struct balance *b, const GArray *others,
			   bool (*may_move)(void *user, uint32_t shard),
			   void *user, int64_t now_ms, int64_t *target,
			   GArray *shards);

#endif

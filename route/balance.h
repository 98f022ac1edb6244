#ifndef ROUTE_BALANCE_H
#define ROUTE_BALANCE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * Decides when an owner should move some of its shards to another owner, to
 * which one, and which shards. Servers differ in speed, some keys are far
 * busier than others, and the busy keys change within minutes, so an equal
 * number of shards is not an equal load. Each owner decides about its own
 * shards, from its own measurements and from the load that the other owners
 * report in their answers; no node needs the load of the whole fleet. The
 * caller passes in the time.
 *
 * A shard that moves is not served for about a second. An owner therefore moves
 * shards only if its utilization is clearly higher than the other's, moves few
 * but busy ones, and then waits until the effect of the move can be seen.
 */

struct balance {
	double *shard_rates; /* per shard, requests per second, decayed */
	uint32_t n_shards;
	/* Moving average of load divided by limit; queued requests included. */
	double utilization;
	int64_t decayed_at_ms; /* last balance_update() */
	int64_t next_move_at_ms; /* no shard is moved before this time */
};

/* Another owner of the service, as its answers reported it. */
struct balance_candidate {
	int64_t member;
	double utilization;
};

void balance_init(struct balance *b);
void balance_finish(struct balance *b);
/* Sets the number of shards; a changed number resets the shard rates. */
void balance_resize(struct balance *b, uint32_t n_shards);

/* Counts a request for a shard, to be called when the gate receives it. */
void balance_count_request(struct balance *b, uint32_t shard);

/*
 * Decays the shard rates and smooths the utilization; utilization is the
 * current value, load divided by limit.
 */
void balance_update(struct balance *b, double utilization, int64_t now_ms);

/*
 * Chooses the shards to move and one of the other owners, an array of struct
 * balance_candidate, to receive them. may_move(user, shard) returns whether a
 * shard may move. Returns true if shards are to move: *target is then the
 * receiving member, the shards' numbers (uint32_t) are appended to shards, and
 * every further call within BALANCE_MIN_INTERVAL_MS returns false.
 */
#define BALANCE_MIN_INTERVAL_MS 3000
bool balance_choose_shards(struct balance *b, const GArray *others,
			   bool (*may_move)(void *user, uint32_t shard),
			   void *user, int64_t now_ms, int64_t *target,
			   GArray *shards);

#endif

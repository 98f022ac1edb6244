#include <stdlib.h>
#include <string.h>

#include "state/fleet.h"
#include "state/records.h"
#include "util/hash.h"

#define RANGE_IMBALANCE_FACTOR 5
/* Outweighs the 1 point for a witness in another data centre. */
#define SCORE_RUNNING 2

static bool can_own(const struct fleet *f, const struct fleet_service *s,
		    const struct member *m)
{
	return !strcmp(m->service, s->name) && fleet_member_in_service(f, m);
}

/*
 * Prepare a series of assign_pick_member() for one service: count the shards
 * that each member owns or is the successor of, and mark the members that can
 * be picked. Counting again for each pick would take seconds when a data centre
 * is lost at 1,500 nodes.
 */
void assign_prepare(const struct fleet *f, const struct fleet_service *s)
{
	struct member *m;
	uint32_t i;

	for_each_member (f, m, i) {
		m->n_assigned = 0;
		m->candidate = can_own(f, s, m);
	}
	for (i = 0; i < s->n_shards; i++) {
		m = fleet_member(f, s->shards[i].owner);
		if (m)
			m->n_assigned++;
		m = fleet_member(f, s->shards[i].successor);
		if (m)
			m->n_assigned++;
	}
}

/*
 * Pick an owner or successor for a shard: a member of the service that is in
 * service, is not owner or avoid, and is preferably in another data centre than
 * owner. Among those the one with the fewest shards assigned is picked, and
 * among equals the first by rendezvous hash. Returns its id and counts the
 * shard as assigned to it, or returns 0 if there is none. assign_prepare() must
 * have been called for the service before.
 */
int64_t assign_pick_member(const struct fleet *f, uint32_t shard, int64_t owner,
			   int64_t avoid)
{
	const struct member *owner_member = fleet_member(f, owner);
	struct member *best = NULL;
	bool best_elsewhere = false;
	uint32_t best_n_assigned = 0;
	uint64_t best_hash = 0;
	struct member *m;
	uint32_t i;

	for_each_member (f, m, i) {
		uint64_t h;
		bool elsewhere;

		if (!m->candidate || m->id == owner || m->id == avoid)
			continue;
		elsewhere = !owner_member ||
			    strcmp(owner_member->data_centre, m->data_centre);
		if (best && (elsewhere < best_elsewhere ||
			     (elsewhere == best_elsewhere &&
			      m->n_assigned > best_n_assigned)))
			continue;
		h = hash_pair(m->host, shard);
		if (best && elsewhere == best_elsewhere &&
		    m->n_assigned == best_n_assigned && h <= best_hash)
			continue;
		best = m;
		best_elsewhere = elsewhere;
		best_n_assigned = m->n_assigned;
		best_hash = h;
	}
	if (best)
		best->n_assigned++;
	return best ? best->id : 0;
}

static bool data_centre_used(const struct fleet *f, const struct witness_set *w,
			     const char *data_centre)
{
	uint32_t i;

	for (i = 0; i < w->n; i++) {
		const struct member *m = fleet_member_by_process(f, w->id[i]);

		if (m && !strcmp(m->data_centre, data_centre))
			return true;
	}
	return false;
}

/* Of a host's members only the newest can still be running. */
static bool is_newest_on_host(const struct fleet *f, const struct member *m)
{
	return fleet_member_by_host(f, m->host)->id == m->id;
}

static int64_t pick_witness(const struct fleet *f, const struct member *subject,
			    const struct witness_set *avoid, int64_t newer_than,
			    const struct witness_set *chosen)
{
	const struct member *best = NULL;
	uint32_t best_score = 0;
	uint64_t best_hash = 0;
	struct member *m;
	uint32_t i;

	for_each_member (f, m, i) {
		uint64_t h = hash_pair(subject->host, hash_string(m->host));
		uint32_t score;

		if (!strcmp(m->host, subject->host) || m->id == subject->id)
			continue;
		if (witness_set_has(chosen, m->process) ||
		    (avoid && witness_set_has(avoid, m->process)) ||
		    !is_newest_on_host(f, m))
			continue;
		score = strcmp(m->data_centre, subject->data_centre) &&
			!data_centre_used(f, chosen, m->data_centre);
		/* A stopped member cannot vouch, so recent ones come first. */
		if (m->id > newer_than)
			score += SCORE_RUNNING;
		if (best && (score < best_score ||
			     (score == best_score && h <= best_hash)))
			continue;
		best = m;
		best_score = score;
		best_hash = h;
	}
	return best ? best->process : 0;
}

/*
 * Choose three witnesses for a member, spread over data centres and none from
 * avoid, which may be NULL. Members with ids above newer_than are preferred, as
 * they are known to have run recently. If fewer than three are found, the set
 * is LOG_WITNESS alone.
 */
void assign_witnesses(const struct fleet *f, const struct member *subject,
		      const struct witness_set *avoid, int64_t newer_than,
		      struct witness_set *out)
{
	out->n = 0;
	while (out->n < FLEET_WITNESSES) {
		int64_t id = pick_witness(f, subject, avoid, newer_than, out);

		if (!id)
			break;
		out->id[out->n++] = id;
	}
	if (out->n == FLEET_WITNESSES)
		return;
	out->n = 1;
	out->id[0] = LOG_WITNESS;
}

struct member_load {
	int64_t id;
	uint32_t n_owned;
};

static GArray *count_owned(const struct fleet *f, const struct fleet_service *s)
{
	GArray *loads = g_array_new(FALSE, FALSE, sizeof(struct member_load));
	struct member *m;
	uint32_t i, j;

	for_each_member (f, m, i) {
		struct member_load l = { m->id, 0 };

		if (!can_own(f, s, m))
			continue;
		for (j = 0; j < s->n_shards; j++)
			l.n_owned += s->shards[j].owner == m->id;
		g_array_append_val(loads, l);
	}
	return loads;
}

static struct member_load *find_extreme_load(GArray *loads, bool most)
{
	struct member_load *best = NULL;
	uint32_t i;

	for (i = 0; i < loads->len; i++) {
		struct member_load *l =
			&g_array_index(loads, struct member_load, i);

		if (!best || (most ? l->n_owned > best->n_owned
				   : l->n_owned < best->n_owned))
			best = l;
	}
	return best;
}

static int64_t find_movable_shard(const struct fleet_service *s, int64_t owner,
				  GHashTable *moved)
{
	uint32_t i;

	for (i = 0; i < s->n_shards; i++) {
		const struct shard *sh = &s->shards[i];

		if (sh->owner == owner && !sh->prev_owner &&
		    !g_hash_table_contains(moved, GUINT_TO_POINTER(i)))
			return i;
	}
	return -1;
}

static int64_t successor_for_owner(const struct fleet *f,
				   const struct fleet_service *s,
				   uint32_t shard, int64_t owner)
{
	int64_t old = s->shards[shard].successor;

	return old && old != owner ? old
				   : assign_pick_member(f, shard, owner, 0);
}

static int64_t find_out_of_service_shard(const struct fleet *f,
					 const struct fleet_service *s,
					 GHashTable *moved)
{
	uint32_t i;

	for (i = 0; i < s->n_shards; i++) {
		const struct member *m = fleet_member(f, s->shards[i].owner);

		if (m && !fleet_member_in_service(f, m) &&
		    !s->shards[i].prev_owner &&
		    !g_hash_table_contains(moved, GUINT_TO_POINTER(i)))
			return i;
	}
	return -1;
}

/*
 * Hashed keys are spread evenly, so their shards are balanced by number. Shards
 * that are key ranges are balanced by load, and their owners move them. Here
 * only a member that has less than 1/RANGE_IMBALANCE_FACTOR of what the largest
 * owner has gets some to start with.
 */
static bool is_unbalanced(const struct fleet_service *s,
			  const struct member_load *most,
			  const struct member_load *least)
{
	if (s->key_numbers)
		return least->n_owned * RANGE_IMBALANCE_FACTOR < most->n_owned;
	return most->n_owned > least->n_owned + 1;
}

/*
 * Build a record of at most max_moves moves: first of shards whose owner's data
 * centre is out of service, then from the member with the most shards to the
 * one with the fewest, until they are balanced: hashed shards differ by at most
 * one. Returns NULL when nothing needs to move; otherwise the caller drops the
 * reference.
 */
json_t *assign_balance(const struct fleet *f, const struct fleet_service *s,
		       uint32_t max_moves)
{
	GArray *loads = count_owned(f, s);
	GHashTable *moved = g_hash_table_new(NULL, NULL);
	json_t *record = NULL;
	uint32_t n;

	assign_prepare(f, s);
	for (n = 0; n < max_moves; n++) {
		struct member_load *most = find_extreme_load(loads, true);
		struct member_load *least = find_extreme_load(loads, false);
		int64_t i = least ? find_out_of_service_shard(f, s, moved) : -1;

		if (i >= 0) {
			most = NULL;
		} else {
			if (!most || !is_unbalanced(s, most, least))
				break;
			i = find_movable_shard(s, most->id, moved);
			if (i < 0)
				break;
		}
		if (!record)
			record = record_move(s->name, 0, "balance");
		record_move_add(record, i, least->id,
				successor_for_owner(f, s, i, least->id),
				s->shards[i].fence);
		g_hash_table_add(moved, GUINT_TO_POINTER((guint)i));
		if (most)
			most->n_owned--;
		least->n_owned++;
	}
	g_hash_table_unref(moved);
	g_array_unref(loads);
	return record;
}

/*
 * Rank of a member for a task that any one member can do, by rendezvous hash
 * over all members; the member with rank 0 should act first. Two members that
 * act at once do no harm, as replay drops a record that comes too late.
 */
uint32_t assign_rank(const struct fleet *f, const char *task, int64_t id)
{
	uint64_t mine = hash_pair(task, id);
	uint32_t rank = 0;
	struct member *m;
	uint32_t i;

	for_each_member (f, m, i)
		rank += hash_pair(task, m->id) > mine;
	return rank;
}

/*
 * The least number of members that read or relay the log, enough that some
 * remain when many fail at once. In a large fleet it is the square root of the
 * number of members, so that each of them passes records on to about as many
 * members.
 */
#define MIN_READERS_AND_RELAYS 4

struct hashed_member {
	uint64_t hash;
	int64_t id;
};

static int compare_by_hash(gconstpointer a, gconstpointer b)
{
	const struct hashed_member *x = a;
	const struct hashed_member *y = b;

	return (x->hash < y->hash) - (x->hash > y->hash);
}

/*
 * The ids (int64_t) of the members that pass new records on to the others, by
 * rendezvous hash: as many as the square root of the number of members, and at
 * least MIN_READERS_AND_RELAYS while there are so many. The first in the array
 * read the log and the rest are relays, see member/sync.c. The caller drops the
 * array.
 */
GArray *assign_readers_and_relays(const struct fleet *f)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct hashed_member));
	GArray *out = g_array_new(FALSE, FALSE, sizeof(int64_t));
	struct member *m;
	uint32_t i;

	for_each_member (f, m, i) {
		struct hashed_member r = { hash_pair("read", m->id), m->id };

		g_array_append_val(all, r);
	}
	g_array_sort(all, compare_by_hash);
	for (i = 0;
	     i < all->len && (i < MIN_READERS_AND_RELAYS || i * i < all->len);
	     i++)
		g_array_append_val(
			out, g_array_index(all, struct hashed_member, i).id);
	g_array_unref(all);
	return out;
}

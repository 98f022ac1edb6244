#include <string.h>

#include "net/clock.h"
#include "node/entry-request.h"
#include "node/node.h"

/* Chooses the gate that a request is sent to. */

#define MAX_CANDIDATES 8
#define MAX_MEMBERS 2048
#define MAX_PREV_OWNER_REFUSALS 65536

/* Cost of a gate in another data centre, on the nominal scale of route/cost.h. */
static double remote_gate_ms(struct entry_request *r)
{
	const struct settings *s = &r->entry->node->settings;

	return cost_far_ms(entry_class_cost(r), s->far_ms, s->far_ms_per_kb);
}

/* Lists the gates that can serve a request without a key. */
static uint32_t list_service_gates(struct entry_request *r,
				   struct gate_option *out)
{
	const char *local = r->entry->node->settings.data_centre;
	double remote_ms = remote_gate_ms(r);
	const struct member_node *n = &r->entry->node->member;
	struct member *m;
	uint32_t count = 0;
	uint32_t i;

	for_each_member (&n->fleet, m, i)
		if (!strcmp(m->service, r->service) &&
		    fleet_member_in_service(&n->fleet, m) &&
		    !member_known_stopped(n, m->id) &&
		    !chooser_gate_view(&r->entry->chooser, m->id)
			     ->server_leaving &&
		    count < MAX_MEMBERS) {
			out[count].member = m->id;
			out[count].extra_ms =
				strcmp(m->data_centre, local) ? remote_ms : 0;
			count++;
		}
	return count;
}

/*
 * The next candidate in turn, or 0. Until a gate has refused the request, a
 * candidate whose gate is not suspect is preferred: otherwise every request
 * would first wait for a dead owner as long as it waits for any gate. Once a
 * gate has refused, the suspect one may be the only owner there is.
 */
static int64_t pick_candidate(struct entry_request *r, const int64_t *members,
			      uint32_t count)
{
	int64_t now = clock_now_ms();
	uint32_t i;

	for (i = 0; i < count && !r->plan.refusals; i++) {
		int64_t id = members[(r->plan.refusals + i) % count];

		if (chooser_gate_view(&r->entry->chooser, id)
			    ->suspect_until_ms <= now)
			return id;
	}
	return count ? members[r->plan.refusals % count] : 0;
}

/*
 * While a shard moves, its previous owner still serves it for some time and is
 * tried first. After the previous owner has refused a request as not the owner,
 * trying it first would cost each request a round trip until a record settles
 * the move, and that record may have to wait for the store. So the entry keeps,
 * for each such shard, the fence of the move: until it changes, the previous
 * owner is tried last.
 */

/* Key of the request's shard in entry::prev_owner_refusals. */
static int64_t shard_table_key(const struct entry_request *r)
{
	struct fleet *f = &r->entry->node->member.fleet;
	const struct fleet_service *s = fleet_service(f, r->service);

	return ((int64_t)(s - f->services) << 32) | r->shard;
}

void entry_record_not_owner(struct entry_request *r)
{
	GHashTable *t = r->entry->prev_owner_refusals;
	struct fleet_service *s =
		fleet_service(&r->entry->node->member.fleet, r->service);
	int64_t key;

	if (!r->plan.keyed || !s || r->shard >= s->n_shards ||
	    s->shards[r->shard].prev_owner != r->last_member)
		return;
	key = shard_table_key(r);
	if (g_hash_table_size(t) >= MAX_PREV_OWNER_REFUSALS)
		g_hash_table_remove_all(t);
	g_hash_table_replace(t, g_memdup2(&key, sizeof(key)),
			     g_memdup2(&s->shards[r->shard].fence,
				       sizeof(int64_t)));
}

static bool prev_owner_refused(const struct entry_request *r,
			       const struct shard *sh)
{
	int64_t key = shard_table_key(r);
	const int64_t *fence =
		g_hash_table_lookup(r->entry->prev_owner_refusals, &key);

	return sh->prev_owner && fence && *fence == sh->fence;
}

/*
 * Moves the previous owner from the first to the last place if it has refused.
 * This is decided once for each request: if the order changed between its
 * attempts, they might not reach all candidates.
 */
static void move_prev_owner_last(struct entry_request *r,
				 const struct shard *sh, int64_t *members,
				 uint32_t count)
{
	if (!r->plan.tries)
		r->prev_owner_last = prev_owner_refused(r, sh);
	if (!r->prev_owner_last || count < 2 || members[0] != sh->prev_owner)
		return;
	memmove(members, members + 1, (count - 1) * sizeof(members[0]));
	members[count - 1] = sh->prev_owner;
}

int64_t entry_pick_gate(struct entry_request *r, int64_t excluded)
{
	static struct gate_option options[MAX_MEMBERS];
	int64_t members[MAX_CANDIDATES];
	struct entry *e = r->entry;
	const struct member_node *n = &e->node->member;
	uint32_t count;

	if (r->plan.keyed) {
		struct fleet_service *s = fleet_service(&n->fleet, r->service);

		count = member_owner_candidates(n, s, r->shard, members,
						MAX_CANDIDATES);
		move_prev_owner_last(r, &s->shards[r->shard], members, count);
		return pick_candidate(r, members, count);
	}
	count = list_service_gates(r, options);
	return chooser_pick(&e->chooser, options, count, n->self_id, excluded,
			    clock_now_ms());
}

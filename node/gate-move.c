#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/event.h"

/* Moves shards to a member whose backend server is less utilized. */

/* Older utilization figures of other members are not used. */
#define UTILIZATION_MAX_AGE_MS 2000

static bool can_move_shard(void *user, uint32_t shard)
{
	return member_can_move_shard(user, shard);
}

/*
 * Other members with our service, apart from those that are out of service or
 * stopped, or have not answered recently.
 */
static GArray *list_move_candidates(const struct gate *g, int64_t now)
{
	const struct member_node *n = &g->node->member;
	GArray *list =
		g_array_new(FALSE, FALSE, sizeof(struct balance_candidate));
	struct member *m;
	uint32_t i;

	for_each_member (&n->fleet, m, i) {
		struct gate_view *v;
		struct balance_candidate o = { .member = m->id };

		if (m->id == n->self_id ||
		    strcmp(m->service, g->node->settings.service) ||
		    !fleet_member_in_service(&n->fleet, m) ||
		    member_known_stopped(n, m->id))
			continue;
		v = chooser_gate_view(&g->node->entry.chooser, m->id);
		o.utilization = v->utilization;
		if (now - v->last_answer_at_ms < UTILIZATION_MAX_AGE_MS)
			g_array_append_val(list, o);
	}
	return list;
}

void gate_move_shards(struct gate *g, int64_t now)
{
	struct member_node *n = &g->node->member;
	GArray *shards, *list;
	int64_t to;

	if (!g->balance.n_shards || !n->self_id)
		return;
	balance_update(&g->balance, admission_utilization(&g->admission, now),
		       now);
	shards = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	list = list_move_candidates(g, now);
	if (balance_choose_shards(&g->balance, list, can_move_shard, n, now,
				  &to, shards) &&
	    member_move_shards(n, to, shards, now))
		EVENT(shards_given, NULL,
		      "\"shards\":%u,\"to\":%" PRId64 ",\"use\":%.2f",
		      shards->len, to, g->balance.utilization);
	g_array_unref(list);
	g_array_unref(shards);
}

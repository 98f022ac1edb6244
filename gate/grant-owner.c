#include <string.h>

#include "gate/grant-owner.h"

static bool holds(const void *user, uint32_t shard, int64_t *fence)
{
	return member_holds(user, shard, fence);
}

static bool expects_to_own(const void *user, uint32_t shard)
{
	return member_expects_to_own(user, shard);
}

static const struct grant_owner_ops member_owner = {
	.holds = holds,
	.expects_to_own = expects_to_own,
};

void grant_owner_on_shard_moved(struct grants *g, const struct member_node *m,
				const struct fleet_event *ev)
{
	const struct member *from = fleet_member(&m->fleet, ev->from);

	if (!from || strcmp(ev->reason, FLEET_REASON_SHARD_KEPT) ||
	    strcmp(ev->service, m->join_info.service) ||
	    strcmp(from->host, m->join_info.host))
		return;
	grants_prev_process_owned(g, ev->shard);
}

void grant_owner_from(struct grant_owner *o, const struct member_node *m)
{
	o->ops = &member_owner;
	o->user = m;
	o->lease_end_ms = member_lease_end_ms(m);
	o->newest_fence = 2 * m->fleet.applied + 1;
	o->is_caught_up = member_is_caught_up(m);
}

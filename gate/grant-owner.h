#ifndef GATE_GRANT_OWNER_H
#define GATE_GRANT_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "gate/grants.h"
#include "member/member.h"

/* Which shards a node may grant at this moment, by its lease and the log. */

struct grant_owner_ops {
	/* Whether the node may serve a shard during the lease; sets *fence. */
	bool (*holds)(const void *user, uint32_t shard, int64_t *fence);
	/*
	 * Whether the log assigns a shard to this node, or to the previous
	 * process beside the same backend server, which this node is about to
	 * replace.
	 */
	bool (*expects_to_own)(const void *user, uint32_t shard);
};

struct grant_owner {
	const struct grant_owner_ops *ops;
	const void *user;
	int64_t lease_end_ms;
	int64_t newest_fence; /* above every fence that this node knows of */
	bool is_caught_up; /* the state has reached the end of the log once */
};

/*
 * A record moved a shard. If an earlier process on this host owned it, its
 * backend server may hold the shard by a grant of that process.
 */
void grant_owner_on_shard_moved(struct grants *g, const struct member_node *m,
				const struct fleet_event *ev);

/* Sets o from the present state of a member. o keeps a pointer to m. */
void grant_owner_from(struct grant_owner *o, const struct member_node *m);

#endif

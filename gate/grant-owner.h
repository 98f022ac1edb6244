#ifndef GATE_GRANT_OWNER_H
#define GATE_GRANT_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "member/member.h"

/* What a node may grant at a moment, by its lease and the log. */

struct grant_owner_ops {
	/* Whether a shard is served while the lease lasts; under which fence. */
	bool (*serves)(const void *user, uint32_t shard, int64_t *fence);
	/* Whether it is ours by the log, or is about to be again. */
	bool (*expects)(const void *user, uint32_t shard);
};

struct grant_owner {
	const struct grant_owner_ops *ops;
	const void *user;
	int64_t lease_end_ms;
	int64_t newest_fence; /* above all that we know of */
	bool is_caught_up; /* the state has been level with the log once */
};

/* Fill o from a member, for this moment. */
void grant_owner_from(struct grant_owner *o, const struct member_node *m);

#endif

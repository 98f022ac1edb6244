#ifndef NODE_READ_PLAN_H
#define NODE_READ_PLAN_H

#include "member/member.h"

/* How a node reads the fleet's stream: each read is a call to the store. */
struct read_plan {
	int64_t wait_ms; /* how long a read may wait for news */
	int64_t batch_delay_ms; /* after a read with news, before the next */
	int64_t idle_interval_ms; /* between reads that found all there is */
};

/* longest_ms: how long a read may wait at most, where nothing hurries. */
void read_plan_make(const struct member_node *m, int64_t longest_ms,
		    struct read_plan *p);

#endif

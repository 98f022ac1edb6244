#ifndef NODE_READ_PLAN_H
#define NODE_READ_PLAN_H

#include "member/member.h"

/*
 * How often a node reads the log, and how long each read may wait. Every read
 * is a call to the store.
 */
struct read_plan {
	int64_t wait_ms; /* how long a read may wait for records, 0: not */
	int64_t batch_delay_ms; /* from a read with new records to the next */
	int64_t idle_interval_ms; /* between reads that found the log's end */
	/* As batch_delay_ms, for the operators' stream. */
	int64_t operators_batch_delay_ms;
};

/*
 * Sets the plan from the node's role: non-member, member whose witness is the
 * log, log reader, or follower of a relay. longest_ms is the wait of reads that
 * need no shorter one. is_first_reader: the node is among the first by rank
 * that read the operators' stream.
 */
void read_plan_make(const struct member_node *m, int64_t longest_ms,
		    bool is_first_reader, struct read_plan *p);

#endif

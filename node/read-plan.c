#include "node/read-plan.h"

/* Where the log is the witness, the lease depends on these reads. */
#define LEASE_READ_WAIT_MS 300
#define LEASE_READ_BATCH_DELAY_MS 300
/* A node that is no member does not learn from peers that it missed records. */
#define NON_MEMBER_WAIT_MS 1000
/*
 * A log reader reads for all members, and must notice within this time that the
 * store does not answer.
 */
#define LOG_READER_MAX_WAIT_MS 3000
/* Records mostly come in groups; the delay lets one read fetch the rest. */
#define BATCH_DELAY_MS 100
#define OPERATORS_BATCH_DELAY_MS 1000
/* The same for a node that is no member and so serves no requests yet. */
#define NON_MEMBER_BATCH_DELAY_MS 500
/*
 * When a whole fleet starts, join records are appended for seconds. A joining
 * node needs none of them before its own join record, which it reads when that
 * is appended.
 */
#define JOINING_BATCH_DELAY_MS 1000
/* Members that get the records from others still read the log this often. */
#define IDLE_INTERVAL_MS 10000
/* The same while a relay confirms from time to time that it follows the log. */
#define RELAYED_IDLE_INTERVAL_MS 60000

static int64_t wait_ms(const struct member_node *m, int64_t longest_ms)
{
	if (!m->self_id)
		return NON_MEMBER_WAIT_MS;
	if (member_lease_needs_log(m))
		return LEASE_READ_WAIT_MS;
	if (!member_reads_log(m))
		return 0;
	return m->is_log_reader ? MIN(longest_ms, LOG_READER_MAX_WAIT_MS)
				: longest_ms;
}

static int64_t batch_delay_ms(const struct member_node *m)
{
	if (!m->self_id)
		return m->want_member ? JOINING_BATCH_DELAY_MS
				      : NON_MEMBER_BATCH_DELAY_MS;
	return member_lease_needs_log(m) ? LEASE_READ_BATCH_DELAY_MS
					 : BATCH_DELAY_MS;
}

static int64_t idle_interval_ms(const struct member_node *m)
{
	if (member_reads_log(m))
		return 0;
	return member_has_live_relay(m) ? RELAYED_IDLE_INTERVAL_MS
					: IDLE_INTERVAL_MS;
}

/* Each answer has the whole configuration, so only few nodes hurry. */
static int64_t operators_batch_delay_ms(const struct member_node *m,
					bool is_first_reader)
{
	return is_first_reader || !idle_interval_ms(m)
		       ? BATCH_DELAY_MS
		       : OPERATORS_BATCH_DELAY_MS;
}

void read_plan_make(const struct member_node *m, int64_t longest_ms,
		    bool is_first_reader, struct read_plan *p)
{
	p->operators_batch_delay_ms =
		operators_batch_delay_ms(m, is_first_reader);
	p->wait_ms = wait_ms(m, longest_ms);
	p->batch_delay_ms = batch_delay_ms(m);
	p->idle_interval_ms = idle_interval_ms(m);
}

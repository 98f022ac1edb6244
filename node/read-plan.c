#include "node/read-plan.h"

/* Where the log is the witness a lease rests on reads. */
#define LEASE_READ_WAIT_MS 300
#define LEASE_READ_BATCH_DELAY_MS 300
/* One who is no member asks nobody whether it missed something. */
#define NON_MEMBER_WAIT_MS 1000
/* A silent store is noticed that soon by who reads for all. */
#define LOG_READER_MAX_WAIT_MS 3000
/* News seldom comes alone: what follows it is fetched with one read. */
#define BATCH_DELAY_MS 100
/* The same for those who do not serve yet. */
#define NON_MEMBER_BATCH_DELAY_MS 500
/*
 * A whole fleet that starts appends joins for seconds. Who joins itself needs
 * none of them before its own, which is read when it is appended.
 */
#define JOINING_BATCH_DELAY_MS 1000
/* Those whom others pass records on to look for themselves that often. */
#define IDLE_INTERVAL_MS 10000
/* And where these say now and then that there are none. */
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

void read_plan_make(const struct member_node *m, int64_t longest_ms,
		    struct read_plan *p)
{
	p->wait_ms = wait_ms(m, longest_ms);
	p->batch_delay_ms = batch_delay_ms(m);
	p->idle_interval_ms = idle_interval_ms(m);
}

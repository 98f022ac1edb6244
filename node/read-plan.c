#include "node/read-plan.h"

/* Where the log is the witness a lease rests on reads. */
#define WAIT_AS_WITNESS_MS 300
#define GATHER_AS_WITNESS_MS 300
/* One who is no member asks nobody whether it missed something. */
#define WAIT_STRANGER_MS 1000
/* A silent store is noticed that soon by who reads for all. */
#define WAIT_READER_MS 3000
/* News seldom comes alone: what follows it is fetched with one read. */
#define GATHER_MS 100
/* The same for those who do not serve yet. */
#define GATHER_STRANGER_MS 500
/*
 * A whole fleet that starts appends joins for seconds. Who joins itself needs
 * none of them before its own, which is read when it is appended.
 */
#define GATHER_JOINING_MS 1000
/* Those whom others pass records on to look for themselves that often. */
#define PAUSE_MS 10000
/* And where these say now and then that there are none. */
#define PAUSE_TOLD_MS 60000

static int64_t wait_ms(const struct member_node *m, int64_t longest_ms)
{
	if (!m->self_id)
		return WAIT_STRANGER_MS;
	if (member_lease_needs_log(m))
		return WAIT_AS_WITNESS_MS;
	if (!member_reads_log(m))
		return 0;
	return m->is_log_reader ? MIN(longest_ms, WAIT_READER_MS) : longest_ms;
}

static int64_t gather_ms(const struct member_node *m)
{
	if (!m->self_id)
		return m->want_member ? GATHER_JOINING_MS : GATHER_STRANGER_MS;
	return member_lease_needs_log(m) ? GATHER_AS_WITNESS_MS : GATHER_MS;
}

static int64_t pause_ms(const struct member_node *m)
{
	if (member_reads_log(m))
		return 0;
	return member_has_live_relay(m) ? PAUSE_TOLD_MS : PAUSE_MS;
}

void read_plan_make(const struct member_node *m, int64_t longest_ms,
		    struct read_plan *p)
{
	p->wait_ms = wait_ms(m, longest_ms);
	p->gather_ms = gather_ms(m);
	p->pause_ms = pause_ms(m);
}

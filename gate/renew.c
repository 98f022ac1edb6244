#include "gate/renew.h"

/* A grant shorter than this ends before the next heartbeat can renew it. */
#define MIN_HOLD_MS 300

/*
 * Whether the server holds something that is ours by the log and not yet free
 * of others. Left out of an answer it would let that go, and renewed it may
 * have two holders; so for a moment nothing is said of any row.
 */
static bool undecided(const struct grants *g, const struct member_node *m)
{
	uint32_t i;

	for (i = 0; i < g->n_shards; i++)
		if (g->shards[i].held && member_awaits(m, i))
			return true;
	return false;
}

GArray *renew_rows(struct grants *g, const struct member_node *m, int64_t beat,
		   int64_t hold_max_ms, int64_t now_ms, int64_t *hold_ms)
{
	GArray *rows;
	uint32_t i;

	*hold_ms = grants_hold_ms(member_lease_end_ms(m), hold_max_ms, now_ms);
	if (!g->n_shards || *hold_ms < MIN_HOLD_MS || undecided(g, m))
		return NULL;
	rows = g_array_new(FALSE, TRUE, sizeof(struct grant_row));
	for (i = 0; i < g->n_shards; i++) {
		int64_t fence, end;

		if (!member_may_serve(m, i, now_ms, &fence, &end))
			grants_give(g, i, fence, beat, *hold_ms, rows, now_ms);
	}
	return rows;
}

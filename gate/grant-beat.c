#include <string.h>

#include "gate/grant-beat.h"

/* A grant shorter than this ends before the next heartbeat can renew it. */
#define MIN_HOLD_MS 300

static const struct grant_row *row_on(const GArray *rows, int64_t from,
				      int64_t to)
{
	uint32_t i;

	for (i = 0; rows && i < rows->len; i++) {
		const struct grant_row *r =
			&g_array_index(rows, struct grant_row, i);

		if (r->from <= to && r->to >= from)
			return r;
	}
	return NULL;
}

static void take_held(struct grant *s, const struct grant_row *r,
		      int64_t hold_max_ms, int64_t now_ms)
{
	/*
	 * Held by a grant of a process before this one, whose end is unknown.
	 * Taken for free, the shard would go to another server while this one
	 * still serves it.
	 */
	if (!s->fence)
		s->until_ms =
			MAX(s->until_ms,
			    now_ms + (int64_t)(hold_max_ms * GRANT_SLOW_CLOCK));
	if (r->fence == s->fence)
		s->confirmed = true;
}

static void take_free(struct grant *s, int64_t beat)
{
	/* Granted in the answer to this very heartbeat or one still unheard. */
	if (beat <= s->beat)
		return;
	s->until_ms = 0;
	s->confirmed = false;
	s->fence = 0;
}

void grant_beat_heard(struct grants *g, int64_t beat, const GArray *holds,
		      const GArray *released, int64_t hold_max_ms,
		      int64_t now_ms)
{
	uint32_t i;

	g->heard = g->n_shards;
	for (i = 0; i < g->n_shards; i++) {
		struct grant *s = &g->shards[i];
		int64_t from = grants_first_key(g, i);
		int64_t to = grants_last_key(g, i);
		const struct grant_row *held = row_on(holds, from, to);
		const struct grant_row *gone = row_on(released, from, to);

		if (gone && gone->handover[0]) {
			g_free(s->handover_out);
			s->handover_out = g_strdup(gone->handover);
		}
		s->held = held;
		if (held)
			take_held(s, held, hold_max_ms, now_ms);
		else
			take_free(s, beat);
	}
}

static void on_life(struct grants *g)
{
	uint32_t i;

	for (i = 0; i < g->n_shards; i++)
		grants_clear(&g->shards[i]);
}

static void on_ended(struct grants *g)
{
	uint32_t i;

	for (i = 0; i < g->n_shards; i++) {
		g->shards[i].until_ms = 0;
		g->shards[i].fence = 0;
		g->shards[i].confirmed = false;
		g->shards[i].held = false;
	}
}

static bool may_hold(const struct grants *g, uint32_t shard, int64_t now_ms)
{
	return now_ms < g->shards[shard].until_ms;
}

/* Granted so, or still held by a grant of the process before this one. */
static bool granted(const struct grants *g, uint32_t shard, int64_t fence,
		    int64_t now_ms)
{
	const struct grant *s = &g->shards[shard];

	return (s->fence == fence || s->held) && now_ms < s->until_ms;
}

const struct grant_ops grant_by_heartbeat = {
	.name = "heartbeat",
	.on_life = on_life,
	.on_ended = on_ended,
	.may_hold = may_hold,
	.granted = granted,
};

static void add_row(GArray *rows, const struct grant_row *row)
{
	struct grant_row *last =
		rows->len
			? &g_array_index(rows, struct grant_row, rows->len - 1)
			: NULL;

	if (last && last->to + 1 == row->from && last->fence == row->fence &&
	    !strcmp(last->handover, row->handover))
		last->to = row->to;
	else
		g_array_append_val(rows, *row);
}

/*
 * Note that the answer to heartbeat number beat grants a shard under fence for
 * hold_ms on the server's clock, and add its row to the answer, joined to the
 * last one where they fit together.
 */
static void give(struct grants *g, uint32_t shard, int64_t fence, int64_t beat,
		 int64_t hold_ms, GArray *rows, int64_t now_ms)
{
	struct grant *s = &g->shards[shard];
	struct grant_row row = { .from = grants_first_key(g, shard),
				 .to = grants_last_key(g, shard),
				 .fence = fence };

	if (s->fence != fence)
		s->confirmed = false;
	if (!s->confirmed && s->handover_in)
		g_strlcpy(row.handover, s->handover_in, sizeof(row.handover));
	s->fence = fence;
	s->beat = beat;
	s->until_ms = MAX(s->until_ms,
			  now_ms + (int64_t)(hold_ms * GRANT_SLOW_CLOCK) +
				  GRANT_MARGIN_MS);
	/* What an earlier holding left behind is not worth anything now. */
	g_clear_pointer(&s->handover_out, g_free);
	add_row(rows, &row);
}

/*
 * Whether the server holds something that is ours by the log and not yet free
 * of others. Left out of an answer it would let that go, and renewed it may
 * have two holders; so for a moment nothing is said of any row.
 */
static bool undecided(const struct grants *g, const struct grant_owner *o)
{
	int64_t fence;
	uint32_t i;

	for (i = 0; i < g->n_shards; i++)
		if (g->shards[i].held && !o->ops->serves(o->user, i, &fence) &&
		    o->ops->expects(o->user, i))
			return true;
	return false;
}

GArray *grant_beat_rows(struct grants *g, const struct grant_owner *o,
			int64_t beat, int64_t hold_max_ms, int64_t now_ms,
			int64_t *hold_ms)
{
	GArray *rows;
	uint32_t i;

	*hold_ms = grants_hold_ms(o->lease_end_ms, hold_max_ms, now_ms);
	if (!g->n_shards || *hold_ms < MIN_HOLD_MS || undecided(g, o))
		return NULL;
	rows = g_array_new(FALSE, TRUE, sizeof(struct grant_row));
	for (i = 0; i < g->n_shards; i++) {
		int64_t fence;

		if (o->ops->serves(o->user, i, &fence))
			give(g, i, fence, beat, *hold_ms, rows, now_ms);
	}
	return rows;
}

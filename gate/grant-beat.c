#include <string.h>

#include "gate/grant-beat.h"

/* A grant shorter than this ends before the next heartbeat can renew it. */
#define MIN_HOLD_MS 300

/* The place in rows of the one that has keys of [from, to], -1 none. */
static int row_on(const GArray *rows, int64_t from, int64_t to)
{
	uint32_t i;

	for (i = 0; rows && i < rows->len; i++) {
		const struct grant_row *r =
			&g_array_index(rows, struct grant_row, i);

		if (r->from <= to && r->to >= from)
			return i;
	}
	return -1;
}

static const struct grant_row *row_at(const GArray *rows, int place)
{
	return &g_array_index(rows, struct grant_row, place);
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
		int held = row_on(holds, from, to);
		int gone = row_on(released, from, to);

		if (gone >= 0 && row_at(released, gone)->handover[0]) {
			g_free(s->handover_out);
			s->handover_out =
				g_strdup(row_at(released, gone)->handover);
		}
		s->held = held >= 0;
		if (s->held)
			take_held(s, row_at(holds, held), hold_max_ms, now_ms);
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

	return !s->left_out && (s->fence == fence || s->held) &&
	       now_ms < s->until_ms;
}

static int64_t past_ms(int64_t lease_ms)
{
	return lease_ms + GRANT_MARGIN_MS;
}

const struct grant_ops grant_by_heartbeat = {
	.name = "heartbeat",
	.past_ms = past_ms,
	.on_life = on_life,
	.on_ended = on_ended,
	.may_hold = may_hold,
	.granted = granted,
};

/* A row of an answer and how much it needs to be in it. */
struct need {
	struct grant_row row;
	bool held;
	int64_t waits_ms; /* INT64_MAX: it does not */
};

static struct need need_of(const struct grants *g, uint32_t shard,
			   int64_t fence, bool with_handovers)
{
	const struct grant *s = &g->shards[shard];
	struct need n = { .row = { .from = grants_first_key(g, shard),
				   .to = grants_last_key(g, shard),
				   .fence = fence },
			  .held = s->held,
			  .waits_ms = s->waits_ms ? s->waits_ms : INT64_MAX };
	bool confirmed = s->confirmed && s->fence == fence;

	if (with_handovers && !confirmed && s->handover_in)
		g_strlcpy(n.row.handover, s->handover_in,
			  sizeof(n.row.handover));
	return n;
}

/* Add a row, joined to the last one where they fit together. */
static void add_need(GArray *needs, const struct need *n)
{
	struct need *last =
		needs->len ? &g_array_index(needs, struct need, needs->len - 1)
			   : NULL;

	if (!last || last->row.to + 1 != n->row.from ||
	    last->row.fence != n->row.fence ||
	    strcmp(last->row.handover, n->row.handover)) {
		g_array_append_val(needs, *n);
		return;
	}
	last->row.to = n->row.to;
	last->held = last->held || n->held;
	last->waits_ms = MIN(last->waits_ms, n->waits_ms);
}

/*
 * What the server holds comes first, for left out it would be let go; then what
 * has waited longest.
 */
static int by_need(gconstpointer a, gconstpointer b)
{
	const struct need *x = a;
	const struct need *y = b;

	if (x->held != y->held)
		return x->held ? -1 : 1;
	if (!x->held && x->waits_ms != y->waits_ms)
		return x->waits_ms < y->waits_ms ? -1 : 1;
	return x->row.from < y->row.from ? -1 : 1;
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

GArray *grant_beat_rows(const struct grants *g, const struct grant_owner *o,
			bool with_handovers, int64_t hold_max_ms,
			int64_t now_ms, int64_t *hold_ms)
{
	GArray *needs, *rows;
	uint32_t i;

	*hold_ms = grants_hold_ms(o->lease_end_ms, hold_max_ms, now_ms);
	if (!g->n_shards || *hold_ms < MIN_HOLD_MS || undecided(g, o))
		return NULL;
	needs = g_array_new(FALSE, FALSE, sizeof(struct need));
	for (i = 0; i < g->n_shards; i++) {
		struct need n;
		int64_t fence;

		if (!o->ops->serves(o->user, i, &fence))
			continue;
		n = need_of(g, i, fence, with_handovers);
		add_need(needs, &n);
	}
	g_array_sort(needs, by_need);
	rows = g_array_new(FALSE, TRUE, sizeof(struct grant_row));
	for (i = 0; i < needs->len; i++)
		g_array_append_val(rows,
				   g_array_index(needs, struct need, i).row);
	g_array_unref(needs);
	return rows;
}

static void give(struct grant *s, int64_t fence, int64_t beat, int64_t hold_ms,
		 int64_t now_ms)
{
	if (s->fence != fence)
		s->confirmed = false;
	s->fence = fence;
	s->beat = beat;
	s->until_ms = MAX(s->until_ms,
			  now_ms + (int64_t)(hold_ms * GRANT_SLOW_CLOCK) +
				  GRANT_MARGIN_MS);
	s->waits_ms = 0;
	/* What an earlier holding left behind is not worth anything now. */
	g_clear_pointer(&s->handover_out, g_free);
}

void grant_beat_given(struct grants *g, const GArray *rows, uint32_t n_named,
		      int64_t beat, int64_t hold_ms, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < g->n_shards; i++) {
		struct grant *s = &g->shards[i];
		int place = row_on(rows, grants_first_key(g, i),
				   grants_last_key(g, i));

		s->left_out = place < 0 || place >= (int)n_named;
		if (!s->left_out)
			give(s, row_at(rows, place)->fence, beat, hold_ms,
			     now_ms);
		else if (place < 0)
			s->waits_ms = 0;
		else if (!s->waits_ms)
			s->waits_ms = now_ms;
	}
}

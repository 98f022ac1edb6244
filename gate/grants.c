#include <string.h>

#include "gate/grants.h"

/* A backend server's clock may run 2% slow (the platform's own bound). */
#define SLOW_CLOCK 1.02
/* The answer's way, and the rounding of two millisecond clocks. */
#define MARGIN_MS 20
/* Where an entry of a seen id has the time it is still kept, never below 0. */
#define HANDOVER_MARK (-2)
/* Handovers are hexadecimal numbers of up to this many digits. */
#define HANDOVER_DIGITS 16

void grants_init(struct grants *g)
{
	memset(g, 0, sizeof(*g));
}

static void clear(struct grant *s)
{
	g_free(s->handover_in);
	g_free(s->handover_out);
	memset(s, 0, sizeof(*s));
}

void grants_finish(struct grants *g)
{
	uint32_t i;

	for (i = 0; i < g->n_shards; i++)
		clear(&g->shards[i]);
	g_free(g->shards);
	memset(g, 0, sizeof(*g));
}

void grants_resize(struct grants *g, uint32_t n_shards, uint32_t n_keys)
{
	if (g->n_shards == n_shards && g->n_keys == n_keys)
		return;
	grants_finish(g);
	g->shards = g_new0(struct grant, n_shards);
	g->n_shards = n_shards;
	g->n_keys = n_keys;
}

static int64_t first_key(const struct grants *g, uint32_t shard)
{
	return ((uint64_t)shard * g->n_keys + g->n_shards - 1) / g->n_shards;
}

static int64_t last_key(const struct grants *g, uint32_t shard)
{
	return first_key(g, shard + 1) - 1;
}

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
		s->until_ms = MAX(s->until_ms,
				  now_ms + (int64_t)(hold_max_ms * SLOW_CLOCK));
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

void grants_on_beat(struct grants *g, int64_t beat, const GArray *holds,
		    const GArray *released, int64_t hold_max_ms, int64_t now_ms)
{
	uint32_t i;

	g->heard = g->n_shards;
	for (i = 0; i < g->n_shards; i++) {
		struct grant *s = &g->shards[i];
		int64_t from = first_key(g, i);
		int64_t to = last_key(g, i);
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

void grants_forget_server(struct grants *g)
{
	uint32_t i;

	for (i = 0; i < g->n_shards; i++)
		clear(&g->shards[i]);
}

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

void grants_give(struct grants *g, uint32_t shard, int64_t fence, int64_t beat,
		 int64_t hold_ms, GArray *rows, int64_t now_ms)
{
	struct grant *s = &g->shards[shard];
	struct grant_row row = { .from = first_key(g, shard),
				 .to = last_key(g, shard),
				 .fence = fence };

	if (s->fence != fence)
		s->confirmed = false;
	if (!s->confirmed && s->handover_in)
		g_strlcpy(row.handover, s->handover_in, sizeof(row.handover));
	s->fence = fence;
	s->beat = beat;
	s->until_ms = MAX(s->until_ms,
			  now_ms + (int64_t)(hold_ms * SLOW_CLOCK) + MARGIN_MS);
	/* What an earlier holding left behind is not worth anything now. */
	g_clear_pointer(&s->handover_out, g_free);
	add_row(rows, &row);
}

bool grants_may_hold(const struct grants *g, uint32_t shard, int64_t now_ms)
{
	return shard < g->n_shards && now_ms < g->shards[shard].until_ms;
}

bool grants_granted(const struct grants *g, uint32_t shard, int64_t fence,
		    int64_t now_ms)
{
	const struct grant *s;

	if (shard >= g->n_shards)
		return false;
	s = &g->shards[shard];
	return (s->fence == fence || s->held) && now_ms < s->until_ms;
}

int64_t grants_hold_ms(int64_t end_ms, int64_t max_ms, int64_t now_ms)
{
	int64_t left = (int64_t)((end_ms - now_ms - MARGIN_MS) / SLOW_CLOCK);

	return MIN(left, max_ms);
}

void grants_export(const struct grants *g, uint32_t shard, GArray *out)
{
	const char *token = shard < g->n_shards ? g->shards[shard].handover_out
						: NULL;
	char *end;
	int64_t v[GRANTS_NUMBERS] = { shard, 0, HANDOVER_MARK, 0 };

	if (!token)
		return;
	v[1] = (int64_t)g_ascii_strtoull(token, &end, 16);
	v[3] = (int64_t)strlen(token);
	/* Any other would come out changed, and is worth less than none. */
	if (*end || !v[1] || v[3] > HANDOVER_DIGITS)
		g_warning("handover of shard %u is no number", shard);
	else
		g_array_append_vals(out, v, GRANTS_NUMBERS);
}

bool grants_import(struct grants *g, const int64_t *entry)
{
	char *token;

	if (entry[2] != HANDOVER_MARK)
		return false;
	if (entry[0] < 0 || entry[0] >= g->n_shards || entry[3] < 1 ||
	    entry[3] > HANDOVER_DIGITS)
		return true;
	token = g_strdup_printf("%0*" G_GINT64_MODIFIER "x", (int)entry[3],
				(guint64)entry[1]);
	g_free(g->shards[entry[0]].handover_in);
	g->shards[entry[0]].handover_in = token;
	return true;
}

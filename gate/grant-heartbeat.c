#include <string.h>

#include "gate/grant-call.h"
#include "gate/grant-heartbeat.h"

#ifdef RULE_SWITCHES
#define rule_enabled(g, rule) (!((g)->disabled_rules & (rule)))
#else
#define rule_enabled(g, rule) ((void)(g), true)
#endif

/* A shorter grant would end before the next heartbeat can renew it. */
#define MIN_HOLD_MS 300

/* Index of the first row that overlaps [from, to], or -1. */
static int find_row(const GArray *rows, int64_t from, int64_t to)
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

static const struct grant_row *row_at(const GArray *rows, int index)
{
	return &g_array_index(rows, struct grant_row, index);
}

static void mark_reported(struct grant *s, const struct grant_row *r,
			  int64_t hold_max_ms, int64_t now_ms)
{
	/*
	 * Held by a grant of a previous process, whose end is unknown. If the
	 * shard counted as free, it would be granted to another backend server
	 * while this one still serves it.
	 */
	if (!s->fence)
		s->may_hold_until_ms =
			MAX(s->may_hold_until_ms,
			    now_ms + (int64_t)(hold_max_ms *
					       GRANT_CLOCK_DRIFT_FACTOR));
	if (r->fence == s->fence)
		s->confirmed = true;
}

static void mark_not_reported(struct grant *s, int64_t heartbeat)
{
	/*
	 * A shard granted in the answer to this heartbeat, or to a later one,
	 * cannot be reported by this heartbeat yet.
	 */
	if (heartbeat <= s->heartbeat_number)
		return;
	/* It was sent after the server took a grant of this process. */
	if (s->confirmed)
		s->prev_process_owned = false;
	s->may_hold_until_ms = 0;
	s->confirmed = false;
	s->fence = 0;
}

void grant_heartbeat_received(struct grants *g, int64_t heartbeat,
			      const GArray *holds, const GArray *released,
			      int64_t hold_max_ms, int64_t now_ms)
{
	uint32_t i;

	g->heartbeat_seen = g->n_shards;
	for (i = 0; i < g->n_shards; i++) {
		struct grant *s = &g->shards[i];
		int64_t from = grants_first_key(g, i);
		int64_t to = grants_last_key(g, i);
		int held_row = find_row(holds, from, to);
		int released_row = find_row(released, from, to);

		if (released_row >= 0 &&
		    row_at(released, released_row)->handover[0]) {
			g_free(s->handover_out);
			s->handover_out = g_strdup(
				row_at(released, released_row)->handover);
		}
		s->reported_held = held_row >= 0;
		if (s->reported_held)
			mark_reported(s, row_at(holds, held_row), hold_max_ms,
				      now_ms);
		else
			mark_not_reported(s, heartbeat);
	}
}

static void on_new_instance(struct grants *g)
{
	uint32_t i;

	for (i = 0; i < g->n_shards; i++) {
		bool prev_process_owned = g->shards[i].prev_process_owned;

		grant_clear(&g->shards[i]);
		/* The heartbeat before may have been one of an older instance. */
		g->shards[i].prev_process_owned = prev_process_owned;
	}
}

static void on_server_stopped(struct grants *g)
{
	uint32_t i;

	for (i = 0; i < g->n_shards; i++) {
		g->shards[i].may_hold_until_ms = 0;
		g->shards[i].fence = 0;
		g->shards[i].confirmed = false;
		g->shards[i].reported_held = false;
		g->shards[i].prev_process_owned = false;
	}
}

static bool may_hold(const struct grants *g, uint32_t shard, int64_t now_ms)
{
	const struct grant *s = &g->shards[shard];

	if (now_ms < s->may_hold_until_ms)
		return true;
	return s->prev_process_owned && now_ms < g->prev_process_until_ms &&
	       rule_enabled(g, GRANT_RULE_PREV_PROCESS);
}

/*
 * Whether the backend server holds a shard by a grant of this process under
 * fence, or still holds it by a grant of a previous process.
 */
static bool server_holds(const struct grants *g, uint32_t shard, int64_t fence,
			 int64_t now_ms)
{
	const struct grant *s = &g->shards[shard];

	return !s->omitted && (s->fence == fence || s->reported_held) &&
	       now_ms < s->may_hold_until_ms;
}

static int64_t prev_process_hold_ms(int64_t lease_ms)
{
	return lease_ms + GRANT_MARGIN_MS;
}

const struct grant_ops grant_by_heartbeat = {
	.name = "heartbeat",
	.prev_process_hold_ms = prev_process_hold_ms,
	.on_new_instance = on_new_instance,
	.on_server_stopped = on_server_stopped,
	.may_hold = may_hold,
	.server_holds = server_holds,
};

/* A row of an answer, and what decides its place in the answer. */
struct ranked_row {
	struct grant_row row;
	bool held; /* some shard of it is reported as held */
	int64_t waiting_since_ms; /* INT64_MAX: not waiting */
};

static struct ranked_row make_ranked_row(const struct grants *g, uint32_t shard,
					 int64_t fence, bool with_handovers)
{
	const struct grant *s = &g->shards[shard];
	struct ranked_row n = { .row = { .from = grants_first_key(g, shard),
					 .to = grants_last_key(g, shard),
					 .fence = fence },
				.held = s->reported_held,
				.waiting_since_ms =
					s->waiting_since_ms
						? s->waiting_since_ms
						: INT64_MAX };
	bool confirmed = s->confirmed && s->fence == fence;

	if (with_handovers && !confirmed && s->handover_in)
		g_strlcpy(n.row.handover, s->handover_in,
			  sizeof(n.row.handover));
	return n;
}

/*
 * Adds a row. Merges it with the last one if their keys are adjacent and fence
 * and handover are equal.
 */
static void append_or_merge_row(GArray *ranked, const struct ranked_row *n)
{
	struct ranked_row *last =
		ranked->len ? &g_array_index(ranked, struct ranked_row,
					     ranked->len - 1)
			    : NULL;

	if (!last || last->row.to + 1 != n->row.from ||
	    last->row.fence != n->row.fence ||
	    strcmp(last->row.handover, n->row.handover)) {
		g_array_append_val(ranked, *n);
		return;
	}
	last->row.to = n->row.to;
	last->held = last->held || n->held;
	last->waiting_since_ms =
		MIN(last->waiting_since_ms, n->waiting_since_ms);
}

/*
 * Rows that the backend server holds come first, since it releases what an
 * answer omits. Then follow those that have waited longest.
 */
static int compare_rank(gconstpointer a, gconstpointer b)
{
	const struct ranked_row *x = a;
	const struct ranked_row *y = b;

	if (x->held != y->held)
		return x->held ? -1 : 1;
	if (!x->held && x->waiting_since_ms != y->waiting_since_ms)
		return x->waiting_since_ms < y->waiting_since_ms ? -1 : 1;
	return x->row.from < y->row.from ? -1 : 1;
}

/*
 * Whether the backend server holds a shard that the log assigns to this node
 * but that this node may not serve yet, since another node may still be serving
 * it. If an answer omits such a shard, the backend server releases it; if an
 * answer renews it, the shard may have two holders. So until this is settled,
 * answers name no rows at all.
 */
static bool holds_undecided_shard(const struct grants *g,
				  const struct grant_owner *o)
{
	int64_t fence;
	uint32_t i;

	for (i = 0; i < g->n_shards; i++)
		if (g->shards[i].reported_held &&
		    !o->ops->holds(o->user, i, &fence) &&
		    o->ops->expects_to_own(o->user, i))
			return true;
	return false;
}

GArray *grant_heartbeat_rows(const struct grants *g,
			     const struct grant_owner *o, bool with_handovers,
			     int64_t hold_max_ms, int64_t now_ms,
			     int64_t *hold_ms)
{
	GArray *ranked, *rows;
	uint32_t i;

	*hold_ms = grants_hold_ms(o->lease_end_ms, hold_max_ms, now_ms);
	if (!g->n_shards || *hold_ms < MIN_HOLD_MS ||
	    holds_undecided_shard(g, o))
		return NULL;
	ranked = g_array_new(FALSE, FALSE, sizeof(struct ranked_row));
	for (i = 0; i < g->n_shards; i++) {
		struct ranked_row n;
		int64_t fence;

		if (!o->ops->holds(o->user, i, &fence))
			continue;
		n = make_ranked_row(g, i, fence, with_handovers);
		append_or_merge_row(ranked, &n);
	}
	g_array_sort(ranked, compare_rank);
	rows = g_array_new(FALSE, TRUE, sizeof(struct grant_row));
	for (i = 0; i < ranked->len; i++)
		g_array_append_val(
			rows, g_array_index(ranked, struct ranked_row, i).row);
	g_array_unref(ranked);
	return rows;
}

static void record_grant(struct grant *s, int64_t fence, int64_t heartbeat,
			 int64_t hold_ms, int64_t now_ms)
{
	if (s->fence != fence)
		s->confirmed = false;
	s->fence = fence;
	s->heartbeat_number = heartbeat;
	s->may_hold_until_ms =
		MAX(s->may_hold_until_ms,
		    now_ms + (int64_t)(hold_ms * GRANT_CLOCK_DRIFT_FACTOR) +
			    GRANT_MARGIN_MS);
	s->waiting_since_ms = 0;
	/* The handover of an earlier hold is out of date now. */
	g_clear_pointer(&s->handover_out, g_free);
}

void grant_heartbeat_answered(struct grants *g, const GArray *rows,
			      uint32_t n_named, int64_t heartbeat,
			      int64_t hold_ms, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < g->n_shards; i++) {
		struct grant *s = &g->shards[i];
		int index = find_row(rows, grants_first_key(g, i),
				     grants_last_key(g, i));

		s->omitted = index < 0 || index >= (int)n_named;
		if (!s->omitted)
			record_grant(s, row_at(rows, index)->fence, heartbeat,
				     hold_ms, now_ms);
		else if (index < 0)
			s->waiting_since_ms = 0;
		else if (!s->waiting_since_ms)
			s->waiting_since_ms = now_ms;
	}
}

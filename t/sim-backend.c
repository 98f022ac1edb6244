#include <string.h>

#include "gate/grant-heartbeat.h"
#include "gate/grant-call.h"
#include "t/sim.h"

/*
 * Backend servers of a simulated fleet that hold keys by grants in the answers
 * to their heartbeats, as the users' platform has them. They live on when the
 * process beside them is killed, and end and start again on their own.
 */

#define BEAT_MS 870
#define HOLD_MAX_MS 10000
#define KEYS 65536
/* A server's clock may run 2% slow. */
#define SLOWEST 1.02
#define LATE_SHARE 0.1
#define LATE_MS 900
/* A call leaves within this of being worked out, as in gate/grant-call.c. */
#define SEND_MS 150
#define CALL_TIMEOUT_MS 250
/* Calls in a thousand, while messages are lost, that end otherwise. */
#define UNANSWERED 100
#define ANSWER_LOST 50
#define CALL_LOST 50
#define APPLIED_LATE_MS 4000
#define HELD_BACK 100
#define HELD_BACK_MS 2000
#define MAX_CALLS 12

static int64_t shard_from(const struct sim *s, uint32_t i)
{
	return ((int64_t)i * KEYS + s->n_shards - 1) / s->n_shards;
}

static GArray *held_rows(const struct sim *s, const struct sim_backend *b)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct grant_row));
	uint32_t i;

	for (i = 0; i < s->n_shards; i++) {
		struct grant_row row = { .from = shard_from(s, i),
					 .to = shard_from(s, i + 1) - 1,
					 .fence = b->fence[i] };

		if (b->until[i] > s->now)
			g_array_append_val(rows, row);
	}
	return rows;
}

static const struct grant_row *row_of(const GArray *rows, int64_t key)
{
	uint32_t i;

	for (i = 0; i < rows->len; i++) {
		const struct grant_row *r =
			&g_array_index(rows, struct grant_row, i);

		if (r->from <= key && r->to >= key)
			return r;
	}
	return NULL;
}

/* A request for a key that an answer leaves out would be turned away. */
static void check_granted(struct sim_node *nd, const GArray *rows)
{
	uint32_t i;

	for (i = 0; i < nd->sim->n_shards; i++) {
		int64_t fence;

		if (member_holds(&nd->member, i, &fence) &&
		    grants_server_holds(&nd->grants, i, fence, sim_local(nd)) &&
		    !row_of(rows, shard_from(nd->sim, i)))
			nd->sim->unnamed++;
	}
}

/* What the node beside a server does with its heartbeat. */
static GArray *node_on_beat(struct sim_node *nd, int64_t *hold_ms)
{
	struct sim *s = nd->sim;
	struct sim_backend *b = &nd->backend;
	struct member_node *m = &nd->member;
	struct fleet_service *service = fleet_service(&m->fleet, "records");
	GArray *holds = held_rows(s, b);
	struct grant_owner owner;
	GArray *rows;
	uint32_t n_named;
	int64_t now = sim_local(nd);

	if (nd->life_known != b->life) {
		char life[SERVER_INSTANCE_ID_MAX_LEN + 1];

		nd->life_known = b->life;
		grants_new_instance(&nd->grants);
		if (m->self_id)
			member_set_membership_wanted(m, false, now);
		g_snprintf(life, sizeof(life), "life-%u", b->life);
		member_set_server_instance(m, life);
		member_set_membership_wanted(m, true, now);
	}
	if (service && service->key_numbers)
		grants_resize(&nd->grants, service->n_shards,
			      service->key_numbers);
	if (s->way == &grant_by_call) {
		++b->number;
		grant_call_heartbeat_received(&nd->grants);
		g_array_unref(holds);
		return NULL;
	}
	grant_heartbeat_received(&nd->grants, ++b->number, holds, NULL,
				 HOLD_MAX_MS, now);
	g_array_unref(holds);
	grant_owner_from(&owner, m);
	rows = grant_heartbeat_rows(&nd->grants, &owner, true, HOLD_MAX_MS, now,
				    hold_ms);
	if (!rows)
		return NULL;
	n_named = s->room ? MIN(s->room, rows->len) : rows->len;
	grant_heartbeat_answered(&nd->grants, rows, n_named, b->number,
				 *hold_ms, now);
	g_array_set_size(rows, n_named);
	check_granted(nd, rows);
	return rows;
}

static void check_fence(struct sim_node *nd, uint32_t i, int64_t fence)
{
	struct sim *s = nd->sim;
	bool same = s->top_slot[i] == nd->slot &&
		    s->top_life[i] == nd->backend.life;

	if (fence < s->top_fence[i] || (fence == s->top_fence[i] && !same)) {
		s->fence_breaches++;
		if (s->verbose)
			g_print("%7" G_GINT64_FORMAT
				" server %u takes shard %u under "
				"%" G_GINT64_FORMAT
				", server %u had it under %" G_GINT64_FORMAT
				"\n",
				(gint64)s->now, nd->slot, i, (gint64)fence,
				s->top_slot[i], (gint64)s->top_fence[i]);
	}
	s->top_fence[i] = MAX(s->top_fence[i], fence);
	s->top_slot[i] = nd->slot;
	s->top_life[i] = nd->backend.life;
}

/* The answer to a heartbeat reaches the server. */
static void take_answer(struct sim_node *nd)
{
	struct sim *s = nd->sim;
	struct sim_backend *b = &nd->backend;
	int64_t until = b->beat_sent + (int64_t)(b->answer_hold * b->slow);
	uint32_t i;

	for (i = 0; b->answer && i < s->n_shards; i++) {
		const struct grant_row *r = row_of(b->answer, shard_from(s, i));

		if (!r) {
			b->until[i] = 0;
		} else if (r->fence >= b->fence[i] && until > s->now) {
			if (b->until[i] <= s->now || r->fence != b->fence[i])
				check_fence(nd, i, r->fence);
			if (s->verbose && b->until[i] <= s->now)
				g_print("%7" G_GINT64_FORMAT
					" server %u takes shard %u under "
					"%" G_GINT64_FORMAT
					" until %" G_GINT64_FORMAT "\n",
					(gint64)s->now, nd->slot, i,
					(gint64)r->fence, (gint64)until);
			b->fence[i] = r->fence;
			b->until[i] = until;
		}
	}
	g_clear_pointer(&b->answer, g_array_unref);
	b->answer_at = 0;
	b->next_beat = MAX(s->now, b->beat_sent + BEAT_MS);
}

static void send_beat(struct sim_node *nd)
{
	struct sim *s = nd->sim;
	struct sim_backend *b = &nd->backend;
	double draw = g_rand_double(s->rand);

	b->beat_sent = s->now;
	b->next_beat = s->now + BEAT_MS;
	if (!nd->up || nd->paused_until > s->now)
		return;
	b->answer = node_on_beat(nd, &b->answer_hold);
	b->answer_at = s->now + g_rand_int_range(s->rand, 1, 20);
	/* Some answers come late, and some never. */
	if (s->loss > 0 && draw < LATE_SHARE)
		b->answer_at += g_rand_int_range(s->rand, 0, LATE_MS);
	if (s->loss > 0 && draw > 1 - LATE_SHARE) {
		g_clear_pointer(&b->answer, g_array_unref);
		b->answer_at = 0;
	}
}

/* A call is sent: how it will arrive, be carried out and answered. */
static void send_call(struct sim_node *nd, const struct grant_call *c)
{
	struct sim *s = nd->sim;
	struct sim_backend *b = &nd->backend;
	struct sim_call k = { .call = *c,
			      .process = s->process[nd->slot],
			      .life = b->life,
			      .outcome = GRANT_APPLIED };
	uint32_t draw = s->loss > 0 ? g_rand_int_range(s->rand, 0, 1000) : 999;

	if (nd->life_known != b->life || !b->up) {
		/* No connection to the life that is meant is left. */
		k.outcome = GRANT_NOT_APPLIED;
		k.answered = s->now + SIM_STEP_MS;
		g_array_append_val(b->calls, k);
		return;
	}
	k.arrives = s->now + g_rand_int_range(s->rand, 0, SEND_MS);
	/* A process frozen, or slow to connect, between planning and sending. */
	if (s->loss > 0 && g_rand_int_range(s->rand, 0, 1000) < HELD_BACK)
		k.arrives += g_rand_int_range(s->rand, 0, HELD_BACK_MS);
	if (k.arrives - s->now > SEND_MS &&
	    !(s->grant_rules & GRANT_RULE_SEND_DEADLINE)) {
		k.outcome = GRANT_NOT_APPLIED;
		k.answered = k.arrives;
		g_array_append_val(b->calls, k);
		return;
	}
	k.applied = MAX(k.arrives, s->now + 1);
	k.answered = k.applied + 1;
	if (draw < UNANSWERED + ANSWER_LOST + CALL_LOST) {
		k.outcome = GRANT_IN_DOUBT;
		k.answered = s->now + CALL_TIMEOUT_MS;
	}
	if (draw < UNANSWERED)
		k.applied += g_rand_int_range(s->rand, 0, APPLIED_LATE_MS);
	else if (draw < UNANSWERED + CALL_LOST)
		k.applied = 0;
	g_array_append_val(b->calls, k);
}

/* The process beside a server calls what is due. */
void sim_backend_call(struct sim_node *nd)
{
	struct grant_call c;
	struct grant_owner o;
	uint32_t kinds = 1 << GRANT_CALL_GRANT | 1 << GRANT_CALL_RELEASE;

	grant_owner_from(&o, &nd->member);
	while (nd->backend.calls->len < MAX_CALLS &&
	       grant_call_next(&nd->grants, &o, kinds, HOLD_MAX_MS,
			       sim_local(nd), &c))
		send_call(nd, &c);
}

static void apply_give(struct sim_node *nd, struct sim_call *k)
{
	struct sim *s = nd->sim;
	struct sim_backend *b = &nd->backend;
	int64_t until = k->arrives + (int64_t)(k->call.hold_ms * b->slow);
	uint32_t i;

	for (i = k->call.first; i <= k->call.last; i++)
		if (b->fence[i] > k->call.row.fence &&
		    k->outcome == GRANT_APPLIED)
			k->outcome = GRANT_FENCED;
	if (k->outcome == GRANT_FENCED || until <= s->now)
		return;
	for (i = k->call.first; i <= k->call.last; i++) {
		if (b->fence[i] > k->call.row.fence)
			continue;
		if (b->until[i] <= s->now || k->call.row.fence != b->fence[i])
			check_fence(nd, i, k->call.row.fence);
		if (s->verbose && b->until[i] <= s->now)
			g_print("%7" G_GINT64_FORMAT
				" server %u is given shard %u under "
				"%" G_GINT64_FORMAT " until %" G_GINT64_FORMAT
				", sent to arrive %" G_GINT64_FORMAT "\n",
				(gint64)s->now, nd->slot, i,
				(gint64)k->call.row.fence, (gint64)until,
				(gint64)k->arrives);
		b->fence[i] = k->call.row.fence;
		b->until[i] = until;
	}
}

static void apply_take_back(struct sim_node *nd, const struct sim_call *k)
{
	uint32_t i;

	for (i = k->call.first; i <= k->call.last; i++)
		nd->backend.until[i] = 0;
}

static void carry_calls(struct sim_node *nd)
{
	struct sim *s = nd->sim;
	struct sim_backend *b = &nd->backend;
	uint32_t i;

	for (i = b->calls->len; i-- > 0;) {
		struct sim_call *k =
			&g_array_index(b->calls, struct sim_call, i);

		if (k->applied && k->applied <= s->now) {
			k->applied = 0;
			if (k->life != b->life || !b->up)
				k->outcome = GRANT_IN_DOUBT;
			else if (k->call.kind == GRANT_CALL_GRANT)
				apply_give(nd, k);
			else
				apply_take_back(nd, k);
		}
		if (k->answered >= 0 && k->answered <= s->now &&
		    nd->paused_until <= s->now) {
			k->answered = -1;
			if (nd->up && k->process == s->process[nd->slot])
				grant_call_done(&nd->grants, &k->call,
						k->outcome, NULL,
						sim_local(nd));
		}
		if (k->answered < 0 && !k->applied)
			g_array_remove_index_fast(b->calls, i);
	}
}

/* One step of the server beside a node. */
void sim_backend_step(struct sim_node *nd)
{
	struct sim_backend *b = &nd->backend;

	if (nd->sim->way == &grant_by_call)
		carry_calls(nd);
	if (!b->up)
		return;
	if (b->answer_at && b->answer_at <= nd->sim->now)
		take_answer(nd);
	if (!b->answer_at && b->next_beat <= nd->sim->now)
		send_beat(nd);
}

/* End a server and start another life of it, which holds nothing. */
void sim_backend_restart(struct sim_node *nd)
{
	struct sim *s = nd->sim;
	struct sim_backend *b = &nd->backend;

	if (!b->until) {
		b->until = g_new0(int64_t, s->n_shards);
		b->fence = g_new0(int64_t, s->n_shards);
	}
	memset(b->until, 0, s->n_shards * sizeof(b->until[0]));
	memset(b->fence, 0, s->n_shards * sizeof(b->fence[0]));
	g_clear_pointer(&b->answer, g_array_unref);
	b->answer_at = 0;
	if (!b->calls)
		b->calls = g_array_new(FALSE, TRUE, sizeof(struct sim_call));
	b->up = true;
	b->life = ++s->lives;
	b->number = 0;
	b->slow = 1 + g_rand_double(s->rand) * (SLOWEST - 1);
	b->next_beat = s->now + g_rand_int_range(s->rand, 0, BEAT_MS);
}

void sim_backend_finish(struct sim_node *nd)
{
	g_clear_pointer(&nd->backend.answer, g_array_unref);
	if (nd->backend.calls)
		g_array_unref(nd->backend.calls);
	g_free(nd->backend.until);
	g_free(nd->backend.fence);
}

/* Whether the server beside a node holds a shard. */
bool sim_backend_holds(const struct sim_node *nd, uint32_t shard)
{
	return nd->backend.up && nd->backend.until[shard] > nd->sim->now;
}

#include <string.h>

#include "gate/grant-heartbeat.h"
#include "gate/grant-call.h"
#include "t/sim.h"

/*
 * Backend servers of a simulated fleet that hold keys by grants, as on the
 * users' platform: granted in the answers to their heartbeats, or by calls.
 * They go on when the process beside them is killed, and restart independently
 * of it.
 */

#define HEARTBEAT_INTERVAL_MS 870
#define HOLD_MAX_MS 10000
#define N_KEYS 65536
/* A server's clock may run 2% slow, as GRANT_CLOCK_DRIFT_FACTOR allows. */
#define MAX_CLOCK_SLOW_FACTOR 1.02
#define LATE_ANSWER_PROBABILITY 0.1
#define LATE_ANSWER_MAX_MS 900
/* Time between planning a call and sending it, as in gate/grant-call.c. */
#define SEND_TIMEOUT_MS 150
#define CALL_TIMEOUT_MS 250
/*
 * While messages are lost, this many calls in a thousand are applied late and
 * not answered in time, are applied but their answer is lost, are lost
 * themselves, or are sent late.
 */
#define APPLIED_LATE_PER_MILLE 100
#define ANSWER_LOST_PER_MILLE 50
#define CALL_LOST_PER_MILLE 50
#define APPLIED_LATE_MAX_MS 4000
#define SENT_LATE_PER_MILLE 100
#define SENT_LATE_MAX_MS 2000
#define MAX_CALLS_IN_FLIGHT 12
#define LATE_HEARTBEAT_PROBABILITY 0.3
#define LATE_HEARTBEAT_MAX_MS 5000

static int64_t shard_first_key(const struct sim *s, uint32_t i)
{
	return ((int64_t)i * N_KEYS + s->n_shards - 1) / s->n_shards;
}

static GArray *held_rows(const struct sim *s, const struct sim_backend *b)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct grant_row));
	uint32_t i;

	for (i = 0; i < s->n_shards; i++) {
		struct grant_row row = { .from = shard_first_key(s, i),
					 .to = shard_first_key(s, i + 1) - 1,
					 .fence = b->fence[i] };

		if (b->held_until_ms[i] > s->now_ms)
			g_array_append_val(rows, row);
	}
	return rows;
}

static const struct grant_row *find_row(const GArray *rows, int64_t key)
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

/*
 * Counts the shards that the node counts as held by the server though the
 * answer omits them. The server would refuse requests for their keys.
 */
static void count_omitted_held(struct sim_node *nd, const GArray *rows)
{
	uint32_t i;

	for (i = 0; i < nd->sim->n_shards; i++) {
		int64_t fence;

		if (member_holds(&nd->member, i, &fence) &&
		    grants_server_holds(&nd->grants, i, fence,
					sim_node_now_ms(nd)) &&
		    !find_row(rows, shard_first_key(nd->sim, i)))
			nd->sim->n_omitted_held++;
	}
}

/*
 * Passes a heartbeat to the node beside the server. Returns the rows of the
 * answer, NULL if it has none, and sets *hold_ms to their duration.
 */
static GArray *answer_heartbeat(struct sim_node *nd,
				const struct sim_heartbeat *h, int64_t *hold_ms)
{
	struct sim *s = nd->sim;
	struct member_node *m = &nd->member;
	struct fleet_service *service = fleet_service(&m->fleet, "records");
	struct grant_owner owner;
	GArray *rows;
	uint32_t n_named;
	int64_t now = sim_node_now_ms(nd);

	if (nd->known_instance != h->instance) {
		char instance_id[SERVER_INSTANCE_ID_MAX_LEN + 1];

		nd->known_instance = h->instance;
		grants_new_instance(&nd->grants);
		if (m->self_id)
			member_set_membership_wanted(m, false, now);
		g_snprintf(instance_id, sizeof(instance_id), "life/%u",
			   h->instance);
		member_set_server_instance(m, instance_id);
		member_set_membership_wanted(m, true, now);
	}
	nd->known_heartbeat = h->number;
	if (service && service->key_numbers)
		grants_resize(&nd->grants, service->n_shards,
			      service->key_numbers);
	if (s->grant_ops == &grant_by_call) {
		grant_call_heartbeat_received(&nd->grants);
		return NULL;
	}
	grant_heartbeat_received(&nd->grants, h->number, h->rows, NULL,
				 HOLD_MAX_MS, now);
	grant_owner_from(&owner, m);
	rows = grant_heartbeat_rows(&nd->grants, &owner, true, HOLD_MAX_MS, now,
				    hold_ms);
	if (!rows)
		return NULL;
	n_named = s->max_answer_rows ? MIN(s->max_answer_rows, rows->len)
				     : rows->len;
	grant_heartbeat_answered(&nd->grants, rows, n_named, h->number,
				 *hold_ms, now);
	g_array_set_size(rows, n_named);
	count_omitted_held(nd, rows);
	return rows;
}

static void check_fence(struct sim_node *nd, uint32_t i, int64_t fence)
{
	struct sim *s = nd->sim;
	bool same = s->top_fence_slot[i] == nd->slot &&
		    s->top_fence_instance[i] == nd->backend.instance;

	if (fence < s->top_fence[i] || (fence == s->top_fence[i] && !same)) {
		s->fence_breaches++;
		if (s->verbose)
			g_print("%7" G_GINT64_FORMAT
				" server %u takes shard %u under "
				"%" G_GINT64_FORMAT
				", server %u had it under %" G_GINT64_FORMAT
				"\n",
				(gint64)s->now_ms, nd->slot, i, (gint64)fence,
				s->top_fence_slot[i], (gint64)s->top_fence[i]);
	}
	s->top_fence[i] = MAX(s->top_fence[i], fence);
	s->top_fence_slot[i] = nd->slot;
	s->top_fence_instance[i] = nd->backend.instance;
}

/* The server receives the answer to its heartbeat. */
static void apply_answer(struct sim_node *nd)
{
	struct sim *s = nd->sim;
	struct sim_backend *b = &nd->backend;
	int64_t until = b->heartbeat_sent_at_ms +
			(int64_t)(b->answer_hold_ms * b->clock_slow_factor);
	uint32_t i;

	for (i = 0; b->answer_rows && i < s->n_shards; i++) {
		const struct grant_row *r =
			find_row(b->answer_rows, shard_first_key(s, i));

		if (!r) {
			b->held_until_ms[i] = 0;
		} else if (r->fence >= b->fence[i] && until > s->now_ms) {
			if (b->held_until_ms[i] <= s->now_ms ||
			    r->fence != b->fence[i])
				check_fence(nd, i, r->fence);
			if (s->verbose && b->held_until_ms[i] <= s->now_ms)
				g_print("%7" G_GINT64_FORMAT
					" server %u takes shard %u under "
					"%" G_GINT64_FORMAT
					" until %" G_GINT64_FORMAT "\n",
					(gint64)s->now_ms, nd->slot, i,
					(gint64)r->fence, (gint64)until);
			b->fence[i] = r->fence;
			b->held_until_ms[i] = until;
		}
	}
	g_clear_pointer(&b->answer_rows, g_array_unref);
	b->answer_at_ms = 0;
	b->next_heartbeat_at_ms =
		MAX(s->now_ms, b->heartbeat_sent_at_ms + HEARTBEAT_INTERVAL_MS);
}

/* Another copy of a heartbeat will arrive later. */
static void delay_heartbeat(struct sim_node *nd, const struct sim_heartbeat *h)
{
	struct sim *s = nd->sim;
	struct sim_heartbeat late = *h;

	if (!s->late_heartbeats || s->loss <= 0 ||
	    g_rand_double(s->rand) > LATE_HEARTBEAT_PROBABILITY)
		return;
	late.arrives_at_ms =
		s->now_ms + g_rand_int_range(s->rand, 1, LATE_HEARTBEAT_MAX_MS);
	g_array_ref(late.rows);
	g_array_append_val(nd->backend.late_heartbeats, late);
}

/* A late heartbeat is news to a process that has taken no newer one. */
static void take_late_heartbeat(struct sim_node *nd,
				const struct sim_heartbeat *h)
{
	GArray *rows;
	int64_t hold_ms;

	if (!nd->up || nd->paused_until_ms > nd->sim->now_ms ||
	    h->instance < nd->known_instance ||
	    (h->instance == nd->known_instance &&
	     h->number <= nd->known_heartbeat))
		return;
	/* The server has given up waiting for the answer. */
	rows = answer_heartbeat(nd, h, &hold_ms);
	if (rows)
		g_array_unref(rows);
}

static void take_late_heartbeats(struct sim_node *nd)
{
	GArray *late = nd->backend.late_heartbeats;
	uint32_t i;

	for (i = late->len; i-- > 0;) {
		struct sim_heartbeat h =
			g_array_index(late, struct sim_heartbeat, i);

		if (h.arrives_at_ms > nd->sim->now_ms)
			continue;
		g_array_remove_index(late, i);
		take_late_heartbeat(nd, &h);
		g_array_unref(h.rows);
	}
}

static void send_heartbeat(struct sim_node *nd)
{
	struct sim *s = nd->sim;
	struct sim_backend *b = &nd->backend;
	struct sim_heartbeat h = { .instance = b->instance };
	double draw = g_rand_double(s->rand);

	b->heartbeat_sent_at_ms = s->now_ms;
	b->next_heartbeat_at_ms = s->now_ms + HEARTBEAT_INTERVAL_MS;
	if (!nd->up || nd->paused_until_ms > s->now_ms)
		return;
	h.number = ++b->heartbeat_number;
	h.rows = held_rows(s, b);
	delay_heartbeat(nd, &h);
	b->answer_rows = answer_heartbeat(nd, &h, &b->answer_hold_ms);
	g_array_unref(h.rows);
	b->answer_at_ms = s->now_ms + g_rand_int_range(s->rand, 1, 20);
	/* Some answers are late, and some are lost. */
	if (s->loss > 0 && draw < LATE_ANSWER_PROBABILITY)
		b->answer_at_ms +=
			g_rand_int_range(s->rand, 0, LATE_ANSWER_MAX_MS);
	if (s->loss > 0 && draw > 1 - LATE_ANSWER_PROBABILITY) {
		g_clear_pointer(&b->answer_rows, g_array_unref);
		b->answer_at_ms = 0;
	}
}

/* Sends a call and decides when it will arrive, be applied and be answered. */
static void send_call(struct sim_node *nd, const struct grant_call *c)
{
	struct sim *s = nd->sim;
	struct sim_backend *b = &nd->backend;
	struct sim_call k = { .call = *c,
			      .process_number = s->process_number[nd->slot],
			      .instance = b->instance,
			      .outcome = GRANT_APPLIED };
	uint32_t draw = s->loss > 0 ? g_rand_int_range(s->rand, 0, 1000) : 999;

	if (nd->known_instance != b->instance || !b->up) {
		/*
		 * The instance that the call is meant for has stopped, so there
		 * is no connection to send it on.
		 */
		k.outcome = GRANT_NOT_APPLIED;
		k.answer_at_ms = s->now_ms + SIM_STEP_MS;
		g_array_append_val(b->calls, k);
		return;
	}
	k.arrives_at_ms =
		s->now_ms + g_rand_int_range(s->rand, 0, SEND_TIMEOUT_MS);
	/* The process is frozen or slow to connect after planning the call. */
	if (s->loss > 0 &&
	    g_rand_int_range(s->rand, 0, 1000) < SENT_LATE_PER_MILLE)
		k.arrives_at_ms +=
			g_rand_int_range(s->rand, 0, SENT_LATE_MAX_MS);
	if (k.arrives_at_ms - s->now_ms > SEND_TIMEOUT_MS &&
	    !(s->disabled_grant_rules & GRANT_RULE_SEND_DEADLINE)) {
		k.outcome = GRANT_NOT_APPLIED;
		k.answer_at_ms = k.arrives_at_ms;
		g_array_append_val(b->calls, k);
		return;
	}
	k.apply_at_ms = MAX(k.arrives_at_ms, s->now_ms + 1);
	k.answer_at_ms = k.apply_at_ms + 1;
	if (draw < APPLIED_LATE_PER_MILLE + ANSWER_LOST_PER_MILLE +
			   CALL_LOST_PER_MILLE) {
		k.outcome = GRANT_IN_DOUBT;
		k.answer_at_ms = s->now_ms + CALL_TIMEOUT_MS;
	}
	if (draw < APPLIED_LATE_PER_MILLE)
		k.apply_at_ms +=
			g_rand_int_range(s->rand, 0, APPLIED_LATE_MAX_MS);
	else if (draw < APPLIED_LATE_PER_MILLE + CALL_LOST_PER_MILLE)
		k.apply_at_ms = 0;
	g_array_append_val(b->calls, k);
}

void sim_backend_send_calls(struct sim_node *nd)
{
	struct grant_call c;
	struct grant_owner o;
	uint32_t kinds = 1 << GRANT_CALL_GRANT | 1 << GRANT_CALL_RELEASE;

	grant_owner_from(&o, &nd->member);
	while (nd->backend.calls->len < MAX_CALLS_IN_FLIGHT &&
	       grant_call_next(&nd->grants, &o, kinds, HOLD_MAX_MS,
			       sim_node_now_ms(nd), &c))
		send_call(nd, &c);
}

static void apply_grant(struct sim_node *nd, struct sim_call *k)
{
	struct sim *s = nd->sim;
	struct sim_backend *b = &nd->backend;
	int64_t until = k->arrives_at_ms +
			(int64_t)(k->call.hold_ms * b->clock_slow_factor);
	uint32_t i;

	for (i = k->call.first; i <= k->call.last; i++)
		if (b->fence[i] > k->call.row.fence &&
		    k->outcome == GRANT_APPLIED)
			k->outcome = GRANT_FENCED;
	if (k->outcome == GRANT_FENCED || until <= s->now_ms)
		return;
	for (i = k->call.first; i <= k->call.last; i++) {
		if (b->fence[i] > k->call.row.fence)
			continue;
		if (b->held_until_ms[i] <= s->now_ms ||
		    k->call.row.fence != b->fence[i])
			check_fence(nd, i, k->call.row.fence);
		if (s->verbose && b->held_until_ms[i] <= s->now_ms)
			g_print("%7" G_GINT64_FORMAT
				" server %u is granted shard %u under "
				"%" G_GINT64_FORMAT " until %" G_GINT64_FORMAT
				", arrival at %" G_GINT64_FORMAT "\n",
				(gint64)s->now_ms, nd->slot, i,
				(gint64)k->call.row.fence, (gint64)until,
				(gint64)k->arrives_at_ms);
		b->fence[i] = k->call.row.fence;
		b->held_until_ms[i] = until;
	}
}

static void apply_release(struct sim_node *nd, const struct sim_call *k)
{
	uint32_t i;

	for (i = k->call.first; i <= k->call.last; i++)
		nd->backend.held_until_ms[i] = 0;
}

static void process_calls(struct sim_node *nd)
{
	struct sim *s = nd->sim;
	struct sim_backend *b = &nd->backend;
	uint32_t i;

	for (i = b->calls->len; i-- > 0;) {
		struct sim_call *k =
			&g_array_index(b->calls, struct sim_call, i);

		if (k->apply_at_ms && k->apply_at_ms <= s->now_ms) {
			k->apply_at_ms = 0;
			if (k->instance != b->instance || !b->up)
				k->outcome = GRANT_IN_DOUBT;
			else if (k->call.kind == GRANT_CALL_GRANT)
				apply_grant(nd, k);
			else
				apply_release(nd, k);
		}
		if (k->answer_at_ms >= 0 && k->answer_at_ms <= s->now_ms &&
		    nd->paused_until_ms <= s->now_ms) {
			k->answer_at_ms = -1;
			if (nd->up &&
			    k->process_number == s->process_number[nd->slot])
				grant_call_done(&nd->grants, &k->call,
						k->outcome, NULL,
						sim_node_now_ms(nd));
		}
		if (k->answer_at_ms < 0 && !k->apply_at_ms)
			g_array_remove_index_fast(b->calls, i);
	}
}

void sim_backend_step(struct sim_node *nd)
{
	struct sim_backend *b = &nd->backend;

	if (nd->sim->grant_ops == &grant_by_call)
		process_calls(nd);
	take_late_heartbeats(nd);
	if (!b->up)
		return;
	if (b->answer_at_ms && b->answer_at_ms <= nd->sim->now_ms)
		apply_answer(nd);
	if (!b->answer_at_ms && b->next_heartbeat_at_ms <= nd->sim->now_ms)
		send_heartbeat(nd);
}

void sim_backend_restart(struct sim_node *nd)
{
	struct sim *s = nd->sim;
	struct sim_backend *b = &nd->backend;

	if (!b->held_until_ms) {
		b->held_until_ms = g_new0(int64_t, s->n_shards);
		b->fence = g_new0(int64_t, s->n_shards);
	}
	memset(b->held_until_ms, 0, s->n_shards * sizeof(b->held_until_ms[0]));
	memset(b->fence, 0, s->n_shards * sizeof(b->fence[0]));
	g_clear_pointer(&b->answer_rows, g_array_unref);
	b->answer_at_ms = 0;
	if (!b->calls)
		b->calls = g_array_new(FALSE, TRUE, sizeof(struct sim_call));
	if (!b->late_heartbeats)
		b->late_heartbeats =
			g_array_new(FALSE, TRUE, sizeof(struct sim_heartbeat));
	b->up = true;
	b->instance = ++s->n_instances;
	b->heartbeat_number = 0;
	b->clock_slow_factor =
		1 + g_rand_double(s->rand) * (MAX_CLOCK_SLOW_FACTOR - 1);
	b->next_heartbeat_at_ms =
		s->now_ms + g_rand_int_range(s->rand, 0, HEARTBEAT_INTERVAL_MS);
}

void sim_backend_finish(struct sim_node *nd)
{
	g_clear_pointer(&nd->backend.answer_rows, g_array_unref);
	if (nd->backend.calls)
		g_array_unref(nd->backend.calls);
	while (nd->backend.late_heartbeats &&
	       nd->backend.late_heartbeats->len) {
		g_array_unref(g_array_index(nd->backend.late_heartbeats,
					    struct sim_heartbeat, 0)
				      .rows);
		g_array_remove_index_fast(nd->backend.late_heartbeats, 0);
	}
	if (nd->backend.late_heartbeats)
		g_array_unref(nd->backend.late_heartbeats);
	g_free(nd->backend.held_until_ms);
	g_free(nd->backend.fence);
}

bool sim_backend_holds(const struct sim_node *nd, uint32_t shard)
{
	return nd->backend.up &&
	       nd->backend.held_until_ms[shard] > nd->sim->now_ms;
}

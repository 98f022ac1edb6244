#include <string.h>

#include "gate/grant-call.h"
#include "util/counters.h"

/* A shorter hold would end before it could be renewed. */
#define MIN_HOLD_MS 300
/*
 * A longer hold would keep keys from their next owner for longer after a
 * restart, since a new process waits until all holds that the previous process
 * may have sent have ended.
 */
#define MAX_HOLD_MS 2200
/*
 * Time for sending a call: the event loop may be busy, and a connection may
 * have to be opened.
 */
#define SEND_TIMEOUT_MS 150
/*
 * A hold is renewed when less than this is left, early enough to try again
 * after a few calls without an answer. The time differs between ranges by up to
 * the spread, so that they are not all renewed at the same moment.
 */
#define RENEW_BEFORE_END_MS 1100
#define RENEW_SPREAD_MS 400
/* To extend the hold by less is not worth a call. */
#define MIN_RENEWAL_GAIN_MS 300
#define RETRY_MS 50
/* After a rejected fence: time to read the log records that raised it. */
#define FENCED_RETRY_MS 500

#ifdef RULE_SWITCHES
#define rule_enabled(g, rule) (!((g)->disabled_rules & (rule)))
#else
#define rule_enabled(g, rule) ((void)(g), true)
#endif

static int64_t prev_process_hold_ms(int64_t lease_ms)
{
	int64_t max_ms = SEND_TIMEOUT_MS +
			 (int64_t)(MAX_HOLD_MS * GRANT_CLOCK_DRIFT_FACTOR);

	return MIN(lease_ms, max_ms) + GRANT_MARGIN_MS;
}

/*
 * A previous process may have been killed with a call in doubt. The backend
 * server may apply that call even after it has released the shard on a call of
 * this process.
 */
static void on_resize(struct grants *g)
{
	bool in_doubt_counts =
		rule_enabled(g, GRANT_RULE_PREV_PROCESS) &&
		rule_enabled(g, GRANT_RULE_PREV_PROCESS_IN_DOUBT);
	uint32_t i;

	for (i = 0; i < g->n_shards; i++) {
		struct grant *s = &g->shards[i];

		s->state = GRANT_UNKNOWN;
		s->may_hold_until_ms = g->prev_process_until_ms;
		s->in_doubt_until_ms =
			in_doubt_counts ? g->prev_process_until_ms : 0;
	}
}

/*
 * A refused connection shows that an instance of the backend server has
 * stopped, but not when the next instance at the address started: that one may
 * have accepted calls meant for the previous instance. So held shards become
 * unknown, as if granted by a previous process: the new instance is granted
 * those that this node serves and is asked to release the others.
 */
static void on_new_instance(struct grants *g)
{
	uint32_t i;

	g->n_instances++;
	for (i = 0; i < g->n_shards; i++) {
		struct grant *s = &g->shards[i];

		if (s->state == GRANT_HELD)
			s->state = GRANT_UNKNOWN;
		s->holds_until_ms = 0;
		s->rejected_fence = 0;
		s->retry_at_ms = 0;
		g_clear_pointer(&s->handover_in, g_free);
		g_clear_pointer(&s->handover_out, g_free);
	}
}

/*
 * Earlier holds ended with the instance. Calls in flight have not arrived yet,
 * so they still count.
 */
static void on_server_stopped(struct grants *g)
{
	uint32_t i;

	for (i = 0; i < g->n_shards; i++) {
		struct grant *s = &g->shards[i];

		s->state = GRANT_FREE;
		s->fence = 0;
		s->may_hold_until_ms = 0;
		s->holds_until_ms = 0;
		s->in_doubt_until_ms = 0;
		s->in_doubt_fence = 0;
	}
}

static bool may_hold(const struct grants *g, uint32_t shard, int64_t now_ms)
{
	const struct grant *s = &g->shards[shard];

	if (s->call_in_flight && rule_enabled(g, GRANT_RULE_IN_FLIGHT))
		return true;
	if (s->state == GRANT_UNKNOWN &&
	    !rule_enabled(g, GRANT_RULE_PREV_PROCESS))
		return false;
	return now_ms < s->may_hold_until_ms || now_ms < s->in_doubt_until_ms;
}

/*
 * A shard held under an older fence is accepted too: no other backend server
 * has held it since, and its next renewal raises the fence.
 */
static bool server_holds(const struct grants *g, uint32_t shard, int64_t fence,
			 int64_t now_ms)
{
	const struct grant *s = &g->shards[shard];

	return s->state == GRANT_HELD && s->fence <= fence &&
	       now_ms < s->holds_until_ms;
}

static void on_misdirected(struct grants *g, uint32_t shard, int64_t now_ms)
{
	struct grant *s = &g->shards[shard];

	(void)now_ms;
	if (s->state != GRANT_HELD)
		return;
	/* Makes a renewal due at once. may_hold() still counts the hold. */
	s->holds_until_ms = 0;
	s->retry_at_ms = 0;
	COUNT(grants_misdirected);
}

const struct grant_ops grant_by_call = {
	.name = "call",
	.prev_process_hold_ms = prev_process_hold_ms,
	.on_resize = on_resize,
	.on_new_instance = on_new_instance,
	.on_server_stopped = on_server_stopped,
	.on_misdirected = on_misdirected,
	.may_hold = may_hold,
	.server_holds = server_holds,
};

void grant_call_heartbeat_received(struct grants *g)
{
	g->heartbeat_seen = true;
}

static void expire_hold(struct grant *s, int64_t now_ms)
{
	if (s->state == GRANT_FREE || s->call_in_flight ||
	    now_ms < s->may_hold_until_ms)
		return;
	s->state = GRANT_FREE;
	s->fence = 0;
	s->holds_until_ms = 0;
}

/* What call a shard needs, if any. */
struct shard_action {
	bool grant; /* this node serves it, under fence */
	bool release;
	int64_t fence;
};

static struct shard_action find_shard_action(const struct grants *g,
					     const struct grant_owner *o,
					     uint32_t i, int64_t now_ms)
{
	const struct grant *s = &g->shards[i];
	struct shard_action action = { 0 };

	if (s->call_in_flight || now_ms < s->retry_at_ms)
		return action;
	if (now_ms < o->lease_end_ms &&
	    o->ops->holds(o->user, i, &action.fence)) {
		action.grant = action.fence > s->rejected_fence;
		return action;
	}
	/*
	 * A shard that the log assigns to this node, or is about to, is not
	 * released although the node may not serve it now. Granted again after
	 * a release, it would be served with cold caches.
	 */
	action.release = s->state != GRANT_FREE && o->is_caught_up &&
			 !o->ops->expects_to_own(o->user, i);
	return action;
}

static bool same_handover(const struct grant *a, const struct grant *b)
{
	return !g_strcmp0(a->handover_in, b->handover_in);
}

static int64_t renewal_threshold_ms(uint32_t first)
{
	/* The multiplier gives neighbouring ranges different times. */
	return RENEW_BEFORE_END_MS + (first * 2654435761u) % RENEW_SPREAD_MS;
}

/* End of the longest range from first on that one call can grant or renew. */
static uint32_t last_shard_to_grant(const struct grants *g,
				    const struct grant_owner *o, uint32_t first,
				    const struct shard_action *action,
				    bool renew, int64_t now_ms)
{
	const struct grant *a = &g->shards[first];
	uint32_t i;

	for (i = first + 1; i < g->n_shards; i++) {
		const struct grant *b = &g->shards[i];
		struct shard_action next = find_shard_action(g, o, i, now_ms);

		if (!next.grant || next.fence != action->fence ||
		    a->single_shard_calls || b->single_shard_calls ||
		    (b->state == GRANT_HELD) != renew)
			break;
		if (!renew && !same_handover(a, b))
			break;
	}
	return i - 1;
}

/* End of the longest range from first on that one call can release. */
static uint32_t last_shard_to_release(const struct grants *g,
				      const struct grant_owner *o,
				      uint32_t first, int64_t now_ms)
{
	const struct grant *a = &g->shards[first];
	uint32_t i;

	for (i = first + 1; i < g->n_shards; i++) {
		const struct grant *b = &g->shards[i];

		if (!find_shard_action(g, o, i, now_ms).release ||
		    b->state != a->state || b->fence != a->fence)
			break;
	}
	return i - 1;
}

static void begin_call(struct grants *g, struct grant_call *c)
{
	uint32_t i;

	c->row.from = grants_first_key(g, c->first);
	c->row.to = grants_last_key(g, c->last);
	c->instance = g->n_instances;
	for (i = c->first; i <= c->last; i++)
		g->shards[i].call_in_flight = true;
}

/*
 * Sets the times of a hold so that it ends by the end of the lease (end_ms) if
 * it is sent by send_by_ms. Returns false if it would be too short to use.
 */
static bool set_hold_times(const struct grants *g, struct grant_call *c,
			   int64_t end_ms, int64_t max_ms, int64_t now_ms)
{
	double slow = rule_enabled(g, GRANT_RULE_CLOCK_DRIFT)
			      ? GRANT_CLOCK_DRIFT_FACTOR
			      : 1;
	int64_t send_ms =
		rule_enabled(g, GRANT_RULE_SEND_DEADLINE) ? SEND_TIMEOUT_MS : 0;

	c->send_by_ms = now_ms + SEND_TIMEOUT_MS;
	c->hold_ms = (end_ms - now_ms - send_ms - GRANT_MARGIN_MS) / slow;
	c->hold_ms = MIN(c->hold_ms, MIN(max_ms, MAX_HOLD_MS));
	c->latest_end_ms = c->send_by_ms +
			   (int64_t)(c->hold_ms * GRANT_CLOCK_DRIFT_FACTOR) +
			   GRANT_MARGIN_MS;
	c->earliest_end_ms = now_ms + c->hold_ms - GRANT_MARGIN_MS;
	return c->hold_ms >= MIN_HOLD_MS;
}

static void set_grant_call(struct grants *g, const struct grant_owner *o,
			   uint32_t i, const struct shard_action *action,
			   bool renew, int64_t now_ms, struct grant_call *c)
{
	const char *handover = renew ? NULL : g->shards[i].handover_in;

	c->kind = GRANT_CALL_GRANT;
	c->first = i;
	c->last = last_shard_to_grant(g, o, i, action, renew, now_ms);
	c->row.fence = action->fence;
	if (handover)
		g_strlcpy(c->row.handover, handover, sizeof(c->row.handover));
	begin_call(g, c);
}

static bool renewal_is_due(const struct grants *g, uint32_t first, uint32_t i,
			   const struct grant_call *c, int64_t now_ms)
{
	int64_t left_ms = g->shards[i].holds_until_ms - now_ms;

	return left_ms < renewal_threshold_ms(first) &&
	       c->earliest_end_ms - now_ms >= left_ms + MIN_RENEWAL_GAIN_MS;
}

/* These go before renewals: keys wait to be served, here or at another node. */
static bool next_grant_or_release(struct grants *g, const struct grant_owner *o,
				  bool can_grant, bool can_release,
				  int64_t now_ms, struct grant_call *c)
{
	uint32_t i;

	for (i = 0; i < g->n_shards; i++) {
		struct shard_action action;

		expire_hold(&g->shards[i], now_ms);
		action = find_shard_action(g, o, i, now_ms);
		if (action.grant && can_grant &&
		    g->shards[i].state != GRANT_HELD) {
			set_grant_call(g, o, i, &action, false, now_ms, c);
			return true;
		}
		if (!action.release || !can_release)
			continue;
		c->kind = GRANT_CALL_RELEASE;
		c->first = i;
		c->last = last_shard_to_release(g, o, i, now_ms);
		/* If the fence is unknown, use one above all in the log. */
		c->row.fence = g->shards[i].fence ? g->shards[i].fence
						  : o->newest_fence;
		begin_call(g, c);
		return true;
	}
	return false;
}

static bool next_renewal(struct grants *g, const struct grant_owner *o,
			 int64_t now_ms, struct grant_call *c)
{
	uint32_t i = 0;

	while (i < g->n_shards) {
		struct shard_action action;
		uint32_t last, k;

		if (g->shards[i].state != GRANT_HELD) {
			i++;
			continue;
		}
		action = find_shard_action(g, o, i, now_ms);
		if (!action.grant) {
			i++;
			continue;
		}
		last = last_shard_to_grant(g, o, i, &action, true, now_ms);
		for (k = i; k <= last; k++) {
			if (!renewal_is_due(g, i, k, c, now_ms))
				continue;
			set_grant_call(g, o, i, &action, true, now_ms, c);
			return true;
		}
		i = last + 1;
	}
	return false;
}

bool grant_call_next(struct grants *g, const struct grant_owner *o,
		     uint32_t kinds, int64_t hold_max_ms, int64_t now_ms,
		     struct grant_call *c)
{
	bool can_grant = kinds & (1 << GRANT_CALL_GRANT);

	memset(c, 0, sizeof(*c));
	if (!g->heartbeat_seen)
		return false;
	can_grant =
		set_hold_times(g, c, o->lease_end_ms, hold_max_ms, now_ms) &&
		can_grant;
	if (next_grant_or_release(g, o, can_grant,
				  kinds & (1 << GRANT_CALL_RELEASE), now_ms, c))
		return true;
	return can_grant && next_renewal(g, o, now_ms, c);
}

/* From now on the backend server rejects calls in doubt under a lower fence. */
static void clear_doubt_below(struct grant *s, int64_t fence)
{
	if (fence <= s->in_doubt_fence)
		return;
	s->in_doubt_until_ms = 0;
	s->in_doubt_fence = 0;
}

static void mark_in_doubt(struct grant *s, const struct grant_call *c)
{
	s->in_doubt_until_ms = MAX(s->in_doubt_until_ms, c->latest_end_ms);
	s->in_doubt_fence = MAX(s->in_doubt_fence, c->row.fence);
}

static void on_grant_outcome(struct grant *s, const struct grant_call *c,
			     enum grant_outcome outcome, bool in_doubt_counts,
			     int64_t now_ms)
{
	switch (outcome) {
	case GRANT_APPLIED:
		s->state = GRANT_HELD;
		s->fence = c->row.fence;
		s->may_hold_until_ms =
			MAX(s->may_hold_until_ms, c->latest_end_ms);
		s->holds_until_ms = c->earliest_end_ms;
		s->retry_at_ms = 0;
		s->single_shard_calls = false;
		clear_doubt_below(s, c->row.fence);
		g_clear_pointer(&s->handover_in, g_free);
		g_clear_pointer(&s->handover_out, g_free);
		break;
	case GRANT_FENCED:
		/* The answer does not name the key with the higher fence. */
		if (c->first == c->last)
			s->rejected_fence = c->row.fence;
		s->single_shard_calls = true;
		s->retry_at_ms = now_ms + FENCED_RETRY_MS;
		break;
	case GRANT_NOT_APPLIED:
		s->retry_at_ms = now_ms + RETRY_MS;
		break;
	case GRANT_IN_DOUBT:
		if (in_doubt_counts)
			mark_in_doubt(s, c);
		s->retry_at_ms = 0;
		break;
	}
}

static void on_release_outcome(struct grant *s, enum grant_outcome outcome,
			       const char *handover, int64_t now_ms)
{
	if (outcome != GRANT_APPLIED) {
		s->retry_at_ms = now_ms + RETRY_MS;
		return;
	}
	s->state = GRANT_FREE;
	s->fence = 0;
	s->may_hold_until_ms = 0;
	s->holds_until_ms = 0;
	g_free(s->handover_out);
	s->handover_out = handover && *handover ? g_strdup(handover) : NULL;
}

void grant_call_done(struct grants *g, const struct grant_call *c,
		     enum grant_outcome outcome, const char *handover,
		     int64_t now_ms)
{
	bool in_doubt_counts = rule_enabled(g, GRANT_RULE_IN_DOUBT);
	uint32_t i;

	/* The call may have been answered by the previous instance. */
	if (c->instance != g->n_instances && outcome == GRANT_APPLIED)
		outcome = GRANT_IN_DOUBT;
	for (i = c->first; i <= c->last && i < g->n_shards; i++) {
		struct grant *s = &g->shards[i];

		s->call_in_flight = false;
		if (c->kind == GRANT_CALL_GRANT)
			on_grant_outcome(s, c, outcome, in_doubt_counts,
					 now_ms);
		else
			on_release_outcome(s, outcome, handover, now_ms);
	}
}

uint32_t grant_call_count_ranges(const struct grants *g)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < g->n_shards; i++) {
		const struct grant *s = &g->shards[i];

		if (s->state != GRANT_HELD)
			continue;
		n += !i || s[-1].state != GRANT_HELD || s[-1].fence != s->fence;
	}
	return n;
}

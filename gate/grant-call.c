#include <string.h>

#include "gate/grant-call.h"
#include "util/counters.h"

/* A shorter hold would be over before it could be renewed. */
#define MIN_HOLD_MS 300
/*
 * A longer one would keep keys from their next owner for longer after a
 * restart: a new process waits for all that the one before may have sent.
 */
#define LONGEST_HOLD_MS 2200
/* Time for a call's bytes to leave: a busy loop, a connection to open. */
#define SEND_MS 150
/*
 * A hold is renewed when less than this is left, early enough for some calls
 * that get no answer. Runs differ by up to the spread, so that they are not all
 * renewed at one moment.
 */
#define RENEW_LEFT_MS 1100
#define RENEW_SPREAD_MS 400
/* A renewal that gains less is not worth its call. */
#define MIN_GAIN_MS 300
#define RETRY_MS 50
/* After the server named a higher fence: time to read what gave it. */
#define FENCED_RETRY_MS 500

#ifdef RULE_SWITCHES
#define rule_on(g, rule) (!((g)->disabled_rules & (rule)))
#else
#define rule_on(g, rule) ((void)(g), true)
#endif

static int64_t past_ms(int64_t lease_ms)
{
	int64_t longest_ms =
		SEND_MS + (int64_t)(LONGEST_HOLD_MS * GRANT_SLOW_CLOCK);

	return MIN(lease_ms, longest_ms) + GRANT_MARGIN_MS;
}

/*
 * A process before this one may have been killed with a call in doubt, which
 * the server carries out after it has let the shard go on our word.
 */
static void on_resize(struct grants *g)
{
	bool doubt_lasts = rule_on(g, GRANT_RULE_PAST_COUNTS) &&
			   rule_on(g, GRANT_RULE_PAST_DOUBT_LASTS);
	uint32_t i;

	for (i = 0; i < g->n_shards; i++) {
		struct grant *s = &g->shards[i];

		s->state = GRANT_UNKNOWN;
		s->until_ms = g->past_until_ms;
		s->doubt_until_ms = doubt_lasts ? g->past_until_ms : 0;
	}
}

/*
 * A connection refused shows that a server has ended, not when its successor at
 * the address began: that one may have taken what was meant for the life
 * before. So it is asked to let all of it go, as if a process before this one
 * had given it.
 */
static void on_life(struct grants *g)
{
	uint32_t i;

	g->n_lives++;
	for (i = 0; i < g->n_shards; i++) {
		struct grant *s = &g->shards[i];

		if (s->state == GRANT_HELD)
			s->state = GRANT_UNKNOWN;
		s->sure_until_ms = 0;
		s->fenced = 0;
		s->retry_ms = 0;
		g_clear_pointer(&s->handover_in, g_free);
		g_clear_pointer(&s->handover_out, g_free);
	}
}

/* What was sent before has ended with it; what is on its way has not arrived. */
static void on_ended(struct grants *g)
{
	uint32_t i;

	for (i = 0; i < g->n_shards; i++) {
		struct grant *s = &g->shards[i];

		s->state = GRANT_FREE;
		s->fence = 0;
		s->until_ms = 0;
		s->sure_until_ms = 0;
		s->doubt_until_ms = 0;
		s->doubt_fence = 0;
	}
}

static bool may_hold(const struct grants *g, uint32_t shard, int64_t now_ms)
{
	const struct grant *s = &g->shards[shard];

	if (s->asked && rule_on(g, GRANT_RULE_ASKED_COUNTS))
		return true;
	if (s->state == GRANT_UNKNOWN && !rule_on(g, GRANT_RULE_PAST_COUNTS))
		return false;
	return now_ms < s->until_ms || now_ms < s->doubt_until_ms;
}

/*
 * A shard held under an older fence is as good: it has not been with anyone
 * else since, and its next renewal raises the fence.
 */
static bool granted(const struct grants *g, uint32_t shard, int64_t fence,
		    int64_t now_ms)
{
	const struct grant *s = &g->shards[shard];

	return s->state == GRANT_HELD && s->fence <= fence &&
	       now_ms < s->sure_until_ms;
}

static void on_misdirected(struct grants *g, uint32_t shard, int64_t now_ms)
{
	struct grant *s = &g->shards[shard];

	(void)now_ms;
	if (s->state != GRANT_HELD)
		return;
	/* Given anew at once; may_hold() still counts what was given. */
	s->sure_until_ms = 0;
	s->retry_ms = 0;
	COUNT(grants_misdirected);
}

const struct grant_ops grant_by_call = {
	.name = "call",
	.past_ms = past_ms,
	.on_resize = on_resize,
	.on_life = on_life,
	.on_ended = on_ended,
	.on_misdirected = on_misdirected,
	.may_hold = may_hold,
	.granted = granted,
};

void grant_call_heard(struct grants *g)
{
	g->heard = true;
}

static void expire(struct grant *s, int64_t now_ms)
{
	if (s->state == GRANT_FREE || s->asked || now_ms < s->until_ms)
		return;
	s->state = GRANT_FREE;
	s->fence = 0;
	s->sure_until_ms = 0;
}

/* What a scan of the shards knows of one of them. */
struct wish {
	bool give; /* it is ours to serve under fence */
	bool take_back;
	int64_t fence;
};

static struct wish wish_of(const struct grants *g, const struct grant_owner *o,
			   uint32_t i, int64_t now_ms)
{
	const struct grant *s = &g->shards[i];
	struct wish w = { 0 };

	if (s->asked || now_ms < s->retry_ms)
		return w;
	if (now_ms < o->lease_end_ms && o->ops->serves(o->user, i, &w.fence)) {
		w.give = w.fence > s->fenced;
		return w;
	}
	/* What the log gives us, or is about to, stays though we may not serve
	 * it at this moment: let go it would come back cold. */
	w.take_back = s->state != GRANT_FREE && o->current &&
		      !o->ops->expects(o->user, i);
	return w;
}

static bool same_handover(const struct grant *a, const struct grant *b)
{
	return !g_strcmp0(a->handover_in, b->handover_in);
}

static int64_t renew_left_ms(uint32_t first)
{
	/* Neighbouring runs differ; the multiplier scatters them. */
	return RENEW_LEFT_MS + (first * 2654435761u) % RENEW_SPREAD_MS;
}

/* The longest run from first on whose shards one call can give. */
static uint32_t run_to_give(const struct grants *g, const struct grant_owner *o,
			    uint32_t first, const struct wish *w, bool renew,
			    int64_t now_ms)
{
	const struct grant *a = &g->shards[first];
	uint32_t i;

	for (i = first + 1; i < g->n_shards; i++) {
		const struct grant *b = &g->shards[i];
		struct wish v = wish_of(g, o, i, now_ms);

		if (!v.give || v.fence != w->fence || a->alone || b->alone ||
		    (b->state == GRANT_HELD) != renew)
			break;
		if (!renew && !same_handover(a, b))
			break;
	}
	return i - 1;
}

static uint32_t run_to_take_back(const struct grants *g,
				 const struct grant_owner *o, uint32_t first,
				 int64_t now_ms)
{
	const struct grant *a = &g->shards[first];
	uint32_t i;

	for (i = first + 1; i < g->n_shards; i++) {
		const struct grant *b = &g->shards[i];

		if (!wish_of(g, o, i, now_ms).take_back ||
		    b->state != a->state || b->fence != a->fence)
			break;
	}
	return i - 1;
}

static void begin(struct grants *g, struct grant_call *c)
{
	uint32_t i;

	c->row.from = grants_first_key(g, c->first);
	c->row.to = grants_last_key(g, c->last);
	c->life = g->n_lives;
	for (i = c->first; i <= c->last; i++)
		g->shards[i].asked = true;
}

/* Work out a hold that ends with our lease, wherever it is sent by then. */
static bool set_hold(const struct grants *g, struct grant_call *c,
		     int64_t end_ms, int64_t max_ms, int64_t now_ms)
{
	double slow = rule_on(g, GRANT_RULE_SLOW_CLOCK) ? GRANT_SLOW_CLOCK : 1;
	int64_t send_ms = rule_on(g, GRANT_RULE_SENT_IN_TIME) ? SEND_MS : 0;

	c->send_by_ms = now_ms + SEND_MS;
	c->hold_ms = (end_ms - now_ms - send_ms - GRANT_MARGIN_MS) / slow;
	c->hold_ms = MIN(c->hold_ms, MIN(max_ms, LONGEST_HOLD_MS));
	c->until_ms = c->send_by_ms + (int64_t)(c->hold_ms * GRANT_SLOW_CLOCK) +
		      GRANT_MARGIN_MS;
	c->sure_until_ms = now_ms + c->hold_ms - GRANT_MARGIN_MS;
	return c->hold_ms >= MIN_HOLD_MS;
}

static void set_give(struct grants *g, const struct grant_owner *o, uint32_t i,
		     const struct wish *w, bool renew, int64_t now_ms,
		     struct grant_call *c)
{
	const char *handover = renew ? NULL : g->shards[i].handover_in;

	c->kind = GRANT_CALL_GIVE;
	c->first = i;
	c->last = run_to_give(g, o, i, w, renew, now_ms);
	c->row.fence = w->fence;
	if (handover)
		g_strlcpy(c->row.handover, handover, sizeof(c->row.handover));
	begin(g, c);
}

static bool is_due(const struct grants *g, uint32_t first, uint32_t i,
		   const struct grant_call *c, int64_t now_ms)
{
	int64_t left_ms = g->shards[i].sure_until_ms - now_ms;

	return left_ms < renew_left_ms(first) &&
	       c->sure_until_ms - now_ms >= left_ms + MIN_GAIN_MS;
}

/* Keys that wait to be served, or to be served elsewhere, come first. */
static bool next_change(struct grants *g, const struct grant_owner *o,
			bool can_give, bool can_take_back, int64_t now_ms,
			struct grant_call *c)
{
	uint32_t i;

	for (i = 0; i < g->n_shards; i++) {
		struct wish w;

		expire(&g->shards[i], now_ms);
		w = wish_of(g, o, i, now_ms);
		if (w.give && can_give && g->shards[i].state != GRANT_HELD) {
			set_give(g, o, i, &w, false, now_ms, c);
			return true;
		}
		if (!w.take_back || !can_take_back)
			continue;
		c->kind = GRANT_CALL_TAKE_BACK;
		c->first = i;
		c->last = run_to_take_back(g, o, i, now_ms);
		/* Unknown what it was given under: no fence is higher. */
		c->row.fence = g->shards[i].fence ? g->shards[i].fence
						  : o->newest_fence;
		begin(g, c);
		return true;
	}
	return false;
}

static bool next_renewal(struct grants *g, const struct grant_owner *o,
			 int64_t now_ms, struct grant_call *c)
{
	uint32_t i = 0;

	while (i < g->n_shards) {
		struct wish w;
		uint32_t last, k;

		if (g->shards[i].state != GRANT_HELD) {
			i++;
			continue;
		}
		w = wish_of(g, o, i, now_ms);
		if (!w.give) {
			i++;
			continue;
		}
		last = run_to_give(g, o, i, &w, true, now_ms);
		for (k = i; k <= last; k++) {
			if (!is_due(g, i, k, c, now_ms))
				continue;
			set_give(g, o, i, &w, true, now_ms, c);
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
	bool can_give = kinds & (1 << GRANT_CALL_GIVE);

	memset(c, 0, sizeof(*c));
	if (!g->heard)
		return false;
	can_give = set_hold(g, c, o->lease_end_ms, hold_max_ms, now_ms) &&
		   can_give;
	if (next_change(g, o, can_give, kinds & (1 << GRANT_CALL_TAKE_BACK),
			now_ms, c))
		return true;
	return can_give && next_renewal(g, o, now_ms, c);
}

/* The server refuses what it was sent before under a lower fence. */
static void end_doubt_below(struct grant *s, int64_t fence)
{
	if (fence <= s->doubt_fence)
		return;
	s->doubt_until_ms = 0;
	s->doubt_fence = 0;
}

static void add_doubt(struct grant *s, const struct grant_call *c)
{
	s->doubt_until_ms = MAX(s->doubt_until_ms, c->until_ms);
	s->doubt_fence = MAX(s->doubt_fence, c->row.fence);
}

static void given(struct grant *s, const struct grant_call *c,
		  enum grant_outcome outcome, bool doubt_lasts, int64_t now_ms)
{
	switch (outcome) {
	case GRANT_DONE:
		s->state = GRANT_HELD;
		s->fence = c->row.fence;
		s->until_ms = MAX(s->until_ms, c->until_ms);
		s->sure_until_ms = c->sure_until_ms;
		s->retry_ms = 0;
		s->alone = false;
		end_doubt_below(s, c->row.fence);
		g_clear_pointer(&s->handover_in, g_free);
		g_clear_pointer(&s->handover_out, g_free);
		break;
	case GRANT_FENCED:
		/* One of the run's keys is meant; which, is not said. */
		if (c->first == c->last)
			s->fenced = c->row.fence;
		s->alone = true;
		s->retry_ms = now_ms + FENCED_RETRY_MS;
		break;
	case GRANT_NOT_APPLIED:
		s->retry_ms = now_ms + RETRY_MS;
		break;
	case GRANT_IN_DOUBT:
		if (doubt_lasts)
			add_doubt(s, c);
		s->retry_ms = 0;
		break;
	}
}

static void taken_back(struct grant *s, enum grant_outcome outcome,
		       const char *handover, int64_t now_ms)
{
	if (outcome != GRANT_DONE) {
		s->retry_ms = now_ms + RETRY_MS;
		return;
	}
	s->state = GRANT_FREE;
	s->fence = 0;
	s->until_ms = 0;
	s->sure_until_ms = 0;
	g_free(s->handover_out);
	s->handover_out = handover && *handover ? g_strdup(handover) : NULL;
}

void grant_call_done(struct grants *g, const struct grant_call *c,
		     enum grant_outcome outcome, const char *handover,
		     int64_t now_ms)
{
	bool doubt_lasts = rule_on(g, GRANT_RULE_DOUBT_LASTS);
	uint32_t i;

	/* Which life answered is not said: it may have been the one before. */
	if (c->life != g->n_lives && outcome == GRANT_DONE)
		outcome = GRANT_IN_DOUBT;
	for (i = c->first; i <= c->last && i < g->n_shards; i++) {
		struct grant *s = &g->shards[i];

		s->asked = false;
		if (c->kind == GRANT_CALL_GIVE)
			given(s, c, outcome, doubt_lasts, now_ms);
		else
			taken_back(s, outcome, handover, now_ms);
	}
}

uint32_t grant_call_runs(const struct grants *g)
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

#include <string.h>
#include <glib.h>

#include "gate/limit.h"
#include "util/counters.h"

#define STEP_MS 50 /* growth back to what was borne before */
#define RAMP_MS 6000 /* from cold to all slots */
#define CUT_FACTOR 0.5
#define RECENT_WEIGHT 0.2
#define BASE_DOWN_WEIGHT 0.1
#define BASE_UP_WEIGHT 0.002
#define SLOW_FACTOR 2.5
#define SLOW_SLACK_MS 2.0
#define BAD_FACTOR 6.0
#define BAD_SLACK_MS 10.0
#define STALL_FACTOR 3.0
#define STALL_SLACK_MS 4.0
#define COLD_EPISODES 2
#define MIN_SAMPLES 8

static void start_cold(struct limit *l, int64_t now_ms)
{
	l->now = MIN(LIMIT_COLD, l->max);
	l->cold = true;
	l->was_full = false;
	l->next_step_ms = now_ms + RAMP_MS / l->max;
}

static void start_full(struct limit *l, int64_t now_ms)
{
	(void)now_ms;
	l->now = l->max;
}

/* Begin for a server with max slots. */
void limit_init(struct limit *l, const struct limit_ops *ops, uint32_t max,
		int64_t now_ms)
{
	memset(l, 0, sizeof(*l));
	l->ops = ops;
	l->max = max ? max : 1;
	ops->init(l, now_ms);
}

/* Whether one more request may be started. */
bool limit_allows(struct limit *l, uint32_t in_flight)
{
	uint32_t allowed = (uint32_t)l->now;

	if (l->stalled || l->proving)
		allowed = MIN(allowed, LIMIT_COLD);
	if (in_flight + 1 >= allowed)
		l->was_full = true;
	return in_flight < allowed;
}

static void adapt_bad(struct limit *l, int64_t started_ms, int64_t now_ms)
{
	/*
	 * All that was in flight when a server stalled comes back late
	 * together. That is one piece of evidence, and a moment's stall by an
	 * unseen neighbour must not cost the whole ramp.
	 */
	if (started_ms < l->bad_since_ms)
		return;
	l->bad_since_ms = now_ms;
	l->was_full = false;
	/*
	 * Slow again right after a cut, and with no good answer between: the
	 * server has turned cold without saying so, and begins anew.
	 */
	if (++l->bad_episodes >= COLD_EPISODES && l->now > LIMIT_COLD) {
		l->bad_episodes = 0;
		l->n_recent = 0;
		l->n_cold_starts++;
		COUNT(gate_cold_starts);
		start_cold(l, now_ms);
		return;
	}
	l->now = MAX(MIN(LIMIT_COLD, l->max), l->now * CUT_FACTOR);
	l->next_step_ms = now_ms + 2 * STEP_MS;
}

static void learn(struct limit *l, double ms)
{
	double weight = ms < l->base_ms ? BASE_DOWN_WEIGHT : BASE_UP_WEIGHT;

	l->recent_ms =
		l->n_recent ? l->recent_ms + RECENT_WEIGHT * (ms - l->recent_ms)
			    : ms;
	l->base_ms = l->base_ms > 0 ? l->base_ms + weight * (ms - l->base_ms)
				    : ms;
	l->n_recent++;
}

static void grow(struct limit *l, int64_t now_ms)
{
	/*
	 * Growth by time, not by the number of answers: warming up takes its
	 * time. A server that answered well all along is warm in the end, also
	 * when it was never asked for all it had.
	 */
	if (now_ms < l->next_step_ms || (!l->was_full && !l->cold))
		return;
	l->was_full = false;
	l->next_step_ms = now_ms + (l->cold ? RAMP_MS / l->max : STEP_MS);
	l->now = MIN(l->now + 1, (double)l->max);
	if (l->now >= l->max)
		l->cold = false;
}

static bool known(const struct limit *l)
{
	return l->base_ms > 0 && l->n_recent >= MIN_SAMPLES;
}

static void adapt(struct limit *l, double latency_ms, int64_t started_ms,
		  int64_t now_ms)
{
	bool was_known = known(l);

	learn(l, latency_ms);
	if (was_known && latency_ms > BAD_FACTOR * l->base_ms + BAD_SLACK_MS) {
		adapt_bad(l, started_ms, now_ms);
		return;
	}
	l->bad_episodes = 0;
	if (started_ms >= l->proving_since_ms)
		l->proving = false;
	/* Slower than usual: full enough. */
	if (!was_known ||
	    l->recent_ms <= SLOW_FACTOR * l->base_ms + SLOW_SLACK_MS)
		grow(l, now_ms);
}

/*
 * Nothing has come back for several times the usual latency. Whether this is
 * a stall or a server gone cold cannot be told yet; either way more work now
 * would only wait there, or push it over.
 */
static void adapt_watch(struct limit *l, int64_t oldest_ms, int64_t now_ms)
{
	bool was = l->stalled;

	l->stalled = l->base_ms > 0 &&
		     oldest_ms > STALL_FACTOR * l->base_ms + STALL_SLACK_MS;
	if (!l->stalled || was)
		return;
	l->proving = true;
	l->proving_since_ms = now_ms;
}

static void only_learn(struct limit *l, double latency_ms, int64_t started_ms,
		       int64_t now_ms)
{
	(void)started_ms;
	(void)now_ms;
	learn(l, latency_ms);
}

static void ignore_bad(struct limit *l, int64_t started_ms, int64_t now_ms)
{
	(void)l;
	(void)started_ms;
	(void)now_ms;
}

const struct limit_ops limit_adaptive = { "adaptive", start_cold, adapt,
					  adapt_bad, adapt_watch };
const struct limit_ops limit_fixed = { "fixed", start_full, only_learn,
				       ignore_bad, NULL };

const struct limit_ops *limit_ops_by_name(const char *name)
{
	if (!strcmp(name, limit_adaptive.name))
		return &limit_adaptive;
	return strcmp(name, limit_fixed.name) ? NULL : &limit_fixed;
}

void limit_done(struct limit *l, enum limit_outcome outcome, double latency_ms,
		int64_t started_ms, int64_t now_ms)
{
	if (outcome == LIMIT_ANSWERED)
		l->ops->answered(l, latency_ms, started_ms, now_ms);
	else
		l->ops->bad(l, started_ms, now_ms);
}

void limit_watch(struct limit *l, int64_t oldest_ms, int64_t now_ms)
{
	if (l->ops->watch)
		l->ops->watch(l, oldest_ms, now_ms);
}

#include <string.h>
#include <glib.h>

#include "gate/limit.h"
#include "util/counters.h"

#define GROWTH_INTERVAL_MS 50 /* between increases after a cut */
#define SLOW_START_MS 6000 /* from the initial limit to all slots */
#define OVERLOAD_CUT 0.5
#define RECENT_WEIGHT 0.2
#define BASE_DOWN_WEIGHT 0.1
#define BASE_UP_WEIGHT 0.002
#define SLOW_FACTOR 2.5
#define SLOW_SLACK_MS 2.0
#define OVERLOAD_FACTOR 6.0
#define OVERLOAD_SLACK_MS 10.0
#define STALL_FACTOR 3.0
#define STALL_SLACK_MS 4.0
#define SLOW_START_EPISODES 2
#define MIN_SAMPLES 8

static void begin_slow_start(struct limit *l, int64_t now_ms)
{
	l->allowed = MIN(LIMIT_INITIAL, l->slots);
	l->slow_start = true;
	l->was_reached = false;
	l->next_increase_at_ms = now_ms + SLOW_START_MS / l->slots;
}

static void allow_all_slots(struct limit *l, int64_t now_ms)
{
	(void)now_ms;
	l->allowed = l->slots;
}

void limit_init(struct limit *l, const struct limit_ops *ops, uint32_t slots,
		int64_t now_ms)
{
	memset(l, 0, sizeof(*l));
	l->ops = ops;
	l->slots = slots ? slots : 1;
	ops->init(l, now_ms);
}

bool limit_allows(struct limit *l, uint32_t in_flight)
{
	uint32_t allowed = (uint32_t)l->allowed;

	if (l->stalled || l->awaits_good_answer)
		allowed = MIN(allowed, LIMIT_INITIAL);
	if (in_flight + 1 >= allowed)
		l->was_reached = true;
	return in_flight < allowed;
}

static void adaptive_on_overload(struct limit *l, int64_t started_ms,
				 int64_t now_ms)
{
	/*
	 * All requests that were in flight when the backend server stalled are
	 * answered late together. They count as one episode, so that a short
	 * stall caused by other load on its host does not restart the slow
	 * start.
	 */
	if (started_ms < l->overload_since_ms)
		return;
	l->overload_since_ms = now_ms;
	l->was_reached = false;
	/*
	 * Overloaded again right after a cut, with no good answer between: the
	 * backend server is in cold start and has not reported it, so the slow
	 * start begins again.
	 */
	if (++l->overload_episodes >= SLOW_START_EPISODES &&
	    l->allowed > LIMIT_INITIAL) {
		l->overload_episodes = 0;
		l->n_recent = 0;
		l->n_cold_starts++;
		COUNT(gate_cold_starts);
		begin_slow_start(l, now_ms);
		return;
	}
	l->allowed =
		MAX(MIN(LIMIT_INITIAL, l->slots), l->allowed * OVERLOAD_CUT);
	l->next_increase_at_ms = now_ms + 2 * GROWTH_INTERVAL_MS;
}

static void update_latency(struct limit *l, double ms)
{
	double weight = ms < l->base_ms ? BASE_DOWN_WEIGHT : BASE_UP_WEIGHT;

	l->recent_ms =
		l->n_recent ? l->recent_ms + RECENT_WEIGHT * (ms - l->recent_ms)
			    : ms;
	l->base_ms = l->base_ms > 0 ? l->base_ms + weight * (ms - l->base_ms)
				    : ms;
	l->n_recent++;
}

static void increase_limit(struct limit *l, int64_t now_ms)
{
	/*
	 * The limit rises with time, not with the number of answers, since a
	 * backend server needs time to warm up. In slow start it rises even if
	 * it was not reached: a backend server that answers well all along
	 * becomes warm even without full load.
	 */
	if (now_ms < l->next_increase_at_ms ||
	    (!l->was_reached && !l->slow_start))
		return;
	l->was_reached = false;
	l->next_increase_at_ms =
		now_ms +
		(l->slow_start ? SLOW_START_MS / l->slots : GROWTH_INTERVAL_MS);
	l->allowed = MIN(l->allowed + 1, (double)l->slots);
	if (l->allowed >= l->slots)
		l->slow_start = false;
}

static bool has_baseline(const struct limit *l)
{
	return l->base_ms > 0 && l->n_recent >= MIN_SAMPLES;
}

static void adaptive_on_answer(struct limit *l, double latency_ms,
			       int64_t started_ms, int64_t now_ms)
{
	bool had_baseline = has_baseline(l);

	update_latency(l, latency_ms);
	if (had_baseline &&
	    latency_ms > OVERLOAD_FACTOR * l->base_ms + OVERLOAD_SLACK_MS) {
		adaptive_on_overload(l, started_ms, now_ms);
		return;
	}
	l->overload_episodes = 0;
	if (started_ms >= l->stalled_since_ms)
		l->awaits_good_answer = false;
	/* Do not raise the limit while answers are slower than usual. */
	if (!had_baseline ||
	    l->recent_ms <= SLOW_FACTOR * l->base_ms + SLOW_SLACK_MS)
		increase_limit(l, now_ms);
}

/*
 * Detects that nothing was answered for several times the usual latency. This
 * may be a stall or a cold start, which cannot be told apart yet. In either
 * case more requests now would only wait at the backend server or crash it.
 */
static void adaptive_check_stall(struct limit *l, int64_t oldest_ms,
				 int64_t now_ms)
{
	bool was_stalled = l->stalled;

	l->stalled = l->base_ms > 0 &&
		     oldest_ms > STALL_FACTOR * l->base_ms + STALL_SLACK_MS;
	if (!l->stalled || was_stalled)
		return;
	l->awaits_good_answer = true;
	l->stalled_since_ms = now_ms;
}

static void fixed_on_answer(struct limit *l, double latency_ms,
			    int64_t started_ms, int64_t now_ms)
{
	(void)started_ms;
	(void)now_ms;
	update_latency(l, latency_ms);
}

static void fixed_on_overload(struct limit *l, int64_t started_ms,
			      int64_t now_ms)
{
	(void)l;
	(void)started_ms;
	(void)now_ms;
}

const struct limit_ops limit_adaptive = { "adaptive", begin_slow_start,
					  adaptive_on_answer,
					  adaptive_on_overload,
					  adaptive_check_stall };
const struct limit_ops limit_fixed = { "fixed", allow_all_slots,
				       fixed_on_answer, fixed_on_overload,
				       NULL };

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
		l->ops->on_answer(l, latency_ms, started_ms, now_ms);
	else
		l->ops->on_overload(l, started_ms, now_ms);
}

void limit_check_stall(struct limit *l, int64_t oldest_ms, int64_t now_ms)
{
	if (l->ops->check_stall)
		l->ops->check_stall(l, oldest_ms, now_ms);
}

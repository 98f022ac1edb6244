#include <string.h>
#include <glib.h>

#include "gate/limit.h"
#include "util/counters.h"

#define STEP_MS 50
#define CUT_MS 100
#define CUT_FACTOR 0.7
#define RECENT_WEIGHT 0.2
#define BASE_DOWN_WEIGHT 0.1
#define BASE_UP_WEIGHT 0.002
#define SLOW_FACTOR 2.5
#define SLOW_SLACK_MS 2.0
#define COLD_FACTOR 8.0
#define COLD_IN_ROW 5
#define MIN_SAMPLES 8

/* Begin cold, for a server with max slots. */
void limit_init(struct limit *l, uint32_t max, int64_t now_ms)
{
	memset(l, 0, sizeof(*l));
	l->max = max ? max : 1;
	l->now = MIN(LIMIT_COLD, l->max);
	l->next_step_ms = now_ms + STEP_MS;
}

/* Whether one more request may be started. */
bool limit_allows(struct limit *l, uint32_t in_flight)
{
	if (in_flight + 1 >= (uint32_t)l->now)
		l->was_full = true;
	return in_flight < (uint32_t)l->now;
}

static void go_cold(struct limit *l, int64_t now_ms)
{
	l->now = MIN(LIMIT_COLD, l->max);
	l->bad_in_row = 0;
	l->n_recent = 0;
	l->next_cut_ms = now_ms + CUT_MS;
	l->next_step_ms = now_ms + STEP_MS;
	l->n_cold_starts++;
	COUNT(gate_cold_starts);
}

static void cut(struct limit *l, int64_t now_ms)
{
	if (now_ms < l->next_cut_ms)
		return;
	l->now = MAX(1.0, l->now * CUT_FACTOR);
	l->next_cut_ms = now_ms + CUT_MS;
	l->next_step_ms = now_ms + 2 * STEP_MS;
}

static void bad(struct limit *l, int64_t now_ms)
{
	/*
	 * A server that turned cold without saying so answers slowly or sheds
	 * several times in a row. Small cuts would keep it under more load
	 * than it bears for too long, so begin again as after a start.
	 */
	if (++l->bad_in_row >= COLD_IN_ROW && l->now > LIMIT_COLD)
		go_cold(l, now_ms);
	else
		cut(l, now_ms);
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
	/* Growth by time, not by answers: warming up takes its time. */
	if (now_ms < l->next_step_ms || !l->was_full)
		return;
	l->was_full = false;
	l->next_step_ms = now_ms + STEP_MS;
	l->now = MIN(l->now + 1, (double)l->max);
}

/* Take in how one request went. */
void limit_done(struct limit *l, enum limit_outcome outcome, double latency_ms,
		int64_t now_ms)
{
	if (outcome != LIMIT_ANSWERED) {
		bad(l, now_ms);
		return;
	}
	if (l->base_ms > 0 && l->n_recent >= MIN_SAMPLES &&
	    latency_ms > COLD_FACTOR * l->base_ms + 10 * SLOW_SLACK_MS) {
		learn(l, latency_ms);
		bad(l, now_ms);
		return;
	}
	l->bad_in_row = 0;
	learn(l, latency_ms);
	if (l->n_recent >= MIN_SAMPLES &&
	    l->recent_ms > SLOW_FACTOR * l->base_ms + SLOW_SLACK_MS)
		cut(l, now_ms);
	else
		grow(l, now_ms);
}

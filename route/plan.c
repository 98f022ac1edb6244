#include <glib.h>

#include "route/plan.h"

/* Between rounds over the candidates for a key that is changing owners. */
#define ROUND_WAIT_MS 50
#define ROUND_WAIT_MAX_MS 400
/* When nothing is known of when there will be room or an owner. */
#define DEFAULT_RETRY_MS 200
/* A caller that returns later than this share of its time left has none. */
#define RETRY_SHARE 0.3

void plan_sent(struct plan *p)
{
	p->open++;
	p->tries++;
}

bool plan_may_reach(const struct plan *p)
{
	return p->reached + p->open < p->max_reached;
}

/*
 * Give up. "Not run" is a promise, which a caller acts on by sending the
 * request again: it must not be given when any attempt may have run.
 */
static enum plan_step give_up(const struct plan *p)
{
	return p->may_have_run ? PLAN_UNKNOWN : PLAN_REFUSE;
}

/*
 * Wait before the next round of candidates, longer each time: all that wait for
 * one lost owner would otherwise beset its successor until it may serve.
 */
static enum plan_step wait_round(struct plan *p, double jitter, int64_t now_ms)
{
	int64_t ms = MIN(ROUND_WAIT_MS << MIN(p->rounds, 8), ROUND_WAIT_MAX_MS);

	p->resume_ms = now_ms + ms + (int64_t)(jitter * ms / 2);
	if (p->resume_ms > p->hold_until_ms)
		p->resume_ms = p->hold_until_ms;
	if (p->resume_ms <= now_ms || p->tries >= PLAN_MAX_TRIES)
		return give_up(p);
	p->rounds++;
	return PLAN_WAIT;
}

enum plan_step plan_nobody(struct plan *p, double jitter, int64_t now_ms)
{
	if (p->open)
		return PLAN_PENDING;
	return wait_round(p, jitter, now_ms);
}

enum plan_step plan_resume(struct plan *p, int64_t now_ms)
{
	p->resume_ms = 0;
	if (p->open)
		return PLAN_PENDING;
	if (now_ms >= p->deadline_ms || !plan_may_reach(p))
		return give_up(p);
	return PLAN_SEND;
}

enum plan_step plan_refused(struct plan *p, bool not_owner, bool reached,
			    int64_t wait_ms, struct budget *b, double jitter,
			    int64_t now_ms)
{
	p->open--;
	p->refusals++;
	p->wait_ms = MAX(p->wait_ms, wait_ms);
	p->reached += reached;
	if (p->open)
		return PLAN_PENDING;
	if (p->tries >= PLAN_MAX_TRIES || now_ms >= p->deadline_ms ||
	    !plan_may_reach(p))
		return give_up(p);
	/* A server that turned it away has been sent it: the next is a repeat. */
	if (not_owner && p->keyed && reached && !budget_spend(b))
		return give_up(p);
	if (not_owner && p->keyed) {
		/*
		 * The key is changing owners. Asking the next candidate costs
		 * no backend server anything; a full round without one waits.
		 */
		if (p->refusals % 2)
			return PLAN_SEND;
		return wait_round(p, jitter, now_ms);
	}
	if (p->keyed || p->refusals > PLAN_MAX_OFFERS)
		return give_up(p);
	/* A second server is a repeat; another gate alone is not. */
	if (reached && !budget_spend(b))
		return give_up(p);
	return PLAN_SEND;
}

enum plan_step plan_failed(struct plan *p, struct budget *b, int64_t now_ms)
{
	p->open--;
	p->reached++;
	p->may_have_run = true;
	if (p->open)
		return PLAN_PENDING;
	if (!p->repeatable || p->tries >= PLAN_MAX_TRIES ||
	    now_ms >= p->deadline_ms || !plan_may_reach(p) || !budget_spend(b))
		return PLAN_UNKNOWN;
	return PLAN_SEND;
}

int64_t plan_retry_after_ms(const struct plan *p, double jitter, int64_t now_ms)
{
	int64_t wait = p->wait_ms ? p->wait_ms : DEFAULT_RETRY_MS;
	int64_t most = (int64_t)((p->deadline_ms - now_ms) * RETRY_SHARE);

	/* Callers refused together would bring the overload back together. */
	wait += (int64_t)(jitter * wait);
	return MAX(MIN(wait, most), 1);
}

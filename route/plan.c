#include <glib.h>

#include "route/plan.h"
#include "util/result.h"

/* Between rounds over the candidates for a key that is changing owners. */
#define ROUND_WAIT_MS 50
#define ROUND_WAIT_MAX_MS 400
/* When nothing is known of when there will be room or an owner. */
#define DEFAULT_RETRY_MS 200
/* A caller that returns later than this share of its time left has none. */
#define RETRY_SHARE 0.3
/* Gates without a key that cannot be reached, tried in a row. */
#define UNSENT_ROUND 4

/* Where an event takes an attempt. */
struct move {
	enum attempt_state to;
	bool open;
};

/* Nothing more can become known of an attempt that is at its end. */
static const struct move moves[ATTEMPT_N_EVENTS][ATTEMPT_N_STATES] = {
	[ATTEMPT_EVENT_LEFT] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_SENT, true },
		[ATTEMPT_SENT] = { ATTEMPT_SENT, true },
	},
	/* Too late for one that has left. */
	[ATTEMPT_EVENT_WITHDRAWN] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_NOT_SENT, false },
		[ATTEMPT_SENT] = { ATTEMPT_SENT, true },
	},
	[ATTEMPT_EVENT_REFUSED] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_NOT_BEGUN, false },
		[ATTEMPT_SENT] = { ATTEMPT_NOT_BEGUN, false },
	},
	[ATTEMPT_EVENT_TURNED_AWAY] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_NOT_BEGUN, false },
		[ATTEMPT_SENT] = { ATTEMPT_NOT_BEGUN, false },
	},
	[ATTEMPT_EVENT_CUT] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_BEGUN, false },
		[ATTEMPT_SENT] = { ATTEMPT_BEGUN, false },
	},
	[ATTEMPT_EVENT_LATE] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_BEGUN, false },
		[ATTEMPT_SENT] = { ATTEMPT_BEGUN, false },
	},
	[ATTEMPT_EVENT_IN_DOUBT] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_UNKNOWN, false },
		[ATTEMPT_SENT] = { ATTEMPT_UNKNOWN, false },
	},
	[ATTEMPT_EVENT_MIXED] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_BEGUN, false },
		[ATTEMPT_SENT] = { ATTEMPT_BEGUN, false },
	},
	[ATTEMPT_EVENT_LEASE_OVER] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_NOT_SENT, false },
		[ATTEMPT_SENT] = { ATTEMPT_SENT, true },
	},
	[ATTEMPT_EVENT_SUPERSEDED] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_NOT_SENT, false },
		[ATTEMPT_SENT] = { ATTEMPT_UNKNOWN, false },
	},
	[ATTEMPT_EVENT_TIMEOUT] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_NOT_SENT, false },
		[ATTEMPT_SENT] = { ATTEMPT_UNKNOWN, false },
	},
	[ATTEMPT_EVENT_STOPPING] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_NOT_SENT, false },
		[ATTEMPT_SENT] = { ATTEMPT_UNKNOWN, false },
	},
	[ATTEMPT_EVENT_ANSWERED] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_ANSWERED, false },
		[ATTEMPT_SENT] = { ATTEMPT_ANSWERED, false },
	},
};

int plan_begin(struct plan *p)
{
	if (p->tries >= PLAN_MAX_TRIES)
		return RESULT_OVERLOAD;
	p->attempts[p->tries] = (struct plan_attempt){ .open = true };
	return (int)p->tries++;
}

void plan_event(struct plan *p, uint32_t attempt, enum attempt_event e)
{
	struct plan_attempt *a = &p->attempts[attempt];
	const struct move *m;

	if (!a->open)
		return;
	m = &moves[e][a->state];
	if (m->to != a->state || !m->open)
		a->last = e;
	a->state = m->to;
	a->open = m->open;
	a->turned_away = e == ATTEMPT_EVENT_TURNED_AWAY;
	a->lease_over = a->lease_over || e == ATTEMPT_EVENT_LEASE_OVER;
}

/*
 * "Not run" is a promise, which a caller acts on by sending the request again:
 * it must not be given when any attempt may have run, or still may.
 */
static bool may_have_run(const struct plan_attempt *a)
{
	return a->state == ATTEMPT_SENT || a->state == ATTEMPT_BEGUN ||
	       a->state == ATTEMPT_UNKNOWN;
}

const struct plan_attempt *plan_in_doubt(const struct plan *p)
{
	uint32_t i;

	for (i = 0; i < p->tries; i++)
		if (may_have_run(&p->attempts[i]))
			return &p->attempts[i];
	return NULL;
}

enum plan_outcome plan_outcome(const struct plan *p)
{
	uint32_t i;

	for (i = 0; i < p->tries; i++)
		if (p->attempts[i].state == ATTEMPT_ANSWERED)
			return PLAN_ANSWERED;
	return plan_in_doubt(p) ? PLAN_MAY_HAVE_RUN : PLAN_NOT_RUN;
}

enum plan_cause plan_cause(const struct plan_attempt *a)
{
	switch (a->last) {
	case ATTEMPT_EVENT_SUPERSEDED:
		return PLAN_CAUSE_gate_gone;
	case ATTEMPT_EVENT_STOPPING:
		return PLAN_CAUSE_stopping;
	case ATTEMPT_EVENT_IN_DOUBT:
		return PLAN_CAUSE_id_in_doubt;
	case ATTEMPT_EVENT_LATE:
		return PLAN_CAUSE_server_late;
	case ATTEMPT_EVENT_CUT:
		return PLAN_CAUSE_cut;
	case ATTEMPT_EVENT_MIXED:
		return PLAN_CAUSE_mixed;
	default:
		return a->lease_over ? PLAN_CAUSE_lease_over
				     : PLAN_CAUSE_no_word;
	}
}

const char *plan_cause_text(enum plan_cause c)
{
	static const char *const texts[] = {
#define PLAN_CAUSE_TEXT(name, text) text,
		PLAN_CAUSE_LIST(PLAN_CAUSE_TEXT)
#undef PLAN_CAUSE_TEXT
	};

	return texts[c];
}

uint32_t plan_n_open(const struct plan *p)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < p->tries; i++)
		n += p->attempts[i].open;
	return n;
}

uint32_t plan_n_reached(const struct plan *p)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < p->tries; i++) {
		const struct plan_attempt *a = &p->attempts[i];

		n += !a->open && (may_have_run(a) || a->turned_away);
	}
	return n;
}

bool plan_may_reach(const struct plan *p)
{
	return plan_n_reached(p) + plan_n_open(p) < p->max_reached;
}

static enum plan_step give_up(const struct plan *p)
{
	return plan_outcome(p) == PLAN_NOT_RUN ? PLAN_REFUSE : PLAN_UNKNOWN;
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
	if (plan_n_open(p))
		return PLAN_PENDING;
	return wait_round(p, jitter, now_ms);
}

enum plan_step plan_resume(struct plan *p, int64_t now_ms)
{
	p->resume_ms = 0;
	if (plan_n_open(p))
		return PLAN_PENDING;
	if (now_ms >= p->deadline_ms || !plan_may_reach(p))
		return give_up(p);
	return PLAN_SEND;
}

enum plan_step plan_refused(struct plan *p, uint32_t attempt, bool not_owner,
			    bool reached, int64_t wait_ms, struct budget *b,
			    double jitter, int64_t now_ms)
{
	plan_event(p, attempt,
		   reached ? ATTEMPT_EVENT_TURNED_AWAY : ATTEMPT_EVENT_REFUSED);
	p->refusals++;
	p->wait_ms = MAX(p->wait_ms, wait_ms);
	if (plan_n_open(p))
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

/* No gate got it: the next may, and that is no repeat. */
static enum plan_step not_sent(struct plan *p, double jitter, int64_t now_ms)
{
	p->unsent++;
	p->refusals += p->keyed;
	if (plan_n_open(p))
		return PLAN_PENDING;
	if (p->tries >= PLAN_MAX_TRIES || now_ms >= p->deadline_ms ||
	    !plan_may_reach(p))
		return give_up(p);
	/* All of them out of reach is a moment to wait. */
	if (p->keyed ? p->refusals % 2 : p->unsent % UNSENT_ROUND)
		return PLAN_SEND;
	return wait_round(p, jitter, now_ms);
}

enum plan_step plan_ended(struct plan *p, uint32_t attempt,
			  enum attempt_event why, struct budget *b,
			  double jitter, int64_t now_ms)
{
	plan_event(p, attempt, why);
	if (p->attempts[attempt].state == ATTEMPT_NOT_SENT)
		return not_sent(p, jitter, now_ms);
	if (plan_n_open(p))
		return PLAN_PENDING;
	if (!p->repeatable || p->tries >= PLAN_MAX_TRIES ||
	    now_ms >= p->deadline_ms || !plan_may_reach(p) || !budget_spend(b))
		return give_up(p);
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

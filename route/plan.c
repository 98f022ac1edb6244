#include <glib.h>

#include "route/plan.h"
#include "util/result.h"

#ifdef RULE_SWITCHES
uint32_t plan_disabled_rules;
#define rule_enabled(rule) (!(plan_disabled_rules & (rule)))
#else
#define rule_enabled(rule) true
#endif

/* First and longest wait between rounds over all candidates. */
#define ROUND_WAIT_MS 50
#define ROUND_WAIT_MAX_MS 400
/* Retry-After when no refusing gate asked for a wait. */
#define DEFAULT_RETRY_MS 200
/*
 * Largest share of the time to the deadline that a refused caller is asked to
 * wait before its retry; after a longer wait too little time would be left for
 * its retry.
 */
#define RETRY_SHARE 0.3
/*
 * A request without a key waits each time that this many attempts could not be
 * sent.
 */
#define UNSENT_PER_ROUND 4

/* The state of an attempt after an event. */
struct transition {
	enum attempt_state to;
	bool open;
};

/*
 * Only for the states in which an attempt can be open; plan_attempt_event()
 * ignores the events of a closed attempt.
 */
static const struct transition transitions[ATTEMPT_N_EVENTS][ATTEMPT_N_STATES] = {
	[ATTEMPT_EVENT_SENT] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_SENT, true },
		[ATTEMPT_SENT] = { ATTEMPT_SENT, true },
	},
	/* An attempt that has been sent stays open. */
	[ATTEMPT_EVENT_UNSENT] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_NOT_SENT, false },
		[ATTEMPT_SENT] = { ATTEMPT_SENT, true },
	},
	[ATTEMPT_EVENT_REFUSED] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_NOT_RUN, false },
		[ATTEMPT_SENT] = { ATTEMPT_NOT_RUN, false },
	},
	[ATTEMPT_EVENT_SERVER_REFUSED] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_NOT_RUN, false },
		[ATTEMPT_SENT] = { ATTEMPT_NOT_RUN, false },
	},
	[ATTEMPT_EVENT_ANSWER_LOST] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_STARTED, false },
		[ATTEMPT_SENT] = { ATTEMPT_STARTED, false },
	},
	[ATTEMPT_EVENT_SERVER_LATE] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_STARTED, false },
		[ATTEMPT_SENT] = { ATTEMPT_STARTED, false },
	},
	[ATTEMPT_EVENT_IN_DOUBT] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_UNKNOWN, false },
		[ATTEMPT_SENT] = { ATTEMPT_UNKNOWN, false },
	},
	[ATTEMPT_EVENT_INVALID_ANSWER] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_STARTED, false },
		[ATTEMPT_SENT] = { ATTEMPT_STARTED, false },
	},
	[ATTEMPT_EVENT_NEVER_READ] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_NOT_RUN, false },
		[ATTEMPT_SENT] = { ATTEMPT_NOT_RUN, false },
	},
	[ATTEMPT_EVENT_LINK_LOST] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_UNKNOWN, false },
		[ATTEMPT_SENT] = { ATTEMPT_UNKNOWN, false },
	},
	[ATTEMPT_EVENT_LEASE_OVER] = {
		[ATTEMPT_NOT_SENT] = { ATTEMPT_NOT_SENT, false },
		[ATTEMPT_SENT] = { ATTEMPT_SENT, true },
	},
	[ATTEMPT_EVENT_PROCESS_ENDED] = {
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

int plan_add_attempt(struct plan *p)
{
	if (p->tries >= PLAN_MAX_TRIES)
		return RESULT_OVERLOAD;
	p->attempts[p->tries] = (struct plan_attempt){ .open = true };
	return (int)p->tries++;
}

void plan_attempt_event(struct plan *p, uint32_t attempt, enum attempt_event e)
{
	struct plan_attempt *a = &p->attempts[attempt];
	const struct transition *t;

	if (!a->open)
		return;
	t = &transitions[e][a->state];
	if (t->to != a->state || !t->open)
		a->last_event = e;
	a->state = t->to;
	a->open = t->open;
	a->server_refused = e == ATTEMPT_EVENT_SERVER_REFUSED;
	a->lease_over = a->lease_over || e == ATTEMPT_EVENT_LEASE_OVER;
}

/*
 * A caller that receives "not run" sends the request again. The answer must
 * therefore not be "not run" while any attempt may have run or may still run.
 */
static bool may_have_run(const struct plan_attempt *a)
{
	return a->state == ATTEMPT_SENT || a->state == ATTEMPT_STARTED ||
	       a->state == ATTEMPT_UNKNOWN;
}

bool plan_server_may_have_it(const struct plan *p, uint64_t gate)
{
	uint32_t i;

	if (!rule_enabled(PLAN_RULE_OTHER_CONNECTION))
		return false;
	for (i = 0; i < p->tries; i++) {
		const struct plan_attempt *a = &p->attempts[i];

		if (a->gate == gate && (a->server_refused || may_have_run(a)))
			return true;
	}
	return false;
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
	switch (a->last_event) {
	case ATTEMPT_EVENT_PROCESS_ENDED:
		return PLAN_CAUSE_gate_gone;
	case ATTEMPT_EVENT_STOPPING:
		return PLAN_CAUSE_stopping;
	case ATTEMPT_EVENT_IN_DOUBT:
		return PLAN_CAUSE_id_in_doubt;
	case ATTEMPT_EVENT_SERVER_LATE:
		return PLAN_CAUSE_server_late;
	case ATTEMPT_EVENT_ANSWER_LOST:
		return PLAN_CAUSE_cut;
	case ATTEMPT_EVENT_INVALID_ANSWER:
		return PLAN_CAUSE_mixed;
	case ATTEMPT_EVENT_LINK_LOST:
		return PLAN_CAUSE_link_lost;
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

uint32_t plan_n_servers_reached(const struct plan *p)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < p->tries; i++) {
		const struct plan_attempt *a = &p->attempts[i];

		n += !a->open && (may_have_run(a) || a->server_refused);
	}
	return n;
}

bool plan_may_reach_server(const struct plan *p)
{
	return plan_n_servers_reached(p) + plan_n_open(p) < p->max_servers;
}

/* The step that gives the caller a final answer. */
static enum plan_step final_step(const struct plan *p)
{
	return plan_outcome(p) == PLAN_NOT_RUN ? PLAN_REFUSE : PLAN_UNKNOWN;
}

/*
 * Waits before the next round of candidates, longer each time. Otherwise all
 * requests that wait for one lost owner would be sent to its successor again
 * and again until the successor may serve the key.
 */
static enum plan_step wait_round(struct plan *p, double jitter, int64_t now_ms)
{
	int64_t ms = MIN(ROUND_WAIT_MS << MIN(p->rounds, 8), ROUND_WAIT_MAX_MS);

	p->resume_at_ms = now_ms + ms + (int64_t)(jitter * ms / 2);
	if (p->resume_at_ms > p->hold_until_ms)
		p->resume_at_ms = p->hold_until_ms;
	if (p->resume_at_ms <= now_ms || p->tries >= PLAN_MAX_TRIES)
		return final_step(p);
	p->rounds++;
	return PLAN_WAIT;
}

enum plan_step plan_no_candidate(struct plan *p, double jitter, int64_t now_ms)
{
	if (plan_n_open(p))
		return PLAN_PENDING;
	return wait_round(p, jitter, now_ms);
}

enum plan_step plan_resume(struct plan *p, int64_t now_ms)
{
	p->resume_at_ms = 0;
	if (plan_n_open(p))
		return PLAN_PENDING;
	if (now_ms >= p->deadline_ms || !plan_may_reach_server(p))
		return final_step(p);
	return PLAN_SEND;
}

enum plan_step plan_refused(struct plan *p, uint32_t attempt, bool not_owner,
			    bool server_refused, int64_t wait_ms,
			    struct retry_budget *b, double jitter,
			    int64_t now_ms)
{
	plan_attempt_event(p, attempt,
			   server_refused ? ATTEMPT_EVENT_SERVER_REFUSED
					  : ATTEMPT_EVENT_REFUSED);
	p->refusals++;
	p->wait_ms = MAX(p->wait_ms, wait_ms);
	if (plan_n_open(p))
		return PLAN_PENDING;
	if (p->tries >= PLAN_MAX_TRIES || now_ms >= p->deadline_ms ||
	    !plan_may_reach_server(p))
		return final_step(p);
	/* The server had received the request, so the next attempt is a retry. */
	if (not_owner && p->keyed && server_refused &&
	    !retry_budget_withdraw(b))
		return final_step(p);
	if (not_owner && p->keyed) {
		/*
		 * The key is changing owners. An attempt at the next candidate
		 * costs no backend server anything. After every second refusal,
		 * a full round, the request waits.
		 */
		if (p->refusals % 2)
			return PLAN_SEND;
		return wait_round(p, jitter, now_ms);
	}
	if (p->keyed || p->refusals > PLAN_MAX_LOAD_REFUSALS)
		return final_step(p);
	/* Only an attempt after one that reached a server is a retry. */
	if (server_refused && !retry_budget_withdraw(b))
		return final_step(p);
	return PLAN_SEND;
}

enum plan_step plan_refused_by_all(struct plan *p, uint32_t attempt,
				   int64_t wait_ms)
{
	plan_attempt_event(p, attempt, ATTEMPT_EVENT_REFUSED);
	p->wait_ms = MAX(p->wait_ms, wait_ms);
	return plan_n_open(p) ? PLAN_PENDING : final_step(p);
}

/* The attempt was not sent, or not read: another attempt is not a retry. */
static enum plan_step not_sent(struct plan *p, double jitter, int64_t now_ms)
{
	p->n_unsent++;
	p->refusals += p->keyed;
	if (plan_n_open(p))
		return PLAN_PENDING;
	if (p->tries >= PLAN_MAX_TRIES || now_ms >= p->deadline_ms ||
	    !plan_may_reach_server(p))
		return final_step(p);
	/* Wait when all candidates of a round were unreachable. */
	if (p->keyed ? p->refusals % 2 : p->n_unsent % UNSENT_PER_ROUND)
		return PLAN_SEND;
	return wait_round(p, jitter, now_ms);
}

enum plan_step plan_attempt_ended(struct plan *p, uint32_t attempt,
				  enum attempt_event why,
				  struct retry_budget *b, double jitter,
				  int64_t now_ms)
{
	plan_attempt_event(p, attempt, why);
	if (p->attempts[attempt].state == ATTEMPT_NOT_SENT ||
	    why == ATTEMPT_EVENT_NEVER_READ)
		return not_sent(p, jitter, now_ms);
	if (plan_n_open(p))
		return PLAN_PENDING;
	if (!p->repeatable || p->tries >= PLAN_MAX_TRIES ||
	    now_ms >= p->deadline_ms || !plan_may_reach_server(p) ||
	    !retry_budget_withdraw(b))
		return final_step(p);
	return PLAN_SEND;
}

int64_t plan_retry_after_ms(const struct plan *p, double jitter, int64_t now_ms)
{
	int64_t wait = p->wait_ms ? p->wait_ms : DEFAULT_RETRY_MS;
	int64_t most = (int64_t)((p->deadline_ms - now_ms) * RETRY_SHARE);

	/*
	 * Callers that are refused at the same time must not retry at the same
	 * time, which would bring the overload back.
	 */
	wait += (int64_t)(jitter * wait);
	return MAX(MIN(wait, most), 1);
}

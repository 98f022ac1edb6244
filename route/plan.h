#ifndef ROUTE_PLAN_H
#define ROUTE_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "route/budget.h"

/*
 * What to do next about one request: ask a gate, wait a moment, or give the
 * caller its final answer. A state machine without network or clock; the entry
 * tells it what happened and when.
 */

enum plan_step {
	PLAN_SEND, /* ask a gate now */
	PLAN_WAIT, /* look again at resume_ms */
	PLAN_PENDING, /* another attempt is still open: nothing to do */
	PLAN_REFUSE, /* final: it did not run and never will */
	PLAN_UNKNOWN, /* final: it may have run */
};

struct plan {
	bool repeatable;
	bool keyed; /* only the owner of its shard can serve it */
	int64_t received_ms;
	int64_t deadline_ms;
	/*
	 * Until then it may be held while nobody is there to take it. Holding
	 * it longer in the hope of an owner keeps the caller from a refusal
	 * that would let it come back when there is one.
	 */
	int64_t hold_until_ms;
	uint32_t max_reached; /* most backend servers it may reach */
	uint32_t reached; /* those it reached, or may have */
	bool may_have_run; /* one of them ended without a word */
	uint32_t open; /* attempts without an answer */
	uint32_t tries; /* gates asked */
	uint32_t rounds; /* of all candidates, without one that serves */
	uint32_t refusals;
	int64_t wait_ms; /* longest wait that a refusing gate asked for */
	int64_t resume_ms; /* after PLAN_WAIT */
};

/* Most gates that one request is offered to; each costs a message both ways. */
#define PLAN_MAX_TRIES 24
/* Gates without a key tried after one refused for load. */
#define PLAN_MAX_OFFERS 2

/* An attempt goes out. */
void plan_sent(struct plan *p);

/* Nobody is known who could take it. jitter: from 0 to 1, drawn anew. */
enum plan_step plan_nobody(struct plan *p, double jitter, int64_t now_ms);

/*
 * A gate refused: for load, or because it does not serve the key (not_owner).
 * reached: the backend server had got it and turned it away.
 */
enum plan_step plan_refused(struct plan *p, bool not_owner, bool reached,
			    int64_t wait_ms, struct budget *b, double jitter,
			    int64_t now_ms);

/* An attempt ended with nothing known of it, or was given up as silent. */
enum plan_step plan_failed(struct plan *p, struct budget *b, int64_t now_ms);

/* It waited until resume_ms. */
enum plan_step plan_resume(struct plan *p, int64_t now_ms);

/* Whether one more backend server may be reached beside those so far. */
bool plan_may_reach(const struct plan *p);

/* When a refused caller should come back, milliseconds from now. */
int64_t plan_retry_after_ms(const struct plan *p, double jitter,
			    int64_t now_ms);

#endif

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
	PLAN_WAIT, /* look again at resume_at_ms */
	PLAN_PENDING, /* another attempt is still open: nothing to do */
	PLAN_REFUSE, /* final: it did not run and never will */
	PLAN_UNKNOWN, /* final: it may have run */
};

/* What is known of one attempt at one gate. */
enum attempt_state {
	ATTEMPT_NOT_SENT, /* no byte of it has left this process */
	ATTEMPT_SENT, /* it has left, and the gate has said nothing */
	ATTEMPT_NOT_RUN, /* the gate's or the server's word: not run */
	ATTEMPT_STARTED, /* the gate's word: a server has got it */
	ATTEMPT_UNKNOWN, /* given up, and it may have run */
	ATTEMPT_ANSWERED,
	ATTEMPT_N_STATES,
};

/* What can happen to an attempt. */
enum attempt_event {
	/* The link took it. */
	ATTEMPT_EVENT_SENT,
	/* The link was down or its queue full, or it was taken back in time. */
	ATTEMPT_EVENT_UNSENT,
	/*
	 * The gate's word that it has not begun it and will not: it refuses it,
	 * or stops, or has taken it back as it was asked to.
	 */
	ATTEMPT_EVENT_REFUSED,
	/* The server's word that it turned it away. */
	ATTEMPT_EVENT_SERVER_REFUSED,
	/* The gate's word that a server has it and no whole answer will come. */
	ATTEMPT_EVENT_CUT,
	/* The same, as the server was still at work when its time was up. */
	ATTEMPT_EVENT_SERVER_LATE,
	/* The gate cannot tell what an earlier sending of its id has done. */
	ATTEMPT_EVENT_IN_DOUBT,
	/* An answer that is not whole, or not its own. */
	ATTEMPT_EVENT_MIXED,
	/* The gate's lease is over; it may yet end what it has begun. */
	ATTEMPT_EVENT_LEASE_OVER,
	/* By the log the gate's process is gone. */
	ATTEMPT_EVENT_SUPERSEDED,
	/* No word within the caller's time. */
	ATTEMPT_EVENT_TIMEOUT,
	/* This process ends. */
	ATTEMPT_EVENT_STOPPING,
	ATTEMPT_EVENT_ANSWERED,
	ATTEMPT_N_EVENTS,
};

/* Why "not run" cannot be said. */
#define PLAN_CAUSE_LIST(X)                                               \
	X(no_word, "sent, and no word from the gate in time")            \
	X(lease_over, "sent, and the gate's lease ended without a word") \
	X(gate_gone, "sent, and the gate's process is gone")             \
	X(stopping, "sent, and this node stops")                         \
	X(id_in_doubt, "its id may have run before")                     \
	X(server_late, "begun, and the server was not done in time")     \
	X(cut, "begun, and the answer was cut")                          \
	X(mixed, "begun, and the answer was not whole or not its own")

enum plan_cause {
#define PLAN_CAUSE_ENUM(name, text) PLAN_CAUSE_##name,
	PLAN_CAUSE_LIST(PLAN_CAUSE_ENUM)
#undef PLAN_CAUSE_ENUM
	PLAN_N_CAUSES
};

/* What the caller is to be told, by what is known of all attempts. */
enum plan_outcome {
	PLAN_NOT_RUN,
	PLAN_MAY_HAVE_RUN,
	PLAN_ANSWERED,
};

/* Most gates that one request is offered to; each costs a message both ways. */
#define PLAN_MAX_TRIES 24
/* Gates without a key tried after one refused for load. */
#define PLAN_MAX_LOAD_REFUSALS 2

struct plan_attempt {
	enum attempt_state state;
	enum attempt_event last_event; /* that moved it */
	bool open; /* more may become known of it */
	bool server_refused; /* by a server that had got it */
	bool lease_over; /* its gate's, while it was open */
};

struct plan {
	bool repeatable;
	bool keyed; /* only the owner of its shard can serve it */
	int64_t received_at_ms;
	int64_t deadline_ms;
	/*
	 * Until then it may be held while nobody is there to take it. Holding
	 * it longer in the hope of an owner keeps the caller from a refusal
	 * that would let it come back when there is one.
	 */
	int64_t hold_until_ms;
	uint32_t max_servers; /* most backend servers it may reach */
	uint32_t tries; /* gates asked */
	struct plan_attempt attempts[PLAN_MAX_TRIES];
	uint32_t rounds; /* of all candidates, without one that serves */
	uint32_t refusals;
	uint32_t n_unsent; /* attempts that no gate could get */
	int64_t wait_ms; /* longest wait that a refusing gate asked for */
	int64_t resume_at_ms; /* after PLAN_WAIT */
};

/* A new attempt, not sent yet: its number, or RESULT_OVERLOAD. */
int plan_add_attempt(struct plan *p);

/* Something happened to an attempt, and nothing is to be decided. */
void plan_attempt_event(struct plan *p, uint32_t attempt, enum attempt_event e);

/* What the attempts so far allow to be said. */
enum plan_outcome plan_outcome(const struct plan *p);

/* The attempt for which "not run" may not be said, NULL when it may. */
const struct plan_attempt *plan_in_doubt(const struct plan *p);

/* Of an attempt for which "not run" may not be said. */
enum plan_cause plan_cause(const struct plan_attempt *a);
const char *plan_cause_text(enum plan_cause c);

/* Attempts of which more may become known. */
uint32_t plan_n_open(const struct plan *p);

/* Backend servers that it reached, or may have. */
uint32_t plan_n_servers_reached(const struct plan *p);

/* Nobody is known who could take it. jitter: from 0 to 1, drawn anew. */
enum plan_step plan_no_candidate(struct plan *p, double jitter, int64_t now_ms);

/*
 * A gate refused: for load, or because it does not serve the key (not_owner).
 * reached: the backend server had got it and turned it away.
 */
enum plan_step plan_refused(struct plan *p, uint32_t attempt, bool not_owner,
			    bool server_refused, int64_t wait_ms,
			    struct retry_budget *b, double jitter,
			    int64_t now_ms);

/* An attempt ended otherwise, or was given up. */
enum plan_step plan_attempt_ended(struct plan *p, uint32_t attempt,
				  enum attempt_event why,
				  struct retry_budget *b, double jitter,
				  int64_t now_ms);

/* It waited until resume_at_ms. */
enum plan_step plan_resume(struct plan *p, int64_t now_ms);

/* Whether one more backend server may be reached beside those so far. */
bool plan_may_reach_server(const struct plan *p);

/* When a refused caller should come back, milliseconds from now. */
int64_t plan_retry_after_ms(const struct plan *p, double jitter,
			    int64_t now_ms);

#endif

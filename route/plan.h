#ifndef ROUTE_PLAN_H
#define ROUTE_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "route/budget.h"

/*
 * Decides the next step of one request: send it to a gate, wait, or give the
 * caller a final answer. A state machine without network or clock; the entry
 * passes in the events and their times.
 */

enum plan_step {
	PLAN_SEND, /* send the request to a gate now */
	PLAN_WAIT, /* call plan_resume() at resume_at_ms */
	PLAN_PENDING, /* wait for another attempt that is still open */
	PLAN_REFUSE, /* final: the request did not run and will not run */
	PLAN_UNKNOWN, /* final: the request may have run */
};

/* What is known of one attempt, i.e. of sending the request to one gate. */
enum attempt_state {
	ATTEMPT_NOT_SENT, /* no byte of it has been sent */
	ATTEMPT_SENT, /* sent, and nothing received from the gate */
	ATTEMPT_NOT_RUN, /* the gate or the server reported: not run */
	ATTEMPT_STARTED, /* the gate reported: handed to a server */
	ATTEMPT_UNKNOWN, /* given up after sending; it may have run */
	ATTEMPT_ANSWERED,
	ATTEMPT_N_STATES,
};

enum attempt_event {
	/* The link to the gate has taken the request. */
	ATTEMPT_EVENT_SENT,
	/*
	 * It was not sent: the link was down, its queue was full, or the
	 * attempt was cancelled before.
	 */
	ATTEMPT_EVENT_UNSENT,
	/*
	 * The gate reports that it has not started the request and will not: it
	 * refuses it, is stopping, or has cancelled it at this entry's request.
	 */
	ATTEMPT_EVENT_REFUSED,
	/* The backend server reports that it refused the request. */
	ATTEMPT_EVENT_SERVER_REFUSED,
	/*
	 * The gate reports that the request was handed to the backend server
	 * and that no complete answer will follow.
	 */
	ATTEMPT_EVENT_ANSWER_LOST,
	/*
	 * The gate reports that the request was handed to the backend server,
	 * which had not finished it at the request's deadline.
	 */
	ATTEMPT_EVENT_SERVER_LATE,
	/*
	 * The gate does not know whether an earlier request with this id has
	 * run.
	 */
	ATTEMPT_EVENT_IN_DOUBT,
	/* The answer is incomplete or belongs to another request. */
	ATTEMPT_EVENT_INVALID_ANSWER,
	/*
	 * The gate reports that it never read the request, whose connection was
	 * lost, and will not start it.
	 */
	ATTEMPT_EVENT_NEVER_READ,
	/*
	 * The gate reports that it may have started the request, whose
	 * connection was lost, and has no answer to it.
	 */
	ATTEMPT_EVENT_LINK_LOST,
	/* The gate's lease is over; it may still finish started requests. */
	ATTEMPT_EVENT_LEASE_OVER,
	/* The log has removed the gate's member, and its process has ended. */
	ATTEMPT_EVENT_PROCESS_ENDED,
	/* Nothing was received from the gate by the caller's deadline. */
	ATTEMPT_EVENT_TIMEOUT,
	/* This process is stopping. */
	ATTEMPT_EVENT_STOPPING,
	ATTEMPT_EVENT_ANSWERED,
	ATTEMPT_N_EVENTS,
};

/* Why the final answer cannot be "not run". */
#define PLAN_CAUSE_LIST(X)                                               \
	X(no_word, "sent, and no word from the gate in time")            \
	X(lease_over, "sent, and the gate's lease ended without a word") \
	X(gate_gone, "sent, and the gate's process is gone")             \
	X(stopping, "sent, and this node stops")                         \
	X(id_in_doubt, "its id may have run before")                     \
	X(server_late, "begun, and the server was not done in time")     \
	X(cut, "begun, and the answer was cut")                          \
	X(link_lost, "sent, and lost with its connection")               \
	X(mixed, "begun, and the answer was not whole or not its own")

enum plan_cause {
#define PLAN_CAUSE_ENUM(name, text) PLAN_CAUSE_##name,
	PLAN_CAUSE_LIST(PLAN_CAUSE_ENUM)
#undef PLAN_CAUSE_ENUM
	PLAN_N_CAUSES
};

/* The final answer to the caller, from the states of all attempts. */
enum plan_outcome {
	PLAN_NOT_RUN,
	PLAN_MAY_HAVE_RUN,
	PLAN_ANSWERED,
};

/* Most gates that one request is sent to; each costs a message each way. */
#define PLAN_MAX_TRIES 24
/*
 * A request without a key is given up after more refusals for load than this;
 * until then another gate is tried, within the other limits.
 */
#define PLAN_MAX_LOAD_REFUSALS 2

struct plan_attempt {
	uint64_t gate; /* hash of its gate's address, set by the caller */
	enum attempt_state state;
	enum attempt_event last_event; /* that changed its state */
	bool open; /* later events can still change its state */
	bool server_refused; /* the backend server received and refused it */
	bool lease_over; /* the gate's lease ended while it was open */
};

struct plan {
	bool repeatable;
	bool keyed; /* only the owner of its shard can serve it */
	int64_t received_at_ms;
	int64_t deadline_ms;
	/*
	 * Until then the request may wait while no gate can serve it. Beyond
	 * that a refusal is better for the caller: it can send the request
	 * again when the key has an owner.
	 */
	int64_t hold_until_ms;
	uint32_t max_servers; /* most backend servers that it may reach */
	uint32_t tries; /* attempts so far */
	struct plan_attempt attempts[PLAN_MAX_TRIES];
	uint32_t rounds; /* waits so far, each after trying all candidates */
	uint32_t refusals;
	uint32_t n_unsent; /* attempts that could not be sent */
	int64_t wait_ms; /* longest wait that a refusing gate asked for */
	int64_t resume_at_ms; /* after PLAN_WAIT: when to go on */
};

/*
 * Adds an attempt, not sent yet. Returns its number, or RESULT_OVERLOAD after
 * PLAN_MAX_TRIES attempts.
 */
int plan_add_attempt(struct plan *p);

/* Records an event of an attempt that needs no decision. */
void plan_attempt_event(struct plan *p, uint32_t attempt, enum attempt_event e);

/* The answer that the states of the attempts allow. */
enum plan_outcome plan_outcome(const struct plan *p);

/* The first attempt that may have run, NULL when none may. */
const struct plan_attempt *plan_in_doubt(const struct plan *p);

/* Why an attempt returned by plan_in_doubt() may have run. */
enum plan_cause plan_cause(const struct plan_attempt *a);
const char *plan_cause_text(enum plan_cause c);

/*
 * Whether an earlier attempt has been handed to the backend server of a gate,
 * or may have been. All attempts carry the caller's id, so that the server's
 * answers to them can be told apart by the connection only: the next one must
 * not be sent on a connection that an earlier one was sent on.
 */
bool plan_server_may_have_it(const struct plan *p, uint64_t gate);

/* Number of attempts that are open. */
uint32_t plan_n_open(const struct plan *p);

/* Number of closed attempts that reached a backend server, or may have. */
uint32_t plan_n_servers_reached(const struct plan *p);

/*
 * No gate is known that could serve the request. jitter here and below is a
 * random number in [0, 1), a new one for each call.
 */
enum plan_step plan_no_candidate(struct plan *p, double jitter, int64_t now_ms);

/*
 * A gate refused an attempt: because of load, or because it does not serve the
 * key (not_owner). server_refused: the backend server received the request and
 * refused it. wait_ms is how long the gate asked to wait before a retry.
 */
enum plan_step plan_refused(struct plan *p, uint32_t attempt, bool not_owner,
			    bool server_refused, int64_t wait_ms,
			    struct retry_budget *b, double jitter,
			    int64_t now_ms);

/* A gate refused an attempt, and so would every other gate. */
enum plan_step plan_refused_by_all(struct plan *p, uint32_t attempt,
				   int64_t wait_ms);

/* An attempt ended by another event than a refusal. */
enum plan_step plan_attempt_ended(struct plan *p, uint32_t attempt,
				  enum attempt_event why,
				  struct retry_budget *b, double jitter,
				  int64_t now_ms);

/* The time resume_at_ms has come. */
enum plan_step plan_resume(struct plan *p, int64_t now_ms);

/* Whether one more attempt may reach a backend server. */
bool plan_may_reach_server(const struct plan *p);

/*
 * The rules, one bit each. The randomised test builds plan.c with RULE_SWITCHES
 * and disables each in turn to check that the test detects the violation.
 */
enum plan_rule {
	PLAN_RULE_OTHER_CONNECTION = 1 << 0, /* plan_server_may_have_it() */
};

/* Tests only: the rules disabled. Defined when built with RULE_SWITCHES. */
extern uint32_t plan_disabled_rules;

/* Milliseconds after which a refused caller should send the request again. */
int64_t plan_retry_after_ms(const struct plan *p, double jitter,
			    int64_t now_ms);

#endif

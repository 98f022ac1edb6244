#ifndef NODE_ENTRY_REQUEST_H
#define NODE_ENTRY_REQUEST_H

#include <stdbool.h>
#include <stdint.h>
#define XXH_STATIC_LINKING_ONLY /* makes XXH64_state_t a complete type */
#include <xxhash.h>

#include "node/entry.h"
#include "route/plan.h"
#include "settings/configuration.h"

/* A caller's request and its attempts; private to node/entry*.c. */

#define MAX_ATTEMPTS 2

struct attempt {
	uint64_t id;
	struct entry_request *request;
	uint32_t number; /* index in the request's plan */
	int64_t member;
	char address[64];
	int64_t process; /* of the member, by member::process */
	/* That it was sent over, or the gate has taken it over to since. */
	uint64_t connection;
	/* When its gate was asked what became of it; 0 once it has told. */
	int64_t asked_at_ms;
	int64_t sent_at_us;
	bool hedge;
};

/* An attempt that ended, for the events about its request. */
struct past_attempt {
	int64_t member;
	int result; /* RESULT_* */
	int64_t ms; /* from sending to its end */
};

#define MAX_PAST_ATTEMPTS 4

struct entry_request {
	struct entry *entry;
	bool traced; /* each step of it is written as an event */
	struct past_attempt past_attempts[MAX_PAST_ATTEMPTS];
	uint32_t n_past_attempts; /* all, also those overwritten */
	const char *attempt_id; /* from the caller's header, or NULL */
	struct httpd_request *http;
	struct plan plan;
	char *class_name; /* "" until a class is matched */
	char service[NAME_MAX_LEN + 1];
	int64_t configuration_version; /* of the log when it was matched */
	int64_t configuration_source; /* of what it was matched by */
	bool streaming; /* its answer is being sent in parts */
	bool hedged; /* at most once */
	bool prev_owner_last; /* try the previous owner last, entry-pick.c */
	bool done; /* answered in full, or the caller has left */
	bool is_first_send; /* has an attempt id: never sent before */
	char *key; /* of the service, "" if it has none */
	const char *idempotency_key; /* or NULL */
	uint32_t shard;
	uint32_t priority; /* 0 first */
	GPtrArray *headers; /* for the backend server */
	uint64_t fingerprint; /* FINGERPRINT_NONE if it was not needed */
	int64_t target_ms;
	int64_t resend_window_ms;
	int64_t last_member; /* whose gate the last attempt was sent to */
	int64_t refused_at_us; /* last refusal by a gate, 0: none */
	struct attempt *attempts[MAX_ATTEMPTS]; /* open ones, or NULL */
	struct attempt *winner; /* whose answer is being streamed */
	int64_t answer_length; /* of the answer's body, or ANSWER_LENGTH_* */
	int64_t received_bytes; /* of the answer's body */
	int64_t credited_bytes; /* of these, credited to the gate */
	XXH64_state_t digest; /* of the bytes received */
};

/* node/entry-classify.c */

/*
 * Finds the class, key and shard of a request. If there are none, answers it
 * with an error and returns false.
 */
bool entry_classify(struct entry_request *r);

/* Whether the class of a request allows to run it more than once. */
bool entry_is_repeatable(const struct entry *e,
			 const struct httpd_request *http);

/* node/entry-answer.c */

/* Records how an attempt ended, for the events about its request. */
void entry_record_attempt(struct entry_request *r, const struct attempt *a,
			  int result);

/* Final answer: the request did not run and will not run. */
void entry_reply_not_run(struct entry_request *r, const char *text);

/* Final answer: the request may have run. */
void entry_reply_unknown(struct entry_request *r);

/* Final answer: the request itself is invalid. */
void entry_reject(struct entry_request *r, uint32_t status, const char *text);

/* The head of an answer, with the first bytes of its body or all of them. */
void entry_on_answer_head(struct entry_request *r, struct attempt *a,
			  const struct request_msg *m);

/* More bytes of an answer that is being streamed. */
void entry_on_answer_data(struct entry_request *r, struct attempt *a,
			  const struct request_msg *m);

/*
 * Ends the streamed answer of an attempt. ok false: it is incomplete, and the
 * caller's connection is cut so that the caller does not take it as complete.
 */
void entry_end_answer(struct entry_request *r, struct attempt *a, bool ok);

/* node/entry-attempt.c */

/*
 * Sends the request to a member's gate. Returns RESULT_OK; RESULT_OVERLOAD if
 * no attempt was made, as the member is unknown or there are too many attempts;
 * or RESULT_UNREACHABLE if the attempt could not be sent. In the last case
 * plan_attempt_ended() is still to be called for the next step.
 */
int entry_send_attempt(struct entry_request *r, int64_t member, bool hedge);

/* Credits the gate with bytes of the answer that the caller has taken. */
void entry_send_credit(struct entry *e, const struct attempt *a, int64_t bytes);

/*
 * Confirms to the gate that the attempt is still wanted. sent_ms is copied
 * from the gate's REQ_CONFIRM; it is by the gate's clock.
 */
void entry_confirm_attempt(struct entry *e, const struct attempt *a,
			   int64_t sent_ms);

/* Acknowledges the stop notice of the gate at a peer address. */
void entry_send_stopping_ack(struct entry *e, const char *address);

/* Removes and frees an attempt; later messages about it are ignored. */
void entry_remove_attempt(struct entry *e, struct attempt *a);

/*
 * Tells the plan when an attempt that was queued for a connection has been sent
 * since.
 */
void entry_update_sent(struct attempt *a);

/*
 * Cancels and frees an attempt of which no byte has been sent. Returns false
 * if it may have been sent.
 */
bool entry_cancel_unsent_attempt(struct entry *e, struct attempt *a);

/*
 * Cancels and frees an attempt; the gate stops work on it if it can. suspect:
 * the gate may be lost and is avoided for a while.
 */
void entry_cancel_attempt(struct entry *e, struct attempt *a, bool suspect);

/* Cancels all attempts but one; keep may be NULL. */
void entry_cancel_others(struct entry_request *r, struct attempt *keep);

/* Cancels an attempt at its gate, without any other effect. */
void entry_send_cancel(struct entry *e, const struct attempt *a);

/* Sends a message to the peer at an address. Results as peers_send(). */
int entry_send(struct entry *e, const char *address,
	       const struct request_msg *m);

/* node/entry-server-status.c */

/* Takes in what a member's server says of itself in an answer passed on. */
void entry_on_server_status(struct entry *e, int64_t member,
			    const GPtrArray *answer_headers);
/* Adds what is known of the member's server to a request sent to its gate. */
void entry_add_server_status(struct entry *e, const struct member *to,
			     struct request_msg *m);

/* node/entry-reconcile.c */

/*
 * Notes the gates that entry_reconcile_ask() is to ask what became of attempts
 * of a request: of those sent over a connection that has been replaced since.
 */
void entry_reconcile_check(struct entry_request *r, int64_t now_ms);

/* Asks the gates noted, and those to which a cancel may have been lost. */
void entry_reconcile_ask(struct entry *e, int64_t now_ms);

/* Notes that a cancel of an attempt has been sent. */
void entry_reconcile_note_cancel(struct entry *e, const struct attempt *a);

/* A gate has told what became of attempts. */
void entry_on_reconciled(struct entry *e, const struct request_msg *m);

/* node/entry-pick.c */

/*
 * To be called when the gate tried last refused the request, as it does not own
 * the shard. Keeps this if that gate is the shard's previous owner.
 */
void entry_record_not_owner(struct entry_request *r);

/*
 * Returns the member whose gate the request is to be sent to next, 0 if there
 * is none. For a request without a key, `excluded` is never chosen; for one
 * with a key it has no effect.
 */
int64_t entry_pick_gate(struct entry_request *r, int64_t excluded);

/* node/entry.c */

/* Average latency and answer size of the request's class. */
struct class_cost *entry_class_cost(struct entry_request *r);

/* What retries and hedges of requests to a service may add to its load. */
struct retry_budget *entry_retry_budget(struct entry *e, const char *service);

/* Carries out a step that the request's plan decided. */
void entry_take_step(struct entry_request *r, enum plan_step step);

/*
 * Cancels an attempt and takes the next step of the plan. suspect: the gate may
 * be lost and is avoided for a while.
 */
void entry_end_and_cancel_attempt(struct entry_request *r, struct attempt *a,
				  enum attempt_event why, int result,
				  bool suspect);

/*
 * Ends and frees an attempt that got neither an answer nor a refusal, and takes
 * the next step of the plan.
 */
void entry_end_attempt(struct entry_request *r, struct attempt *a,
		       enum attempt_event why, int result);

#endif

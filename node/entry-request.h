#ifndef NODE_ENTRY_REQUEST_H
#define NODE_ENTRY_REQUEST_H

#include <stdbool.h>
#include <stdint.h>
#define XXH_STATIC_LINKING_ONLY /* the state has a size */
#include <xxhash.h>

#include "node/entry.h"
#include "route/plan.h"
#include "settings/configuration.h"

/* A caller's request and the attempts made for it; only for node/entry*.c. */

#define MAX_ATTEMPTS 2

struct attempt {
	uint64_t id;
	struct entry_request *request;
	uint32_t number; /* of the request's plan */
	int64_t member;
	char address[64];
	int64_t sent_at_us;
	bool hedge;
};

/* One attempt that ended, for the line that tells how the request did. */
struct past_attempt {
	int64_t member;
	int result;
	int64_t ms;
};

#define MAX_PAST_ATTEMPTS 4

struct entry_request {
	struct entry *entry;
	bool traced;
	struct past_attempt past_attempts[MAX_PAST_ATTEMPTS];
	uint32_t n_past_attempts;
	const char *attempt_id; /* as the caller sent it, or NULL */
	struct httpd_request *http;
	struct plan plan;
	char *class_name; /* "" until it is matched */
	char service[NAME_MAX_LEN + 1];
	int64_t configuration_version; /* configuration that it was matched by */
	bool streaming;
	bool hedged;
	bool prev_owner_last; /* of a shard that moved; see entry-pick.c */
	bool done;
	bool is_first_send; /* its id was never sent before */
	char *key;
	const char *idempotency_key;
	uint32_t shard;
	uint32_t priority;
	GPtrArray *headers;
	int64_t target_ms;
	int64_t resend_window_ms;
	int64_t last_member;
	int64_t refused_at_us; /* last by a gate, 0 by none */
	struct attempt *attempts[MAX_ATTEMPTS];
	struct attempt *winner;
	int64_t received_bytes;
	int64_t credited_bytes;
	XXH64_state_t digest;
};

/* node/entry-classify.c */

/*
 * Find class, key and shard of a request. Returns false once the request has
 * been answered because there are none.
 */
bool entry_classify(struct entry_request *r);

/* Whether a request is of a class that may be repeated. */
bool entry_is_repeatable(const struct entry *e,
			 const struct httpd_request *http);

/* node/entry-answer.c */
void entry_record_attempt(struct entry_request *r, const struct attempt *a,
			  int result);
void entry_reply_not_run(struct entry_request *r, const char *text);
void entry_reply_unknown(struct entry_request *r);
void entry_reject(struct entry_request *r, uint32_t status, const char *text);
void entry_on_answer_head(struct entry_request *r, struct attempt *a,
			  const struct request_msg *m);
void entry_on_answer_data(struct entry_request *r, struct attempt *a,
			  const struct request_msg *m);
void entry_end_answer(struct entry_request *r, struct attempt *a, bool ok);

/* node/entry-attempt.c */

/*
 * Ask a gate. RESULT_OVERLOAD: no attempt was made; RESULT_UNREACHABLE: it
 * could not leave, which is for the caller to tell the plan.
 */
int entry_send_attempt(struct entry_request *r, int64_t member, bool hedge);
void entry_send_credit(struct entry *e, const struct attempt *a, int64_t bytes);
/* It is still wanted, to a gate that asked at sent_ms by its own clock. */
void entry_confirm_attempt(struct entry *e, const struct attempt *a,
			   int64_t sent_ms);
/* Answer the last words of the gate at a peer address. */
void entry_send_stopping_ack(struct entry *e, const char *address);
void entry_remove_attempt(struct entry *e, struct attempt *a);
/* Tell the plan of an attempt that has left since it was sent. */
void entry_update_sent(struct attempt *a);
/* Take back an attempt that has not left yet; false when it may have. */
bool entry_cancel_unsent_attempt(struct entry *e, struct attempt *a);
/* Give up an attempt; the gate stops work on it if it can. */
void entry_cancel_attempt(struct entry *e, struct attempt *a, bool suspect);
/* Want no answer from any but one; keep may be NULL. */
void entry_cancel_others(struct entry_request *r, struct attempt *keep);

/* node/entry-pick.c */
/* The gate asked last does not serve the request's key. */
void entry_record_not_owner(struct entry_request *r);
int64_t entry_pick_gate(struct entry_request *r, int64_t excluded);

/* node/entry.c */
struct class_cost *entry_class_cost(struct entry_request *r);
struct retry_budget *entry_retry_budget(struct entry *e, const char *service);
void entry_take_step(struct entry_request *r, enum plan_step step);
/* An attempt ended without an answer or a refusal; go on from there. */
void entry_end_attempt(struct entry_request *r, struct attempt *a,
		       enum attempt_event why, int result);

#endif

#ifndef GATE_RATE_LIMIT_H
#define GATE_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * The rate of requests that a backend server in need names in its answers. All
 * requests to the server pass its gate, so the count here is complete, except
 * for those that a previous process sent. No input or output; times are passed
 * in.
 */

/* A lower rate would hardly show that the server names none any more. */
#define RATE_LIMIT_MIN_PER_S 0.2

struct rate_limit {
	double per_s; /* 0: none is named */
	double tokens; /* requests that may be sent at updated_at_ms */
	int64_t updated_at_ms;
	int64_t named_at_ms; /* by the last answer that named it */
	bool known; /* by an answer, or the lack of it in one */
	double demand_per_s; /* requests offered, a decayed sum */
	int64_t demand_at_ms;
};

/*
 * Reads the value of a header that names a rate. Returns whether it is a
 * decimal number, not negative and finite; if so, sets *per_s.
 */
bool rate_limit_parse(const char *text, double *per_s);

/* Nothing is known: a new server instance has been announced. */
void rate_limit_reset(struct rate_limit *l);

/*
 * The server has answered a request that it was sent at sent_at_ms. named: the
 * answer names a rate.
 */
void rate_limit_on_answer(struct rate_limit *l, bool named, double per_s,
			  int64_t sent_at_ms, int64_t now_ms);

/*
 * An entry remembers that the server named a rate. Has no effect once an answer
 * was received here.
 */
void rate_limit_on_reported(struct rate_limit *l, double per_s, int64_t now_ms);

/* Whether a rate is named. */
bool rate_limit_is_active(const struct rate_limit *l);

/* Whether one more request may be sent now. */
bool rate_limit_allows(const struct rate_limit *l, int64_t now_ms);

/* Counts a request that is sent. */
void rate_limit_record_send(struct rate_limit *l, int64_t now_ms);

/* Counts a request that is offered, sent or not. */
void rate_limit_record_offer(struct rate_limit *l, int64_t now_ms);

/* Time until a request may be sent behind n others, 0 without a limit. */
double rate_limit_wait_ms(const struct rate_limit *l, uint32_t n,
			  int64_t now_ms);

/* Requests offered as a multiple of the rate, 0 without a limit. */
double rate_limit_utilization(const struct rate_limit *l, int64_t now_ms);

/* The rules of the limit, one bit each, for tests. */
enum rate_limit_rule {
	RATE_LIMIT_RULE_BURST = 1 << 0, /* tokens do not pile up */
	RATE_LIMIT_RULE_COUNT = 1 << 1, /* each request takes one */
	RATE_LIMIT_RULE_ENDS = 1 << 2, /* an answer without a rate ends it */
};

/* Tests only: the rules disabled. Defined when built with RULE_SWITCHES. */
extern uint32_t rate_limit_disabled_rules;

#endif

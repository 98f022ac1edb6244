#ifndef GATE_LIMIT_H
#define GATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Limits how many requests the gate has in flight at its backend server. The
 * limit starts small, since a backend server in cold start crashes under full
 * load. After that it follows the latency and outcome of the answers, since
 * load reports lag behind and mislead. Times are passed in.
 */

/* The least limit: at the beginning of a slow start, and during a stall. */
#define LIMIT_INITIAL 2

struct limit {
	const struct limit_ops *ops;
	uint32_t slots; /* slots the backend server announced */
	double allowed; /* requests allowed in flight */
	double base_ms; /* usual latency when not overloaded, 0 unknown */
	double recent_ms; /* moving average of the last few latencies */
	uint32_t n_recent; /* answers since the last reset */
	uint32_t overload_episodes; /* in a row, no good answer between */
	bool slow_start; /* the limit is still rising to all slots */
	bool stalled; /* no answers: LIMIT_INITIAL applies */
	/* Since a stall no answer was good: LIMIT_INITIAL still applies. */
	bool awaits_good_answer;
	int64_t stalled_since_ms; /* when the last stall was detected */
	bool was_reached; /* the limit was reached since it last rose */
	int64_t overload_since_ms; /* beginning of the last overload episode */
	int64_t next_increase_at_ms; /* the limit does not rise before */
	uint64_t n_cold_starts;
};

/*
 * A policy for the limit. The fixed policy always allows all slots; it is there
 * for comparison with the adaptive policy.
 */
struct limit_ops {
	const char *name;
	void (*init)(struct limit *l, int64_t now_ms);
	/* A request that was started at started_ms was answered. */
	void (*on_answer)(struct limit *l, double latency_ms,
			  int64_t started_ms, int64_t now_ms);
	/* A request was refused for load, lost its connection or timed out. */
	void (*on_overload)(struct limit *l, int64_t started_ms,
			    int64_t now_ms);
	/* NULL: the policy does not detect stalls. */
	void (*check_stall)(struct limit *l, int64_t oldest_ms, int64_t now_ms);
};

extern const struct limit_ops limit_adaptive;
extern const struct limit_ops limit_fixed;

/* Returns the policy of that name, or NULL. */
const struct limit_ops *limit_ops_by_name(const char *name);

enum limit_outcome {
	LIMIT_ANSWERED,
	LIMIT_SHED, /* refused by the backend server for load */
	LIMIT_FAILED, /* connection broken or timed out */
};

/* Sets up the limit for a backend server with this many slots. */
void limit_init(struct limit *l, const struct limit_ops *ops, uint32_t slots,
		int64_t now_ms);

/* Whether one more request may start while in_flight are in flight. */
bool limit_allows(struct limit *l, uint32_t in_flight);

/*
 * Records the outcome of a request that was started at started_ms. A request
 * that was in flight when an overload episode began is no further evidence of
 * overload.
 */
void limit_done(struct limit *l, enum limit_outcome outcome, double latency_ms,
		int64_t started_ms, int64_t now_ms);

/* Detects a stall. oldest_ms: age of the oldest request in flight, 0 if none. */
void limit_check_stall(struct limit *l, int64_t oldest_ms, int64_t now_ms);

#endif

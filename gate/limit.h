#ifndef GATE_LIMIT_H
#define GATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How many requests the gate keeps in flight at its backend server. Starts
 * small, since a server in cold start falls over under full load, and follows
 * what the answers themselves show: load reports lag and mislead. Times are
 * passed in.
 */

#define LIMIT_INITIAL 2

struct limit {
	const struct limit_ops *ops;
	uint32_t slots; /* slots the backend server announced */
	double allowed; /* requests allowed in flight */
	double base_ms; /* usual latency when not overloaded, 0 unknown */
	double recent_ms; /* latency of the last few answers */
	uint32_t n_recent; /* answers since the last reset */
	uint32_t overload_episodes; /* in a row, without a good answer between */
	bool slow_start; /* ramping up after a cold start */
	bool stalled; /* nothing comes back: start no more than a few */
	bool awaits_good_answer; /* the same after a stall */
	int64_t stalled_since_ms;
	bool was_reached; /* the limit was reached since the last step */
	int64_t overload_since_ms; /* begin of the last bad episode */
	int64_t next_step_ms; /* no growth before */
	uint64_t n_cold_starts;
};

/*
 * How the limit moves. The fixed one, always all slots, is there to measure
 * the adaptive one against.
 */
struct limit_ops {
	const char *name;
	void (*init)(struct limit *l, int64_t now_ms);
	void (*on_answer)(struct limit *l, double latency_ms,
			  int64_t started_ms, int64_t now_ms);
	void (*on_overload)(struct limit *l, int64_t started_ms,
			    int64_t now_ms);
	/* NULL: how long the oldest waits is of no interest. */
	void (*check_stall)(struct limit *l, int64_t oldest_ms, int64_t now_ms);
};

extern const struct limit_ops limit_adaptive;
extern const struct limit_ops limit_fixed;

/* The ops of a name, NULL when there are none. */
const struct limit_ops *limit_ops_by_name(const char *name);

enum limit_outcome {
	LIMIT_ANSWERED,
	LIMIT_SHED, /* the server refused for load */
	LIMIT_FAILED, /* connection broken or timed out */
};

void limit_init(struct limit *l, const struct limit_ops *ops, uint32_t slots,
		int64_t now_ms);
bool limit_allows(struct limit *l, uint32_t in_flight);

/*
 * Take in how one request went, which was started at started_ms: what was
 * under way when things went wrong is no further evidence.
 */
void limit_done(struct limit *l, enum limit_outcome outcome, double latency_ms,
		int64_t started_ms, int64_t now_ms);

/* Take in how long the oldest request in flight has waited; 0 none. */
void limit_check_stall(struct limit *l, int64_t oldest_ms, int64_t now_ms);

#endif

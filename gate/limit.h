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

#define LIMIT_COLD 2

struct limit {
	uint32_t max; /* slots the backend server announced */
	double now; /* requests allowed in flight */
	double base_ms; /* usual latency when not overloaded, 0 unknown */
	double recent_ms; /* latency of the last few answers */
	uint32_t n_recent; /* answers since the last reset */
	uint32_t bad_in_row; /* answers shed, failed or far too slow */
	bool was_full; /* the limit was reached since the last step */
	int64_t next_step_ms; /* no growth before */
	int64_t next_cut_ms; /* no further cut before */
	uint64_t n_cold_starts;
};

enum limit_outcome {
	LIMIT_ANSWERED,
	LIMIT_SHED, /* the server refused for load */
	LIMIT_FAILED, /* connection broken or timed out */
};

void limit_init(struct limit *l, uint32_t max, int64_t now_ms);
bool limit_allows(struct limit *l, uint32_t in_flight);
void limit_done(struct limit *l, enum limit_outcome outcome, double latency_ms,
		int64_t now_ms);

#endif

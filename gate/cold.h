#ifndef GATE_COLD_H
#define GATE_COLD_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How many requests a backend server in cold start may be sent in any second.
 * A server just started is slow, and one that gets its full load then crashes.
 * Only the gate beside it sends to it, so the gate's own count is the whole
 * truth, but for what a process before this one sent. Times are passed in.
 */

/* Sendings remembered; a second of more than that needs no limit of ours. */
#define COLD_START_MAX_SENT 1024

#define COLD_START_UNLIMITED 0.0
/*
 * While no configuration tells what a cold server bears. A node and its server
 * that start together hear of each other before either reads anything, and
 * callers are sent there at once.
 */
#define COLD_START_DEFAULT_PER_S 5.0

struct cold_start {
	int64_t until_ms; /* cold before, 0 when warm */
	double per_s; /* requests a second that it bears, COLD_START_UNLIMITED:
			 any */
	int64_t sent_ms[COLD_START_MAX_SENT]; /* a ring of the last sendings */
	uint32_t next;
};

/*
 * Begin. What a process before this one sent in the last second is unknown, so
 * the first second counts as used up.
 */
void cold_start_init(struct cold_start *c, int64_t now_ms);

/* The server says that it stays cold for left_ms more; 0 that it is warm. */
void cold_start_set_remaining(struct cold_start *c, int64_t left_ms,
			      int64_t now_ms);

/* The configuration says what it bears. */
void cold_start_set_rate(struct cold_start *c, double per_s);
bool cold_start_is_active(const struct cold_start *c, int64_t now_ms);

/* Whether one more request may be sent now. */
bool cold_start_allows(const struct cold_start *c, int64_t now_ms);
void cold_start_record_send(struct cold_start *c, int64_t now_ms);

#endif

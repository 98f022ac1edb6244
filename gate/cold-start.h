#ifndef GATE_COLD_START_H
#define GATE_COLD_START_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Rate limit for requests to a backend server in cold start. A backend server
 * that has just started is slow, and crashes if it gets its full load then.
 * Only the gate on its host sends requests to it, so this count is complete,
 * except for requests that a previous process sent. Times are passed in.
 */

/* Send times kept. A rate of this many per second or more is not limited. */
#define COLD_START_MAX_SENT 1024

#define COLD_START_UNLIMITED 0.0
/*
 * The rate until a configuration sets it. A node and a backend server that
 * start together exchange heartbeats before either has read any configuration,
 * and requests are routed to them at once.
 */
#define COLD_START_DEFAULT_PER_S 5.0

struct cold_start {
	int64_t until_ms; /* end of the cold start, 0 if warm */
	double per_s; /* allowed rate, or COLD_START_UNLIMITED */
	int64_t sent_at_ms[COLD_START_MAX_SENT]; /* ring buffer */
	uint32_t next; /* index in sent_at_ms to write next */
};

/*
 * Sets up the limit at COLD_START_DEFAULT_PER_S. What a previous process sent
 * in the last second is unknown, so the first second counts as used up.
 */
void cold_start_init(struct cold_start *c, int64_t now_ms);

/* The cold start lasts for left_ms from now; 0: the backend server is warm. */
void cold_start_set_remaining(struct cold_start *c, int64_t left_ms,
			      int64_t now_ms);

/* Sets the allowed rate in requests per second, or COLD_START_UNLIMITED. */
void cold_start_set_rate(struct cold_start *c, double per_s);

/* Whether the backend server is in cold start. */
bool cold_start_is_active(const struct cold_start *c, int64_t now_ms);

/* Whether the rate allows one more request now; true if not in cold start. */
bool cold_start_allows(const struct cold_start *c, int64_t now_ms);

/* Counts a request that was sent. */
void cold_start_record_send(struct cold_start *c, int64_t now_ms);

#endif

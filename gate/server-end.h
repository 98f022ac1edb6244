#ifndef GATE_SERVER_END_H
#define GATE_SERVER_END_H

#include <stdint.h>

/*
 * Tells which requests may have ended the backend server: those that it was
 * running then. A lost answer alone does not show that the server has ended,
 * so each run that got no answer is kept until the server answers again, or is
 * known to have ended. No input or output; the time is passed in.
 */

#define SERVER_END_MAX_RUNS 64
/*
 * A server may end a moment after the run that ends it was given up. It counts
 * as alive only by the answer to a request that was sent this much later.
 */
#define SERVER_END_ALIVE_MS 500
/* A run that was lost longer ago has not ended the server. */
#define SERVER_END_MEMORY_MS 15000

struct lost_run {
	uint64_t fingerprint;
	int64_t lost_at_ms;
};

struct server_end {
	struct lost_run runs[SERVER_END_MAX_RUNS]; /* oldest first */
	uint32_t n;
};

/* A run got no answer: its connection ended, it timed out or was cancelled. */
void server_end_run_lost(struct server_end *s, uint64_t fingerprint,
			 int64_t now_ms);

/* The server has answered a request that was sent to it at sent_at_ms. */
void server_end_answered(struct server_end *s, int64_t sent_at_ms);

/*
 * The server has ended. Writes the fingerprints of the runs that may have ended
 * it to out, each once, and forgets them. Returns their number.
 */
uint32_t server_end_confirmed(struct server_end *s, int64_t now_ms,
			      uint64_t out[SERVER_END_MAX_RUNS]);

#endif

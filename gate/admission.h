#ifndef GATE_ADMISSION_H
#define GATE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "gate/cold-start.h"
#include "gate/limit.h"
#include "gate/link.h"
#include "gate/queue.h"
#include "gate/rate-limit.h"

/*
 * Admission control: decides whether a request is queued or refused, which
 * queued request starts next, and when the caller of a refused request should
 * retry. Shard ownership is checked elsewhere, and the code that calls these
 * functions sends the requests. No input or output; the time is passed in.
 */

struct admission {
	struct limit limit;
	struct queue queue;
	struct cold_start cold_start;
	struct rate_limit rate_limit; /* that the backend server names */
	struct link link;
	uint32_t n_in_flight; /* sent to the backend server, not yet ended */
};

/*
 * Sets up admission with one slot, until admission_reset(). link_mbps: rate of
 * the host's link in Mbit/s, 0 if not limited.
 */
void admission_init(struct admission *a, const struct limit_ops *limit,
		    double link_mbps, int64_t now_ms);

/* Releases the queue, but not the requests that its entries point to. */
void admission_finish(struct admission *a);

/*
 * Sets the queue size and resets the limit for a backend server that has just
 * announced itself with this many slots. What is queued or in flight stays.
 */
void admission_reset(struct admission *a, const struct limit_ops *limit,
		     uint32_t slots, int64_t now_ms);

/*
 * Queues a request, or refuses it. has_alternative: another gate could serve
 * the request as well. Returns RESULT_OK if the request is queued, even if
 * admission_next() would return it at once, or RESULT_OVERLOAD if it is
 * refused. When the queue is over its limit, *victim is set to the entry that
 * was removed and must be refused, which may be the new one; otherwise to
 * NULL. The caller of this function frees *victim.
 */
int admission_offer(struct admission *a, const struct queued *in,
		    bool has_alternative, int64_t now_ms,
		    struct queued **victim);

/*
 * Reserves link capacity for the answer to a queued request and returns the
 * number of bytes, the average of its class (0 if the answer does not use the
 * link). Pass it to link_unreserve() when the request has ended, whatever its
 * outcome.
 */
double admission_reserve_link(struct admission *a, const struct queued *in);

/*
 * Removes the request to start now from the queue into *out. Returns false if
 * the queue is empty or nothing more may start yet.
 */
bool admission_next(struct admission *a, int64_t now_ms, struct queued *out);

/*
 * Removes a queued request that can no longer finish in time into *out, so that
 * it is refused while its caller can still try elsewhere or retry. Returns
 * false if there is none.
 */
bool admission_pop_overtaken(struct admission *a, int64_t now_ms,
			     struct queued *out);

/* Counts a request that was sent to the backend server. */
void admission_started(struct admission *a, int64_t now_ms);

/*
 * Counts the end of a request that was started at started_ms and took
 * service_ms at the backend server. Only a complete answer (LIMIT_ANSWERED)
 * updates the average service time of its class.
 */
void admission_done(struct admission *a, uint32_t class_index,
		    enum limit_outcome outcome, double service_ms,
		    int64_t started_ms, int64_t now_ms);

/* Counts a request that was cancelled while it was in flight. */
void admission_cancelled(struct admission *a);

/*
 * Whether the caller must check again within milliseconds even if nothing
 * happens: to detect a stall, or because a backend server in cold start may be
 * sent another request by then.
 */
bool admission_needs_timer(const struct admission *a, int64_t now_ms);

/* The number of requests in flight and queued. */
uint32_t admission_load(const struct admission *a);

/*
 * Load divided by limit, or requests offered divided by the rate that the
 * server names, whichever is higher.
 */
double admission_utilization(const struct admission *a, int64_t now_ms);

/*
 * After how many milliseconds the caller of a refused request should retry: a
 * minimum plus the time that the queue or the link takes to drain, whichever is
 * longer, all multiplied by 1 + jitter. jitter is a random number in [0, 1), so
 * that callers do not all retry at once.
 */
int64_t admission_retry_after_ms(const struct admission *a, double jitter,
				 int64_t now_ms);

#endif

#ifndef GATE_ADMISSION_H
#define GATE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "gate/cold.h"
#include "gate/limit.h"
#include "gate/link.h"
#include "gate/queue.h"

/*
 * What a gate decides about load: whether a request is taken, waits or is
 * refused, which of those that wait is begun next, and when one that was
 * refused should come back. Who may serve a key is decided elsewhere, and what
 * is begun is sent by the caller. No input or output; the time is passed in.
 */

struct admission {
	struct limit limit;
	struct queue queue;
	struct cold_start cold_start;
	struct link link;
	uint32_t n_in_flight; /* handed to the backend server */
};

void admission_init(struct admission *a, const struct limit_ops *limit,
		    double link_mbps, int64_t now_ms);
void admission_finish(struct admission *a);

/* A backend server with slots announced itself: it has just started. */
void admission_reset(struct admission *a, const struct limit_ops *limit,
		     uint32_t slots, int64_t now_ms);

/*
 * A request arrives. elsewhere: another gate could serve it as well. Returns
 * RESULT_OK when it waits now, though not for long if admission_next() gives it
 * at once, or RESULT_OVERLOAD when it is refused. *victim is another that must
 * be refused in its place, or NULL; the caller frees it.
 */
int admission_offer(struct admission *a, const struct queued *in,
		    bool has_alternative, int64_t now_ms,
		    struct queued **victim);

/*
 * What a request that was taken will bring over the link, by its class. Give it
 * to link_withdraw() when the request has ended, however it did.
 */
double admission_reserve_link(struct admission *a, const struct queued *in);

/* The next request to begin now; false when none may be, or none waits. */
bool admission_next(struct admission *a, int64_t now_ms, struct queued *out);

/*
 * One that waits and will not be done in time any more, to be refused while its
 * caller can still go elsewhere or come back; false when there is none.
 */
bool admission_pop_overtaken(struct admission *a, int64_t now_ms,
			     struct queued *out);

/* One was handed to the backend server. */
void admission_started(struct admission *a, int64_t now_ms);

/*
 * One ended there after ms, having been started at started_ms. Only one that
 * was answered whole tells how long its class takes.
 */
void admission_done(struct admission *a, uint32_t class_index,
		    enum limit_outcome outcome, double service_ms,
		    int64_t started_ms, int64_t now_ms);

/* One was given up while the server worked on it. */
void admission_cancelled(struct admission *a);

/*
 * Whether it must be looked at again within milliseconds: for a stall, or
 * because a cold server may be sent more by then.
 */
bool admission_needs_timer(const struct admission *a, int64_t now_ms);

/* Requests that run or wait. */
uint32_t admission_load(const struct admission *a);

/*
 * How long until a refused caller should come back: the time that the queue or
 * the link takes to drain, spread by jitter in [0, 1), so that they do not all
 * return at once.
 */
int64_t admission_retry_after_ms(const struct admission *a, double jitter,
				 int64_t now_ms);

#endif

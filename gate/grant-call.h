#ifndef GATE_GRANT_CALL_H
#define GATE_GRANT_CALL_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "gate/grant-owner.h"
#include "gate/grants.h"

/*
 * Grants by call. The backend server is given a run of neighbouring keys by one
 * call, which sent again renews it, and lets keys go by another, answered with
 * a handover once the work that ran on them has ended. This decides what to
 * call next and takes in what came of it; who carries the calls is not its
 * concern. No input or output; the time is passed in.
 *
 * A shard is free, held or, when it may have been given by a process before
 * this one or to a life of the server before this one, unknown. A call that got
 * no answer leaves it in doubt besides: the server may carry the call out
 * seconds later, after newer ones and after a release. Its time counts from its
 * arrival, so the doubt ends when a hold that arrived at the last moment at
 * which the bytes can have left would have run out, or when the server has
 * taken a higher fence. Until then the shard counts as held, and no other
 * server may have it. What a process before this one sent counts as in doubt
 * from the start.
 */

enum grant_call_kind {
	GRANT_CALL_GRANT,
	GRANT_CALL_RELEASE,
};

/* What came of a call. */
enum grant_outcome {
	GRANT_APPLIED, /* the server said so */
	GRANT_FENCED, /* it has seen a higher fence on one of the keys */
	GRANT_NOT_APPLIED, /* it never was, and never will be */
	GRANT_IN_DOUBT, /* no answer, or none that says */
};

struct grant_call {
	enum grant_call_kind kind;
	uint32_t first; /* shards */
	uint32_t last;
	struct grant_row row; /* the same in keys, with fence and handover */
	int64_t hold_ms; /* by the server's clock, from the call's arrival */
	/*
	 * A call whose bytes have not left by then must not be sent: its hold
	 * was worked out from the end of our lease, and would outlast it.
	 */
	int64_t send_by_ms;
	int64_t latest_end_ms; /* sent by then, what it gives has ended */
	int64_t earliest_end_ms; /* and carried out, has not ended before */
	uint32_t instance; /* of the server that was meant */
};

/* A heartbeat of the server was heard: it is there, and calls may go. */
void grant_call_heartbeat_received(struct grants *g);

/*
 * What to call next, of kinds (a bit for each enum grant_call_kind); false when
 * there is nothing. The shards of the call count
 * as asked until grant_call_done(), so that each is part of one call at a time.
 */
bool grant_call_next(struct grants *g, const struct grant_owner *o,
		     uint32_t kinds, int64_t hold_max_ms, int64_t now_ms,
		     struct grant_call *c);

/* How a call ended; handover is what a release was answered with, or NULL. */
void grant_call_done(struct grants *g, const struct grant_call *c,
		     enum grant_outcome outcome, const char *handover,
		     int64_t now_ms);

/* How many calls it takes to renew all that the server holds. */
uint32_t grant_call_count_ranges(const struct grants *g);

/*
 * The safety rules, one bit each. The randomised test builds this file with
 * RULE_SWITCHES and turns each off to see that it catches the breach.
 */
enum grant_rule {
	GRANT_RULE_IN_DOUBT = 1 << 0,
	GRANT_RULE_SEND_DEADLINE = 1 << 1,
	GRANT_RULE_PREV_PROCESS = 1 << 2,
	GRANT_RULE_IN_FLIGHT = 1 << 3,
	GRANT_RULE_CLOCK_DRIFT = 1 << 4,
	GRANT_RULE_PREV_PROCESS_IN_DOUBT = 1 << 5,
};

#endif

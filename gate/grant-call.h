#ifndef GATE_GRANT_CALL_H
#define GATE_GRANT_CALL_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "gate/grant-owner.h"
#include "gate/grants.h"

/*
 * Grants by call. One call grants a range of neighbouring keys to the backend
 * server; the same call sent again renews the grant. Another call makes the
 * backend server release keys; it is answered, with a handover, once the work
 * in progress on these keys has ended. This module decides which call to make
 * next and records its outcome; other code sends the calls. No input or
 * output; the time is passed in.
 *
 * A shard is free, held, or unknown: it may have been granted by a previous
 * process or to a previous instance of the backend server. In addition, a
 * shard is in doubt after a call without an answer: the backend server may
 * apply this call seconds later, after newer calls and even after a release.
 * The time of a hold runs from the arrival of the call. So the doubt ends when
 * a hold that arrived at the last moment at which the call's bytes can have
 * been sent would have ended, or once the backend server has accepted a higher
 * fence. Until then the shard counts as held, and no other backend server may
 * get it. Calls of a previous process count as in doubt from the start.
 */

enum grant_call_kind {
	GRANT_CALL_GRANT,
	GRANT_CALL_RELEASE,
};

/* The outcome of a call. */
enum grant_outcome {
	GRANT_APPLIED, /* acknowledged by the backend server */
	GRANT_FENCED, /* refused: a key was granted under a higher fence */
	GRANT_NOT_APPLIED, /* not applied, and will not be */
	GRANT_IN_DOUBT, /* no answer, or one that leaves the outcome open */
};

struct grant_call {
	enum grant_call_kind kind;
	uint32_t first; /* first and last shard */
	uint32_t last;
	struct grant_row row; /* the range in keys, with fence and handover */
	/* From the arrival of the call, by the backend server's clock. */
	int64_t hold_ms;
	/*
	 * The call must not be sent after this time: hold_ms is computed from
	 * the end of this node's lease, and a later hold would outlast it.
	 */
	int64_t send_by_ms;
	/* If sent by send_by_ms, the hold has ended by then. */
	int64_t latest_end_ms;
	/* If applied, the hold does not end before then. */
	int64_t earliest_end_ms;
	/* The backend server instance meant, as counted by struct grants. */
	uint32_t instance;
};

/*
 * Records that the backend server sent a heartbeat. No calls are made before
 * the first one.
 */
void grant_call_heartbeat_received(struct grants *g);

/*
 * Sets *c to the next call to make. kinds: the kinds allowed, with bit
 * 1 << kind for each enum grant_call_kind. Returns false if there is no call to
 * make. The shards of the call count as in flight until grant_call_done(), so
 * that each shard is part of one call at a time.
 */
bool grant_call_next(struct grants *g, const struct grant_owner *o,
		     uint32_t kinds, int64_t hold_max_ms, int64_t now_ms,
		     struct grant_call *c);

/*
 * Records the outcome of a call. handover: the handover in the answer to a
 * release, or NULL.
 */
void grant_call_done(struct grants *g, const struct grant_call *c,
		     enum grant_outcome outcome, const char *handover,
		     int64_t now_ms);

/* The number of calls it takes to renew all that the backend server holds. */
uint32_t grant_call_count_ranges(const struct grants *g);

/*
 * The safety rules, one bit each. The randomised test builds grant-call.c with
 * RULE_SWITCHES and disables each rule in turn to check that the test detects
 * the violation.
 */
enum grant_rule {
	/* A shard counts as held while a call is in doubt. */
	GRANT_RULE_IN_DOUBT = 1 << 0,
	/* Calls are sent by send_by_ms, and hold_ms allows for that time. */
	GRANT_RULE_SEND_DEADLINE = 1 << 1,
	/* Grants of a previous process count as held. */
	GRANT_RULE_PREV_PROCESS = 1 << 2,
	/* A shard counts as held while a call is in flight. */
	GRANT_RULE_IN_FLIGHT = 1 << 3,
	/* hold_ms allows for a slow clock of the backend server. */
	GRANT_RULE_CLOCK_DRIFT = 1 << 4,
	/* Calls of a previous process count as in doubt. */
	GRANT_RULE_PREV_PROCESS_IN_DOUBT = 1 << 5,
};

#endif

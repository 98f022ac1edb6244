#ifndef MEMBER_SUSPECTS_H
#define MEMBER_SUSPECTS_H

#include <stdbool.h>
#include <stdint.h>

#include "state/fleet.h"

/*
 * What one node does about requests that may end their backend servers: what it
 * has seen itself and not yet read from the log, and since when a request is
 * blocked. Times are milliseconds of CLOCK_BOOTTIME.
 */

/* A blocked request is tried again after this long. */
#define SUSPECT_TRIAL_MS 600000
/* Once more servers have ended while it ran, only operators clear a request. */
#define SUSPECT_MAX_TRIAL_INSTANCES 2
/* Endings that this node has yet to record; the oldest is dropped first. */
#define SUSPECT_MAX_ENDINGS 4

enum suspect_verdict {
	SUSPECT_NONE, /* it may run */
	SUSPECT_ALONE, /* it may run beside no other suspect */
	SUSPECT_ELSEWHERE, /* it may run at one other node only */
	SUSPECT_BLOCKED,
};

/* The end of a server instance beside this node. */
struct own_ending {
	char instance[SERVER_INSTANCE_ID_MAX_LEN + 1];
	uint64_t fingerprints[QUARANTINE_MAX_IN_RECORD];
	uint32_t n;
	bool append_sent;
	int64_t appended_at_ms; /* 0: not yet */
};

/* Since when a request is blocked here, by its last ending or trial. */
struct blocked_since {
	uint64_t fingerprint;
	int64_t ms;
};

struct suspects {
	struct own_ending endings[SUSPECT_MAX_ENDINGS]; /* oldest first */
	uint32_t n_endings;
	/* Requests that were answered well, to be cleared by a record. */
	uint64_t cleared[QUARANTINE_MAX_IN_RECORD];
	uint32_t n_cleared;
	uint32_t n_cleared_sent; /* of these, in the record being appended */
	struct blocked_since blocked[QUARANTINE_MAX];
	uint32_t n_blocked; /* all so far; a ring */
	int64_t trial_ms; /* SUSPECT_TRIAL_MS, but in tests */
};

#endif

#ifndef T_SOAK_CALLERS_H
#define T_SOAK_CALLERS_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "t/soak/fleet.h"

/*
 * Simulated callers: send lookups by key, bookings and lists to all nodes at a
 * steady rate, over connections that are kept open. Some calls are cancelled
 * before they are answered. The outcome of each call is recorded, so that
 * promises.h can check it.
 */

#define N_LOOKUP_KEYS 64

enum call_kind {
	CALL_LOOKUP,
	CALL_BOOKING,
	CALL_LIST,
	N_CALL_KINDS,
};

enum call_outcome {
	CALL_OPEN,
	CALL_ANSWERED,
	CALL_REFUSED, /* answered 503: did not run */
	CALL_UNKNOWN, /* any other status: may have run */
	CALL_FAILED, /* no complete answer */
	CALL_LEFT, /* cancelled by the caller */
	N_CALL_OUTCOMES,
};

struct call {
	struct fetch fetch;
	struct callers *callers;
	char id[32];
	char path[48];
	enum call_kind kind;
	enum call_outcome outcome;
	long status;
	uint32_t node;
	uint32_t key;
	/*
	 * Only planned changes happened while it was open. They must not cut it
	 * off: its outcome is not unknown, and it does not run and then fail.
	 */
	bool strict;
	bool reported; /* as a broken promise */
	int64_t sent_at_ms, ended_at_ms;
	ev_timer leave_timer;
	GString *body;
};

struct callers {
	struct fleet *fleet;
	struct fetcher fetcher;
	GRand *rand;
	ev_timer tick;
	int64_t last_tick_at_ms;
	uint64_t n_sent;
	uint64_t n_lookups;
	uint64_t counts[N_CALL_OUTCOMES];
	uint32_t n_open;
	bool strict; /* for new calls */
	bool no_new_calls;
	GPtrArray *calls; /* all since the start, struct call */
	/* By key: when the latest answered lookup was sent. */
	int64_t answered_sent_at_ms[N_LOOKUP_KEYS];
};

extern const char *const call_outcome_names[N_CALL_OUTCOMES];

void callers_init(struct callers *c, struct fleet *f, uint32_t seed);
/*
 * Sets strict for the calls that follow. False also clears it for the calls
 * that are open.
 */
void callers_set_strict(struct callers *c, bool strict);

#endif

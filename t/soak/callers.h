#ifndef T_SOAK_CALLERS_H
#define T_SOAK_CALLERS_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "t/soak/fleet.h"

/*
 * Callers of all nodes: lookups by key, bookings and lists at a steady rate.
 * They keep connections open, some leave before they are answered, and what
 * each was told is kept for the promises to be checked.
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
	CALL_REFUSED, /* told that it did not run */
	CALL_UNKNOWN, /* told that it may have run */
	CALL_FAILED, /* no whole answer */
	CALL_LEFT,
	N_CALL_OUTCOMES,
};

struct call {
	struct fetch fetch;
	struct callers *callers;
	char id[32];
	char path[48]; /* path */
	enum call_kind kind;
	enum call_outcome outcome;
	long status;
	uint32_t node;
	uint32_t key;
	bool strict; /* only planned changes while it was open */
	bool reported;
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
	bool strict;
	bool no_new_calls; /* sends nothing */
	GPtrArray *calls; /* struct call, all */
	int64_t answered_sent_at_ms[N_LOOKUP_KEYS]; /* sent when, newest
						       answered */
};

extern const char *const call_outcome_names[N_CALL_OUTCOMES];

void callers_init(struct callers *c, struct fleet *f, uint32_t seed);
/* Calls that are open count as strict no more when strict is false. */
void callers_set_strict(struct callers *c, bool strict);

#endif

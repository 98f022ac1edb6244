#ifndef T_SOAK_PROMISES_H
#define T_SOAK_PROMISES_H

#include "t/soak/callers.h"

/*
 * Checks, while the soak runs, that what callers and backend servers observed
 * agrees with what the fleet promises.
 */

struct promises {
	struct fleet *fleet;
	struct callers *callers;
	/* By server: holdings read so far, and when the last read began. */
	uint32_t n_holdings_read[N_NODES];
	int64_t holdings_read_at_us[N_NODES];
	GArray *holdings; /* read, not yet checked, struct holding */
	int64_t *holds_until_us[N_NODES]; /* by server and key */
	GHashTable *run_counts; /* request id -> runs on all servers */
};

void promises_init(struct promises *p, struct fleet *f, struct callers *c);

/*
 * Checks that no two backend servers hold a key at once, that no node returns
 * to an older configuration, and that processes end only when stopped or
 * killed, and in time.
 */
void promises_poll(struct promises *p);
/*
 * Checks the calls that have ended: a booking ran at most once, a refused call
 * did not run, an answered one ran, and planned stops cut off no call.
 */
void promises_check_calls(struct promises *p);
/* Writes a line on the outcome of each call to a file. */
void promises_write_calls(const struct promises *p, const char *path);
/* Whether for every key a lookup sent at since_ms or later was answered. */
bool promises_all_keys_served_since(const struct promises *p, int64_t since_ms);

#endif

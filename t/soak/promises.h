#ifndef T_SOAK_PROMISES_H
#define T_SOAK_PROMISES_H

#include "t/soak/callers.h"

/* Checks, while the soak runs, what callers and backend servers saw. */

struct promises {
	struct fleet *fleet;
	struct callers *callers;
	uint32_t n_holdings_read[N_NODES]; /* of each server's holdings */
	int64_t holdings_read_at_us[N_NODES]; /* as of when */
	GArray *holdings; /* struct holding, not yet gone through */
	int64_t *holds_until_us[N_NODES]; /* of each key at each server */
	GHashTable *run_counts; /* id -> how often */
};

void promises_init(struct promises *p, struct fleet *f, struct callers *c);

/* One owner; configurations that do not go back; processes that ended. */
void promises_poll(struct promises *p);
/* At most once, true refusals, stops that cut nothing. */
void promises_check_calls(struct promises *p);
/* What became of each call, into a file. */
void promises_write_calls(const struct promises *p, const char *path);
/* Every key was answered, asked after since_ms. */
bool promises_all_keys_served_since(const struct promises *p, int64_t since_ms);

#endif

#ifndef NODE_GRANTER_H
#define NODE_GRANTER_H

#include <stdbool.h>
#include <stdint.h>

#include "gate/grant-call.h"
#include "gate/instance-proof.h"
#include "net/fetch.h"

/*
 * Sends the calls that gate/grant-call.h chooses to the backend server beside
 * this node, a few at a time.
 *
 * A call does not name the instance of the backend server that it is meant for.
 * If the backend server has restarted at the same address, and its first
 * heartbeat has not arrived yet, the new instance would accept a grant meant
 * for the previous one, under a fence that the previous one already had. So
 * grants are sent only over connections that gate/instance-proof.h allows.
 * Releases have connections of their own, which no grant may use.
 */

struct node;

/* Calls in flight at a time, by kind. */
#define GRANTER_MAX_GRANTS 4
#define GRANTER_MAX_RELEASES 8

/* A call and its HTTP request; unused unless busy. */
struct granter_request {
	struct granter *granter;
	struct grant_call call;
	struct fetch fetch;
	char *body;
	bool busy;
};

struct granter {
	struct node *node;
	struct fetcher fetcher; /* for grants */
	struct fetcher release_fetcher;
	struct granter_request
		requests[GRANTER_MAX_GRANTS + GRANTER_MAX_RELEASES];
	uint32_t n_busy[2]; /* by enum grant_call_kind */
	struct instance_proof proof;
	bool at_limit; /* the most calls of a kind are in flight */
};

void granter_init(struct granter *x, struct node *node);
void granter_finish(struct granter *x);

/*
 * The known instance of the backend server sent a heartbeat. is_first: it was
 * not known before.
 */
void granter_on_heartbeat(struct granter *x, bool is_first);

/* Starts the calls that are due. */
void granter_tick(struct granter *x);

/* What a call that ended with this result is known to have done. */
enum grant_outcome granter_outcome(const struct fetch *f, int result);

#endif

#ifndef NODE_GRANTER_H
#define NODE_GRANTER_H

#include <stdbool.h>
#include <stdint.h>

#include "gate/grant-call.h"
#include "net/fetch.h"

/*
 * Carries the calls that gate/grant-call.h decides on to the backend server
 * beside this node, a few at a time.
 *
 * A call does not say which life of the server it is meant for. A server that
 * ended and started again at the same address, before its first heartbeat has
 * told us so, would take keys under a fence that its life before already had.
 * So what gives keys goes only over connections opened soon after a heartbeat
 * of the life that we know: those end with it.
 */

struct node;

#define GRANTER_MAX_GRANTS 4
#define GRANTER_MAX_RELEASES 8

struct granter_request {
	struct granter *granter;
	struct grant_call call;
	struct fetch fetch;
	char *body;
	bool busy;
};

struct granter {
	struct node *node;
	struct fetcher fetcher;
	struct granter_request
		requests[GRANTER_MAX_GRANTS + GRANTER_MAX_RELEASES];
	uint32_t n_busy[2]; /* by kind of call */
	int64_t last_heartbeat_at_ms; /* the server's last heartbeat */
	bool awaits_heartbeat; /* no grants before the next one */
	bool at_limit; /* there was more to call than could be carried */
};

void granter_init(struct granter *x, struct node *node);
void granter_finish(struct granter *x);

/* A heartbeat of the life that we know was heard. */
void granter_on_heartbeat(struct granter *x);

/* Carry what is due. */
void granter_tick(struct granter *x);

#endif

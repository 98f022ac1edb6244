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

#define GRANTER_GIVES 4
#define GRANTER_TAKES 8

struct granter_lane {
	struct granter *granter;
	struct grant_call call;
	struct fetch fetch;
	char *body;
	bool busy;
};

struct granter {
	struct node *node;
	struct fetcher fetcher;
	struct granter_lane lanes[GRANTER_GIVES + GRANTER_TAKES];
	uint32_t n_busy[2]; /* by kind of call */
	int64_t heard_ms; /* the server's last heartbeat */
	bool await_beat; /* no grants before the next one */
	bool more; /* there was more to call than could be carried */
};

void granter_init(struct granter *x, struct node *node);
void granter_finish(struct granter *x);

/* A heartbeat of the life that we know was heard. */
void granter_on_beat(struct granter *x);

/* Carry what is due. */
void granter_tick(struct granter *x);

#endif

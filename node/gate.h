#ifndef NODE_GATE_H
#define NODE_GATE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "gate/admission.h"
#include "gate/delay.h"
#include "gate/grants.h"
#include "gate/ids.h"
#include "net/fetch.h"
#include "net/request-msg.h"
#include "route/balance.h"
#include "state/fleet.h"
#include "util/fifo-cache.h"

/*
 * The only way to the backend server beside this node. It admits, queues or
 * refuses requests from entries, hands them over one by one within the limit,
 * and sends the answers back.
 */

struct node;

/* The process of an entry, by what it sends. */
struct gate_origin {
	struct delay delay;
	bool known; /* a message of it is known to have come without delay */
};

/* An entry at the other end of a link. */
struct gate_entry {
	int64_t heard_ms; /* it last asked for something */
	bool unheard; /* the last words to it are on their way */
	bool answered_since; /* and something was said after them */
};

/* What the backend server said of itself. */
struct backend_server {
	bool announced;
	uint32_t slots;
	uint32_t connections;
	int64_t probe_cost_ms;
	/* Names one start of it, "" not told. */
	char life[SERVER_INSTANCE_ID_MAX_LEN + 1];
	/* As requests name it, "" not at all. */
	char id[SERVER_INSTANCE_ID_MAX_LEN + 1];
};

struct gate {
	struct node *node;
	struct fetcher fetcher;
	bool fetcher_ready;
	struct backend_server backend_server;
	struct admission load;
	struct grants grants;
	struct balance balance;
	struct ids ids;
	GHashTable *requests; /* struct gate_request, by origin and id */
	GPtrArray *parked; /* struct gate_request */
	GPtrArray *cut; /* the same */
	GPtrArray *asked; /* the same */
	uint32_t *shard_load; /* in flight or waiting, per shard */
	uint32_t n_shards;
	bool draining;
	/*
	 * When our data centre was taken out of service; 0 it is in, or it was
	 * out already when this process first heard.
	 */
	int64_t out_since_ms;
	bool in_service; /* by the newest configuration */
	int64_t version; /* configuration that the queue follows */
	GHashTable *class_indexes; /* name -> index into its classes + 1 */
	struct fifo_cache origins; /* entry -> struct gate_origin */
	int64_t hold_until_ms;
	/* Entry and id, of what has not come yet. */
	struct fifo_cache taken_back;
	int64_t heard_ms; /* last sign of life of the backend server */
	int64_t next_probe_ms;
	uint32_t connect_failures; /* in a row */
	uint32_t connect_refusals; /* of those, as nobody listens */
	struct fetch probe;
	bool probing;
	ev_timer watch; /* runs while requests are in flight */
	ev_timer expiry; /* runs while requests wait */
	int64_t next_stall_note_ms;
	GHashTable *entries; /* GBytes identity -> struct gate_entry */
	bool ending; /* the last words have been said */
	GRand *rand;
};

void gate_init(struct gate *g, struct node *node);
void gate_finish(struct gate *g);

/*
 * The backend server could not be reached, or another one was found at its
 * address; or it was reached. Several failures in a row show that it is gone.
 */
void gate_not_connected(struct gate *g, const struct fetch *f);
void gate_connected(struct gate *g);

/* The backend server came or left. */
void gate_announce(struct gate *g, const struct backend_server *b);
void gate_leave(struct gate *g);

/*
 * A message from an entry: over an inbound link, or from our own entry when
 * identity is NULL.
 */
void gate_on_message(struct gate *g, const void *identity, size_t len,
		     const struct request_msg *m);
void gate_tick(struct gate *g);

/*
 * The process did not run for a while: begin nothing until what came meanwhile
 * had time to be read.
 */
void gate_hold(struct gate *g, int64_t now_ms);

/*
 * Take nothing any more. What has not begun is refused, as others may serve it;
 * what has begun goes on.
 */
void gate_stop_taking(struct gate *g);

/*
 * The process ends in a moment: say of all that is held what was begun and what
 * was not. Whoever is not told would have to wait, and then take it for begun.
 */
void gate_say_last(struct gate *g);

/* Whether all entries that are there have read what was said last. */
bool gate_was_heard(const struct gate *g);

/*
 * The process at a peer address is gone, and its callers with it: what it asked
 * for and has not begun is refused.
 */
void gate_entry_gone(struct gate *g, const char *address);

/* Requests in flight or waiting on a shard, and over all. */
/* Take over what changed in the configuration; cheap when nothing did. */
void gate_follow_configuration(struct gate *g);
uint32_t gate_shard_load(const struct gate *g, uint32_t shard);
bool gate_idle(const struct gate *g);

#endif

#ifndef NODE_GATE_H
#define NODE_GATE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "gate/admission.h"
#include "gate/delay.h"
#include "gate/grants.h"
#include "gate/ids.h"
#include "gate/last-messages.h"
#include "gate/reconcile.h"
#include "gate/server-end.h"
#include "net/fetch.h"
#include "net/port-check.h"
#include "net/request-msg.h"
#include "route/balance.h"
#include "state/fleet.h"
#include "util/fifo-cache.h"

/*
 * The gate is the only path to the backend server of this node. It admits,
 * queues or refuses requests from entries, sends them to the backend server
 * within its concurrency limit, and returns the answers to the entries.
 */

struct node;

/* What is known of one process of an entry, by the messages it sends. */
struct gate_origin {
	struct delay delay;
	/* At least one message is known to have arrived without delay. */
	bool delay_known;
	uint64_t serial; /* differs from that of an earlier, evicted record */
	struct reconcile_entry reconcile;
};

/* An entry at the other end of a link. */
struct gate_entry {
	int64_t last_request_at_ms;
	bool stopping_ack_pending; /* stop notice sent, not acknowledged yet */
	bool sent_after_stopping; /* messages followed the stop notice */
};

/* What the backend server announced. */
struct backend_server {
	bool announced;
	uint32_t slots;
	uint32_t connections;
	int64_t probe_cost_ms;
	/* Identifies one run of its process; "" if not announced. */
	char instance_id[SERVER_INSTANCE_ID_MAX_LEN + 1];
	/*
	 * Sent with requests as the instance that they are meant for; "": the
	 * header is omitted.
	 */
	char id[SERVER_INSTANCE_ID_MAX_LEN + 1];
};

/* The last end of a backend server that was noticed. */
struct ended_server {
	char instance_id[SERVER_INSTANCE_ID_MAX_LEN + 1];
	int64_t at_ms; /* 0: none */
	const char *why; /* how it was noticed */
	bool reported; /* to the fleet */
	ev_timer report_timer; /* runs until it is */
	struct port_check check;
	int64_t next_check_at_ms;
};

struct gate {
	struct node *node;
	struct fetcher fetcher;
	bool fetcher_ready;
	struct backend_server backend_server;
	struct admission admission;
	struct grants grants;
	struct balance balance;
	struct ids ids;
	GHashTable *requests; /* struct gate_request, by origin and id */
	/* Requests in GATE_SHARD_WAIT, GATE_LINK_WAIT and GATE_CONFIRM_WAIT. */
	GPtrArray *shard_waiters;
	GPtrArray *link_waiters;
	GPtrArray *confirm_waiters;
	uint32_t *shard_load; /* requests held by the gate, per shard */
	uint32_t n_shards;
	bool draining;
	/*
	 * When this process saw our data centre taken out of service; 0 if it
	 * is in service, or was out of service in the first configuration that
	 * this process saw.
	 */
	int64_t out_of_service_since_ms;
	bool in_service; /* our data centre, by the newest configuration */
	int64_t configuration_version; /* that was applied last; -1: none */
	int64_t configuration_source; /* the same, of its classes */
	GHashTable *class_indexes; /* name -> index into its classes + 1 */
	struct fifo_cache origins; /* entry -> struct gate_origin */
	uint64_t n_origins; /* records added to it so far */
	/*
	 * Of requests that may run once only [0] and of repeatable ones [1],
	 * which are many more and must not displace the others.
	 */
	struct last_messages last_messages[2];
	/* No queued request is started earlier, see gate_pause_starts(). */
	int64_t no_start_until_ms;
	/* Cancels that arrived before their request, by origin and id. */
	struct fifo_cache early_cancels;
	int64_t backend_alive_at_ms; /* last answer or announcement */
	int64_t backend_announced_at_ms; /* its present instance, first */
	bool server_said_leaving; /* in an answer, not acted on yet */
	int64_t next_probe_at_ms;
	uint32_t connect_failures; /* in a row */
	uint32_t connect_refusals; /* of those, by a port without a listener */
	struct server_end server_end;
	struct ended_server ended;
	GPtrArray *suspect_waiters; /* requests in GATE_SUSPECT_WAIT */
	struct fetch probe;
	bool probing;
	ev_timer stall_timer; /* runs while admission needs it */
	ev_timer expiry_timer; /* runs while requests are queued */
	int64_t next_stall_notice_at_ms;
	GHashTable *entries; /* GBytes identity -> struct gate_entry */
	bool stopping; /* stop notices have been sent to the entries */
	GRand *rand;
};

void gate_init(struct gate *g, struct node *node);
void gate_finish(struct gate *g);

/*
 * Records that the backend server could not be reached, or that another server
 * answered at its address. After several failures in a row the backend server
 * counts as stopped.
 */
void gate_connect_failed(struct gate *g, const struct fetch *f);

/* Records that the backend server was reached: resets the failure counts. */
void gate_connect_succeeded(struct gate *g);

/* The backend server announced itself: requests are admitted from now on. */
void gate_backend_announced(struct gate *g, const struct backend_server *b);

/* The backend server left or cannot be reached: drains the gate. */
void gate_backend_left(struct gate *g);

/*
 * Handles a message from an entry: from the inbound link with this identity,
 * or from the entry of this process when identity is NULL.
 */
void gate_on_message(struct gate *g, const void *identity, size_t len,
		     const struct request_msg *m);

/*
 * Does the periodic work: applies a changed configuration, refuses overtaken
 * and expired requests, moves shards, probes the backend server.
 */
void gate_tick(struct gate *g);

/*
 * To be called when the process was suspended for a while. Starts no queued
 * request until the messages that arrived meanwhile, among them cancels, had
 * time to be read.
 */
void gate_pause_starts(struct gate *g, int64_t now_ms);

/*
 * Admits no request from now on. Requests that wait are refused, so that other
 * members can serve them; those handed to the backend server are completed.
 */
void gate_drain(struct gate *g);

/*
 * To be called just before the process ends. Refuses each request that was
 * not sent to the backend server, fails each that was, and sends the entries a
 * stop notice (REQ_STOPPING). An entry without such an answer would have to
 * wait, and then assume that its request was started.
 */
void gate_stop(struct gate *g);

/* Whether all entries have acknowledged the stop notice sent to them. */
bool gate_stopping_is_acked(const struct gate *g);

/*
 * The process at a peer address has ended, and the connections to its callers
 * with it. Refuses its requests that are not with the backend server yet.
 */
void gate_entry_stopped(struct gate *g, const char *address);

/* Applies a changed configuration; cheap when nothing changed. */
void gate_apply_configuration(struct gate *g);

/* Number of requests that the gate holds for a shard, waiting or in flight. */
uint32_t gate_shard_load(const struct gate *g, uint32_t shard);

/* Whether the gate holds no request. */
bool gate_is_idle(const struct gate *g);

#endif

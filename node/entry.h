#ifndef NODE_ENTRY_H
#define NODE_ENTRY_H

#include <stdint.h>
#include <glib.h>

#include "net/httpd.h"
#include "net/request-msg.h"
#include "route/budget.h"
#include "route/choose.h"
#include "route/cost.h"
#include "state/fleet.h"
#include "util/fifo-cache.h"

/*
 * The callers' side of a node: finds the class and key of each request, sends
 * it to a gate that can serve it, retries where that is safe, and answers the
 * caller.
 */

struct node;
struct entry_request;

struct entry {
	struct node *node;
	GHashTable *costs; /* class -> struct class_cost */
	struct httpd httpd;
	/* Those whose limits were applied; -1: none. */
	int64_t configuration_version;
	int64_t configuration_source;
	struct chooser chooser;
	/* int64_t shard -> int64_t fence, see entry-pick.c */
	GHashTable *prev_owner_refusals;
	GHashTable *budgets; /* service -> struct retry_budget */
	GHashTable *attempts; /* uint64_t id -> struct attempt */
	GPtrArray *requests; /* struct entry_request */
	/* address of a gate to ask -> GArray of struct listed_attempt */
	GHashTable *to_reconcile;
	/* address -> struct sent_cancel, the last one sent there */
	GHashTable *sent_cancels;
	/* hash of a server instance -> struct server_status, if it says any */
	struct fifo_cache server_status;
	GRand *rand;
	uint64_t origin; /* random id of this process in messages to gates */
	uint64_t next_id; /* id of the last attempt */
	ev_timer tick; /* runs while there are requests */
};

/* Listens for callers. Results as httpd_init(). */
int entry_init(struct entry *e, struct node *node);

/* Stops listening and frees the entry; open requests are cut off. */
void entry_finish(struct entry *e);

/* Applies the limits of the configuration in force, if that has changed. */
void entry_apply_configuration(struct entry *e);

/* Handles a message from a gate. */
void entry_on_message(struct entry *e, const struct request_msg *m);

/* A member has joined; its backend server may be known here. */
void entry_on_member_joined(struct entry *e, const struct member *m);

/*
 * To be called when a member's process has certainly ended. The requests sent
 * to its gate ended with it, so their attempts are ended without waiting.
 */
void entry_on_member_superseded(struct entry *e, int64_t member);

/*
 * To be called when a member left or its lease lapsed. Attempts already sent
 * there may still be answered; those not sent yet are cancelled, and the gate
 * is suspect for a while.
 */
void entry_on_member_lease_over(struct entry *e, int64_t member);

/* Makes callers open new connections, which may lead them to other nodes. */
void entry_drain(struct entry *e);

/*
 * Answers every request whose answer has not begun, as the process is about to
 * exit.
 */
void entry_answer_open_requests(struct entry *e);

/* Accepts no new connections; requests in progress continue. */
void entry_close(struct entry *e);

/*
 * Whether no request is in progress and, after entry_close(), no connection is
 * open.
 */
bool entry_is_idle(const struct entry *e);

#endif

#ifndef NODE_ENTRY_H
#define NODE_ENTRY_H

#include <stdint.h>
#include <glib.h>

#include "net/httpd.h"
#include "net/request-msg.h"
#include "route/budget.h"
#include "route/choose.h"
#include "route/cost.h"

/*
 * The callers' side of a node: finds a request's class and key, asks the gate
 * that should serve it, tries again where that is safe, and answers.
 */

struct node;
struct entry_request;

struct entry {
	struct node *node;
	GHashTable *costs; /* class -> struct class_cost */
	struct httpd httpd;
	int64_t configuration_version; /* of the configuration whose limits it
					  has */
	struct chooser chooser;
	GHashTable *prev_owner_refusals; /* int64_t shard -> int64_t fence, see
					    entry-pick.c */
	GHashTable *budgets; /* service -> struct retry_budget */
	GHashTable *attempts; /* uint64_t id -> struct attempt */
	GPtrArray *requests; /* struct entry_request */
	GRand *rand;
	uint64_t origin;
	uint64_t next_id;
	ev_timer tick;
};

int entry_init(struct entry *e, struct node *node);
void entry_finish(struct entry *e);

/* Take over what changed in the configuration; cheap when nothing did. */
void entry_apply_configuration(struct entry *e);

/* A message from a gate. */
void entry_on_message(struct entry *e, const struct request_msg *m);

/*
 * A member's process is certainly gone, and with it all it was asked: wait for
 * it no longer.
 */
void entry_on_member_superseded(struct entry *e, int64_t member);

/*
 * A member left, or its lease lapsed. It may well be finishing what it was
 * asked, and answer; nothing new is sent there.
 */
void entry_on_member_lease_over(struct entry *e, int64_t member);

/* Ask callers to come by new connections, and so to look elsewhere. */
void entry_drain(struct entry *e);

/*
 * The process ends in a moment: answer what is still in progress, as far as no
 * answer has begun.
 */
void entry_answer_open_requests(struct entry *e);

/* Take no new connections; requests in progress end. */
void entry_close(struct entry *e);
bool entry_is_idle(const struct entry *e);

#endif

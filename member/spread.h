#ifndef MEMBER_SPREAD_H
#define MEMBER_SPREAD_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * How the newest change of the operators is handed from member to member: which
 * neighbours to offer it to and when, and which neighbour to ask for a newer
 * one. A change is known here only by its source, its offset in the operators'
 * stream. The module does no input or output, and times are arguments, in
 * milliseconds of the node's clock.
 *
 * A node that has a change offers it to all its neighbours, and again, at
 * growing intervals, to those that are not known to have it, until the log has
 * it. A node that lacks the change asks one neighbour at a time.
 */

/* The newest change that a neighbour is known to have. */
struct spread_peer {
	int64_t id;
	int64_t source;
	uint32_t n_asked; /* times it was asked for a change */
};

struct spread {
	int64_t held; /* newest change here, -1: none that the log lacks */
	GArray *peers; /* struct spread_peer */
	int64_t next_offer_at_ms;
	int64_t offer_interval_ms; /* 0: not offered yet */
	int64_t asked_source; /* newest change asked for, -1: none */
	int64_t asked_at_ms;
	uint32_t disabled_rules; /* enum spread_rule, tests only */
};

/* Rules that tests can disable, see enum member_rule. */
enum spread_rule {
	SPREAD_OFFER_AGAIN = 1 << 0, /* offers are repeated */
	SPREAD_ASK_ANOTHER = 1 << 1, /* another peer is asked after a while */
};

void spread_init(struct spread *s);
void spread_finish(struct spread *s);

/* A change is now here; offers of it are due at once. */
void spread_hold(struct spread *s, int64_t source, int64_t now_ms);

/* The log has all changes up to source: nothing older is offered any more. */
void spread_log_has(struct spread *s, int64_t source);

/* A peer has a change: it offered it, sent it, or asked for something newer. */
void spread_peer_has(struct spread *s, int64_t peer, int64_t source);

/* The newest change that any peer is known to have, -1 if none. */
int64_t spread_newest_known(const struct spread *s);

/*
 * Returns the peer to ask for a change newer than source now, or 0 if there is
 * none, or one was asked shortly before.
 */
int64_t spread_ask(struct spread *s, int64_t source, int64_t now_ms);

/* Whether offers are due. spread_offered() must follow. */
bool spread_offer_due(const struct spread *s, int64_t now_ms);

/* Whether a peer is to get an offer now. */
bool spread_lacks(const struct spread *s, int64_t peer);

/* Offers were sent; sets when they are due again. */
void spread_offered(struct spread *s, int64_t now_ms);

#endif

#ifndef NODE_BACKEND_H
#define NODE_BACKEND_H

#include "net/httpd.h"

/*
 * The platform's HTTP interface to a node: the ready page, and the heartbeats
 * of the backend server beside this node, whose answers may grant it shards. In
 * Briargrade's own interface, the backend server instead announces itself once
 * through the operators' interface (node/operator.c).
 */

struct leaving;
struct node;

/*
 * Listens on the addresses in the settings for the ready page and for
 * heartbeats; an empty address is skipped. Returns the results of httpd_init().
 */
int backend_init(struct node *n);
void backend_finish(struct node *n);

/*
 * The backend server has said in an answer that it leaves: resigns, until
 * another instance announces itself.
 */
void backend_said_leaving(struct node *n);

/* An HTTP answer in JSON to a backend server. */
void backend_reply(struct httpd_request *r, uint32_t status, const char *text);

/* Answers the heartbeat of that number with the shards that it grants. */
void backend_answer_heartbeat(struct node *n, struct httpd_request *r,
			      int64_t number);

/* The log tells that an instance beside this node has said that it leaves. */
void backend_left_by_log(struct node *n, const struct leaving *left);

/* Resigns once the backend server has sent no heartbeat for a lease. */
void backend_tick(struct node *n);

#endif

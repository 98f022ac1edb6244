#ifndef NODE_BACKEND_H
#define NODE_BACKEND_H

/*
 * The platform's HTTP interface to a node: the ready page, and the heartbeats
 * of the backend server beside this node, whose answers may grant it shards. In
 * Briargrade's own interface, the backend server instead announces itself once
 * through the operators' interface (node/operator.c).
 */

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

/* Resigns once the backend server has sent no heartbeat for a lease. */
void backend_tick(struct node *n);

#endif

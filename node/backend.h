#ifndef NODE_BACKEND_H
#define NODE_BACKEND_H

/*
 * What the backend server beside this node says of itself by heartbeats, and
 * what it is told in their answers: the platform's way. Our own interface has
 * it announce itself once to the operators' side.
 */

struct node;

/* Listen where the settings say. Results as httpd_init(). */
int backend_init(struct node *n);
void backend_finish(struct node *n);
void backend_tick(struct node *n);

#endif

#ifndef NET_PIPELINE_H
#define NET_PIPELINE_H

#include "net/httpd.h"

/*
 * Requests that a caller sends before the answer to an earlier one on the same
 * connection. libmicrohttpd leaves them in the socket until that answer is out,
 * so each would begin only when the one before has ended. Their heads are
 * looked at there, without being taken out, by a parser from a library, and
 * those that ask for nothing but an answer begin at once. When libmicrohttpd
 * comes to read the same bytes, the request that has begun takes the place of
 * the one it reads; answers leave in the order of the requests.
 */

/* Look at what waits on a connection whose request is being worked on. */
void pipeline_poll(struct httpd_connection *c);

/*
 * libmicrohttpd has read the request r. Returns the one begun ahead for it, now
 * the caller's, or NULL when it is none of those.
 */
struct httpd_request *pipeline_claim(struct httpd_connection *c,
				     const struct httpd_request *r);

/* The caller has left: nothing that was begun ahead is wanted any more. */
void pipeline_caller_left(struct httpd_connection *c);

/* The connection is closed: end what was begun ahead on it. */
void pipeline_drop(struct httpd_connection *c);

#endif

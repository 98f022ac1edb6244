#ifndef NET_PIPELINE_H
#define NET_PIPELINE_H

#include "net/httpd.h"
#include "net/socket-bytes.h"

/*
 * HTTP pipelining: requests that a caller sends before it has the answer to an
 * earlier one on the same connection. libmicrohttpd leaves them in the socket
 * until that answer is sent, so each would begin only after the previous one
 * has ended. Here their heads are peeked at in the socket and parsed with
 * http_parser, and GET requests without a body are begun at once. When
 * libmicrohttpd later reads the same bytes, the request begun early replaces
 * the one it has read. Answers are still sent in the order of the requests.
 */

/*
 * Whether the first unread byte of a socket begins a request. libmicrohttpd may
 * have read a part of the next request into its own buffer; then the rest of
 * that one comes first, whose body may look like a request. parsed_bytes: of
 * the requests that it has parsed so far. Never where the kernel does not count
 * the bytes received.
 */
bool pipeline_is_in_step(const struct socket_bytes *b, int64_t parsed_bytes);

/* Begin the pipelined requests that are unread in the connection's socket. */
void pipeline_poll(struct httpd_connection *c);

/*
 * Called when libmicrohttpd has read the request r. Returns the request that
 * was begun early from the same bytes, and passes ownership of it; NULL when r
 * was not begun early.
 */
struct httpd_request *pipeline_claim(struct httpd_connection *c,
				     const struct httpd_request *r);

/* The caller has left: call on_caller_left for each request begun early. */
void pipeline_caller_left(struct httpd_connection *c);

/* The connection is closed: end and free the requests begun early on it. */
void pipeline_drop(struct httpd_connection *c);

#endif

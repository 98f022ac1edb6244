#ifndef NET_CONNECTIONS_H
#define NET_CONNECTIONS_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <netinet/in.h>

/*
 * The open connections of an HTTP client, with the bytes of the answers
 * received on each. When more have arrived, some belong to no request, and the
 * connection must not be used again. The client library drops such bytes
 * silently where an answer has no body, and takes those that wait for the next
 * answer.
 */
struct connections {
	GArray *all; /* struct connection */
};

/* Connections to different addresses may have the same local port. */
struct connection_ends {
	int local_port; /* 0 until it is connected */
	int port;
	char ip[INET6_ADDRSTRLEN]; /* of the other end, as port is */
};

struct connection {
	int fd;
	const void *opener; /* for whom it is connected; NULL once it is used */
	struct connection_ends ends;
	int64_t answered_bytes; /* of the answers received on it */
};

void connections_init(struct connections *t);
void connections_finish(struct connections *t);

/* A socket was created, or is about to be closed. */
void connections_opened(struct connections *t, int fd, const void *opener);
void connections_closed(struct connections *t, int fd);

/*
 * The opener has ended. The client library closes a socket that did not connect
 * without telling.
 */
void connections_opener_ended(struct connections *t, const void *opener);

/*
 * The connection with these ends, or NULL. Valid until the next call that takes
 * a socket.
 */
struct connection *connections_find(struct connections *t,
				    const struct connection_ends *ends);

/* Whether any connection that is used or kept is open at both ends. */
bool connections_any_open(const struct connections *t);

/*
 * Whether more bytes have arrived than those of the answers. Where the kernel
 * does not count them, only those still unread are seen.
 */
bool connection_has_stray_bytes(const struct connection *c);

#endif

#ifndef NET_SOCKET_BYTES_H
#define NET_SOCKET_BYTES_H

#include <stdbool.h>
#include <stdint.h>

/* How many bytes have arrived at a TCP socket. */
struct socket_bytes {
	int64_t received; /* since it was connected; a FIN counts as one */
	int64_t unread; /* of these, still to be read */
};

/*
 * Reads both counts. One that the kernel does not tell is 0. Returns false if
 * either could not be read.
 */
bool socket_bytes_read(int fd, struct socket_bytes *b);

/* Whether the other end has closed a connected socket, or it has failed. */
bool socket_is_closed(int fd);

#endif

#ifndef NET_PORT_CHECK_H
#define NET_PORT_CHECK_H

#include <stdbool.h>
#include <ev.h>

/*
 * Finds out whether a process listens on an address, by opening a connection
 * and closing it at once.
 */

struct port_check {
	struct ev_loop *loop;
	ev_io watch; /* active while a check runs */
	int fd;
	void (*on_refused)(void *user); /* no process listens there */
	void *user;
};

void port_check_init(struct port_check *c, struct ev_loop *loop,
		     void (*on_refused)(void *user), void *user);
/* Ends a check that runs. */
void port_check_finish(struct port_check *c);

/*
 * Starts a check, unless one runs. on_refused may be called before it returns.
 * Returns RESULT_OK, RESULT_INVALID for a malformed address, or RESULT_IO when
 * no connection can be attempted.
 */
int port_check_start(struct port_check *c, const char *address);

#endif

#define _GNU_SOURCE /* for SOCK_NONBLOCK */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"
#include "net/port-check.h"
#include "util/result.h"

static void end_check(struct port_check *c, int error)
{
	ev_io_stop(c->loop, &c->watch);
	close(c->fd);
	c->fd = -1;
	if (error == ECONNREFUSED)
		c->on_refused(c->user);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	struct port_check *c = w->data;
	int error = 0;
	socklen_t len = sizeof(error);

	(void)loop;
	(void)events;
	if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len))
		error = errno;
	end_check(c, error);
}

void port_check_init(struct port_check *c, struct ev_loop *loop,
		     void (*on_refused)(void *user), void *user)
{
	memset(c, 0, sizeof(*c));
	c->loop = loop;
	c->fd = -1;
	c->on_refused = on_refused;
	c->user = user;
	ev_init(&c->watch, on_writable);
	c->watch.data = c;
}

void port_check_finish(struct port_check *c)
{
	if (c->fd >= 0)
		end_check(c, 0);
}

int port_check_start(struct port_check *c, const char *address)
{
	struct sockaddr_in to;
	int err = address_parse(address, &to);

	if (err || c->fd >= 0)
		return err;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->fd < 0)
		return RESULT_IO;
	if (connect(c->fd, (struct sockaddr *)&to, sizeof(to)) &&
	    errno != EINPROGRESS) {
		end_check(c, errno);
		return RESULT_OK;
	}
	ev_io_set(&c->watch, c->fd, EV_WRITE);
	ev_io_start(c->loop, &c->watch);
	return RESULT_OK;
}

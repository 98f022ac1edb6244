#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "net/connections.h"

void connections_init(struct connections *t)
{
	t->all = g_array_new(FALSE, FALSE, sizeof(struct connection));
}

void connections_finish(struct connections *t)
{
	g_array_unref(t->all);
}

void connections_opened(struct connections *t, int fd)
{
	struct connection c = { .fd = fd };

	g_array_append_val(t->all, c);
}

void connections_closed(struct connections *t, int fd)
{
	uint32_t i = t->all->len;

	while (i-- > 0)
		if (g_array_index(t->all, struct connection, i).fd == fd)
			g_array_remove_index_fast(t->all, i);
}

static int read_local_port(int fd)
{
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);

	if (getsockname(fd, (struct sockaddr *)&sa, &len))
		return 0;
	return ntohs(sa.sin_port);
}

struct connection *connections_find(struct connections *t, int local_port)
{
	uint32_t i;

	for (i = 0; i < t->all->len; i++) {
		struct connection *c =
			&g_array_index(t->all, struct connection, i);

		if (!c->local_port)
			c->local_port = read_local_port(c->fd);
		if (c->local_port == local_port)
			return c;
	}
	return NULL;
}

bool connection_has_stray_bytes(const struct connection *c)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);
	int unread = 0;

	if (!ioctl(c->fd, FIONREAD, &unread) && unread > 0)
		return true;
	return !getsockopt(c->fd, IPPROTO_TCP, TCP_INFO, &info, &len) &&
	       (int64_t)info.tcpi_bytes_received > c->answered_bytes;
}

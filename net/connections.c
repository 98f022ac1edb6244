#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

#include "net/connections.h"
#include "net/socket-bytes.h"

void connections_init(struct connections *t)
{
	t->all = g_array_new(FALSE, FALSE, sizeof(struct connection));
}

void connections_finish(struct connections *t)
{
	g_array_unref(t->all);
}

void connections_opened(struct connections *t, int fd, const void *opener)
{
	struct connection c = { .fd = fd, .opener = opener };

	g_array_append_val(t->all, c);
}

void connections_closed(struct connections *t, int fd)
{
	uint32_t i = t->all->len;

	while (i-- > 0)
		if (g_array_index(t->all, struct connection, i).fd == fd)
			g_array_remove_index_fast(t->all, i);
}

void connections_opener_ended(struct connections *t, const void *opener)
{
	uint32_t i;

	for (i = 0; i < t->all->len; i++)
		if (g_array_index(t->all, struct connection, i).opener ==
		    opener)
			g_array_remove_index_fast(t->all, i--);
}

union address {
	struct sockaddr any;
	struct sockaddr_in ip4;
	struct sockaddr_in6 ip6;
};

/* The ports of both families are at the same place. */
static int port_of(const union address *a)
{
	return ntohs(a->ip4.sin_port);
}

static void read_ends(int fd, struct connection_ends *ends)
{
	union address local = { 0 }, other = { 0 };
	socklen_t len = sizeof(local);
	const void *ip = &other.ip4.sin_addr;

	if (getsockname(fd, &local.any, &len))
		return;
	len = sizeof(other);
	if (getpeername(fd, &other.any, &len))
		return;
	if (other.any.sa_family == AF_INET6)
		ip = &other.ip6.sin6_addr;
	if (!inet_ntop(other.any.sa_family, ip, ends->ip, sizeof(ends->ip)))
		return;
	ends->port = port_of(&other);
	ends->local_port = port_of(&local);
}

static bool ends_equal(const struct connection_ends *a,
		       const struct connection_ends *b)
{
	return a->local_port == b->local_port && a->port == b->port &&
	       !strcmp(a->ip, b->ip);
}

struct connection *connections_find(struct connections *t,
				    const struct connection_ends *ends)
{
	uint32_t i;

	for (i = 0; i < t->all->len; i++) {
		struct connection *c =
			&g_array_index(t->all, struct connection, i);

		if (!c->ends.local_port)
			read_ends(c->fd, &c->ends);
		if (ends_equal(&c->ends, ends))
			return c;
	}
	return NULL;
}

bool connections_any_open(const struct connections *t)
{
	uint32_t i;

	for (i = 0; i < t->all->len; i++) {
		const struct connection *c =
			&g_array_index(t->all, struct connection, i);

		if (!c->opener && !socket_is_closed(c->fd))
			return true;
	}
	return false;
}

bool connection_has_stray_bytes(const struct connection *c)
{
	struct socket_bytes b;

	socket_bytes_read(c->fd, &b);
	return b.unread > 0 || b.received > c->answered_bytes;
}

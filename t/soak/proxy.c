#define _GNU_SOURCE /* accept4() */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <netinet/tcp.h>

#include "net/address.h"
#include "net/clock.h"
#include "t/soak/proxy.h"
#include "util/result.h"

#define BACKLOG 128
#define READ_BYTES 65536
#define MAX_QUEUED_BYTES (4 * 1024 * 1024)

/* Data to forward. A chunk without bytes is the end of the stream. */
struct chunk {
	int64_t due_at_ms;
	size_t n_sent;
	GByteArray *bytes;
	bool resets; /* this end is a reset */
};

/* One direction of a connection. */
struct pipe {
	struct proxy_connection *connection;
	enum proxy_direction direction;
	int from, to;
	ev_io read_watcher, write_watcher;
	ev_timer due_timer;
	GQueue chunks;
	size_t queued_bytes;
	bool eof_read;
	bool eof_sent;
};

struct proxy_connection {
	struct proxy *proxy;
	struct pipe pipes[PROXY_DIRECTIONS];
};

static void chunk_free(gpointer data)
{
	struct chunk *c = data;

	g_byte_array_unref(c->bytes);
	g_free(c);
}

static void connection_close(struct proxy_connection *conn, bool reset)
{
	struct linger at_once = { .l_onoff = 1, .l_linger = 0 };
	uint32_t i;

	for (i = 0; i < PROXY_DIRECTIONS; i++) {
		struct pipe *p = &conn->pipes[i];

		ev_io_stop(conn->proxy->loop, &p->read_watcher);
		ev_io_stop(conn->proxy->loop, &p->write_watcher);
		ev_timer_stop(conn->proxy->loop, &p->due_timer);
		g_queue_clear_full(&p->chunks, chunk_free);
		if (reset)
			setsockopt(p->from, SOL_SOCKET, SO_LINGER, &at_once,
				   sizeof(at_once));
		close(p->from);
	}
	g_ptr_array_remove_fast(conn->proxy->connections, conn);
	g_free(conn);
}

static void start_due_timer(struct pipe *p, int64_t ms)
{
	struct ev_loop *loop = p->connection->proxy->loop;

	ev_timer_stop(loop, &p->due_timer);
	ev_timer_set(&p->due_timer, ms / 1000.0, 0);
	ev_timer_start(loop, &p->due_timer);
}

/* Returns false when it has closed the connection, which frees p. */
static bool send_chunk(struct pipe *p, struct chunk *c, bool *would_block)
{
	ssize_t n;

	*would_block = false;
	if (c->resets) {
		connection_close(p->connection, true);
		return false;
	}
	if (!c->bytes->len) {
		shutdown(p->to, SHUT_WR);
		p->eof_sent = true;
		if (p->connection->pipes[!p->direction].eof_sent) {
			connection_close(p->connection, false);
			return false;
		}
		return true;
	}
	n = send(p->to, c->bytes->data + c->n_sent, c->bytes->len - c->n_sent,
		 MSG_NOSIGNAL);
	if (n < 0 && errno != EAGAIN && errno != ENOTCONN) {
		connection_close(p->connection, true);
		return false;
	}
	if (n > 0)
		c->n_sent += n;
	*would_block = c->n_sent < c->bytes->len;
	return true;
}

static void pump(struct pipe *p)
{
	struct proxy *x = p->connection->proxy;
	struct chunk *c;
	bool would_block;

	ev_io_stop(x->loop, &p->write_watcher);
	while (!x->blocked[p->direction] &&
	       (c = g_queue_peek_head(&p->chunks))) {
		int64_t now = clock_now_ms();

		if (c->due_at_ms > now) {
			start_due_timer(p, c->due_at_ms - now);
			return;
		}
		if (!send_chunk(p, c, &would_block))
			return;
		if (would_block) {
			ev_io_start(x->loop, &p->write_watcher);
			return;
		}
		p->queued_bytes -= c->bytes->len;
		chunk_free(g_queue_pop_head(&p->chunks));
	}
	if (!p->eof_read && p->queued_bytes < MAX_QUEUED_BYTES)
		ev_io_start(x->loop, &p->read_watcher);
}

static struct chunk *push_chunk(struct pipe *p, const guint8 *data, size_t len)
{
	struct chunk *c = g_new0(struct chunk, 1);

	c->due_at_ms = clock_now_ms() + p->connection->proxy->delay_ms;
	c->bytes = g_byte_array_new();
	g_byte_array_append(c->bytes, data, len);
	g_queue_push_tail(&p->chunks, c);
	p->queued_bytes += len;
	return c;
}

static bool draw_break(const struct pipe *p)
{
	const struct proxy *x = p->connection->proxy;

	return p->direction == PROXY_DOWN && x->break_share > 0 &&
	       g_rand_double(x->rand) < x->break_share;
}

static void break_off(struct pipe *p, const guint8 *data, size_t len)
{
	struct proxy *x = p->connection->proxy;
	size_t kept = g_rand_int_range(x->rand, 0, (gint32)len);

	if (kept)
		push_chunk(p, data, kept);
	push_chunk(p, NULL, 0)->resets = x->break_by_reset;
	p->eof_read = true;
}

static void on_in(struct ev_loop *loop, ev_io *w, int events)
{
	struct pipe *p = w->data;
	guint8 data[READ_BYTES];
	ssize_t n = recv(p->from, data, sizeof(data), 0);

	(void)events;
	if (n < 0 && errno == EAGAIN)
		return;
	if (n < 0) {
		connection_close(p->connection, true);
		return;
	}
	p->eof_read = !n;
	if (n && draw_break(p))
		break_off(p, data, n);
	else
		push_chunk(p, data, n);
	if (p->eof_read || p->queued_bytes >= MAX_QUEUED_BYTES)
		ev_io_stop(loop, w);
	pump(p);
}

static void on_out(struct ev_loop *loop, ev_io *w, int events)
{
	(void)loop;
	(void)events;
	pump(w->data);
}

static void on_due(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	pump(w->data);
}

static void pipe_init(struct proxy_connection *conn,
		      enum proxy_direction direction, int from, int to)
{
	struct pipe *p = &conn->pipes[direction];

	p->connection = conn;
	p->direction = direction;
	p->from = from;
	p->to = to;
	g_queue_init(&p->chunks);
	ev_io_init(&p->read_watcher, on_in, from, EV_READ);
	ev_io_init(&p->write_watcher, on_out, to, EV_WRITE);
	ev_init(&p->due_timer, on_due);
	p->read_watcher.data = p;
	p->write_watcher.data = p;
	p->due_timer.data = p;
	ev_io_start(conn->proxy->loop, &p->read_watcher);
}

static int new_socket(void)
{
	return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	struct proxy *p = w->data;
	int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct proxy_connection *conn;
	int on = 1;
	int to;

	(void)loop;
	(void)events;
	if (fd < 0)
		return;
	to = new_socket();
	if (to < 0 ||
	    (connect(to, (struct sockaddr *)&p->to, sizeof(p->to)) < 0 &&
	     errno != EINPROGRESS)) {
		if (to >= 0)
			close(to);
		close(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	conn = g_new0(struct proxy_connection, 1);
	conn->proxy = p;
	pipe_init(conn, PROXY_UP, fd, to);
	pipe_init(conn, PROXY_DOWN, to, fd);
	g_ptr_array_add(p->connections, conn);
}

int proxy_init(struct proxy *p, struct ev_loop *loop, const char *listen_at,
	       const char *to)
{
	struct sockaddr_in at;
	int on = 1;
	int fd;

	memset(p, 0, sizeof(*p));
	if (address_parse(listen_at, &at) || address_parse(to, &p->to))
		return RESULT_INVALID;
	fd = new_socket();
	if (fd < 0)
		return RESULT_IO;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) ||
	    listen(fd, BACKLOG)) {
		close(fd);
		return RESULT_IO;
	}
	p->loop = loop;
	p->connections = g_ptr_array_new();
	ev_io_init(&p->accept, on_accept, fd, EV_READ);
	p->accept.data = p;
	ev_io_start(loop, &p->accept);
	return RESULT_OK;
}

void proxy_reset_connections(struct proxy *p)
{
	while (p->connections->len)
		connection_close(g_ptr_array_index(p->connections, 0), true);
}

void proxy_set_delay(struct proxy *p, int64_t delay_ms)
{
	p->delay_ms = delay_ms;
}

void proxy_set_breaks(struct proxy *p, double share, bool by_reset,
		      uint32_t seed)
{
	if (!p->rand)
		p->rand = g_rand_new();
	g_rand_set_seed(p->rand, seed);
	p->break_share = share;
	p->break_by_reset = by_reset;
}

void proxy_block(struct proxy *p, bool up, bool down)
{
	uint32_t i, d;

	p->blocked[PROXY_UP] = up;
	p->blocked[PROXY_DOWN] = down;
	/*
	 * Backwards, since pump() may close a connection, and removing it moves
	 * the last one to its place.
	 */
	for (i = p->connections->len; i-- > 0;)
		for (d = 0; d < PROXY_DIRECTIONS && i < p->connections->len;
		     d++) {
			struct proxy_connection *conn =
				p->connections->pdata[i];

			pump(&conn->pipes[d]);
		}
}

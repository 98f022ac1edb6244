#define _GNU_SOURCE /* POLLRDHUP */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"
#include "net/ahead.h"
#include "net/clock.h"
#include "net/headers.h"
#include "net/httpd.h"
#include "util/counters.h"
#include "util/result.h"

#define CONNECTION_LIMIT 4096
#define IDLE_TIMEOUT_S 120
#define STREAM_BLOCK_BYTES (64 * 1024)
#define DRAIN_IDLE_S 1u
/* A tenth of the shortest target in use is lost on a request sent ahead. */
#define LOOK_EVERY_S 0.01

static void run(struct httpd *h)
{
	MHD_UNSIGNED_LONG_LONG ms;

	h->dirty = false;
	MHD_run(h->daemon);
	if (MHD_get_timeout(h->daemon, &ms) != MHD_YES) {
		ev_timer_stop(h->loop, &h->timer);
		return;
	}
	h->timer.repeat = MAX(ms, 1) / 1000.0;
	ev_timer_again(h->loop, &h->timer);
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	(void)loop;
	(void)events;
	run(w->data);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	run(w->data);
}

static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct httpd *h = w->data;

	(void)loop;
	(void)events;
	/* A resumed connection waits for MHD_run(), not for its socket. */
	while (h->dirty)
		run(h);
}

static void resume(struct httpd_request *r)
{
	ev_io_stop(r->httpd->loop, &r->watch);
	if (!r->suspended)
		return;
	if (r->from && r->from->current == r)
		r->from->current = NULL;
	r->suspended = false;
	r->httpd->dirty = true;
	MHD_resume_connection(r->connection);
}

static bool has_left(const struct httpd_connection *c)
{
	struct pollfd p = { .fd = c->fd, .events = POLLRDHUP };

	return poll(&p, 1, 0) > 0 && p.revents;
}

/*
 * End a request without a word: its caller may still read, and whatever we said
 * of one that goes on elsewhere could be wrong.
 */
static void cut(struct httpd_request *r)
{
	if (r->streaming) {
		httpd_end(r, false);
		return;
	}
	r->answered = true;
	r->cut = true;
	resume(r);
}

/*
 * All that came over the connection ends at once, not only the request whose
 * turn it is: one after the other, each would take a round of the loop, and
 * those that libmicrohttpd has read already would be begun for nobody.
 */
static void caller_left(struct httpd_request *r)
{
	struct httpd *h = r->httpd;

	ev_timer_stop(h->loop, &r->from->look);
	r->from->left = true;
	if (h->ops->on_gone) {
		h->ops->on_gone(h->user, r);
		ahead_left(r->from);
	}
	cut(r);
}

/*
 * libmicrohttpd does not look at the socket of a suspended connection. A
 * caller that leaves would go unnoticed, and a backend server go on working
 * for nobody. Bytes that wait to be read are a next request, no leaving; while
 * they wait the socket is always readable, so a timer looks for more.
 */
static void on_watch(struct ev_loop *loop, ev_io *w, int events)
{
	struct httpd_request *r = w->data;
	char byte;
	ssize_t n = recv(w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	(void)events;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	ev_io_stop(loop, w);
	if (n <= 0) {
		caller_left(r);
		return;
	}
	if (!r->from->current)
		return;
	ev_timer_again(loop, &r->from->look);
	if (has_left(r->from))
		caller_left(r);
	else if (!r->streaming)
		ahead_look(r->from);
}

static void on_look(struct ev_loop *loop, ev_timer *w, int events)
{
	struct httpd_connection *c = w->data;

	(void)events;
	if (!c->current)
		ev_timer_stop(loop, w);
	else if (has_left(c))
		caller_left(c->current);
	else if (!c->current->streaming)
		ahead_look(c);
}

static void watch_caller(struct httpd_request *r)
{
	if (!r->from || r->from->fd < 0)
		return;
	r->from->current = r;
	ev_io_init(&r->watch, on_watch, r->from->fd, EV_READ);
	r->watch.data = r;
	ev_io_start(r->httpd->loop, &r->watch);
}

struct httpd_request *httpd_request_new(struct httpd *h)
{
	struct httpd_request *r = g_new0(struct httpd_request, 1);

	r->httpd = h;
	r->read_us = clock_now_us();
	r->body = g_byte_array_new();
	ev_init(&r->watch, on_watch);
	return r;
}

void httpd_request_free(struct httpd_request *r)
{
	ev_io_stop(r->httpd->loop, &r->watch);
	g_free(r->method);
	g_free(r->path);
	g_free(r->url);
	g_byte_array_unref(r->body);
	if (r->headers)
		g_ptr_array_unref(r->headers);
	if (r->pending)
		g_byte_array_unref(r->pending);
	if (r->response)
		MHD_destroy_response(r->response);
	g_free(r);
}

/* libmicrohttpd hands the raw target over only here, before it is split. */
static void *on_uri(void *user, const char *uri, struct MHD_Connection *c)
{
	struct httpd_request *r = httpd_request_new(user);
	const union MHD_ConnectionInfo *info;

	r->connection = c;
	r->url = g_strdup(uri);
	info = MHD_get_connection_info(c, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	r->from = info ? info->socket_context : NULL;
	if (r->from)
		r->from->busy = true;
	return r;
}

static void take_body(struct httpd_request *r, const char *data, size_t *len)
{
	if (r->body->len + *len > r->httpd->max_body_bytes)
		r->too_large = true;
	if (!r->too_large)
		g_byte_array_append(r->body, (const guint8 *)data, *len);
	*len = 0;
}

static enum MHD_Result send_queued(struct httpd_request *r)
{
	enum MHD_Result ok;

	ok = MHD_queue_response(r->connection, r->status, r->response);
	MHD_destroy_response(r->response);
	r->response = NULL;
	return ok;
}

static enum MHD_Result wait_for_answer(struct httpd_request *r)
{
	if (r->response)
		return send_queued(r);
	MHD_suspend_connection(r->connection);
	r->suspended = true;
	watch_caller(r);
	return MHD_YES;
}

static enum MHD_Result on_access(void *user, struct MHD_Connection *c,
				 const char *path, const char *method,
				 const char *version, const char *data,
				 size_t *len, void **state)
{
	struct httpd *h = user;
	struct httpd_request *r = *state;
	struct httpd_request *begun;

	(void)c;
	(void)version;
	if (!r->path) {
		r->path = g_strdup(path);
		g_free(r->method);
		r->method = g_strdup(method);
		return MHD_YES;
	}
	if (*len) {
		take_body(r, data, len);
		return MHD_YES;
	}
	if (r->response)
		return send_queued(r);
	if (r->cut)
		return MHD_NO;
	if (r->answered)
		return MHD_YES;
	if (r->too_large) {
		httpd_reply_text(r, MHD_HTTP_CONTENT_TOO_LARGE,
				 "the body is too large\n");
		return send_queued(r);
	}
	/* It may have waited in the socket until its caller gave it up. */
	if (h->ops->on_gone && r->from &&
	    (r->from->left || has_left(r->from))) {
		r->from->left = true;
		ahead_left(r->from);
		COUNT(requests_left_unread);
		return MHD_NO;
	}
	begun = r->from ? ahead_take(r->from, r) : NULL;
	if (begun) {
		begun->connection = r->connection;
		httpd_request_free(r);
		*state = begun;
		return wait_for_answer(begun);
	}
	h->ops->on_request(h->user, r);
	return wait_for_answer(r);
}

static void on_completed(void *user, struct MHD_Connection *c, void **state,
			 enum MHD_RequestTerminationCode why)
{
	struct httpd *h = user;
	struct httpd_request *r = *state;

	(void)c;
	(void)why;
	if (!r)
		return;
	h->ops->on_closed(h->user, r);
	if (r->from) {
		r->from->busy = false;
		if (r->from->current == r)
			r->from->current = NULL;
	}
	httpd_request_free(r);
	*state = NULL;
}

static void on_connection(void *user, struct MHD_Connection *c,
			  void **socket_context,
			  enum MHD_ConnectionNotificationCode what)
{
	struct httpd *h = user;
	const union MHD_ConnectionInfo *info;
	struct httpd_connection *n = *socket_context;

	if (what == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (n) {
			ev_timer_stop(h->loop, &n->look);
			ahead_drop(n);
			g_ptr_array_remove_fast(h->connections, n);
		}
		*socket_context = NULL;
		return;
	}
	info = MHD_get_connection_info(c, MHD_CONNECTION_INFO_CONNECTION_FD);
	n = g_new0(struct httpd_connection, 1);
	n->httpd = h;
	n->connection = c;
	n->fd = info ? info->connect_fd : -1;
	ev_timer_init(&n->look, on_look, 0, LOOK_EVERY_S);
	n->look.data = n;
	g_queue_init(&n->ahead);
	g_ptr_array_add(h->connections, n);
	*socket_context = n;
}

static struct MHD_Daemon *start(struct httpd *h, struct sockaddr_in *addr)
{
	return MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO, 0,
		NULL, NULL, on_access, h, MHD_OPTION_SOCK_ADDR, addr,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTION_LIMIT,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
		MHD_OPTION_URI_LOG_CALLBACK, on_uri, h,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, h,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, h, MHD_OPTION_END);
}

int httpd_init(struct httpd *h, struct ev_loop *loop, const char *address,
	       uint64_t max_body_bytes, const struct httpd_ops *ops, void *user)
{
	const union MHD_DaemonInfo *info;
	struct sockaddr_in addr;
	int err = address_parse(address, &addr);

	if (err)
		return err;
	memset(h, 0, sizeof(*h));
	h->loop = loop;
	h->ops = ops;
	h->user = user;
	h->max_body_bytes = max_body_bytes;
	h->connections = g_ptr_array_new_with_free_func(g_free);
	h->daemon = start(h, &addr);
	if (!h->daemon) {
		g_ptr_array_unref(h->connections);
		return RESULT_IO;
	}
	info = MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&h->io, on_io, info->epoll_fd, EV_READ);
	ev_init(&h->timer, on_timer);
	ev_prepare_init(&h->prepare, on_prepare);
	h->io.data = h;
	h->timer.data = h;
	h->prepare.data = h;
	ev_io_start(loop, &h->io);
	ev_prepare_start(loop, &h->prepare);
	return RESULT_OK;
}

/* Stop listening and drop what is open. */
void httpd_finish(struct httpd *h)
{
	uint32_t i;

	ev_io_stop(h->loop, &h->io);
	ev_timer_stop(h->loop, &h->timer);
	ev_prepare_stop(h->loop, &h->prepare);
	/* libmicrohttpd aborts where a connection is suspended at its end. */
	for (i = 0; i < h->connections->len; i++) {
		struct httpd_connection *c =
			g_ptr_array_index(h->connections, i);

		ev_timer_stop(h->loop, &c->look);
		if (c->current)
			cut(c->current);
	}
	MHD_run(h->daemon);
	MHD_stop_daemon(h->daemon);
	h->daemon = NULL;
	g_ptr_array_unref(h->connections);
}

void httpd_drain(struct httpd *h)
{
	uint32_t i;

	h->draining = true;
	/*
	 * libmicrohttpd closes these itself. A request that comes meanwhile is
	 * answered; shut down from outside, one just being read would get no
	 * answer though a server works on it.
	 */
	for (i = 0; i < h->connections->len; i++) {
		struct httpd_connection *c =
			g_ptr_array_index(h->connections, i);

		if (c->busy || c->closing)
			continue;
		c->closing = true;
		MHD_set_connection_option(c->connection,
					  MHD_CONNECTION_OPTION_TIMEOUT,
					  DRAIN_IDLE_S);
	}
	h->dirty = true;
}

void httpd_close(struct httpd *h)
{
	MHD_socket fd;

	httpd_drain(h);
	if (h->closed)
		return;
	h->closed = true;
	fd = MHD_quiesce_daemon(h->daemon);
	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

bool httpd_quiet(const struct httpd *h)
{
	return !h->connections->len;
}

uint32_t httpd_behind(const struct httpd_request *r)
{
	return r->from ? g_queue_get_length((GQueue *)&r->from->ahead) : 0;
}

static enum MHD_Result copy_header(void *user, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	(void)kind;
	header_add(user, name, value ? value : "");
	return MHD_YES;
}

GPtrArray *httpd_headers(const struct httpd_request *r)
{
	GPtrArray *out;

	if (r->headers)
		return g_ptr_array_ref(r->headers);
	out = headers_new();
	MHD_get_connection_values(r->connection, MHD_HEADER_KIND, copy_header,
				  out);
	return out;
}

/* A request header by name, NULL when absent. */
const char *httpd_header(const struct httpd_request *r, const char *name)
{
	if (r->headers)
		return header_find(r->headers, name);
	return MHD_lookup_connection_value(r->connection, MHD_HEADER_KIND,
					   name);
}

/* A query argument by name, NULL when absent. */
const char *httpd_argument(const struct httpd_request *r, const char *name)
{
	if (!r->connection)
		return NULL;
	return MHD_lookup_connection_value(r->connection, MHD_GET_ARGUMENT_KIND,
					   name);
}

static void add_headers(struct httpd_request *r, const GPtrArray *headers)
{
	uint32_t i;

	for (i = 0; headers && i + 1 < headers->len; i += 2)
		MHD_add_response_header(r->response,
					g_ptr_array_index(headers, i),
					g_ptr_array_index(headers, i + 1));
	if (r->httpd->draining || (r->from && r->from->left))
		MHD_add_response_header(r->response, "Connection", "close");
}

void httpd_reply(struct httpd_request *r, uint32_t status,
		 const GPtrArray *headers, const void *body, size_t len)
{
	if (r->answered)
		return;
	r->answered = true;
	r->status = status;
	r->response = MHD_create_response_from_buffer(len, (void *)body,
						      MHD_RESPMEM_MUST_COPY);
	add_headers(r, headers);
	resume(r);
}

/* Answer with a line of text. */
void httpd_reply_text(struct httpd_request *r, uint32_t status,
		      const char *text)
{
	httpd_reply(r, status, NULL, text, strlen(text));
}

static ssize_t on_read(void *user, uint64_t pos, char *out, size_t max)
{
	struct httpd_request *r = user;
	size_t n = MIN(max, r->pending->len);

	(void)pos;
	if (!n) {
		if (r->ended)
			return r->failed ? MHD_CONTENT_READER_END_WITH_ERROR
					 : MHD_CONTENT_READER_END_OF_STREAM;
		MHD_suspend_connection(r->connection);
		r->suspended = true;
		watch_caller(r);
		return 0;
	}
	memcpy(out, r->pending->data, n);
	g_byte_array_remove_range(r->pending, 0, n);
	if (r->httpd->ops->on_drained)
		r->httpd->ops->on_drained(r->httpd->user, r);
	return n;
}

void httpd_stream(struct httpd_request *r, uint32_t status,
		  const GPtrArray *headers, int64_t length)
{
	if (r->answered)
		return;
	r->answered = true;
	r->streaming = true;
	r->status = status;
	r->pending = g_byte_array_new();
	r->response = MHD_create_response_from_callback(
		length < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)length,
		STREAM_BLOCK_BYTES, on_read, r, NULL);
	add_headers(r, headers);
	resume(r);
}

/* Add bytes to a streamed answer. */
void httpd_push(struct httpd_request *r, const void *data, size_t len)
{
	g_byte_array_append(r->pending, data, len);
	resume(r);
}

/* End a streamed answer; one that is not whole cuts the connection. */
void httpd_end(struct httpd_request *r, bool whole)
{
	r->ended = true;
	r->failed = !whole;
	resume(r);
}

/* Bytes of a streamed answer that wait in memory. */
size_t httpd_pending(const struct httpd_request *r)
{
	return r->pending ? r->pending->len : 0;
}

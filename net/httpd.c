#define _GNU_SOURCE /* POLLRDHUP */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"
#include "net/pipeline.h"
#include "net/socket-bytes.h"
#include "net/clock.h"
#include "net/headers.h"
#include "net/httpd.h"
#include "util/counters.h"
#include "util/result.h"

#define CONNECTION_LIMIT 4096
#define IDLE_TIMEOUT_S 120
#define STREAM_BLOCK_BYTES (64 * 1024)
/*
 * libmicrohttpd's memory for one connection holds the head of a request, an
 * index of its header lines (a quarter of the head), and the head of the
 * answer.
 */
#define MIN_POOL_BYTES (32 * 1024)
#define HEADER_INDEX_DIVISOR 4
#define ANSWER_HEAD_BYTES (8 * 1024)
#define MAX_HEAD_BYTES (4 * 1024 * 1024)
#define DRAIN_IDLE_S 1u
#define REFUSAL_DELAY_S 0.1
/*
 * Delays a pipelined request by up to a tenth of the shortest target in use.
 */
#define PIPELINE_POLL_S 0.01

/* Stop old daemons whose last connection is closed. */
static void stop_unused(struct httpd *h)
{
	uint32_t i;

	for (i = h->daemons->len; i-- > 0;) {
		struct httpd_daemon *d = g_ptr_array_index(h->daemons, i);

		if (d->mhd != h->daemon && !d->n_connections)
			g_ptr_array_remove_index_fast(h->daemons, i);
	}
}

static void run_daemons(struct httpd *h)
{
	MHD_UNSIGNED_LONG_LONG ms;
	MHD_UNSIGNED_LONG_LONG timeout_ms = UINT64_MAX;
	uint32_t i;

	h->needs_run = false;
	for (i = 0; i < h->daemons->len; i++) {
		struct httpd_daemon *d = g_ptr_array_index(h->daemons, i);

		MHD_run(d->mhd);
		if (MHD_get_timeout(d->mhd, &ms) == MHD_YES)
			timeout_ms = MIN(timeout_ms, ms);
	}
	stop_unused(h);
	if (timeout_ms == UINT64_MAX) {
		ev_timer_stop(h->loop, &h->timer);
		return;
	}
	h->timer.repeat = MAX(timeout_ms, 1) / 1000.0;
	ev_timer_again(h->loop, &h->timer);
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	(void)loop;
	(void)events;
	run_daemons(w->data);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	run_daemons(w->data);
}

static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct httpd *h = w->data;

	(void)loop;
	(void)events;
	/* A resumed connection makes no progress before the next MHD_run(). */
	while (h->needs_run)
		run_daemons(h);
}

static void resume(struct httpd_request *r)
{
	ev_io_stop(r->httpd->loop, &r->caller_watch);
	if (!r->suspended)
		return;
	if (r->conn && r->conn->current == r)
		r->conn->current = NULL;
	r->suspended = false;
	r->httpd->needs_run = true;
	MHD_resume_connection(r->mhd_connection);
}

static bool caller_has_left(const struct httpd_connection *c)
{
	return socket_is_closed(c->fd);
}

/*
 * End a request and its connection without an answer. The caller may still
 * read, and any answer could be wrong while the request still runs elsewhere.
 */
static void drop_request(struct httpd_request *r)
{
	if (r->streaming) {
		httpd_stream_end(r, false);
		return;
	}
	r->answered = true;
	r->drop_unanswered = true;
	resume(r);
}

/*
 * End all requests of the connection at once, not only the current one. Ended
 * one after the other, each would take an iteration of the event loop, and
 * those that libmicrohttpd has already read would be begun although the caller
 * has left.
 */
static void on_caller_left(struct httpd_request *r)
{
	struct httpd *h = r->httpd;

	ev_timer_stop(h->loop, &r->conn->poll_timer);
	r->conn->caller_left = true;
	if (h->ops->on_caller_left) {
		h->ops->on_caller_left(h->user, r);
		pipeline_caller_left(r->conn);
	}
	drop_request(r);
}

/*
 * libmicrohttpd does not poll the socket of a suspended connection, so a caller
 * that closes it would not be noticed, and a backend server would continue to
 * work on a request whose answer cannot be delivered. Unread bytes are the next
 * request, not the end of the connection. While there are any the socket stays
 * readable, so from then on a timer checks it.
 */
static void on_socket_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct httpd_request *r = w->data;
	char byte;
	ssize_t n = recv(w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	(void)events;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	ev_io_stop(loop, w);
	if (n <= 0) {
		on_caller_left(r);
		return;
	}
	if (!r->conn->current)
		return;
	ev_timer_again(loop, &r->conn->poll_timer);
	if (caller_has_left(r->conn))
		on_caller_left(r);
	else if (!r->streaming)
		pipeline_poll(r->conn);
}

static void on_poll_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct httpd_connection *c = w->data;

	(void)events;
	if (!c->current)
		ev_timer_stop(loop, w);
	else if (caller_has_left(c))
		on_caller_left(c->current);
	else if (!c->current->streaming)
		pipeline_poll(c);
}

static void watch_caller(struct httpd_request *r)
{
	if (!r->conn || r->conn->fd < 0)
		return;
	r->conn->current = r;
	ev_io_init(&r->caller_watch, on_socket_readable, r->conn->fd, EV_READ);
	r->caller_watch.data = r;
	ev_io_start(r->httpd->loop, &r->caller_watch);
}

static void on_refusal_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct httpd_request *r = w->data;
	char unread[STREAM_BLOCK_BYTES];

	(void)loop;
	(void)events;
	while (r->conn &&
	       recv(r->conn->fd, unread, sizeof(unread), MSG_DONTWAIT) > 0)
		;
	httpd_reply_text(r, MHD_HTTP_BAD_REQUEST,
			 "the length of the body is in doubt\n");
}

struct httpd_request *httpd_request_new(struct httpd *h)
{
	struct httpd_request *r = g_new0(struct httpd_request, 1);

	r->httpd = h;
	r->read_at_us = clock_now_us();
	r->body = g_byte_array_new();
	byte_queue_init(&r->unsent);
	ev_init(&r->caller_watch, on_socket_readable);
	ev_init(&r->refusal_timer, on_refusal_timer);
	return r;
}

void httpd_request_free(struct httpd_request *r)
{
	ev_io_stop(r->httpd->loop, &r->caller_watch);
	ev_timer_stop(r->httpd->loop, &r->refusal_timer);
	g_free(r->method);
	g_free(r->path);
	g_free(r->url);
	g_byte_array_unref(r->body);
	if (r->headers)
		g_ptr_array_unref(r->headers);
	byte_queue_finish(&r->unsent);
	if (r->response)
		MHD_destroy_response(r->response);
	g_free(r);
}

/* The only callback that gets the raw request target, before it is split. */
static void *on_uri(void *user, const char *uri, struct MHD_Connection *c)
{
	struct httpd_request *r = httpd_request_new(user);
	const union MHD_ConnectionInfo *info;

	r->mhd_connection = c;
	r->url = g_strdup(uri);
	info = MHD_get_connection_info(c, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	r->conn = info ? info->socket_context : NULL;
	if (r->conn)
		r->conn->has_request = true;
	return r;
}

static void count_head(struct httpd_connection *n)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		n->mhd_connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

	if (info)
		n->parsed_bytes += (int64_t)info->header_size;
	if (!info ||
	    MHD_lookup_connection_value(n->mhd_connection, MHD_HEADER_KIND,
					MHD_HTTP_HEADER_TRANSFER_ENCODING))
		n->parsed_unknown = true;
}

/* What the head of a request says of the length of its body. */
struct framing {
	uint32_t n_lengths;
	uint32_t n_codings;
	bool is_chunked;
	bool has_odd_name;
};

static enum MHD_Result read_framing(void *user, enum MHD_ValueKind kind,
				    const char *name, const char *value)
{
	struct framing *f = user;

	(void)kind;
	if (!strcasecmp(name, MHD_HTTP_HEADER_CONTENT_LENGTH))
		f->n_lengths++;
	if (!strcasecmp(name, MHD_HTTP_HEADER_TRANSFER_ENCODING)) {
		f->n_codings++;
		f->is_chunked = value && !strcasecmp(value, "chunked");
	}
	f->has_odd_name = f->has_odd_name || !header_name_is_valid(name);
	return MHD_YES;
}

/*
 * Whether the length of the body is beyond doubt. Where it is not, a proxy
 * before this one may take part of the body for another request, or the other
 * way round. libmicrohttpd chooses one of the lengths.
 */
static bool has_clear_length(struct MHD_Connection *c)
{
	struct framing f = { 0 };

	MHD_get_connection_values(c, MHD_HEADER_KIND, read_framing, &f);
	return f.n_lengths + f.n_codings <= 1 && !f.has_odd_name &&
	       f.is_chunked == (f.n_codings > 0);
}

/*
 * Refuses a request whose end is unknown, and reads nothing that follows on the
 * connection. Bytes that are unread when it is closed would reset it, and the
 * caller could lose the answer: what is under way is let in and discarded.
 */
static enum MHD_Result refuse_soon(struct httpd_request *r)
{
	MHD_suspend_connection(r->mhd_connection);
	r->suspended = true;
	if (r->conn)
		r->conn->current = r;
	ev_timer_init(&r->refusal_timer, on_refusal_timer, REFUSAL_DELAY_S, 0);
	r->refusal_timer.data = r;
	ev_timer_start(r->httpd->loop, &r->refusal_timer);
	return MHD_YES;
}

static void take_body(struct httpd_request *r, const char *data, size_t *len)
{
	if (r->conn)
		r->conn->parsed_bytes += (int64_t)*len;
	if (r->body->len + *len > r->httpd->max_body_bytes)
		r->too_large = true;
	if (!r->too_large)
		g_byte_array_append(r->body, (const guint8 *)data, *len);
	*len = 0;
}

static enum MHD_Result queue_response(struct httpd_request *r)
{
	enum MHD_Result ok;

	ok = MHD_queue_response(r->mhd_connection, r->status, r->response);
	MHD_destroy_response(r->response);
	r->response = NULL;
	return ok;
}

static enum MHD_Result wait_for_answer(struct httpd_request *r)
{
	if (r->response)
		return queue_response(r);
	MHD_suspend_connection(r->mhd_connection);
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

	if (!r->path) {
		r->is_http_1_0 = !strcmp(version, MHD_HTTP_VERSION_1_0);
		r->path = g_strdup(path);
		g_free(r->method);
		r->method = g_strdup(method);
		if (r->conn)
			count_head(r->conn);
		return has_clear_length(c) ? MHD_YES : refuse_soon(r);
	}
	if (*len) {
		take_body(r, data, len);
		return MHD_YES;
	}
	if (r->response)
		return queue_response(r);
	if (r->drop_unanswered)
		return MHD_NO;
	if (r->answered)
		return MHD_YES;
	if (r->too_large) {
		httpd_reply_text(r, MHD_HTTP_CONTENT_TOO_LARGE,
				 "the body is too large\n");
		return queue_response(r);
	}
	/* The caller may have left before the request was read. */
	if (h->ops->on_caller_left && r->conn &&
	    (r->conn->caller_left || caller_has_left(r->conn))) {
		r->conn->caller_left = true;
		pipeline_caller_left(r->conn);
		COUNT(requests_left_unread);
		return MHD_NO;
	}
	begun = r->conn ? pipeline_claim(r->conn, r) : NULL;
	if (begun) {
		begun->mhd_connection = r->mhd_connection;
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
	if (r->conn) {
		r->conn->has_request = false;
		if (r->conn->current == r)
			r->conn->current = NULL;
	}
	httpd_request_free(r);
	*state = NULL;
}

static struct httpd_daemon *daemon_of(struct httpd *h, struct MHD_Connection *c)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(c, MHD_CONNECTION_INFO_DAEMON);
	uint32_t i;

	for (i = 0; i < h->daemons->len; i++) {
		struct httpd_daemon *d = g_ptr_array_index(h->daemons, i);

		if (d->mhd == info->daemon)
			return d;
	}
	/*
	 * A daemon that is just starting is not in the list yet; its
	 * connection is counted with the latest one.
	 */
	return g_ptr_array_index(h->daemons, h->daemons->len - 1);
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
			n->daemon->n_connections--;
			ev_timer_stop(h->loop, &n->poll_timer);
			pipeline_drop(n);
			g_ptr_array_remove_fast(h->connections, n);
		}
		*socket_context = NULL;
		return;
	}
	info = MHD_get_connection_info(c, MHD_CONNECTION_INFO_CONNECTION_FD);
	n = g_new0(struct httpd_connection, 1);
	n->httpd = h;
	n->mhd_connection = c;
	n->fd = info ? info->connect_fd : -1;
	n->daemon = daemon_of(h, c);
	n->daemon->n_connections++;
	ev_timer_init(&n->poll_timer, on_poll_timer, 0, PIPELINE_POLL_S);
	n->poll_timer.data = n;
	g_queue_init(&n->pipelined);
	g_ptr_array_add(h->connections, n);
	*socket_context = n;
}

/* Start a daemon that listens at addr or, if NULL, on a listening socket. */
static struct MHD_Daemon *
start_daemon(struct httpd *h, struct sockaddr_in *addr, MHD_socket listening)
{
	enum MHD_OPTION where = addr ? MHD_OPTION_SOCK_ADDR : MHD_OPTION_END;
	unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
			     MHD_USE_TURBO;

	return MHD_start_daemon(
		flags, 0, NULL, NULL, on_access, h, MHD_OPTION_LISTEN_SOCKET,
		listening, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)h->pool_bytes,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTION_LIMIT,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
		MHD_OPTION_URI_LOG_CALLBACK, on_uri, h,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, h,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, h, where, addr,
		MHD_OPTION_END);
}

static void daemon_free(gpointer p)
{
	struct httpd_daemon *d = p;

	ev_io_stop(d->httpd->loop, &d->io);
	MHD_stop_daemon(d->mhd);
	g_free(d);
}

static int add_daemon(struct httpd *h, struct sockaddr_in *addr,
		      MHD_socket listening)
{
	struct MHD_Daemon *mhd = start_daemon(h, addr, listening);
	const union MHD_DaemonInfo *info;
	struct httpd_daemon *d;

	if (!mhd)
		return RESULT_IO;
	d = g_new0(struct httpd_daemon, 1);
	d->httpd = h;
	d->mhd = mhd;
	info = MHD_get_daemon_info(mhd, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&d->io, on_io, info->epoll_fd, EV_READ);
	d->io.data = h;
	ev_io_start(h->loop, &d->io);
	g_ptr_array_add(h->daemons, d);
	h->daemon = mhd;
	return RESULT_OK;
}

int httpd_init(struct httpd *h, struct ev_loop *loop, const char *address,
	       uint64_t max_body_bytes, const struct httpd_ops *ops, void *user)
{
	struct sockaddr_in addr;
	int err = address_parse(address, &addr);

	if (err)
		return err;
	memset(h, 0, sizeof(*h));
	h->loop = loop;
	h->ops = ops;
	h->user = user;
	h->max_body_bytes = max_body_bytes;
	h->pool_bytes = MIN_POOL_BYTES;
	h->connections = g_ptr_array_new_with_free_func(g_free);
	h->daemons = g_ptr_array_new_with_free_func(daemon_free);
	if (add_daemon(h, &addr, MHD_INVALID_SOCKET)) {
		g_ptr_array_unref(h->daemons);
		g_ptr_array_unref(h->connections);
		return RESULT_IO;
	}
	ev_init(&h->timer, on_timer);
	ev_prepare_init(&h->prepare, on_prepare);
	h->timer.data = h;
	h->prepare.data = h;
	ev_prepare_start(loop, &h->prepare);
	return RESULT_OK;
}

int httpd_raise_head_limit(struct httpd *h, uint64_t bytes)
{
	uint64_t head = MIN(bytes, MAX_HEAD_BYTES);
	uint64_t needs = head + head / HEADER_INDEX_DIVISOR + ANSWER_HEAD_BYTES;
	uint64_t old_bytes = h->pool_bytes;
	MHD_socket fd;

	if (h->stopped_listening || needs <= old_bytes)
		return RESULT_OK;
	fd = MHD_quiesce_daemon(h->daemon);
	if (fd == MHD_INVALID_SOCKET)
		return RESULT_IO;
	h->pool_bytes = needs;
	if (!add_daemon(h, NULL, fd))
		return RESULT_OK;
	h->pool_bytes = old_bytes;
	if (add_daemon(h, NULL, fd))
		g_error("cannot restart the HTTP listener");
	return RESULT_IO;
}

void httpd_finish(struct httpd *h)
{
	uint32_t i;

	ev_timer_stop(h->loop, &h->timer);
	ev_prepare_stop(h->loop, &h->prepare);
	/* MHD_stop_daemon() aborts if a connection is still suspended. */
	for (i = 0; i < h->connections->len; i++) {
		struct httpd_connection *c =
			g_ptr_array_index(h->connections, i);

		ev_timer_stop(h->loop, &c->poll_timer);
		if (c->current)
			drop_request(c->current);
	}
	for (i = 0; i < h->daemons->len; i++)
		MHD_run(((struct httpd_daemon *)g_ptr_array_index(h->daemons,
								  i))
				->mhd);
	g_ptr_array_unref(h->daemons);
	h->daemon = NULL;
	g_ptr_array_unref(h->connections);
}

void httpd_drain(struct httpd *h)
{
	uint32_t i;

	h->draining = true;
	/*
	 * With a short idle timeout libmicrohttpd closes the connections
	 * itself, and answers a request that arrives before that. If the
	 * sockets were shut down here, a request just being read would get no
	 * answer although a server runs it.
	 */
	for (i = 0; i < h->connections->len; i++) {
		struct httpd_connection *c =
			g_ptr_array_index(h->connections, i);

		if (c->has_request || c->idle_close_set)
			continue;
		c->idle_close_set = true;
		MHD_set_connection_option(c->mhd_connection,
					  MHD_CONNECTION_OPTION_TIMEOUT,
					  DRAIN_IDLE_S);
	}
	h->needs_run = true;
}

void httpd_stop_listening(struct httpd *h)
{
	MHD_socket fd;

	httpd_drain(h);
	if (h->stopped_listening)
		return;
	h->stopped_listening = true;
	fd = MHD_quiesce_daemon(h->daemon);
	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

bool httpd_has_no_connections(const struct httpd *h)
{
	return !h->connections->len;
}

uint32_t httpd_n_pipelined(const struct httpd_request *r)
{
	return r->conn ? g_queue_get_length((GQueue *)&r->conn->pipelined) : 0;
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
	MHD_get_connection_values(r->mhd_connection, MHD_HEADER_KIND,
				  copy_header, out);
	return out;
}

const char *httpd_header(const struct httpd_request *r, const char *name)
{
	if (r->headers)
		return header_find(r->headers, name);
	return MHD_lookup_connection_value(r->mhd_connection, MHD_HEADER_KIND,
					   name);
}

const char *httpd_argument(const struct httpd_request *r, const char *name)
{
	if (!r->mhd_connection)
		return NULL;
	return MHD_lookup_connection_value(r->mhd_connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

static void add_headers(struct httpd_request *r, const GPtrArray *headers)
{
	uint32_t i;

	for (i = 0; headers && i + 1 < headers->len; i += 2)
		MHD_add_response_header(r->response,
					g_ptr_array_index(headers, i),
					g_ptr_array_index(headers, i + 1));
	if (r->httpd->draining || (r->conn && r->conn->caller_left))
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

void httpd_reply_text(struct httpd_request *r, uint32_t status,
		      const char *text)
{
	httpd_reply(r, status, NULL, text, strlen(text));
}

static ssize_t read_unsent(void *user, uint64_t pos, char *out, size_t max)
{
	struct httpd_request *r = user;
	size_t n = byte_queue_take(&r->unsent, out, max);

	(void)pos;
	if (!n) {
		if (r->body_ended) {
			/* It closes the connection in its next run only. */
			r->httpd->needs_run |= r->body_incomplete;
			return r->body_incomplete
				       ? MHD_CONTENT_READER_END_WITH_ERROR
				       : MHD_CONTENT_READER_END_OF_STREAM;
		}
		MHD_suspend_connection(r->mhd_connection);
		r->suspended = true;
		watch_caller(r);
		return 0;
	}
	if (r->httpd->ops->on_drained)
		r->httpd->ops->on_drained(r->httpd->user, r);
	return n;
}

void httpd_stream_begin(struct httpd_request *r, uint32_t status,
			const GPtrArray *headers, int64_t length)
{
	if (r->answered)
		return;
	r->answered = true;
	r->streaming = true;
	r->ends_with_connection = r->is_http_1_0 && length < 0;
	r->status = status;
	r->response = MHD_create_response_from_callback(
		length < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)length,
		STREAM_BLOCK_BYTES, read_unsent, r, NULL);
	/* Without this, libmicrohttpd sends a last chunk after the head. */
	if (length < 0 && !strcmp(r->method, MHD_HTTP_METHOD_HEAD))
		MHD_set_response_options(r->response,
					 MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
					 MHD_RO_END);
	add_headers(r, headers);
	resume(r);
}

void httpd_stream_write(struct httpd_request *r, const void *data, size_t len)
{
	byte_queue_append(&r->unsent, data, len);
	resume(r);
}

/*
 * libmicrohttpd ends connections in order (FIN), which in a body without a
 * length marks its end.
 */
static void reset_connection(struct httpd_connection *c)
{
	struct sockaddr none = { .sa_family = AF_UNSPEC };

	if (connect(c->fd, &none, sizeof(none)))
		g_warning("cannot reset a caller's connection: %s",
			  g_strerror(errno));
}

void httpd_stream_end(struct httpd_request *r, bool complete)
{
	if (!complete && r->ends_with_connection && r->conn)
		reset_connection(r->conn);
	r->body_ended = true;
	r->body_incomplete = !complete;
	resume(r);
}

size_t httpd_unsent_bytes(const struct httpd_request *r)
{
	return r->unsent.len;
}

#include <errno.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "net/clock.h"
#include "net/fetch.h"
#include "util/counters.h"
#include "util/result.h"

#define CONNECT_TIMEOUT_MS 1000
#define MAX_IDLE_HANDLES 256
#define DEFAULT_MAX_IDLE_S 60
/* A connection whose other end is unreachable fails in about four seconds. */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define USER_TIMEOUT_MS 3000
#define MAX_HEADERS 128
#define FRAMING_CHECK_S 0.1

struct fetch_socket {
	struct fetcher *fetcher;
	ev_io io;
};

/*
 * Cancel a request inside a callback of libcurl. There libcurl refuses to
 * remove any handle and continues to use the current one: if that were reset
 * and reused for the next request, libcurl would write the answer to standard
 * output and then crash. So the handle is only detached from f here;
 * on_cleanup() removes it once the callback has returned.
 */
static void defer_cleanup(struct fetch *f)
{
	struct fetcher *x = f->fetcher;

	COUNT(fetch_orphans);
	curl_easy_setopt(f->easy, CURLOPT_PRIVATE, NULL);
	curl_easy_setopt(f->easy, CURLOPT_WRITEDATA, NULL);
	curl_easy_setopt(f->easy, CURLOPT_HEADERDATA, NULL);
	curl_easy_setopt(f->easy, CURLOPT_PREREQDATA, NULL);
	curl_easy_setopt(f->easy, CURLOPT_SOCKOPTDATA, NULL);
	curl_easy_pause(f->easy, CURLPAUSE_ALL);
	g_ptr_array_add(x->cancelled_handles, f->easy);
	/* The handle stays until the cleanup, so it must not refer to these. */
	curl_easy_setopt(f->easy, CURLOPT_HTTPHEADER, NULL);
	curl_slist_free_all(f->headers);
	f->headers = NULL;
	f->easy = NULL;
	ev_prepare_start(x->loop, &x->cleanup);
}

static void release_handle(struct fetch *f)
{
	struct fetcher *x = f->fetcher;

	g_ptr_array_remove_fast(x->in_flight, f);
	if (!x->in_flight->len)
		ev_timer_stop(x->loop, &x->framing_timer);
	/* A handle that libcurl still uses must not be reset or reused. */
	if (x->callback_depth || curl_multi_remove_handle(x->multi, f->easy)) {
		defer_cleanup(f);
		return;
	}
	curl_slist_free_all(f->headers);
	f->headers = NULL;
	curl_easy_reset(f->easy);
	if (x->idle_handles->len < MAX_IDLE_HANDLES)
		g_ptr_array_add(x->idle_handles, f->easy);
	else
		curl_easy_cleanup(f->easy);
	f->easy = NULL;
}

static void on_cleanup(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct fetcher *x = w->data;

	(void)events;
	while (x->cancelled_handles->len) {
		CURL *easy =
			g_ptr_array_remove_index_fast(x->cancelled_handles, 0);

		curl_multi_remove_handle(x->multi, easy);
		curl_easy_cleanup(easy);
	}
	ev_prepare_stop(loop, w);
}

static int to_result(const struct fetch *f, CURLcode code)
{
	if (f->rejected)
		return RESULT_MIXED;
	switch (code) {
	case CURLE_OK:
		return RESULT_OK;
	case CURLE_COULDNT_CONNECT:
	case CURLE_COULDNT_RESOLVE_HOST:
		return RESULT_UNREACHABLE;
	case CURLE_OPERATION_TIMEDOUT:
		return RESULT_TIMEOUT;
	default:
		return RESULT_CUT;
	}
}

static void report_head(struct fetch *f)
{
	if (f->head_done)
		return;
	f->head_done = true;
	curl_easy_getinfo(f->easy, CURLINFO_RESPONSE_CODE, &f->status);
	if (f->ops->on_head)
		f->ops->on_head(f);
}

static bool connection_was_refused(const CURLMsg *msg)
{
	long err = 0;

	if (msg->data.result != CURLE_COULDNT_CONNECT)
		return false;
	curl_easy_getinfo(msg->easy_handle, CURLINFO_OS_ERRNO, &err);
	return err == ECONNREFUSED;
}

static void finish_completed(struct fetcher *x)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(x->multi, &left))) {
		struct fetch *f;
		GPtrArray *headers;
		int result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
				  (char **)&f);
		if (!f)
			continue;
		result = to_result(f, msg->data.result);
		f->connection_refused = connection_was_refused(msg);
		/* on_write() is not called for an answer without a body. */
		if (!result)
			report_head(f);
		headers = f->answer_headers;
		release_handle(f);
		f->ops->on_done(f, result);
		g_ptr_array_unref(headers);
	}
}

/* Ends a fetch whose answer is rejected outside of libcurl's callbacks. */
static void end_rejected(struct fetch *f)
{
	GPtrArray *headers = f->answer_headers;

	f->rejected = true;
	release_handle(f);
	f->ops->on_done(f, RESULT_MIXED);
	g_ptr_array_unref(headers);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct fetcher *x = w->data;
	int running;

	(void)loop;
	(void)events;
	ev_timer_stop(x->loop, w);
	curl_multi_socket_action(x->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_completed(x);
}

static void on_socket(struct ev_loop *loop, ev_io *w, int events)
{
	struct fetch_socket *s = w->data;
	struct fetcher *x = s->fetcher;
	int what = 0;
	int running;

	(void)loop;
	if (events & EV_READ)
		what |= CURL_CSELECT_IN;
	if (events & EV_WRITE)
		what |= CURL_CSELECT_OUT;
	curl_multi_socket_action(x->multi, w->fd, what, &running);
	finish_completed(x);
}

static int set_timer(CURLM *multi, long ms, void *user)
{
	struct fetcher *x = user;

	(void)multi;
	ev_timer_stop(x->loop, &x->timer);
	if (ms < 0)
		return 0;
	ev_timer_set(&x->timer, ms / 1000.0, 0);
	ev_timer_start(x->loop, &x->timer);
	return 0;
}

/* Returns how many bytes have been read from a socket, 0 if unknown. */
static int64_t read_bytes(curl_socket_t fd)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);
	int unread = 0;

	if (fd == CURL_SOCKET_BAD || ioctl(fd, FIONREAD, &unread) ||
	    getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len))
		return 0;
	return (int64_t)info.tcpi_bytes_received - unread;
}

/* Records which socket a request is sent on. */
static void note_socket(CURL *easy, curl_socket_t fd)
{
	struct fetch *f = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&f);
	if (!f || f->socket == fd)
		return;
	f->socket = fd;
	f->read_before = read_bytes(fd);
}

static int set_socket(CURL *easy, curl_socket_t fd, int what, void *user,
		      void *socket_user)
{
	struct fetcher *x = user;
	struct fetch_socket *s = socket_user;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		if (s) {
			ev_io_stop(x->loop, &s->io);
			g_ptr_array_remove_fast(x->sockets, s);
		}
		return 0;
	}
	if (!s) {
		s = g_new0(struct fetch_socket, 1);
		s->fetcher = x;
		ev_init(&s->io, on_socket);
		s->io.data = s;
		g_ptr_array_add(x->sockets, s);
		curl_multi_assign(x->multi, fd, s);
	}
	note_socket(easy, fd);
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	ev_io_stop(x->loop, &s->io);
	ev_io_set(&s->io, fd, events);
	ev_io_start(x->loop, &s->io);
	return 0;
}

static bool has_endless_framing(const struct fetch *f)
{
	int64_t n = read_bytes(f->socket) - f->read_before;

	return n - f->head_bytes - 2 * f->body_bytes > FETCH_MAX_FRAMING_BYTES;
}

/*
 * Ends answers that go on without a byte of head or body, as when the extension
 * of a chunk does not end. libcurl reads those and tells nobody.
 */
static void on_framing_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct fetcher *x = w->data;
	uint32_t i = x->in_flight->len;

	(void)loop;
	(void)events;
	while (i-- > 0 && i < x->in_flight->len) {
		struct fetch *f = g_ptr_array_index(x->in_flight, i);

		if (!has_endless_framing(f))
			continue;
		COUNT(answers_endless);
		end_rejected(f);
	}
}

void fetcher_init(struct fetcher *x, struct ev_loop *loop,
		  uint32_t max_connections)
{
	memset(x, 0, sizeof(*x));
	x->loop = loop;
	x->multi = curl_multi_init();
	x->idle_handles = g_ptr_array_new();
	x->max_idle_s = DEFAULT_MAX_IDLE_S;
	x->sockets = g_ptr_array_new_with_free_func(g_free);
	ev_init(&x->timer, on_timer);
	x->timer.data = x;
	x->cancelled_handles = g_ptr_array_new();
	x->in_flight = g_ptr_array_new();
	ev_init(&x->framing_timer, on_framing_timer);
	x->framing_timer.repeat = FRAMING_CHECK_S;
	x->framing_timer.data = x;
	ev_prepare_init(&x->cleanup, on_cleanup);
	x->cleanup.data = x;
	curl_multi_setopt(x->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
	curl_multi_setopt(x->multi, CURLMOPT_SOCKETDATA, x);
	curl_multi_setopt(x->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(x->multi, CURLMOPT_TIMERDATA, x);
	curl_multi_setopt(x->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
			  (long)max_connections);
	curl_multi_setopt(x->multi, CURLMOPT_MAXCONNECTS,
			  (long)max_connections);
}

void fetcher_finish(struct fetcher *x)
{
	uint32_t i;

	ev_timer_stop(x->loop, &x->timer);
	ev_timer_stop(x->loop, &x->framing_timer);
	on_cleanup(x->loop, &x->cleanup, 0);
	g_ptr_array_unref(x->cancelled_handles);
	g_ptr_array_unref(x->in_flight);
	for (i = 0; i < x->idle_handles->len; i++)
		curl_easy_cleanup(g_ptr_array_index(x->idle_handles, i));
	curl_multi_cleanup(x->multi);
	for (i = 0; i < x->sockets->len; i++) {
		struct fetch_socket *s = g_ptr_array_index(x->sockets, i);

		ev_io_stop(x->loop, &s->io);
	}
	g_ptr_array_unref(x->sockets);
	g_ptr_array_unref(x->idle_handles);
}

/*
 * Called by libcurl each time before it sends a request. When a kept connection
 * turns out to be dead, libcurl sends the request again by itself, although the
 * server may have run it the first time. The second send is refused here; the
 * fetch then fails with sent true, which means that the outcome is unknown.
 */
static int on_prereq(void *user, char *to, char *from, int to_port,
		     int from_port)
{
	struct fetch *f = user;

	(void)to;
	(void)from;
	(void)to_port;
	if (!f || f->sent)
		return CURL_PREREQFUNC_ABORT;
	if (f->send_by_ms && clock_now_ms() > f->send_by_ms)
		return CURL_PREREQFUNC_ABORT;
	f->sent = true;
	f->local_port = from_port;
	f->sent_at_us = clock_now_us();
	return CURL_PREREQFUNC_OK;
}

/*
 * Called by libcurl for each new socket: refuses it after connect_by_ms, and
 * enables keepalive. A connection can become dead without a reset, for example
 * when a firewall or NAT between the two ends drops its state. The kernel
 * reports this when keepalive probes or sent data stay unacknowledged.
 */
static int configure_socket(void *user, curl_socket_t fd, curlsocktype purpose)
{
	struct fetch *f = user;
	int on = 1;
	int idle_s = KEEPALIVE_IDLE_S;
	int interval_s = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;
	unsigned int user_timeout_ms = USER_TIMEOUT_MS;

	(void)purpose;
	if (f && f->connect_by_ms && clock_now_ms() > f->connect_by_ms) {
		f->connect_expired = true;
		return CURL_SOCKOPT_ERROR;
	}
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
		   sizeof(user_timeout_ms));
	return CURL_SOCKOPT_OK;
}

static bool on_headers_end(struct fetch *f)
{
	curl_easy_getinfo(f->easy, CURLINFO_RESPONSE_CODE, &f->status);
	f->head_checked = f->status >= 200;
	if (!f->head_checked || !f->ops->check_head || f->ops->check_head(f))
		return true;
	f->rejected = true;
	return false;
}

static size_t on_header(char *line, size_t size, size_t n, void *user)
{
	struct fetch *f = user;
	size_t len = size * n;
	char *colon = memchr(line, ':', len);

	if (!f)
		return 0;
	f->head_bytes += (int64_t)len;
	if (f->head_bytes > FETCH_MAX_HEAD_BYTES) {
		COUNT(answers_endless);
		f->rejected = true;
		return 0;
	}
	if (len >= 5 && !memcmp(line, "HTTP/", 5))
		g_ptr_array_set_size(f->answer_headers, 0);
	if (len == 2 && !memcmp(line, "\r\n", 2))
		return on_headers_end(f) ? len : 0;
	if (!colon || f->answer_headers->len >= 2 * MAX_HEADERS)
		return len;
	g_ptr_array_add(f->answer_headers, g_strndup(line, colon - line));
	g_ptr_array_add(
		f->answer_headers,
		g_strstrip(g_strndup(colon + 1, len - (colon + 1 - line))));
	return len;
}

static size_t on_write(char *data, size_t size, size_t n, void *user)
{
	struct fetch *f = user;
	struct fetcher *x;
	bool accepted = true;

	if (!f)
		return 0;
	x = f->fetcher;
	x->callback_depth++;
	report_head(f);
	if (f->ops->on_data)
		accepted = f->ops->on_data(f, data, size * n);
	else if (f->body_bytes > FETCH_MAX_UNREAD_BYTES)
		fetch_reject(f);
	x->callback_depth--;
	if (f->rejected)
		return 0;
	if (!accepted)
		return CURL_WRITEFUNC_PAUSE;
	f->body_bytes += (int64_t)(size * n);
	return size * n;
}

static void set_body(CURL *easy, const char *method, const void *body,
		     size_t len)
{
	if (!strcmp(method, "GET") && !len)
		return;
	if (!strcmp(method, "HEAD")) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
		return;
	}
	if (len || !strcmp(method, "POST") || !strcmp(method, "PUT") ||
	    !strcmp(method, "PATCH")) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, len ? body : "");
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)len);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
}

static void set_headers(struct fetch *f, const GPtrArray *headers)
{
	uint32_t i;

	/* Suppress headers that libcurl adds but the caller did not send. */
	f->headers = curl_slist_append(f->headers, "Expect:");
	f->headers = curl_slist_append(f->headers, "Accept:");
	f->headers = curl_slist_append(f->headers, "Content-Type:");
	for (i = 0; headers && i + 1 < headers->len; i += 2) {
		const char *name = g_ptr_array_index(headers, i);
		const char *value = g_ptr_array_index(headers, i + 1);
		g_autofree char *line =
			*value ? g_strdup_printf("%s: %s", name, value)
			       : g_strdup_printf("%s;", name);

		if (!strcasecmp(name, "Accept") ||
		    !strcasecmp(name, "Content-Type")) {
			struct curl_slist *l;

			for (l = f->headers; l; l = l->next)
				if (!strncasecmp(l->data, name, strlen(name)) &&
				    l->data[strlen(l->data) - 1] == ':')
					break;
			if (l) {
				free(l->data);
				l->data = strdup(line);
				continue;
			}
		}
		f->headers = curl_slist_append(f->headers, line);
	}
	curl_easy_setopt(f->easy, CURLOPT_HTTPHEADER, f->headers);
}

void fetch_start(struct fetch *f, struct fetcher *x, const char *method,
		 const char *url, const GPtrArray *headers, const void *body,
		 size_t len, int64_t timeout_ms, bool fresh,
		 const struct fetch_ops *ops, void *user)
{
	memset(f, 0, sizeof(*f));
	f->fetcher = x;
	f->ops = ops;
	f->user = user;
	f->answer_headers = g_ptr_array_new_with_free_func(g_free);
	f->easy = x->idle_handles->len
			  ? g_ptr_array_remove_index_fast(
				    x->idle_handles, x->idle_handles->len - 1)
			  : curl_easy_init();
	curl_easy_setopt(f->easy, CURLOPT_URL, url);
	curl_easy_setopt(f->easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(f->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(f->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(f->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(f->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(f->easy, CURLOPT_PRIVATE, f);
	curl_easy_setopt(f->easy, CURLOPT_ERRORBUFFER, f->error);
	curl_easy_setopt(f->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(f->easy, CURLOPT_HEADERDATA, f);
	curl_easy_setopt(f->easy, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(f->easy, CURLOPT_WRITEDATA, f);
	curl_easy_setopt(f->easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(f->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)MIN(timeout_ms, CONNECT_TIMEOUT_MS));
	curl_easy_setopt(f->easy, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(f->easy, CURLOPT_PREREQDATA, f);
	curl_easy_setopt(f->easy, CURLOPT_SOCKOPTFUNCTION, configure_socket);
	curl_easy_setopt(f->easy, CURLOPT_SOCKOPTDATA, f);
	curl_easy_setopt(f->easy, CURLOPT_MAXAGE_CONN, (long)x->max_idle_s);
	if (fresh)
		curl_easy_setopt(f->easy, CURLOPT_FRESH_CONNECT, 1L);
	set_body(f->easy, method, body, len);
	set_headers(f, headers);
	f->socket = CURL_SOCKET_BAD;
	g_ptr_array_add(x->in_flight, f);
	if (!ev_is_active(&x->framing_timer))
		ev_timer_again(x->loop, &x->framing_timer);
	curl_multi_add_handle(x->multi, f->easy);
}

void fetch_set_deadlines(struct fetch *f, int64_t send_by_ms,
			 int64_t connect_by_ms)
{
	f->send_by_ms = send_by_ms;
	f->connect_by_ms = connect_by_ms;
}

void fetch_set_idle_timeout(struct fetch *f, int64_t idle_ms)
{
	curl_easy_setopt(f->easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
	curl_easy_setopt(f->easy, CURLOPT_LOW_SPEED_TIME,
			 (long)MAX(idle_ms / 1000, 1));
}

void fetch_reject(struct fetch *f)
{
	COUNT(answers_endless);
	f->rejected = true;
}

void fetch_cancel(struct fetch *f)
{
	GPtrArray *headers = f->answer_headers;

	if (!f->easy)
		return;
	release_handle(f);
	g_ptr_array_unref(headers);
}

void fetch_resume(struct fetch *f)
{
	if (f->easy)
		curl_easy_pause(f->easy, CURLPAUSE_CONT);
}

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

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

	connections_opener_ended(&x->connections, f);
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

static void free_answer(void *p)
{
	answer_finish(p);
	g_free(p);
}

/*
 * Ends the use of an answer whose fetch is cancelled. In a callback its parser
 * is still running.
 */
static void detach_answer(struct fetch *f)
{
	struct fetcher *x = f->fetcher;

	f->answer->user = NULL;
	if (x->callback_depth)
		g_ptr_array_add(x->cancelled_answers, f->answer);
	else
		free_answer(f->answer);
	f->answer = NULL;
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
	g_ptr_array_set_size(x->cancelled_answers, 0);
	ev_prepare_stop(loop, w);
}

static void count_fault(enum answer_fault fault)
{
	static const enum counter counter_of[N_ANSWER_FAULTS] = {
		[ANSWER_FAULT_other] = COUNTER_answers_foreign,
		[ANSWER_FAULT_unsigned] = COUNTER_answers_not_signed,
		[ANSWER_FAULT_head_cut] = COUNTER_answers_head_cut,
		[ANSWER_FAULT_body_cut] = COUNTER_answers_body_cut,
		[ANSWER_FAULT_protocol] = COUNTER_answers_no_protocol,
		[ANSWER_FAULT_endless] = COUNTER_answers_endless,
	};

	if (fault != ANSWER_FAULT_none && fault != ANSWER_FAULT_cancelled)
		counters[counter_of[fault]]++;
}

/* The result of a fetch that libcurl has ended with code. */
static int to_result(struct fetch *f, CURLcode code)
{
	answer_end(f->answer, code == CURLE_OK);
	if (f->answer->state == ANSWER_WHOLE)
		return RESULT_OK;
	if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
		return RESULT_UNREACHABLE;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return RESULT_TIMEOUT;
	if (f->sent)
		count_fault(f->answer->fault);
	if (f->answer->fault == ANSWER_FAULT_head_cut ||
	    f->answer->fault == ANSWER_FAULT_body_cut)
		return RESULT_CUT;
	return RESULT_MIXED;
}

static bool connection_was_refused(const CURLMsg *msg)
{
	long err = 0;

	if (msg->data.result != CURLE_COULDNT_CONNECT)
		return false;
	curl_easy_getinfo(msg->easy_handle, CURLINFO_OS_ERRNO, &err);
	return err == ECONNREFUSED;
}

/* Sends a request that was not sent yet on a new connection. */
static void restart_on_new_connection(struct fetch *f)
{
	struct fetcher *x = f->fetcher;
	int64_t left_ms = f->started_at_ms + f->timeout_ms - clock_now_ms();

	COUNT(connections_stray);
	f->stray_bytes = false;
	f->fresh = true;
	curl_multi_remove_handle(x->multi, f->easy);
	curl_easy_setopt(f->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(f->easy, CURLOPT_TIMEOUT_MS, (long)MAX(left_ms, 1));
	curl_multi_add_handle(x->multi, f->easy);
}

static void finish_completed(struct fetcher *x)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(x->multi, &left))) {
		struct fetch *f;
		struct answer *answer;
		int result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
				  (char **)&f);
		if (!f)
			continue;
		if (f->stray_bytes && !f->sent && !f->fresh) {
			restart_on_new_connection(f);
			continue;
		}
		result = to_result(f, msg->data.result);
		f->connection_refused = connection_was_refused(msg);
		answer = f->answer;
		release_handle(f);
		f->ops->on_done(f, result);
		free_answer(answer);
	}
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

static int set_socket(CURL *easy, curl_socket_t fd, int what, void *user,
		      void *socket_user)
{
	struct fetcher *x = user;
	struct fetch_socket *s = socket_user;
	int events = 0;

	(void)easy;
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
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	ev_io_stop(x->loop, &s->io);
	ev_io_set(&s->io, fd, events);
	ev_io_start(x->loop, &s->io);
	return 0;
}

void fetcher_init(struct fetcher *x, struct ev_loop *loop,
		  uint32_t max_connections)
{
	memset(x, 0, sizeof(*x));
	x->loop = loop;
	x->multi = curl_multi_init();
	connections_init(&x->connections);
	x->idle_handles = g_ptr_array_new();
	x->max_idle_s = DEFAULT_MAX_IDLE_S;
	x->sockets = g_ptr_array_new_with_free_func(g_free);
	ev_init(&x->timer, on_timer);
	x->timer.data = x;
	x->cancelled_handles = g_ptr_array_new();
	x->cancelled_answers = g_ptr_array_new_with_free_func(free_answer);
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
	on_cleanup(x->loop, &x->cleanup, 0);
	g_ptr_array_unref(x->cancelled_handles);
	g_ptr_array_unref(x->cancelled_answers);
	for (i = 0; i < x->idle_handles->len; i++)
		curl_easy_cleanup(g_ptr_array_index(x->idle_handles, i));
	curl_multi_cleanup(x->multi);
	connections_finish(&x->connections);
	for (i = 0; i < x->sockets->len; i++) {
		struct fetch_socket *s = g_ptr_array_index(x->sockets, i);

		ev_io_stop(x->loop, &s->io);
	}
	g_ptr_array_unref(x->sockets);
	g_ptr_array_unref(x->idle_handles);
}

/*
 * Takes a connection into use. Returns whether it may have received bytes that
 * belong to no request.
 */
static bool use_finds_stray_bytes(struct fetch *f)
{
	struct connection *c =
		connections_find(&f->fetcher->connections, &f->connection);

	if (!c)
		return !f->fresh;
	c->opener = NULL;
	return connection_has_stray_bytes(c);
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

	(void)from;
	if (!f || f->sent)
		return CURL_PREREQFUNC_ABORT;
	if (f->send_by_ms && clock_now_ms() > f->send_by_ms)
		return CURL_PREREQFUNC_ABORT;
	f->connection.local_port = from_port;
	f->connection.port = to_port;
	g_strlcpy(f->connection.ip, to, sizeof(f->connection.ip));
	f->stray_bytes = use_finds_stray_bytes(f);
	if (f->stray_bytes)
		return CURL_PREREQFUNC_ABORT;
	f->sent = true;
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
	if (f)
		connections_opened(&f->fetcher->connections, fd, f);
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
		   sizeof(user_timeout_ms));
	return CURL_SOCKOPT_OK;
}

static int close_socket(void *user, curl_socket_t fd)
{
	struct fetcher *x = user;

	connections_closed(&x->connections, fd);
	return close(fd);
}

static enum answer_fault check_head(struct answer *a)
{
	struct fetch *f = a->user;
	struct fetcher *x = f->fetcher;
	enum answer_fault fault = ANSWER_FAULT_none;

	f->status = a->status;
	if (f->ops->check_head)
		fault = f->ops->check_head(f);
	if (fault) {
		f->status = 0;
		return fault;
	}
	f->head_done = true;
	if (!f->ops->on_head)
		return ANSWER_FAULT_none;
	x->callback_depth++;
	f->ops->on_head(f);
	x->callback_depth--;
	return a->user ? ANSWER_FAULT_none : ANSWER_FAULT_cancelled;
}

static enum answer_fault on_body(struct answer *a, const char *data, size_t len)
{
	struct fetch *f = a->user;
	struct fetcher *x = f->fetcher;
	bool accepted = a->body_bytes <= FETCH_MAX_UNREAD_BYTES;

	x->callback_depth++;
	if (f->ops->on_data)
		accepted = f->ops->on_data(f, data, len);
	x->callback_depth--;
	if (!a->user)
		return ANSWER_FAULT_cancelled;
	return accepted ? ANSWER_FAULT_none : ANSWER_FAULT_endless;
}

static const struct answer_ops answer_ops = {
	.check_head = check_head,
	.on_body = on_body,
};

/*
 * Counts the bytes of a whole answer. libcurl may use its connection for the
 * next request before it reports the end of this one.
 */
static void count_answered_bytes(const struct answer *a)
{
	const struct fetch *f = a->user;
	struct connection *c;

	if (a->state != ANSWER_WHOLE || !f)
		return;
	c = connections_find(&f->fetcher->connections, &f->connection);
	if (c)
		c->answered_bytes += a->head_bytes + a->framed_bytes;
}

static size_t on_header(char *line, size_t size, size_t n, void *user)
{
	struct fetch *f = user;
	struct answer *a = f ? f->answer : NULL;
	bool goes_on = a && answer_add_line(a, line, size * n);

	if (goes_on)
		count_answered_bytes(a);
	return goes_on ? size * n : 0;
}

/* CURLOPT_HTTP_TRANSFER_DECODING is off: chunk sizes and trailers are here. */
static size_t on_write(char *data, size_t size, size_t n, void *user)
{
	struct fetch *f = user;
	struct answer *a = f ? f->answer : NULL;
	bool goes_on;

	if (!a)
		return 0;
	if (f->ops->has_room && !f->ops->has_room(f))
		return CURL_WRITEFUNC_PAUSE;
	goes_on = answer_add_body(a, data, size * n);
	if (goes_on)
		count_answered_bytes(a);
	return goes_on ? size * n : 0;
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
	f->started_at_ms = clock_now_ms();
	f->timeout_ms = timeout_ms;
	f->fresh = fresh;
	f->answer = g_new(struct answer, 1);
	answer_init(f->answer, method, &answer_ops, f);
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
	curl_easy_setopt(f->easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
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
	curl_easy_setopt(f->easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
	curl_easy_setopt(f->easy, CURLOPT_CLOSESOCKETDATA, x);
	curl_easy_setopt(f->easy, CURLOPT_MAXAGE_CONN, (long)x->max_idle_s);
	if (fresh)
		curl_easy_setopt(f->easy, CURLOPT_FRESH_CONNECT, 1L);
	set_body(f->easy, method, body, len);
	set_headers(f, headers);
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

void fetch_cancel(struct fetch *f)
{
	if (!f->easy)
		return;
	release_handle(f);
	detach_answer(f);
}

void fetch_resume(struct fetch *f)
{
	if (f->easy)
		curl_easy_pause(f->easy, CURLPAUSE_CONT);
}

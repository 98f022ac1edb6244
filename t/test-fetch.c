#include <ev.h>
#include <glib-unix.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/clock.h"
#include "net/fetch.h"
#include "util/result.h"

/*
 * The HTTP client against a server that breaks off its answers, sends more than
 * it was asked for, or does not keep to the protocol.
 */

#define MAX_CONNECTIONS 512
#define END_DELAY_S 0.02
#define TIMEOUT_MS 3000
#define HEAD "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"

enum ending {
	ENDS_BY_FIN,
	ENDS_BY_RESET,
	STAYS_OPEN
};

/* What the server does on a connection. */
struct script {
	GString *answer; /* sent when a request has been read */
	GString *late; /* sent END_DELAY_S after it, or NULL */
	enum ending ending;
};

struct served {
	struct fixture *fixture;
	int fd;
	uint32_t n; /* of the script, from the request's path */
	GString *in;
	ev_io reader;
	ev_timer end_timer;
};

struct fixture {
	struct ev_loop *loop;
	struct fetcher fetcher;
	int port;
	ev_io listener;
	GPtrArray *scripts; /* struct script */
	GPtrArray *served; /* struct served */
	const char *greeting; /* sent on each new connection, or NULL */
	uint32_t n_open;
};

/* A request and how it ended. */
struct call {
	struct fixture *fixture;
	struct fetch fetch;
	GString *body;
	int result;
	long status;
};

static void on_end_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct linger at_once = { .l_onoff = 1 };
	struct served *s = w->data;
	struct script *script = g_ptr_array_index(s->fixture->scripts, s->n);

	(void)loop;
	(void)events;
	if (script->late)
		g_assert_cmpint(send(s->fd, script->late->str,
				     script->late->len, MSG_NOSIGNAL),
				==, script->late->len);
	if (script->ending == STAYS_OPEN)
		return;
	if (script->ending == ENDS_BY_RESET)
		setsockopt(s->fd, SOL_SOCKET, SO_LINGER, &at_once,
			   sizeof(at_once));
	ev_io_stop(loop, &s->reader);
	close(s->fd);
	s->fd = -1;
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct served *s = w->data;
	const struct script *script;
	char bytes[4096];
	ssize_t n = recv(s->fd, bytes, sizeof(bytes), 0);

	(void)events;
	if (n <= 0) {
		ev_io_stop(loop, w);
		return;
	}
	g_string_append_len(s->in, bytes, n);
	if (!strstr(s->in->str, "\r\n\r\n"))
		return;
	s->n = (uint32_t)atoi(strchr(s->in->str, '/') + 1);
	g_string_truncate(s->in, 0);
	script = g_ptr_array_index(s->fixture->scripts, s->n);
	send(s->fd, script->answer->str, script->answer->len, MSG_NOSIGNAL);
	ev_timer_stop(loop, &s->end_timer);
	ev_timer_set(&s->end_timer, END_DELAY_S, 0);
	ev_timer_start(loop, &s->end_timer);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	struct served *s = g_new0(struct served, 1);
	int on = 1;

	(void)events;
	s->fixture = w->data;
	s->fd = accept(w->fd, NULL, NULL);
	s->in = g_string_new(NULL);
	g_assert_cmpint(s->fd, >=, 0);
	g_unix_set_fd_nonblocking(s->fd, TRUE, NULL);
	/* What is sent late waits for no acknowledgement. */
	setsockopt(s->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	ev_io_init(&s->reader, on_readable, s->fd, EV_READ);
	s->reader.data = s;
	ev_io_start(loop, &s->reader);
	ev_init(&s->end_timer, on_end_timer);
	s->end_timer.data = s;
	if (s->fixture->greeting)
		send(s->fd, s->fixture->greeting, strlen(s->fixture->greeting),
		     MSG_NOSIGNAL);
	g_ptr_array_add(s->fixture->served, s);
}

static void script_free(void *p)
{
	struct script *s = p;

	g_string_free(s->answer, TRUE);
	if (s->late)
		g_string_free(s->late, TRUE);
	g_free(s);
}

static void fixture_init_with(struct fixture *x, uint32_t max_connections)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	memset(x, 0, sizeof(*x));
	x->loop = ev_loop_new(0);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(fd, MAX_CONNECTIONS), ==, 0);
	getsockname(fd, (struct sockaddr *)&sa, &len);
	x->port = ntohs(sa.sin_port);
	x->scripts = g_ptr_array_new_with_free_func(script_free);
	x->served = g_ptr_array_new();
	ev_io_init(&x->listener, on_accept, fd, EV_READ);
	x->listener.data = x;
	ev_io_start(x->loop, &x->listener);
	fetcher_init(&x->fetcher, x->loop, max_connections);
}

static void fixture_init(struct fixture *x)
{
	fixture_init_with(x, MAX_CONNECTIONS);
}

static void fixture_finish(struct fixture *x)
{
	uint32_t i;

	fetcher_finish(&x->fetcher);
	for (i = 0; i < x->served->len; i++) {
		struct served *s = g_ptr_array_index(x->served, i);

		ev_io_stop(x->loop, &s->reader);
		ev_timer_stop(x->loop, &s->end_timer);
		if (s->fd >= 0)
			close(s->fd);
		g_string_free(s->in, TRUE);
		g_free(s);
	}
	ev_io_stop(x->loop, &x->listener);
	close(x->listener.fd);
	g_ptr_array_unref(x->served);
	g_ptr_array_unref(x->scripts);
	ev_loop_destroy(x->loop);
}

/* Adds a script and returns its number. */
static uint32_t add_script(struct fixture *x, const char *answer, size_t len,
			   const char *late, enum ending ending)
{
	struct script *s = g_new0(struct script, 1);

	s->answer = g_string_new_len(answer, (gssize)len);
	s->late = late ? g_string_new(late) : NULL;
	s->ending = ending;
	g_ptr_array_add(x->scripts, s);
	return x->scripts->len - 1;
}

static bool on_data(struct fetch *f, const void *data, size_t len)
{
	struct call *c = f->user;

	g_string_append_len(c->body, data, (gssize)len);
	return true;
}

static void on_done(struct fetch *f, int result)
{
	struct call *c = f->user;

	c->result = result;
	c->status = f->status;
	if (!--c->fixture->n_open)
		ev_break(c->fixture->loop, EVBREAK_ALL);
}

static const struct fetch_ops ops = {
	.on_data = on_data,
	.on_done = on_done,
};

static void call_start(struct fixture *x, struct call *c, const char *method,
		       uint32_t script, bool fresh)
{
	g_autofree char *url =
		g_strdup_printf("http://127.0.0.1:%d/%u", x->port, script);

	c->fixture = x;
	c->body = g_string_new(NULL);
	x->n_open++;
	fetch_start(&c->fetch, &x->fetcher, method, url, NULL, NULL, 0,
		    TIMEOUT_MS, fresh, &ops, c);
}

static void call_finish(struct call *c)
{
	g_string_free(c->body, TRUE);
}

/* Runs the loop for ms. */
static void on_pause_end(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)w;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void run_for(struct fixture *x, int64_t ms)
{
	ev_timer timer;

	ev_timer_init(&timer, on_pause_end, ms / 1000.0, 0);
	ev_timer_start(x->loop, &timer);
	ev_run(x->loop, 0);
}

/* Whole answers, and at which byte their bodies begin to end with a FIN. */
static const struct {
	const char *method;
	const char *answer;
	const char *body;
	bool ends_with_connection;
} whole_answers[] = {
	{ "GET", HEAD "Content-Length: 5\r\n\r\nhello", "hello", false },
	{ "GET", HEAD "Content-Length: 0\r\n\r\n", "", false },
	{ "GET", HEAD "Connection: close\r\nContent-Length: 2\r\n\r\nhi", "hi",
	  false },
	{ "GET",
	  HEAD "Transfer-Encoding: chunked\r\n\r\n"
	       "5\r\nhello\r\n3;x=y\r\n yo\r\n0\r\nX-Id: 2\r\n\r\n",
	  "hello yo", false },
	{ "GET", "HTTP/1.1 204 Done\r\nX-Id: 1\r\n\r\n", "", false },
	{ "GET", "HTTP/1.1 304 Same\r\nContent-Length: 5\r\n\r\n", "", false },
	{ "GET", "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull", "full",
	  false },
	{ "GET",
	  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n" HEAD
	  "Content-Length: 5\r\n\r\nhello",
	  "hello", false },
	{ "HEAD", HEAD "Content-Length: 5\r\n\r\n", "", false },
	{ "GET", HEAD "\r\nall that comes", "all that comes", true },
};

static bool is_whole(uint32_t i, size_t n, enum ending ending)
{
	const char *answer = whole_answers[i].answer;
	size_t head = strstr(answer, "\r\n\r\n") + 4 - answer;

	if (whole_answers[i].ends_with_connection)
		return ending == ENDS_BY_FIN && n >= head;
	return n == strlen(answer);
}

static void check_cuts(struct fixture *x, uint32_t i, enum ending ending)
{
	size_t len = strlen(whole_answers[i].answer);
	struct call *calls = g_new0(struct call, len + 1);
	uint32_t n_wrong = 0;
	size_t n;

	for (n = 0; n <= len; n++)
		call_start(x, &calls[n], whole_answers[i].method,
			   add_script(x, whole_answers[i].answer, n, NULL,
				      ending),
			   true);
	ev_run(x->loop, 0);
	for (n = 0; n <= len; n++) {
		bool ok = !calls[n].result;

		if (ok != is_whole(i, n, ending)) {
			n_wrong++;
			g_printerr("%s after %zu of %zu bytes: %s, %ld: %s\n",
				   ending == ENDS_BY_FIN ? "FIN" : "reset", n,
				   len, result_name(calls[n].result),
				   calls[n].status, whole_answers[i].answer);
		}
		if (n == len && ok)
			g_assert_cmpstr(calls[n].body->str, ==,
					whole_answers[i].body);
		call_finish(&calls[n]);
	}
	g_free(calls);
	g_assert_cmpuint(n_wrong, ==, 0);
}

/* Successes that end within their head, for callers without a signature. */
static void test_cut_answer_is_none(void)
{
	struct fixture x;
	uint32_t i;

	fixture_init(&x);
	for (i = 0; i < G_N_ELEMENTS(whole_answers); i++) {
		check_cuts(&x, i, ENDS_BY_FIN);
		check_cuts(&x, i, ENDS_BY_RESET);
	}
	fixture_finish(&x);
}

#define OTHER_503 "HTTP/1.1 503 Full\r\n"
#define FIVE HEAD "Content-Length: 5\r\n\r\nhello"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"

/* Bytes that are no answer, though the client library takes them for one. */
static const char *const no_answers[] = {
	/* lines that end with LF or CR alone */
	"HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 5\n\nhello",
	HEAD "Content-Length: 5\r\n\nhello",
	HEAD "Content-Length: 5\r\n\rHTTP/1.1 503 Full\r\n\r\n",
	/* a head that broke off, and the next answer */
	"HTTP/1.1 503 Fu" FIVE,
	"HTTP/1.1 503" FIVE,
	OTHER_503 FIVE,
	OTHER_503 "Date: Fri" FIVE,
	OTHER_503 "Content-Le" FIVE,
	"HTTP/1.1 100 Continue\r\nA" FIVE,
	/* a length in doubt */
	HEAD "Content-Length: 5\r\nContent-Length: 3\r\n\r\nhello",
	HEAD "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "5\r\nhello\r\n0\r\n\r\n",
	HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	HEAD "Content-Length : 5\r\n\r\nhello",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	CHUNKED "5HTTP/1.1 200 OK\r\nhello\r\n0\r\n\r\n",
	CHUNKED "5\r\nhello\r\n0\r\n" OTHER_503 "\r\n",
	CHUNKED "5\r\nhelloXX0\r\n\r\n",
	CHUNKED "5\rXhello\r\n0\r\n\r\n",
	CHUNKED "5;a\nhello\r\n0\r\n\r\n\r\n0\r\n\r\n",
	CHUNKED "5\r\nhello\r\n0\r\n\rX",
	CHUNKED "5\r\nhello\r\n0\r\nA: b\n\r\n",
	/* no heads */
	"HTTP/1.1 101 Go\r\n\r\nhello",
	"HTTP/1.1 20 OK\r\nContent-Length: 5\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nX-Id: 1\r\n folded: 2\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nno header\r\nContent-Length: 0\r\n\r\n",
	"\r\n" FIVE,
};

/* Successes that a server gave in no form of the protocol. */
static void test_no_protocol_is_no_answer(void)
{
	struct call calls[G_N_ELEMENTS(no_answers)] = { 0 };
	struct fixture x;
	uint32_t i, n_wrong = 0;

	fixture_init(&x);
	for (i = 0; i < G_N_ELEMENTS(no_answers); i++)
		call_start(&x, &calls[i], "GET",
			   add_script(&x, no_answers[i], strlen(no_answers[i]),
				      NULL, ENDS_BY_FIN),
			   true);
	ev_run(x.loop, 0);
	for (i = 0; i < G_N_ELEMENTS(no_answers); i++) {
		if (!calls[i].result) {
			n_wrong++;
			g_printerr("accepted, %ld, \"%s\": %s\n",
				   calls[i].status, calls[i].body->str,
				   no_answers[i]);
		}
		call_finish(&calls[i]);
	}
	fixture_finish(&x);
	g_assert_cmpuint(n_wrong, ==, 0);
}

static void check_further(uint32_t i, const char *further, bool late)
{
	const char *answer = whole_answers[i].answer;
	g_autofree char *both = g_strconcat(answer, late ? "" : further, NULL);
	struct call first = { 0 }, second = { 0 };
	struct fixture x;
	uint32_t script;

	fixture_init(&x);
	script = add_script(&x, both, strlen(both), late ? further : NULL,
			    STAYS_OPEN);
	call_start(&x, &first, whole_answers[i].method, script, false);
	ev_run(x.loop, 0);
	run_for(&x, 2 * END_DELAY_S * 1000);
	script = add_script(&x, FIVE, strlen(FIVE), NULL, STAYS_OPEN);
	call_start(&x, &second, "GET", script, false);
	ev_run(x.loop, 0);
	g_assert_cmpint(first.result, ==, RESULT_OK);
	g_assert_cmpstr(first.body->str, ==, whole_answers[i].body);
	g_assert_cmpint(second.result, ==, RESULT_OK);
	g_assert_cmpint(second.status, ==, 200);
	g_assert_cmpstr(second.body->str, ==, "hello");
	call_finish(&first);
	call_finish(&second);
	fixture_finish(&x);
}

/* A further answer on a kept connection reaches the next caller. */
static void test_further_answer_reaches_nobody(void)
{
	static const char *const further[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"H",
		"\r\n",
	};
	uint32_t i, k;

	for (i = 0; i < G_N_ELEMENTS(whole_answers) - 1; i++)
		for (k = 0; k < G_N_ELEMENTS(further); k++) {
			check_further(i, further[k], false);
			check_further(i, further[k], true);
		}
}

/* Kept connections are used again while servers keep to the protocol. */
static void test_connections_are_kept(void)
{
	struct fixture x;
	uint32_t i;

	fixture_init(&x);
	for (i = 0; i < 20; i++) {
		uint32_t k = i % (G_N_ELEMENTS(whole_answers) - 1);
		struct call c = { 0 };

		if (strstr(whole_answers[k].answer, "close"))
			continue;
		call_start(&x, &c, whole_answers[k].method,
			   add_script(&x, whole_answers[k].answer,
				      strlen(whole_answers[k].answer), NULL,
				      STAYS_OPEN),
			   false);
		ev_run(x.loop, 0);
		g_assert_cmpint(c.result, ==, RESULT_OK);
		call_finish(&c);
	}
	g_assert_cmpuint(x.served->len, ==, 1);
	fixture_finish(&x);
}

/* A server that talks first is connected to again and again. */
static void test_greeting_server_is_left(void)
{
	struct call c = { 0 };
	struct fixture x;

	fixture_init(&x);
	/* The greeting is sent before the client learns of the connection. */
	ev_io_stop(x.loop, &x.listener);
	ev_set_priority(&x.listener, EV_MAXPRI);
	ev_io_start(x.loop, &x.listener);
	x.greeting = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
	call_start(&x, &c, "GET",
		   add_script(&x, FIVE, strlen(FIVE), NULL, STAYS_OPEN), false);
	ev_run(x.loop, 0);
	g_assert_cmpint(c.result, !=, RESULT_OK);
	g_assert_false(c.fetch.sent);
	g_assert_cmpuint(x.served->len, <=, 2);
	call_finish(&c);
	fixture_finish(&x);
}

/* A socket that is bound to this local port, 0 for any, and connected. */
static int connect_from(int local_port, int port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(local_port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	g_assert_cmpint(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	sa.sin_port = htons(port);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	return fd;
}

/* Two connections may share a local port; one is taken for the other. */
static void test_connections_of_one_local_port(void)
{
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);
	struct fixture x, y;
	struct connections t;
	struct connection_ends ends = { .ip = "127.0.0.1" };
	int first, second;

	fixture_init(&x);
	fixture_init(&y);
	connections_init(&t);
	first = connect_from(0, x.port);
	getsockname(first, (struct sockaddr *)&sa, &len);
	ends.local_port = ntohs(sa.sin_port);
	second = connect_from(ends.local_port, y.port);
	connections_opened(&t, first, NULL);
	connections_opened(&t, second, NULL);
	ends.port = x.port;
	g_assert_cmpint(connections_find(&t, &ends)->fd, ==, first);
	ends.port = y.port;
	g_assert_cmpint(connections_find(&t, &ends)->fd, ==, second);
	connections_finish(&t);
	close(first);
	close(second);
	fixture_finish(&x);
	fixture_finish(&y);
}

/* Leaves a kept connection that has received more than its answer. */
static void leave_stray_bytes(struct fixture *x, const char *answer)
{
	struct call c = { 0 };

	call_start(x, &c, "GET",
		   add_script(x, answer, strlen(answer), "H", STAYS_OPEN),
		   false);
	ev_run(x->loop, 0);
	g_assert_cmpint(c.result, ==, RESULT_OK);
	call_finish(&c);
	run_for(x, 2 * END_DELAY_S * 1000);
}

static uint32_t n_open_at_server(const struct fixture *x)
{
	uint32_t i, n = 0;
	char byte;

	for (i = 0; i < x->served->len; i++) {
		const struct served *s = g_ptr_array_index(x->served, i);

		n += s->fd >= 0 && recv(s->fd, &byte, 1, MSG_PEEK) != 0;
	}
	return n;
}

/* A connection that is not in the list is used whatever it has received. */
static void test_unknown_connection_is_left(void)
{
	struct call first = { 0 }, second = { 0 };
	struct fixture x;
	uint32_t script;

	fixture_init(&x);
	script = add_script(&x, FIVE, strlen(FIVE), NULL, STAYS_OPEN);
	call_start(&x, &first, "GET", script, false);
	ev_run(x.loop, 0);
	g_array_set_size(x.fetcher.connections.all, 0);
	call_start(&x, &second, "GET", script, false);
	ev_run(x.loop, 0);
	g_assert_cmpint(first.result, ==, RESULT_OK);
	g_assert_cmpint(second.result, ==, RESULT_OK);
	g_assert_cmpuint(x.served->len, ==, 2);
	call_finish(&first);
	call_finish(&second);
	fixture_finish(&x);
}

/* A connection with stray bytes keeps its place below the limit. */
static void test_refused_connection_is_closed(void)
{
	struct call calls[3] = { 0 };
	struct fixture x;
	uint32_t i, script;

	fixture_init_with(&x, 1);
	script = add_script(&x, FIVE, strlen(FIVE), NULL, STAYS_OPEN);
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		leave_stray_bytes(&x, FIVE);
		call_start(&x, &calls[i], "GET", script, false);
		ev_run(x.loop, 0);
		g_assert_cmpint(calls[i].result, ==, RESULT_OK);
		g_assert_cmpuint(n_open_at_server(&x), ==, 1);
		call_finish(&calls[i]);
	}
	g_assert_cmpuint(x.served->len, ==, G_N_ELEMENTS(calls) + 1);
	fixture_finish(&x);
}

/* A request that is started again forgets by when it must be sent. */
static void test_restart_keeps_deadlines(void)
{
	struct call no_connect = { 0 }, no_send = { 0 };
	int64_t past = clock_now_ms() - 1;
	struct fixture x;
	uint32_t script;

	fixture_init(&x);
	script = add_script(&x, FIVE, strlen(FIVE), NULL, STAYS_OPEN);
	leave_stray_bytes(&x, FIVE);
	call_start(&x, &no_connect, "GET", script, false);
	fetch_set_deadlines(&no_connect.fetch, 0, past);
	ev_run(x.loop, 0);
	g_assert_cmpint(no_connect.result, !=, RESULT_OK);
	g_assert_false(no_connect.fetch.sent);
	g_assert_true(no_connect.fetch.connect_expired);
	leave_stray_bytes(&x, FIVE);
	call_start(&x, &no_send, "GET", script, false);
	fetch_set_deadlines(&no_send.fetch, past, 0);
	ev_run(x.loop, 0);
	g_assert_cmpint(no_send.result, !=, RESULT_OK);
	g_assert_false(no_send.fetch.sent);
	call_finish(&no_connect);
	call_finish(&no_send);
	fixture_finish(&x);
}

/* Sockets that never connected stay in the list of connections. */
static void test_failed_connections_are_forgotten(void)
{
	struct call calls[10] = { 0 };
	struct fixture x;
	uint32_t i;

	fixture_init(&x);
	for (i = 0; i < G_N_ELEMENTS(calls) / 2; i++) {
		call_start(&x, &calls[i], "GET", 0, false);
		while (!x.fetcher.connections.all->len)
			ev_run(x.loop, EVRUN_ONCE);
		g_assert_false(calls[i].fetch.sent);
		fetch_cancel(&calls[i].fetch);
		g_assert_cmpuint(x.fetcher.connections.all->len, ==, 0);
		x.n_open--;
	}
	/* From here on, connections are refused. */
	ev_io_stop(x.loop, &x.listener);
	shutdown(x.listener.fd, SHUT_RDWR);
	for (; i < G_N_ELEMENTS(calls); i++)
		call_start(&x, &calls[i], "GET", 0, false);
	ev_run(x.loop, 0);
	for (i = 0; i < G_N_ELEMENTS(calls); i++)
		call_finish(&calls[i]);
	g_assert_cmpint(calls[9].result, ==, RESULT_UNREACHABLE);
	g_assert_cmpuint(x.fetcher.connections.all->len, ==, 0);
	fixture_finish(&x);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/fetch/cut-answer-is-none", test_cut_answer_is_none);
	g_test_add_func("/fetch/no-protocol-is-no-answer",
			test_no_protocol_is_no_answer);
	g_test_add_func("/fetch/further-answer-reaches-nobody",
			test_further_answer_reaches_nobody);
	g_test_add_func("/fetch/connections-are-kept",
			test_connections_are_kept);
	g_test_add_func("/fetch/refused-connection-is-closed",
			test_refused_connection_is_closed);
	g_test_add_func("/fetch/unknown-connection-is-left",
			test_unknown_connection_is_left);
	g_test_add_func("/fetch/restart-keeps-deadlines",
			test_restart_keeps_deadlines);
	g_test_add_func("/fetch/failed-connections-are-forgotten",
			test_failed_connections_are_forgotten);
	g_test_add_func("/fetch/connections-of-one-local-port",
			test_connections_of_one_local_port);
	g_test_add_func("/fetch/greeting-server-is-left",
			test_greeting_server_is_left);
	return g_test_run();
}

#include <errno.h>
#include <ev.h>
#include <getopt.h>
#include <glib-unix.h>
#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"
#include "net/clock.h"
#include "platform/request.h"

/*
 * A backend server of the platform whose answers break the protocol. It sends
 * no heartbeats: t/platform-server --address does that for it. What it does
 * with a request follows from the request's path:
 *
 *   .../refuse-once...  refuses the first sending of each attempt, and sends
 * that refusal once more when the next request arrives on its connection,
 * before the answer to that one
 *   .../endless-line    a status line that does not end
 *   .../endless-header  a header that does not end
 *   .../endless-headers headers without end
 *   .../endless-1xx     interim answers without end
 *   .../endless-body    a body without a length that does not end
 *   .../endless-size    the size of a chunk does not end
 *   .../endless-chunk   the extension of a chunk does not end
 *   .../endless-trailer trailers without end
 *   .../endless-refusal the body of a refusal does not end
 *   .../garbage         bytes that are no answer, without end
 *   otherwise           answers
 *
 * GET /stats returns the number of connections accepted, of requests run, of
 * answers without end begun and still open, the bytes of these and how long one
 * was open at most, in ms. GET /ran/ID returns how often an attempt ran.
 */

#define BLOCK_BYTES (16 * 1024)
#define BACKLOG 128

/* An answer without end. */
struct endless {
	const char *name; /* at the end of the request's path */
	const char *head; /* how it begins */
	const char *named; /* a header that follows the attempt's id, or NULL */
	const char *more; /* what follows these */
	const char *repeated; /* what then goes on */
};

#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNKED_HEAD OK_HEAD "Transfer-Encoding: chunked\r\n"
#define FULL_HEAD "HTTP/1.1 503 Full\r\nConnection: close\r\n"
#define SIGNED headers_platform.signature
#define NOT_RUN headers_platform.not_run

/* Filled in by main(), as the names of headers are no constants. */
static struct endless endless_answers[10];

static void fill_endless_answers(void)
{
	const struct endless all[G_N_ELEMENTS(endless_answers)] = {
		{ "endless-line", "HTTP/1.1 200 ", NULL, "", "OK " },
		{ "endless-header", OK_HEAD "X-More: ", NULL, "", "more " },
		{ "endless-headers", OK_HEAD, SIGNED, "", "X-More: 1\r\n" },
		{ "endless-1xx", "", NULL, "",
		  "HTTP/1.1 100 Continue\r\n\r\n" },
		{ "endless-body", OK_HEAD "Connection: close\r\n", SIGNED,
		  "\r\n", "bytes " },
		{ "endless-size", CHUNKED_HEAD, SIGNED, "\r\n", "0" },
		{ "endless-chunk", CHUNKED_HEAD, SIGNED, "\r\n1;", "x" },
		{ "endless-trailer", CHUNKED_HEAD, SIGNED, "\r\n0\r\n",
		  "X-More: 1\r\n" },
		{ "endless-refusal", FULL_HEAD, NOT_RUN, "\r\n", "bytes " },
		{ "garbage", "", NULL, "", "no answer\n" },
	};

	memcpy(endless_answers, all, sizeof(all));
}

struct connection {
	int fd;
	ev_io reader;
	ev_io writer;
	http_parser parser;
	GString *path;
	GString *id;
	GString *name; /* of the header that is being read */
	GString *copy; /* sent when the next request arrives */
	GString *out;
	const struct endless *endless;
	GString *block; /* of the answer without end */
	size_t block_sent;
	int64_t endless_since_ms;
};

static struct ev_loop *loop;
static GHashTable *refused, *ran;
static uint64_t n_connections, n_ran, n_endless, n_endless_open, endless_bytes;
static int64_t longest_ms;

static void connection_close(struct connection *c)
{
	ev_io_stop(loop, &c->reader);
	ev_io_stop(loop, &c->writer);
	close(c->fd);
	if (c->endless) {
		n_endless_open--;
		longest_ms =
			MAX(longest_ms, clock_now_ms() - c->endless_since_ms);
	}
	g_string_free(c->path, TRUE);
	g_string_free(c->id, TRUE);
	g_string_free(c->name, TRUE);
	g_string_free(c->copy, TRUE);
	g_string_free(c->out, TRUE);
	g_string_free(c->block, TRUE);
	g_free(c);
}

static void append_answer(const struct connection *c, GString *out, int status,
			  bool is_run, const char *body)
{
	g_string_append_printf(
		out,
		"HTTP/1.1 %d .\r\n%s: %s\r\n%s: 1\r\nContent-Length: ", status,
		headers_platform.attempt_id, c->id->str,
		is_run ? headers_platform.signature : headers_platform.not_run);
	g_string_append_printf(out, "%zu\r\n\r\n%s", strlen(body), body);
}

static void add_one(GHashTable *counts, const char *id)
{
	gpointer n = g_hash_table_lookup(counts, id);

	g_hash_table_insert(counts, g_strdup(id),
			    GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
}

static void answer_run(struct connection *c)
{
	n_ran++;
	add_one(ran, c->id->str);
	append_answer(c, c->out, 200, true, "done\n");
}

static void answer_refuse_once(struct connection *c)
{
	if (g_hash_table_contains(refused, c->id->str)) {
		answer_run(c);
		return;
	}
	add_one(refused, c->id->str);
	append_answer(c, c->out, 503, false, "full\n");
	append_answer(c, c->copy, 503, false, "full\n");
}

static void answer_stats(struct connection *c)
{
	g_autofree char *text = g_strdup_printf(
		"connections %" G_GUINT64_FORMAT "\nran %" G_GUINT64_FORMAT
		"\nendless %" G_GUINT64_FORMAT
		"\nendless_open %" G_GUINT64_FORMAT
		"\nendless_bytes %" G_GUINT64_FORMAT
		"\nendless_longest_ms %" G_GINT64_FORMAT "\n",
		(guint64)n_connections, (guint64)n_ran, (guint64)n_endless,
		(guint64)n_endless_open, (guint64)endless_bytes,
		(gint64)longest_ms);

	append_answer(c, c->out, 200, true, text);
}

static void answer_ran(struct connection *c, const char *id)
{
	g_autofree char *text = g_strdup_printf(
		"%u", GPOINTER_TO_UINT(g_hash_table_lookup(ran, id)));

	append_answer(c, c->out, 200, true, text);
}

static void begin_endless(struct connection *c, const struct endless *e)
{
	c->endless = e;
	c->endless_since_ms = clock_now_ms();
	n_endless++;
	n_endless_open++;
	g_string_append(c->out, e->head);
	if (e->named)
		g_string_append_printf(c->out, "%s: %s\r\n%s: 1\r\n",
				       headers_platform.attempt_id, c->id->str,
				       e->named);
	g_string_append(c->out, e->more);
	while (c->block->len < BLOCK_BYTES)
		g_string_append(c->block, e->repeated);
}

static const struct endless *find_endless(const char *path)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(endless_answers); i++)
		if (g_str_has_suffix(path, endless_answers[i].name))
			return &endless_answers[i];
	return NULL;
}

static int on_complete(http_parser *p)
{
	struct connection *c = p->data;
	const struct endless *e = find_endless(c->path->str);

	g_string_append(c->out, c->copy->str);
	g_string_truncate(c->copy, 0);
	if (e)
		begin_endless(c, e);
	else if (!strcmp(c->path->str, "/stats"))
		answer_stats(c);
	else if (g_str_has_prefix(c->path->str, "/ran/"))
		answer_ran(c, c->path->str + strlen("/ran/"));
	else if (strstr(c->path->str, "refuse-once"))
		answer_refuse_once(c);
	else
		answer_run(c);
	ev_io_start(loop, &c->writer);
	return 0;
}

static int on_begin(http_parser *p)
{
	struct connection *c = p->data;

	g_string_truncate(c->path, 0);
	g_string_truncate(c->id, 0);
	return 0;
}

static int on_url(http_parser *p, const char *at, size_t len)
{
	struct connection *c = p->data;

	g_string_append_len(c->path, at, len);
	return 0;
}

static int on_name(http_parser *p, const char *at, size_t len)
{
	struct connection *c = p->data;

	g_string_truncate(c->name, 0);
	g_string_append_len(c->name, at, len);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct connection *c = p->data;

	if (!g_ascii_strcasecmp(c->name->str, headers_platform.attempt_id))
		g_string_append_len(c->id, at, len);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_message_complete = on_complete,
};

static void on_readable(struct ev_loop *l, ev_io *w, int events)
{
	struct connection *c = w->data;
	char bytes[BLOCK_BYTES];
	ssize_t n = read(c->fd, bytes, sizeof(bytes));

	(void)l;
	(void)events;
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0 || http_parser_execute(&c->parser, &parser_settings, bytes,
					  n) != (size_t)n)
		connection_close(c);
}

/* Returns how many bytes were sent, or -1 if the connection has ended. */
static ssize_t send_some(int fd, const char *data, size_t len)
{
	ssize_t n = send(fd, data, len, MSG_NOSIGNAL | MSG_DONTWAIT);

	return n < 0 && errno == EAGAIN ? 0 : n;
}

static void on_writable(struct ev_loop *l, ev_io *w, int events)
{
	struct connection *c = w->data;
	ssize_t n;

	(void)events;
	if (c->out->len) {
		n = send_some(c->fd, c->out->str, c->out->len);
		if (n > 0)
			g_string_erase(c->out, 0, n);
	} else if (c->endless) {
		n = send_some(c->fd, c->block->str + c->block_sent,
			      c->block->len - c->block_sent);
		endless_bytes += MAX(n, 0);
		if (n > 0)
			c->block_sent = (c->block_sent + n) % c->block->len;
	} else {
		ev_io_stop(l, w);
		return;
	}
	if (n < 0)
		connection_close(c);
}

static void on_accept(struct ev_loop *l, ev_io *w, int events)
{
	int fd = accept(w->fd, NULL, NULL);
	struct connection *c;
	int on = 1;

	(void)events;
	if (fd < 0)
		return;
	n_connections++;
	g_unix_set_fd_nonblocking(fd, TRUE, NULL);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c = g_new0(struct connection, 1);
	c->fd = fd;
	c->path = g_string_new(NULL);
	c->id = g_string_new(NULL);
	c->name = g_string_new(NULL);
	c->copy = g_string_new(NULL);
	c->out = g_string_new(NULL);
	c->block = g_string_new(NULL);
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	ev_io_init(&c->reader, on_readable, fd, EV_READ);
	ev_io_init(&c->writer, on_writable, fd, EV_WRITE);
	c->reader.data = c;
	c->writer.data = c;
	ev_io_start(l, &c->reader);
}

static int listen_on(const char *address)
{
	struct sockaddr_in sa;
	int on = 1;
	int fd;

	if (address_parse(address, &sa))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, BACKLOG))
		return -1;
	return fd;
}

int main(int argc, char **argv)
{
	ev_io listener;
	int fd = argc == 2 ? listen_on(argv[1]) : -1;

	if (fd < 0) {
		fprintf(stderr, "usage: faulty-server ADDRESS:PORT\n");
		return 2;
	}
	fill_endless_answers();
	loop = ev_default_loop(0);
	refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ev_io_init(&listener, on_accept, fd, EV_READ);
	ev_io_start(loop, &listener);
	ev_run(loop, 0);
	return 0;
}

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
#include "t/endless-answers.h"
#include "t/faulty-answers.h"

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
 *   a form of t/faulty-answers.h answers in it
 *   otherwise           answers
 *
 * GET /stats returns the number of connections accepted, of requests run, of
 * answers in a form of t/faulty-answers.h, of answers without end begun and
 * still open, the bytes of these and how long one was open at most, in ms. GET
 * /ran/ID returns how often an attempt ran, GET /ledger/PREFIX the same for
 * each one that ran and begins so.
 */

#define BLOCK_BYTES (16 * 1024)
#define BACKLOG 128

struct connection {
	int fd;
	ev_io reader;
	ev_io writer;
	http_parser parser;
	GString *path;
	GString *id;
	GString *name; /* of the header that is being read */
	GString *copy; /* sent when the next request arrives */
	GQueue parts; /* struct part, to be sent */
	ev_timer delay; /* active while the first part waits */
	bool ended; /* sends nothing more */
	const struct endless_answer *endless;
	GString *block; /* of the answer without end */
	size_t block_sent;
	int64_t endless_since_ms;
};

static struct ev_loop *loop;
static GHashTable *refused, *ran;
static uint64_t n_connections, n_ran, n_forms;
static uint64_t n_endless, n_endless_open, endless_bytes;
static int64_t longest_ms;

static void connection_close(struct connection *c)
{
	ev_io_stop(loop, &c->reader);
	ev_io_stop(loop, &c->writer);
	ev_timer_stop(loop, &c->delay);
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
	g_queue_clear_full(&c->parts, (GDestroyNotify)part_free);
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

static void send_answer(struct connection *c, int status, bool is_run,
			const char *body)
{
	GString *out = g_string_new(NULL);

	append_answer(c, out, status, is_run, body);
	parts_add(&c->parts, 0, out, PART_CONTINUES);
}

static void add_one(GHashTable *counts, const char *id)
{
	gpointer n = g_hash_table_lookup(counts, id);

	g_hash_table_insert(counts, g_strdup(id),
			    GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
}

static void record_run(const struct connection *c)
{
	n_ran++;
	add_one(ran, c->id->str);
}

static void answer_run(struct connection *c)
{
	record_run(c);
	send_answer(c, 200, true, "done\n");
}

static void answer_refuse_once(struct connection *c)
{
	if (g_hash_table_contains(refused, c->id->str)) {
		answer_run(c);
		return;
	}
	add_one(refused, c->id->str);
	send_answer(c, 503, false, "full\n");
	append_answer(c, c->copy, 503, false, "full\n");
}

static void answer_stats(struct connection *c)
{
	g_autofree char *text = g_strdup_printf(
		"connections %" G_GUINT64_FORMAT "\nran %" G_GUINT64_FORMAT
		"\nforms %" G_GUINT64_FORMAT "\nendless %" G_GUINT64_FORMAT
		"\nendless_open %" G_GUINT64_FORMAT
		"\nendless_bytes %" G_GUINT64_FORMAT
		"\nendless_longest_ms %" G_GINT64_FORMAT "\n",
		(guint64)n_connections, (guint64)n_ran, (guint64)n_forms,
		(guint64)n_endless, (guint64)n_endless_open,
		(guint64)endless_bytes, (gint64)longest_ms);

	send_answer(c, 200, true, text);
}

static void answer_ran(struct connection *c, const char *id)
{
	g_autofree char *text = g_strdup_printf(
		"%u", GPOINTER_TO_UINT(g_hash_table_lookup(ran, id)));

	send_answer(c, 200, true, text);
}

static void answer_ledger(struct connection *c, const char *prefix)
{
	g_autoptr(GString) text = g_string_new(NULL);
	GHashTableIter iter;
	gpointer id, n;

	g_hash_table_iter_init(&iter, ran);
	while (g_hash_table_iter_next(&iter, &id, &n))
		if (g_str_has_prefix(id, prefix))
			g_string_append_printf(text, "%s %u\n", (char *)id,
					       GPOINTER_TO_UINT(n));
	send_answer(c, 200, true, text->str);
}

static bool answer_in_form(struct connection *c)
{
	bool is_run;

	if (!faulty_answer_add(&c->parts, c->copy, c->path->str, c->id->str,
			       &is_run))
		return false;
	n_forms++;
	if (is_run)
		record_run(c);
	return true;
}

static void begin_endless(struct connection *c, const struct endless_answer *e)
{
	GString *out = g_string_new(e->head);

	c->endless = e;
	c->endless_since_ms = clock_now_ms();
	n_endless++;
	n_endless_open++;
	if (e->named)
		g_string_append_printf(out, "%s: %s\r\n%s: 1\r\n",
				       headers_platform.attempt_id, c->id->str,
				       e->named);
	g_string_append(out, e->more);
	parts_add(&c->parts, 0, out, PART_CONTINUES);
	while (c->block->len < BLOCK_BYTES)
		g_string_append(c->block, e->repeated);
}

static void send_copy(struct connection *c)
{
	if (!c->copy->len)
		return;
	parts_add(&c->parts, 0, g_string_new_len(c->copy->str, c->copy->len),
		  PART_CONTINUES);
	g_string_truncate(c->copy, 0);
}

static int on_complete(http_parser *p)
{
	struct connection *c = p->data;
	const struct endless_answer *e = endless_answer_find(c->path->str);

	send_copy(c);
	if (e)
		begin_endless(c, e);
	else if (!strcmp(c->path->str, "/stats"))
		answer_stats(c);
	else if (g_str_has_prefix(c->path->str, "/ran/"))
		answer_ran(c, c->path->str + strlen("/ran/"));
	else if (g_str_has_prefix(c->path->str, "/ledger/"))
		answer_ledger(c, c->path->str + strlen("/ledger/"));
	else if (strstr(c->path->str, "refuse-once"))
		answer_refuse_once(c);
	else if (!answer_in_form(c))
		answer_run(c);
	if (!ev_is_active(&c->delay))
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
	if (n > 0 && c->ended)
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

static void on_delay(struct ev_loop *l, ev_timer *w, int events)
{
	struct connection *c = w->data;

	(void)events;
	ev_io_start(l, &c->writer);
}

static void wait_for_part(struct connection *c, struct part *p)
{
	ev_io_stop(loop, &c->writer);
	ev_timer_set(&c->delay, p->delay_ms / 1000.0, 0);
	p->delay_ms = 0;
	ev_now_update(loop);
	ev_timer_start(loop, &c->delay);
}

/* Ends the sending side; what still arrives is read and dropped. */
static void send_fin(struct connection *c)
{
	c->ended = true;
	g_queue_clear_full(&c->parts, (GDestroyNotify)part_free);
	shutdown(c->fd, SHUT_WR);
}

static void set_reset_on_close(int fd)
{
	struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

/* Returns false if the connection has ended. */
static bool send_part(struct connection *c, struct part *p)
{
	ssize_t n = send_some(c->fd, p->bytes->str, p->bytes->len);
	enum part_end end = p->end;

	if (n < 0)
		return false;
	g_string_erase(p->bytes, 0, n);
	if (p->bytes->len)
		return true;
	part_free(g_queue_pop_head(&c->parts));
	if (end == PART_FIN)
		send_fin(c);
	if (end == PART_RESET)
		set_reset_on_close(c->fd);
	return end != PART_RESET;
}

static bool send_endless(struct connection *c)
{
	ssize_t n = send_some(c->fd, c->block->str + c->block_sent,
			      c->block->len - c->block_sent);

	endless_bytes += MAX(n, 0);
	if (n > 0)
		c->block_sent = (c->block_sent + n) % c->block->len;
	return n >= 0;
}

static void on_writable(struct ev_loop *l, ev_io *w, int events)
{
	struct connection *c = w->data;
	struct part *p = g_queue_peek_head(&c->parts);
	bool lives = true;

	(void)events;
	if (p && p->delay_ms)
		wait_for_part(c, p);
	else if (p)
		lives = send_part(c, p);
	else if (c->endless)
		lives = send_endless(c);
	else
		ev_io_stop(l, w);
	if (!lives)
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
	c->block = g_string_new(NULL);
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	ev_io_init(&c->reader, on_readable, fd, EV_READ);
	ev_io_init(&c->writer, on_writable, fd, EV_WRITE);
	ev_init(&c->delay, on_delay);
	c->delay.data = c;
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
	loop = ev_default_loop(0);
	refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ev_io_init(&listener, on_accept, fd, EV_READ);
	ev_io_start(loop, &listener);
	ev_run(loop, 0);
	return 0;
}

#include <errno.h>
#include <ev.h>
#include <glib-unix.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/log-client.h"
#include "node/granter.h"
#include "platform/store.h"
#include "util/result.h"

/*
 * What the clients of the log and of grants believe of answers that break off,
 * by the end of the connection or by its reset, and the client of the log of
 * pages that are not as they should be or do not end.
 */

#define TIMEOUT_S 5
#define MAX_ANSWERS 2

/* What the log sends, call by call, each time ending the connection. */
static GString *answers[MAX_ANSWERS];
static uint32_t n_answers, n_asked;
static bool resets;

static struct ev_loop *loop;
static ev_io listener;
static char address[32];
static uint32_t n_records, n_tails, n_trimmed, n_appended;
static int append_result;

/* The body of an answer goes on until the client closes the connection. */
static bool endless;
static uint64_t endless_bytes;

struct served {
	ev_io reader;
	ev_io writer;
	GString *in;
};

static void on_writable(struct ev_loop *l, ev_io *w, int events)
{
	static const char block[65536];
	ssize_t n = send(w->fd, block, sizeof(block), MSG_NOSIGNAL);

	(void)events;
	if (n > 0)
		endless_bytes += (uint64_t)n;
	if (n >= 0 || errno == EAGAIN)
		return;
	ev_io_stop(l, w);
	close(w->fd);
	g_free(w->data);
}

static void answer_without_end(struct served *s, int fd)
{
	static const char head[] = "HTTP/1.1 200 .\r\n\r\n";

	g_assert_cmpint(send(fd, head, strlen(head), MSG_NOSIGNAL), >, 0);
	n_asked++;
	ev_io_init(&s->writer, on_writable, fd, EV_WRITE);
	s->writer.data = s;
	ev_io_start(loop, &s->writer);
}

static void answer(int fd)
{
	struct linger at_once = { .l_onoff = 1 };
	const GString *a = answers[MIN(n_asked, n_answers - 1)];

	n_asked++;
	g_assert_cmpint(send(fd, a->str, a->len, MSG_NOSIGNAL), ==, a->len);
	if (resets)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once,
			   sizeof(at_once));
	close(fd);
}

static void on_readable(struct ev_loop *l, ev_io *w, int events)
{
	struct served *s = w->data;
	char bytes[4096];
	ssize_t n = recv(w->fd, bytes, sizeof(bytes), 0);

	(void)events;
	if (n > 0)
		g_string_append_len(s->in, bytes, n);
	if (n > 0 && !strstr(s->in->str, "\r\n\r\n"))
		return;
	ev_io_stop(l, w);
	g_string_free(s->in, TRUE);
	if (n > 0 && endless) {
		answer_without_end(s, w->fd);
		return;
	}
	if (n > 0)
		answer(w->fd);
	else
		close(w->fd);
	g_free(s);
}

static void on_accept(struct ev_loop *l, ev_io *w, int events)
{
	struct served *s = g_new0(struct served, 1);
	int fd = accept(w->fd, NULL, NULL);

	(void)events;
	g_assert_cmpint(fd, >=, 0);
	g_unix_set_fd_nonblocking(fd, TRUE, NULL);
	s->in = g_string_new(NULL);
	ev_io_init(&s->reader, on_readable, fd, EV_READ);
	s->reader.data = s;
	ev_io_start(l, &s->reader);
}

static void start_log(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	uint32_t i;

	loop = ev_default_loop(0);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(fd, 64), ==, 0);
	getsockname(fd, (struct sockaddr *)&sa, &len);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d",
		   ntohs(sa.sin_port));
	ev_io_init(&listener, on_accept, fd, EV_READ);
	ev_io_start(loop, &listener);
	for (i = 0; i < MAX_ANSWERS; i++)
		answers[i] = g_string_new(NULL);
}

static void add_answer(const char *status, const char *body, size_t len)
{
	GString *a = answers[n_answers++];

	g_string_printf(a, "HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n", status,
			len);
	g_string_append_len(a, body, (gssize)len);
}

static void set_answer(const char *status, const char *body, size_t len)
{
	n_answers = 0;
	add_answer(status, body, len);
}

static void on_record(void *user, int64_t offset, const char *id,
		      const json_t *record)
{
	(void)user;
	(void)offset;
	(void)id;
	(void)record;
	n_records++;
}

static void on_tail(void *user, int64_t sent_ms)
{
	(void)user;
	(void)sent_ms;
	n_tails++;
}

static void on_trimmed(void *user, int64_t first)
{
	(void)user;
	(void)first;
	n_trimmed++;
}

static void on_appended(void *user, int kind, void *append_user, int result)
{
	(void)user;
	(void)kind;
	(void)append_user;
	n_appended++;
	append_result = result;
}

static const struct log_handlers handlers = { .on_record = on_record,
					      .on_tail = on_tail,
					      .on_trimmed = on_trimmed,
					      .on_appended = on_appended };

static void on_timeout(struct ev_loop *l, ev_timer *w, int events)
{
	(void)l;
	(void)w;
	(void)events;
	g_error("the call did not end");
}

static bool read_ended(const struct log_client *c)
{
	return c->n_failures || n_records || n_tails || n_trimmed;
}

static bool append_ended(const struct log_client *c)
{
	const struct log_append *a =
		c->appends->len ? g_ptr_array_index(c->appends, 0) : NULL;

	return n_appended || (a && a->in_doubt);
}

static void run_until(struct log_client *c,
		      bool (*ended)(const struct log_client *c))
{
	ev_timer timer;

	ev_timer_init(&timer, on_timeout, TIMEOUT_S, 0);
	ev_timer_start(loop, &timer);
	while (!ended(c))
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &timer);
}

static void client_init(struct log_client *c, const struct log_ops *log_ops)
{
	n_asked = n_records = n_tails = n_trimmed = n_appended = 0;
	log_client_init(c, loop, address, log_ops, &handlers, NULL);
}

/* A read or, where the log is recovered, its pages. Returns whether it failed. */
static bool read_fails(const struct log_ops *log_ops, bool recover)
{
	struct log_client c;
	bool failed;

	client_init(&c, log_ops);
	if (recover)
		log_client_recover_first(&c);
	run_until(&c, read_ended);
	failed = c.n_failures;
	g_assert_true(!failed || (!n_records && !n_tails && !n_trimmed));
	log_client_finish(&c);
	return failed;
}

/* Cuts the last answer down to its first bytes. */
static void cut_answer(const GString *whole, size_t n)
{
	GString *a = answers[n_answers - 1];

	g_string_truncate(a, 0);
	g_string_append_len(a, whole->str, (gssize)n);
	g_test_message("%zu of %zu bytes%s", n, whole->len,
		       resets ? ", reset" : "");
}

static GString *last_answer(void)
{
	const GString *a = answers[n_answers - 1];

	return g_string_new_len(a->str, (gssize)a->len);
}

/* Each beginning of the last answer fails; the whole of it does not. */
static void check_read(const struct log_ops *log_ops, bool recover)
{
	GString *whole = last_answer();
	size_t n;

	for (n = 0; n < 2 * whole->len; n++) {
		resets = n % 2;
		cut_answer(whole, n / 2);
		g_assert_true(read_fails(log_ops, recover));
	}
	resets = false;
	cut_answer(whole, whole->len);
	g_assert_false(read_fails(log_ops, recover));
	g_string_free(whole, TRUE);
}

#define RECORDS                                    \
	"\0\0\0\0\0\0\0\1\0\0\0\0\0\0\0\0\0\0\0\4" \
	"\3"                                       \
	"000"
#define ITEM "{\"key\":\"000\",\"value\":\"e30=\",\"offset\":4}"
#define PAGE(more) "{\"items\":[" ITEM "],\"more\":" more ",\"end_offset\":5}"
#define TEXT(s) s, sizeof(s) - 1

/* The log breaks off its answers to reads. */
static void test_broken_reads(void)
{
	set_answer("200 .", TEXT(RECORDS));
	check_read(&store_fleet_ops, false);
	check_read(&store_operator_ops, false);
	set_answer("410 .", TEXT("{\"first_offset\":3}"));
	check_read(&store_fleet_ops, false);
	set_answer("200 .",
		   TEXT("{\"first\":0,\"next\":1,\"records\":[{\"offset\":0,"
			"\"id\":\"a\",\"record\":{}}]}"));
	check_read(&log_http_ops, false);
	set_answer("410 .", TEXT("{\"first\":3,\"next\":4}"));
	check_read(&log_http_ops, false);
}

/* The log breaks off the first or the second page of its newest records. */
static void test_broken_pages(void)
{
	set_answer("200 .", TEXT(PAGE("false")));
	check_read(&store_fleet_ops, true);
	set_answer("200 .", TEXT(PAGE("true")));
	add_answer("200 .", TEXT(PAGE("false")));
	check_read(&store_operator_ops, true);
}

/* Pages that lack something: a part of the log must not be taken for all. */
static void test_odd_pages(void)
{
	static const struct {
		const char *page;
		bool fails;
	} pages[] = {
		{ PAGE("false"), false },
		{ "{\"items\":[],\"more\":false,\"end_offset\":0}", false },
		{ "{\"items\":[" ITEM "],\"more\":false}", true },
		{ "{\"items\":[" ITEM "],\"more\":false,\"end_offset\":\"5\"}",
		  true },
		{ "{\"items\":[" ITEM "],\"more\":false,\"end_offset\":-1}",
		  true },
		{ "{\"items\":{},\"more\":false,\"end_offset\":5}", true },
		{ "{\"items\":[7],\"more\":true,\"end_offset\":5}", true },
		{ "{\"items\":[" ITEM "],\"more\":false,\"end_offset\":5",
		  true },
	};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(pages); i++) {
		g_test_message("%s", pages[i].page);
		set_answer("200 .", pages[i].page, strlen(pages[i].page));
		g_assert_cmpint(read_fails(&store_fleet_ops, true), ==,
				pages[i].fails);
	}
}

/* An answer without end must not take all memory. */
static void test_endless_reads(void)
{
	const struct log_ops *const all[] = { &store_fleet_ops,
					      &store_operator_ops,
					      &log_http_ops };
	uint32_t i;

	endless = true;
	for (i = 0; i < G_N_ELEMENTS(all); i++) {
		endless_bytes = 0;
		g_assert_true(read_fails(all[i], false));
		g_assert_cmpuint(endless_bytes, <, 2 * LOG_ANSWER_MAX_BYTES);
	}
	endless_bytes = 0;
	g_assert_true(read_fails(&store_fleet_ops, true));
	g_assert_cmpuint(endless_bytes, <, 2 * LOG_ANSWER_MAX_BYTES);
	endless = false;
}

/* A page that does not say that it is the last one: the next one is asked for. */
static void test_page_without_more(void)
{
	static const char *const pages[] = {
		PAGE("true"),
		PAGE("\"true\""),
		PAGE("null"),
		"{\"items\":[" ITEM "],\"end_offset\":5}",
	};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(pages); i++) {
		g_test_message("%s", pages[i]);
		set_answer("200 .", pages[i], strlen(pages[i]));
		add_answer("200 .", TEXT(PAGE("false")));
		g_assert_false(read_fails(&store_fleet_ops, true));
		g_assert_cmpuint(n_asked, >=, 2);
	}
}

/* Appends one record. Returns whether the outcome is in doubt. */
static bool append_in_doubt(const struct log_ops *log_ops)
{
	struct log_client c;
	bool in_doubt;

	client_init(&c, log_ops);
	ev_timer_stop(loop, &c.timer);
	log_client_append(&c, 0, false, NULL, json_object());
	run_until(&c, append_ended);
	in_doubt = !n_appended;
	log_client_finish(&c);
	return in_doubt;
}

/* The log breaks off its answers to appends, whatever they would say. */
static void test_broken_appends(void)
{
	static const struct {
		const struct log_ops *ops;
		const char *status;
		const char *body;
		int result;
	} all[] = {
		{ &store_fleet_ops, "200 .", "{\"offset\":0,\"end_offset\":1}",
		  RESULT_OK },
		{ &store_fleet_ops, "412 .", "{\"end_offset\":1}",
		  RESULT_CONFLICT },
		{ &store_fleet_ops, "429 .", "{}", RESULT_OVERLOAD },
		{ &store_fleet_ops, "503 .", "{}", RESULT_IO },
		{ &log_http_ops, "200 .", "{\"offset\":0}", RESULT_OK },
	};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(all); i++) {
		GString *whole;
		size_t n;

		set_answer(all[i].status, all[i].body, strlen(all[i].body));
		whole = last_answer();
		for (n = 0; n < 2 * whole->len; n++) {
			resets = n % 2;
			cut_answer(whole, n / 2);
			g_assert_true(append_in_doubt(all[i].ops));
		}
		resets = false;
		cut_answer(whole, whole->len);
		g_assert_false(append_in_doubt(all[i].ops));
		g_assert_cmpint(append_result, ==, all[i].result);
		g_string_free(whole, TRUE);
	}
}

/* A log that does not say where it ends has not been read to its end. */
static void test_odd_reads(void)
{
	static const struct {
		const char *status;
		const char *body;
	} all[] = {
		{ "200 .", "{\"first\":0,\"records\":[]}" },
		{ "200 .", "{\"first\":0,\"next\":\"1\",\"records\":[]}" },
		{ "200 .", "{\"first\":0,\"next\":0}" },
		{ "200 .", "[]" },
		{ "410 .", "{}" },
		{ "410 .", "{\"first\":\"3\"}" },
	};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(all); i++) {
		g_test_message("%s", all[i].body);
		set_answer(all[i].status, all[i].body, strlen(all[i].body));
		g_assert_true(read_fails(&log_http_ops, false));
	}
}

static void on_grant_done(struct fetch *f, int result)
{
	enum grant_outcome *outcome = f->user;

	*outcome = granter_outcome(f, result);
	ev_break(loop, EVBREAK_ALL);
}

static enum grant_outcome call_for_grant(void)
{
	static const struct fetch_ops grant_ops = { .on_done = on_grant_done };
	g_autofree char *url = g_strdup_printf("http://%s/-/grant", address);
	enum grant_outcome outcome = GRANT_NOT_APPLIED;
	struct fetcher fetcher;
	struct fetch f;

	fetcher_init(&fetcher, loop, 1);
	fetch_start(&f, &fetcher, "POST", url, NULL, "{}", 2, TIMEOUT_S * 1000,
		    true, &grant_ops, &outcome);
	ev_run(loop, 0);
	fetcher_finish(&fetcher);
	return outcome;
}

/* A server breaks off its answers to grants, whatever they would say. */
static void test_broken_grants(void)
{
	static const struct {
		const char *status;
		enum grant_outcome outcome;
	} all[] = {
		{ "200 .", GRANT_APPLIED },
		{ "400 .", GRANT_NOT_APPLIED },
		{ "409 .", GRANT_FENCED },
	};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(all); i++) {
		GString *whole;
		size_t n;

		set_answer(all[i].status, TEXT("{}"));
		whole = last_answer();
		for (n = 0; n < 2 * whole->len; n++) {
			resets = n % 2;
			cut_answer(whole, n / 2);
			g_assert_cmpint(call_for_grant(), ==, GRANT_IN_DOUBT);
		}
		resets = false;
		cut_answer(whole, whole->len);
		g_assert_cmpint(call_for_grant(), ==, all[i].outcome);
		g_string_free(whole, TRUE);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	start_log();
	g_test_add_func("/store/broken-reads", test_broken_reads);
	g_test_add_func("/store/broken-pages", test_broken_pages);
	g_test_add_func("/store/broken-appends", test_broken_appends);
	g_test_add_func("/store/odd-pages", test_odd_pages);
	g_test_add_func("/store/page-without-more", test_page_without_more);
	g_test_add_func("/store/odd-reads", test_odd_reads);
	g_test_add_func("/store/endless-reads", test_endless_reads);
	g_test_add_func("/store/broken-grants", test_broken_grants);
	return g_test_run();
}

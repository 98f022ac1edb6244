#include <errno.h>
#include <glib-unix.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include "net/address.h"
#include "net/clock.h"
#include "net/headers.h"
#include "node/entry-request.h"
#include "node/node.h"
#include "platform/request.h"
#include "util/counters.h"
#include "util/result.h"

/*
 * What callers get when gates send answers that are none: those of gates of
 * earlier versions, or those that lost parts on their way. A caller talks to a
 * real entry through a socket; its gate is played by the test.
 */

#define CALLER_ADDRESS "127.0.0.1:29881"
#define PEER_ADDRESS "127.0.0.1:29882"
#define GATE 7
#define ID "X-Mesh-Request-Id"
#define SIGNATURE "X-Mesh-Stamp"
#define SIGNED ID, "1", SIGNATURE, "s"
#define MAX_PARTS 4
#define MAX_HEADER_TEXTS 12
#define PART_INTERVAL_S 0.005
#define TIMEOUT_S 5
#define SPLIT 3 /* where the body of an answer in parts is split */

/* An answer of a gate. */
struct gate_answer {
	const char *what;
	const char *method; /* NULL: GET */
	int64_t status;
	const char *headers[MAX_HEADER_TEXTS];
	const char *parts[MAX_PARTS]; /* of the body, the last one ends it */
};

/* What the caller gets. */
struct received {
	GString *bytes;
	long status;
	const char *body; /* within bytes, NULL: no whole head */
	bool reset; /* the connection was ended by a reset */
};

static struct node node;
static struct httpd_ops ops;
static const struct httpd_ops *entry_ops;
static const struct gate_answer *to_send;
static uint32_t n_parts_sent;
static bool repeatable;
static bool head_again; /* each part of the answer bears the head */
static bool at_once; /* all parts of the answer arrive together */
static struct plan plan; /* of the last request, as it ended */
static uint64_t attempt_id;
static GPtrArray *gate_headers;
static ev_timer part_timer;

static void send_part(void)
{
	const struct gate_answer *g = to_send;
	const char *part = g->parts[n_parts_sent];
	struct request_msg m = { .type = REQ_DATA,
				 .origin = node.entry.origin,
				 .id = attempt_id,
				 .gate_member = GATE,
				 .data = part ? part : "",
				 .len = part ? strlen(part) : 0 };
	g_autofree char *whole = g_strjoinv("", (char **)g->parts);
	uint32_t i;

	if (!n_parts_sent || head_again) {
		m.type = REQ_HEAD;
		m.status = g->status;
		m.headers = gate_headers;
	}
	for (i = 0; i < n_parts_sent; i++)
		m.number += (int64_t)strlen(g->parts[i]);
	n_parts_sent++;
	if (n_parts_sent >= MAX_PARTS || !g->parts[n_parts_sent]) {
		m.flags = REQ_FLAG_END;
		m.body_length = (int64_t)strlen(whole);
		m.body_digest = XXH64(whole, strlen(whole), 0);
		ev_timer_stop(node.loop, &part_timer);
	}
	entry_on_message(&node.entry, &m);
}

static void on_part_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)w;
	(void)events;
	do
		send_part();
	while (at_once && ev_is_active(&part_timer));
}

/* Takes a request as the entry does, and its gate answers. */
static void on_request(void *user, struct httpd_request *http)
{
	struct entry *e = user;
	struct entry_request *r = g_new0(struct entry_request, 1);
	struct attempt *a = g_new0(struct attempt, 1);

	r->entry = e;
	r->http = http;
	r->class_name = g_strdup("lookups");
	r->attempt_id = httpd_header(http, ID);
	r->plan.repeatable = repeatable;
	r->plan.received_at_ms = clock_now_ms();
	r->plan.deadline_ms = r->plan.received_at_ms + 1000;
	r->plan.max_servers = 2;
	http->user = r;
	g_ptr_array_add(e->requests, r);
	a->number = (uint32_t)plan_add_attempt(&r->plan);
	plan_attempt_event(&r->plan, a->number, ATTEMPT_EVENT_SENT);
	a->id = ++e->next_id;
	a->request = r;
	a->member = GATE;
	a->sent_at_us = clock_now_us();
	g_strlcpy(a->address, "127.0.0.1:29883", sizeof(a->address));
	r->attempts[0] = a;
	g_hash_table_insert(e->attempts, &a->id, a);
	attempt_id = a->id;
	n_parts_sent = 0;
	ev_timer_set(&part_timer, PART_INTERVAL_S, PART_INTERVAL_S);
	ev_timer_start(node.loop, &part_timer);
}

static void on_closed(void *user, struct httpd_request *http)
{
	struct entry_request *r = http->user;

	ev_timer_stop(node.loop, &part_timer);
	if (r)
		plan = r->plan;
	entry_ops->on_closed(user, http);
}

static void on_peer_message(void *user, enum peer_plane plane,
			    const struct peer_source *from, const void *data,
			    size_t len)
{
	(void)user;
	(void)plane;
	(void)from;
	(void)data;
	(void)len;
}

static void start_entry(void)
{
	node.loop = ev_default_loop(0);
	fleet_init(&node.member.fleet);
	node.settings.headers = &headers_platform;
	node.settings.choice = &chooser_two_choices;
	node.settings.retry_share = 0.2;
	node.settings.retry_reserve = 64;
	node.settings.max_body_bytes = 4096;
	g_strlcpy(node.settings.caller_address, CALLER_ADDRESS,
		  sizeof(node.settings.caller_address));
	g_assert_cmpint(peers_init(&node.peers, node.loop, PEER_ADDRESS,
				   on_peer_message, NULL),
			==, RESULT_OK);
	g_assert_cmpint(entry_init(&node.entry, &node), ==, RESULT_OK);
	entry_ops = node.entry.httpd.ops;
	ops = *entry_ops;
	ops.on_request = on_request;
	ops.on_closed = on_closed;
	node.entry.httpd.ops = &ops;
	ev_init(&part_timer, on_part_timer);
}

static void on_caller_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct received *got = w->data;
	char bytes[4096];
	ssize_t n = recv(w->fd, bytes, sizeof(bytes), 0);

	(void)events;
	if (n > 0) {
		g_string_append_len(got->bytes, bytes, n);
		return;
	}
	got->reset = n < 0 && errno == ECONNRESET;
	ev_break(loop, EVBREAK_ALL);
}

static void on_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)w;
	(void)events;
	g_error("the caller got no answer");
}

static int connect_caller(void)
{
	struct sockaddr_in sa;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(address_parse(CALLER_ADDRESS, &sa), ==, RESULT_OK);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_unix_set_fd_nonblocking(fd, TRUE, NULL);
	return fd;
}

/* Sends a request, which the gate answers so, until the connection ends. */
static void call(const struct gate_answer *g, const char *version,
		 struct received *got)
{
	g_autofree char *text =
		g_strdup_printf("%s /x HTTP/%s\r\nHost: a\r\n" ID
				": 1\r\nConnection: close\r\n\r\n",
				g->method ? g->method : "GET", version);
	int fd = connect_caller();
	ev_timer timeout;
	ev_io reader;
	char *end;
	uint32_t i;

	to_send = g;
	gate_headers = headers_new();
	for (i = 0; g->headers[i]; i += 2)
		header_add(gate_headers, g->headers[i], g->headers[i + 1]);
	got->bytes = g_string_new(NULL);
	ev_io_init(&reader, on_caller_readable, fd, EV_READ);
	reader.data = got;
	ev_io_start(node.loop, &reader);
	ev_timer_init(&timeout, on_timeout, TIMEOUT_S, 0);
	ev_timer_start(node.loop, &timeout);
	g_assert_cmpint(send(fd, text, strlen(text), 0), ==, strlen(text));
	ev_run(node.loop, 0);
	ev_timer_stop(node.loop, &timeout);
	ev_io_stop(node.loop, &reader);
	close(fd);
	g_ptr_array_unref(gate_headers);
	end = strstr(got->bytes->str, "\r\n\r\n");
	got->body = end ? end + 4 : NULL;
	got->status = end ? strtol(got->bytes->str + 9, NULL, 10) : 0;
}

/* The last event that the request's attempt ended with. */
static enum attempt_event how_it_ended(void)
{
	return plan.attempts[0].last_event;
}

/* Answers of one message. */
static const struct gate_answer whole[] = {
	{ "signed", NULL, 200, { SIGNED }, { "hello" } },
	{ "its length",
	  NULL,
	  200,
	  { SIGNED, "content-length", "5" },
	  { "hello" } },
	{ "without a body",
	  NULL,
	  200,
	  { SIGNED, "Content-Length", "0" },
	  { "" } },
	{ "a tab", NULL, 200, { ID, "1", SIGNATURE, "a\tb" }, { "hello" } },
	{ "204", NULL, 204, { SIGNED }, { "" } },
	{ "304 with a length",
	  NULL,
	  304,
	  { ID, "1", "Content-Length", "5" },
	  { "" } },
	{ "HEAD", "HEAD", 200, { SIGNED, "Content-Length", "5" }, { "" } },
	{ "a failure", NULL, 404, { ID, "1" }, { "none" } },
};

static const struct gate_answer no_answers[] = {
	{ "unsigned", NULL, 200, { ID, "1" }, { "hello" } },
	{ "an empty signature",
	  NULL,
	  200,
	  { ID, "1", SIGNATURE, "" },
	  { "hello" } },
	{ "no headers", NULL, 200, { NULL }, { "" } },
	{ "204 unsigned", NULL, 204, { ID, "1" }, { "" } },
	{ "HEAD unsigned", "HEAD", 200, { ID, "1" }, { "" } },
	{ "another id", NULL, 200, { ID, "2", SIGNATURE, "s" }, { "hello" } },
	{ "a failure with another id", NULL, 404, { ID, "2" }, { "none" } },
	{ "a failure without an id", NULL, 500, { NULL }, { "" } },
	{ "two ids", NULL, 200, { SIGNED, ID, "2" }, { "hello" } },
	{ "too short",
	  NULL,
	  200,
	  { SIGNED, "Content-Length", "6" },
	  { "hello" } },
	{ "too long",
	  NULL,
	  200,
	  { SIGNED, "Content-Length", "4" },
	  { "hello" } },
	{ "empty", NULL, 200, { SIGNED, "Content-Length", "5" }, { "" } },
	{ "two lengths",
	  NULL,
	  200,
	  { SIGNED, "Content-Length", "5", "Content-Length", "6" },
	  { "hello" } },
	{ "no number",
	  NULL,
	  200,
	  { SIGNED, "Content-Length", "5x" },
	  { "hello" } },
	{ "no status", NULL, 0, { SIGNED }, { "hello" } },
	{ "interim", NULL, 100, { SIGNED }, { "" } },
	{ "204 with a body", NULL, 204, { SIGNED }, { "hello" } },
	{ "HEAD with a body", "HEAD", 200, { SIGNED }, { "hello" } },
	{ "unsigned, in parts", NULL, 200, { ID, "1" }, { "hel", "lo" } },
	{ "another id, in parts",
	  NULL,
	  200,
	  { ID, "2", SIGNATURE, "s" },
	  { "hel", "lo" } },
	{ "first part too long",
	  NULL,
	  200,
	  { SIGNED, "Content-Length", "2" },
	  { "hel", "lo" } },
	{ "HEAD, in parts", "HEAD", 200, { SIGNED }, { "hel", "lo" } },
};

static void test_whole_answers(void)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(whole); i++) {
		struct received got;

		g_test_message("%s", whole[i].what);
		call(&whole[i], "1.1", &got);
		g_assert_cmpint(got.status, ==, whole[i].status);
		g_assert_cmpstr(got.body, ==, whole[i].parts[0]);
		if (got.status < 300)
			g_assert_nonnull(strstr(got.bytes->str, SIGNATURE));
		g_assert_cmpint(how_it_ended(), ==, ATTEMPT_EVENT_ANSWERED);
		g_string_free(got.bytes, TRUE);
	}
}

/* A gate passes on what is no answer to the request. */
static void test_no_answer_is_passed_on(void)
{
	uint32_t i;

	repeatable = false;
	for (i = 0; i < G_N_ELEMENTS(no_answers); i++) {
		struct received got;

		g_test_message("%s", no_answers[i].what);
		call(&no_answers[i], "1.1", &got);
		g_assert_cmpint(got.status, ==, 504);
		g_assert_cmpint(how_it_ended(), ==,
				ATTEMPT_EVENT_INVALID_ANSWER);
		g_string_free(got.bytes, TRUE);
	}
}

/* No other gate is there; that one is looked for shows that it is tried again. */
static void test_lookup_is_tried_again(void)
{
	uint64_t before = counters[COUNTER_requests_retried];
	struct received got;

	repeatable = true;
	call(&no_answers[0], "1.1", &got);
	repeatable = false;
	g_assert_cmpuint(counters[COUNTER_requests_retried], ==, before + 1);
	g_assert_cmpint(got.status, >=, 500);
	g_string_free(got.bytes, TRUE);
}

static const struct gate_answer in_parts[] = {
	{ "without a length", NULL, 200, { SIGNED }, { "hel", "lo" } },
	{ "its length",
	  NULL,
	  200,
	  { SIGNED, "Content-Length", "5" },
	  { "hel", "lo" } },
};

static void test_answers_in_parts(void)
{
	static const char *const bodies[] = {
		"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", "hello"
	};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(in_parts); i++) {
		struct received got;

		g_test_message("%s", in_parts[i].what);
		call(&in_parts[i], "1.1", &got);
		g_assert_cmpint(got.status, ==, 200);
		g_assert_cmpstr(got.body, ==, bodies[i]);
		g_string_free(got.bytes, TRUE);
	}
}

static const struct gate_answer other_lengths[] = {
	{ "too short",
	  NULL,
	  200,
	  { SIGNED, "Content-Length", "6" },
	  { "hel", "lo" } },
	{ "too long",
	  NULL,
	  200,
	  { SIGNED, "Content-Length", "4" },
	  { "hel", "lo" } },
};

static void check_not_whole(const struct gate_answer *g)
{
	struct received got;
	const char *length;

	g_test_message("%s", g->what);
	call(g, "1.1", &got);
	g_assert_cmpint(got.status, ==, 200);
	length = strstr(got.bytes->str, "Content-Length: ");
	if (length)
		g_assert_cmpuint(strlen(got.body), <,
				 strtoul(length + 16, NULL, 10));
	else
		g_assert_null(strstr(got.body, "0\r\n\r\n"));
	g_string_free(got.bytes, TRUE);
}

/* The caller has the head when the parts turn out not to fit its length. */
static void test_other_length_does_not_look_whole(void)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(other_lengths); i++)
		check_not_whole(&other_lengths[i]);
}

/* A gate begins its answer once more when part of it has been passed on. */
static void test_second_head_does_not_look_whole(void)
{
	uint32_t i;

	head_again = true;
	for (i = 0; i < G_N_ELEMENTS(in_parts); i++)
		check_not_whole(&in_parts[i]);
	head_again = false;
}

/* Bytes of the answer are still to be sent when it breaks off. */
static void test_broken_off_behind_unsent_bytes(void)
{
	at_once = true;
	test_second_head_does_not_look_whole();
	at_once = false;
}

/* What follows the head would be read as the next answer. */
static void test_head_without_length_has_no_body(void)
{
	static const struct gate_answer answer = {
		"HEAD without a length", "HEAD", 200, { SIGNED }, { "" }
	};
	struct received got;

	call(&answer, "1.1", &got);
	g_assert_cmpint(got.status, ==, 200);
	g_assert_cmpstr(got.body, ==, "");
	g_string_free(got.bytes, TRUE);
}

/* A caller of HTTP/1.0 has only the end of the connection to go by. */
static void test_broken_off_for_http_1_0(void)
{
	struct received got;

	call(&in_parts[0], "1.0", &got);
	g_assert_cmpstr(got.body, ==, "hello");
	g_assert_false(got.reset);
	g_string_free(got.bytes, TRUE);
	head_again = true;
	call(&in_parts[0], "1.0", &got);
	head_again = false;
	g_assert_true(got.reset);
	g_string_free(got.bytes, TRUE);
}

/* Connections that are closed after an answer do not change how it ends. */
static void test_parts_while_draining(void)
{
	node.entry.httpd.draining = true;
	test_answers_in_parts();
	node.entry.httpd.draining = false;
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	start_entry();
	g_test_add_func("/entry-answer/whole", test_whole_answers);
	g_test_add_func("/entry-answer/in-parts", test_answers_in_parts);
	g_test_add_func("/entry-answer/no-answer-is-passed-on",
			test_no_answer_is_passed_on);
	g_test_add_func("/entry-answer/lookup-is-tried-again",
			test_lookup_is_tried_again);
	g_test_add_func("/entry-answer/other-length-does-not-look-whole",
			test_other_length_does_not_look_whole);
	g_test_add_func("/entry-answer/second-head-does-not-look-whole",
			test_second_head_does_not_look_whole);
	g_test_add_func("/entry-answer/broken-off-for-http-1.0",
			test_broken_off_for_http_1_0);
	g_test_add_func("/entry-answer/parts-while-draining",
			test_parts_while_draining);
	g_test_add_func("/entry-answer/head-without-length-has-no-body",
			test_head_without_length_has_no_body);
	g_test_add_func("/entry-answer/broken-off-behind-unsent-bytes",
			test_broken_off_behind_unsent_bytes);
	return g_test_run();
}

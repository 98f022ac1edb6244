#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "member/msg.h"
#include "net/address.h"
#include "net/clock.h"
#include "net/byte-queue.h"
#include "net/httpd.h"
#include "net/headers.h"
#include "net/log-client.h"
#include "net/peer.h"
#include "net/pipeline.h"
#include "net/request-msg.h"
#include "util/deflate.h"
#include "platform/store.h"
#include "util/result.h"

#define N_MUTATIONS 20000
#define SETTLE_S 0.2
#define HEARTBEATS_S 2.5
#define LONG_ANSWER_BYTES 65000
/* More than the kernel buffers for one connection. */
#define N_LONG_ANSWERS 300
#define CLOSE_LIMIT_MS 10000

static uint32_t n_received;

static GByteArray *encoded_request(void)
{
	GByteArray *out = g_byte_array_new();
	GPtrArray *headers = headers_new();
	struct request_msg m = { .type = REQ_SUBMIT,
				 .method = "POST",
				 .url = "/bookings",
				 .key = "k",
				 .idempotency_key = "i",
				 .data = "body",
				 .len = 4,
				 .origin = UINT64_MAX,
				 .id = 7 };

	header_add(headers, "A", "b");
	m.headers = headers;
	request_msg_encode(&m, out);
	g_ptr_array_unref(headers);
	return out;
}

static void test_request_round_trip(void)
{
	GByteArray *data = encoded_request();
	struct request_msg m;

	g_assert_cmpint(request_msg_decode(&m, data->data, data->len), ==,
			RESULT_OK);
	g_assert_cmpuint(m.origin, ==, UINT64_MAX);
	g_assert_cmpstr(m.url, ==, "/bookings");
	g_assert_cmpstr(header_find(m.headers, "a"), ==, "b");
	g_assert_cmpmem(m.data, m.len, "body", 4);
	request_msg_finish(&m);
	g_byte_array_unref(data);
}

/* Blocks of all sizes come out in order, whatever is taken at a time. */
static void test_byte_queue_keeps_order(void)
{
	struct byte_queue q;
	uint8_t block[300], out[500];
	uint8_t next_in = 0, next_out = 0;
	size_t len = 0;
	uint32_t i, k;

	byte_queue_init(&q);
	for (i = 0; i < 2000; i++) {
		size_t n = (size_t)g_test_rand_int_range(0, sizeof(block));
		size_t max = (size_t)g_test_rand_int_range(0, sizeof(out));
		size_t expected;

		for (k = 0; k < n; k++)
			block[k] = next_in++;
		byte_queue_append(&q, block, n);
		len += n;
		expected = MIN(max, len);
		g_assert_cmpuint(byte_queue_take(&q, out, max), ==, expected);
		for (k = 0; k < expected; k++)
			g_assert_cmpuint(out[k], ==, next_out++);
		len -= expected;
		g_assert_cmpuint(q.len, ==, len);
	}
	byte_queue_append(&q, block, sizeof(block));
	byte_queue_finish(&q);
	g_assert_cmpuint(q.len, ==, 0);
}

static GByteArray *encoded_member_msg(void)
{
	GByteArray *out = g_byte_array_new();
	struct member_msg m;
	int64_t v = -5;

	member_msg_init(&m, MSG_RELEASE);
	m.list = g_array_new(FALSE, FALSE, sizeof(int64_t));
	g_array_append_val(m.list, v);
	m.text = g_string_new("text");
	member_msg_encode(&m, out);
	member_msg_finish(&m);
	return out;
}

/*
 * A peer sends malformed data, by a fault or on purpose. Decoding must refuse
 * it, and must not crash the process.
 */
static void test_malformed(void)
{
	GRand *rand = g_rand_new_with_seed(5);
	uint32_t refused = 0;
	int i;

	for (i = 0; i < N_MUTATIONS; i++) {
		GByteArray *data = i % 2 ? encoded_request()
					 : encoded_member_msg();
		int n = g_rand_int_range(rand, 1, 4);
		struct request_msg r;
		struct member_msg m;

		while (n--)
			data->data[g_rand_int_range(rand, 0, data->len)] =
				g_rand_int_range(rand, 0, 256);
		g_byte_array_set_size(data,
				      g_rand_int_range(rand, 1, data->len + 1));
		if (request_msg_decode(&r, data->data, data->len))
			refused++;
		else
			request_msg_finish(&r);
		if (member_msg_decode(&m, data->data, data->len))
			refused++;
		else
			member_msg_finish(&m);
		g_byte_array_unref(data);
	}
	g_assert_cmpuint(refused, >, N_MUTATIONS);
	g_rand_free(rand);
}

static void test_address(void)
{
	struct sockaddr_in a;

	g_assert_cmpint(address_parse("127.0.0.1:80", &a), ==, RESULT_OK);
	g_assert_cmpint(address_parse("localhost:80", &a), ==, RESULT_INVALID);
	g_assert_cmpint(address_parse("127.0.0.1", &a), ==, RESULT_INVALID);
	g_assert_cmpint(address_parse("127.0.0.1:0", &a), ==, RESULT_INVALID);
	g_assert_cmpint(address_parse("127.0.0.1:8x", &a), ==, RESULT_INVALID);
}

static void test_hop_by_hop(void)
{
	g_assert_true(header_is_hop_by_hop("connection"));
	g_assert_true(header_is_hop_by_hop("Transfer-Encoding"));
	g_assert_false(header_is_hop_by_hop("X-Request-Id"));
}

static uint32_t n_reads;
static int64_t last_wait_ms;
static int append_result;

static void fake_read(struct log_client *c, int64_t from, int64_t wait_ms)
{
	(void)c;
	(void)from;
	n_reads++;
	last_wait_ms = wait_ms;
}

/* The append is sent, and its answer is lost. */
static void fake_append(struct log_client *c, struct log_append *a)
{
	(void)c;
	log_client_append_done(a, RESULT_CUT, true);
}

static void ignore_tail(void *user, int64_t sent_ms)
{
	(void)user;
	(void)sent_ms;
}

static void note_appended(void *user, int kind, void *append_user, int result)
{
	(void)user;
	(void)kind;
	(void)append_user;
	append_result = result;
}

static void break_loop(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)w;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

/*
 * The answer to an append is lost while a read waits up to ten seconds for new
 * records. The node appends nothing more of that kind until a later read has
 * reached the end of the log without finding the record, so an operator's
 * change would be delayed by as much. That later read must start at once and
 * must not wait.
 */
static void test_lost_append_answer_is_resolved(void)
{
	static const struct log_ops ops = { .read = fake_read,
					    .append = fake_append };
	static const struct log_handlers handlers = {
		.on_tail = ignore_tail, .on_appended = note_appended
	};
	struct ev_loop *loop = ev_default_loop(0);
	struct log_batch end = { .next = 0 };
	struct log_client c;
	ev_timer stop;

	log_client_init(&c, loop, "127.0.0.1:1", &ops, &handlers, NULL);
	c.wait_ms = 10000;
	c.idle_interval_ms = 10000;
	ev_run(loop, EVRUN_ONCE);
	g_assert_cmpuint(n_reads, ==, 1);
	g_assert_cmpint(last_wait_ms, ==, 10000);
	append_result = RESULT_OK;
	log_client_append(&c, 0, false, NULL, json_object());
	ev_timer_init(&stop, break_loop, 0.1, 0);
	ev_timer_start(loop, &stop);
	ev_run(loop, 0);
	g_assert_cmpuint(n_reads, ==, 2);
	g_assert_cmpint(last_wait_ms, ==, 0);
	log_client_read_done(&c, &end);
	g_assert_cmpint(append_result, ==, RESULT_UNREACHABLE);
	log_client_finish(&c);
}

#define STORE_ADDRESS "127.0.0.1:29871"
#define STORE_END 7

struct refusing_store {
	struct httpd httpd;
	struct ev_loop *loop;
	uint32_t n_appends;
	int64_t last_offset;
	uint32_t n_reads;
	int result; /* of the append, as the writer got it */
};

/*
 * A stream that ends at offset 7 and refuses appends at any other offset. Reads
 * fail.
 */
static void store_request(void *user, struct httpd_request *r)
{
	struct refusing_store *s = user;
	const char *at = httpd_argument(r, "at");

	if (!at) {
		s->n_reads++;
		httpd_reply_text(r, 503, "");
		return;
	}
	s->n_appends++;
	s->last_offset = g_ascii_strtoll(at, NULL, 10);
	httpd_reply_text(r, s->last_offset == STORE_END ? 200 : 412,
			 "{\"offset\":7,\"end_offset\":7}");
}

static void store_closed(void *user, struct httpd_request *r)
{
	(void)user;
	(void)r;
}

static void store_appended(void *user, int kind, void *append_user, int result)
{
	struct refusing_store *s = user;

	(void)kind;
	(void)append_user;
	s->result = result;
	ev_break(s->loop, EVBREAK_ALL);
}

static void append_to(struct refusing_store *s, bool any_offset)
{
	static const struct httpd_ops ops = { .on_request = store_request,
					      .on_closed = store_closed };
	static const struct log_handlers handlers = {
		.on_tail = ignore_tail, .on_appended = store_appended
	};
	struct log_client c;

	memset(s, 0, sizeof(*s));
	s->loop = ev_default_loop(0);
	g_assert_cmpint(httpd_init(&s->httpd, s->loop, STORE_ADDRESS, 1024,
				   &ops, s),
			==, RESULT_OK);
	log_client_init(&c, s->loop, STORE_ADDRESS, &store_fleet_ops, &handlers,
			s);
	ev_timer_stop(s->loop, &c.timer);
	c.next = 3;
	log_client_append(&c, 0, any_offset, NULL, json_object());
	ev_run(s->loop, 0);
	log_client_finish(&c);
	httpd_finish(&s->httpd);
}

/*
 * When many nodes join at once, an append that comes second is retried at the
 * end offset that the store's refusal states, without a read.
 */
static void test_append_retried_at_end(void)
{
	struct refusing_store s;

	append_to(&s, true);
	g_assert_cmpint(s.result, ==, RESULT_OK);
	g_assert_cmpint(s.last_offset, ==, STORE_END);
	g_assert_cmpuint(s.n_appends, ==, 2);
	g_assert_cmpuint(s.n_reads, ==, 0);
	append_to(&s, false);
	g_assert_cmpint(s.result, ==, RESULT_CONFLICT);
	g_assert_cmpuint(s.n_appends, ==, 1);
}

/*
 * Inflating restores the bytes that were deflated. Truncated or corrupted data,
 * and data longer than the limit, gives NULL.
 */
static void test_deflate_round_trip(void)
{
	GString *text = g_string_new(NULL);
	GString *packed, *back;
	uint32_t i;

	for (i = 0; i < 1000; i++)
		g_string_append_printf(text, "{\"name\":\"route-%u\"}", i);
	packed = deflate_bytes(text->str, text->len);
	g_assert_cmpuint(packed->len, <, text->len / 3);
	back = inflate_bytes(packed->str, packed->len, text->len);
	g_assert_cmpmem(back->str, back->len, text->str, text->len);
	g_assert_null(inflate_bytes(packed->str, packed->len, text->len - 1));
	g_assert_null(inflate_bytes(packed->str, packed->len - 1, text->len));
	g_assert_null(inflate_bytes(packed->str, 3, text->len));
	packed->str[20] ^= 0x55;
	g_assert_null(inflate_bytes(packed->str, packed->len, text->len));
	g_string_free(text, TRUE);
	g_string_free(packed, TRUE);
	g_string_free(back, TRUE);
}

struct received {
	GBytes *identity;
};

static void on_request_message(void *user, enum peer_plane plane,
			       const struct peer_source *from, const void *data,
			       size_t len)
{
	struct received *h = user;

	g_assert_cmpint(plane, ==, PLANE_REQUEST);
	g_assert_cmpmem(data, len, "ask", 3);
	if (from->identity)
		h->identity = g_bytes_new(from->identity, from->identity_len);
}

/*
 * An entry that was killed leaves requests in the queues of gates. A gate must
 * be able to tell that the entry is not connected without waiting for the end
 * of its lease.
 */
static void test_peer_disconnect_is_detected(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct received received = { 0 };
	struct peers gate, entry;
	const void *id;
	gsize len;

	g_assert_cmpint(peers_init(&gate, loop, "127.0.0.1:25991",
				   on_request_message, &received),
			==, RESULT_OK);
	g_assert_cmpint(peers_init(&entry, loop, "127.0.0.1:25992",
				   on_request_message, &received),
			==, RESULT_OK);
	g_assert_cmpint(peers_send(&entry, "127.0.0.1:25991", PLANE_REQUEST,
				   "ask", 3),
			==, RESULT_OK);
	while (!received.identity)
		ev_run(loop, EVRUN_ONCE);
	id = g_bytes_get_data(received.identity, &len);
	g_assert_true(peers_is_connected(&gate, id, len));
	peers_finish(&entry);
	while (peers_is_connected(&gate, id, len))
		ev_run(loop, EVRUN_NOWAIT);
	g_bytes_unref(received.identity);
	peers_finish(&gate);
	ev_loop_destroy(loop);
}

#define PEER_ADDRESS "127.0.0.1:29873"
#define OTHER_ADDRESS "127.0.0.1:29874"

static void on_peer_message(void *user, enum peer_plane plane,
			    const struct peer_source *from, const void *data,
			    size_t len)
{
	GString *received_text = user;

	(void)plane;
	(void)from;
	g_string_append_len(received_text, data, len);
}

static struct peer_connection wait_for_greeting(struct ev_loop *loop,
						struct peers *p, uint64_t above)
{
	struct peer_connection c;

	while (c = peers_connection(p, OTHER_ADDRESS),
	       !c.greeted_at_ms || c.number <= above)
		ev_run(loop, EVRUN_ONCE);
	return c;
}

/*
 * A connection is lost and ZeroMQ opens another one without reporting it. What
 * was sent on the first may be lost, so the second must have a higher number.
 */
static void test_new_connection_is_numbered(void)
{
	struct ev_loop *loop = ev_default_loop(0);
	GString *received_text = g_string_new(NULL);
	struct peers p, other;
	uint64_t unconnected;
	uint64_t n;

	g_assert_cmpint(peers_init(&p, loop, PEER_ADDRESS, on_peer_message,
				   received_text),
			==, RESULT_OK);
	g_assert_cmpuint(peers_connection(&p, OTHER_ADDRESS).number, ==, 0);
	peers_keep_open(&p, OTHER_ADDRESS);
	unconnected = peers_connection(&p, OTHER_ADDRESS).number;
	g_assert_cmpuint(unconnected, >, 0);
	g_assert_cmpint(peers_init(&other, loop, OTHER_ADDRESS, on_peer_message,
				   received_text),
			==, RESULT_OK);
	n = wait_for_greeting(loop, &p, unconnected).number;
	peers_keep_open(&p, OTHER_ADDRESS);
	g_assert_cmpuint(peers_connection(&p, OTHER_ADDRESS).number, ==, n);
	peers_finish(&other);
	g_assert_cmpint(peers_init(&other, loop, OTHER_ADDRESS, on_peer_message,
				   received_text),
			==, RESULT_OK);
	n = wait_for_greeting(loop, &p, n).number;
	/* A link that replaces this one has not been greeted yet. */
	peers_close_link(&p, OTHER_ADDRESS);
	peers_keep_open(&p, OTHER_ADDRESS);
	g_assert_cmpuint(peers_connection(&p, OTHER_ADDRESS).number, >, n);
	g_assert_cmpint(peers_connection(&p, OTHER_ADDRESS).greeted_at_ms, ==,
			0);
	g_assert_cmpstr(received_text->str, ==, "");
	peers_finish(&other);
	peers_finish(&p);
	g_string_free(received_text, TRUE);
}

/*
 * ZeroMQ would queue a request for a peer that has stopped, and send it late.
 */
static void test_nothing_sent_without_connection(void)
{
	struct ev_loop *loop = ev_default_loop(0);
	GString *received_text = g_string_new(NULL);
	struct peers p, other;

	g_assert_cmpint(peers_init(&p, loop, PEER_ADDRESS, on_peer_message,
				   received_text),
			==, RESULT_OK);
	g_assert_cmpint(peers_send_tagged(&p, OTHER_ADDRESS, PLANE_REQUEST, 1,
					  "a", 1),
			==, RESULT_OK);
	g_assert_cmpint(peers_send_tagged(&p, OTHER_ADDRESS, PLANE_REQUEST, 2,
					  "b", 1),
			==, RESULT_OK);
	g_assert_cmpint(peers_send(&p, OTHER_ADDRESS, PLANE_REQUEST, "c", 1),
			==, RESULT_OK);
	g_assert_true(peers_is_queued(&p, OTHER_ADDRESS, 1));
	g_assert_true(peers_cancel_queued(&p, OTHER_ADDRESS, 1));
	g_assert_false(peers_cancel_queued(&p, OTHER_ADDRESS, 1));
	g_assert_cmpint(peers_init(&other, loop, OTHER_ADDRESS, on_peer_message,
				   received_text),
			==, RESULT_OK);
	while (received_text->len < 2)
		ev_run(loop, EVRUN_ONCE);
	g_assert_cmpstr(received_text->str, ==, "bc");
	g_assert_false(peers_cancel_queued(&p, OTHER_ADDRESS, 2));
	peers_finish(&other);
	/* The peer has stopped: sending fails once ZeroMQ has detected it. */
	while (!peers_send_tagged(&p, OTHER_ADDRESS, PLANE_REQUEST, 3, "d", 1))
		ev_run(loop, EVRUN_NOWAIT);
	g_assert_false(peers_is_queued(&p, OTHER_ADDRESS, 3));
	peers_finish(&p);
	g_string_free(received_text, TRUE);
}

static int listen_at(const char *address)
{
	struct timeval limit = { .tv_sec = 15 };
	struct sockaddr_in addr;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;

	g_assert_cmpint(address_parse(address, &addr), ==, RESULT_OK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	g_assert_cmpint(bind(fd, (struct sockaddr *)&addr, sizeof(addr)), ==,
			0);
	g_assert_cmpint(listen(fd, 4), ==, 0);
	return fd;
}

/*
 * A connection on which the peer is silent during setup must time out and be
 * replaced: nothing else would replace it.
 */
static void test_silent_connect_times_out(void)
{
	struct peers p;
	int first, second;
	int fd = listen_at(OTHER_ADDRESS);

	g_assert_cmpint(peers_init(&p, ev_default_loop(0), PEER_ADDRESS,
				   on_peer_message, NULL),
			==, RESULT_OK);
	peers_send(&p, OTHER_ADDRESS, PLANE_REQUEST, "a", 1);
	first = accept(fd, NULL, NULL);
	g_assert_cmpint(first, >=, 0);
	second = accept(fd, NULL, NULL);
	g_assert_cmpint(second, >=, 0);
	peers_finish(&p);
	close(first);
	close(second);
	close(fd);
}

/* A connection's received, unread and parsed bytes; whether a request follows. */
static void test_pipeline_in_step(void)
{
	static const struct {
		struct socket_bytes bytes;
		int64_t parsed;
		bool in_step;
	} cases[] = {
		{ { 100, 0 }, 100, true },
		{ { 150, 50 }, 100, true },
		/* Part of the next request has been read. */
		{ { 150, 0 }, 100, false },
		{ { 150, 20 }, 100, false },
		{ { 150, 60 }, 100, false },
		/* Not counted by the kernel. */
		{ { 0, 50 }, 100, false },
	};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_true(
			pipeline_is_in_step(&cases[i].bytes, cases[i].parsed) ==
			cases[i].in_step);
}

/* ZMTP 3.1: the greeting, then a READY command that names an identity. */
static void send_handshake(int fd, const char *identity)
{
	guint8 greeting[64] = { 0xff, [9] = 0x7f, [10] = 3, [11] = 1 };
	g_autoptr(GByteArray) ready = g_byte_array_new();
	guint8 begin[] = { 4, 0 };
	guint8 len[] = { 0, 0, 0, (guint8)strlen(identity) };

	memcpy(greeting + 12, "NULL", 4);
	g_byte_array_append(ready, begin, sizeof(begin));
	g_byte_array_append(ready, (const guint8 *)"\5READY\13Socket-Type", 18);
	g_byte_array_append(ready, (const guint8 *)"\0\0\0\6DEALER", 10);
	g_byte_array_append(ready, (const guint8 *)"\10Identity", 9);
	g_byte_array_append(ready, len, sizeof(len));
	g_byte_array_append(ready, (const guint8 *)identity, strlen(identity));
	ready->data[1] = (guint8)(ready->len - 2);
	g_assert_cmpint(send(fd, greeting, sizeof(greeting), 0), ==,
			sizeof(greeting));
	g_assert_cmpint(send(fd, ready->data, ready->len, 0), ==, ready->len);
}

static void send_message(int fd)
{
	static const guint8 message[] = { 0, 3, PLANE_MEMBER, 'h', 'i' };

	g_assert_cmpint(send(fd, message, sizeof(message), MSG_NOSIGNAL), ==,
			sizeof(message));
}

static int connect_as(const char *identity)
{
	struct sockaddr_in addr;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char answer[72];

	g_assert_cmpint(address_parse(PEER_ADDRESS, &addr), ==, RESULT_OK);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), ==,
			0);
	send_handshake(fd, identity);
	/* The other end's greeting and the beginning of its READY. */
	g_assert_cmpint(recv(fd, answer, sizeof(answer), MSG_WAITALL), ==,
			sizeof(answer));
	return fd;
}

static void run_until_received(uint32_t n)
{
	while (n_received < n)
		ev_run(ev_default_loop(0), EVRUN_ONCE);
}

static void on_run_end(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)w;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void run_for_s(double s)
{
	ev_timer timer;

	ev_timer_init(&timer, on_run_end, s, 0);
	ev_timer_start(ev_default_loop(0), &timer);
	ev_run(ev_default_loop(0), 0);
}

static void on_counted_message(void *user, enum peer_plane plane,
			       const struct peer_source *from, const void *data,
			       size_t len)
{
	(void)user;
	(void)plane;
	(void)from;
	(void)data;
	(void)len;
	n_received++;
}

/*
 * A cut heals after a peer has connected again: more arrives on the connection
 * that was replaced, which then fails. The process must go on.
 */
static void test_replaced_connection_fails(void)
{
	static const char identity[] = "127.0.0.1:1/00000001";
	struct linger at_once = { .l_onoff = 1 };
	struct peers p;
	int replaced, fd;

	n_received = 0;
	g_assert_cmpint(peers_init(&p, ev_default_loop(0), PEER_ADDRESS,
				   on_counted_message, NULL),
			==, RESULT_OK);
	replaced = connect_as(identity);
	send_message(replaced);
	run_until_received(1);
	fd = connect_as(identity);
	send_message(fd);
	run_until_received(2);
	send_message(replaced);
	run_for_s(SETTLE_S);
	setsockopt(replaced, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	close(replaced);
	run_for_s(HEARTBEATS_S);
	send_message(fd);
	run_until_received(3);
	close(fd);
	peers_finish(&p);
}

/*
 * A peer that takes nothing more keeps its connection open. Answers must not
 * count as sent over it for ever.
 */
static void test_stalled_connection_ends(void)
{
	static const char identity[] = "127.0.0.1:1/00000002";
	g_autofree char *answer = g_malloc0(LONG_ANSWER_BYTES);
	int64_t end;
	struct peers p;
	uint32_t i;
	int fd;

	n_received = 0;
	g_assert_cmpint(peers_init(&p, ev_default_loop(0), PEER_ADDRESS,
				   on_counted_message, NULL),
			==, RESULT_OK);
	fd = connect_as(identity);
	send_message(fd);
	run_until_received(1);
	for (i = 0; i < N_LONG_ANSWERS; i++)
		g_assert_cmpint(peers_answer(&p, identity, strlen(identity),
					     PLANE_REQUEST, answer,
					     LONG_ANSWER_BYTES),
				==, RESULT_OK);
	end = clock_now_ms() + CLOSE_LIMIT_MS;
	while (peers_is_connected(&p, identity, strlen(identity)) &&
	       clock_now_ms() < end)
		run_for_s(SETTLE_S);
	g_assert_false(peers_is_connected(&p, identity, strlen(identity)));
	close(fd);
	peers_finish(&p);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/net/pipeline-in-step", test_pipeline_in_step);
	g_test_add_func("/net/request", test_request_round_trip);
	g_test_add_func("/net/malformed", test_malformed);
	g_test_add_func("/net/address", test_address);
	g_test_add_func("/net/byte-queue", test_byte_queue_keeps_order);
	g_test_add_func("/net/hop-by-hop", test_hop_by_hop);
	g_test_add_func("/net/short-form", test_deflate_round_trip);
	g_test_add_func("/net/nothing-leaves",
			test_nothing_sent_without_connection);
	g_test_add_func("/net/silent-setup", test_silent_connect_times_out);
	g_test_add_func("/net/append-follows", test_append_retried_at_end);
	g_test_add_func("/net/replaced-connection-fails",
			test_replaced_connection_fails);
	g_test_add_func("/net/stalled-connection-ends",
			test_stalled_connection_ends);
	g_test_add_func("/net/link-gone", test_peer_disconnect_is_detected);
	g_test_add_func("/net/new-connection", test_new_connection_is_numbered);
	g_test_add_func("/net/lost-answer-is-settled",
			test_lost_append_answer_is_resolved);
	return g_test_run();
}

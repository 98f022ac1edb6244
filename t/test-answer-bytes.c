#include <ev.h>
#include <glib-unix.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/answer-check.h"
#include "net/fetch.h"
#include "util/result.h"

/*
 * The HTTP client on few kept connections to a server that breaks off, repeats
 * and delays the bytes of its answers at random places. The randomised runs
 * check that what is delivered is, byte for byte, what the server sent as one
 * whole answer to this request, and that no whole answer is withheld.
 */

#define N_CALLS 300
#define N_AT_ONCE 12
#define MAX_CONNECTIONS 6
#define TIMEOUT_MS 5000
#define MAX_DELAY_S 0.003
#define MAX_SMALL_BODY 60
#define MAX_LARGE_BODY 40000
#define MAX_PARTS 4
#define MIN_STATUS_LINE 13
#define SHARE_OF_FORM 0.5
#define SHARE_PAUSED 0.1

static uint32_t n_seeds = 1;
static uint32_t first_seed = 1;

static const struct header_names names = {
	.attempt_id = "Id",
	.signature = "Sig",
	.not_run = "Not-Run",
};

/* What the server does with an answer. */
#define FORM_LIST(X)                                                      \
	X(plain, "whole")                                                 \
	X(kept, "whole, on a connection that is kept")                    \
	X(cut, "broken off")                                              \
	X(doubled, "a second one at once")                                \
	X(doubled_cut, "part of a second one at once")                    \
	X(doubled_late, "a second one later")                             \
	X(doubled_in_parts, "a second one in two parts, both later")      \
	X(held, "a second one before the next answer")                    \
	X(held_cut, "part of a second one before the next answer")        \
	X(held_half, "a part at once, the rest before the next answer")   \
	X(held_within, "a second one within the next answer's head")      \
	X(cut_head_then_other, "head broken off, then another answer")    \
	X(other_head_then_own, "part of another's head, then the answer") \
	X(stray, "bytes that are no answer after it")                     \
	X(stray_held, "bytes that are no answer before the next one")     \
	X(interim, "interim answers repeated")                            \
	X(cancelled, "not wanted any more, a second one later")           \
	X(in_body, "a second one within the body")                        \
	X(body_then_other, "body broken off, then another answer")        \
	X(few_in_head, "some bytes of a second one within the head")      \
	X(short_without_length, "body without a length broken off")

enum form {
#define FORM_ENUM(name, text) FORM_##name,
	FORM_LIST(FORM_ENUM)
#undef FORM_ENUM
	N_FORMS,
	FORM_any = N_FORMS
};

/* From here on, syntax cannot tell them from whole answers. */
#define FIRST_UNTOLD FORM_in_body

static const char *const form_texts[] = {
#define FORM_TEXT(name, text) text,
	FORM_LIST(FORM_TEXT)
#undef FORM_TEXT
};

enum framing {
	WITH_LENGTH,
	CHUNKED,
	EMPTY,
	UNTIL_END,
	N_FRAMINGS
};

enum ending {
	STAYS_OPEN,
	ENDS_BY_FIN,
	ENDS_BY_RESET
};

/* An answer as the server makes it. */
struct text {
	GString *bytes;
	size_t head_len; /* with interim answers */
	enum framing framing;
	long status;
	char signature[20];
	GString *body;
};

/* Bytes to send, delay_s after those before them. */
struct piece {
	GString *bytes;
	double delay_s;
};

struct world;

/* A connection at the server. */
struct served {
	struct world *world;
	int fd;
	GString *in;
	GQueue pieces;
	enum ending ending;
	bool disturbed; /* bytes were or will be sent that nobody asked for */
	GString *held; /* sent before the next answer */
	GString *within; /* sent within the next answer's head */
	ev_io reader;
	ev_timer timer;
};

struct call {
	struct world *world;
	struct fetch fetch;
	uint32_t id;
	char id_text[12];
	bool is_head;
	enum form form;
	bool answered; /* the server has made its answer */
	bool is_whole; /* the answer was sent as a whole */
	bool is_due; /* and on a connection without other bytes */
	bool is_cancelled;
	uint32_t pauses_left;
	struct text answer;
	GString *body; /* as delivered */
	ev_timer timer; /* to resume or to cancel */
};

struct tally {
	uint32_t n_played;
	uint32_t n_delivered;
	uint32_t n_unsent; /* delivered, though never sent as a whole */
	uint32_t n_changed; /* delivered, but other than sent */
	uint32_t n_missed; /* due, but not delivered */
};

struct world {
	struct ev_loop *loop;
	struct fetcher fetcher;
	GRand *rand;
	enum form form;
	int port;
	ev_io listener;
	GPtrArray *served;
	struct call *calls;
	uint32_t n_begun, n_ended;
	struct tally tallies[N_FORMS];
};

static bool chance(struct world *w, double share)
{
	return g_rand_double(w->rand) < share;
}

/* From min up to max. */
static size_t number(struct world *w, size_t min, size_t max)
{
	return (size_t)g_rand_int_range(w->rand, (gint32)min, (gint32)max + 1);
}

static double short_delay(struct world *w)
{
	return chance(w, 0.4) ? 0 : MAX_DELAY_S * g_rand_double(w->rand);
}

static GString *random_body(struct world *w)
{
	static const char some[] = "ab\r\n0 :HTTP/1.1 200 OK\r\n";
	size_t n =
		number(w, 1, chance(w, 0.1) ? MAX_LARGE_BODY : MAX_SMALL_BODY);
	GString *body = g_string_sized_new(n);

	while (body->len < n)
		g_string_append_c(body, some[number(w, 0, sizeof(some) - 2)]);
	return body;
}

static void append_chunks(struct world *w, GString *to, const GString *body)
{
	size_t at = 0;

	while (at < body->len) {
		size_t n = number(w, 1, body->len - at);

		g_string_append_printf(to, "%zx%s\r\n", n,
				       chance(w, 0.2) ? ";a=b" : "");
		g_string_append_len(to, body->str + at, (gssize)n);
		g_string_append(to, "\r\n");
		at += n;
	}
	g_string_append_printf(to, "0\r\n%s\r\n",
			       chance(w, 0.3) ? "Id: 0\r\nSig: 0\r\n" : "");
}

static long random_status(struct world *w)
{
	static const long statuses[] = { 200, 200, 200, 200, 200,
					 204, 304, 404, 503, 503 };

	return statuses[number(w, 0, G_N_ELEMENTS(statuses) - 1)];
}

static enum framing random_framing(struct world *w, enum form form)
{
	if (form == FORM_in_body)
		return chance(w, 0.5) ? WITH_LENGTH : CHUNKED;
	if (form == FORM_body_then_other)
		return WITH_LENGTH;
	if (form == FORM_short_without_length)
		return UNTIL_END;
	/* What follows a body without a length is part of it. */
	if (form == FORM_plain || form == FORM_cut || form == FORM_interim)
		return (enum framing)number(w, 0, N_FRAMINGS - 1);
	return (enum framing)number(w, 0, UNTIL_END - 1);
}

static void append_interim(struct world *w, GString *to, enum form form)
{
	bool always = form == FORM_interim;
	uint32_t n = always ? number(w, 2, 4) : chance(w, 0.1);

	while (n--)
		g_string_append(to, always && n % 2
					    ? "HTTP/1.1 103 Early\r\nId: 0\r\n"
					      "Sig: 0\r\n\r\n"
					    : "HTTP/1.1 100 Go\r\n\r\n");
}

static bool has_no_body(const struct text *t, bool is_head)
{
	return is_head || t->status == 204 || t->status == 304;
}

/* Makes an answer to a request with this id. */
static void make_text(struct world *w, struct text *t, uint32_t id,
		      bool is_head, enum form form)
{
	t->status = form < FIRST_UNTOLD ? random_status(w) : 200;
	t->framing = random_framing(w, form);
	if (has_no_body(t, is_head) && t->framing == UNTIL_END)
		t->framing = WITH_LENGTH;
	t->body = t->framing == EMPTY ? g_string_new(NULL) : random_body(w);
	g_snprintf(t->signature, sizeof(t->signature), "%08x%08x",
		   g_rand_int(w->rand), g_rand_int(w->rand));
	t->bytes = g_string_new(NULL);
	append_interim(w, t->bytes, form);
	g_string_append_printf(t->bytes,
			       "HTTP/1.1 %ld Some Text\r\nId: %u\r\n%s"
			       "Date: Fri, 4 Dec\r\nSig: %s\r\n",
			       t->status, id,
			       t->status == 503 ? "Not-Run: 1\r\n" : "",
			       t->signature);
	if (t->framing == CHUNKED)
		g_string_append(t->bytes, "Transfer-Encoding: chunked\r\n");
	else if (t->framing != UNTIL_END)
		g_string_append_printf(t->bytes, "Content-Length: %zu\r\n",
				       t->body->len);
	g_string_append(t->bytes, "\r\n");
	t->head_len = t->bytes->len;
	if (has_no_body(t, is_head))
		g_string_truncate(t->body, 0);
	else if (t->framing == CHUNKED)
		append_chunks(w, t->bytes, t->body);
	else
		g_string_append_len(t->bytes, t->body->str,
				    (gssize)t->body->len);
}

static void free_text(struct text *t)
{
	g_string_free(t->bytes, TRUE);
	g_string_free(t->body, TRUE);
}

static void free_piece(void *p)
{
	struct piece *piece = p;

	g_string_free(piece->bytes, TRUE);
	g_free(piece);
}

static void close_served(struct served *s, enum ending ending)
{
	struct linger at_once = { .l_onoff = 1 };

	ev_io_stop(s->world->loop, &s->reader);
	ev_timer_stop(s->world->loop, &s->timer);
	if (s->fd < 0)
		return;
	if (ending == ENDS_BY_RESET)
		setsockopt(s->fd, SOL_SOCKET, SO_LINGER, &at_once,
			   sizeof(at_once));
	close(s->fd);
	s->fd = -1;
}

static void send_piece(struct served *s, const GString *bytes)
{
	ssize_t n = send(s->fd, bytes->str, bytes->len, MSG_NOSIGNAL);

	/* The client has closed the connection. */
	if (n < 0)
		close_served(s, ENDS_BY_FIN);
	else
		g_assert_cmpint(n, ==, bytes->len);
}

static void send_due_pieces(struct served *s)
{
	struct ev_loop *loop = s->world->loop;
	struct piece *p;

	while (s->fd >= 0 && (p = g_queue_peek_head(&s->pieces))) {
		if (p->delay_s > 0) {
			ev_timer_set(&s->timer, p->delay_s, 0);
			ev_timer_start(loop, &s->timer);
			return;
		}
		g_queue_pop_head(&s->pieces);
		if (p->bytes->len)
			send_piece(s, p->bytes);
		free_piece(p);
	}
	if (s->ending != STAYS_OPEN)
		close_served(s, s->ending);
}

static void on_piece_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct served *s = timer->data;
	struct piece *p = g_queue_peek_head(&s->pieces);

	(void)loop;
	(void)events;
	p->delay_s = 0;
	send_due_pieces(s);
}

static void add_piece(struct served *s, const char *data, size_t len,
		      double delay_s)
{
	struct piece *p = g_new0(struct piece, 1);

	p->bytes = g_string_new_len(data, (gssize)len);
	p->delay_s = delay_s;
	g_queue_push_tail(&s->pieces, p);
}

/* Sends bytes in some parts. */
static void add_parts(struct served *s, const GString *bytes, double delay_s)
{
	uint32_t n = number(s->world, 1, MAX_PARTS);
	size_t at = 0;

	while (n-- && at < bytes->len) {
		size_t len = n ? number(s->world, 0, bytes->len - at)
			       : bytes->len - at;

		add_piece(s, bytes->str + at, len, delay_s);
		delay_s = short_delay(s->world);
		at += len;
	}
}

static void add_cut(struct served *s, struct call *c)
{
	const struct text *t = &c->answer;
	size_t len = t->bytes->len;
	GString *part;

	s->ending = chance(s->world, 0.5) ? ENDS_BY_FIN : ENDS_BY_RESET;
	len = t->framing != UNTIL_END	 ? number(s->world, 0, len - 1)
	      : s->ending == ENDS_BY_FIN ? number(s->world, 0, t->head_len - 1)
					 : number(s->world, 0, len);
	part = g_string_new_len(t->bytes->str, (gssize)len);
	add_parts(s, part, 0);
	add_piece(s, "", 0, short_delay(s->world));
	g_string_free(part, TRUE);
}

static GString *part_of(struct world *w, const struct text *t)
{
	size_t n = number(w, 1, t->bytes->len - 1);

	return g_string_new_len(t->bytes->str, (gssize)n);
}

static GString *copy_of(const struct text *t)
{
	return g_string_new_len(t->bytes->str, (gssize)t->bytes->len);
}

static GString *stray_bytes(struct world *w, const struct text *t)
{
	static const char *const some[] = { "\r\n", "\n", "0\r\n\r\n",
					    "H",    "x",  "HTTP/1.1",
					    " ",    ":",  "Sig: 0\r\n" };
	size_t at = number(w, 0, t->bytes->len - 1);

	if (chance(w, 0.5))
		return g_string_new(some[number(w, 0, G_N_ELEMENTS(some) - 1)]);
	return g_string_new_len(t->bytes->str + at,
				(gssize)(t->bytes->len - at));
}

static void hold(GString **held, GString *bytes)
{
	if (*held)
		g_string_free(*held, TRUE);
	*held = bytes;
}

/* Sends a second answer, or part of it, once the first one is sent. */
static void add_second(struct served *s, GString *bytes, double delay_s)
{
	add_piece(s, bytes->str, bytes->len, delay_s);
	g_string_free(bytes, TRUE);
}

static void add_second_in_parts(struct served *s, const struct text *t,
				bool hold_rest)
{
	size_t n = number(s->world, 1, t->bytes->len - 1);
	const char *rest = t->bytes->str + n;
	size_t rest_len = t->bytes->len - n;

	add_piece(s, t->bytes->str, n, short_delay(s->world));
	if (hold_rest)
		hold(&s->held, g_string_new_len(rest, (gssize)rest_len));
	else
		add_piece(s, rest, rest_len, MAX_DELAY_S);
}

/* Puts bytes into the answer at a place from min up to max. */
static void insert(struct world *w, GString *answer, size_t min, size_t max,
		   const char *data, size_t len)
{
	size_t at = number(w, min, max);

	g_string_insert_len(answer, (gssize)at, data, (gssize)len);
}

/* The bytes of an answer that is not sent as a whole, with those of another. */
static GString *mixed_bytes(struct world *w, const struct call *c)
{
	const struct text *t = &c->answer;
	GString *bytes = copy_of(t);
	struct text other;

	make_text(w, &other, c->id + N_CALLS, c->is_head, FORM_held);
	switch (c->form) {
	case FORM_cut_head_then_other:
		g_string_truncate(bytes, number(w, 1, t->head_len - 1));
		g_string_append_len(bytes, other.bytes->str,
				    (gssize)other.bytes->len);
		break;
	case FORM_other_head_then_own:
		g_string_insert_len(bytes, 0, other.bytes->str,
				    (gssize)number(w, 1, other.head_len - 1));
		break;
	case FORM_in_body:
		insert(w, bytes, t->head_len, bytes->len - 1, other.bytes->str,
		       number(w, 1, other.bytes->len));
		break;
	case FORM_body_then_other:
		g_string_truncate(bytes,
				  number(w, t->head_len, bytes->len - 1));
		g_string_append_len(bytes, other.bytes->str,
				    (gssize)other.bytes->len);
		break;
	case FORM_few_in_head:
		insert(w, bytes, 1, t->head_len - 1, other.bytes->str,
		       number(w, 1, MIN_STATUS_LINE - 1));
		break;
	case FORM_short_without_length:
		g_string_truncate(bytes,
				  number(w, t->head_len, bytes->len - 1));
		break;
	default:
		break;
	}
	free_text(&other);
	return bytes;
}

/* Whether the form gives other bytes than those of the answer. */
static bool is_mixed(enum form form)
{
	return form == FORM_cut_head_then_other ||
	       form == FORM_other_head_then_own || form >= FIRST_UNTOLD;
}

/* What is sent after the whole answer, or kept for the next one. */
static void add_further(struct served *s, const struct call *c)
{
	struct world *w = s->world;
	const struct text *t = &c->answer;

	switch (c->form) {
	case FORM_doubled:
		add_second(s, copy_of(t), 0);
		break;
	case FORM_doubled_cut:
		add_second(s, part_of(w, t), 0);
		break;
	case FORM_doubled_late:
	case FORM_cancelled:
		add_second(s, copy_of(t), MAX_DELAY_S);
		break;
	case FORM_doubled_in_parts:
		add_second_in_parts(s, t, false);
		break;
	case FORM_held:
		hold(&s->held, copy_of(t));
		break;
	case FORM_held_cut:
		hold(&s->held, part_of(w, t));
		break;
	case FORM_held_half:
		add_second_in_parts(s, t, true);
		break;
	case FORM_held_within:
		hold(&s->within, copy_of(t));
		break;
	case FORM_stray:
		add_second(s, stray_bytes(w, t), short_delay(w));
		break;
	case FORM_stray_held:
		hold(&s->held, stray_bytes(w, t));
		break;
	default:
		return;
	}
	s->disturbed = true;
}

/* The bytes to send for a whole answer, with what is kept from before. */
static GString *bytes_with_held(struct served *s, struct call *c)
{
	GString *bytes = copy_of(&c->answer);

	if (s->within) {
		insert(s->world, bytes, 1, c->answer.head_len - 1,
		       s->within->str, s->within->len);
		c->is_whole = false;
		hold(&s->within, NULL);
	}
	if (s->held) {
		g_string_insert_len(bytes, 0, s->held->str,
				    (gssize)s->held->len);
		hold(&s->held, NULL);
	}
	return bytes;
}

static void answer_call(struct served *s, struct call *c)
{
	struct world *w = s->world;
	GString *bytes;

	if (c->answered)
		g_printerr("call %u came twice: %s\n", c->id, s->in->str);
	g_assert_false(c->answered);
	c->answered = true;
	make_text(w, &c->answer, c->id, c->is_head, c->form);
	if (c->form == FORM_cut) {
		add_cut(s, c);
		return;
	}
	c->is_whole = !is_mixed(c->form) || c->form == FORM_other_head_then_own;
	bytes = is_mixed(c->form) ? mixed_bytes(w, c) : bytes_with_held(s, c);
	c->is_due = c->is_whole && !is_mixed(c->form) && !s->disturbed;
	s->disturbed |= is_mixed(c->form);
	add_parts(s, bytes, short_delay(w));
	g_string_free(bytes, TRUE);
	if (c->answer.framing == UNTIL_END) {
		add_piece(s, "", 0, short_delay(w));
		s->ending = ENDS_BY_FIN;
	}
	add_further(s, c);
}

static void on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	struct served *s = io->data;
	char bytes[4096];
	ssize_t n = recv(s->fd, bytes, sizeof(bytes), 0);
	const char *path;

	(void)loop;
	(void)events;
	if (n <= 0) {
		close_served(s, ENDS_BY_FIN);
		return;
	}
	g_string_append_len(s->in, bytes, n);
	if (!strstr(s->in->str, "\r\n\r\n"))
		return;
	path = strchr(s->in->str, '/') + 1;
	answer_call(s, &s->world->calls[atoi(path)]);
	g_string_truncate(s->in, 0);
	if (!ev_is_active(&s->timer))
		send_due_pieces(s);
}

static void on_accept(struct ev_loop *loop, ev_io *io, int events)
{
	struct served *s = g_new0(struct served, 1);
	int on = 1;

	(void)events;
	s->world = io->data;
	s->fd = accept(io->fd, NULL, NULL);
	g_assert_cmpint(s->fd, >=, 0);
	g_unix_set_fd_nonblocking(s->fd, TRUE, NULL);
	setsockopt(s->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	s->in = g_string_new(NULL);
	g_queue_init(&s->pieces);
	ev_io_init(&s->reader, on_readable, s->fd, EV_READ);
	s->reader.data = s;
	ev_io_start(loop, &s->reader);
	ev_init(&s->timer, on_piece_timer);
	s->timer.data = s;
	g_ptr_array_add(s->world->served, s);
}

static void free_served(void *p)
{
	struct served *s = p;

	close_served(s, ENDS_BY_FIN);
	g_string_free(s->in, TRUE);
	g_queue_clear_full(&s->pieces, free_piece);
	hold(&s->held, NULL);
	hold(&s->within, NULL);
	g_free(s);
}

static void start_next_call(struct world *w);

static void call_ended(struct call *c)
{
	struct world *w = c->world;

	ev_timer_stop(w->loop, &c->timer);
	if (++w->n_ended == N_CALLS)
		ev_break(w->loop, EVBREAK_ALL);
	else
		start_next_call(w);
}

static void cancel(struct call *c)
{
	c->is_cancelled = true;
	fetch_cancel(&c->fetch);
	call_ended(c);
}

static bool cancels_now(struct call *c, double share)
{
	return c->form == FORM_cancelled && chance(c->world, share);
}

static enum answer_fault check_head(struct fetch *f)
{
	const struct call *c = f->user;

	if (!answer_is_for(f->answer->headers, &names, c->id_text))
		return ANSWER_FAULT_other;
	if (!answer_is_signed(f->answer->headers, &names, f->status))
		return ANSWER_FAULT_unsigned;
	return ANSWER_FAULT_none;
}

static void on_head(struct fetch *f)
{
	struct call *c = f->user;

	if (cancels_now(c, 0.3))
		cancel(c);
}

static bool has_room(const struct fetch *f)
{
	struct call *c = f->user;

	if (!c->pauses_left || ev_is_active(&c->timer))
		return !c->pauses_left;
	c->pauses_left--;
	ev_timer_set(&c->timer, short_delay(c->world), 0);
	ev_timer_start(c->world->loop, &c->timer);
	return false;
}

static bool on_data(struct fetch *f, const void *data, size_t len)
{
	struct call *c = f->user;

	g_string_append_len(c->body, data, (gssize)len);
	if (cancels_now(c, 0.3))
		cancel(c);
	return true;
}

static void on_call_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct call *c = timer->data;

	(void)loop;
	(void)events;
	if (c->form == FORM_cancelled)
		cancel(c);
	else
		fetch_resume(&c->fetch);
}

static bool is_as_sent(const struct call *c, const struct fetch *f)
{
	const struct text *t = &c->answer;
	bool not_run = header_find(f->answer->headers, names.not_run);

	return f->status == t->status && g_string_equal(c->body, t->body) &&
	       not_run == (t->status == 503) &&
	       !g_strcmp0(header_find(f->answer->headers, names.signature),
			  t->signature);
}

static void report(const struct call *c, const char *what, int result)
{
	if (!answer_rules_disabled && !answer_check_disabled)
		g_printerr("call %u, %s%s: %s: %s, %s, %ld of %ld, %zu of %zu "
			   "bytes, framing %d\n",
			   c->id, form_texts[c->form],
			   c->is_head ? " (HEAD)" : "", what,
			   result_name(result),
			   answer_fault_text(c->fetch.answer->fault),
			   c->fetch.status, c->answered ? c->answer.status : 0L,
			   c->body->len, c->answered ? c->answer.body->len : 0,
			   c->answered ? (int)c->answer.framing : -1);
}

static void on_done(struct fetch *f, int result)
{
	struct call *c = f->user;
	struct tally *t = &c->world->tallies[c->form];

	t->n_delivered += !result;
	if (!result && !c->is_whole) {
		t->n_unsent++;
		report(c, "not sent as a whole", result);
	} else if (!result && !is_as_sent(c, f)) {
		t->n_changed++;
		report(c, "other than sent", result);
	} else if (result && c->is_due) {
		t->n_missed++;
		report(c, "not delivered", result);
	}
	call_ended(c);
}

static const struct fetch_ops ops = {
	.check_head = check_head,
	.on_head = on_head,
	.has_room = has_room,
	.on_data = on_data,
	.on_done = on_done,
};

static enum form random_form(struct world *w)
{
	if (w->form == FORM_kept)
		return FORM_kept;
	if (w->form == FORM_any)
		return (enum form)number(w, 0, FIRST_UNTOLD - 1);
	return chance(w, SHARE_OF_FORM) ? w->form : FORM_plain;
}

static void start_next_call(struct world *w)
{
	g_autofree char *url = NULL;
	struct call *c;

	if (w->n_begun == N_CALLS)
		return;
	c = &w->calls[w->n_begun];
	c->world = w;
	c->id = w->n_begun++;
	g_snprintf(c->id_text, sizeof(c->id_text), "%u", c->id);
	c->form = random_form(w);
	c->is_head = c->form < FIRST_UNTOLD && chance(w, 0.1);
	c->body = g_string_new(NULL);
	c->pauses_left = chance(w, SHARE_PAUSED) ? number(w, 1, 3) : 0;
	ev_init(&c->timer, on_call_timer);
	c->timer.data = c;
	w->tallies[c->form].n_played++;
	url = g_strdup_printf("http://127.0.0.1:%d/%u", w->port, c->id);
	fetch_start(&c->fetch, &w->fetcher, c->is_head ? "HEAD" : "GET", url,
		    NULL, NULL, 0, TIMEOUT_MS, false, &ops, c);
	if (c->form != FORM_cancelled)
		return;
	c->pauses_left = 0;
	ev_timer_set(&c->timer, 2 * MAX_DELAY_S * g_rand_double(w->rand), 0);
	ev_timer_start(w->loop, &c->timer);
}

static void listen_on_any_port(struct world *w)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(fd, SOMAXCONN), ==, 0);
	getsockname(fd, (struct sockaddr *)&sa, &len);
	w->port = ntohs(sa.sin_port);
	ev_io_init(&w->listener, on_accept, fd, EV_READ);
	w->listener.data = w;
	ev_io_start(w->loop, &w->listener);
}

static void world_init(struct world *w, uint32_t seed, enum form form)
{
	memset(w, 0, sizeof(*w));
	w->loop = ev_loop_new(0);
	w->rand = g_rand_new_with_seed(seed);
	w->form = form;
	w->calls = g_new0(struct call, N_CALLS);
	w->served = g_ptr_array_new_with_free_func(free_served);
	listen_on_any_port(w);
	fetcher_init(&w->fetcher, w->loop, MAX_CONNECTIONS);
}

static void world_finish(struct world *w)
{
	uint32_t i;

	fetcher_finish(&w->fetcher);
	g_ptr_array_unref(w->served);
	ev_io_stop(w->loop, &w->listener);
	close(w->listener.fd);
	for (i = 0; i < N_CALLS; i++) {
		if (w->calls[i].answered)
			free_text(&w->calls[i].answer);
		g_string_free(w->calls[i].body, TRUE);
	}
	g_free(w->calls);
	g_rand_free(w->rand);
	ev_loop_destroy(w->loop);
}

static void add_tallies(struct tally *sums, const struct tally *t)
{
	uint32_t i;

	for (i = 0; i < N_FORMS; i++) {
		sums[i].n_played += t[i].n_played;
		sums[i].n_delivered += t[i].n_delivered;
		sums[i].n_unsent += t[i].n_unsent;
		sums[i].n_changed += t[i].n_changed;
		sums[i].n_missed += t[i].n_missed;
	}
}

/* Returns the number of connections. */
static uint32_t run(uint32_t seed, enum form form, struct tally *sums)
{
	uint32_t i, n_connections;
	struct world w;

	world_init(&w, seed, form);
	for (i = 0; i < N_AT_ONCE; i++)
		start_next_call(&w);
	ev_run(w.loop, 0);
	add_tallies(sums, w.tallies);
	n_connections = w.served->len;
	g_assert_cmpuint(w.fetcher.connections.all->len, <=, MAX_CONNECTIONS);
	world_finish(&w);
	return n_connections;
}

static void print_tallies(const struct tally *t)
{
	uint32_t i;

	for (i = 0; i < N_FORMS; i++)
		if (t[i].n_played)
			g_test_message("%s: %u played, %u delivered, wrong %u "
				       "(%u never sent as a whole), %u missed",
				       form_texts[i], t[i].n_played,
				       t[i].n_delivered,
				       t[i].n_unsent + t[i].n_changed,
				       t[i].n_unsent, t[i].n_missed);
}

static void test_form(gconstpointer data)
{
	enum form form = (enum form)GPOINTER_TO_UINT(data);
	struct tally sums[N_FORMS] = { 0 };
	uint32_t i;

	for (i = 0; i < n_seeds; i++) {
		struct tally before[N_FORMS];
		uint32_t k;

		memcpy(before, sums, sizeof(sums));
		run(first_seed + i, form, sums);
		for (k = 0; k < N_FORMS; k++)
			if (sums[k].n_unsent + sums[k].n_changed +
				    sums[k].n_missed >
			    before[k].n_unsent + before[k].n_changed +
				    before[k].n_missed)
				g_printerr("seed %u: %s\n", first_seed + i,
					   form_texts[k]);
	}
	print_tallies(sums);
	for (i = 0; i < N_FORMS; i++) {
		g_assert_cmpuint(sums[i].n_unsent, ==, 0);
		g_assert_cmpuint(sums[i].n_changed, ==, 0);
		g_assert_cmpuint(sums[i].n_missed, ==, 0);
	}
}

/* A wrong count of an answer's bytes opens a connection for each request. */
static void test_connections_are_kept(void)
{
	struct tally sums[N_FORMS] = { 0 };

	g_assert_cmpuint(run(first_seed, FORM_kept, sums), <=, MAX_CONNECTIONS);
}

/* Without the rules, some of what broke off is delivered. */
static void test_rules_are_needed(void)
{
	struct tally sums[N_FORMS] = { 0 };

	answer_rules_disabled = true;
	run(first_seed, FORM_cut, sums);
	answer_rules_disabled = false;
	g_assert_cmpuint(sums[FORM_cut].n_unsent, >, 0);
}

/* Without the check of ids, a second answer reaches the next caller. */
static void test_id_check_is_needed(void)
{
	struct tally sums[N_FORMS] = { 0 };

	answer_check_disabled = true;
	run(first_seed, FORM_held, sums);
	answer_check_disabled = false;
	g_assert_cmpuint(sums[FORM_plain].n_changed + sums[FORM_held].n_changed,
			 >, 0);
}

static void add_form_tests(const char *prefix, uint32_t from, uint32_t to)
{
	static const char *const form_names[] = {
#define FORM_NAME(name, text) #name,
		FORM_LIST(FORM_NAME)
#undef FORM_NAME
			"any"
	};
	uint32_t i;

	for (i = from; i < to; i++) {
		g_autofree char *path =
			g_strdup_printf("/%s/%s", prefix, form_names[i]);

		g_test_add_data_func(g_strdelimit(path, "_", '-'),
				     GUINT_TO_POINTER(i), test_form);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	if (g_getenv("SEEDS"))
		n_seeds = atoi(g_getenv("SEEDS"));
	if (g_getenv("FIRST_SEED"))
		first_seed = atoi(g_getenv("FIRST_SEED"));
	add_form_tests("answer-bytes", 0, FIRST_UNTOLD);
	add_form_tests("answer-bytes", FORM_any, FORM_any + 1);
	g_test_add_func("/answer-bytes/connections-are-kept",
			test_connections_are_kept);
	g_test_add_func("/answer-bytes/rules-are-needed",
			test_rules_are_needed);
	g_test_add_func("/answer-bytes/id-check-is-needed",
			test_id_check_is_needed);
	add_form_tests("answer-bytes-untold", FIRST_UNTOLD, N_FORMS);
	return g_test_run();
}

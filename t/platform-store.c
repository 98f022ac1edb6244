#include <getopt.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <jansson.h>

#include "net/clock.h"
#include "net/httpd.h"

/*
 * Stands in for the platform's metadata store as its protocol page describes
 * it: keyed topics with one partition each, conditional appends, long polls,
 * the newest record of each key, and a short history. POST /publish?key=K
 * stores an operator's record (an empty body removes it). POST /control makes
 * it fail:
 *   down=0|1      answers 503 to every call of the store
 *   busy=0|1      answers 429 to every call of the store
 *   refuse=0|1    answers 503 to appends
 *   lose=N        writes the next N appends, but closes their connections
 *                 without an answer
 *   late_ms=N     appends that lose=N applies to are written N ms later, and
 *                 only if the topic's end is then still the offset that they
 *                 require
 *   trim=1        drops the history, except the newest record of each key
 *   deaf=1        never answers the reads that wait at this moment, and leaves
 *                 their connections open
 *   silent=1      never answers on the connections that are open at this
 *                 moment, and leaves them open
 *   hold=0|1      answers reads of the newest records only after hold=0
 *   answer_ms=N   sends every answer N ms after it was made, to operators too
 *   overtake=N    appends another record just before each record of the fleet
 *                 that is longer than N bytes (0: off), so that its condition
 *                 fails
 *   trickle_ms=N  spreads an answer with the newest records of the fleet's
 *                 topic over N ms
 */

#define MAX_BODY (4 * 1024 * 1024)
#define MAX_ITEMS 500
#define MAX_RECORD_BYTES 262144
#define LENGTH_BYTES 4
#define OFFSET_BYTES 8

struct record {
	char *key;
	GBytes *value;
};

struct topic {
	const char *name;
	/* struct record, by offset; trimmed ones are kept for /-/log-newest. */
	GPtrArray *records;
	int64_t first_offset; /* oldest record that can still be read */
};

/* A read that has not been answered yet. */
struct reader {
	struct httpd_request *r;
	struct topic *topic;
	int64_t from_offset;
	int64_t until_ms;
	bool deaf; /* never answered */
};

/* An answer that is sent in parts over trickle_ms. */
struct slow_answer {
	struct httpd_request *r;
	char *text;
	size_t len;
	size_t sent;
	int64_t started_at_ms;
};

/* An append that is written at due_at_ms if offset is the topic's end then. */
struct late_append {
	struct topic *topic;
	int64_t offset;
	int64_t due_at_ms;
	GBytes *body;
};

/* An answer that is sent at due_at_ms. */
struct late_answer {
	struct httpd_request *r;
	uint32_t status;
	int64_t due_at_ms;
	GBytes *body;
};

static struct ev_loop *loop;
static struct httpd httpd;
static struct topic topics[] = { { "keyed.fleet", NULL, 0 },
				 { "keyed.op", NULL, 0 } };
static GPtrArray *readers;
static GPtrArray *late_appends;
static bool down, busy, refuse, hold;
static int64_t trickle_ms;
static GPtrArray *slow_answers; /* struct slow_answer */
static GPtrArray *held_reads; /* struct reader, for /-/log-newest */
static GHashTable *connections, *silent_connections; /* connection_key() */
static int64_t n_to_lose, late_ms;
static int64_t answer_ms, overtake_bytes;
static GPtrArray *late_answers; /* struct late_answer */
static uint64_t n_appends, n_conflicts, n_reads, n_newest;

static struct topic *find_topic(struct httpd_request *r)
{
	const char *name = httpd_argument(r, "topic");
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(topics); i++)
		if (name && !strcmp(topics[i].name, name))
			return &topics[i];
	return NULL;
}

static void late_answer_free(struct late_answer *a)
{
	g_ptr_array_remove_fast(late_answers, a);
	g_bytes_unref(a->body);
	g_free(a);
}

/* Answers a call of the store, answer_ms later. */
static void send_answer(struct httpd_request *r, uint32_t status,
			const void *data, size_t len)
{
	struct late_answer *a;

	if (!answer_ms) {
		httpd_reply(r, status, NULL, data, len);
		return;
	}
	a = g_new0(struct late_answer, 1);
	a->r = r;
	a->status = status;
	a->due_at_ms = clock_now_ms() + answer_ms;
	a->body = g_bytes_new(data, len);
	r->user = a;
	g_ptr_array_add(late_answers, a);
}

static void send_answer_text(struct httpd_request *r, uint32_t status,
			     const char *text)
{
	send_answer(r, status, text, strlen(text));
}

static void send_late_answers(void)
{
	int64_t now = clock_now_ms();
	uint32_t i;

	for (i = late_answers->len; i-- > 0;) {
		struct late_answer *a = g_ptr_array_index(late_answers, i);
		gsize len;
		const void *data = g_bytes_get_data(a->body, &len);

		if (now < a->due_at_ms)
			continue;
		a->r->user = NULL;
		httpd_reply(a->r, a->status, NULL, data, len);
		late_answer_free(a);
	}
}

static void append_big_endian(GByteArray *out, uint64_t v, uint32_t n)
{
	while (n--) {
		guint8 byte = v >> 8 * n;

		g_byte_array_append(out, &byte, 1);
	}
}

static void add_record(struct topic *t, const char *key, size_t key_len,
		       const void *value, size_t len)
{
	struct record *rec = g_new0(struct record, 1);

	rec->key = g_strndup(key, key_len);
	rec->value = g_bytes_new(value, len);
	g_ptr_array_add(t->records, rec);
}

static void reply_read(struct reader *w)
{
	struct topic *t = w->topic;
	GByteArray *out = g_byte_array_new();
	int64_t i;

	append_big_endian(out, t->records->len, OFFSET_BYTES);
	append_big_endian(out, t->first_offset, OFFSET_BYTES);
	for (i = w->from_offset; i < t->records->len; i++) {
		struct record *rec = g_ptr_array_index(t->records, i);
		gsize len;
		const void *value = g_bytes_get_data(rec->value, &len);
		guint8 key_len = strlen(rec->key);

		append_big_endian(out, 1 + key_len + len, LENGTH_BYTES);
		g_byte_array_append(out, &key_len, 1);
		g_byte_array_append(out, (guint8 *)rec->key, key_len);
		g_byte_array_append(out, value, len);
	}
	send_answer(w->r, w->from_offset < t->first_offset ? 410 : 200,
		    out->data, out->len);
	g_byte_array_unref(out);
}

static void answer_readers(void)
{
	int64_t now = clock_now_ms();
	uint32_t i;

	for (i = readers->len; i-- > 0;) {
		struct reader *w = g_ptr_array_index(readers, i);

		if (down || w->deaf)
			continue;
		if (w->from_offset >= w->topic->records->len &&
		    w->from_offset >= w->topic->first_offset &&
		    now < w->until_ms)
			continue;
		w->r->user = NULL;
		reply_read(w);
		g_ptr_array_remove_index_fast(readers, i);
		g_free(w);
	}
}

static int64_t int_argument(struct httpd_request *r, const char *name,
			    int64_t fallback)
{
	const char *s = httpd_argument(r, name);

	return s ? g_ascii_strtoll(s, NULL, 10) : fallback;
}

/* Adds the framed records of one append. Returns false if they are malformed. */
static bool add_framed_records(struct topic *t, const guint8 *p, size_t left)
{
	while (left >= LENGTH_BYTES) {
		size_t len = (size_t)p[0] << 24 | p[1] << 16 | p[2] << 8 | p[3];

		p += LENGTH_BYTES;
		left -= LENGTH_BYTES;
		if (len > left || !len || 1 + (size_t)p[0] > len)
			return false;
		add_record(t, (const char *)p + 1, p[0], p + 1 + p[0],
			   len - 1 - p[0]);
		p += len;
		left -= len;
	}
	return !left;
}

static void reply_offsets(struct httpd_request *r, uint32_t status,
			  int64_t offset, int64_t end)
{
	g_autofree char *text =
		g_strdup_printf("{\"offset\":%" G_GINT64_FORMAT
				",\"end_offset\":%" G_GINT64_FORMAT "}",
				(gint64)offset, (gint64)end);

	send_answer_text(r, status, text);
}

static void lose_answer(struct httpd_request *r)
{
	httpd_stream_begin(r, 200, NULL, 10);
	httpd_stream_end(r, false);
}

/* Appends a record without effect. */
static void append_filler(struct topic *t)
{
	g_autofree char *value = g_strdup_printf(
		"{\"id\":\"filler-%u\",\"record\":{\"type\":\"filler\"}}",
		t->records->len);
	g_autofree char *key = g_strdup_printf("%03x", t->records->len % 256);

	add_record(t, key, strlen(key), value, strlen(value));
	answer_readers();
}

static void on_append(struct httpd_request *r, struct topic *t)
{
	int64_t at = int_argument(r, "at", t->records->len);
	int64_t offset;

	if (overtake_bytes && t == &topics[0] && r->body->len > overtake_bytes)
		append_filler(t);
	offset = t->records->len;
	if (at != offset) {
		n_conflicts++;
		reply_offsets(r, 412, offset, offset);
		return;
	}
	if (n_to_lose > 0 && late_ms) {
		struct late_append *l = g_new0(struct late_append, 1);

		n_to_lose--;
		l->topic = t;
		l->offset = at;
		l->due_at_ms = clock_now_ms() + late_ms;
		l->body = g_bytes_new(r->body->data, r->body->len);
		g_ptr_array_add(late_appends, l);
		lose_answer(r);
		return;
	}
	if (r->body->len > LENGTH_BYTES + MAX_RECORD_BYTES) {
		send_answer_text(r, 400, "the record is too long\n");
		return;
	}
	n_appends++;
	if (!add_framed_records(t, r->body->data, r->body->len)) {
		send_answer_text(r, 400, "malformed\n");
	} else if (n_to_lose > 0) {
		n_to_lose--;
		lose_answer(r);
	} else {
		reply_offsets(r, 200, offset, t->records->len);
	}
	answer_readers();
}

static void apply_late_appends(void)
{
	uint32_t i;

	for (i = late_appends->len; i-- > 0;) {
		struct late_append *l = g_ptr_array_index(late_appends, i);
		gsize len;
		const void *body = g_bytes_get_data(l->body, &len);

		if (clock_now_ms() < l->due_at_ms)
			continue;
		if (l->offset == l->topic->records->len)
			add_framed_records(l->topic, body, len);
		g_bytes_unref(l->body);
		g_ptr_array_remove_index_fast(late_appends, i);
		g_free(l);
	}
}

static void on_read(struct httpd_request *r, struct topic *t)
{
	struct reader *w = g_new0(struct reader, 1);

	n_reads++;
	w->r = r;
	w->topic = t;
	w->from_offset = int_argument(r, "from", 0);
	w->until_ms = clock_now_ms() + int_argument(r, "wait_ms", 0);
	r->user = w;
	g_ptr_array_add(readers, w);
	answer_readers();
}

static int compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void reply_newest(struct httpd_request *r, struct topic *t)
{
	const char *after = httpd_argument(r, "after");
	GHashTable *newest = g_hash_table_new(g_str_hash, g_str_equal);
	json_t *items = json_array();
	json_t *answer;
	GPtrArray *keys;
	bool more = false;
	char *text;
	uint32_t i;

	for (i = 0; i < t->records->len; i++)
		g_hash_table_insert(
			newest, ((struct record *)t->records->pdata[i])->key,
			GUINT_TO_POINTER(i + 1));
	keys = g_ptr_array_new();
	{
		GHashTableIter it;
		gpointer key;

		g_hash_table_iter_init(&it, newest);
		while (g_hash_table_iter_next(&it, &key, NULL))
			g_ptr_array_add(keys, key);
	}
	g_ptr_array_sort(keys, compare_keys);
	for (i = 0; i < keys->len; i++) {
		const char *key = g_ptr_array_index(keys, i);
		guint at =
			GPOINTER_TO_UINT(g_hash_table_lookup(newest, key)) - 1;
		struct record *rec = t->records->pdata[at];
		gsize len;
		const void *value = g_bytes_get_data(rec->value, &len);
		g_autofree char *value_base64 = NULL;

		if (!len || (after && strcmp(key, after) <= 0))
			continue;
		if (json_array_size(items) == MAX_ITEMS) {
			more = true;
			break;
		}
		value_base64 = g_base64_encode(value, len);
		json_array_append_new(
			items, json_pack("{s:s,s:s,s:i}", "key", key, "value",
					 value_base64, "offset", (int)at));
	}
	answer = json_pack("{s:o,s:b,s:i}", "items", items, "more", more,
			   "end_offset", (int)t->records->len);
	text = json_dumps(answer, JSON_COMPACT);
	if (trickle_ms && t == &topics[0]) {
		struct slow_answer *w = g_new0(struct slow_answer, 1);

		w->r = r;
		w->text = g_strdup(text);
		w->len = strlen(text);
		w->started_at_ms = clock_now_ms();
		r->user = w;
		g_ptr_array_add(slow_answers, w);
		httpd_stream_begin(r, 200, NULL, w->len);
	} else {
		send_answer(r, 200, text, strlen(text));
	}
	free(text);
	json_decref(answer);
	g_ptr_array_unref(keys);
	g_hash_table_unref(newest);
}

static void slow_answer_free(struct slow_answer *w)
{
	g_ptr_array_remove_fast(slow_answers, w);
	g_free(w->text);
	g_free(w);
}

static void send_slow_answers(void)
{
	int64_t now = clock_now_ms();
	uint32_t i;

	for (i = slow_answers->len; i-- > 0;) {
		struct slow_answer *w = g_ptr_array_index(slow_answers, i);
		size_t upto = MIN(w->len * (now - w->started_at_ms) /
					  MAX(trickle_ms, 1),
				  w->len);

		httpd_stream_write(w->r, w->text + w->sent, upto - w->sent);
		w->sent = upto;
		if (upto < w->len)
			continue;
		w->r->user = NULL;
		httpd_stream_end(w->r, true);
		slow_answer_free(w);
	}
}

static void answer_held_reads(void)
{
	while (!hold && held_reads->len) {
		struct reader *w = g_ptr_array_steal_index(held_reads, 0);

		w->r->user = NULL;
		reply_newest(w->r, w->topic);
		g_free(w);
	}
}

static void on_newest(struct httpd_request *r, struct topic *t)
{
	struct reader *w = g_new0(struct reader, 1);

	n_newest++;
	w->r = r;
	w->topic = t;
	r->user = w;
	g_ptr_array_add(held_reads, w);
	answer_held_reads();
}

static void on_publish(struct httpd_request *r)
{
	const char *key = httpd_argument(r, "key");

	add_record(&topics[1], key, strlen(key), r->body->data, r->body->len);
	send_answer_text(r, 200, "lies in the store\n");
	answer_readers();
}

static void on_control(struct httpd_request *r)
{
	uint32_t i;

	down = int_argument(r, "down", down);
	busy = int_argument(r, "busy", busy);
	refuse = int_argument(r, "refuse", refuse);
	hold = int_argument(r, "hold", hold);
	trickle_ms = int_argument(r, "trickle_ms", trickle_ms);
	answer_ms = int_argument(r, "answer_ms", answer_ms);
	overtake_bytes = int_argument(r, "overtake", overtake_bytes);
	n_to_lose = int_argument(r, "lose", n_to_lose);
	late_ms = int_argument(r, "late_ms", late_ms);
	for (i = 0; int_argument(r, "deaf", 0) && i < readers->len; i++)
		((struct reader *)g_ptr_array_index(readers, i))->deaf = true;
	for (i = 0; int_argument(r, "trim", 0) && i < G_N_ELEMENTS(topics); i++)
		topics[i].first_offset = topics[i].records->len;
	if (int_argument(r, "silent", 0)) {
		for (i = 0; i < readers->len; i++)
			((struct reader *)g_ptr_array_index(readers, i))->deaf =
				true;
		g_hash_table_unref(silent_connections);
		silent_connections = connections;
		connections = g_hash_table_new(NULL, NULL);
	}
	httpd_reply_text(r, 200, "done\n");
	answer_readers();
	answer_held_reads();
}

static void on_stats(struct httpd_request *r)
{
	g_autofree char *text = g_strdup_printf(
		"appends %" G_GUINT64_FORMAT "\nconflicts %" G_GUINT64_FORMAT
		"\nreads %" G_GUINT64_FORMAT "\nnewest %" G_GUINT64_FORMAT
		"\nend %u\n",
		(guint64)n_appends, (guint64)n_conflicts, (guint64)n_reads,
		(guint64)n_newest, topics[0].records->len);

	httpd_reply_text(r, 200, text);
}

/* The port of the caller's end of a connection identifies it. */
static gpointer connection_key(const struct httpd_request *r)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		r->mhd_connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *a = (const void *)info->client_addr;

	return GUINT_TO_POINTER(a->sin_port);
}

/* Whether the connection of a request has been silenced. */
static bool is_silent(const struct httpd_request *r)
{
	gpointer key = connection_key(r);

	if (g_hash_table_contains(silent_connections, key))
		return true;
	g_hash_table_add(connections, key);
	return false;
}

static void on_request(void *user, struct httpd_request *r)
{
	struct topic *t = find_topic(r);

	(void)user;
	if (is_silent(r))
		return;
	if (!strcmp(r->path, "/control"))
		on_control(r);
	else if (!strcmp(r->path, "/stats"))
		on_stats(r);
	else if (!strcmp(r->path, "/publish"))
		on_publish(r);
	else if (down)
		httpd_reply_text(r, 503, "down\n");
	else if (busy)
		httpd_reply_text(r, 429, "busy\n");
	else if (!t)
		httpd_reply_text(r, 400, "no such topic\n");
	else if (refuse && !strcmp(r->path, "/-/log-append"))
		httpd_reply_text(r, 503, "no appends\n");
	else if (!strcmp(r->path, "/-/log-append"))
		on_append(r, t);
	else if (!strcmp(r->path, "/-/log-read"))
		on_read(r, t);
	else if (!strcmp(r->path, "/-/log-newest"))
		on_newest(r, t);
	else
		httpd_reply_text(r, 404, "no such call\n");
}

static void on_closed(void *user, struct httpd_request *r)
{
	(void)user;
	if (!r->user)
		return;
	if (g_ptr_array_find(late_answers, r->user, NULL)) {
		late_answer_free(r->user);
		return;
	}
	if (g_ptr_array_find(slow_answers, r->user, NULL)) {
		slow_answer_free(r->user);
		return;
	}
	g_ptr_array_remove_fast(readers, r->user);
	g_ptr_array_remove_fast(held_reads, r->user);
	g_free(r->user);
}

static const struct httpd_ops ops = { .on_request = on_request,
				      .on_closed = on_closed };

static void on_tick(struct ev_loop *l, ev_timer *w, int events)
{
	(void)l;
	(void)w;
	(void)events;
	apply_late_appends();
	send_late_answers();
	send_slow_answers();
	answer_readers();
}

int main(int argc, char **argv)
{
	static const struct option options[] = {
		{ "listen", required_argument, NULL, 'l' }, { 0 }
	};
	const char *address = "127.0.0.1:7300";
	ev_timer tick;
	uint32_t i;
	int c;

	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (c != 'l')
			return 2;
		address = optarg;
	}
	loop = ev_default_loop(0);
	for (i = 0; i < G_N_ELEMENTS(topics); i++)
		topics[i].records = g_ptr_array_new();
	connections = g_hash_table_new(NULL, NULL);
	silent_connections = g_hash_table_new(NULL, NULL);
	readers = g_ptr_array_new();
	late_appends = g_ptr_array_new();
	held_reads = g_ptr_array_new();
	slow_answers = g_ptr_array_new();
	late_answers = g_ptr_array_new();
	if (httpd_init(&httpd, loop, address, MAX_BODY, &ops, NULL)) {
		fprintf(stderr, "cannot listen on %s\n", address);
		return 1;
	}
	ev_timer_init(&tick, on_tick, 0.01, 0.01);
	ev_timer_start(loop, &tick);
	ev_run(loop, 0);
	return 0;
}

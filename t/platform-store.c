#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <jansson.h>

#include "net/clock.h"
#include "net/httpd.h"

/*
 * Stands in for the platform's metadata store as its protocol page describes
 * it: keyed topics with one partition each, conditional appends, long polls,
 * the newest record of each key, and a short history. POST /publish?key=K puts
 * an operator's record (an empty body removes it). POST /control makes it
 * misbehave: down=0|1, lose=N (answers lost after the write), late_ms=N (the
 * next lose takes effect that much later, if its condition still holds),
 * trim=1 (forget the history, keep the newest), busy=0|1 (429), deaf=1 (the
 * reads that wait now are never answered, and their connections stay open),
 * refuse=0|1 (appends get 503), hold=0|1 (the newest records are told later),
 * trickle_ms=N (the newest records of the fleet take so long to arrive).
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
	GPtrArray
		*records; /* struct record, all; trimmed ones stay for newest */
	int64_t first; /* oldest that can still be read */
};

struct reader {
	struct httpd_request *r;
	struct topic *topic;
	int64_t from;
	int64_t until_ms;
	bool deaf;
};

/* An answer on a slow way. */
struct trickle {
	struct httpd_request *r;
	char *text;
	size_t len;
	size_t sent;
	int64_t began_ms;
};

struct late {
	struct topic *topic;
	int64_t at;
	int64_t when_ms;
	GBytes *body;
};

static struct ev_loop *loop;
static struct httpd httpd;
static struct topic topics[] = { { "keyed.fleet", NULL, 0 },
				 { "keyed.op", NULL, 0 } };
static GPtrArray *readers;
static GPtrArray *lates;
static bool down, busy, refuse, hold;
static int64_t trickle_ms;
static GPtrArray *slow; /* struct trickle */
static GPtrArray *held; /* struct reader, who asked for the newest */
static int64_t lose, late_ms;
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

static void put_number(GByteArray *out, uint64_t v, uint32_t n)
{
	while (n--) {
		guint8 byte = v >> 8 * n;

		g_byte_array_append(out, &byte, 1);
	}
}

static void add(struct topic *t, const char *key, size_t key_len,
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

	put_number(out, t->records->len, OFFSET_BYTES);
	put_number(out, t->first, OFFSET_BYTES);
	for (i = w->from; i < t->records->len; i++) {
		struct record *rec = g_ptr_array_index(t->records, i);
		gsize len;
		const void *value = g_bytes_get_data(rec->value, &len);
		guint8 key_len = strlen(rec->key);

		put_number(out, 1 + key_len + len, LENGTH_BYTES);
		g_byte_array_append(out, &key_len, 1);
		g_byte_array_append(out, (guint8 *)rec->key, key_len);
		g_byte_array_append(out, value, len);
	}
	httpd_reply(w->r, w->from < t->first ? 410 : 200, NULL, out->data,
		    out->len);
	g_byte_array_unref(out);
}

static void serve_readers(void)
{
	int64_t now = clock_now_ms();
	uint32_t i;

	for (i = readers->len; i-- > 0;) {
		struct reader *w = g_ptr_array_index(readers, i);

		if (down || w->deaf)
			continue;
		if (w->from >= w->topic->records->len &&
		    w->from >= w->topic->first && now < w->until_ms)
			continue;
		w->r->user = NULL;
		reply_read(w);
		g_ptr_array_remove_index_fast(readers, i);
		g_free(w);
	}
}

static int64_t argument(struct httpd_request *r, const char *name,
			int64_t fallback)
{
	const char *s = httpd_argument(r, name);

	return s ? g_ascii_strtoll(s, NULL, 10) : fallback;
}

/* Take the framed records of one append; false when they are malformed. */
static bool take(struct topic *t, const guint8 *p, size_t left)
{
	while (left >= LENGTH_BYTES) {
		size_t len = (size_t)p[0] << 24 | p[1] << 16 | p[2] << 8 | p[3];

		p += LENGTH_BYTES;
		left -= LENGTH_BYTES;
		if (len > left || !len || 1 + (size_t)p[0] > len)
			return false;
		add(t, (const char *)p + 1, p[0], p + 1 + p[0], len - 1 - p[0]);
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

	httpd_reply(r, status, NULL, text, strlen(text));
}

static void lose_answer(struct httpd_request *r)
{
	httpd_stream_begin(r, 200, NULL, 10);
	httpd_stream_end(r, false);
}

static void on_append(struct httpd_request *r, struct topic *t)
{
	int64_t at = argument(r, "at", t->records->len);
	int64_t offset = t->records->len;

	if (at != offset) {
		n_conflicts++;
		reply_offsets(r, 412, offset, offset);
		return;
	}
	if (lose > 0 && late_ms) {
		struct late *l = g_new0(struct late, 1);

		lose--;
		l->topic = t;
		l->at = at;
		l->when_ms = clock_now_ms() + late_ms;
		l->body = g_bytes_new(r->body->data, r->body->len);
		g_ptr_array_add(lates, l);
		lose_answer(r);
		return;
	}
	if (r->body->len > LENGTH_BYTES + MAX_RECORD_BYTES) {
		httpd_reply_text(r, 400, "the record is too long\n");
		return;
	}
	n_appends++;
	if (!take(t, r->body->data, r->body->len)) {
		httpd_reply_text(r, 400, "malformed\n");
	} else if (lose > 0) {
		lose--;
		lose_answer(r);
	} else {
		reply_offsets(r, 200, offset, t->records->len);
	}
	serve_readers();
}

static void do_late(void)
{
	uint32_t i;

	for (i = lates->len; i-- > 0;) {
		struct late *l = g_ptr_array_index(lates, i);
		gsize len;
		const void *body = g_bytes_get_data(l->body, &len);

		if (clock_now_ms() < l->when_ms)
			continue;
		if (l->at == l->topic->records->len)
			take(l->topic, body, len);
		g_bytes_unref(l->body);
		g_ptr_array_remove_index_fast(lates, i);
		g_free(l);
	}
}

static void on_read(struct httpd_request *r, struct topic *t)
{
	struct reader *w = g_new0(struct reader, 1);

	n_reads++;
	w->r = r;
	w->topic = t;
	w->from = argument(r, "from", 0);
	w->until_ms = clock_now_ms() + argument(r, "wait_ms", 0);
	r->user = w;
	g_ptr_array_add(readers, w);
	serve_readers();
}

static int by_key(gconstpointer a, gconstpointer b)
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
	g_ptr_array_sort(keys, by_key);
	for (i = 0; i < keys->len; i++) {
		const char *key = g_ptr_array_index(keys, i);
		guint at =
			GPOINTER_TO_UINT(g_hash_table_lookup(newest, key)) - 1;
		struct record *rec = t->records->pdata[at];
		gsize len;
		const void *value = g_bytes_get_data(rec->value, &len);
		g_autofree char *coded = NULL;

		if (!len || (after && strcmp(key, after) <= 0))
			continue;
		if (json_array_size(items) == MAX_ITEMS) {
			more = true;
			break;
		}
		coded = g_base64_encode(value, len);
		json_array_append_new(items, json_pack("{s:s,s:s,s:i}", "key",
						       key, "value", coded,
						       "offset", (int)at));
	}
	answer = json_pack("{s:o,s:b,s:i}", "items", items, "more", more,
			   "end_offset", (int)t->records->len);
	text = json_dumps(answer, JSON_COMPACT);
	if (trickle_ms && t == &topics[0]) {
		struct trickle *w = g_new0(struct trickle, 1);

		w->r = r;
		w->text = g_strdup(text);
		w->len = strlen(text);
		w->began_ms = clock_now_ms();
		r->user = w;
		g_ptr_array_add(slow, w);
		httpd_stream_begin(r, 200, NULL, w->len);
	} else {
		httpd_reply(r, 200, NULL, text, strlen(text));
	}
	free(text);
	json_decref(answer);
	g_ptr_array_unref(keys);
	g_hash_table_unref(newest);
}

static void trickle_free(struct trickle *w)
{
	g_ptr_array_remove_fast(slow, w);
	g_free(w->text);
	g_free(w);
}

static void serve_slow(void)
{
	int64_t now = clock_now_ms();
	uint32_t i;

	for (i = slow->len; i-- > 0;) {
		struct trickle *w = g_ptr_array_index(slow, i);
		size_t upto =
			MIN(w->len * (now - w->began_ms) / MAX(trickle_ms, 1),
			    w->len);

		httpd_stream_write(w->r, w->text + w->sent, upto - w->sent);
		w->sent = upto;
		if (upto < w->len)
			continue;
		w->r->user = NULL;
		httpd_stream_end(w->r, true);
		trickle_free(w);
	}
}

static void serve_held(void)
{
	while (!hold && held->len) {
		struct reader *w = g_ptr_array_steal_index(held, 0);

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
	g_ptr_array_add(held, w);
	serve_held();
}

static void on_publish(struct httpd_request *r)
{
	const char *key = httpd_argument(r, "key");

	add(&topics[1], key, strlen(key), r->body->data, r->body->len);
	httpd_reply_text(r, 200, "lies in the store\n");
	serve_readers();
}

static void on_control(struct httpd_request *r)
{
	uint32_t i;

	down = argument(r, "down", down);
	busy = argument(r, "busy", busy);
	refuse = argument(r, "refuse", refuse);
	hold = argument(r, "hold", hold);
	trickle_ms = argument(r, "trickle_ms", trickle_ms);
	lose = argument(r, "lose", lose);
	late_ms = argument(r, "late_ms", late_ms);
	for (i = 0; argument(r, "deaf", 0) && i < readers->len; i++)
		((struct reader *)g_ptr_array_index(readers, i))->deaf = true;
	for (i = 0; argument(r, "trim", 0) && i < G_N_ELEMENTS(topics); i++)
		topics[i].first = topics[i].records->len;
	httpd_reply_text(r, 200, "done\n");
	serve_readers();
	serve_held();
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

static void on_request(void *user, struct httpd_request *r)
{
	struct topic *t = find_topic(r);

	(void)user;
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
	if (g_ptr_array_find(slow, r->user, NULL)) {
		trickle_free(r->user);
		return;
	}
	g_ptr_array_remove_fast(readers, r->user);
	g_ptr_array_remove_fast(held, r->user);
	g_free(r->user);
}

static const struct httpd_ops ops = { .on_request = on_request,
				      .on_closed = on_closed };

static void on_tick(struct ev_loop *l, ev_timer *w, int events)
{
	(void)l;
	(void)w;
	(void)events;
	do_late();
	serve_slow();
	serve_readers();
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
	readers = g_ptr_array_new();
	lates = g_ptr_array_new();
	held = g_ptr_array_new();
	slow = g_ptr_array_new();
	if (httpd_init(&httpd, loop, address, MAX_BODY, &ops, NULL)) {
		fprintf(stderr, "cannot listen on %s\n", address);
		return 1;
	}
	ev_timer_init(&tick, on_tick, 0.01, 0.01);
	ev_timer_start(loop, &tick);
	ev_run(loop, 0);
	return 0;
}

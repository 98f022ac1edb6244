#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <jansson.h>

#include "net/clock.h"
#include "net/httpd.h"

/*
 * Stands in for the platform's log: appends, and reads by offset, over HTTP
 * with JSON. Records are kept in memory, for the retention time if one is set.
 * POST /control makes it fail: down=0|1, slow_ms=N (delays answers by N ms),
 * lose=N (writes the next N appends but answers them with an error),
 * trim=OFFSET (drops all records before OFFSET).
 */

#define MAX_BODY (8 * 1024 * 1024)
#define MAX_BATCH 500

struct record {
	char *text; /* {"offset":N,"id":"...","record":{...}} */
	int64_t appended_at_ms;
};

/* A read or append that has not been answered yet. */
struct waiter {
	struct httpd_request *r;
	int64_t from_offset;
	int64_t until_ms; /* a read is then answered without records */
	int64_t not_before_ms;
	bool is_append;
	int64_t offset; /* of the record that was appended */
};

static struct ev_loop *loop;
static struct httpd httpd;
static GPtrArray *records;
static int64_t first_offset;
static GPtrArray *waiters;
static bool down;
static int64_t slow_ms;
static int64_t lose;
static int64_t retention_ms;
static uint64_t n_appends;
static uint64_t n_reads;

static void reply_read(struct httpd_request *r, int64_t from)
{
	GString *out = g_string_new(NULL);
	int64_t next = first_offset + records->len;
	int64_t i;

	g_string_printf(out,
			"{\"first\":%" G_GINT64_FORMAT
			",\"next\":%" G_GINT64_FORMAT ",\"records\":[",
			(gint64)first_offset, (gint64)next);
	for (i = from; i < next && i < from + MAX_BATCH && from >= first_offset;
	     i++) {
		struct record *rec =
			g_ptr_array_index(records, i - first_offset);

		g_string_append_printf(out, "%s%s", i == from ? "" : ",",
				       rec->text);
	}
	g_string_append(out, "]}");
	httpd_reply(r, from < first_offset ? 410 : 200, NULL, out->str,
		    out->len);
	g_string_free(out, TRUE);
}

static void reply_append(struct httpd_request *r, int64_t offset)
{
	g_autofree char *text = g_strdup_printf(
		"{\"offset\":%" G_GINT64_FORMAT "}", (gint64)offset);

	httpd_reply(r, 200, NULL, text, strlen(text));
}

static void add_waiter(struct httpd_request *r, struct waiter w)
{
	w.r = r;
	r->user = g_memdup2(&w, sizeof(w));
	g_ptr_array_add(waiters, r->user);
}

static void answer_waiters(void)
{
	int64_t now = clock_now_ms();
	int64_t next = first_offset + records->len;
	uint32_t i;

	for (i = waiters->len; i-- > 0;) {
		struct waiter *w = g_ptr_array_index(waiters, i);

		if (down || now < w->not_before_ms)
			continue;
		if (w->is_append)
			reply_append(w->r, w->offset);
		else if (w->from_offset < next || now >= w->until_ms)
			reply_read(w->r, w->from_offset);
		else
			continue;
		w->r->user = NULL;
		g_ptr_array_remove_index_fast(waiters, i);
		g_free(w);
	}
}

static void trim(int64_t to)
{
	while (records->len && first_offset < to) {
		g_free(((struct record *)g_ptr_array_index(records, 0))->text);
		g_free(g_ptr_array_index(records, 0));
		g_ptr_array_remove_index(records, 0);
		first_offset++;
	}
}

static void on_append(struct httpd_request *r)
{
	json_t *o =
		json_loadb((const char *)r->body->data, r->body->len, 0, NULL);
	struct record *rec;
	int64_t offset = first_offset + records->len;
	struct waiter w = { .is_append = true, .offset = offset };

	if (!json_is_object(json_object_get(o, "record"))) {
		json_decref(o);
		httpd_reply_text(r, 400, "no record\n");
		return;
	}
	json_object_set_new(o, "offset", json_integer(offset));
	rec = g_new(struct record, 1);
	rec->text = json_dumps(o, JSON_COMPACT);
	rec->appended_at_ms = clock_now_ms();
	json_decref(o);
	g_ptr_array_add(records, rec);
	n_appends++;
	if (lose > 0) {
		lose--;
		httpd_reply_text(r, 500, "answer lost\n");
	} else {
		w.not_before_ms = rec->appended_at_ms + slow_ms;
		add_waiter(r, w);
	}
	answer_waiters();
}

static int64_t int_argument(struct httpd_request *r, const char *name,
			    int64_t fallback)
{
	const char *s = httpd_argument(r, name);

	return s ? g_ascii_strtoll(s, NULL, 10) : fallback;
}

static void on_control(struct httpd_request *r)
{
	down = int_argument(r, "down", down);
	slow_ms = int_argument(r, "slow_ms", slow_ms);
	lose = int_argument(r, "lose", lose);
	trim(int_argument(r, "trim", first_offset));
	httpd_reply_text(r, 200, "done\n");
	answer_waiters();
}

static void on_stats(struct httpd_request *r)
{
	g_autofree char *text = g_strdup_printf(
		"appends %" G_GUINT64_FORMAT "\nreads %" G_GUINT64_FORMAT
		"\nfirst %" G_GINT64_FORMAT "\nnext %" G_GINT64_FORMAT "\n",
		(guint64)n_appends, (guint64)n_reads, (gint64)first_offset,
		(gint64)(first_offset + records->len));

	httpd_reply_text(r, 200, text);
}

static void on_request(void *user, struct httpd_request *r)
{
	int64_t now = clock_now_ms();

	(void)user;
	if (!strcmp(r->path, "/control")) {
		on_control(r);
	} else if (!strcmp(r->path, "/stats")) {
		on_stats(r);
	} else if (down) {
		httpd_reply_text(r, 503, "down\n");
	} else if (!strcmp(r->path, "/append")) {
		on_append(r);
	} else {
		struct waiter w = { .from_offset = int_argument(r, "from", 0),
				    .not_before_ms = now + slow_ms,
				    .until_ms = now +
						int_argument(r, "wait_ms", 0) };

		n_reads++;
		add_waiter(r, w);
		answer_waiters();
	}
}

static void on_closed(void *user, struct httpd_request *r)
{
	(void)user;
	if (!r->user)
		return;
	g_ptr_array_remove_fast(waiters, r->user);
	g_free(r->user);
}

static const struct httpd_ops ops = { .on_request = on_request,
				      .on_closed = on_closed };

static void on_tick(struct ev_loop *l, ev_timer *w, int events)
{
	int64_t now = clock_now_ms();

	(void)l;
	(void)w;
	(void)events;
	while (retention_ms && records->len &&
	       now - ((struct record *)g_ptr_array_index(records, 0))
				       ->appended_at_ms >
		       retention_ms)
		trim(first_offset + 1);
	answer_waiters();
}

int main(int argc, char **argv)
{
	static const struct option options[] = {
		{ "listen", required_argument, NULL, 'l' },
		{ "retention-ms", required_argument, NULL, 'r' },
		{ 0 }
	};
	const char *address = "127.0.0.1:7300";
	ev_timer tick;
	int c;

	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (c == 'l')
			address = optarg;
		else if (c == 'r')
			retention_ms = atoll(optarg);
		else
			return 2;
	}
	loop = ev_default_loop(0);
	records = g_ptr_array_new();
	waiters = g_ptr_array_new();
	if (httpd_init(&httpd, loop, address, MAX_BODY, &ops, NULL)) {
		fprintf(stderr, "cannot listen on %s\n", address);
		return 1;
	}
	ev_timer_init(&tick, on_tick, 0.01, 0.01);
	ev_timer_start(loop, &tick);
	ev_run(loop, 0);
	return 0;
}

#define _GNU_SOURCE /* for close_range() */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <curl/curl.h>
#include <jansson.h>

#include "gate/grants.h"
#include "net/clock.h"
#include "net/fetch.h"
#include "net/headers.h"
#include "net/httpd.h"
#include "platform/request.h"

/*
 * Stands in for a backend server on the platform: sends heartbeats to the node
 * beside it, holds ranges of keys under fences for a limited time, refuses
 * requests for keys that it does not hold, returns the attempt's id with each
 * answer, and counts in a ledger how often it ran each attempt. With --grants
 * call it is granted keys by calls instead of by the answers to its heartbeats.
 * --mute sends no heartbeats before POST /control mute=0. --address sets the
 * address in its heartbeats if that is not the one that it listens on, but that
 * of a proxy before it. --end-on TEXT makes it end 80 ms after it has begun a
 * request whose path contains TEXT, with all that it runs; it starts again, as
 * a new instance, after 700 ms. It prints a line for each such request that
 * arrives, and one when it ends.
 *
 * POST /control takes:
 *   work_ms=N    duration of a request
 *   hold=0|1     no request ends before hold=0
 *   drain=0|1    heartbeats report the state "draining"
 *   crash=1      restarts at once under a new id, without held keys
 *   mute=0|1     sends no heartbeats before mute=0
 *   unsigned=N   leaves the signature out of the next N answers
 *   wrong_id=N   returns another attempt id with the next N answers
 *   lose=N       runs the next N requests, then closes their connections
 *                without an answer
 *   cold_ms=N    heartbeats report that it stays cold for N ms
 *   late=N       leaves the next N calls that grant keys unanswered and applies
 *                them 1 s later
 *   refuse=N     refuses the next N such calls as if it had seen a higher fence
 *   stall=N      stops halfway through each of the next N answers, which are
 *                long ones
 *   limit=TEXT   names this limit of requests a second in all answers, until
 *                limit= without a text
 *   leaving=0|1  says in all answers that it leaves, but not in its heartbeats
 *   window=1     begins to count anew for most_in_4s of GET /stats
 *
 * GET /id returns the id of the present instance, GET /heartbeat the body of
 * its next heartbeat, which it then does not send itself.
 *
 * GET /holdings?from=N returns the changes of what it holds, from line N on:
 * time of the change, first key, last key, and the time until which the keys
 * are held, 0 if they were released. Times are in microseconds of
 * CLOCK_BOOTTIME.
 */

#define MAX_BODY (8 * 1024 * 1024)
#define MAX_HEAD (1024 * 1024)
#define HEARTBEAT_INTERVAL_MS 870
#define RELEASED_HEARTBEAT_DELAY_MS 100
#define HEARTBEAT_TIMEOUT_MS 1000
#define STATUS_MISDIRECTED 421
#define STATUS_FENCED 409
#define N_KEYS 65536
#define LATE_GRANT_S 1.0
#define HOLD_POLL_S 0.01
#define WINDOW_MS 4000 /* of the most requests in a row of milliseconds */
#define END_AFTER_S 0.08
#define DOWN_US 700000
#define STALLED_HALF_BYTES (256 * 1024)
#define US_PER_MS 1000

struct job {
	struct httpd_request *r;
	ev_timer timer;
};

static struct ev_loop *loop;
static struct httpd httpd;
static struct fetcher fetcher;
static struct fetch heartbeat;
static bool heartbeat_in_flight;
static GString *heartbeat_answer;
static char *heartbeat_body;
static ev_timer heartbeat_timer;
static const char *node_address, *listen_address, *own_address;
static const char *service = "records", *data_centre = "hakata";
static const char *end_on; /* part of a path, or NULL */
static char **own_argv;
static ev_timer end_timer;
static char id[32];
static int64_t started_at_ms, heartbeat_number, heartbeat_sent_at_ms;
static bool draining, mute, by_call;
static char *limit; /* NULL: no limit is named */
static bool leaving;
static GArray *arrivals; /* int64_t, times of the requests, newest last */
static uint32_t most_in_window;
static int64_t n_late_grants, n_to_refuse, n_to_stall;
static double work_ms = 1;
static int64_t hold; /* no request ends before this is 0 */
static int64_t n_to_lose, n_unsigned, n_wrong_id, cold_ms;
static GArray *held_rows; /* struct grant_row, with grants by heartbeat */
static int64_t held_until_ms; /* all of held_rows */
static struct held_key {
	int64_t until_ms;
	int64_t fence;
} keys[N_KEYS]; /* with grants by call */
static GString *released;
static GPtrArray *holdings; /* lines of GET /holdings */
static GHashTable *ledger;
static uint64_t n_arrived, n_served, n_misdirected, n_cancelled, n_released,
	n_instances;

static void add_holding(int64_t from, int64_t to, int64_t until_ms)
{
	g_ptr_array_add(
		holdings,
		g_strdup_printf("%" G_GINT64_FORMAT " %" G_GINT64_FORMAT
				" %" G_GINT64_FORMAT " %" G_GINT64_FORMAT "\n",
				(gint64)clock_now_us(), (gint64)from,
				(gint64)to, (gint64)until_ms * US_PER_MS));
}

static void start_instance(void)
{
	g_snprintf(id, sizeof(id), "i-%08x", g_random_int());
	started_at_ms = g_get_real_time() / 1000 + n_instances++;
	heartbeat_number = 0;
	draining = false;
	g_array_set_size(held_rows, 0);
	g_string_set_size(released, 0);
	memset(keys, 0, sizeof(keys));
	add_holding(0, N_KEYS - 1, 0);
}

static bool holds_key(int64_t key)
{
	uint32_t i;

	if (by_call)
		return key >= 0 && key < N_KEYS &&
		       clock_now_ms() < keys[key].until_ms;
	if (clock_now_ms() >= held_until_ms)
		return false;
	for (i = 0; i < held_rows->len; i++) {
		struct grant_row *r =
			&g_array_index(held_rows, struct grant_row, i);

		if (r->from <= key && key <= r->to)
			return true;
	}
	return false;
}

/* Rows of neighbouring keys that are held under one fence. */
static json_t *call_rows_json(void)
{
	json_t *list = json_array();
	int64_t now = clock_now_ms();
	int64_t from, key;

	for (from = 0; from < N_KEYS; from = key) {
		key = from + 1;
		if (keys[from].until_ms <= now)
			continue;
		while (key < N_KEYS && keys[key].until_ms > now &&
		       keys[key].fence == keys[from].fence)
			key++;
		json_array_append_new(list,
				      json_pack("[I,I,I]", (json_int_t)from,
						(json_int_t)(key - 1),
						(json_int_t)keys[from].fence));
	}
	return list;
}

static json_t *rows_json(void)
{
	json_t *list;
	uint32_t i;

	if (by_call)
		return call_rows_json();
	list = json_array();
	if (clock_now_ms() >= held_until_ms)
		g_array_set_size(held_rows, 0);
	for (i = 0; i < held_rows->len; i++) {
		struct grant_row *r =
			&g_array_index(held_rows, struct grant_row, i);

		json_array_append_new(list,
				      json_pack("[I,I,I]", (json_int_t)r->from,
						(json_int_t)r->to,
						(json_int_t)r->fence));
	}
	return list;
}

static bool rows_contain(const GArray *rows, int64_t key)
{
	uint32_t i;

	for (i = 0; i < rows->len; i++) {
		struct grant_row *r = &g_array_index(rows, struct grant_row, i);

		if (r->from <= key && key <= r->to)
			return true;
	}
	return false;
}

/*
 * Releases the keys that an answer omits, with a handover for the next owner of
 * each range. Returns whether there were any.
 */
static bool release_omitted(const GArray *rows)
{
	bool any = false;
	uint32_t i;

	for (i = 0; i < held_rows->len; i++) {
		struct grant_row *r =
			&g_array_index(held_rows, struct grant_row, i);
		int64_t key;

		for (key = r->from; key <= r->to; key++) {
			int64_t from = key;

			if (rows_contain(rows, key))
				continue;
			while (key < r->to && !rows_contain(rows, key + 1))
				key++;
			any = true;
			n_released++;
			g_string_append_printf(released,
					       "%s[%" G_GINT64_FORMAT
					       ",%" G_GINT64_FORMAT
					       ",\"%08x%08x\"]",
					       released->len ? "," : "",
					       (gint64)from, (gint64)key,
					       g_random_int() | 1,
					       g_random_int());
		}
	}
	return any;
}

static GArray *parse_rows(json_t *list)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct grant_row));
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		struct grant_row r = { 0 };

		r.from = json_integer_value(json_array_get(item, 0));
		r.to = json_integer_value(json_array_get(item, 1));
		r.fence = json_integer_value(json_array_get(item, 2));
		g_array_append_val(rows, r);
	}
	return rows;
}

static void add_held_holdings(void)
{
	uint32_t i;

	add_holding(0, N_KEYS - 1, 0);
	for (i = 0; i < held_rows->len; i++) {
		struct grant_row *r =
			&g_array_index(held_rows, struct grant_row, i);

		add_holding(r->from, r->to, held_until_ms);
	}
}

static void schedule_heartbeat(int64_t ms)
{
	ev_timer_stop(loop, &heartbeat_timer);
	ev_timer_set(&heartbeat_timer, ms / 1000.0, 0);
	ev_timer_start(loop, &heartbeat_timer);
}

static void on_heartbeat_done(struct fetch *f, int result)
{
	json_t *o = NULL;
	int64_t next = HEARTBEAT_INTERVAL_MS;

	heartbeat_in_flight = false;
	if (!result && f->status == 200) {
		g_string_set_size(released, 0);
		o = json_loads(heartbeat_answer->str, 0, NULL);
	}
	if (json_object_get(o, "holds")) {
		GArray *rows = parse_rows(json_object_get(o, "holds"));

		held_until_ms =
			heartbeat_sent_at_ms +
			json_integer_value(json_object_get(o, "hold_ms"));
		if (release_omitted(rows))
			next = RELEASED_HEARTBEAT_DELAY_MS;
		g_array_unref(held_rows);
		held_rows = rows;
		add_held_holdings();
	}
	json_decref(o);
	g_free(heartbeat_body);
	heartbeat_body = NULL;
	schedule_heartbeat(next);
}

static bool on_heartbeat_data(struct fetch *f, const void *data, size_t len)
{
	(void)f;
	g_string_append_len(heartbeat_answer, data, len);
	return true;
}

static const struct fetch_ops heartbeat_ops = { .on_data = on_heartbeat_data,
						.on_done = on_heartbeat_done };

/* Returns the body of the next heartbeat, newly allocated. */
static char *next_heartbeat(void)
{
	g_autofree char *released_rows = NULL;
	char *text;
	json_t *o;

	o = json_pack("{s:s,s:I,s:{s:s,s:s,s:s,s:i},s:{s:s,s:I,s:i},s:o}",
		      "address", own_address, "born", (json_int_t)started_at_ms,
		      "info", "service", service, "version", "v1", "zone",
		      data_centre, "slots", 18, "status", "state",
		      draining ? "draining" : "ready", "seq",
		      (json_int_t)++heartbeat_number, "cold_left_ms",
		      (int)cold_ms, "holds", rows_json());
	if (by_call)
		json_object_del(o, "holds");
	released_rows = g_strdup_printf("[%s]", released->str);
	if (!by_call)
		json_object_set_new(o, "released",
				    json_loads(released_rows, 0, NULL));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

static void on_heartbeat(struct ev_loop *l, ev_timer *w, int events)
{
	g_autofree char *url = NULL;

	(void)l;
	(void)w;
	(void)events;
	if (heartbeat_in_flight || mute) {
		schedule_heartbeat(HEARTBEAT_INTERVAL_MS);
		return;
	}
	heartbeat_body = next_heartbeat();
	url = g_strdup_printf("http://%s/-/instances/%s/heartbeat",
			      node_address, id);
	g_string_set_size(heartbeat_answer, 0);
	heartbeat_in_flight = true;
	heartbeat_sent_at_ms = clock_now_ms();
	fetch_start(&heartbeat, &fetcher, "POST", url, NULL, heartbeat_body,
		    strlen(heartbeat_body), HEARTBEAT_TIMEOUT_MS, false,
		    &heartbeat_ops, NULL);
}

/* Sends the first half of a long answer and leaves the answer open. */
static void answer_half(struct httpd_request *r)
{
	GPtrArray *headers = headers_new();
	g_autofree char *half = g_malloc0(STALLED_HALF_BYTES);

	header_add(headers, headers_platform.attempt_id,
		   httpd_header(r, headers_platform.attempt_id));
	header_add(headers, headers_platform.signature, "ab.cd");
	httpd_stream_begin(r, 200, headers, (int64_t)2 * STALLED_HALF_BYTES);
	httpd_stream_write(r, half, STALLED_HALF_BYTES);
	g_ptr_array_unref(headers);
}

static void add_state_headers(GPtrArray *headers)
{
	if (limit)
		header_add(headers, "Server-Limit", limit);
	if (leaving)
		header_add(headers, "Server-Leaving", "1");
}

static void count_arrival(void)
{
	int64_t now = clock_now_ms();

	while (arrivals->len &&
	       g_array_index(arrivals, int64_t, 0) <= now - WINDOW_MS)
		g_array_remove_index(arrivals, 0);
	g_array_append_val(arrivals, now);
	most_in_window = MAX(most_in_window, arrivals->len);
}

static void answer(struct httpd_request *r, uint32_t status, bool ran)
{
	GPtrArray *headers = headers_new();
	const char *sent = httpd_header(r, headers_platform.attempt_id);
	g_autofree char *text = NULL;

	header_add(headers, headers_platform.attempt_id,
		   n_wrong_id > 0 && ran ? "another"
		   : sent		 ? sent
					 : "");
	if (!ran)
		header_add(headers, headers_platform.not_run, "1");
	else if (n_unsigned <= 0)
		header_add(headers, headers_platform.signature, "ab.cd");
	n_wrong_id -= ran;
	n_unsigned -= ran;
	add_state_headers(headers);
	text = g_strdup_printf("%s %s for %s, %s set\n", r->method, r->url,
			       httpd_header(r, headers_platform.caller_service),
			       httpd_header(r, headers_platform.deadline_ms)
				       ? "deadline"
				       : "no deadline");
	httpd_reply(r, status, headers, text, strlen(text));
	g_ptr_array_unref(headers);
}

static void on_job_done(struct ev_loop *l, ev_timer *w, int events)
{
	struct job *j = w->data;
	struct httpd_request *r = j->r;

	(void)events;
	if (hold) {
		ev_timer_set(w, HOLD_POLL_S, 0);
		ev_timer_start(l, w);
		return;
	}
	r->user = NULL;
	g_free(j);
	n_served++;
	if (n_to_lose > 0) {
		n_to_lose--;
		httpd_stream_begin(r, 200, NULL, 10);
		httpd_stream_end(r, false);
		return;
	}
	if (n_to_stall > 0) {
		n_to_stall--;
		answer_half(r);
		return;
	}
	answer(r, 200, true);
}

/* Closes all connections at once, as the end of the process does. */
static void on_end(struct ev_loop *l, ev_timer *w, int events)
{
	(void)l;
	(void)w;
	(void)events;
	fprintf(stderr, "%" G_GINT64_FORMAT " ended %s\n",
		(gint64)clock_now_ms(), id);
	close_range(STDERR_FILENO + 1, ~0U, 0);
	usleep(DOWN_US);
	execv("/proc/self/exe", own_argv);
	_exit(1);
}

/* Whether the server ends by this request, which then gets no answer. */
static bool ends_by(const struct httpd_request *r, const char *sent)
{
	if (!end_on || !strstr(r->path, end_on))
		return false;
	fprintf(stderr, "%" G_GINT64_FORMAT " arrived %s\n",
		(gint64)clock_now_ms(), sent ? sent : "-");
	if (!ev_is_active(&end_timer)) {
		ev_timer_init(&end_timer, on_end, END_AFTER_S, 0);
		ev_timer_start(loop, &end_timer);
	}
	return true;
}

static void on_work(struct httpd_request *r)
{
	const char *key = httpd_header(r, "X-Mesh-Shard-Key");
	const char *expect = httpd_header(r, headers_platform.expect_instance);
	const char *sent = httpd_header(r, headers_platform.attempt_id);
	struct job *j;

	n_arrived++;
	count_arrival();
	if (expect && strcmp(expect, id)) {
		/*
		 * Meant for another instance. The status alone shows that: the
		 * answer has no not-run header.
		 */
		GPtrArray *headers = headers_new();

		n_misdirected++;
		header_add(headers, headers_platform.attempt_id,
			   sent ? sent : "");
		httpd_reply(r, STATUS_MISDIRECTED, headers, "", 0);
		g_ptr_array_unref(headers);
		return;
	}
	if (key && !holds_key(g_ascii_strtoll(key, NULL, 10))) {
		n_misdirected++;
		answer(r, STATUS_MISDIRECTED, false);
		return;
	}
	if (sent)
		g_hash_table_insert(
			ledger, g_strdup(sent),
			GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(
						ledger, sent)) +
					1));
	if (ends_by(r, sent))
		return;
	j = g_new0(struct job, 1);
	j->r = r;
	ev_timer_init(&j->timer, on_job_done, work_ms / 1000.0, 0);
	j->timer.data = j;
	r->user = j;
	ev_timer_start(loop, &j->timer);
}

static void on_ledger(struct httpd_request *r)
{
	GString *out = g_string_new(NULL);
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, ledger);
	while (g_hash_table_iter_next(&it, &key, &value))
		g_string_append_printf(out, "%s %d\n", (char *)key,
				       GPOINTER_TO_INT(value));
	httpd_reply(r, 200, NULL, out->str, out->len);
	g_string_free(out, TRUE);
}

static void on_rows(struct httpd_request *r)
{
	json_t *rows = rows_json();
	char *text = json_dumps(rows, JSON_COMPACT);

	httpd_reply(r, 200, NULL, text, strlen(text));
	free(text);
	json_decref(rows);
}

static void on_holdings(struct httpd_request *r)
{
	const char *from = httpd_argument(r, "from");
	GString *out = g_string_new(NULL);
	uint32_t i;

	for (i = from ? g_ascii_strtoull(from, NULL, 10) : 0; i < holdings->len;
	     i++)
		g_string_append(out, g_ptr_array_index(holdings, i));
	httpd_reply(r, 200, NULL, out->str, out->len);
	g_string_free(out, TRUE);
}

static void on_stats(struct httpd_request *r)
{
	int64_t n_keys = 0;
	uint32_t i;
	g_autofree char *text = NULL;

	for (i = 0; by_call && i < N_KEYS; i++)
		n_keys += keys[i].until_ms > clock_now_ms();
	for (i = 0; clock_now_ms() < held_until_ms && i < held_rows->len; i++) {
		struct grant_row *row =
			&g_array_index(held_rows, struct grant_row, i);

		n_keys += row->to - row->from + 1;
	}
	text = g_strdup_printf(
		"served %" G_GUINT64_FORMAT "\nmisdirected %" G_GUINT64_FORMAT
		"\ncancelled %" G_GUINT64_FORMAT "\nlet_go %" G_GUINT64_FORMAT
		"\nkeys %" G_GINT64_FORMAT "\nbeats %" G_GINT64_FORMAT
		"\narrived %" G_GUINT64_FORMAT "\nmost_in_4s %u\n",
		(guint64)n_served, (guint64)n_misdirected, (guint64)n_cancelled,
		(guint64)n_released, (gint64)n_keys, (gint64)heartbeat_number,
		(guint64)n_arrived, most_in_window);
	httpd_reply_text(r, 200, text);
}

static int64_t int_argument(struct httpd_request *r, const char *name,
			    int64_t fallback)
{
	const char *s = httpd_argument(r, name);

	return s ? g_ascii_strtoll(s, NULL, 10) : fallback;
}

/* The answer to a heartbeat of the previous instance must not be used. */
static void cancel_heartbeat(void)
{
	if (!heartbeat_in_flight)
		return;
	fetch_cancel(&heartbeat);
	g_free(heartbeat_body);
	heartbeat_body = NULL;
	heartbeat_in_flight = false;
}

static void on_control(struct httpd_request *r)
{
	work_ms = int_argument(r, "work_ms", work_ms);
	hold = int_argument(r, "hold", hold);
	n_to_lose = int_argument(r, "lose", n_to_lose);
	n_unsigned = int_argument(r, "unsigned", n_unsigned);
	n_wrong_id = int_argument(r, "wrong_id", n_wrong_id);
	cold_ms = int_argument(r, "cold_ms", cold_ms);
	mute = int_argument(r, "mute", mute);
	draining = int_argument(r, "drain", draining);
	n_late_grants = int_argument(r, "late", n_late_grants);
	n_to_refuse = int_argument(r, "refuse", n_to_refuse);
	n_to_stall = int_argument(r, "stall", n_to_stall);
	leaving = int_argument(r, "leaving", leaving);
	if (httpd_argument(r, "limit")) {
		g_free(limit);
		limit = g_strdup(httpd_argument(r, "limit"));
		if (!limit[0])
			g_clear_pointer(&limit, g_free);
	}
	/* The window begins anew. */
	if (int_argument(r, "window", 0)) {
		g_array_set_size(arrivals, 0);
		most_in_window = 0;
	}
	if (int_argument(r, "crash", 0)) {
		cancel_heartbeat();
		start_instance();
	}
	schedule_heartbeat(0);
	httpd_reply_text(r, 200, "done\n");
}

/* A call that grants or releases a range of keys. */
struct range_call {
	int64_t from, to, fence, until_ms;
	ev_timer timer;
};

static bool parse_range_call(struct httpd_request *r, struct range_call *o)
{
	json_t *body = json_loadb((char *)r->body->data, r->body->len, 0, NULL);

	o->from = json_integer_value(json_object_get(body, "from"));
	o->to = json_integer_value(json_object_get(body, "target_version"));
	o->fence = json_integer_value(json_object_get(body, "fence"));
	o->until_ms = clock_now_ms() +
		      json_integer_value(json_object_get(body, "hold_ms"));
	json_decref(body);
	return o->from >= 0 && o->to >= o->from && o->to < N_KEYS;
}

static bool is_fenced(const struct range_call *o)
{
	int64_t key;

	for (key = o->from; key <= o->to; key++)
		if (keys[key].fence > o->fence)
			return true;
	return false;
}

static void apply_grant(const struct range_call *o)
{
	int64_t key;

	add_holding(o->from, o->to, o->until_ms);
	for (key = o->from; key <= o->to; key++) {
		keys[key].fence = o->fence;
		keys[key].until_ms = o->until_ms;
	}
}

static void on_late_grant(struct ev_loop *l, ev_timer *w, int events)
{
	struct range_call *o = w->data;

	(void)l;
	(void)events;
	if (!is_fenced(o))
		apply_grant(o);
	g_free(o);
}

static void on_grant(struct httpd_request *r)
{
	struct range_call *o = g_new0(struct range_call, 1);

	if (!parse_range_call(r, o)) {
		httpd_reply_text(r, 400, "");
	} else if (n_to_refuse > 0 || is_fenced(o)) {
		n_to_refuse -= n_to_refuse > 0;
		httpd_reply_text(r, STATUS_FENCED, "");
	} else if (n_late_grants > 0) {
		/* Leaves the request open until the sender's timeout. */
		n_late_grants--;
		ev_timer_init(&o->timer, on_late_grant, LATE_GRANT_S, 0);
		o->timer.data = o;
		ev_timer_start(loop, &o->timer);
		return;
	} else {
		apply_grant(o);
		httpd_reply_text(r, 200, "");
	}
	g_free(o);
}

static void on_release(struct httpd_request *r)
{
	GPtrArray *headers = headers_new();
	g_autofree char *token =
		g_strdup_printf("%08x%08x", g_random_int() | 1, g_random_int());
	struct range_call o;
	int64_t key;
	bool any = false;

	if (parse_range_call(r, &o))
		for (key = o.from; key <= o.to; key++) {
			any = any || keys[key].until_ms > clock_now_ms();
			keys[key].until_ms = 0;
		}
	if (any)
		add_holding(o.from, o.to, 0);
	n_released += any;
	if (any)
		header_add(headers, "X-Mesh-Handover", token);
	httpd_reply(r, 200, headers, "", 0);
	g_ptr_array_unref(headers);
}

static void on_take_heartbeat(struct httpd_request *r)
{
	g_autofree char *text = next_heartbeat();

	httpd_reply_text(r, 200, text);
}

static void on_request(void *user, struct httpd_request *r)
{
	(void)user;
	if (!strcmp(r->path, "/-/grant"))
		on_grant(r);
	else if (!strcmp(r->path, "/-/release"))
		on_release(r);
	else if (!strcmp(r->path, "/control"))
		on_control(r);
	else if (!strcmp(r->path, "/ledger"))
		on_ledger(r);
	else if (!strcmp(r->path, "/rows"))
		on_rows(r);
	else if (!strcmp(r->path, "/holdings"))
		on_holdings(r);
	else if (!strcmp(r->path, "/stats"))
		on_stats(r);
	else if (!strcmp(r->path, "/id"))
		httpd_reply_text(r, 200, id);
	else if (!strcmp(r->path, "/heartbeat"))
		on_take_heartbeat(r);
	else
		on_work(r);
}

static void on_cancelled(void *user, struct httpd_request *r)
{
	struct job *j = r->user;

	(void)user;
	if (!j)
		return;
	n_cancelled++;
	ev_timer_stop(loop, &j->timer);
	r->user = NULL;
	g_free(j);
}

static const struct httpd_ops ops = { .on_request = on_request,
				      .on_caller_left = on_cancelled,
				      .on_closed = on_cancelled };

int main(int argc, char **argv)
{
	static const struct option options[] = {
		{ "listen", required_argument, NULL, 'l' },
		{ "address", required_argument, NULL, 'a' },
		{ "node", required_argument, NULL, 'n' },
		{ "service", required_argument, NULL, 's' },
		{ "data-centre", required_argument, NULL, 'd' },
		{ "grants", required_argument, NULL, 'g' },
		{ "end-on", required_argument, NULL, 'e' },
		{ "mute", no_argument, NULL, 'm' },
		{ 0 }
	};
	int c;

	own_argv = argv;
	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (c == 'l')
			listen_address = optarg;
		else if (c == 'a')
			own_address = optarg;
		else if (c == 'n')
			node_address = optarg;
		else if (c == 's')
			service = optarg;
		else if (c == 'd')
			data_centre = optarg;
		else if (c == 'g')
			by_call = !strcmp(optarg, "call");
		else if (c == 'e')
			end_on = optarg;
		else if (c == 'm')
			mute = true;
		else
			return 2;
	}
	if (!own_address)
		own_address = listen_address;
	loop = ev_default_loop(0);
	holdings = g_ptr_array_new();
	arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
	held_rows = g_array_new(FALSE, TRUE, sizeof(struct grant_row));
	released = g_string_new(NULL);
	heartbeat_answer = g_string_new(NULL);
	ledger = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	start_instance();
	fetcher_init(&fetcher, loop, 4);
	if (httpd_init(&httpd, loop, listen_address, MAX_BODY, &ops, NULL)) {
		fprintf(stderr, "cannot listen on %s\n", listen_address);
		return 1;
	}
	httpd_raise_head_limit(&httpd, MAX_HEAD);
	ev_init(&heartbeat_timer, on_heartbeat);
	schedule_heartbeat(0);
	ev_run(loop, 0);
	return 0;
}

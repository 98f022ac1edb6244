#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <curl/curl.h>
#include <jansson.h>

#include "gate/grants.h"
#include "net/clock.h"
#include "net/fetch.h"
#include "net/headers.h"
#include "net/httpd.h"
#include "platform/request.h"

/*
 * Stands in for a backend server on the platform: heartbeats to the node beside
 * it, rows of keys held under fences for a limited time, refusal of keys that
 * it does not hold, ids echoed, and a ledger of all it ran. With --grants call
 * it is told what it holds by calls instead of by the answers to its
 * heartbeats. With --address it names another address than it listens on, for
 * a proxy between. POST /control:
 * work_ms=N, hold=1 (no work ends until hold=0), drain=1 (says that it
 * leaves), crash=1 (starts again at once with another id, holding nothing),
 * mute=0|1 (no heartbeats), extra=N (sends a
 * second answer behind each of N), unsigned=N, lose=N (runs, then closes),
 * cold_ms=N (says that it is cold for so long), late=N (leaves N calls that
 * grant keys unanswered and carries them out 1 s later), refuse=N (refuses N
 * such calls as if it had seen a higher fence), stall=N (stops halfway through
 * each of N long answers). GET /holdings?from=N tells what
 * it came to hold since the Nth line: from when, which keys, until when, in
 * microseconds of CLOCK_BOOTTIME; an end of 0 is the moment of letting go.
 */

#define MAX_BODY (8 * 1024 * 1024)
#define MAX_HEAD (1024 * 1024)
#define BEAT_MS 200
#define SOON_MS 20
#define BEAT_LIMIT_MS 1000
#define STATUS_MISDIRECTED 421
#define STATUS_FENCED 409
#define N_KEYS 65536
#define LATE_S 1.0
#define HOLD_LOOK_S 0.01
#define STALL_BYTES (256 * 1024)
#define US_PER_MS 1000

struct job {
	struct httpd_request *r;
	ev_timer timer;
};

static struct ev_loop *loop;
static struct httpd httpd;
static struct fetcher fetcher;
static struct fetch beat;
static bool beating;
static GString *beat_answer;
static char *beat_body;
static ev_timer beat_timer;
static const char *node_address, *listen_address, *own_address;
static const char *service = "records", *data_centre = "hakata";
static char id[32];
static int64_t born_ms, number, beat_sent_ms;
static bool draining, mute, by_call;
static int64_t late, refuse, stall;
static double work_ms = 1;
static int64_t hold; /* work ends once this is 0 */
static int64_t lose, without_signature, wrong_id, cold_ms;
static GArray *held; /* struct grant_row */
static int64_t held_until_ms; /* all of held, by heartbeat */
static struct held_key {
	int64_t until_ms;
	int64_t fence;
} keys[N_KEYS]; /* by call */
static GString *released;
static GPtrArray *holdings; /* lines, see above */
static GHashTable *ledger;
static uint64_t n_served, n_misdirected, n_cancelled, n_gave, n_lives;

static void note_holding(int64_t from, int64_t to, int64_t until_ms)
{
	g_ptr_array_add(
		holdings,
		g_strdup_printf("%" G_GINT64_FORMAT " %" G_GINT64_FORMAT
				" %" G_GINT64_FORMAT " %" G_GINT64_FORMAT "\n",
				(gint64)clock_now_us(), (gint64)from,
				(gint64)to, (gint64)until_ms * US_PER_MS));
}

static void start_life(void)
{
	g_snprintf(id, sizeof(id), "i-%08x", g_random_int());
	born_ms = g_get_real_time() / 1000 + n_lives++;
	number = 0;
	draining = false;
	g_array_set_size(held, 0);
	g_string_set_size(released, 0);
	memset(keys, 0, sizeof(keys));
	note_holding(0, N_KEYS - 1, 0);
}

static bool holds(int64_t key)
{
	uint32_t i;

	if (by_call)
		return key >= 0 && key < N_KEYS &&
		       clock_now_ms() < keys[key].until_ms;
	if (clock_now_ms() >= held_until_ms)
		return false;
	for (i = 0; i < held->len; i++) {
		struct grant_row *r = &g_array_index(held, struct grant_row, i);

		if (r->from <= key && key <= r->to)
			return true;
	}
	return false;
}

/* Neighbouring keys held under one fence, as rows. */
static json_t *rows_by_call(void)
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
		return rows_by_call();
	list = json_array();
	if (clock_now_ms() >= held_until_ms)
		g_array_set_size(held, 0);
	for (i = 0; i < held->len; i++) {
		struct grant_row *r = &g_array_index(held, struct grant_row, i);

		json_array_append_new(list,
				      json_pack("[I,I,I]", (json_int_t)r->from,
						(json_int_t)r->to,
						(json_int_t)r->fence));
	}
	return list;
}

static bool listed(const GArray *rows, int64_t key)
{
	uint32_t i;

	for (i = 0; i < rows->len; i++) {
		struct grant_row *r = &g_array_index(rows, struct grant_row, i);

		if (r->from <= key && key <= r->to)
			return true;
	}
	return false;
}

/* Let go what an answer left out, with a handover for whoever comes next. */
static bool let_go(const GArray *rows)
{
	bool any = false;
	uint32_t i;

	for (i = 0; i < held->len; i++) {
		struct grant_row *r = &g_array_index(held, struct grant_row, i);
		int64_t key;

		for (key = r->from; key <= r->to; key++) {
			int64_t from = key;

			if (listed(rows, key))
				continue;
			while (key < r->to && !listed(rows, key + 1))
				key++;
			any = true;
			n_gave++;
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

static GArray *read_rows(json_t *list)
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

static void note_held(void)
{
	uint32_t i;

	note_holding(0, N_KEYS - 1, 0);
	for (i = 0; i < held->len; i++) {
		struct grant_row *r = &g_array_index(held, struct grant_row, i);

		note_holding(r->from, r->to, held_until_ms);
	}
}

static void beat_in(int64_t ms)
{
	ev_timer_stop(loop, &beat_timer);
	ev_timer_set(&beat_timer, ms / 1000.0, 0);
	ev_timer_start(loop, &beat_timer);
}

static void on_beat_done(struct fetch *f, int result)
{
	json_t *o = NULL;
	int64_t next = BEAT_MS;

	beating = false;
	if (!result && f->status == 200) {
		g_string_set_size(released, 0);
		o = json_loads(beat_answer->str, 0, NULL);
	}
	if (json_object_get(o, "holds")) {
		GArray *rows = read_rows(json_object_get(o, "holds"));

		held_until_ms =
			beat_sent_ms +
			json_integer_value(json_object_get(o, "hold_ms"));
		if (let_go(rows))
			next = SOON_MS;
		g_array_unref(held);
		held = rows;
		note_held();
	}
	json_decref(o);
	g_free(beat_body);
	beat_body = NULL;
	beat_in(next);
}

static bool on_beat_data(struct fetch *f, const void *data, size_t len)
{
	(void)f;
	g_string_append_len(beat_answer, data, len);
	return true;
}

static const struct fetch_ops beat_ops = { .on_data = on_beat_data,
					   .on_done = on_beat_done };

static void on_beat(struct ev_loop *l, ev_timer *w, int events)
{
	g_autofree char *url = NULL;
	g_autofree char *gone = NULL;
	json_t *o;

	(void)l;
	(void)w;
	(void)events;
	if (beating || mute) {
		beat_in(BEAT_MS);
		return;
	}
	o = json_pack("{s:s,s:I,s:{s:s,s:s,s:s,s:i},s:{s:s,s:I,s:i},s:o}",
		      "address", own_address, "born", (json_int_t)born_ms,
		      "info", "service", service, "version", "v1", "zone",
		      data_centre, "slots", 18, "status", "state",
		      draining ? "draining" : "ready", "seq",
		      (json_int_t)++number, "cold_left_ms", (int)cold_ms,
		      "holds", rows_json());
	if (by_call)
		json_object_del(o, "holds");
	gone = g_strdup_printf("[%s]", released->str);
	if (!by_call)
		json_object_set_new(o, "released", json_loads(gone, 0, NULL));
	beat_body = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	url = g_strdup_printf("http://%s/-/instances/%s/heartbeat",
			      node_address, id);
	g_string_set_size(beat_answer, 0);
	beating = true;
	beat_sent_ms = clock_now_ms();
	fetch_start(&beat, &fetcher, "POST", url, NULL, beat_body,
		    strlen(beat_body), BEAT_LIMIT_MS, false, &beat_ops, NULL);
}

/* The first half of a long answer, and never the second. */
static void answer_half(struct httpd_request *r)
{
	GPtrArray *headers = headers_new();
	g_autofree char *half = g_malloc0(STALL_BYTES);

	header_add(headers, headers_platform.attempt_id,
		   httpd_header(r, headers_platform.attempt_id));
	header_add(headers, headers_platform.signature, "ab.cd");
	httpd_stream_begin(r, 200, headers, (int64_t)2 * STALL_BYTES);
	httpd_stream_write(r, half, STALL_BYTES);
	g_ptr_array_unref(headers);
}

static void answer(struct httpd_request *r, uint32_t status, bool ran)
{
	GPtrArray *headers = headers_new();
	const char *sent = httpd_header(r, headers_platform.attempt_id);
	g_autofree char *text = NULL;

	header_add(headers, headers_platform.attempt_id,
		   wrong_id > 0 && ran ? "another"
		   : sent	       ? sent
				       : "");
	if (!ran)
		header_add(headers, headers_platform.not_run, "1");
	else if (without_signature <= 0)
		header_add(headers, headers_platform.signature, "ab.cd");
	wrong_id -= ran;
	without_signature -= ran;
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
		ev_timer_set(w, HOLD_LOOK_S, 0);
		ev_timer_start(l, w);
		return;
	}
	r->user = NULL;
	g_free(j);
	n_served++;
	if (lose > 0) {
		lose--;
		httpd_stream_begin(r, 200, NULL, 10);
		httpd_stream_end(r, false);
		return;
	}
	if (stall > 0) {
		stall--;
		answer_half(r);
		return;
	}
	answer(r, 200, true);
}

static void on_work(struct httpd_request *r)
{
	const char *key = httpd_header(r, "X-Mesh-Shard-Key");
	const char *expect = httpd_header(r, headers_platform.expect_instance);
	const char *sent = httpd_header(r, headers_platform.attempt_id);
	struct job *j;

	if (expect && strcmp(expect, id)) {
		/* Another server than the one meant: the status alone says so. */
		GPtrArray *headers = headers_new();

		n_misdirected++;
		header_add(headers, headers_platform.attempt_id,
			   sent ? sent : "");
		httpd_reply(r, STATUS_MISDIRECTED, headers, "", 0);
		g_ptr_array_unref(headers);
		return;
	}
	if (key && !holds(g_ascii_strtoll(key, NULL, 10))) {
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
	for (i = 0; clock_now_ms() < held_until_ms && i < held->len; i++) {
		struct grant_row *row =
			&g_array_index(held, struct grant_row, i);

		n_keys += row->to - row->from + 1;
	}
	text = g_strdup_printf(
		"served %" G_GUINT64_FORMAT "\nmisdirected %" G_GUINT64_FORMAT
		"\ncancelled %" G_GUINT64_FORMAT "\nlet_go %" G_GUINT64_FORMAT
		"\nkeys %" G_GINT64_FORMAT "\nbeats %" G_GINT64_FORMAT "\n",
		(guint64)n_served, (guint64)n_misdirected, (guint64)n_cancelled,
		(guint64)n_gave, (gint64)n_keys, (gint64)number);
	httpd_reply_text(r, 200, text);
}

static int64_t argument(struct httpd_request *r, const char *name,
			int64_t fallback)
{
	const char *s = httpd_argument(r, name);

	return s ? g_ascii_strtoll(s, NULL, 10) : fallback;
}

/* An answer to the life before is not for the next one. */
static void drop_beat(void)
{
	if (!beating)
		return;
	fetch_cancel(&beat);
	g_free(beat_body);
	beat_body = NULL;
	beating = false;
}

static void on_control(struct httpd_request *r)
{
	work_ms = argument(r, "work_ms", work_ms);
	hold = argument(r, "hold", hold);
	lose = argument(r, "lose", lose);
	without_signature = argument(r, "unsigned", without_signature);
	wrong_id = argument(r, "wrong_id", wrong_id);
	cold_ms = argument(r, "cold_ms", cold_ms);
	mute = argument(r, "mute", mute);
	draining = argument(r, "drain", draining);
	late = argument(r, "late", late);
	refuse = argument(r, "refuse", refuse);
	stall = argument(r, "stall", stall);
	if (argument(r, "crash", 0)) {
		drop_beat();
		start_life();
	}
	beat_in(0);
	httpd_reply_text(r, 200, "done\n");
}

struct order {
	int64_t from, to, fence, until_ms;
	ev_timer timer;
};

static bool read_order(struct httpd_request *r, struct order *o)
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

static bool outranked(const struct order *o)
{
	int64_t key;

	for (key = o->from; key <= o->to; key++)
		if (keys[key].fence > o->fence)
			return true;
	return false;
}

static void take_order(const struct order *o)
{
	int64_t key;

	note_holding(o->from, o->to, o->until_ms);
	for (key = o->from; key <= o->to; key++) {
		keys[key].fence = o->fence;
		keys[key].until_ms = o->until_ms;
	}
}

static void on_late(struct ev_loop *l, ev_timer *w, int events)
{
	struct order *o = w->data;

	(void)l;
	(void)events;
	if (!outranked(o))
		take_order(o);
	g_free(o);
}

static void on_grant(struct httpd_request *r)
{
	struct order *o = g_new0(struct order, 1);

	if (!read_order(r, o)) {
		httpd_reply_text(r, 400, "");
	} else if (refuse > 0 || outranked(o)) {
		refuse -= refuse > 0;
		httpd_reply_text(r, STATUS_FENCED, "");
	} else if (late > 0) {
		/* The request stays open until its sender gives up. */
		late--;
		ev_timer_init(&o->timer, on_late, LATE_S, 0);
		o->timer.data = o;
		ev_timer_start(loop, &o->timer);
		return;
	} else {
		take_order(o);
		httpd_reply_text(r, 200, "");
	}
	g_free(o);
}

static void on_release(struct httpd_request *r)
{
	GPtrArray *headers = headers_new();
	g_autofree char *token =
		g_strdup_printf("%08x%08x", g_random_int() | 1, g_random_int());
	struct order o;
	int64_t key;
	bool any = false;

	if (read_order(r, &o))
		for (key = o.from; key <= o.to; key++) {
			any = any || keys[key].until_ms > clock_now_ms();
			keys[key].until_ms = 0;
		}
	if (any)
		note_holding(o.from, o.to, 0);
	n_gave += any;
	if (any)
		header_add(headers, "X-Mesh-Handover", token);
	httpd_reply(r, 200, headers, "", 0);
	g_ptr_array_unref(headers);
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
	else
		on_work(r);
}

static void on_gone(void *user, struct httpd_request *r)
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
				      .on_caller_left = on_gone,
				      .on_closed = on_gone };

int main(int argc, char **argv)
{
	static const struct option options[] = {
		{ "listen", required_argument, NULL, 'l' },
		{ "address", required_argument, NULL, 'a' },
		{ "node", required_argument, NULL, 'n' },
		{ "service", required_argument, NULL, 's' },
		{ "data-centre", required_argument, NULL, 'd' },
		{ "grants", required_argument, NULL, 'g' },
		{ 0 }
	};
	int c;

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
		else
			return 2;
	}
	if (!own_address)
		own_address = listen_address;
	loop = ev_default_loop(0);
	holdings = g_ptr_array_new();
	held = g_array_new(FALSE, TRUE, sizeof(struct grant_row));
	released = g_string_new(NULL);
	beat_answer = g_string_new(NULL);
	ledger = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	start_life();
	fetcher_init(&fetcher, loop, 4);
	if (httpd_init(&httpd, loop, listen_address, MAX_BODY, &ops, NULL)) {
		fprintf(stderr, "cannot listen on %s\n", listen_address);
		return 1;
	}
	httpd_raise_head_limit(&httpd, MAX_HEAD);
	ev_init(&beat_timer, on_beat);
	beat_in(0);
	ev_run(loop, 0);
	return 0;
}

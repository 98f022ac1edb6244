#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <curl/curl.h>
#include <jansson.h>

#include "net/clock.h"
#include "net/fetch.h"
#include "net/headers.h"
#include "net/httpd.h"

/*
 * Stands in for a backend server: it runs requests in a number of slots, has a
 * cold start, sheds requests, checks fences, stalls, and counts in a ledger how
 * often it ran each request id. POST /control takes:
 *   stall_ms=N  delays the end of work that starts in the next N ms until after
 *               them
 *   cold=1      restarts the cold start
 *   drop=N      runs the next N requests, then closes their connections without
 *               an answer
 *   work_ms=N   mean duration of a request
 *   leave=1     sends /leave to the node
 *   announce=1  sends /announce to the node
 */

#define MAX_BODY (8 * 1024 * 1024)
#define OVERLOAD_FACTOR 2
#define COLD_CAPACITY 2
#define LOAD_REPORT_INTERVAL_MS 1000

struct job {
	struct httpd_request *r;
	ev_timer timer;
	int64_t deadline_ms;
	bool probe;
	bool started;
	bool drop;
};

static struct ev_loop *loop;
static struct httpd httpd;
static GQueue *queued_jobs; /* struct job */
static GHashTable *ledger; /* id -> runs */
static GHashTable *fences; /* shard -> int64_t */
static uint32_t n_running;
static uint64_t n_served, n_shed, n_overloads, n_cancelled, n_old_fence;
static uint64_t most_in_cold;
static int64_t warm_up_since_ms;
static int64_t stall_until_ms;
static int64_t n_to_drop;
static const char *service = "records";
static const char *node_address;
static int64_t slots = 20, connections = 130, probe_ms = 1, cold_ms;
static double work_ms = 1;
static bool check_fences = true;

static int64_t capacity(void)
{
	int64_t age = clock_now_ms() - warm_up_since_ms;

	if (age >= cold_ms)
		return slots;
	return COLD_CAPACITY + (slots - COLD_CAPACITY) * age / cold_ms;
}

static void start_jobs(void);

static void count_run(struct httpd_request *r)
{
	const char *id = httpd_header(r, headers_default.idempotency);
	int *runs;

	n_served++;
	if (!id)
		return;
	runs = g_hash_table_lookup(ledger, id);
	if (!runs) {
		runs = g_new0(int, 1);
		g_hash_table_insert(ledger, g_strdup(id), runs);
	}
	(*runs)++;
}

static void send_bytes(struct httpd_request *r, int64_t n)
{
	char *data = g_malloc(n);
	int64_t i;

	for (i = 0; i < n; i++)
		data[i] = (char)(i * 31 + (i >> 8));
	httpd_reply(r, 200, NULL, data, n);
	g_free(data);
}

static void send_answer(struct job *j)
{
	struct httpd_request *r = j->r;
	const char *bytes = httpd_argument(r, "bytes");
	GPtrArray *headers;
	g_autofree char *text = NULL;

	if (j->drop) {
		/* The work is done; close the connection without an answer. */
		httpd_stream_begin(r, 200, NULL, 10);
		httpd_stream_end(r, false);
		return;
	}
	if (bytes) {
		send_bytes(r, g_ascii_strtoll(bytes, NULL, 10));
		return;
	}
	headers = headers_new();
	header_add(headers, "Content-Type", "text/plain");
	text = g_strdup_printf("%s %s by %s body %u\n", r->method, r->url,
			       service, r->body->len);
	httpd_reply(r, 200, headers, text, strlen(text));
	g_ptr_array_unref(headers);
}

static void job_free(struct job *j)
{
	ev_timer_stop(loop, &j->timer);
	if (j->started)
		n_running--;
	else
		g_queue_remove(queued_jobs, j);
	if (j->r)
		j->r->user = NULL;
	g_free(j);
}

static void on_job_done(struct ev_loop *l, ev_timer *w, int events)
{
	struct job *j = w->data;

	(void)l;
	(void)events;
	if (!j->probe)
		count_run(j->r);
	send_answer(j);
	job_free(j);
	start_jobs();
}

static double work_duration_ms(const struct job *j)
{
	int64_t stall = stall_until_ms - clock_now_ms();
	double ms = j->probe ? probe_ms : work_ms;

	ms *= 0.7 + 0.6 * g_random_double();
	/* Work is slow beyond the capacity, which is lower while cold. */
	if (n_running > capacity())
		ms *= 10;
	return ms + MAX(stall, 0);
}

static void start_jobs(void)
{
	while (n_running < slots && queued_jobs->length) {
		struct job *j = g_queue_pop_head(queued_jobs);

		j->started = true;
		n_running++;
		if (clock_now_ms() - warm_up_since_ms < cold_ms)
			most_in_cold = MAX(most_in_cold, n_running);
		if (n_running > OVERLOAD_FACTOR * capacity()) {
			/* The overloaded server restarts its cold start. */
			n_overloads++;
			warm_up_since_ms = clock_now_ms();
		}
		ev_timer_init(&j->timer, on_job_done,
			      work_duration_ms(j) / 1000.0, 0);
		j->timer.data = j;
		ev_timer_start(loop, &j->timer);
	}
}

static bool fence_is_old(struct httpd_request *r)
{
	const char *text = httpd_header(r, headers_default.fence);
	const char *shard = httpd_header(r, headers_default.shard);
	int64_t fence = text ? g_ascii_strtoll(text, NULL, 10) : 0;
	int64_t *seen;

	if (!text || !shard || !check_fences)
		return false;
	seen = g_hash_table_lookup(fences, shard);
	if (seen && *seen > fence) {
		n_old_fence++;
		return true;
	}
	if (!seen) {
		seen = g_new0(int64_t, 1);
		g_hash_table_insert(fences, g_strdup(shard), seen);
	}
	*seen = fence;
	return false;
}

static void refuse_not_run(struct httpd_request *r)
{
	GPtrArray *headers = headers_new();

	header_add(headers, headers_default.not_run, "true");
	httpd_reply(r, 503, headers, "shed\n", 5);
	g_ptr_array_unref(headers);
	n_shed++;
}

static void on_work(struct httpd_request *r, bool is_probe)
{
	struct job *j;

	if (fence_is_old(r) || queued_jobs->length >= (guint)slots) {
		refuse_not_run(r);
		return;
	}
	j = g_new0(struct job, 1);
	j->r = r;
	j->probe = is_probe;
	if (!is_probe && n_to_drop > 0) {
		n_to_drop--;
		j->drop = true;
	}
	ev_init(&j->timer, on_job_done);
	r->user = j;
	g_queue_push_tail(queued_jobs, j);
	start_jobs();
}

static void on_ledger(struct httpd_request *r)
{
	GString *out = g_string_new(NULL);
	GList *ids = g_list_sort(g_hash_table_get_keys(ledger),
				 (GCompareFunc)strcmp);
	GList *l;

	for (l = ids; l; l = l->next)
		g_string_append_printf(out, "%s %d\n", (char *)l->data,
				       *(int *)g_hash_table_lookup(ledger,
								   l->data));
	g_list_free(ids);
	httpd_reply(r, 200, NULL, out->str, out->len);
	g_string_free(out, TRUE);
}

static void on_stats(struct httpd_request *r)
{
	g_autofree char *text = g_strdup_printf(
		"served %" G_GUINT64_FORMAT "\nshed %" G_GUINT64_FORMAT
		"\noverloads %" G_GUINT64_FORMAT
		"\ncancelled %" G_GUINT64_FORMAT
		"\nold_fence %" G_GUINT64_FORMAT
		"\nmost_in_cold %" G_GUINT64_FORMAT "\nrunning %u\n",
		(guint64)n_served, (guint64)n_shed, (guint64)n_overloads,
		(guint64)n_cancelled, (guint64)n_old_fence,
		(guint64)most_in_cold, n_running);

	httpd_reply_text(r, 200, text);
}

/* The load report is up to LOAD_REPORT_INTERVAL_MS old. */
static void on_load(struct httpd_request *r)
{
	static int64_t reported_ms;
	static uint32_t reported;
	int64_t now = clock_now_ms();
	g_autofree char *text = NULL;

	if (now - reported_ms >= LOAD_REPORT_INTERVAL_MS) {
		reported_ms = now;
		reported = n_running;
	}
	text = g_strdup_printf("running %u\n", reported);
	httpd_reply_text(r, 200, text);
}

static void post_to_node(const char *path)
{
	json_t *o = json_pack("{s:s,s:I,s:I,s:I}", "service", service, "slots",
			      (json_int_t)slots, "connections",
			      (json_int_t)connections, "probe_ms",
			      (json_int_t)probe_ms);
	char *body = json_dumps(o, JSON_COMPACT);
	g_autofree char *url =
		g_strdup_printf("http://%s%s", node_address, path);
	CURL *easy = curl_easy_init();
	int tries;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 2000L);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, stderr);
	for (tries = 0; tries < 200; tries++) {
		if (curl_easy_perform(easy) == CURLE_OK)
			break;
		g_usleep(50000);
	}
	curl_easy_cleanup(easy);
	free(body);
	json_decref(o);
}

static int64_t int_argument(struct httpd_request *r, const char *name,
			    int64_t fallback)
{
	const char *s = httpd_argument(r, name);

	return s ? g_ascii_strtoll(s, NULL, 10) : fallback;
}

static void on_control(struct httpd_request *r)
{
	if (int_argument(r, "stall_ms", 0))
		stall_until_ms =
			clock_now_ms() + int_argument(r, "stall_ms", 0);
	if (int_argument(r, "cold", 0))
		warm_up_since_ms = clock_now_ms();
	n_to_drop = int_argument(r, "drop", n_to_drop);
	if (httpd_argument(r, "work_ms"))
		work_ms = g_ascii_strtod(httpd_argument(r, "work_ms"), NULL);
	httpd_reply_text(r, 200, "done\n");
	if (int_argument(r, "leave", 0))
		post_to_node("/leave");
	if (int_argument(r, "announce", 0))
		post_to_node("/announce");
}

static void on_request(void *user, struct httpd_request *r)
{
	(void)user;
	if (!strcmp(r->path, "/control"))
		on_control(r);
	else if (!strcmp(r->path, "/ledger"))
		on_ledger(r);
	else if (!strcmp(r->path, "/stats"))
		on_stats(r);
	else if (!strcmp(r->path, "/load"))
		on_load(r);
	else
		on_work(r, !strcmp(r->path, "/health"));
}

static void on_closed(void *user, struct httpd_request *r)
{
	struct job *j = r->user;

	(void)user;
	if (!j)
		return;
	n_cancelled++;
	j->r = NULL;
	job_free(j);
	start_jobs();
}

static const struct httpd_ops ops = { .on_request = on_request,
				      .on_closed = on_closed };

static const struct option options[] = {
	{ "listen", required_argument, NULL, 'l' },
	{ "node", required_argument, NULL, 'n' },
	{ "service", required_argument, NULL, 's' },
	{ "slots", required_argument, NULL, 'S' },
	{ "connections", required_argument, NULL, 'c' },
	{ "probe-ms", required_argument, NULL, 'p' },
	{ "work-ms", required_argument, NULL, 'w' },
	{ "cold-ms", required_argument, NULL, 'C' },
	{ "no-check", no_argument, NULL, 'N' },
	{ 0 }
};

int main(int argc, char **argv)
{
	const char *address = "127.0.0.1:7500";
	int c;

	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		switch (c) {
		case 'l':
			address = optarg;
			break;
		case 'n':
			node_address = optarg;
			break;
		case 's':
			service = optarg;
			break;
		case 'S':
			slots = atoll(optarg);
			break;
		case 'c':
			connections = atoll(optarg);
			break;
		case 'p':
			probe_ms = atoll(optarg);
			break;
		case 'w':
			work_ms = atof(optarg);
			break;
		case 'C':
			cold_ms = atoll(optarg);
			break;
		case 'N':
			check_fences = false;
			break;
		default:
			return 2;
		}
	}
	loop = ev_default_loop(0);
	queued_jobs = g_queue_new();
	ledger = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fences = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	warm_up_since_ms = clock_now_ms();
	if (httpd_init(&httpd, loop, address, MAX_BODY, &ops, NULL)) {
		fprintf(stderr, "cannot listen on %s\n", address);
		return 1;
	}
	if (node_address)
		post_to_node("/announce");
	ev_run(loop, 0);
	return 0;
}

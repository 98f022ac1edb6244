#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/clock.h"
#include "net/fetch.h"
#include "net/headers.h"

/*
 * Load generator: sends requests at a constant rate, whether or not earlier
 * ones have been answered, and prints the outcomes, latencies and the longest
 * time that a key went without an answer. %d in the path stands for the key.
 * Where backend servers sign their answers, --signature names the header: a
 * success without it is counted as wrong.
 */

#define MAX_TARGETS 64
#define MAX_KEYS 4096
#define TIMEOUT_MS 10000

struct call {
	struct fetch fetch;
	int64_t started_at_us;
	uint32_t key;
	char id[64];
};

static struct ev_loop *loop;
static struct fetcher fetcher;
static const char *targets[MAX_TARGETS];
static uint32_t n_targets;
static const char *path = "/records/%d";
static const char *method = "GET";
static double rate = 100, seconds = 5;
static uint32_t n_keys = 64;
static bool with_ids;
static const char *print_ids;
static const char *signature; /* header of each success, or NULL */
static int64_t run_started_at_us;
static uint64_t n_sent, n_answered, n_not_run, n_unknown, n_other, n_failed,
	n_wrong;
static uint32_t n_in_flight;
static GArray *latencies; /* double, ms */
static int64_t last_answered_at_us[MAX_KEYS], longest_gap_us[MAX_KEYS];
static FILE *id_file;

static void record_answer(struct call *c, int64_t now)
{
	double ms = (now - c->started_at_us) / 1000.0;
	int64_t gap = now - last_answered_at_us[c->key];

	n_answered++;
	g_array_append_val(latencies, ms);
	longest_gap_us[c->key] = MAX(longest_gap_us[c->key], gap);
	last_answered_at_us[c->key] = now;
}

static void on_call_done(struct fetch *f, int result)
{
	struct call *c = f->user;
	const char *outcome =
		header_find(f->answer->headers, headers_default.outcome);
	const char *name = "failed";

	n_in_flight--;
	if (result) {
		n_failed++;
	} else if (f->status < 300 && signature &&
		   !header_find(f->answer->headers, signature)) {
		name = "wrong";
		n_wrong++;
	} else if (f->status < 300) {
		name = "answered";
		record_answer(c, clock_now_us());
	} else if (outcome && !strcmp(outcome, OUTCOME_NOT_RUN)) {
		name = OUTCOME_NOT_RUN;
		n_not_run++;
	} else if (outcome && !strcmp(outcome, OUTCOME_UNKNOWN)) {
		name = OUTCOME_UNKNOWN;
		n_unknown++;
	} else {
		name = "other";
		n_other++;
	}
	if (id_file && c->id[0])
		fprintf(id_file, "%s %s\n", c->id, name);
	g_free(c);
}

static const struct fetch_ops call_ops = { .on_done = on_call_done };

static void send_call(void)
{
	struct call *c = g_new0(struct call, 1);
	const char *target = targets[(n_sent / n_keys + n_sent) % n_targets];
	g_autofree char *call_path = NULL;
	g_autofree char *url = NULL;
	GPtrArray *headers = headers_new();
	const char *key_mark = strstr(path, "%d");

	c->key = n_sent % n_keys;
	call_path = key_mark ? g_strdup_printf("%.*s%u%s",
					       (int)(key_mark - path), path,
					       c->key, key_mark + 2)
			     : g_strdup(path);
	url = g_strdup_printf("http://%s%s", target, call_path);
	if (with_ids) {
		g_snprintf(c->id, sizeof(c->id), "id-%08x-%" G_GUINT64_FORMAT,
			   g_random_int(), (guint64)n_sent);
		header_add(headers, headers_default.idempotency, c->id);
	}
	c->started_at_us = clock_now_us();
	n_sent++;
	n_in_flight++;
	fetch_start(&c->fetch, &fetcher, method, url, headers, "", 0,
		    TIMEOUT_MS, false, &call_ops, c);
	g_ptr_array_unref(headers);
}

static void on_tick(struct ev_loop *l, ev_timer *w, int events)
{
	double age = (clock_now_us() - run_started_at_us) / 1e6;

	(void)events;
	if (age >= seconds) {
		if (!n_in_flight || age > seconds + TIMEOUT_MS / 1000.0)
			ev_break(l, EVBREAK_ALL);
		return;
	}
	(void)w;
	while (n_sent < age * rate)
		send_call();
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double percentile(double p)
{
	if (!latencies->len)
		return 0;
	return g_array_index(latencies, double,
			     (guint)(p * (latencies->len - 1)));
}

static void print_report(void)
{
	int64_t run_ends_at_us = run_started_at_us + (int64_t)(seconds * 1e6);
	int64_t worst = 0;
	uint32_t i;

	g_array_sort(latencies, compare_doubles);
	for (i = 0; i < n_keys; i++)
		worst = MAX(worst,
			    MAX(longest_gap_us[i],
				run_ends_at_us - last_answered_at_us[i]));
	printf("sent %" G_GUINT64_FORMAT " answered %" G_GUINT64_FORMAT
	       " not_run %" G_GUINT64_FORMAT " unknown %" G_GUINT64_FORMAT
	       " other %" G_GUINT64_FORMAT " failed %" G_GUINT64_FORMAT "\n",
	       (guint64)n_sent, (guint64)n_answered, (guint64)n_not_run,
	       (guint64)n_unknown, (guint64)n_other, (guint64)n_failed);
	if (signature)
		printf("wrong %" G_GUINT64_FORMAT "\n", (guint64)n_wrong);
	printf("p50_ms %.2f p99_ms %.2f p999_ms %.2f max_ms %.2f\n",
	       percentile(0.5), percentile(0.99), percentile(0.999),
	       percentile(1));
	printf("longest_gap_ms %.0f\n", worst / 1000.0);
}

static const struct option options[] = {
	{ "target", required_argument, NULL, 't' },
	{ "rate", required_argument, NULL, 'r' },
	{ "seconds", required_argument, NULL, 's' },
	{ "path", required_argument, NULL, 'p' },
	{ "method", required_argument, NULL, 'm' },
	{ "keys", required_argument, NULL, 'k' },
	{ "ids", no_argument, NULL, 'i' },
	{ "print-ids", required_argument, NULL, 'P' },
	{ "signature", required_argument, NULL, 'S' },
	{ 0 }
};

int main(int argc, char **argv)
{
	ev_timer tick;
	uint32_t i;
	int c;

	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		switch (c) {
		case 't':
			if (n_targets < MAX_TARGETS)
				targets[n_targets++] = optarg;
			break;
		case 'r':
			rate = atof(optarg);
			break;
		case 's':
			seconds = atof(optarg);
			break;
		case 'p':
			path = optarg;
			break;
		case 'm':
			method = optarg;
			break;
		case 'k':
			n_keys = CLAMP(atoi(optarg), 1, MAX_KEYS);
			break;
		case 'i':
			with_ids = true;
			break;
		case 'P':
			print_ids = optarg;
			break;
		case 'S':
			signature = optarg;
			break;
		default:
			return 2;
		}
	}
	if (!n_targets)
		targets[n_targets++] = "127.0.0.1:7200";
	if (print_ids)
		id_file = fopen(print_ids, "w");
	loop = ev_default_loop(0);
	fetcher_init(&fetcher, loop, 1024);
	latencies = g_array_new(FALSE, FALSE, sizeof(double));
	run_started_at_us = clock_now_us();
	for (i = 0; i < MAX_KEYS; i++)
		last_answered_at_us[i] = run_started_at_us;
	ev_timer_init(&tick, on_tick, 0, 0.001);
	ev_timer_start(loop, &tick);
	ev_run(loop, 0);
	print_report();
	if (id_file)
		fclose(id_file);
	return 0;
}

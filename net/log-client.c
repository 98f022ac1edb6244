#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "net/log-client.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/histogram.h"
#include "util/result.h"

#define APPEND_TIMEOUT_MS 3000
#define RETRY_MIN_MS 100
#define DEFAULT_WAIT_MS 400
#define LOG_CONNECTIONS 8
#define MAX_APPENDS 64
/*
 * Bounds of the time allowed for an answer beyond wait_ms. It usually takes
 * some milliseconds. The time doubles after each time-out, for a slow log.
 */
#define ANSWER_TIMEOUT_MIN_MS 1000
#define ANSWER_TIMEOUT_MAX_MS 8000
/* A read younger than this may still return the expected record. */
#define RESTART_MIN_AGE_MS 500
/*
 * Delay of the read that resolves an append in doubt: the clock advances, so
 * that the read counts as sent after the append came to be in doubt.
 */
#define IN_DOUBT_READ_DELAY_MS 5
/* Longer than net/fetch takes to find a dead connection by keepalive. */
#define NEW_CONNECTIONS_MS 6000

static bool has_append_in_doubt(const struct log_client *c)
{
	uint32_t i;

	for (i = 0; i < c->appends->len; i++)
		if (((struct log_append *)g_ptr_array_index(c->appends, i))
			    ->in_doubt)
			return true;
	return false;
}

static void start_overdue_timer(struct log_client *c)
{
	int64_t ms =
		c->read_wait_ms + answer_delay_overdue_ms(&c->answer_delay);

	ev_timer_stop(c->loop, &c->overdue_timer);
	ev_timer_set(&c->overdue_timer, ms / 1000.0, 0);
	ev_timer_start(c->loop, &c->overdue_timer);
}

static void send_read(struct log_client *c, int64_t wait_ms)
{
	c->reading = true;
	c->read_restarted = false;
	c->read_sent_at_ms = clock_now_ms();
	c->read_wait_ms = wait_ms;
	c->read_from = c->scanning ? c->scan_from : c->next;
	COUNT(log_reads);
	if (c->scanning && c->ops->recover) {
		c->ops->recover(c);
		return;
	}
	start_overdue_timer(c);
	c->ops->read(c, c->read_from, wait_ms);
}

static void start_read(struct log_client *c)
{
	if (!c->reading)
		send_read(c, has_append_in_doubt(c) ? 0 : c->wait_ms);
}

static void cancel_read(struct log_client *c)
{
	if (c->reading)
		fetch_cancel(&c->read_fetch);
	c->reading = false;
	ev_timer_stop(c->loop, &c->overdue_timer);
}

bool log_client_needs_new_connection(const struct log_client *c)
{
	return clock_now_ms() < c->new_connections_until_ms;
}

static void distrust_connections(struct log_client *c)
{
	c->new_connections_until_ms = clock_now_ms() + NEW_CONNECTIONS_MS;
}

void log_client_read_overdue(struct log_client *c)
{
	if (!c->reading || c->read_restarted || c->scanning ||
	    c->read_fetch.head_done)
		return;
	COUNT(log_reads_overdue);
	EVENT(store_read_renewed, NULL,
	      "\"stream\":\"%s\",\"why\":\"overdue\",\"next\":%" PRId64
	      ",\"age_ms\":%" PRId64,
	      c->name, c->next, clock_now_ms() - c->read_sent_at_ms);
	cancel_read(c);
	ev_timer_stop(c->loop, &c->timer);
	distrust_connections(c);
	send_read(c, 0);
	c->read_restarted = true;
}

static void on_overdue(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	log_client_read_overdue(w->data);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	start_read(w->data);
}

static void schedule_read(struct log_client *c, int64_t ms)
{
	ev_timer_stop(c->loop, &c->timer);
	ev_timer_set(&c->timer, ms / 1000.0, 0);
	ev_timer_start(c->loop, &c->timer);
}

void log_client_init(struct log_client *c, struct ev_loop *loop,
		     const char *address, const struct log_ops *ops,
		     const struct log_handlers *handlers, void *user)
{
	memset(c, 0, sizeof(*c));
	c->loop = loop;
	c->ops = ops;
	c->handlers = handlers;
	c->user = user;
	c->wait_ms = DEFAULT_WAIT_MS;
	c->answer_timeout_ms = ANSWER_TIMEOUT_MIN_MS;
	c->retry_max_ms = RETRY_MAX_MS;
	c->name = "log";
	g_strlcpy(c->address, address, sizeof(c->address));
	g_snprintf(c->writer, sizeof(c->writer), "%08x%08x", g_random_int(),
		   g_random_int());
	c->appends = g_ptr_array_new();
	c->read_answer = g_string_new(NULL);
	fetcher_init(&c->fetcher, loop, LOG_CONNECTIONS);
	ev_init(&c->timer, on_timer);
	c->timer.data = c;
	ev_init(&c->overdue_timer, on_overdue);
	c->overdue_timer.data = c;
	schedule_read(c, 0);
}

static void append_free(struct log_append *a)
{
	g_ptr_array_remove_fast(a->client->appends, a);
	g_string_free(a->body, TRUE);
	g_string_free(a->answer, TRUE);
	g_free(a);
}

void log_client_finish(struct log_client *c)
{
	ev_timer_stop(c->loop, &c->timer);
	cancel_read(c);
	while (c->appends->len) {
		struct log_append *a = g_ptr_array_index(c->appends, 0);

		fetch_cancel(&a->fetch);
		append_free(a);
	}
	g_ptr_array_unref(c->appends);
	g_string_free(c->read_answer, TRUE);
	json_decref(c->newest_records);
	fetcher_finish(&c->fetcher);
}

void log_client_recover_first(struct log_client *c)
{
	c->scanning = c->ops->recover;
}

bool log_client_up(const struct log_client *c)
{
	return !c->n_failures;
}

void log_client_seek(struct log_client *c, int64_t next)
{
	c->scanning = false;
	c->next = next;
}

void log_client_scan(struct log_client *c, int64_t from)
{
	c->scanning = true;
	c->scan_from = from;
}

void log_client_read_now(struct log_client *c)
{
	if (c->reading)
		return;
	ev_timer_stop(c->loop, &c->timer);
	start_read(c);
}

void log_client_set_wait(struct log_client *c, int64_t wait_ms)
{
	int64_t ends_ms = c->read_sent_at_ms + c->read_wait_ms;

	c->wait_ms = wait_ms;
	if (!c->reading || c->scanning || c->read_fetch.head_done ||
	    ends_ms <= clock_now_ms() + wait_ms)
		return;
	cancel_read(c);
	send_read(c, wait_ms);
}

/*
 * Only a read sent after the answer was lost shows whether the append took
 * effect, and until then no other record of its kind is appended. The current
 * read may wait for new records for seconds, so it is cancelled.
 */
static void read_to_resolve_doubt(struct log_client *c)
{
	cancel_read(c);
	schedule_read(c, IN_DOUBT_READ_DELAY_MS);
}

/*
 * When the store has stopped, or the connection is dead without a reset, a read
 * that waits for new records ends only at its time-out, after ten seconds,
 * while other nodes read every change. A node detects this by a peer that has
 * applied more records. A new read is answered at once.
 */
void log_client_restart_read(struct log_client *c)
{
	/* A scan takes long, and returns the new records by itself. */
	if (c->scanning)
		return;
	if (!c->reading && !c->n_failures)
		log_client_read_now(c);
	if (!c->reading || c->read_restarted ||
	    clock_now_ms() - c->read_sent_at_ms < RESTART_MIN_AGE_MS)
		return;
	COUNT(log_reads_renewed);
	EVENT(store_read_renewed, NULL,
	      "\"stream\":\"%s\",\"why\":\"stalled\",\"next\":%" PRId64
	      ",\"age_ms\":%" PRId64,
	      c->name, c->next, clock_now_ms() - c->read_sent_at_ms);
	cancel_read(c);
	ev_timer_stop(c->loop, &c->timer);
	start_read(c);
	c->read_restarted = true;
}

void log_client_on_other_stream_up(struct log_client *c)
{
	c->other_stream_up = true;
	distrust_connections(c);
	if (c->reading)
		log_client_restart_read(c);
	else
		log_client_read_now(c);
}

void log_client_pause(struct log_client *c)
{
	if (c->scanning || has_append_in_doubt(c))
		return;
	cancel_read(c);
	schedule_read(c, c->idle_interval_ms);
}

static void end_append(struct log_append *a, int result)
{
	struct log_client *c = a->client;
	int kind = a->kind;
	void *user = a->user;

	c->ended_conflicts = a->n_conflicts;
	append_free(a);
	c->handlers->on_appended(c->user, kind, user, result);
}

static void on_append_found(struct log_client *c, const char *id)
{
	uint32_t i;

	for (i = 0; i < c->appends->len; i++) {
		struct log_append *a = g_ptr_array_index(c->appends, i);

		if (strcmp(a->id, id))
			continue;
		fetch_cancel(&a->fetch);
		end_append(a, RESULT_OK);
		return;
	}
}

static void resolve_appends_in_doubt(struct log_client *c)
{
	uint32_t i;

	/*
	 * The answer may be lost after the write took effect. Only a read that
	 * was sent after the answer was lost, and reached the end of the log
	 * without finding the record, shows that the append had no effect.
	 */
	for (i = c->appends->len; i-- > 0;) {
		struct log_append *a = g_ptr_array_index(c->appends, i);

		if (a->in_doubt && c->read_sent_at_ms > a->in_doubt_since_ms)
			end_append(a, RESULT_UNREACHABLE);
	}
}

static void process_records(struct log_client *c, const struct log_batch *b)
{
	json_t *item;
	size_t i;

	json_array_foreach(b->records, i, item)
	{
		int64_t offset =
			json_integer_value(json_object_get(item, "offset"));
		const char *id = json_string_value(json_object_get(item, "id"));

		if (!id || !json_object_get(item, "record"))
			continue;
		if (c->scanning)
			c->scan_from = offset + 1;
		c->handlers->on_record(c->user, offset, id,
				       json_object_get(item, "record"));
		on_append_found(c, id);
	}
}

void log_client_read_done(struct log_client *c, struct log_batch *b)
{
	int64_t reached;
	bool has_news, regained;

	c->reading = false;
	ev_timer_stop(c->loop, &c->overdue_timer);
	if (!b->result && !c->scanning)
		answer_delay_on_answer(&c->answer_delay, c->read_wait_ms,
				       clock_now_ms() - c->read_sent_at_ms,
				       json_array_size(b->records));
	if (b->result == RESULT_TRIMMED) {
		c->n_failures = 0;
		c->handlers->on_trimmed(c->user, b->first);
		schedule_read(c, RETRY_MIN_MS);
		return;
	}
	if (b->result == RESULT_TIMEOUT)
		c->answer_timeout_ms =
			MIN(c->answer_timeout_ms * 2, ANSWER_TIMEOUT_MAX_MS);
	else if (!b->result)
		c->answer_timeout_ms =
			MAX(c->answer_timeout_ms / 2, ANSWER_TIMEOUT_MIN_MS);
	if (b->result) {
		COUNT(log_failures);
		if (!c->n_failures)
			EVENT(store_lost, NULL,
			      "\"stream\":\"%s\",\"why\":\"%s\","
			      "\"next\":%" PRId64,
			      c->name, result_name(b->result), c->next);
		c->n_failures++;
		c->retry_ms =
			CLAMP(c->retry_ms * 2, RETRY_MIN_MS, c->retry_max_ms);
		schedule_read(c, g_random_int_range(c->retry_ms / 2,
						    c->retry_ms + 1));
		return;
	}
	/* The other stream caused this read: it need not be notified. */
	regained = !c->other_stream_up && (c->n_failures || c->read_restarted);
	if (c->n_failures)
		EVENT(store_regained, NULL,
		      "\"stream\":\"%s\",\"failures\":%" PRId64
		      ",\"end\":%" PRId64,
		      c->name, c->n_failures, b->next);
	c->n_failures = 0;
	c->read_restarted = false;
	c->other_stream_up = false;
	c->retry_ms = 0;
	if (regained && c->handlers->on_regained)
		c->handlers->on_regained(c->user);
	process_records(c, b);
	if (c->scanning && c->ops->recover)
		c->scan_from = b->next;
	has_news = json_array_size(b->records);
	reached = c->scanning ? c->scan_from : c->next;
	if (reached < b->next) {
		schedule_read(c, 0);
		return;
	}
	resolve_appends_in_doubt(c);
	c->handlers->on_tail(c->user, c->read_sent_at_ms);
	if (c->scanning || has_append_in_doubt(c))
		schedule_read(c, 0);
	else
		schedule_read(c, MAX(c->idle_interval_ms,
				     has_news ? c->batch_delay_ms : 0));
}

void log_client_append_done(struct log_append *a, int result, bool sent)
{
	MEASURE(store_append_ms, clock_now_ms() - a->started_at_ms);
	if (result == RESULT_OK) {
		end_append(a, RESULT_OK);
		return;
	}
	if (result == RESULT_CONFLICT) {
		/* The records that came first must be read before a retry. */
		log_client_read_now(a->client);
		end_append(a, result);
		return;
	}
	COUNT(log_failures);
	if (!sent) {
		end_append(a, result);
		return;
	}
	COUNT(log_append_answers_lost);
	a->in_doubt = true;
	a->in_doubt_since_ms = clock_now_ms();
	read_to_resolve_doubt(a->client);
}

void log_client_append(struct log_client *c, int kind, bool any_offset,
		       void *append_user, json_t *record)
{
	struct log_append *a;
	json_t *body;
	char *text;

	if (c->appends->len >= MAX_APPENDS) {
		json_decref(record);
		c->handlers->on_appended(c->user, kind, append_user,
					 RESULT_OVERLOAD);
		return;
	}
	a = g_new0(struct log_append, 1);
	a->client = c;
	a->started_at_ms = clock_now_ms();
	a->kind = kind;
	a->any_offset = any_offset;
	a->user = append_user;
	a->answer = g_string_new(NULL);
	g_snprintf(a->id, sizeof(a->id), "%s-%" G_GUINT64_FORMAT, c->writer,
		   (guint64)c->n_appends++);
	body = json_pack("{s:s,s:o}", "id", a->id, "record", record);
	text = json_dumps(body, JSON_COMPACT);
	a->body = g_string_new(text);
	free(text);
	json_decref(body);
	g_ptr_array_add(c->appends, a);
	COUNT(log_appends);
	c->ops->append(c, a);
}

bool log_client_add_answer(GString *answer, const void *data, size_t len)
{
	if (answer->len + len > LOG_ANSWER_MAX_BYTES)
		return false;
	g_string_append_len(answer, data, (gssize)len);
	return true;
}

static bool on_read_data(struct fetch *f, const void *data, size_t len)
{
	struct log_client *c = f->user;

	return log_client_add_answer(c->read_answer, data, len);
}

/* Reads the answer to a read. Without the log's end, nothing is known. */
static int read_batch(long status, const json_t *answer, struct log_batch *b)
{
	json_t *first = json_object_get(answer, "first");
	json_t *next = json_object_get(answer, "next");

	b->first = json_integer_value(first);
	b->next = json_integer_value(next);
	b->records = json_object_get(answer, "records");
	if (status == 410)
		return json_is_integer(first) ? RESULT_TRIMMED : RESULT_INVALID;
	return json_is_integer(next) && json_is_array(b->records)
		       ? RESULT_OK
		       : RESULT_INVALID;
}

static void on_read_done(struct fetch *f, int result)
{
	struct log_client *c = f->user;
	struct log_batch b = { .result = result };
	json_t *answer = NULL;

	if (!result && (f->status == 200 || f->status == 410))
		answer = json_loadb(c->read_answer->str, c->read_answer->len, 0,
				    NULL);
	if (answer)
		b.result = read_batch(f->status, answer, &b);
	else
		b.result = result ? result : RESULT_IO;
	log_client_read_done(c, &b);
	json_decref(answer);
}

static const struct fetch_ops read_ops = {
	.on_data = on_read_data,
	.on_done = on_read_done,
};

static void http_read(struct log_client *c, int64_t from, int64_t wait_ms)
{
	g_autofree char *url =
		g_strdup_printf("http://%s/read?from=%" G_GINT64_FORMAT
				"&wait_ms=%" G_GINT64_FORMAT,
				c->address, (gint64)from, (gint64)wait_ms);

	g_string_set_size(c->read_answer, 0);
	fetch_start(&c->read_fetch, &c->fetcher, "GET", url, NULL, NULL, 0,
		    wait_ms + c->answer_timeout_ms,
		    log_client_needs_new_connection(c), &read_ops, c);
}

static bool on_append_data(struct fetch *f, const void *data, size_t len)
{
	struct log_append *a = f->user;

	return log_client_add_answer(a->answer, data, len);
}

static void on_append_done(struct fetch *f, int result)
{
	if (!result && f->status != 200)
		result = RESULT_IO;
	log_client_append_done(f->user, result, f->sent);
}

static const struct fetch_ops append_ops = {
	.on_data = on_append_data,
	.on_done = on_append_done,
};

static void http_append(struct log_client *c, struct log_append *a)
{
	g_autofree char *url = g_strdup_printf("http://%s/append", c->address);

	/*
	 * A new connection: on a kept one that is dead, libcurl would resend
	 * the append.
	 */
	fetch_start(&a->fetch, &c->fetcher, "POST", url, NULL, a->body->str,
		    a->body->len, APPEND_TIMEOUT_MS, true, &append_ops, a);
}

const struct log_ops log_http_ops = {
	.read = http_read,
	.append = http_append,
};

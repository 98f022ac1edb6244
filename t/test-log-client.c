#include <glib.h>

#include "net/clock.h"
#include "net/log-client.h"
#include "util/result.h"

/* When the log client reads, and when it starts a read again. */

static uint32_t n_recovers;
static uint32_t n_reads;
static uint32_t n_regained;
static int64_t last_wait_ms;
static bool last_on_new_connection;

static void fake_read(struct log_client *c, int64_t from, int64_t wait_ms)
{
	n_reads++;
	last_wait_ms = wait_ms;
	last_on_new_connection = log_client_needs_new_connection(c);
	(void)from;
}

static void fake_recover(struct log_client *c)
{
	(void)c;
	n_recovers++;
}

static const struct log_ops ops = { .read = fake_read,
				    .recover = fake_recover };
static const struct log_handlers handlers;

/*
 * A read of the whole log must not be restarted when peers know newer records:
 * it takes long and will include those records.
 */
static void test_recovery_is_not_restarted(void)
{
	struct ev_loop *loop = ev_default_loop(0);
	struct log_client c;

	log_client_init(&c, loop, "127.0.0.1:1", &ops, &handlers, NULL);
	log_client_recover_first(&c);
	ev_run(loop, EVRUN_ONCE);
	g_assert_cmpuint(n_recovers, ==, 1);
	c.read_sent_at_ms = clock_now_ms() - 60000;
	log_client_restart_read(&c);
	g_assert_cmpuint(n_recovers, ==, 1);
	log_client_finish(&c);
}

static void apply_record(void *user, int64_t offset, const char *id,
			 const json_t *record)
{
	struct log_client *c = user;

	(void)id;
	(void)record;
	c->next = offset + 1;
}

static void ignore_tail(void *user, int64_t sent_ms)
{
	(void)user;
	(void)sent_ms;
}

static void count_regained(void *user)
{
	(void)user;
	n_regained++;
}

static const struct log_handlers record_handlers = { .on_record = apply_record,
						     .on_tail = ignore_tail,
						     .on_regained =
							     count_regained };

/* Ends a read that brings n_records records. */
static void finish_read(struct log_client *c, uint32_t n_records)
{
	struct log_batch b = { .records = json_array() };
	int64_t offset;

	b.next = c->next + n_records;
	for (offset = c->next; offset < b.next; offset++)
		json_array_append_new(b.records,
				      json_pack("{s:I,s:s,s:{}}", "offset",
						(json_int_t)offset, "id", "x",
						"record"));
	log_client_read_done(c, &b);
	json_decref(b.records);
}

/*
 * If readers read each new record at once, every record would wake every
 * reader. Records that follow within gather_ms share a read.
 */
static void test_new_records_are_batched(void)
{
	struct ev_loop *loop = ev_default_loop(0);
	struct log_client c;

	log_client_init(&c, loop, "127.0.0.1:1", &ops, &record_handlers, &c);
	c.batch_delay_ms = 100;
	ev_run(loop, EVRUN_ONCE);
	finish_read(&c, 1);
	g_assert_cmpfloat(ev_timer_remaining(loop, &c.timer), >, 0.09);
	finish_read(&c, 0);
	g_assert_cmpfloat(ev_timer_remaining(loop, &c.timer), <, 0.01);
	log_client_finish(&c);
}

/*
 * A node that relays records sets a smaller maximum for the delay between
 * retries, to detect sooner that the store answers again.
 */
static void test_retries_are_bounded(void)
{
	struct log_batch unreachable = { .result = RESULT_IO };
	struct ev_loop *loop = ev_default_loop(0);
	struct log_client c;
	uint32_t i;

	log_client_init(&c, loop, "127.0.0.1:1", &ops, &record_handlers, &c);
	c.retry_max_ms = 500;
	ev_run(loop, EVRUN_ONCE);
	for (i = 0; i < 12; i++)
		log_client_read_done(&c, &unreachable);
	g_assert_cmpfloat(ev_timer_remaining(loop, &c.timer), <=, 0.51);
	log_client_finish(&c);
}

/*
 * One stream has learned that the store answers again. The other must then read
 * at once instead of waiting for its next retry.
 */
static void test_other_stream_up_restarts_read(void)
{
	struct log_batch unreachable = { .result = RESULT_IO };
	struct ev_loop *loop = ev_default_loop(0);
	struct log_client c;
	uint32_t before;

	log_client_init(&c, loop, "127.0.0.1:1", &ops, &record_handlers, &c);
	ev_run(loop, EVRUN_ONCE);
	log_client_read_done(&c, &unreachable);
	before = n_reads;
	log_client_on_other_stream_up(&c);
	g_assert_cmpuint(n_reads, ==, before + 1);
	n_regained = 0;
	finish_read(&c, 0);
	g_assert_cmpuint(n_regained, ==, 0);
	log_client_read_done(&c, &unreachable);
	finish_read(&c, 0);
	finish_read(&c, 0);
	g_assert_cmpuint(n_regained, ==, 1);
	log_client_finish(&c);
}

/*
 * A connection to the store has turned dead without a reset. The read that waits
 * there is sent again, once and on a new connection, and the other stream too.
 */
static void test_overdue_read_is_sent_again(void)
{
	struct ev_loop *loop = ev_default_loop(0);
	struct log_client c;
	uint32_t before;

	log_client_init(&c, loop, "127.0.0.1:1", &ops, &record_handlers, &c);
	c.wait_ms = 3000;
	ev_run(loop, EVRUN_ONCE);
	g_assert_cmpint(last_wait_ms, ==, 3000);
	g_assert_false(last_on_new_connection);
	g_assert_cmpfloat(ev_timer_remaining(loop, &c.overdue_timer), >, 3.0);
	g_assert_cmpfloat(ev_timer_remaining(loop, &c.overdue_timer), <, 3.5);
	before = n_reads;
	log_client_read_overdue(&c);
	g_assert_cmpuint(n_reads, ==, before + 1);
	g_assert_cmpint(last_wait_ms, ==, 0);
	g_assert_true(last_on_new_connection);
	log_client_read_overdue(&c);
	g_assert_cmpuint(n_reads, ==, before + 1);
	n_regained = 0;
	finish_read(&c, 1);
	g_assert_cmpuint(n_regained, ==, 1);
	log_client_finish(&c);
}

/* An answer that is arriving, if slowly, must not be given up. */
static void test_arriving_answer_is_not_overdue(void)
{
	struct ev_loop *loop = ev_default_loop(0);
	struct log_client c;
	uint32_t before;

	log_client_init(&c, loop, "127.0.0.1:1", &ops, &record_handlers, &c);
	ev_run(loop, EVRUN_ONCE);
	before = n_reads;
	c.read_fetch.head_done = true;
	log_client_read_overdue(&c);
	g_assert_cmpuint(n_reads, ==, before);
	log_client_finish(&c);
}

/* A node that comes to read for others must not wait on with its old read. */
static void test_shorter_wait_replaces_read(void)
{
	struct ev_loop *loop = ev_default_loop(0);
	struct log_client c;
	uint32_t before;

	log_client_init(&c, loop, "127.0.0.1:1", &ops, &record_handlers, &c);
	c.wait_ms = 10000;
	ev_run(loop, EVRUN_ONCE);
	before = n_reads;
	log_client_set_wait(&c, 20000);
	g_assert_cmpuint(n_reads, ==, before);
	log_client_set_wait(&c, 750);
	g_assert_cmpuint(n_reads, ==, before + 1);
	g_assert_cmpint(last_wait_ms, ==, 750);
	log_client_finish(&c);
}

/* When an answer is overdue, by how late the ones before it were. */
static void test_overdue_follows_delay(void)
{
	static const struct {
		int64_t wait_ms;
		int64_t took_ms;
		bool has_records;
		int64_t overdue_ms;
	} table[] = {
		{ 3000, 3004, false, 300 }, /* the usual */
		{ 3000, 1500, true, 300 }, /* records came: it did not wait */
		{ 3000, 3250, false, 750 }, /* late */
		{ 0, 1300, true, 1000 }, /* at most */
		{ 3000, 900, true, 1000 }, /* tells nothing of the delay */
		{ 0, 4, true, 1000 }, /* believed by and by */
		{ 0, 4, true, 1000 },	    { 0, 4, true, 1000 },
		{ 0, 4, true, 1000 },	    { 0, 4, true, 930 },
		{ 0, 4, true, 699 },
	};
	struct answer_delay d = { 0 };
	uint32_t i;

	g_assert_cmpint(answer_delay_overdue_ms(&d), ==, 300);
	for (i = 0; i < G_N_ELEMENTS(table); i++) {
		answer_delay_on_answer(&d, table[i].wait_ms, table[i].took_ms,
				       table[i].has_records);
		g_test_message("after answer %u: late %d", i, (int)d.late_ms);
		g_assert_cmpint(answer_delay_overdue_ms(&d), ==,
				table[i].overdue_ms);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/log-client/recovery-is-not-renewed",
			test_recovery_is_not_restarted);
	g_test_add_func("/log-client/news-is-gathered",
			test_new_records_are_batched);
	g_test_add_func("/log-client/retries-are-bounded",
			test_retries_are_bounded);
	g_test_add_func("/log-client/overdue-read-is-sent-again",
			test_overdue_read_is_sent_again);
	g_test_add_func("/log-client/arriving-answer-is-not-overdue",
			test_arriving_answer_is_not_overdue);
	g_test_add_func("/log-client/shorter-wait-replaces-read",
			test_shorter_wait_replaces_read);
	g_test_add_func("/log-client/overdue-follows-delay",
			test_overdue_follows_delay);
	g_test_add_func("/log-client/return-holds-for-both",
			test_other_stream_up_restarts_read);
	return g_test_run();
}

#include <glib.h>
#include <string.h>

#include "gate/delay.h"
#include "gate/admission.h"
#include "gate/cold-start.h"
#include "gate/ids.h"
#include "gate/limit.h"
#include "gate/link.h"
#include "gate/queue.h"
#include "net/clock.h"
#include "net/headers.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/fifo-cache.h"
#include "util/result.h"

/*
 * A backend server in cold start crashes under full load, so the limit must
 * start with one or two requests and rise to all slots over several seconds.
 */
static void test_limit_slow_start(void)
{
	struct limit l;
	int64_t now;
	uint32_t i;

	limit_init(&l, &limit_adaptive, 20, 0);
	g_assert_true(limit_allows(&l, 1));
	g_assert_false(limit_allows(&l, 2));
	for (now = 1; now <= 1000; now++) {
		for (i = 0; i < 20; i++)
			limit_allows(&l, (uint32_t)l.allowed);
		limit_done(&l, LIMIT_ANSWERED, 1, now, now);
	}
	g_assert_cmpfloat(l.allowed, <=, 6);
	for (; now <= 8000; now++) {
		limit_allows(&l, (uint32_t)l.allowed);
		limit_done(&l, LIMIT_ANSWERED, 1, now, now);
	}
	g_assert_cmpfloat(l.allowed, ==, 20);
}

/*
 * A backend server can return to cold start without reporting it; its answers
 * then take many times longer. Full load would keep it in that state, so the
 * slow start must begin again.
 */
static void test_limit_restarts_slow_start(void)
{
	struct limit l;
	int64_t now;

	limit_init(&l, &limit_adaptive, 20, 0);
	for (now = 1; now <= 8000; now++) {
		limit_allows(&l, (uint32_t)l.allowed);
		limit_done(&l, LIMIT_ANSWERED, 1, now, now);
	}
	for (; now <= 8010; now++)
		limit_done(&l, LIMIT_ANSWERED, 50, now, now);
	g_assert_cmpfloat(l.allowed, <=, LIMIT_INITIAL);
	g_assert_cmpuint(l.n_cold_starts, >=, 1);
}

/*
 * Load that the gate does not see can stall the backend server for a moment;
 * then all requests in flight are answered late together. LIMIT_INITIAL applies
 * until the next good answer, but a new slow start must not follow.
 */
static void test_limit_recovers_after_stall(void)
{
	struct limit l;
	int64_t now;
	int i;

	limit_init(&l, &limit_adaptive, 20, 0);
	for (now = 1; now <= 8000; now++) {
		limit_allows(&l, (uint32_t)l.allowed);
		limit_done(&l, LIMIT_ANSWERED, 1, now, now);
	}
	limit_check_stall(&l, 100, now);
	g_assert_false(limit_allows(&l, LIMIT_INITIAL));
	for (i = 0; i < 20; i++)
		limit_done(&l, LIMIT_ANSWERED, 150, now - 150, now);
	limit_check_stall(&l, 0, now);
	g_assert_false(limit_allows(&l, LIMIT_INITIAL));
	limit_done(&l, LIMIT_ANSWERED, 1, now, now + 1);
	g_assert_true(limit_allows(&l, LIMIT_INITIAL));
	g_assert_cmpfloat(l.allowed, >=, 10);
	g_assert_cmpuint(l.n_cold_starts, ==, 0);
}

static void test_limit_halves_on_shedding(void)
{
	struct limit l;
	int64_t now;

	limit_init(&l, &limit_adaptive, 20, 0);
	for (now = 1; now <= 8000; now++) {
		limit_allows(&l, (uint32_t)l.allowed);
		limit_done(&l, LIMIT_ANSWERED, 1, now, now);
	}
	limit_done(&l, LIMIT_SHED, 0, now, now);
	g_assert_cmpfloat(l.allowed, ==, 10);
}

static void test_queue_order(void)
{
	struct queued in = { .deadline_ms = 1000 };
	struct queued out;
	struct queue q;
	int64_t due[] = { 50, 10, 40, 20, 30 };
	uint32_t i;

	queue_init(&q, 8);
	queue_set_classes(&q, 1);
	for (i = 0; i < G_N_ELEMENTS(due); i++) {
		in.due_ms = due[i];
		in.request = &due[i];
		g_assert_null(queue_push(&q, &in));
	}
	g_assert_true(queue_remove(&q, &due[2]));
	for (i = 10; i <= 50; i += 10) {
		if (i == 40)
			continue;
		g_assert_true(queue_pop(&q, &out));
		g_assert_cmpint(out.due_ms, ==, i);
	}
	g_assert_false(queue_pop(&q, &out));
	queue_finish(&q);
}

/*
 * Under overload a request must be refused. It must be of a class with a
 * refusal target above 0, even if it arrived before a request of another class.
 */
static void test_queue_refuses_by_target(void)
{
	struct queued in = { .deadline_ms = 1000 };
	struct queued *victim;
	struct queue q;
	int i;

	queue_init(&q, 4);
	queue_set_classes(&q, 2);
	queue_set_refusal_target(&q, 0, 0.0);
	queue_set_refusal_target(&q, 1, 0.5);
	for (i = 0; i < 4; i++) {
		in.class_index = i % 2;
		in.due_ms = i;
		g_assert_null(queue_push(&q, &in));
	}
	in.class_index = 0;
	in.due_ms = 99;
	victim = queue_push(&q, &in);
	g_assert_nonnull(victim);
	g_assert_cmpuint(victim->class_index, ==, 1);
	g_free(victim);
	queue_finish(&q);
}

static void test_queue_early_refusal(void)
{
	struct queued in = { .due_ms = 1 };
	struct queue q;
	int i;

	queue_init(&q, 100);
	queue_update_service_ms(&q, 0, 100);
	for (i = 0; i < 10; i++)
		g_assert_null(queue_push(&q, &in));
	in.due_ms = 9000;
	in.deadline_ms = 10000;
	g_assert_true(queue_can_finish_in_time(&q, 0, &in, 2, 2));
	/*
	 * It would meet its deadline, but waiting would make it miss its
	 * target.
	 */
	in.due_ms = 300;
	g_assert_false(queue_can_finish_in_time(&q, 0, &in, 2, 2));
	in.due_ms = 9000;
	in.deadline_ms = 300;
	g_assert_false(queue_can_finish_in_time(&q, 0, &in, 2, 2));
	queue_finish(&q);
}

/*
 * The server works on long requests of one class and short ones of another. A
 * short request with less time left than a long one takes can still be answered
 * in time. If it were refused, the request of its caller would fail too.
 */
static void test_queue_short_among_long(void)
{
	struct queued in = { .due_ms = 100,
			     .deadline_ms = 200,
			     .class_index = 1 };
	struct queue q;
	int i;

	queue_init(&q, 100);
	queue_set_classes(&q, 2);
	for (i = 0; i < 50; i++) {
		queue_update_service_ms(&q, 0, 500);
		queue_update_service_ms(&q, 1, 30);
	}
	g_assert_true(queue_can_finish_in_time(&q, 0, &in, 4, 18));
	in.class_index = 0;
	g_assert_false(queue_can_finish_in_time(&q, 0, &in, 4, 18));
	queue_finish(&q);
}

/*
 * A caller that gets no answer retries with the same id. The id must still be
 * in the table, so that the booking does not run twice.
 */
static void test_ids_repeat(void)
{
	struct ids t;

	ids_init(&t, 10);
	g_assert_null(ids_find(&t, 7, 0));
	g_assert_nonnull(ids_begin(&t, 7, 1, 1000, 0));
	g_assert_cmpint(ids_find(&t, 7, 10)->state, ==, SEEN_RUNNING);
	ids_end(&t, 7, SEEN_ANSWERED, 200, "text/plain", "yes", 3);
	g_assert_cmpint(ids_find(&t, 7, 900)->state, ==, SEEN_ANSWERED);
	g_assert_null(ids_find(&t, 7, 1100));
	ids_finish(&t);
}

/* Whether the answer to a booking, with this header, is kept for its id. */
static bool answer_is_kept(const char *name, const char *value)
{
	static struct node node;
	struct answer answer = { .headers = headers_new() };
	struct gate_request r = { .gate = &node.gate, .id_hash = 7 };
	const struct seen_id *e;
	bool kept;

	ids_init(&node.gate.ids, 10);
	ids_begin(&node.gate.ids, 7, 1, 60000, clock_now_ms());
	header_add(answer.headers, name, value);
	r.fetch.answer = &answer;
	r.fetch.status = 200;
	r.fetch.sent = true;
	r.stored_answer = g_string_new("body");
	r.answer_bytes = 4;
	gate_record_outcome(&r, RESULT_OK);
	e = ids_find(&node.gate.ids, 7, clock_now_ms());
	g_assert_nonnull(e);
	g_assert_cmpint(e->state, ==, SEEN_ANSWERED);
	kept = e->answer;
	g_string_free(r.stored_answer, TRUE);
	g_ptr_array_unref(answer.headers);
	ids_finish(&node.gate.ids);
	return kept;
}

/*
 * An answer is repeated with its content type only. Without its encoding an
 * encoded body is another one.
 */
static void test_encoded_answer_is_not_kept(void)
{
	g_assert_true(answer_is_kept("Content-Type", "text/plain"));
	g_assert_false(answer_is_kept("Content-Encoding", "gzip"));
}

/*
 * When the table is full, a new id is refused. If the oldest id were evicted
 * instead, a retry of that request would run it again.
 */
static void test_ids_full(void)
{
	struct ids t;

	ids_init(&t, 2);
	g_assert_nonnull(ids_begin(&t, 1, 0, 1000, 0));
	g_assert_nonnull(ids_begin(&t, 2, 0, 1000, 0));
	g_assert_null(ids_begin(&t, 3, 0, 1000, 0));
	ids_end(&t, 1, SEEN_ANSWERED, 200, NULL, NULL, 0);
	g_assert_nonnull(ids_begin(&t, 3, 0, 1000, 2000));
	ids_finish(&t);
}

/*
 * A shard moves while the outcome of a booking on it is unknown. The next owner
 * must get the id, or a retry there would run the booking again.
 */
static void test_ids_move(void)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(int64_t));
	struct ids a, b;
	struct seen_id *e;

	ids_init(&a, 10);
	ids_init(&b, 10);
	ids_begin(&a, 5, 3, 1000, 0);
	ids_begin(&a, 6, 4, 1000, 0);
	ids_export(&a, 3, 400, list);
	g_assert_cmpuint(list->len, ==, 4);
	ids_import(&b, &g_array_index(list, int64_t, 0), 10000);
	e = ids_find(&b, 5, 10500);
	g_assert_nonnull(e);
	g_assert_cmpint(e->state, ==, SEEN_UNKNOWN);
	g_assert_null(ids_find(&b, 5, 10700));
	g_array_unref(list);
	ids_finish(&a);
	ids_finish(&b);
}

static void test_ids_creation_time(void)
{
	g_assert_cmpint(ids_created_ms("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"),
			==, 0x017f22e279b0);
	g_assert_cmpint(ids_created_ms("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"),
			==, -1);
	g_assert_cmpint(ids_created_ms("booking-1"), ==, -1);
}

/*
 * The number of requests that the rate limit allows from "from" until before
 * "to", sent as early as possible.
 */
static uint32_t count_sent(struct cold_start *c, int64_t from, int64_t to)
{
	uint32_t n = 0;
	int64_t now;

	for (now = from; now < to; now++)
		while (n < 100000 && cold_start_allows(c, now)) {
			cold_start_record_send(c, now);
			n++;
		}
	return n;
}

/*
 * A node and its backend server start together after a power loss, and the
 * backend server's first heartbeat arrives before the node has read a
 * configuration. If the rate were unlimited until then, the cold backend server
 * would get its full load and crash.
 */
static void test_cold_start_before_configuration(void)
{
	struct cold_start c;

	cold_start_init(&c, 0);
	cold_start_set_remaining(&c, 3000, 0);
	g_assert_cmpuint(count_sent(&c, 0, 1000), ==, 0);
	g_assert_cmpuint(count_sent(&c, 1000, 2000), <=, 5);
	cold_start_set_rate(&c, 25);
	g_assert_cmpuint(count_sent(&c, 2000, 2900), <=, 25);
}

/*
 * The rate must hold in every period of one second, not only in periods that
 * begin on a full second.
 */
static void test_cold_start_sliding_window(void)
{
	struct cold_start c;
	uint32_t first, second;

	cold_start_init(&c, 0);
	cold_start_set_rate(&c, 20);
	cold_start_set_remaining(&c, 60000, 0);
	first = count_sent(&c, 1000, 1500);
	second = count_sent(&c, 1500, 2000);
	g_assert_cmpuint(first, >, 0);
	g_assert_cmpuint(first + second, <=, 20);
	cold_start_set_remaining(&c, 0, 2000);
	g_assert_cmpuint(count_sent(&c, 2000, 2002), ==, 100000);
}

/* Sets up a queue with two classes whose usual service times are known. */
static void init_two_classes(struct queue *q, double short_ms, double long_ms)
{
	queue_init(q, 4);
	queue_set_classes(q, 2);
	queue_update_service_ms(q, 0, short_ms);
	queue_update_service_ms(q, 1, long_ms);
}

/*
 * The server gets more work than it can do. In the order of their targets
 * alone, long requests that arrived earlier would run before short ones that
 * other requests wait for, and fewer requests would be answered in total.
 */
static void test_queue_shortest_first(void)
{
	struct queued in = { .deadline_ms = 1000 };
	struct queued out;
	struct queue q;

	init_two_classes(&q, 15, 110);
	in.class_index = 1;
	in.due_ms = 50;
	g_assert_null(queue_push(&q, &in));
	in.due_ms = 40;
	g_assert_null(queue_push(&q, &in));
	in.class_index = 0;
	in.due_ms = 60;
	g_assert_null(queue_push(&q, &in));
	g_assert_true(queue_pop(&q, &out));
	g_assert_cmpuint(out.class_index, ==, 0);
	g_assert_true(queue_pop(&q, &out));
	g_assert_cmpint(out.due_ms, ==, 40);
	queue_finish(&q);
}

/*
 * A long queue of long requests. A short request starts before them, so it must
 * not be refused for the time that they take.
 */
static void test_queue_counts_earlier_work(void)
{
	struct queued in = { .deadline_ms = 10000 };
	struct queue q;
	uint32_t i;

	init_two_classes(&q, 15, 110);
	q.max = 100;
	in.class_index = 1;
	in.due_ms = 100;
	for (i = 0; i < 40; i++)
		g_assert_null(queue_push(&q, &in));
	in.class_index = 0;
	in.due_ms = 60;
	g_assert_true(queue_can_finish_in_time(&q, 0, &in, 12, 12));
	in.class_index = 1;
	in.due_ms = 250;
	g_assert_false(queue_can_finish_in_time(&q, 0, &in, 12, 12));
	queue_finish(&q);
}

/*
 * The queue is full, and no class has a refusal target. If refusals were spread
 * evenly over the classes, they would hit calls that requests elsewhere wait
 * for, and all the work done for those requests would be wasted.
 */
static void test_queue_full_evicts_long(void)
{
	struct queued in = { .deadline_ms = 10000, .due_ms = 100 };
	struct queued *victim;
	struct queue q;
	uint32_t i;

	init_two_classes(&q, 15, 110);
	in.class_index = 1;
	for (i = 0; i < 4; i++) {
		queue_count(&q, 1, true);
		g_assert_null(queue_push(&q, &in));
	}
	in.class_index = 0;
	in.due_ms = 200;
	victim = queue_push(&q, &in);
	g_assert_nonnull(victim);
	g_assert_cmpuint(victim->class_index, ==, 1);
	g_free(victim);
	queue_finish(&q);
}

/*
 * Queues eight long requests, then offers short ones as fast as slots become
 * free. Returns the time when the last long request was refused.
 */
static int64_t last_long_refused_ms(struct admission *a)
{
	struct queued in = { .deadline_ms = 1460 };
	struct queued *victim;
	struct queued out;
	int64_t last = 0;
	int64_t now;
	uint32_t i;

	in.class_index = 1;
	in.due_ms = 400;
	for (i = 0; i < 8; i++)
		g_assert_cmpint(admission_offer(a, &in, false, 0, &victim), ==,
				RESULT_OK);
	in.class_index = 0;
	for (now = 1; now < 1500; now++) {
		in.due_ms = now + 60;
		in.deadline_ms = now + 200;
		if (now % 2 && !admission_offer(a, &in, false, now, &victim))
			g_assert_null(victim);
		while (queue_pop_expired(&a->queue, now, &out) ||
		       admission_pop_overtaken(a, now, &out))
			if (out.class_index == 1)
				last = now;
		if (now % 4 == 0 && queue_pop(&a->queue, &out))
			g_assert_cmpuint(out.class_index, ==, 0);
	}
	return last;
}

/*
 * All twelve slots are taken, and short requests arrive as fast as slots become
 * free, so the long requests in the queue never start. If these were refused
 * only at their deadline, their callers would have no time left to retry.
 */
static void test_admission_overtaken(void)
{
	struct admission a;

	admission_init(&a, &limit_fixed, 0, 0);
	admission_reset(&a, &limit_fixed, 12, 0);
	queue_set_classes(&a.queue, 2);
	queue_update_service_ms(&a.queue, 0, 40);
	queue_update_service_ms(&a.queue, 1, 150);
	a.n_in_flight = 12;
	g_assert_cmpint(last_long_refused_ms(&a), <=, 400);
	admission_finish(&a);
}

#define LOAD_MS 20000
#define WORK_MS 100

/*
 * The number of requests, one arriving every gap_ms, that start early enough to
 * finish by their due_ms even if they take twice the usual time.
 */
static uint32_t count_started_in_time(struct admission *a, int64_t gap_ms)
{
	int64_t free_ms[12] = { 0 };
	struct queued *victim;
	struct queued out;
	uint32_t n_in_time = 0;
	int64_t now;
	uint32_t i;

	for (now = 1; now <= LOAD_MS; now++) {
		struct queued in = { .due_ms = now + 400,
				     .deadline_ms = now + 1500 };

		for (i = 0; i < G_N_ELEMENTS(free_ms); i++)
			if (free_ms[i] == now)
				admission_done(a, 0, LIMIT_ANSWERED, WORK_MS,
					       now - WORK_MS, now);
		if (now % gap_ms == 0 &&
		    !admission_offer(a, &in, true, now, &victim))
			g_free(victim);
		while (admission_pop_overtaken(a, now, &out))
			;
		while (admission_next(a, now, &out)) {
			admission_started(a, now);
			for (i = 0; free_ms[i] > now; i++)
				;
			free_ms[i] = now + WORK_MS;
			/* In time even if it takes twice as long as usual. */
			n_in_time += now + 2 * WORK_MS <= out.due_ms;
		}
	}
	return n_in_time;
}

/*
 * For a long time the server gets over a third more work than it can do.
 * Started in the order in which they are due, all requests would wait until
 * only the usual service time is left, and each one that takes longer would be
 * late.
 */
static void test_admission_overload_in_time(void)
{
	uint32_t capacity = LOAD_MS * 12 / WORK_MS;
	struct admission a;

	admission_init(&a, &limit_fixed, 0, 0);
	admission_reset(&a, &limit_fixed, 12, 0);
	queue_set_classes(&a.queue, 1);
	queue_update_service_ms(&a.queue, 0, WORK_MS);
	g_assert_cmpuint(count_started_in_time(&a, 6), >=, capacity * 9 / 10);
	admission_finish(&a);
}

/*
 * A link of 8 Mbit/s carries 1,000 bytes per millisecond, of which 900 are
 * bytes of answers.
 */
static void test_link_wait(void)
{
	struct link l;

	link_init(&l, 8);
	link_sent(&l, 90000, 1000);
	g_assert_cmpfloat(link_wait_ms(&l, 0, 1000), ==, 100);
	g_assert_cmpfloat(link_wait_ms(&l, 9000, 1050), ==, 60);
	link_reserve(&l, 18000);
	g_assert_cmpfloat(link_wait_ms(&l, 0, 1050), ==, 70);
	g_assert_cmpfloat(link_backlog_ms(&l, 1050), ==, 50);
	link_unreserve(&l, 18000);
	link_sent(&l, 9000, 1090);
	g_assert_cmpfloat(link_wait_ms(&l, 0, 1090), ==, 20);
	g_assert_cmpfloat(link_wait_ms(&l, 0, 5000), ==, 0);
	link_init(&l, 0);
	link_sent(&l, 1e9, 1000);
	g_assert_cmpfloat(link_wait_ms(&l, 1e9, 1000), ==, 0);
}

/*
 * The clocks of two hosts drift apart, so the smallest offset of an hour ago
 * must not be used to compute the delay of a message now.
 */
static void test_delay_follows_drift(void)
{
	struct delay d;
	int64_t ms;

	delay_init(&d, 1000, 500);
	for (ms = 0; ms < 3600 * 1000; ms += 1000)
		g_assert_cmpint(delay_update(&d, 1000 + ms,
					     500 + ms + ms / 5000),
				<=, 5);
	g_assert_cmpint(delay_update(&d, 1000 + ms, 900 + ms + ms / 5000), >=,
			400);
}

/*
 * When operators change a route, the average service times of the other classes
 * must be kept.
 */
static void test_queue_keeps_class_stats(void)
{
	struct queue q;

	queue_init(&q, 10);
	queue_set_classes(&q, 1);
	queue_set_refusal_target(&q, 0, 0.5);
	queue_update_service_ms(&q, 0, 40);
	queue_set_classes(&q, 3);
	g_assert_cmpfloat(q.classes[0].service_ms, >, 0);
	g_assert_cmpfloat(q.classes[2].service_ms, ==, 0);
	g_assert_false(q.has_refusal_targets);
	queue_finish(&q);
}

/* However many entries are added, the newest ones must still be found. */
static void test_fifo_cache_evicts_oldest(void)
{
	struct fifo_cache r;
	uint64_t i;

	fifo_cache_init(&r, 8);
	for (i = 0; i < 100; i++) {
		fifo_cache_add(&r, i, i % 3, g_new0(char, 1));
		g_assert_nonnull(fifo_cache_get(&r, i, i % 3));
		if (i)
			g_assert_nonnull(
				fifo_cache_get(&r, i - 1, (i - 1) % 3));
		g_assert_null(fifo_cache_get(&r, i, i % 3 + 1));
	}
	g_assert_nonnull(fifo_cache_get(&r, 92, 92 % 3));
	g_assert_null(fifo_cache_get(&r, 91, 91 % 3));
	fifo_cache_finish(&r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/limit/cold", test_limit_slow_start);
	g_test_add_func("/limit/cold-again", test_limit_restarts_slow_start);
	g_test_add_func("/limit/stall", test_limit_recovers_after_stall);
	g_test_add_func("/limit/shed", test_limit_halves_on_shedding);
	g_test_add_func("/queue/classes-stay-known",
			test_queue_keeps_class_stats);
	g_test_add_func("/cold/before-configuration",
			test_cold_start_before_configuration);
	g_test_add_func("/cold/sliding", test_cold_start_sliding_window);
	g_test_add_func("/queue/order", test_queue_order);
	g_test_add_func("/queue/shortest-first", test_queue_shortest_first);
	g_test_add_func("/queue/counts-what-goes-before",
			test_queue_counts_earlier_work);
	g_test_add_func("/queue/full-of-long-ones",
			test_queue_full_evicts_long);
	g_test_add_func("/queue/by-target", test_queue_refuses_by_target);
	g_test_add_func("/queue/early", test_queue_early_refusal);
	g_test_add_func("/queue/short-among-long", test_queue_short_among_long);
	g_test_add_func("/admission/overtaken", test_admission_overtaken);
	g_test_add_func("/admission/overload-in-time",
			test_admission_overload_in_time);
	g_test_add_func("/ids/repeat", test_ids_repeat);
	g_test_add_func("/ids/full", test_ids_full);
	g_test_add_func("/ids/move", test_ids_move);
	g_test_add_func("/ids/made", test_ids_creation_time);
	g_test_add_func("/ids/encoded-answer-is-not-kept",
			test_encoded_answer_is_not_kept);
	g_test_add_func("/link/wait", test_link_wait);
	g_test_add_func("/recent/drops-the-oldest",
			test_fifo_cache_evicts_oldest);
	g_test_add_func("/delay/follows-drift", test_delay_follows_drift);
	return g_test_run();
}

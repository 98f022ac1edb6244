#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "gate/admission.h"
#include "gate/rate-limit.h"
#include "net/headers.h"
#include "net/server-status.h"
#include "platform/request.h"
#include "util/result.h"

/*
 * The rate that a backend server names in its answers. The randomised run
 * offers more than it, with pauses, late answers and restarts of the gate's
 * process, and counts what the server gets in every 4 s.
 */

#define WINDOW_MS 4000
#define SETTLE_MS 3000 /* after the rate was named */
#define ALLOWED_FACTOR 1.5
#define ALLOWED_MORE 5
#define STEP_MS 5
#define PHASE_MS 20000
#define N_PHASES 6
#define SLOTS 18

static uint32_t n_seeds = 200;
static uint32_t first_seed = 1;

static const struct {
	const char *text;
	bool valid;
	double per_s;
} value_table[] = {
	{ "5.7", true, 5.7 },
	{ "0", true, 0 },
	{ "0.05", true, 0.05 },
	{ "12", true, 12 },
	{ "100000000000000000000", true, 1e20 },
	{ "-1", false, 0 },
	{ "", false, 0 },
	{ "few", false, 0 },
	{ "5.7 per second", false, 0 },
	{ "nan", false, 0 },
	{ "inf", false, 0 },
	{ "0x10", false, 0 },
	{ "1e3", false, 0 },
	{ "1.2.3", false, 0 },
	{ ".", false, 0 },
};

static void test_values(void)
{
	double per_s;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(value_table); i++) {
		g_test_message("\"%s\"", value_table[i].text);
		g_assert_cmpint(rate_limit_parse(value_table[i].text, &per_s),
				==, value_table[i].valid);
		if (value_table[i].valid)
			g_assert_cmpfloat(per_s, ==, value_table[i].per_s);
	}
}

/* Headers of one answer, alternating, up to a NULL. */
static const struct {
	const char *headers[7];
	enum server_limit_state limit;
	int64_t milli;
	bool leaving;
} header_table[] = {
	{ { NULL }, SERVER_LIMIT_NONE, 0, false },
	{ { "server-limit", "2.5", NULL }, SERVER_LIMIT_NAMED, 2500, false },
	{ { "Server-Limit", "9", "Server-Limit", "3", NULL },
	  SERVER_LIMIT_NAMED,
	  3000,
	  false },
	{ { "Server-Limit", "x", "Server-Limit", "3", NULL },
	  SERVER_LIMIT_NAMED,
	  3000,
	  false },
	{ { "Server-Limit", "x", NULL }, SERVER_LIMIT_UNREADABLE, 0, false },
	{ { "Server-Limit", "1e99", NULL }, SERVER_LIMIT_UNREADABLE, 0, false },
	{ { "Server-Limit", "99999999999999999999", NULL },
	  SERVER_LIMIT_NAMED,
	  1000000000000,
	  false },
	{ { "Server-Leaving", "1", NULL }, SERVER_LIMIT_NONE, 0, true },
	{ { "Server-Leaving", "0", NULL }, SERVER_LIMIT_NONE, 0, false },
	{ { "Server-Leaving", "0", "Server-Leaving", "1", NULL },
	  SERVER_LIMIT_NONE,
	  0,
	  true },
};

static void test_headers(void)
{
	uint32_t i, j;

	for (i = 0; i < G_N_ELEMENTS(header_table); i++) {
		GPtrArray *headers = headers_new();
		struct server_status s;

		for (j = 0; header_table[i].headers[j]; j += 2)
			header_add(headers, header_table[i].headers[j],
				   header_table[i].headers[j + 1]);
		server_status_read(&s, &headers_platform, headers);
		g_assert_cmpint(s.limit, ==, header_table[i].limit);
		g_assert_cmpint(s.limit_milli, ==, header_table[i].milli);
		g_assert_cmpint(s.leaving, ==, header_table[i].leaving);
		g_ptr_array_unref(headers);
	}
}

/* Answers in a row to a gate whose process began at 0. */
static const struct {
	const char *name;
	struct {
		int64_t sent_ms, at_ms;
		double per_s; /* -1: none named, -2: told by an entry */
	} answers[3];
	double per_s; /* in force in the end */
} answer_table[] = {
	{ "named", { { 100, 200, 4 } }, 4 },
	{ "named again", { { 100, 200, 4 }, { 200, 300, 2 } }, 2 },
	{ "named no more", { { 100, 200, 4 }, { 250, 300, -1 } }, 0 },
	{ "an earlier answer comes late",
	  { { 100, 200, 4 }, { 150, 300, -1 } },
	  4 },
	{ "less than the least", { { 100, 200, 0 } }, RATE_LIMIT_MIN_PER_S },
	{ "told after a restart", { { 100, 200, -2 } }, 3 },
	{ "told later than answered",
	  { { 100, 200, -1 }, { 250, 300, -2 } },
	  0 },
	{ "told, then answered",
	  { { 100, 200, -2 }, { 250, 300, 5 }, { 350, 400, -2 } },
	  5 },
};

static void test_answers(void)
{
	uint32_t i, j;

	for (i = 0; i < G_N_ELEMENTS(answer_table); i++) {
		struct rate_limit l = { 0 };

		for (j = 0; j < 3 && answer_table[i].answers[j].at_ms; j++) {
			double per_s = answer_table[i].answers[j].per_s;
			int64_t at_ms = answer_table[i].answers[j].at_ms;

			if (per_s == -2)
				rate_limit_on_reported(&l, 3, at_ms);
			else
				rate_limit_on_answer(
					&l, per_s >= 0, MAX(per_s, 0),
					answer_table[i].answers[j].sent_ms,
					at_ms);
		}
		g_test_message("%s", answer_table[i].name);
		g_assert_cmpfloat(l.per_s, ==, answer_table[i].per_s);
	}
}

/* What cannot start in time behind the limit is refused at once. */
static void test_refused_at_once(void)
{
	struct admission a;
	struct queued q = { .deadline_ms = 60000, .class_index = 0 };
	struct queued *victim;
	uint32_t queued = 0;
	uint32_t i;

	admission_init(&a, &limit_fixed, 0, 0);
	admission_reset(&a, &limit_fixed, 18, 0);
	queue_set_classes(&a.queue, 1);
	rate_limit_on_answer(&a.rate_limit, true, 2, 0, 0);
	for (i = 0; i < 20; i++) {
		q.due_ms = 2500;
		q.request = GUINT_TO_POINTER(i + 1);
		queued += !admission_offer(&a, &q, false, 0, &victim);
		g_assert_null(victim);
	}
	/* 1.8 a second in 2.5 s. */
	g_assert_cmpuint(queued, ==, 4);
	g_assert_cmpint(admission_offer(&a, &q, true, 0, &victim), ==,
			RESULT_OVERLOAD);
	g_assert_cmpint(admission_retry_after_ms(&a, 0, 0), >, 2000);
	g_assert_cmpfloat(admission_utilization(&a, 0), >, 2);
	admission_finish(&a);
}

struct world {
	GRand *rand;
	struct rate_limit limit;
	GArray *arrivals; /* int64_t */
	GArray *answers; /* struct answer */
	int64_t now_ms;
	int64_t named_since_ms; /* by an answer of this phase; 0: not yet */
	double per_s;
	double remembered_per_s; /* by entries */
	uint32_t in_flight;
	int64_t phase_began_ms;
	bool answered; /* a request that was sent in this phase */
};

struct answer {
	int64_t sent_ms;
	int64_t at_ms;
};

static int64_t draw(struct world *w, int32_t from, int32_t to)
{
	return g_rand_int_range(w->rand, from, to);
}

static void send_requests(struct world *w, uint32_t count)
{
	while (count-- > 0 && w->in_flight < SLOTS) {
		struct answer a = { w->now_ms, w->now_ms + draw(w, 20, 250) };

		if (w->remembered_per_s > 0)
			rate_limit_on_reported(&w->limit, w->remembered_per_s,
					       w->now_ms);
		if (!rate_limit_allows(&w->limit, w->now_ms))
			return;
		rate_limit_record_send(&w->limit, w->now_ms);
		w->in_flight++;
		g_array_append_val(w->arrivals, w->now_ms);
		g_array_append_val(w->answers, a);
	}
}

static void receive_answers(struct world *w)
{
	uint32_t i;

	for (i = w->answers->len; i-- > 0;) {
		struct answer a = g_array_index(w->answers, struct answer, i);

		if (a.at_ms > w->now_ms)
			continue;
		rate_limit_on_answer(&w->limit, w->per_s > 0, w->per_s,
				     a.sent_ms, w->now_ms);
		w->remembered_per_s = w->per_s;
		if (w->per_s > 0 && !w->named_since_ms)
			w->named_since_ms = w->now_ms;
		w->answered = w->answered || a.sent_ms >= w->phase_began_ms;
		w->in_flight--;
		g_array_remove_index_fast(w->answers, i);
	}
}

static uint32_t arrivals_since(const struct world *w, int64_t from_ms)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = w->arrivals->len; i-- > 0; count++)
		if (g_array_index(w->arrivals, int64_t, i) <= from_ms)
			break;
	return count;
}

static bool exceeds(const struct world *w)
{
	return w->named_since_ms &&
	       w->now_ms >= w->named_since_ms + SETTLE_MS + WINDOW_MS &&
	       arrivals_since(w, w->now_ms - WINDOW_MS) >
		       ALLOWED_FACTOR * w->per_s * WINDOW_MS / 1000 +
			       ALLOWED_MORE;
}

static void begin_phase(struct world *w)
{
	bool named = g_rand_double(w->rand) < 0.7;

	w->phase_began_ms = w->now_ms;
	w->answered = false;
	w->per_s = named ? 0.3 + g_rand_double(w->rand) * 20 : 0;
	w->named_since_ms = 0;
}

/* Plays one seed. Returns what went wrong, or NULL. */
static const char *play(uint32_t seed)
{
	struct world w = { .now_ms = 1000 };
	const char *wrong = NULL;
	int64_t paused_until_ms = 0;
	uint32_t phase;

	w.rand = g_rand_new_with_seed(seed);
	w.arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
	w.answers = g_array_new(FALSE, FALSE, sizeof(struct answer));
	for (phase = 0; phase < N_PHASES && !wrong; phase++) {
		int64_t end = w.now_ms + PHASE_MS;

		begin_phase(&w);
		for (; w.now_ms < end && !wrong; w.now_ms += STEP_MS) {
			receive_answers(&w);
			if (draw(&w, 0, 2000) == 0)
				rate_limit_reset(&w.limit);
			if (draw(&w, 0, 1500) == 0)
				paused_until_ms = w.now_ms + draw(&w, 0, 10000);
			if (w.now_ms >= paused_until_ms)
				send_requests(&w, (uint32_t)draw(&w, 0, 4));
			if (exceeds(&w))
				wrong = "more than the limit allows";
		}
		if (!wrong && !w.per_s && w.answered &&
		    rate_limit_is_active(&w.limit))
			wrong = "the limit outlasts its end";
	}
	g_array_unref(w.arrivals);
	g_array_unref(w.answers);
	g_rand_free(w.rand);
	return wrong;
}

static void test_random_load(void)
{
	uint32_t seed;

	for (seed = first_seed; seed < first_seed + n_seeds; seed++) {
		const char *wrong = play(seed);

		if (wrong)
			g_error("seed %u: %s", seed, wrong);
	}
}

static void test_rule_is_needed(gconstpointer data)
{
	const char *wrong = NULL;
	uint32_t seed;

	rate_limit_disabled_rules = GPOINTER_TO_UINT(data);
	for (seed = 1; seed <= n_seeds && !wrong; seed++)
		wrong = play(seed);
	rate_limit_disabled_rules = 0;
	g_test_message("seed %u, %s", seed - 1, wrong);
	g_assert_nonnull(wrong);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (g_getenv("SEEDS"))
		n_seeds = atoi(g_getenv("SEEDS"));
	if (g_getenv("FIRST_SEED"))
		first_seed = atoi(g_getenv("FIRST_SEED"));
	g_test_add_func("/rate-limit/values", test_values);
	g_test_add_func("/rate-limit/headers", test_headers);
	g_test_add_func("/rate-limit/answers", test_answers);
	g_test_add_func("/rate-limit/refused-at-once", test_refused_at_once);
	g_test_add_func("/rate-limit/random-load", test_random_load);
	g_test_add_data_func("/rate-limit/rule-is-needed/burst",
			     GUINT_TO_POINTER(RATE_LIMIT_RULE_BURST),
			     test_rule_is_needed);
	g_test_add_data_func("/rate-limit/rule-is-needed/count",
			     GUINT_TO_POINTER(RATE_LIMIT_RULE_COUNT),
			     test_rule_is_needed);
	g_test_add_data_func("/rate-limit/rule-is-needed/ends",
			     GUINT_TO_POINTER(RATE_LIMIT_RULE_ENDS),
			     test_rule_is_needed);
	return g_test_run();
}

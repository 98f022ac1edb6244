#include <glib.h>

#include "route/budget.h"
#include "route/choose.h"
#include "route/plan.h"
#include "util/result.h"

/*
 * For a while every request fails once. Retries must stay a small part of the
 * load, or they would prolong the overload.
 */
static void test_budget_bounds_retries(void)
{
	struct retry_budget b;
	int spent = 0;
	int i;

	retry_budget_init(&b, 0.1, 10);
	for (i = 0; i < 1000; i++) {
		retry_budget_deposit(&b);
		spent += retry_budget_withdraw(&b);
	}
	g_assert_cmpint(spent, <=, 110);
	g_assert_cmpint(spent, >=, 90);
}

/*
 * Every request to two services fails once, and each run of the first one calls
 * the second, half of whose requests these calls are. A call counts as a repeat
 * where its run is one.
 */
static void test_budget_leaves_room_for_calls(void)
{
	double share = retry_share_of_entries(0.2);
	struct retry_budget first, second;
	uint32_t n_requests = 0, n_repeats = 0;
	uint32_t i, run;

	retry_budget_init(&first, share, 1);
	retry_budget_init(&second, share, 1);
	for (i = 0; i < 1000; i++) {
		uint32_t n_runs;

		retry_budget_deposit(&first);
		n_runs = 1 + retry_budget_withdraw(&first);
		for (run = 0; run < n_runs; run++) {
			n_requests += !run;
			n_repeats += run;
			retry_budget_deposit(&second);
			n_repeats += retry_budget_withdraw(&second);
		}
		n_requests++;
		retry_budget_deposit(&second);
		n_repeats += retry_budget_withdraw(&second);
	}
	g_assert_cmpuint(n_repeats, <=, n_requests / 5 + 2);
	g_assert_cmpuint(n_repeats, >=, n_requests / 6);
}

/* How often, in 1000 choices, the gate of that id is chosen. */
static int count_picks(struct chooser *c, const struct gate_option *ids,
		       uint32_t n, int64_t id, int64_t now)
{
	int got = 0;
	int i;

	for (i = 0; i < 1000; i++)
		got += chooser_pick(c, ids, n, 0, 0, now) == id;
	return got;
}

/*
 * A server does not hold keys that its node granted to it, and refuses requests
 * for them. Each of these that is sent to another server is a retry; without a
 * budget they would double the load of a service that is overloaded already.
 */
static void test_misdirected_spends_budget(void)
{
	struct retry_budget b;
	uint32_t sent = 0;
	uint32_t i;

	retry_budget_init(&b, 0.2, 10);
	for (i = 0; i < 1000; i++) {
		struct plan p = { .repeatable = true,
				  .keyed = true,
				  .deadline_ms = 1000,
				  .hold_until_ms = 100,
				  .max_servers = 3 };

		retry_budget_deposit(&b);
		plan_attempt_event(&p, plan_add_attempt(&p),
				   ATTEMPT_EVENT_SENT);
		sent += plan_refused(&p, 0, true, true, 0, &b, 0, 0) ==
			PLAN_SEND;
	}
	g_assert_cmpuint(sent, <=, 210);
	g_assert_cmpuint(sent, >=, 200);
}

struct expected {
	enum attempt_event event;
	struct plan_attempt unsent; /* after it, if not sent before */
	struct plan_attempt sent; /* after it, if sent before */
};

#define OPEN(s)                                    \
	{                                          \
		.state = ATTEMPT_##s, .open = true \
	}
#define CLOSED(s)                                   \
	{                                           \
		.state = ATTEMPT_##s, .open = false \
	}

static const struct expected table[] = {
	{ ATTEMPT_EVENT_SENT, OPEN(SENT), OPEN(SENT) },
	{ ATTEMPT_EVENT_UNSENT, CLOSED(NOT_SENT), OPEN(SENT) },
	{ ATTEMPT_EVENT_REFUSED, CLOSED(NOT_RUN), CLOSED(NOT_RUN) },
	{ ATTEMPT_EVENT_SERVER_REFUSED, CLOSED(NOT_RUN), CLOSED(NOT_RUN) },
	{ ATTEMPT_EVENT_ANSWER_LOST, CLOSED(STARTED), CLOSED(STARTED) },
	{ ATTEMPT_EVENT_SERVER_LATE, CLOSED(STARTED), CLOSED(STARTED) },
	{ ATTEMPT_EVENT_IN_DOUBT, CLOSED(UNKNOWN), CLOSED(UNKNOWN) },
	{ ATTEMPT_EVENT_INVALID_ANSWER, CLOSED(STARTED), CLOSED(STARTED) },
	{ ATTEMPT_EVENT_NEVER_READ, CLOSED(NOT_RUN), CLOSED(NOT_RUN) },
	{ ATTEMPT_EVENT_LINK_LOST, CLOSED(UNKNOWN), CLOSED(UNKNOWN) },
	{ ATTEMPT_EVENT_LEASE_OVER, CLOSED(NOT_SENT), OPEN(SENT) },
	{ ATTEMPT_EVENT_PROCESS_ENDED, CLOSED(NOT_SENT), CLOSED(UNKNOWN) },
	{ ATTEMPT_EVENT_TIMEOUT, CLOSED(NOT_SENT), CLOSED(UNKNOWN) },
	{ ATTEMPT_EVENT_STOPPING, CLOSED(NOT_SENT), CLOSED(UNKNOWN) },
	{ ATTEMPT_EVENT_ANSWERED, CLOSED(ANSWERED), CLOSED(ANSWERED) },
};

static void check_attempt(const struct plan_attempt *is,
			  const struct plan_attempt *want)
{
	g_assert_cmpint(is->state, ==, want->state);
	g_assert_cmpint(is->open, ==, want->open);
}

static void test_attempt_table(void)
{
	uint32_t i, j;

	g_assert_cmpuint(G_N_ELEMENTS(table), ==, ATTEMPT_N_EVENTS);
	for (i = 0; i < ATTEMPT_N_EVENTS; i++) {
		struct plan p = { 0 };
		struct plan_attempt closed;

		g_assert_cmpint(plan_add_attempt(&p), ==, 0);
		g_assert_cmpint(plan_add_attempt(&p), ==, 1);
		plan_attempt_event(&p, 0, table[i].event);
		check_attempt(&p.attempts[0], &table[i].unsent);
		plan_attempt_event(&p, 1, ATTEMPT_EVENT_SENT);
		plan_attempt_event(&p, 1, table[i].event);
		check_attempt(&p.attempts[1], &table[i].sent);
		if (p.attempts[1].open)
			continue;
		g_assert_cmpint(p.attempts[1].last_event, ==, table[i].event);
		/* Further events do not change a closed attempt. */
		closed = p.attempts[1];
		for (j = 0; j < ATTEMPT_N_EVENTS; j++)
			plan_attempt_event(&p, 1, j);
		check_attempt(&p.attempts[1], &closed);
		g_assert_cmpint(p.attempts[1].last_event, ==,
				closed.last_event);
	}
}

/*
 * Whether an attempt certainly did not run: it was not sent, the gate never
 * read it, or the gate or the backend server refused it.
 */
static bool certainly_not_run(const struct plan_attempt *a)
{
	return a->state == ATTEMPT_NOT_SENT ||
	       (a->state == ATTEMPT_NOT_RUN &&
		(a->last_event == ATTEMPT_EVENT_REFUSED ||
		 a->last_event == ATTEMPT_EVENT_NEVER_READ ||
		 a->last_event == ATTEMPT_EVENT_SERVER_REFUSED));
}

/* All pairs of attempts, each after all pairs of events. */
static void test_outcome_follows_from_attempts(void)
{
	const uint32_t n = ATTEMPT_N_EVENTS;
	uint32_t i;

	for (i = 0; i < n * n * n * n; i++) {
		struct plan p = { .max_servers = 2 };
		const struct plan_attempt *a = p.attempts;
		bool answered, refused;

		plan_add_attempt(&p);
		plan_add_attempt(&p);
		plan_attempt_event(&p, 0, i % n);
		plan_attempt_event(&p, 0, i / n % n);
		plan_attempt_event(&p, 1, i / n / n % n);
		plan_attempt_event(&p, 1, i / n / n / n);
		answered = a[0].state == ATTEMPT_ANSWERED ||
			   a[1].state == ATTEMPT_ANSWERED;
		refused = certainly_not_run(&a[0]) && certainly_not_run(&a[1]);
		g_assert_cmpint(plan_outcome(&p), ==,
				answered  ? PLAN_ANSWERED
				: refused ? PLAN_NOT_RUN
					  : PLAN_MAY_HAVE_RUN);
		g_assert_cmpint(refused, ==, !plan_in_doubt(&p) && !answered);
	}
}

static struct plan booking(void)
{
	return (struct plan){ .deadline_ms = 1000,
			      .hold_until_ms = 100,
			      .max_servers = 2 };
}

static enum plan_step end_attempt(struct plan *p, enum attempt_event why,
				  int64_t now_ms)
{
	struct retry_budget b;

	retry_budget_init(&b, 0.2, 10);
	return plan_attempt_ended(p, p->tries - 1, why, &b, 0, now_ms);
}

/* A booking for a gate whose process has stopped is sent to another gate. */
static void test_unsent_attempt_is_retried(void)
{
	struct plan p = booking();
	enum plan_step step = PLAN_SEND;
	uint32_t n;

	plan_add_attempt(&p);
	g_assert_cmpint(end_attempt(&p, ATTEMPT_EVENT_UNSENT, 10), ==,
			PLAN_SEND);
	plan_add_attempt(&p);
	plan_attempt_event(&p, 1, ATTEMPT_EVENT_SENT);
	g_assert_cmpint(end_attempt(&p, ATTEMPT_EVENT_TIMEOUT, 20), ==,
			PLAN_UNKNOWN);
	p = booking();
	plan_add_attempt(&p);
	g_assert_cmpint(end_attempt(&p, ATTEMPT_EVENT_TIMEOUT, 1000), ==,
			PLAN_REFUSE);
	/* If no gate can be reached, the request is refused without waiting. */
	p = booking();
	for (n = 0; n < PLAN_MAX_TRIES && step == PLAN_SEND; n++) {
		plan_add_attempt(&p);
		step = end_attempt(&p, ATTEMPT_EVENT_UNSENT, 100);
	}
	g_assert_cmpint(step, ==, PLAN_REFUSE);
	g_assert_cmpuint(n, <=, 4);
}

/*
 * The connection to a gate was lost. A booking that the gate never read is sent
 * to another gate, or refused as not run; one that it may have read is not.
 */
static void test_attempt_lost_with_connection(void)
{
	struct plan p = booking();

	plan_add_attempt(&p);
	plan_attempt_event(&p, 0, ATTEMPT_EVENT_SENT);
	g_assert_cmpint(end_attempt(&p, ATTEMPT_EVENT_NEVER_READ, 10), ==,
			PLAN_SEND);
	plan_add_attempt(&p);
	plan_attempt_event(&p, 1, ATTEMPT_EVENT_SENT);
	g_assert_cmpint(end_attempt(&p, ATTEMPT_EVENT_LINK_LOST, 20), ==,
			PLAN_UNKNOWN);
	p = booking();
	plan_add_attempt(&p);
	plan_attempt_event(&p, 0, ATTEMPT_EVENT_SENT);
	g_assert_cmpint(end_attempt(&p, ATTEMPT_EVENT_NEVER_READ, 1000), ==,
			PLAN_REFUSE);
}

/* Each event after which a request may have run has its own cause. */
static void test_causes(void)
{
	static const struct {
		enum attempt_event last;
		enum plan_cause cause;
	} causes[] = {
		{ ATTEMPT_EVENT_TIMEOUT, PLAN_CAUSE_no_word },
		{ ATTEMPT_EVENT_PROCESS_ENDED, PLAN_CAUSE_gate_gone },
		{ ATTEMPT_EVENT_STOPPING, PLAN_CAUSE_stopping },
		{ ATTEMPT_EVENT_IN_DOUBT, PLAN_CAUSE_id_in_doubt },
		{ ATTEMPT_EVENT_SERVER_LATE, PLAN_CAUSE_server_late },
		{ ATTEMPT_EVENT_ANSWER_LOST, PLAN_CAUSE_cut },
		{ ATTEMPT_EVENT_INVALID_ANSWER, PLAN_CAUSE_mixed },
		{ ATTEMPT_EVENT_LINK_LOST, PLAN_CAUSE_link_lost },
	};
	struct plan p;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(causes); i++) {
		p = booking();
		plan_add_attempt(&p);
		plan_attempt_event(&p, 0, ATTEMPT_EVENT_SENT);
		plan_attempt_event(&p, 0, causes[i].last);
		g_assert_cmpint(plan_cause(plan_in_doubt(&p)), ==,
				causes[i].cause);
	}
	p = booking();
	plan_add_attempt(&p);
	plan_attempt_event(&p, 0, ATTEMPT_EVENT_SENT);
	plan_attempt_event(&p, 0, ATTEMPT_EVENT_LEASE_OVER);
	plan_attempt_event(&p, 0, ATTEMPT_EVENT_TIMEOUT);
	g_assert_cmpint(plan_cause(plan_in_doubt(&p)), ==,
			PLAN_CAUSE_lease_over);
}

/* Attempts beyond PLAN_MAX_TRIES are refused. */
static void test_tries_are_bounded(void)
{
	struct plan p = { 0 };
	int i;

	for (i = 0; i < PLAN_MAX_TRIES; i++)
		g_assert_cmpint(plan_add_attempt(&p), ==, i);
	g_assert_cmpint(plan_add_attempt(&p), ==, RESULT_OVERLOAD);
}

/*
 * A backend server stalls. Its gate answers nothing, so the last load that it
 * reported still looks good. The age of the requests without an answer must
 * make entries avoid it.
 */
static void test_stalled_gate_is_avoided(void)
{
	struct gate_option ids[] = { { 1, 0 }, { 2, 0 }, { 3, 0 }, { 4, 0 } };
	struct chooser c;
	int i;

	chooser_init(&c, &chooser_two_choices, 1);
	for (i = 0; i < 4; i++) {
		chooser_sent(&c, ids[i].member, 0);
		chooser_answered(&c, ids[i].member, 2, 1, 10, 2);
	}
	g_assert_cmpint(count_picks(&c, ids, 4, 1, 3), >, 150);
	chooser_sent(&c, 1, 3);
	g_assert_cmpint(count_picks(&c, ids, 4, 1, 100), <, 10);
	chooser_finish(&c);
}

/*
 * When all entries avoid one gate, they must not all choose the same other one.
 */
static void test_no_herd(void)
{
	struct gate_option ids[] = { { 1, 0 }, { 2, 0 }, { 3, 0 }, { 4, 0 } };
	struct chooser c;
	int i;

	chooser_init(&c, &chooser_two_choices, 2);
	for (i = 0; i < 4; i++) {
		chooser_sent(&c, ids[i].member, 0);
		chooser_answered(&c, ids[i].member, 2 + 0.1 * i, 1, 10, 2);
	}
	chooser_refused(&c, 1, 100, 2);
	for (i = 1; i < 3; i++)
		g_assert_cmpint(count_picks(&c, ids, 4, ids[i].member, 3), <,
				700);
	chooser_finish(&c);
}

static void test_except(void)
{
	struct gate_option ids[] = { { 1, 0 }, { 2, 0 } };
	struct chooser c;

	chooser_init(&c, &chooser_two_choices, 3);
	g_assert_cmpint(chooser_pick(&c, ids, 2, 0, 1, 0), ==, 2);
	g_assert_cmpint(chooser_pick(&c, ids, 1, 0, 1, 0), ==, 0);
	chooser_finish(&c);
}

/*
 * Answers of a class are large, and traffic between data centres is expensive.
 * The gate in the entry's data centre must get the requests until it is so full
 * that a caller would wait longer than the saved traffic is worth.
 */
static void test_near_until_full(void)
{
	struct gate_option ids[] = { { 1, 0 }, { 2, 400 }, { 3, 400 } };
	struct chooser c;
	int i;

	chooser_init(&c, &chooser_soonest, 4);
	for (i = 0; i < 3; i++) {
		chooser_sent(&c, ids[i].member, 0);
		chooser_answered(&c, ids[i].member, 100, 9, 10, 2);
	}
	g_assert_cmpint(count_picks(&c, ids, 3, 1, 3), >, 850);
	chooser_sent(&c, 1, 3);
	chooser_answered(&c, 1, 100, 90, 10, 4);
	g_assert_cmpint(count_picks(&c, ids, 3, 1, 5), <, 50);
	chooser_finish(&c);
}

/*
 * A server joins in cold start, and nothing is known of its gate yet. If
 * entries took that for a low latency, they would send all their requests
 * there.
 */
static void test_unknown_gate_gets_few(void)
{
	struct gate_option ids[] = { { 1, 0 }, { 2, 0 }, { 3, 0 }, { 4, 0 } };
	struct chooser c;
	int i;

	chooser_init(&c, &chooser_soonest, 5);
	for (i = 0; i < 3; i++) {
		chooser_sent(&c, ids[i].member, 0);
		chooser_answered(&c, ids[i].member, 100, 5, 18, 2);
	}
	g_assert_cmpint(count_picks(&c, ids, 4, 4, 3), <, 300);
	g_assert_cmpint(count_picks(&c, ids, 4, 4, 3), >, 20);
	chooser_finish(&c);
}

/*
 * A node that stops refuses all requests that need no key, for seconds, and is
 * listed for that time. Since it is idle it looks like the fastest gate, so
 * each request would spend one of its few attempts there.
 */
static void test_stopping_gate_is_avoided(void)
{
	struct gate_option options[] = { { .member = 1 }, { .member = 2 } };
	const struct chooser_ops *policies[] = { &chooser_soonest,
						 &chooser_two_choices };
	uint32_t i, w;

	for (w = 0; w < G_N_ELEMENTS(policies); w++) {
		struct chooser c;
		uint32_t n = 0;

		chooser_init(&c, policies[w], 7);
		chooser_sent(&c, 1, 1000);
		chooser_answered(&c, 1, 100, 8, 12, 1000);
		chooser_sent(&c, 2, 1000);
		chooser_answered(&c, 2, 50, 0, 12, 1000);
		chooser_not_serving(&c, 2, 1000);
		for (i = 0; i < 200; i++)
			n += chooser_pick(&c, options, 2, 0, 0, 1100) == 2;
		g_assert_cmpuint(n, ==, 0);
		for (i = 0; i < 200; i++)
			n += chooser_pick(&c, options, 2, 0, 0, 5000) == 2;
		g_assert_cmpuint(n, >, 50);
		chooser_finish(&c);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/budget/leaves-room-for-calls",
			test_budget_leaves_room_for_calls);
	g_test_add_func("/route/budget", test_budget_bounds_retries);
	g_test_add_func("/route/turned-away", test_misdirected_spends_budget);
	g_test_add_func("/plan/table", test_attempt_table);
	g_test_add_func("/plan/outcome", test_outcome_follows_from_attempts);
	g_test_add_func("/plan/unsent-booking", test_unsent_attempt_is_retried);
	g_test_add_func("/plan/lost-with-connection",
			test_attempt_lost_with_connection);
	g_test_add_func("/plan/causes", test_causes);
	g_test_add_func("/plan/tries", test_tries_are_bounded);
	g_test_add_func("/route/stalled", test_stalled_gate_is_avoided);
	g_test_add_func("/route/no-herd", test_no_herd);
	g_test_add_func("/route/except", test_except);
	g_test_add_func("/route/unknown", test_unknown_gate_gets_few);
	g_test_add_func("/route/near-until-full", test_near_until_full);
	g_test_add_func("/choose/stopping-gate", test_stopping_gate_is_avoided);
	return g_test_run();
}

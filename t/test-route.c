#include <glib.h>

#include "route/budget.h"
#include "route/choose.h"
#include "route/plan.h"

/*
 * In a bad minute every request fails once. Retries must stay a small part of
 * the load, or they keep the minute bad.
 */
static void test_budget_bounds_retries(void)
{
	struct budget b;
	int spent = 0;
	int i;

	budget_init(&b, 0.1, 10);
	for (i = 0; i < 1000; i++) {
		budget_earn(&b);
		spent += budget_spend(&b);
	}
	g_assert_cmpint(spent, <=, 110);
	g_assert_cmpint(spent, >=, 90);
}

static int share_of(struct chooser *c, const struct gate_option *ids,
		    uint32_t n, int64_t id, int64_t now)
{
	int got = 0;
	int i;

	for (i = 0; i < 1000; i++)
		got += chooser_pick(c, ids, n, 0, 0, now) == id;
	return got;
}

/*
 * One backend server stalls. Its gate says nothing, so its last word still
 * sounds well; the age of what waits there must turn entries away.
 */
/*
 * A server does not hold the keys that its node thinks it does, and turns their
 * requests away. Each that is sent on to another server is a repeat, and a
 * storm of them would double the load of a service that is short already.
 */
static void test_turned_away_spends_budget(void)
{
	struct budget b;
	uint32_t sent = 0;
	uint32_t i;

	budget_init(&b, 0.2, 10);
	for (i = 0; i < 1000; i++) {
		struct plan p = { .repeatable = true,
				  .keyed = true,
				  .deadline_ms = 1000,
				  .hold_until_ms = 100,
				  .max_reached = 3 };

		budget_earn(&b);
		plan_sent(&p);
		sent += plan_refused(&p, true, true, 0, &b, 0, 0) == PLAN_SEND;
	}
	g_assert_cmpuint(sent, <=, 210);
	g_assert_cmpuint(sent, >=, 200);
}

static void test_stalled_gate_is_avoided(void)
{
	struct gate_option ids[] = { { 1, 0 }, { 2, 0 }, { 3, 0 }, { 4, 0 } };
	struct chooser c;
	int i;

	chooser_init(&c, &chooser_two, 1);
	for (i = 0; i < 4; i++) {
		chooser_sent(&c, ids[i].member, 0);
		chooser_answered(&c, ids[i].member, 2, 1, 10, 2);
	}
	g_assert_cmpint(share_of(&c, ids, 4, 1, 3), >, 150);
	chooser_sent(&c, 1, 3);
	g_assert_cmpint(share_of(&c, ids, 4, 1, 100), <, 10);
	chooser_finish(&c);
}

/* All entries fleeing one gate must not meet at a single other one. */
static void test_no_herd(void)
{
	struct gate_option ids[] = { { 1, 0 }, { 2, 0 }, { 3, 0 }, { 4, 0 } };
	struct chooser c;
	int i;

	chooser_init(&c, &chooser_two, 2);
	for (i = 0; i < 4; i++) {
		chooser_sent(&c, ids[i].member, 0);
		chooser_answered(&c, ids[i].member, 2 + 0.1 * i, 1, 10, 2);
	}
	chooser_refused(&c, 1, 100, 2);
	for (i = 1; i < 3; i++)
		g_assert_cmpint(share_of(&c, ids, 4, ids[i].member, 3), <, 700);
	chooser_finish(&c);
}

static void test_except(void)
{
	struct gate_option ids[] = { { 1, 0 }, { 2, 0 } };
	struct chooser c;

	chooser_init(&c, &chooser_two, 3);
	g_assert_cmpint(chooser_pick(&c, ids, 2, 0, 1, 0), ==, 2);
	g_assert_cmpint(chooser_pick(&c, ids, 1, 0, 1, 0), ==, 0);
	chooser_finish(&c);
}

/*
 * Answers of a class are large and bytes between data centres dear. The gate
 * at home must get the requests, until it is so full that its caller would
 * wait longer than the bytes are worth.
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
	g_assert_cmpint(share_of(&c, ids, 3, 1, 3), >, 850);
	chooser_sent(&c, 1, 3);
	chooser_answered(&c, 1, 100, 90, 10, 4);
	g_assert_cmpint(share_of(&c, ids, 3, 1, 5), <, 50);
	chooser_finish(&c);
}

/*
 * A server joins, cold. Nothing is known of its gate yet, and entries that take
 * that for quick send it all they have.
 */
static void test_unknown_is_not_quick(void)
{
	struct gate_option ids[] = { { 1, 0 }, { 2, 0 }, { 3, 0 }, { 4, 0 } };
	struct chooser c;
	int i;

	chooser_init(&c, &chooser_soonest, 5);
	for (i = 0; i < 3; i++) {
		chooser_sent(&c, ids[i].member, 0);
		chooser_answered(&c, ids[i].member, 100, 5, 18, 2);
	}
	g_assert_cmpint(share_of(&c, ids, 4, 4, 3), <, 300);
	g_assert_cmpint(share_of(&c, ids, 4, 4, 3), >, 20);
	chooser_finish(&c);
}

/*
 * A node that stops refuses all work that needs no key, for seconds, and stays
 * listed meanwhile. With nothing to do it looks the quickest, so that each
 * request would spend one of its few offers there.
 */
static void test_stopping_gate_is_left_alone(void)
{
	struct gate_option options[] = { { .member = 1 }, { .member = 2 } };
	const struct chooser_ops *ways[] = { &chooser_soonest, &chooser_two };
	uint32_t i, w;

	for (w = 0; w < G_N_ELEMENTS(ways); w++) {
		struct chooser c;
		uint32_t n = 0;

		chooser_init(&c, ways[w], 7);
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
	g_test_add_func("/route/budget", test_budget_bounds_retries);
	g_test_add_func("/route/turned-away", test_turned_away_spends_budget);
	g_test_add_func("/route/stalled", test_stalled_gate_is_avoided);
	g_test_add_func("/route/no-herd", test_no_herd);
	g_test_add_func("/route/except", test_except);
	g_test_add_func("/route/unknown", test_unknown_is_not_quick);
	g_test_add_func("/route/near-until-full", test_near_until_full);
	g_test_add_func("/choose/stopping-gate",
			test_stopping_gate_is_left_alone);
	return g_test_run();
}

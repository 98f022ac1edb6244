#include <stdlib.h>
#include <string.h>

#include "t/sim.h"

#define FAULTY_MS 60000

static uint32_t first_seed = 1;
static uint32_t n_seeds = 40;

/* How the keys of a simulated fleet are held. */
enum sim_kind {
	SIM_HASHED, /* by nodes, without grants */
	SIM_GRANTED, /* by servers, granted in the answers to heartbeats */
	SIM_GRANTED_ONE_ROW, /* the same, with room for one row in an answer */
	SIM_GRANTED_LATE, /* as SIM_GRANTED, and heartbeats arrive late */
	/* The same, and servers leave soon after their process restarted. */
	SIM_GRANTED_LATE_LEAVING,
	SIM_CALLED, /* by servers, granted by calls */
};

static uint64_t run_with_faults(struct sim *s, uint32_t seed, uint32_t rules,
				enum sim_kind kind)
{
	int64_t end;

	if (kind == SIM_CALLED)
		sim_init_grant_by_call(s, seed, rules);
	else if (kind == SIM_GRANTED_LATE || kind == SIM_GRANTED_LATE_LEAVING)
		sim_init_late_heartbeats(s, seed, rules);
	else if (kind == SIM_GRANTED || kind == SIM_GRANTED_ONE_ROW)
		sim_init_grant_by_heartbeat(s, seed, rules);
	else
		sim_init(s, seed, rules);
	s->verbose = g_getenv("VERBOSE") != NULL;
	if (!rules)
		g_assert_true(sim_run_until_served(s, 20000));
	else
		sim_run_until_served(s, 20000);
	s->loss = 0.02 * (seed % 5);
	s->max_answer_rows = kind == SIM_GRANTED_ONE_ROW;
	end = s->now_ms + FAULTY_MS;
	while (s->now_ms < end && !s->breaches &&
	       (rules || !s->fence_breaches)) {
		sim_run(s, g_rand_int_range(s->rand, 100, 3000));
		sim_inject_fault(s);
		if (g_rand_boolean(s->rand))
			sim_inject_fault(s);
		if (kind == SIM_GRANTED_LATE_LEAVING && g_rand_boolean(s->rand))
			sim_restart_then_leave(s);
	}
	return s->breaches;
}

/*
 * Nodes are killed, paused, cut off and replaced, the log has outages and loses
 * answers, operators publish at the same time, and messages are delayed,
 * duplicated and lost, separately and together. A user would notice two servers
 * that serve one key, or a key that no server serves once the faults are over.
 */
static void test_random_faults(gconstpointer kind)
{
	uint32_t i;

	for (i = 0; i < n_seeds; i++) {
		struct sim s;

		if (run_with_faults(&s, first_seed + i, 0,
				    GPOINTER_TO_UINT(kind)))
			g_error("seed %u: two owners", first_seed + i);
		sim_clear_faults(&s);
		if (!sim_run_until_served(&s, 60000)) {
			sim_print_nodes(&s);
			g_error("seed %u: %u shards not served after the "
				"faults ended",
				first_seed + i, sim_n_unserved(&s));
		}
		if (!sim_run_until_settled(&s, 60000))
			g_error("seed %u: a move was not settled within 60 s",
				first_seed + i);
		if (s.breaches)
			g_error("seed %u: two owners after the faults ended",
				first_seed + i);
		if (s.n_omitted_held)
			g_error("seed %u: counted a shard as granted "
				"that no answer named",
				first_seed + i);
		if (s.fence_breaches)
			g_error("seed %u: served under a fence that is not the "
				"newest",
				first_seed + i);
		sim_finish(&s);
	}
	g_test_message("%u seeds ran", n_seeds);
}

/*
 * With one safety rule off, the same runs must find two owners of some key. A
 * rule that can be off without a breach is not covered by the runs.
 */
static void check_rule_is_needed(uint32_t rule, enum sim_kind kind)
{
	uint32_t seed;

	for (seed = 1; seed <= 400; seed++) {
		struct sim s;
		uint64_t breaches = run_with_faults(&s, seed, rule, kind);

		sim_finish(&s);
		if (breaches) {
			g_test_message("caught by seed %u", seed);
			return;
		}
	}
	g_error("rule %x off: no breach in 400 seeds", rule);
}

static void test_rule_is_needed(gconstpointer rule)
{
	check_rule_is_needed(GPOINTER_TO_UINT(rule), SIM_HASHED);
}

/* The same with backend servers that hold keys by grants. */
static void test_rule_is_needed_granted(gconstpointer rule)
{
	check_rule_is_needed(GPOINTER_TO_UINT(rule), SIM_GRANTED);
}

/* The same, and heartbeats arrive late, with one of the grant rules off. */
static void test_rule_is_needed_late(gconstpointer rule)
{
	check_rule_is_needed(GPOINTER_TO_UINT(rule), SIM_GRANTED_LATE_LEAVING);
}

/* The same with grants by call, and one of the rules for these calls off. */
static void test_rule_is_needed_called(gconstpointer rule)
{
	check_rule_is_needed(GPOINTER_TO_UINT(rule), SIM_CALLED);
}

/*
 * All rules, in the order of their bits. main() skips those that runs without
 * grants do not find missing.
 */
static const char *const rule_names[] = {
	"lease-from-sending",	"witness-waits",
	"stop-is-final",	"majority",
	"successor-catches-up", "release-before-hold",
	"witnesses-know-move",	"old-witnesses-count",
	"restart-waits",	"log-witness-wait",
	"promise-is-kept",	"requests-end-first",
};

/* Rules that runs with grants find missing within a few hundred seeds. */
static const struct {
	uint32_t rule;
	const char *name;
} granted_rules[] = {
	{ RULE_LEASE_FROM_SENDING, "lease-from-sending" },
	{ RULE_WITNESS_WAITS, "witness-waits" },
	{ RULE_STOP_IS_FINAL, "stop-is-final" },
	{ RULE_MAJORITY, "majority" },
	{ RULE_RELEASE_BEFORE_HOLD, "release-before-hold" },
	{ RULE_RESTART_WAITS, "restart-waits" },
	{ RULE_REQUESTS_END_FIRST, "requests-end-first" },
};

static const struct {
	uint32_t rule;
	const char *name;
} called_rules[] = {
	{ GRANT_RULE_IN_DOUBT, "doubt-lasts" },
	{ GRANT_RULE_SEND_DEADLINE, "sent-in-time" },
	{ GRANT_RULE_PREV_PROCESS, "past-counts" },
	{ GRANT_RULE_IN_FLIGHT, "asked-counts" },
};

int main(int argc, char **argv)
{
	uint32_t i;

	g_test_init(&argc, &argv, NULL);
	if (g_getenv("SEEDS"))
		n_seeds = atoi(g_getenv("SEEDS"));
	if (g_getenv("FIRST_SEED"))
		first_seed = atoi(g_getenv("FIRST_SEED"));
	g_test_add_data_func("/member/random-faults", NULL, test_random_faults);
	g_test_add_data_func("/member/random-grants",
			     GUINT_TO_POINTER(SIM_GRANTED), test_random_faults);
	g_test_add_data_func("/member/random-crowded",
			     GUINT_TO_POINTER(SIM_GRANTED_ONE_ROW),
			     test_random_faults);
	g_test_add_data_func("/member/random-late-heartbeats",
			     GUINT_TO_POINTER(SIM_GRANTED_LATE),
			     test_random_faults);
	g_test_add_data_func("/member/random-servers-leave",
			     GUINT_TO_POINTER(SIM_GRANTED_LATE_LEAVING),
			     test_random_faults);
	g_test_add_data_func("/member/rule-is-needed-late/prev-process",
			     GUINT_TO_POINTER(GRANT_RULE_PREV_PROCESS),
			     test_rule_is_needed_late);
	g_test_add_data_func("/member/random-calls",
			     GUINT_TO_POINTER(SIM_CALLED), test_random_faults);
	for (i = 0; i < G_N_ELEMENTS(rule_names); i++) {
		/* Covered by t/test-schedules.c. */
		if (1u << i == RULE_SUCCESSOR_CATCHES_UP ||
		    1u << i == RULE_WITNESSES_KNOW_MOVE ||
		    1u << i == RULE_REQUESTS_END_FIRST ||
		    1u << i == RULE_PROMISE_PERSISTS)
			continue;
		g_autofree char *path = g_strdup_printf(
			"/member/rule-is-needed/%s", rule_names[i]);

		g_test_add_data_func(path, GUINT_TO_POINTER(1u << i),
				     test_rule_is_needed);
	}
	for (i = 0; i < G_N_ELEMENTS(granted_rules); i++) {
		g_autofree char *path =
			g_strdup_printf("/member/rule-is-needed-granted/%s",
					granted_rules[i].name);

		g_test_add_data_func(path,
				     GUINT_TO_POINTER(granted_rules[i].rule),
				     test_rule_is_needed_granted);
	}
	for (i = 0; i < G_N_ELEMENTS(called_rules); i++) {
		g_autofree char *path =
			g_strdup_printf("/member/rule-is-needed-called/%s",
					called_rules[i].name);

		g_test_add_data_func(path,
				     GUINT_TO_POINTER(called_rules[i].rule),
				     test_rule_is_needed_called);
	}
	return g_test_run();
}

#include <stdlib.h>

#include "t/sim.h"

/*
 * When operators' changes are in force: at every node within CHANGE_BOUND_MS of
 * the store's acknowledgement, however late the store answers, and never taken
 * back by a process.
 */

#define CHANGE_BOUND_MS 2500
/* A node counts as undisturbed this long after a disturbance has ended. */
#define CALM_MS 3000
#define RUN_MS 60000
#define MAX_DISTURBED 3
#define DEFAULT_SEEDS 12

struct result {
	uint32_t late; /* node and change */
	uint32_t taken_back;
};

static uint32_t env_number(const char *name, uint32_t fallback)
{
	const char *s = g_getenv(name);

	return s ? (uint32_t)strtoul(s, NULL, 10) : fallback;
}

static bool is_disturbed(const struct sim_node *nd)
{
	return !nd->up || nd->disturbed_until_ms + CALM_MS > nd->sim->now_ms;
}

static uint32_t n_disturbed(const struct sim *s)
{
	uint32_t i, n = 0;

	for (i = 0; i < SIM_NODES; i++)
		n += is_disturbed(&s->nodes[i]);
	return n;
}

static void cut_off(struct sim *s, uint32_t slot, int64_t ms)
{
	uint32_t i;

	for (i = 0; i < SIM_NODES; i++)
		sim_cut_link(s, slot, i, ms);
}

/* Disturbs a node for a few seconds, or has the log refuse changes. */
static void disturb(struct sim *s)
{
	struct sim_node *nd =
		&s->nodes[g_rand_int_range(s->rand, 0, SIM_NODES)];
	int64_t ms = g_rand_int_range(s->rand, 300, 3500);
	uint32_t kind = g_rand_int_range(s->rand, 0, 6);

	if (kind == 5)
		s->changes_refused_until_ms = s->now_ms + ms;
	if (kind == 5 || n_disturbed(s) >= MAX_DISTURBED || !nd->up)
		return;
	nd->disturbed_until_ms = s->now_ms + ms;
	switch (kind) {
	case 0:
		sim_pause(s, nd->slot, ms);
		break;
	case 1:
		sim_kill(s, nd->slot);
		break;
	case 2:
		nd->log_unreachable = true;
		break;
	case 3:
		cut_off(s, nd->slot, ms);
		break;
	default:
		nd->log_unreachable = true;
		cut_off(s, nd->slot, ms);
		break;
	}
}

/* Ends the disturbances whose time is over. */
static void end_disturbances(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < SIM_NODES; i++) {
		struct sim_node *nd = &s->nodes[i];

		if (nd->disturbed_until_ms > s->now_ms)
			continue;
		nd->log_unreachable = false;
		if (!nd->up) {
			sim_start(s, i);
			nd->disturbed_until_ms = s->now_ms;
		}
	}
}

/* The newest change that must be in force by now, -1 if none. */
static int64_t source_due(const struct sim *s)
{
	int64_t i = s->operators->len;

	while (--i >= 0)
		if (sim_written_at_ms(s, i) + s->answer_ms + CHANGE_BOUND_MS <=
		    s->now_ms)
			break;
	return i;
}

static void check_node(struct sim_node *nd, int64_t due, struct result *r)
{
	int64_t source;

	if (!nd->up || nd->paused_until_ms > nd->sim->now_ms ||
	    !member_is_current(&nd->member))
		return;
	source = member_source_in_force(&nd->member);
	r->taken_back += source < nd->source;
	nd->source = source;
	if (source >= due || is_disturbed(nd))
		return;
	r->late++;
	if (nd->sim->verbose)
		g_print("%7" G_GINT64_FORMAT " node %u is late: change "
			"%" G_GINT64_FORMAT " written at %" G_GINT64_FORMAT
			", has %" G_GINT64_FORMAT "\n",
			(gint64)nd->sim->now_ms, nd->slot, (gint64)due,
			(gint64)sim_written_at_ms(nd->sim, due),
			(gint64)source);
}

static void check_nodes(struct sim *s, struct result *r)
{
	int64_t due = source_due(s);
	uint32_t i;

	for (i = 0; i < SIM_NODES; i++)
		check_node(&s->nodes[i], due, r);
}

static void start_fleet(struct sim *s, uint32_t seed, uint32_t rules)
{
	uint32_t i;

	sim_init(s, seed, rules);
	s->verbose = g_getenv("VERBOSE") != NULL;
	g_assert_true(sim_run_until_served(s, 20000));
	sim_run(s, 5000);
	sim_start_operators(s);
	for (i = 0; i < SIM_NODES; i++)
		s->nodes[i].source = -1;
}

/* Changes and disturbances at random, with answers that are answer_ms late. */
static struct result run_changes(uint32_t seed, uint32_t rules,
				 int64_t answer_ms)
{
	struct result r = { 0 };
	int64_t next_change_ms, next_fault_ms, end;
	struct sim s;

	start_fleet(&s, seed, rules);
	s.answer_ms = answer_ms;
	s.loss = seed % 3 ? 0 : 0.02;
	next_change_ms = s.now_ms + 1000;
	next_fault_ms = s.now_ms + 2000;
	end = s.now_ms + RUN_MS;
	while (s.now_ms < end) {
		end_disturbances(&s);
		if (s.now_ms >= next_fault_ms) {
			disturb(&s);
			next_fault_ms =
				s.now_ms + g_rand_int_range(s.rand, 300, 3000);
		}
		if (s.now_ms >= next_change_ms) {
			sim_publish(&s);
			next_change_ms =
				s.now_ms +
				(g_rand_boolean(s.rand)
					 ? g_rand_int_range(s.rand, 50, 600)
					 : g_rand_int_range(s.rand, 1500,
							    6000));
		}
		sim_step(&s);
		check_nodes(&s, &r);
	}
	sim_finish(&s);
	return r;
}

static const int64_t answer_times_ms[] = { 0, 600, 1300 };

static void test_random_changes(void)
{
	uint32_t first = env_number("FIRST_SEED", 1);
	uint32_t n = env_number("SEEDS", DEFAULT_SEEDS);
	uint32_t seed;

	for (seed = first; seed < first + n; seed++) {
		int64_t ms =
			answer_times_ms[seed % G_N_ELEMENTS(answer_times_ms)];
		struct result r = run_changes(seed, 0, ms);

		if (r.late || r.taken_back)
			g_print("seed %u, answers %" G_GINT64_FORMAT
				" ms late: %u late, %u taken back\n",
				seed, (gint64)ms, r.late, r.taken_back);
		g_assert_cmpuint(r.late, ==, 0);
		g_assert_cmpuint(r.taken_back, ==, 0);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/changes/random", test_random_changes);
	return g_test_run();
}

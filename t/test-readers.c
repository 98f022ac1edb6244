#include "node/read-plan.h"
#include "t/sim.h"

/* Which nodes read the log, and how the records reach the other nodes. */

#define N_LOG_READERS 2
#define N_RECORDS 20

static void start_fleet(struct sim *s, uint32_t seed)
{
	sim_init_grant_by_heartbeat(s, seed, 0);
	g_assert_true(sim_run_until_served(s, 20000));
	sim_run(s, 5000);
}

static uint64_t count_reads(const struct sim *s)
{
	uint64_t n = 0;
	uint32_t i;

	for (i = 0; i < SIM_NODES; i++)
		n += s->nodes[i].n_nonempty_log_reads;
	return n;
}

static void append_padding(struct sim *s)
{
	sim_append(s, json_pack("{s:s}", "type", "padding"));
}

/*
 * Runs for within_ms and returns whether all running nodes have applied what
 * was in the log at the beginning.
 */
static bool all_apply(struct sim *s, int64_t within_ms)
{
	int64_t end = s->log->len - 1;
	uint32_t i;

	sim_run(s, within_ms);
	for (i = 0; i < SIM_NODES; i++)
		if (s->nodes[i].up && s->nodes[i].member.fleet.applied < end)
			return false;
	return true;
}

/* Two nodes read each record from the log, however many relay it. */
static void test_two_readers_for_fleet(void)
{
	uint32_t seed, i;

	for (seed = 1; seed <= 5; seed++) {
		uint64_t before;
		struct sim s;

		start_fleet(&s, seed);
		before = count_reads(&s);
		for (i = 0; i < N_RECORDS; i++) {
			append_padding(&s);
			g_assert_true(all_apply(&s, 300));
		}
		g_assert_cmpuint(count_reads(&s) - before, <=,
				 N_LOG_READERS * N_RECORDS + 4);
		sim_finish(&s);
	}
}

/* The log readers cannot reach the log, and do not report it. */
static void test_log_readers_cut_off(void)
{
	uint32_t seed, i;

	for (seed = 1; seed <= 5; seed++) {
		struct sim s;

		start_fleet(&s, seed);
		for (i = 0; i < SIM_NODES; i++)
			s.nodes[i].log_unreachable =
				s.nodes[i].member.is_log_reader;
		append_padding(&s);
		g_assert_true(all_apply(&s, 2500));
		append_padding(&s);
		g_assert_true(all_apply(&s, 1200));
		sim_finish(&s);
	}
}

/* The log readers are killed at the same time. */
static void test_log_readers_killed(void)
{
	uint32_t seed, i;

	for (seed = 1; seed <= 5; seed++) {
		struct sim s;

		start_fleet(&s, seed);
		for (i = 0; i < SIM_NODES; i++)
			if (s.nodes[i].member.is_log_reader)
				sim_kill(&s, i);
		append_padding(&s);
		g_assert_true(all_apply(&s, 2500));
		sim_finish(&s);
	}
}

/* Nodes that are told that there are no new records rarely read the log. */
static void test_notified_nodes_read_rarely(void)
{
	uint64_t looks_before[SIM_NODES];
	struct sim s;
	uint32_t i;

	start_fleet(&s, 3);
	sim_run(&s, 15000);
	for (i = 0; i < SIM_NODES; i++)
		looks_before[i] = s.nodes[i].n_log_reads;
	sim_run(&s, 50000);
	for (i = 0; i < SIM_NODES; i++)
		if (!s.nodes[i].member.is_log_reader)
			g_assert_cmpuint(s.nodes[i].n_log_reads -
						 looks_before[i],
					 <=, 2);
	sim_finish(&s);
}

/*
 * The log readers and all relays are cut off from the log: the other nodes must
 * read it themselves.
 */
static void test_all_relays_cut_off(void)
{
	uint32_t seed, i;

	for (seed = 1; seed <= 5; seed++) {
		uint32_t n_others = 0;
		struct sim s;

		start_fleet(&s, seed);
		sim_run(&s, 15000);
		for (i = 0; i < SIM_NODES; i++) {
			const struct member_node *m = &s.nodes[i].member;

			s.nodes[i].log_unreachable = m->is_log_reader ||
						     m->is_relay;
			n_others += !s.nodes[i].log_unreachable;
		}
		g_assert_cmpuint(n_others, >, 0);
		append_padding(&s);
		g_assert_true(all_apply(&s, 10000));
		sim_finish(&s);
	}
}

/* The nodes of a fleet that starts must read little until they have joined. */
static void test_joining_node_reads_little(void)
{
	struct read_plan p;
	struct sim s;
	uint32_t i;

	sim_init_grant_by_heartbeat(&s, 1, 0);
	member_set_membership_wanted(&s.nodes[0].member, true, 0);
	read_plan_make(&s.nodes[0].member, 10000, false, &p);
	g_assert_cmpint(p.wait_ms, >=, 1000);
	g_assert_cmpint(p.batch_delay_ms, >=, 1000);
	g_assert_cmpint(p.idle_interval_ms, ==, 0);
	g_assert_true(sim_run_until_served(&s, 20000));
	sim_run(&s, 5000);
	for (i = 0; i < SIM_NODES; i++) {
		const struct member_node *m = &s.nodes[i].member;

		read_plan_make(m, 10000, false, &p);
		g_assert_cmpint(p.wait_ms, ==, m->is_log_reader ? 3000 : 0);
		g_assert_cmpint(p.idle_interval_ms, ==,
				m->is_log_reader ? 0 : 60000);
	}
	sim_finish(&s);
}

/*
 * A member whose witness is the log must read so often that its lease outlasts
 * several reads.
 */
static void test_log_as_witness_is_read_often(void)
{
	struct witness_set log = { .n = 1, .id = { LOG_WITNESS } };
	struct read_plan p;
	struct member *m;
	struct sim s;

	start_fleet(&s, 2);
	m = fleet_member(&s.nodes[0].member.fleet, s.nodes[0].member.self_id);
	m->witnesses = log;
	read_plan_make(&s.nodes[0].member, 10000, false, &p);
	g_assert_cmpint(p.wait_ms, <=, 300);
	g_assert_cmpint(p.batch_delay_ms, <=, 300);
	g_assert_cmpint(p.batch_delay_ms, >, 100);
	g_assert_cmpint(p.idle_interval_ms, ==, 0);
	sim_finish(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/readers/two-read-for-all",
			test_two_readers_for_fleet);
	g_test_add_func("/readers/first-readers-cut-off",
			test_log_readers_cut_off);
	g_test_add_func("/readers/first-readers-killed",
			test_log_readers_killed);
	g_test_add_func("/readers/who-is-told-reads-seldom",
			test_notified_nodes_read_rarely);
	g_test_add_func("/readers/all-who-pass-on-cut-off",
			test_all_relays_cut_off);
	g_test_add_func("/readers/who-joins-reads-little",
			test_joining_node_reads_little);
	g_test_add_func("/readers/log-as-witness-is-read-often",
			test_log_as_witness_is_read_often);
	return g_test_run();
}

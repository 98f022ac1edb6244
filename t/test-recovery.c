#include "state/records.h"
#include "t/sim.h"
#include "util/result.h"

/*
 * What becomes of keys whose backend servers hold them by grants, when
 * processes are killed beside them.
 */

/* A fleet whose servers hold by grants, at rest for a while. */
static void start_granted(struct sim *s, uint32_t seed, uint32_t rules,
			  int64_t quiet_ms)
{
	sim_init_grant_by_heartbeat(s, seed, rules);
	s->verbose = g_getenv("VERBOSE") != NULL;
	g_assert_true(sim_run_until_served(s, 20000));
	sim_run(s, quiet_ms);
}

static uint64_t heir_forgets(uint32_t seed, uint32_t rules)
{
	struct fleet_service *sv;
	struct sim s;
	uint64_t breaches;
	int owner, heir;

	start_granted(&s, seed, rules, 30000);
	sv = fleet_service(sim_newest_state(&s), "records");
	owner = sim_slot_of_member(&s, sv->shards[0].owner);
	heir = sim_slot_of_member(&s, sv->shards[0].successor);
	/* The heir takes over, and the log does not hear of it. */
	s.log_down_until_ms = s.now_ms + 100000;
	sim_kill(&s, owner);
	sim_run(&s, 8000);
	g_assert_cmpint(sim_serving_slot(&s, 0), ==, heir);
	/* Both are back; the heir's server reports before the log is read. */
	s.log_down_until_ms = 0;
	sim_kill(&s, heir);
	sim_start(&s, heir);
	s.nodes[heir].log_unreachable = true;
	s.nodes[heir].backend.next_heartbeat_at_ms = s.now_ms;
	sim_run(&s, 3 * SIM_STEP_MS);
	s.nodes[heir].log_unreachable = false;
	s.nodes[heir].backend.next_heartbeat_at_ms = s.now_ms + 10000;
	sim_start(&s, owner);
	s.nodes[owner].backend.next_heartbeat_at_ms = s.now_ms;
	sim_run(&s, 4000);
	breaches = s.breaches;
	sim_finish(&s);
	return breaches;
}

/*
 * An heir takes over a key while the log is away, and its process is killed
 * beside a server that goes on serving it. Then the owner is back and asks the
 * heir's new process, which knows of nothing it holds. Taken for free, the key
 * would be served by two servers.
 */
static void test_heir_forgets(void)
{
	uint64_t without = 0;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		g_assert_cmpuint(heir_forgets(seed, 0), ==, 0);
		without += heir_forgets(seed, RULE_SERVER_REPORTS_FIRST);
	}
	g_assert_cmpuint(without, >, 0);
}

static uint64_t late_call(uint32_t seed, uint32_t grant_rules)
{
	struct sim_call late = { .outcome = GRANT_IN_DOUBT,
				 .answer_at_ms = -1 };
	struct fleet_service *sv;
	struct sim_node *nd;
	struct sim s;
	uint64_t breaches;
	int64_t fence;
	int owner, heir;

	sim_init_grant_by_call(&s, seed, grant_rules);
	s.verbose = g_getenv("VERBOSE") != NULL;
	g_assert_true(sim_run_until_served(&s, 20000));
	sim_run(&s, 15000);
	sv = fleet_service(sim_newest_state(&s), "records");
	owner = sim_slot_of_member(&s, sv->shards[0].owner);
	heir = sim_slot_of_member(&s, sv->shards[0].successor);
	nd = &s.nodes[heir];
	s.log_down_until_ms = s.now_ms + 100000;
	sim_kill(&s, owner);
	while (sim_serving_slot(&s, 0) != heir)
		sim_step(&s);
	/* Sent as the heir is killed, and carried out as its hold would end. */
	g_assert_true(member_holds(&nd->member, 0, &fence));
	late.call.row.fence = fence;
	late.call.hold_ms = 2200;
	late.instance = nd->backend.instance;
	late.arrives_at_ms = s.now_ms;
	late.apply_at_ms = s.now_ms + 2100;
	g_array_append_val(nd->backend.calls, late);
	s.log_down_until_ms = 0;
	sim_restart_all(&s, false, SIM_STEP_MS);
	sim_run(&s, 4000);
	breaches = s.breaches;
	sim_finish(&s);
	return breaches;
}

/*
 * An heir that has taken a key over is killed with a call in doubt. Its new
 * process asks the key back, its server says that it is free, the owner that is
 * back takes it, and then the heir's server carries the call out.
 */
static void test_late_call(void)
{
	uint64_t without = 0;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		g_assert_cmpuint(late_call(seed, 0), ==, 0);
		without += late_call(seed, GRANT_RULE_PREV_PROCESS_IN_DOUBT);
	}
	g_assert_cmpuint(without, >, 0);
}

/*
 * Each change that every node read from the log itself would cost as many calls
 * as there are nodes. A few read, and the others must have it as soon. Reads
 * for one change by eight nodes: eight before, four now.
 */
static void test_passed_on(void)
{
	uint64_t reads = 0;
	struct sim s;
	uint32_t i;

	start_granted(&s, 7, 0, 20000);
	for (i = 0; i < SIM_NODES; i++)
		reads -= s.nodes[i].n_nonempty_log_reads;
	sim_configure(&s, NULL);
	sim_run(&s, 200);
	for (i = 0; i < SIM_NODES; i++) {
		g_assert_cmpint(s.nodes[i].member.fleet.applied, ==,
				s.log->len - 1);
		reads += s.nodes[i].n_nonempty_log_reads;
	}
	g_assert_cmpuint(reads, <=, 4);
	sim_finish(&s);
}

/* The new process finds a snapshot in the log, and no record before it. */
static void restart_beside_server(struct sim *s, int slot)
{
	struct sim_node *nd = &s->nodes[slot];
	json_t *snapshot = fleet_snapshot(sim_newest_state(s));

	sim_kill(s, slot);
	sim_start(s, slot);
	g_assert_cmpint(member_load_snapshot(&nd->member, snapshot,
					     sim_node_now_ms(nd)),
			==, RESULT_OK);
	json_decref(snapshot);
	nd->backend.next_heartbeat_at_ms = s->now_ms;
}

static uint64_t unknown_past(uint32_t seed, uint32_t rules)
{
	struct fleet_service *sv;
	struct sim s;
	uint64_t breaches;
	int64_t a, x;

	start_granted(&s, seed, rules, 30000);
	sv = fleet_service(sim_newest_state(&s), "records");
	a = sv->shards[0].owner;
	x = sim_other_member(&s, a, sv->shards[0].successor, 0);
	sim_append_move(&s, 0, x, sim_other_member(&s, a, x, 0));
	restart_beside_server(&s, sim_slot_of_member(&s, a));
	sim_run(&s, 200);
	/* The first server holds on, and hears of nothing. */
	s.nodes[s.top_fence_slot[0]].backend.next_heartbeat_at_ms =
		s.now_ms + 10000;
	restart_beside_server(&s, sim_slot_of_member(&s, x));
	sim_run(&s, 6000);
	breaches = s.breaches;
	sim_finish(&s);
	return breaches;
}

/*
 * A key moves, and its old owner's process is killed before it lets go, beside
 * a server that goes on serving it for the time granted. The new owner knows
 * when that was and waits; then its process is killed too. The next one finds
 * the records in the log, and not how old they are. Serving at once, it would
 * give the key a second server.
 */
static void test_unknown_past(void)
{
	uint64_t without = 0;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		g_assert_cmpuint(unknown_past(seed, 0), ==, 0);
		without += unknown_past(seed, RULE_WAIT_AFTER_START);
	}
	g_assert_cmpuint(without, >, 0);
}

/*
 * Every process is killed at once, or every host loses power, and all start
 * again a second later, each naming its neighbours as witnesses by processes
 * that are gone. Callers find no owner for any key until leases are had again;
 * the users' bound for a key is three seconds. The second time the log tells of
 * the first, and is read before the server beside has been heard: taken for
 * news, the restarts in it would have every key wait for a lease's length.
 */
#define ALL_SERVERS 1 /* the servers end as well */
#define ALL_CALLED 2 /* they are told by calls what they hold */
#define ALL_AGAIN 4 /* and all of it for the second time */

static void test_all_killed(gconstpointer data)
{
	uint32_t how = GPOINTER_TO_UINT(data);
	int64_t longest = 0;
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		struct sim s;
		int64_t began;

		if (how & ALL_CALLED)
			sim_init_grant_by_call(&s, seed, 0);
		else
			sim_init_grant_by_heartbeat(&s, seed, 0);
		s.verbose = g_getenv("VERBOSE") != NULL;
		g_assert_true(sim_run_until_served(&s, 20000));
		sim_run(&s, 15000);
		if (how & ALL_AGAIN) {
			sim_restart_all(&s, how & ALL_SERVERS, 1300);
			sim_run(&s, 15000);
		}
		sim_restart_all(&s, how & ALL_SERVERS, 1300);
		began = s.now_ms;
		sim_run_until_served(&s, 30000);
		longest = MAX(longest, s.now_ms - began);
		g_assert_cmpuint(s.breaches, ==, 0);
		g_assert_cmpuint(s.fence_breaches, ==, 0);
		sim_finish(&s);
	}
	g_test_message(
		"longest without an owner for some key: %" G_GINT64_FORMAT
		" ms after the start",
		(gint64)longest);
	g_assert_cmpint(longest, <=, 3000);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/recovery/all-killed", NULL, test_all_killed);
	g_test_add_data_func("/recovery/all-without-power",
			     GUINT_TO_POINTER(ALL_SERVERS), test_all_killed);
	g_test_add_data_func("/recovery/all-killed-by-call",
			     GUINT_TO_POINTER(ALL_CALLED), test_all_killed);
	g_test_add_data_func("/recovery/all-without-power-by-call",
			     GUINT_TO_POINTER(ALL_SERVERS | ALL_CALLED),
			     test_all_killed);
	g_test_add_data_func("/recovery/all-killed-again",
			     GUINT_TO_POINTER(ALL_AGAIN), test_all_killed);
	g_test_add_data_func("/recovery/all-killed-again-by-call",
			     GUINT_TO_POINTER(ALL_CALLED | ALL_AGAIN),
			     test_all_killed);
	g_test_add_func("/recovery/unknown-past", test_unknown_past);
	g_test_add_func("/recovery/heir-forgets", test_heir_forgets);
	g_test_add_func("/recovery/late-call", test_late_call);
	g_test_add_func("/recovery/passed-on", test_passed_on);
	return g_test_run();
}

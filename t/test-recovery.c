#include "state/records.h"
#include "t/sim.h"
#include "util/result.h"

/*
 * What happens to keys that backend servers hold by grants when the processes
 * of their nodes are killed.
 */

/*
 * A fleet whose backend servers hold shards by grants, run for settle_ms after
 * it has converged.
 */
static void start_granted(struct sim *s, uint32_t seed, uint32_t rules,
			  int64_t settle_ms)
{
	sim_init_grant_by_heartbeat(s, seed, rules);
	s->verbose = g_getenv("VERBOSE") != NULL;
	g_assert_true(sim_run_until_served(s, 20000));
	sim_run(s, settle_ms);
}

/* A heartbeat from before the server was granted any shard arrives now. */
static void take_empty_heartbeat(struct sim_node *nd)
{
	struct sim_heartbeat h = { .instance = nd->backend.instance,
				   .number = 1,
				   .arrives_at_ms = nd->sim->now_ms };

	h.rows = g_array_new(FALSE, TRUE, sizeof(struct grant_row));
	g_array_append_val(nd->backend.late_heartbeats, h);
	nd->backend.next_heartbeat_at_ms = nd->sim->now_ms + 10000;
}

typedef void (*leave_fn)(struct sim_node *nd);

static void leave_at_join(struct sim_node *nd)
{
	nd->leaves_at_join = true;
	sim_run(nd->sim, 3000);
	g_assert_false(nd->leaves_at_join);
}

static void leave_while_joining(struct sim_node *nd)
{
	int64_t end = nd->sim->now_ms + 3000;

	while (!nd->member.join_info.nonce[0] && nd->sim->now_ms < end)
		sim_step(nd->sim);
	g_assert_cmpint(nd->member.self_id, ==, 0);
	member_set_membership_wanted(&nd->member, false, sim_node_now_ms(nd));
}

/* The heartbeat arrives before the process has read the log. */
static void leave_with_log_unread(struct sim_node *nd)
{
	nd->log_unreachable = true;
	nd->no_records_until_ms = nd->sim->now_ms + 100;
	sim_run(nd->sim, 100);
	g_assert_false(nd->grants.heartbeat_seen);
	nd->log_unreachable = false;
	leave_at_join(nd);
}

/*
 * A process is killed beside its living server, a late heartbeat that lists no
 * shards is the first that the next one gets, and the server leaves before that
 * process has acquired shards. They must not go to others before the grants of
 * the first process have ended.
 */
static void test_leaves_before_it_acquires(gconstpointer data)
{
	leave_fn leave = (leave_fn)data;
	uint32_t seed, slot;

	for (seed = 1; seed <= 8; seed++) {
		struct sim_node *nd;
		struct sim s;

		start_granted(&s, seed, 0, 5000);
		slot = sim_slot_of_member(
			&s, fleet_service(sim_newest_state(&s), "records")
				    ->shards[0]
				    .owner);
		nd = &s.nodes[slot];
		sim_kill(&s, slot);
		sim_start(&s, slot);
		take_empty_heartbeat(nd);
		leave(nd);
		sim_run(&s, 5000);
		if (s.breaches)
			g_error("seed %u: two servers hold a shard", seed);
		g_assert_cmpuint(sim_n_unserved(&s), ==, 0);
		g_assert_cmpint(nd->member.self_id, ==, 0);
		sim_finish(&s);
	}
}

static uint64_t successor_restarts(uint32_t seed, uint32_t rules)
{
	struct fleet_service *sv;
	struct sim s;
	uint64_t breaches;
	int owner, successor;

	start_granted(&s, seed, rules, 30000);
	sv = fleet_service(sim_newest_state(&s), "records");
	owner = sim_slot_of_member(&s, sv->shards[0].owner);
	successor = sim_slot_of_member(&s, sv->shards[0].successor);
	/* The successor takes over while the log is down. */
	s.log_down_until_ms = s.now_ms + 100000;
	sim_kill(&s, owner);
	sim_run(&s, 8000);
	g_assert_cmpint(sim_serving_slot(&s, 0), ==, successor);
	/*
	 * Both start again. The successor's server sends a heartbeat before the
	 * node has read the log.
	 */
	s.log_down_until_ms = 0;
	sim_kill(&s, successor);
	sim_start(&s, successor);
	s.nodes[successor].log_unreachable = true;
	s.nodes[successor].backend.next_heartbeat_at_ms = s.now_ms;
	sim_run(&s, 3 * SIM_STEP_MS);
	s.nodes[successor].log_unreachable = false;
	s.nodes[successor].backend.next_heartbeat_at_ms = s.now_ms + 10000;
	sim_start(&s, owner);
	s.nodes[owner].backend.next_heartbeat_at_ms = s.now_ms;
	sim_run(&s, 4000);
	breaches = s.breaches;
	sim_finish(&s);
	return breaches;
}

/*
 * A successor takes over a key while the log is down. Then its process is
 * killed while its backend server keeps serving the key. The owner starts again
 * and sends a release request to the successor's new process, which does not
 * know what its server holds. If that process answered that the key is free,
 * two servers would serve it.
 */
static void test_successor_restarts(void)
{
	uint64_t breaches_without_rule = 0;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		g_assert_cmpuint(successor_restarts(seed, 0), ==, 0);
		breaches_without_rule +=
			successor_restarts(seed, RULE_SERVER_REPORTS_FIRST);
	}
	g_assert_cmpuint(breaches_without_rule, >, 0);
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
	int owner, successor;

	sim_init_grant_by_call(&s, seed, grant_rules);
	s.verbose = g_getenv("VERBOSE") != NULL;
	g_assert_true(sim_run_until_served(&s, 20000));
	sim_run(&s, 15000);
	sv = fleet_service(sim_newest_state(&s), "records");
	owner = sim_slot_of_member(&s, sv->shards[0].owner);
	successor = sim_slot_of_member(&s, sv->shards[0].successor);
	nd = &s.nodes[successor];
	s.log_down_until_ms = s.now_ms + 100000;
	sim_kill(&s, owner);
	while (sim_serving_slot(&s, 0) != successor)
		sim_step(&s);
	/* Sent when the successor is killed, carried out when its hold ends. */
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
 * A successor that has taken over a key is killed with a call in doubt. Its new
 * process requests the release of the key, its server acknowledges that, and
 * the restarted owner serves the key. Then the successor's server carries out
 * the call in doubt. If the key had counted as free before that, two servers
 * would serve it.
 */
static void test_late_call(void)
{
	uint64_t breaches_without_rule = 0;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		g_assert_cmpuint(late_call(seed, 0), ==, 0);
		breaches_without_rule +=
			late_call(seed, GRANT_RULE_PREV_PROCESS_IN_DOUBT);
	}
	g_assert_cmpuint(breaches_without_rule, >, 0);
}

/*
 * If every node read each change from the log, a change would cost as many
 * calls as there are nodes. A few nodes read it, and the others must get it as
 * soon. Reads for one change by eight nodes: eight without relays, four with
 * them.
 */
static void test_records_are_relayed(void)
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

/*
 * Restarts the process of a node while its backend server keeps running. The
 * new process finds a snapshot in the log and no record before it.
 */
static void restart_node_beside_server(struct sim *s, int slot)
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

static uint64_t unknown_record_age(uint32_t seed, uint32_t rules)
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
	restart_node_beside_server(&s, sim_slot_of_member(&s, a));
	sim_run(&s, 200);
	/*
	 * The previous owner's server keeps its holds and sends no heartbeat.
	 */
	s.nodes[s.top_fence_slot[0]].backend.next_heartbeat_at_ms =
		s.now_ms + 10000;
	restart_node_beside_server(&s, sim_slot_of_member(&s, x));
	sim_run(&s, 6000);
	breaches = s.breaches;
	sim_finish(&s);
	return breaches;
}

/*
 * A key moves, and the process of its previous owner is killed before it
 * releases the key, while its backend server serves the key until its grant
 * ends. The new owner knows when the key moved and waits; then its process is
 * killed too. Its next process finds the records in the log but not how old
 * they are. If it served the key at once, two servers would serve it.
 */
static void test_unknown_record_age(void)
{
	uint64_t breaches_without_rule = 0;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		g_assert_cmpuint(unknown_record_age(seed, 0), ==, 0);
		breaches_without_rule +=
			unknown_record_age(seed, RULE_WAIT_AFTER_START);
	}
	g_assert_cmpuint(breaches_without_rule, >, 0);
}

/* Bits of the argument of test_all_killed(). */
#define ALL_WITH_SERVERS 1 /* the backend servers stop as well */
#define ALL_BY_CALL 2 /* the backend servers get grants by calls */
#define ALL_TWICE 4 /* everything is killed twice */

/*
 * Every process is killed at once, or every host loses power, and all start
 * again a second later. The witnesses of each member are processes that no
 * longer run, so no key has an owner until leases are granted again; the users'
 * bound for a key is three seconds. When all are killed a second time, the log
 * contains the restarts of the first time, and is read before the first
 * heartbeat of the backend server. If those old restarts counted as new ones,
 * every key would wait for the length of a lease.
 */
static void test_all_killed(gconstpointer data)
{
	uint32_t variant = GPOINTER_TO_UINT(data);
	int64_t longest = 0;
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		struct sim s;
		int64_t started_at_ms;

		if (variant & ALL_BY_CALL)
			sim_init_grant_by_call(&s, seed, 0);
		else
			sim_init_grant_by_heartbeat(&s, seed, 0);
		s.verbose = g_getenv("VERBOSE") != NULL;
		g_assert_true(sim_run_until_served(&s, 20000));
		sim_run(&s, 15000);
		if (variant & ALL_TWICE) {
			sim_restart_all(&s, variant & ALL_WITH_SERVERS, 1300);
			sim_run(&s, 15000);
		}
		sim_restart_all(&s, variant & ALL_WITH_SERVERS, 1300);
		started_at_ms = s.now_ms;
		sim_run_until_served(&s, 30000);
		longest = MAX(longest, s.now_ms - started_at_ms);
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
			     GUINT_TO_POINTER(ALL_WITH_SERVERS),
			     test_all_killed);
	g_test_add_data_func("/recovery/all-killed-by-call",
			     GUINT_TO_POINTER(ALL_BY_CALL), test_all_killed);
	g_test_add_data_func("/recovery/all-without-power-by-call",
			     GUINT_TO_POINTER(ALL_WITH_SERVERS | ALL_BY_CALL),
			     test_all_killed);
	g_test_add_data_func("/recovery/all-killed-again",
			     GUINT_TO_POINTER(ALL_TWICE), test_all_killed);
	g_test_add_data_func("/recovery/all-killed-again-by-call",
			     GUINT_TO_POINTER(ALL_BY_CALL | ALL_TWICE),
			     test_all_killed);
	g_test_add_func("/recovery/unknown-past", test_unknown_record_age);
	g_test_add_func("/recovery/heir-forgets", test_successor_restarts);
	g_test_add_func("/recovery/late-call", test_late_call);
	g_test_add_func("/recovery/passed-on", test_records_are_relayed);
	g_test_add_data_func("/recovery/leaves-at-join", leave_at_join,
			     test_leaves_before_it_acquires);
	g_test_add_data_func("/recovery/leaves-with-log-unread",
			     leave_with_log_unread,
			     test_leaves_before_it_acquires);
	g_test_add_data_func("/recovery/leaves-while-joining",
			     leave_while_joining,
			     test_leaves_before_it_acquires);
	return g_test_run();
}

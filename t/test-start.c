#include "state/records.h"
#include "t/sim.h"
#include "util/result.h"

/*
 * Processes that have just started: when they count as caught up with the
 * fleet, and how they append snapshots and changes.
 */

/* Applies the first records of the log to a node that cannot read it. */
static void apply_first_records(struct sim *s, uint32_t slot, uint32_t count)
{
	struct sim_node *nd = &s->nodes[slot];
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct sim_log_record *r = g_ptr_array_index(s->log, i);

		member_on_record(&nd->member, i, r->id, r->record,
				 sim_node_now_ms(nd));
	}
}

/* The process of slot requests from the process of peer all that it has. */
static void request_records(struct sim *s, uint32_t slot, uint32_t peer)
{
	struct sim_node *nd = &s->nodes[peer];
	struct member_msg msg;
	struct member *m;
	uint32_t i;

	member_msg_init(&msg, MSG_RECORDS_REQUEST);
	for_each_member (&nd->member.fleet, m, i)
		if (sim_slot_of_host(m->host) == (int)slot)
			msg.from = m->id;
	msg.offset = s->nodes[slot].member.fleet.applied + 1;
	member_on_message(&nd->member, &msg, sim_node_now_ms(nd));
	sim_run(s, 200);
}

/*
 * A process that has caught up only with a peer that has applied part of the
 * log must not count as current.
 */
static void test_peer_not_caught_up(void)
{
	struct sim s;
	int64_t end;
	uint32_t i;

	sim_init_grant_by_heartbeat(&s, 3, 0);
	g_assert_true(sim_run_until_served(&s, 20000));
	for (i = 0; i < SIM_NODES; i++)
		sim_kill(&s, i);
	for (i = 0; i < 2; i++) {
		sim_start(&s, i);
		s.nodes[i].log_unreachable = true;
	}
	apply_first_records(&s, 0, s.log->len / 2);
	request_records(&s, 1, 0);
	g_assert_cmpint(s.nodes[1].member.fleet.applied, ==,
			s.log->len / 2 - 1);
	g_assert_false(member_is_current(&s.nodes[1].member));
	s.nodes[0].log_unreachable = false;
	sim_run(&s, 100);
	end = s.log->len - 1;
	g_assert_cmpint(s.nodes[0].member.fleet.applied, ==, end);
	request_records(&s, 1, 0);
	g_assert_cmpint(s.nodes[1].member.fleet.applied, >=, end);
	g_assert_true(member_is_current(&s.nodes[1].member));
	sim_finish(&s);
}

/*
 * A process without state gets the state from a peer, not each record that led
 * to it.
 */
static void test_state_sent_as_snapshot(void)
{
	struct sim s;

	sim_init_grant_by_heartbeat(&s, 5, 0);
	g_assert_true(sim_run_until_served(&s, 20000));
	sim_run(&s, 10000);
	sim_kill(&s, 1);
	sim_start(&s, 1);
	s.nodes[1].log_unreachable = true;
	request_records(&s, 1, 0);
	g_assert_cmpint(s.nodes[1].member.fleet.applied, ==, s.log->len - 1);
	g_assert_true(member_is_current(&s.nodes[1].member));
	g_assert_cmpuint(s.nodes[1].member.cache->length, <, 5);
	sim_finish(&s);
}

/*
 * Another member's record is appended before a part of a snapshot: the part
 * must be appended again, and the rest after it.
 */
static void test_snapshot_after_conflict(void)
{
	struct member_node *n;
	struct sim s;
	uint32_t i;

	sim_init_grant_by_heartbeat(&s, 9, 0);
	g_assert_true(sim_run_until_served(&s, 20000));
	n = &s.nodes[0].member;
	for (i = 0; i < 2; i++)
		g_ptr_array_add(n->snapshot_parts,
				record_snapshot(n->fleet.applied, i, 2, "", 0));
	n->next_append_at_ms[APPEND_SNAPSHOT] = 0;
	n->append_pending[APPEND_SNAPSHOT] = false;
	member_tick(n, n->now_ms);
	g_assert_true(n->append_pending[APPEND_SNAPSHOT]);
	member_append_done(n, APPEND_SNAPSHOT, RESULT_CONFLICT, n->now_ms);
	g_assert_cmpuint(n->snapshot_parts->len, ==, 2);
	n->next_append_at_ms[APPEND_SNAPSHOT] = 0;
	member_tick(n, n->now_ms);
	member_append_done(n, APPEND_SNAPSHOT, RESULT_OK, n->now_ms);
	g_assert_cmpuint(n->snapshot_parts->len, ==, 1);
	sim_finish(&s);
}

static uint32_t n_snapshot_records(const struct sim *s)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < s->log->len; i++) {
		const struct sim_log_record *r = g_ptr_array_index(s->log, i);

		count += !g_strcmp0(
			"snapshot",
			json_string_value(json_object_get(r->record, "type")));
	}
	return count;
}

/*
 * When another member's snapshot is in the log first, a member discards its
 * own.
 */
static void test_one_snapshot_at_a_time(void)
{
	struct member_node *n;
	struct sim s;
	json_t *r;
	uint32_t before, i;

	sim_init_grant_by_heartbeat(&s, 9, 0);
	g_assert_true(sim_run_until_served(&s, 20000));
	n = &s.nodes[0].member;
	for (i = 0; i < 2; i++)
		g_ptr_array_add(n->snapshot_parts,
				record_snapshot(n->fleet.applied, i, 2, "", 0));
	n->pending_snapshot_offset = n->fleet.applied;
	r = record_snapshot(n->fleet.applied, 0, 2, "", 0);
	before = n_snapshot_records(&s);
	sim_append(&s, r);
	n->log_read_due = true;
	sim_run(&s, 200);
	g_assert_cmpuint(n->snapshot_parts->len, ==, 0);
	g_assert_cmpuint(n_snapshot_records(&s), ==, before + 1);
	sim_finish(&s);
}

/* The store overwrites the newest snapshot after this many records. */
#define LOG_CAPACITY 256

/*
 * The member that would write the snapshot cannot reach the log, and more
 * records are appended: another must write one before the store overwrites the
 * newest snapshot.
 */
static void test_next_node_writes_snapshot(void)
{
	struct sim s;
	uint32_t i;
	int64_t max_records = 0;

	sim_init_grant_by_heartbeat(&s, 11, 0);
	g_assert_true(sim_run_until_served(&s, 20000));
	for (i = 0; i < SIM_NODES; i++)
		if (!assign_rank(&s.nodes[i].member.fleet, "snapshot",
				 s.nodes[i].member.self_id))
			s.nodes[i].log_unreachable = true;
	for (i = 0; i < 2 * LOG_CAPACITY; i++) {
		const struct fleet *f = sim_newest_state(&s);

		sim_configure(&s, NULL);
		sim_run(&s, 100);
		max_records = MAX(max_records, f->applied - f->snapshot_offset);
	}
	g_test_message("%" G_GINT64_FORMAT " records since a snapshot",
		       (gint64)max_records);
	g_assert_cmpint(max_records, <, LOG_CAPACITY);
	sim_finish(&s);
}

/* The snapshot that a process starts from need not be written again. */
static void test_loaded_snapshot_counts(void)
{
	const struct fleet *f;
	json_t *state;
	struct sim s;
	uint32_t i;

	sim_init_grant_by_heartbeat(&s, 13, 0);
	g_assert_true(sim_run_until_served(&s, 20000));
	for (i = 0; i < LOG_CAPACITY; i++)
		sim_configure(&s, NULL);
	sim_run(&s, 5000);
	state = fleet_snapshot(sim_newest_state(&s));
	sim_kill(&s, 1);
	sim_start(&s, 1);
	g_assert_cmpint(member_load_snapshot(&s.nodes[1].member, state,
					     sim_node_now_ms(&s.nodes[1])),
			==, RESULT_OK);
	json_decref(state);
	f = &s.nodes[1].member.fleet;
	g_assert_cmpint(f->applied, >, LOG_CAPACITY);
	g_assert_cmpint(f->applied - f->snapshot_upto, <, 60);
	/* Nor one that it learns of from a peer. */
	sim_kill(&s, 1);
	sim_start(&s, 1);
	s.nodes[1].log_unreachable = true;
	request_records(&s, 1, 0);
	g_assert_cmpint(f->applied, >, LOG_CAPACITY);
	g_assert_cmpint(f->applied - f->snapshot_upto, <, 120);
	sim_finish(&s);
}

/*
 * Eighty processes that start at once and retry at once would prevent each
 * other's appends, so conflicts in a row must lengthen the delay.
 */
static void test_conflicts_back_off(void)
{
	struct member_node *n;
	int64_t longest = 0;
	struct sim s;
	uint32_t i;

	sim_init_grant_by_heartbeat(&s, 11, 0);
	g_assert_true(sim_run_until_served(&s, 20000));
	n = &s.nodes[0].member;
	for (i = 0; i < 40; i++) {
		member_append_done(n, APPEND_JOIN, RESULT_CONFLICT, n->now_ms);
		longest = MAX(longest,
			      n->next_append_at_ms[APPEND_JOIN] - n->now_ms);
	}
	g_assert_cmpint(longest, >, 500);
	member_append_done(n, APPEND_JOIN, RESULT_OK, n->now_ms);
	member_append_done(n, APPEND_JOIN, RESULT_CONFLICT, n->now_ms);
	g_assert_cmpint(n->next_append_at_ms[APPEND_JOIN] - n->now_ms, <=, 30);
	sim_finish(&s);
}

/*
 * A part of a snapshot is long and must come at the log's end. While others
 * append, it must be retried rarely.
 */
static void test_snapshot_backs_off(void)
{
	struct member_node *n;
	int64_t waited = 0;
	struct sim s;
	uint32_t i;

	sim_init_grant_by_heartbeat(&s, 15, 0);
	g_assert_true(sim_run_until_served(&s, 20000));
	n = &s.nodes[0].member;
	for (i = 0; i < 20; i++) {
		member_append_done(n, APPEND_SNAPSHOT, RESULT_CONFLICT,
				   n->now_ms);
		waited += n->next_append_at_ms[APPEND_SNAPSHOT] - n->now_ms;
	}
	g_assert_cmpint(waited, >, 3000);
	sim_finish(&s);
}

/*
 * After an outage of the store all nodes append at once. A configuration is
 * urgent, so conflicts in a row must not lengthen its delay.
 */
static void test_published_is_retried_at_once(void)
{
	struct member_node *n;
	struct sim s;
	uint32_t i;

	sim_init_grant_by_heartbeat(&s, 14, 0);
	g_assert_true(sim_run_until_served(&s, 20000));
	n = &s.nodes[0].member;
	for (i = 0; i < 40; i++) {
		member_append_done(n, APPEND_PUBLISHED, RESULT_CONFLICT,
				   n->now_ms);
		g_assert_cmpint(n->next_append_at_ms[APPEND_PUBLISHED] -
					n->now_ms,
				<=, 30);
	}
	g_assert_true(member_append_may_follow(APPEND_PUBLISHED));
	g_assert_false(member_append_may_follow(APPEND_SNAPSHOT));
	sim_finish(&s);
}

/*
 * Members that are caught up need no snapshot. If its data were relayed, the
 * record would be so long that they would have to read it from the log.
 */
static void test_snapshot_is_not_relayed(void)
{
	const struct cached_record *c;
	struct member_node *n;
	json_t *record;
	GString *text = g_string_new(NULL);
	struct sim s;

	sim_init_grant_by_heartbeat(&s, 12, 0);
	g_assert_true(sim_run_until_served(&s, 20000));
	n = &s.nodes[0].member;
	g_string_set_size(text, 60000);
	memset(text->str, 'x', text->len);
	record = record_snapshot(n->fleet.applied, 0, 1, text->str, text->len);
	member_on_record(n, n->fleet.applied + 1, "snapshot-x", record,
			 n->now_ms);
	c = g_queue_peek_tail(n->cache);
	g_assert_cmpint(c->offset, ==, n->fleet.applied);
	g_assert_cmpuint(strlen(c->text), <, 200);
	g_assert_nonnull(json_object_get(record, "data"));
	json_decref(record);
	g_string_free(text, TRUE);
	sim_finish(&s);
}

/*
 * A long configuration must be relayed too, or each host would read it from the
 * log itself.
 */
static void test_long_record_is_relayed(void)
{
	GString *text = g_string_new(NULL);
	struct sim s;
	uint32_t i;
	int64_t end;

	sim_init_grant_by_heartbeat(&s, 13, 0);
	g_assert_true(sim_run_until_served(&s, 20000));
	sim_run(&s, 1000);
	for (i = 0; i < SIM_NODES; i++)
		s.nodes[i].log_unreachable = !s.nodes[i].member.is_log_reader;
	for (i = 0; i < 1000; i++)
		g_string_append_printf(text, "/path%u/,", i);
	sim_append(&s, json_pack("{s:s,s:s}", "type", "padding", "text",
				 text->str));
	end = s.log->len - 1;
	sim_run(&s, 200);
	for (i = 0; i < SIM_NODES; i++)
		g_assert_cmpint(s.nodes[i].member.fleet.applied, >=, end);
	g_string_free(text, TRUE);
	sim_finish(&s);
}

/* Few hosts of a large fleet read the operators' stream, however long it is. */
static void test_few_read_operators(void)
{
	struct member_node *n;
	uint32_t readers = 0;
	struct member *m;
	struct sim s;
	uint32_t i;

	sim_init_grant_by_heartbeat(&s, 12, 0);
	g_assert_true(sim_run_until_served(&s, 20000));
	/* A member that has just joined reads it in any case. */
	sim_run(&s, 10000);
	n = &s.nodes[0].member;
	g_assert_true(member_reads_operator_stream(n));
	for (i = 0; i < 100; i++) {
		struct member joins = {
			.witnesses = { .n = 1, .id = { LOG_WITNESS } }
		};
		json_t *r;

		g_snprintf(joins.host, sizeof(joins.host), "more-%u", i);
		g_snprintf(joins.peer, sizeof(joins.peer), "peer-%u", i);
		g_strlcpy(joins.service, "archive", sizeof(joins.service));
		g_strlcpy(joins.boot_id, "b", sizeof(joins.boot_id));
		r = record_join(&joins);
		member_on_record(n, n->fleet.applied + 1, "", r, n->now_ms);
		json_decref(r);
	}
	g_assert_cmpuint(fleet_n_members(&n->fleet), >, 100);
	for_each_member (&n->fleet, m, i) {
		n->self_id = m->id;
		readers += member_reads_operator_stream(n);
	}
	g_assert_cmpuint(readers, ==, 12);
	n->self_id = 0;
	g_assert_true(member_reads_operator_stream(n));
	sim_finish(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/start/peer-not-level", test_peer_not_caught_up);
	g_test_add_func("/start/all-as-state", test_state_sent_as_snapshot);
	g_test_add_func("/start/snapshot-after-conflict",
			test_snapshot_after_conflict);
	g_test_add_func("/start/one-snapshot-at-a-time",
			test_one_snapshot_at_a_time);
	g_test_add_func("/start/next-writes-snapshot",
			test_next_node_writes_snapshot);
	g_test_add_func("/start/loaded-snapshot-counts",
			test_loaded_snapshot_counts);
	g_test_add_func("/start/conflicts-wait-longer",
			test_conflicts_back_off);
	g_test_add_func("/start/snapshot-waits-for-quiet",
			test_snapshot_backs_off);
	g_test_add_func("/start/published-goes-at-once",
			test_published_is_retried_at_once);
	g_test_add_func("/start/snapshot-is-not-passed-on",
			test_snapshot_is_not_relayed);
	g_test_add_func("/start/long-record-is-passed-on",
			test_long_record_is_relayed);
	g_test_add_func("/start/few-read-operators", test_few_read_operators);
	return g_test_run();
}

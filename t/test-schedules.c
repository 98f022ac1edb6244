#include <string.h>

#include "settings/changes.h"
#include "state/records.h"
#include "t/sim.h"
#include "util/counters.h"
#include "util/result.h"

/*
 * Schedules of events that random runs rarely reach, each driven step by step.
 * Each test shows that a safety rule holds, and most also show that it is
 * needed.
 */

static void start_settled(struct sim *s, uint32_t seed, uint32_t rules)
{
	sim_init(s, seed, rules);
	s->verbose = g_getenv("VERBOSE") != NULL;
	g_assert_true(sim_run_until_served(s, 20000));
	sim_run(s, 30000);
	g_assert_cmpuint(sim_n_unserved(s), ==, 0);
}

static bool has_common_successor(const struct fleet_service *sv, uint32_t shard)
{
	uint32_t i;

	for (i = 0; i < sv->n_shards; i++)
		if (i != shard &&
		    sv->shards[i].owner == sv->shards[shard].owner &&
		    sv->shards[i].successor == sv->shards[shard].successor)
			return true;
	return false;
}

static uint32_t shard_with_common_successor(const struct fleet_service *sv)
{
	uint32_t i;

	for (i = 0; i < sv->n_shards; i++)
		if (has_common_successor(sv, i))
			return i;
	return 0;
}

/* For 20 seconds the process gets no records. */
static void delay_records(struct sim *s, int64_t process)
{
	int slot = sim_slot_of_process(s, process);

	if (slot >= 0)
		s->nodes[slot].no_records_until_ms = s->now_ms + 20000;
}

/*
 * A move that the owner and the new owner read, but neither the previous
 * successor nor the owner's witnesses do; then the owner is killed. Returns the
 * number of breaches.
 */
static uint64_t unread_move(uint32_t seed, uint32_t rules)
{
	struct fleet_service *sv;
	struct sim s;
	const struct member *m;
	uint64_t breaches;
	int64_t a, b, c = 0;
	uint32_t i, j;
	json_t *r;

	start_settled(&s, seed, rules);
	sv = fleet_service(sim_newest_state(&s), "records");
	i = shard_with_common_successor(sv);
	a = sv->shards[i].owner;
	b = sv->shards[i].successor;
	m = fleet_member(sim_newest_state(&s), a);
	for (j = 0; j < 5; j++) {
		int64_t id = s.nodes[j].member.self_id;

		if (id != a && id != b &&
		    !witness_set_has(&m->witnesses, s.nodes[j].member.process))
			c = id;
	}
	for (j = 0; j < m->witnesses.n; j++)
		delay_records(&s, m->witnesses.id[j]);
	s.nodes[sim_slot_of_member(&s, b)].no_records_until_ms =
		s.now_ms + 20000;
	r = record_move("records", 0, "test");
	record_move_add(r, i, c, b, sv->shards[i].fence);
	if (!c)
		json_decref(r);
	else
		sim_append(&s, r);
	sim_run(&s, 600);
	sim_kill(&s, sim_slot_of_member(&s, a));
	s.log_down_until_ms = s.now_ms + 10000;
	sim_run(&s, 6000);
	breaches = s.breaches;
	sim_finish(&s);
	return breaches;
}

/*
 * An owner releases a shard and is killed before its witnesses have read the
 * move. Their promises would then let the previous successor, which has not
 * read it either, serve a key that the new owner serves.
 */
static void test_unread_move(void)
{
	uint64_t breaches_without_rule = 0;
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		g_assert_cmpuint(unread_move(seed, 0), ==, 0);
		breaches_without_rule +=
			unread_move(seed, RULE_WITNESSES_KNOW_MOVE);
	}
	g_assert_cmpuint(breaches_without_rule, >, 0);
}

/*
 * A record that names another successor and keeps the owner, and that neither
 * the previous successor nor the owner's witnesses read; then the owner is
 * killed. Returns the number of fence breaches.
 */
static uint64_t unread_successor(uint32_t seed, uint32_t rules)
{
	struct fleet_service *sv;
	struct sim s;
	const struct member *m;
	uint64_t breaches;
	int64_t a, b, c = 0;
	uint32_t j;
	json_t *r;

	start_settled(&s, seed, rules);
	sv = fleet_service(sim_newest_state(&s), "records");
	a = sv->shards[0].owner;
	b = sv->shards[0].successor;
	m = fleet_member(sim_newest_state(&s), a);
	for (j = 0; j < 5; j++)
		if (s.nodes[j].member.self_id != a &&
		    s.nodes[j].member.self_id != b)
			c = s.nodes[j].member.self_id;
	for (j = 0; j < m->witnesses.n; j++)
		delay_records(&s, m->witnesses.id[j]);
	s.nodes[sim_slot_of_member(&s, b)].no_records_until_ms =
		s.now_ms + 20000;
	r = record_move("records", 0, "test");
	record_move_add(r, 0, a, c, sv->shards[0].fence);
	sim_append(&s, r);
	sim_run(&s, 600);
	sim_kill(&s, sim_slot_of_member(&s, a));
	s.log_down_until_ms = s.now_ms + 10000;
	sim_run(&s, 6000);
	g_assert_cmpuint(s.breaches, ==, 0);
	breaches = s.fence_breaches;
	sim_finish(&s);
	return breaches;
}

/*
 * An owner serves a key under the fence of a record that only it has read, and
 * is killed. The successor named before takes over correctly, but under a lower
 * fence. A backend server that checks fences would then take late work of the
 * killed owner for newer than the successor's.
 */
static void test_unread_successor(void)
{
	uint64_t breaches_without_rule = 0;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		g_assert_cmpuint(unread_successor(seed, 0), ==, 0);
		breaches_without_rule +=
			unread_successor(seed, RULE_WITNESSES_KNOW_FENCE);
	}
	g_assert_cmpuint(breaches_without_rule, >, 0);
}

static uint64_t stale_successor(uint32_t seed, uint32_t rules)
{
	struct fleet_service *sv;
	struct sim s;
	int64_t a, b, c, end;
	uint64_t breaches;
	uint32_t i;
	json_t *r;
	int slot;

	start_settled(&s, seed, rules);
	sv = fleet_service(sim_newest_state(&s), "records");
	i = shard_with_common_successor(sv);
	a = sv->shards[i].owner;
	b = sv->shards[i].successor;
	c = sim_other_member(&s, a, b, 0);
	slot = sim_slot_of_member(&s, a);
	s.nodes[sim_slot_of_member(&s, b)].no_records_until_ms =
		s.now_ms + 20000;
	r = record_move("records", 0, "test");
	record_move_add(r, i, c, sim_other_member(&s, a, b, c),
			sv->shards[i].fence);
	sim_append(&s, r);
	for (end = s.now_ms + 2000; s.now_ms < end;) {
		sim_step(&s);
		if (sim_serving_slot(&s, i) == sim_slot_of_member(&s, c))
			break;
	}
	g_assert_cmpint(sim_serving_slot(&s, i), ==, sim_slot_of_member(&s, c));
	sim_kill(&s, slot);
	s.log_down_until_ms = s.now_ms + 10000;
	sim_run(&s, 6000);
	breaches = s.breaches;
	sim_finish(&s);
	return breaches;
}

/*
 * A shard moves while its previous successor gets no records. Then the previous
 * owner is killed. The previous successor has not read the move and would take
 * the shard over; two servers would then serve the key.
 */
static void test_stale_successor(void)
{
	uint64_t breaches_without_rule = 0;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		g_assert_cmpuint(stale_successor(seed, 0), ==, 0);
		breaches_without_rule +=
			stale_successor(seed, RULE_SUCCESSOR_CATCHES_UP);
	}
	g_assert_cmpuint(breaches_without_rule, >, 0);
}

static uint64_t shard_moves_repeatedly(uint32_t seed, uint32_t rules)
{
	struct fleet_service *sv;
	struct member_node *na;
	struct sim s;
	int64_t a, b, c, d, end;
	uint64_t breaches;
	json_t *r;

	start_settled(&s, seed, rules);
	sv = fleet_service(sim_newest_state(&s), "records");
	a = sv->shards[0].owner;
	b = sv->shards[0].successor;
	c = sim_other_member(&s, a, b, 0);
	d = sim_other_member(&s, a, b, c);
	na = &s.nodes[sim_slot_of_member(&s, a)].member;
	/* A long request runs on the shard, which moves to c and back. */
	s.nodes[sim_slot_of_member(&s, a)].busy_until_ms[0] = s.now_ms + 6000;
	sim_append_move(&s, 0, c, a);
	sim_run(&s, 1000);
	r = record_expel(0, "test");
	record_expel_add(r, fleet_member(sim_newest_state(&s), c));
	sim_kill(&s, sim_slot_of_member(&s, c));
	sim_append(&s, r);
	na->no_acquire_until_ms = na->now_ms + 6000;
	for (end = s.now_ms + 3000; s.now_ms < end;) {
		sim_step(&s);
		sv = fleet_service(sim_newest_state(&s), "records");
		if (!sv->shards[0].prev_owner)
			break;
	}
	sim_append_move(&s, 0, d, b);
	sim_run(&s, 2500);
	breaches = s.breaches;
	sim_finish(&s);
	return breaches;
}

/*
 * A shard moves away, back and away again while one slow request on it is still
 * running. If the next owner were told that no node serves the shard, it would
 * run a second request beside the slow one.
 */
static void test_shard_moves_repeatedly(void)
{
	uint64_t breaches_without_rule = 0;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		g_assert_cmpuint(shard_moves_repeatedly(seed, 0), ==, 0);
		breaches_without_rule +=
			shard_moves_repeatedly(seed, RULE_REQUESTS_END_FIRST);
	}
	g_assert_cmpuint(breaches_without_rule, >, 0);
}

/* Moves shard 0 to b and runs until b serves it. */
static void move_and_serve(struct sim *s, int64_t b, int64_t successor)
{
	int64_t end = s->now_ms + 5000;

	sim_append_move(s, 0, b, successor);
	while (s->now_ms < end &&
	       sim_serving_slot(s, 0) != sim_slot_of_member(s, b))
		sim_step(s);
	g_assert_cmpint(sim_serving_slot(s, 0), ==, sim_slot_of_member(s, b));
}

/*
 * A shard gets another successor after its new owner has taken it, and before
 * the new owner has settled the move.
 */
static void test_successor_before_settling(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		const struct shard *sh;
		int64_t a, successor, b, c;
		struct sim s;

		start_settled(&s, seed, 0);
		sh = fleet_service(sim_newest_state(&s), "records")->shards;
		a = sh->owner;
		successor = sh->successor;
		b = sim_other_member(&s, a, successor, 0);
		c = sim_other_member(&s, a, successor, b);
		s.nodes[sim_slot_of_member(&s, b)].log_unreachable = true;
		move_and_serve(&s, b, c);
		sim_configure(&s, s.nodes[sim_slot_of_member(&s, c)]
					  .member.join_info.data_centre);
		sim_run(&s, 1000);
		s.nodes[sim_slot_of_member(&s, b)].log_unreachable = false;
		sim_run(&s, 20000);
		sh = fleet_service(sim_newest_state(&s), "records")->shards;
		g_assert_cmpint(sh->prev_owner, ==, 0);
		g_assert_cmpuint(s.breaches, ==, 0);
		sim_finish(&s);
	}
}

static void set_witnesses(struct sim *s, const struct member *m,
			  const int64_t *ids)
{
	struct witness_set w = { .n = 3, .id = { ids[0], ids[1], ids[2] } };
	int64_t id = m->id;
	int64_t end = s->now_ms + 5000;

	sim_append(s, record_witnesses(id, m->witness_offset, &w));
	sim_run(s, 200);
	while (s->now_ms < end && fleet_member(sim_newest_state(s), id) &&
	       fleet_member(sim_newest_state(s), id)->old_witnesses.n)
		sim_step(s);
}

static uint64_t returning_witness(uint32_t seed, uint32_t rules)
{
	struct member m;
	struct sim s;
	int64_t id, spare, v[3];
	uint64_t breaches;
	uint32_t i;
	int a;

	start_settled(&s, seed, rules);
	a = s.nodes[0].member.self_id ? 0 : 1;
	id = s.nodes[a].member.self_id;
	m = *fleet_member(sim_newest_state(&s), id);
	memcpy(v, m.witnesses.id, sizeof(v));
	for (i = 0, spare = 0; i < SIM_NODES && !spare; i++) {
		int64_t p = s.nodes[i].member.process;

		if (p != m.process && !witness_set_has(&m.witnesses, p))
			spare = p;
	}
	/* The first witness promises to stop vouching, and is replaced. */
	sim_cut_link(&s, a, sim_slot_of_process(&s, v[0]), 1800);
	sim_run(&s, 1900);
	m = *fleet_member(sim_newest_state(&s), id);
	set_witnesses(&s, &m, (int64_t[]){ v[1], v[2], spare });
	/* When it is named again, it must still keep its promise. */
	m = *fleet_member(sim_newest_state(&s), id);
	set_witnesses(&s, &m, (int64_t[]){ v[1], v[2], v[0] });
	sim_cut_link(&s, a, sim_slot_of_process(&s, v[2]), 5000);
	s.log_down_until_ms = s.now_ms + 10000;
	sim_run(&s, 5000);
	breaches = s.breaches;
	sim_finish(&s);
	return breaches;
}

/* Sets ids to three processes that are neither witnesses of m nor its own. */
static void other_witnesses(struct sim *s, const struct member *m, int64_t *ids)
{
	uint32_t i, n = 0;

	for (i = 0; i < SIM_NODES && n < 3; i++) {
		int64_t p = s->nodes[i].member.process;

		if (p != m->process && !witness_set_has(&m->witnesses, p))
			ids[n++] = p;
	}
}

/*
 * Most of the witnesses that a member changes to are killed before they have
 * vouched for it.
 */
static void test_new_witnesses_killed(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		const struct member *m;
		struct sim s;
		int64_t id, ids[3];

		start_settled(&s, seed, 0);
		id = s.nodes[0].member.self_id;
		m = fleet_member(sim_newest_state(&s), id);
		other_witnesses(&s, m, ids);
		sim_kill(&s, sim_slot_of_process(&s, ids[0]));
		sim_kill(&s, sim_slot_of_process(&s, ids[1]));
		sim_append(&s, record_witnesses(id, m->witness_offset,
						&(struct witness_set){
							.n = 3,
							.id = { ids[0], ids[1],
								ids[2] } }));
		sim_run(&s, 30000);
		m = fleet_member(sim_newest_state(&s), id);
		g_assert_nonnull(m);
		g_assert_cmpuint(m->old_witnesses.n, ==, 0);
		g_assert_cmpuint(s.breaches, ==, 0);
		sim_finish(&s);
	}
}

/*
 * The witnesses of a member change whenever one of their hosts restarts, and
 * the new ones have not vouched yet. If the lease ended until the next vouch
 * request, each restart of a host would leave the keys of its neighbours
 * without an owner for up to half a second.
 */
static void test_new_witnesses_keep_lease(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		uint64_t lapses;
		int64_t ids[3] = { 0 };
		struct member m;
		struct sim s;

		start_settled(&s, seed, 0);
		lapses = counters[COUNTER_lease_lapses];
		m = *fleet_member(sim_newest_state(&s),
				  s.nodes[0].member.self_id);
		other_witnesses(&s, &m, ids);
		set_witnesses(&s, &m, ids);
		m = *fleet_member(sim_newest_state(&s), m.id);
		g_assert_cmpuint(m.old_witnesses.n, ==, 0);
		sim_run(&s, 2000);
		g_assert_cmpuint(counters[COUNTER_lease_lapses], ==, lapses);
		sim_finish(&s);
	}
}

/* Whether the last record settles a change of the member's witnesses. */
static bool last_record_settles(struct sim *s, int64_t member)
{
	struct sim_log_record *r = g_ptr_array_index(s->log, s->log->len - 1);
	json_t *type = json_object_get(r->record, "type");

	return !strcmp(json_string_value(type), "settle") &&
	       json_integer_value(json_object_get(r->record, "member")) ==
		       member;
}

static int64_t process_of(struct sim *s, uint32_t slot)
{
	return s->nodes[slot].member.process;
}

static uint64_t unread_settle(uint32_t seed, uint32_t rules)
{
	struct witness_set w = { .n = 3 };
	const struct fleet_service *sv;
	struct member m;
	struct sim s;
	uint64_t breaches;
	int64_t old[3];
	int64_t successor = 0, end;
	uint32_t i, n = 0;

	start_settled(&s, seed, rules);
	m = *fleet_member(sim_newest_state(&s), s.nodes[4].member.self_id);
	sv = fleet_service(sim_newest_state(&s), "records");
	for (i = 0; i < sv->n_shards; i++)
		if (sv->shards[i].owner == m.id)
			successor = sv->shards[i].successor;
	for (i = 0; i < 4; i++)
		if (s.nodes[i].member.self_id != successor && n < 3)
			old[n++] = process_of(&s, i);
	set_witnesses(&s, &m, old);
	m = *fleet_member(sim_newest_state(&s), m.id);
	for (i = 0; i < 3; i++)
		w.id[i] = process_of(&s, 5 + i);
	sim_append(&s, record_witnesses(m.id, m.witness_offset, &w));
	for (end = s.now_ms + 5000;
	     s.now_ms < end && !last_record_settles(&s, m.id);)
		sim_step(&s);
	g_assert_true(last_record_settles(&s, m.id));
	s.nodes[4].log_unreachable = true;
	s.nodes[4].no_records_until_ms = s.now_ms + 20000;
	for (i = 0; i < 3; i++) {
		delay_records(&s, old[i]);
		sim_cut_link(&s, 4, 5 + i, 20000);
	}
	sim_run(&s, 6000);
	breaches = s.breaches;
	sim_finish(&s);
	return breaches;
}

/*
 * A member appends the record that settles a change of its witnesses, but does
 * not read it. From then on the others count only its new witnesses. If it is
 * cut off from those and connected to the previous ones, it must lose its
 * lease; otherwise it would serve its keys while its successors do.
 */
static void test_unread_settle(void)
{
	uint64_t breaches_without_rule = 0;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		g_assert_cmpuint(unread_settle(seed, 0), ==, 0);
		breaches_without_rule +=
			unread_settle(seed, RULE_NEW_WITNESSES_COUNT);
	}
	g_assert_cmpuint(breaches_without_rule, >, 0);
}

/*
 * The witness of a member was the log, which it has just read; its new
 * witnesses vouched for it half a second ago. Settling must not shorten the
 * lease, since requests run under the longer one.
 */
static void test_settle_keeps_lease(void)
{
	struct witness_set log = { .n = 1, .id = { LOG_WITNESS } };
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		uint32_t n_settled = 0;
		int64_t longest = 0, end;
		struct member_node *n;
		const struct member *m;
		struct sim s;
		uint32_t seen;

		start_settled(&s, seed, 0);
		n = &s.nodes[4].member;
		m = fleet_member(sim_newest_state(&s), n->self_id);
		sim_append(&s, record_witnesses(n->self_id, m->witness_offset,
						&log));
		for (end = s.now_ms + 10000; s.now_ms < end;) {
			seen = s.log->len;
			longest = MAX(longest, member_lease_end_ms(n));
			sim_step(&s);
			m = fleet_member(&n->fleet, n->self_id);
			g_assert_nonnull(m);
			if (s.log->len == seen ||
			    !last_record_settles(&s, m->id) ||
			    !witness_set_has(&m->old_witnesses, LOG_WITNESS))
				continue;
			g_assert_cmpint(member_lease_end_ms(n), >=, longest);
			n_settled++;
		}
		g_assert_cmpuint(n_settled, >, 0);
		g_assert_false(witness_set_has(&m->witnesses, LOG_WITNESS));
		sim_finish(&s);
	}
}

/*
 * A witness stops vouching for a member, is replaced and later named again,
 * while the member's successors still hold its promise. If it vouched again,
 * the owner and a successor could serve the same key.
 */
static void test_returning_witness(void)
{
	uint64_t breaches_without_rule = 0;
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		g_assert_cmpuint(returning_witness(seed, 0), ==, 0);
		breaches_without_rule +=
			returning_witness(seed, RULE_PROMISE_PERSISTS);
	}
	g_assert_cmpuint(breaches_without_rule, >, 0);
}

/*
 * An owner whose backend server is full moves shards to another member. The
 * balancer, which runs once a second, must not delay that: when it did, one
 * move in twenty was made, and the server stayed full.
 */
static void test_move_is_not_delayed(void)
{
	GArray *shards = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	struct sim s;
	struct member_node *n;
	int64_t to;
	uint32_t shard = 0;
	int slot;

	start_settled(&s, 3, 0);
	slot = sim_serving_slot(&s, shard);
	n = &s.nodes[slot].member;
	to = s.nodes[(slot + 1) % 5].member.self_id;
	g_array_append_val(shards, shard);
	g_assert_true(member_can_move_shard(n, shard));
	g_assert_true(member_move_shards(n, to, shards, n->now_ms));
	sim_run(&s, 5000);
	g_assert_cmpint(sim_serving_slot(&s, shard), ==, (slot + 1) % 5);
	sim_finish(&s);
	g_array_unref(shards);
}

/*
 * Operators publish in quick succession while the nodes that would append the
 * changes first are down. The next in rank must count its wait from the first
 * change that is not in force, not from each new one. Otherwise it would wait
 * for as long as operators publish, and callers would be served by an outdated
 * configuration.
 */
static void test_published_in_quick_succession(void)
{
	struct sim s;
	struct fleet *f;
	json_t *doc;
	int64_t source;
	uint32_t i, rank;

	start_settled(&s, 5, 0);
	f = sim_newest_state(&s);
	doc = json_deep_copy(f->document);
	json_object_set_new(doc, "source", json_integer(1));
	s.published = doc;
	for (i = 0; i < SIM_NODES; i++) {
		rank = assign_rank(f, "publish", s.nodes[i].member.self_id);
		if (rank < 3)
			sim_kill(&s, i);
	}
	for (source = 1; source <= 20; source++) {
		for (i = 0; i < SIM_NODES; i++)
			if (s.nodes[i].up)
				member_set_published(&s.nodes[i].member, source,
						     100,
						     s.nodes[i].member.now_ms);
		sim_run(&s, 100);
	}
	g_assert_cmpint(sim_newest_state(&s)->source_offset, >=, 8);
	json_decref(doc);
	sim_finish(&s);
}

/*
 * The document in force with n more routes, as the given version of the
 * operators.
 */
static json_t *with_more_routes(const struct fleet *f, int version, uint32_t n)
{
	json_t *doc = json_deep_copy(f->document);
	json_t *classes = json_object_get(doc, "classes");
	uint32_t i;

	for (i = 0; i < n; i++)
		json_array_append_new(
			classes,
			json_pack("{s:s,s:s,s:s,s:o,s:i}", "name", "k",
				  "service", "archive", "method", "*", "path",
				  json_sprintf("/a-route-with-a-name-%u/", i),
				  "target_ms", 500));
	json_object_set_new(doc, "source", json_integer(version));
	return doc;
}

static void publish(struct sim *s, uint32_t slot, int64_t source, json_t *doc)
{
	struct member_node *n = &s->nodes[slot].member;

	s->published = doc;
	member_set_published(n, source, 400000, n->now_ms);
	n->published_wait_since_ms = n->now_ms - 10000;
}

/*
 * A node is killed after it has appended part of a change, and the next in rank
 * has read less of the operators' stream. The part that is in force must not be
 * reverted.
 */
static void test_partial_change_is_not_reverted(void)
{
	struct sim s;
	json_t *older, *newer;
	struct fleet *f;
	uint32_t n;

	start_settled(&s, 5, 0);
	f = sim_newest_state(&s);
	older = with_more_routes(f, 1, 0);
	newer = with_more_routes(f, 2, 4000);
	publish(&s, 1, 11, newer);
	member_tick(&s.nodes[1].member, sim_node_now_ms(&s.nodes[1]));
	sim_kill(&s, 1);
	sim_run(&s, 200);
	n = sim_newest_state(&s)->configuration.n_classes;
	g_assert_cmpuint(n, >, 0);
	g_assert_cmpuint(n, <, 4000);
	publish(&s, 2, 10, older);
	sim_run(&s, 200);
	g_assert_cmpuint(sim_newest_state(&s)->configuration.n_classes, >=, n);
	json_decref(older);
	json_decref(newer);
	sim_finish(&s);
}

/*
 * A node is killed after it has appended part of a change. It had read one more
 * record of the operators' stream than the others, which changes nothing. The
 * others have all of the change and must append the rest.
 */
static void test_partial_change_is_completed(void)
{
	struct sim s;
	json_t *newer;
	uint32_t i;

	start_settled(&s, 5, 0);
	newer = with_more_routes(sim_newest_state(&s), 2, 4000);
	publish(&s, 1, 11, newer);
	member_tick(&s.nodes[1].member, sim_node_now_ms(&s.nodes[1]));
	sim_kill(&s, 1);
	for (i = 0; i < SIM_NODES; i++)
		if (s.nodes[i].up)
			publish(&s, i, 10, newer);
	sim_run(&s, 10000);
	g_assert_cmpuint(sim_newest_state(&s)->configuration.n_classes, ==,
			 4000);
	json_decref(newer);
	sim_finish(&s);
}

/*
 * A node may read its own record before it gets the answer to its append. The
 * next part must not be delayed by that.
 */
static void test_next_part_is_not_delayed(void)
{
	struct sim s;
	struct member_node *n;
	struct fleet *f;
	json_t *changes, *doc;
	json_t *r;
	bool complete;

	start_settled(&s, 5, 0);
	n = &s.nodes[1].member;
	f = &n->fleet;
	doc = with_more_routes(f, 2, 4000);
	publish(&s, 1, 11, doc);
	changes = changes_between(f->document, doc, 192 * 1024, &complete);
	g_assert_false(complete);
	r = record_changes(f->configuration_version, changes, 11, complete,
			   n->self_id);
	n->append_pending[APPEND_PUBLISHED] = true;
	member_on_record(n, f->applied + 1, "1-x", r, n->now_ms);
	member_append_done(n, APPEND_PUBLISHED, RESULT_OK, n->now_ms);
	g_assert_cmpint(n->next_append_at_ms[APPEND_PUBLISHED], <=, n->now_ms);
	json_decref(r);
	json_decref(doc);
	sim_finish(&s);
}

/*
 * The witnesses of a member are changed to the log, and the member has not read
 * that record: its lease still comes from its three previous witnesses, and it
 * appends nothing to the log. Members that have read the record find nothing
 * from that member in the log. If they expelled it for that, it would go on
 * serving its keys while the new owners serve them.
 */
static void test_unread_change_to_the_log(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 5; seed++) {
		struct witness_set log = { .n = 1, .id = { LOG_WITNESS } };
		const struct member *m;
		struct sim s;
		int64_t id;
		int slot;

		start_settled(&s, seed, 0);
		slot = sim_serving_slot(&s, 0);
		id = s.nodes[slot].member.self_id;
		m = fleet_member(sim_newest_state(&s), id);
		s.nodes[slot].no_records_until_ms = s.now_ms + 20000;
		sim_append(&s, record_witnesses(id, m->witness_offset, &log));
		sim_run(&s, 15000);
		g_assert_cmpuint(s.breaches, ==, 0);
		g_assert_nonnull(fleet_member(sim_newest_state(&s), id));
		g_assert_cmpint(sim_serving_slot(&s, 0), ==, slot);
		sim_finish(&s);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/schedule/published-in-a-storm",
			test_published_in_quick_succession);
	g_test_add_func("/schedule/part-is-not-reverted",
			test_partial_change_is_not_reverted);
	g_test_add_func("/schedule/part-is-finished-by-others",
			test_partial_change_is_completed);
	g_test_add_func("/schedule/next-part-does-not-wait",
			test_next_part_is_not_delayed);
	g_test_add_func("/schedule/gives-at-once", test_move_is_not_delayed);
	g_test_add_func("/schedule/stale-successor", test_stale_successor);
	g_test_add_func("/schedule/shard-comes-and-goes",
			test_shard_moves_repeatedly);
	g_test_add_func("/schedule/unheard-move", test_unread_move);
	g_test_add_func("/schedule/new-witnesses-keep-lease",
			test_new_witnesses_keep_lease);
	g_test_add_func("/schedule/unread-settle", test_unread_settle);
	g_test_add_func("/schedule/settle-keeps-what-was-lent",
			test_settle_keeps_lease);
	g_test_add_func("/schedule/unheard-heir", test_unread_successor);
	g_test_add_func("/schedule/unread-change-to-the-log",
			test_unread_change_to_the_log);
	g_test_add_func("/schedule/new-witnesses-end",
			test_new_witnesses_killed);
	g_test_add_func("/schedule/heir-before-settling",
			test_successor_before_settling);
	g_test_add_func("/schedule/returning-witness", test_returning_witness);
	return g_test_run();
}

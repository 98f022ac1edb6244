#include <stdlib.h>
#include <string.h>

#include "state/records.h"
#include "t/sim.h"
#include "util/result.h"

#define FAULTY_MS 60000

static uint32_t first_seed = 1;
static uint32_t n_seeds = 40;

static uint64_t faulty_run(struct sim *s, uint32_t seed, uint32_t rules,
			   bool granted)
{
	int64_t end;

	if (granted)
		sim_init_granted(s, seed, rules);
	else
		sim_init(s, seed, rules);
	s->verbose = g_getenv("VERBOSE") != NULL;
	if (!rules)
		g_assert_true(sim_converge(s, 20000));
	else
		sim_converge(s, 20000);
	s->loss = 0.02 * (seed % 5);
	end = s->now + FAULTY_MS;
	while (s->now < end && !s->breaches && (rules || !s->fence_breaches)) {
		sim_run(s, g_rand_int_range(s->rand, 100, 3000));
		sim_fault(s);
		if (g_rand_boolean(s->rand))
			sim_fault(s);
	}
	return s->breaches;
}

/*
 * Nodes are killed, frozen, cut off and replaced, the log goes away and loses
 * answers, operators race, messages are late, doubled and lost, alone and
 * together. A user would notice two servers answering for one key, or a key
 * that nobody serves once the trouble is over.
 */
static void test_random_faults(gconstpointer granted)
{
	uint32_t i;

	for (i = 0; i < n_seeds; i++) {
		struct sim s;

		if (faulty_run(&s, first_seed + i, 0, granted))
			g_error("seed %u: two owners", first_seed + i);
		sim_heal(&s);
		if (!sim_converge(&s, 60000)) {
			sim_print(&s);
			g_error("seed %u: %u shards unserved", first_seed + i,
				sim_unserved(&s));
		}
		if (s.breaches)
			g_error("seed %u: two owners once healed",
				first_seed + i);
		if (s.fence_breaches)
			g_error("seed %u: a fence that was another's",
				first_seed + i);
		sim_finish(&s);
	}
	g_test_message("%u seeds ran", n_seeds);
}

static void start_quietly(struct sim *s, uint32_t seed, uint32_t rules)
{
	sim_init(s, seed, rules);
	s->verbose = g_getenv("VERBOSE") != NULL;
	g_assert_true(sim_converge(s, 20000));
	sim_run(s, 30000);
	g_assert_cmpuint(sim_unserved(s), ==, 0);
}

static bool inherits_more(const struct fleet_service *sv, uint32_t shard)
{
	uint32_t i;

	for (i = 0; i < sv->n_shards; i++)
		if (i != shard &&
		    sv->shards[i].owner == sv->shards[shard].owner &&
		    sv->shards[i].successor == sv->shards[shard].successor)
			return true;
	return false;
}

static uint32_t shard_with_common_heir(const struct fleet_service *sv)
{
	uint32_t i;

	for (i = 0; i < sv->n_shards; i++)
		if (inherits_more(sv, i))
			return i;
	return 0;
}

static void put_behind(struct sim *s, int64_t process)
{
	int slot = sim_slot_of_process(s, process);

	if (slot >= 0)
		s->nodes[slot].behind_until = s->now + 20000;
}

/*
 * A move that neither the old successor nor the owner's witnesses hear of,
 * while the owner and the new owner do; then the owner dies.
 */
static uint64_t unheard_move(uint32_t seed, uint32_t rules)
{
	struct fleet_service *sv;
	struct sim s;
	const struct member *m;
	uint64_t breaches;
	int64_t a, b, c = 0;
	uint32_t i, j;
	json_t *r;

	start_quietly(&s, seed, rules);
	sv = fleet_service(sim_newest(&s), "records");
	i = shard_with_common_heir(sv);
	a = sv->shards[i].owner;
	b = sv->shards[i].successor;
	m = fleet_member(sim_newest(&s), a);
	for (j = 0; j < 5; j++) {
		int64_t id = s.nodes[j].member.self;

		if (id != a && id != b &&
		    !witness_set_has(&m->witnesses, s.nodes[j].member.process))
			c = id;
	}
	for (j = 0; j < m->witnesses.n; j++)
		put_behind(&s, m->witnesses.id[j]);
	s.nodes[sim_slot(&s, b)].behind_until = s.now + 20000;
	r = record_move("records", 0, "test");
	record_move_add(r, i, c, b, sv->shards[i].fence);
	if (!c)
		json_decref(r);
	else
		sim_append(&s, r);
	sim_run(&s, 600);
	sim_kill(&s, sim_slot(&s, a));
	s.log_down_until = s.now + 10000;
	sim_run(&s, 6000);
	breaches = s.breaches;
	sim_finish(&s);
	return breaches;
}

/*
 * An owner releases a shard and dies before its witnesses heard of the move.
 * Their promises then let the old successor, which has not heard either, serve
 * a key that the new owner serves.
 */
static void test_unheard_move(void)
{
	uint64_t without = 0;
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		g_assert_cmpuint(unheard_move(seed, 0), ==, 0);
		without += unheard_move(seed, RULE_WITNESSES_KNOW_MOVE);
	}
	g_assert_cmpuint(without, >, 0);
}

/*
 * A record that names another heir and leaves the owner, which neither the heir
 * before nor the owner's witnesses hear of; then the owner dies.
 */
static uint64_t unheard_heir(uint32_t seed, uint32_t rules)
{
	struct fleet_service *sv;
	struct sim s;
	const struct member *m;
	uint64_t breaches;
	int64_t a, b, c = 0;
	uint32_t j;
	json_t *r;

	start_quietly(&s, seed, rules);
	sv = fleet_service(sim_newest(&s), "records");
	a = sv->shards[0].owner;
	b = sv->shards[0].successor;
	m = fleet_member(sim_newest(&s), a);
	for (j = 0; j < 5; j++)
		if (s.nodes[j].member.self != a && s.nodes[j].member.self != b)
			c = s.nodes[j].member.self;
	for (j = 0; j < m->witnesses.n; j++)
		put_behind(&s, m->witnesses.id[j]);
	s.nodes[sim_slot(&s, b)].behind_until = s.now + 20000;
	r = record_move("records", 0, "test");
	record_move_add(r, 0, a, c, sv->shards[0].fence);
	sim_append(&s, r);
	sim_run(&s, 600);
	sim_kill(&s, sim_slot(&s, a));
	s.log_down_until = s.now + 10000;
	sim_run(&s, 6000);
	g_assert_cmpuint(s.breaches, ==, 0);
	breaches = s.fence_breaches;
	sim_finish(&s);
	return breaches;
}

/*
 * An owner serves a key under the fence of a record that only it has read, and
 * dies. The heir named before it takes over, rightly, under a fence below that:
 * a backend server that checks fences would take late work of the dead owner
 * for newer than its own.
 */
static void test_unheard_heir(void)
{
	uint64_t without = 0;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		g_assert_cmpuint(unheard_heir(seed, 0), ==, 0);
		without += unheard_heir(seed, RULE_WITNESSES_KNOW_FENCE);
	}
	g_assert_cmpuint(without, >, 0);
}

static int64_t other_member(struct sim *s, int64_t a, int64_t b, int64_t c)
{
	int64_t id;
	int i;

	for (i = 0; i < 5; i++) {
		id = s->nodes[i].member.self;
		if (id != a && id != b && id != c)
			return id;
	}
	return 0;
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

	start_quietly(&s, seed, rules);
	sv = fleet_service(sim_newest(&s), "records");
	i = shard_with_common_heir(sv);
	a = sv->shards[i].owner;
	b = sv->shards[i].successor;
	c = other_member(&s, a, b, 0);
	slot = sim_slot(&s, a);
	s.nodes[sim_slot(&s, b)].behind_until = s.now + 20000;
	r = record_move("records", 0, "test");
	record_move_add(r, i, c, other_member(&s, a, b, c),
			sv->shards[i].fence);
	sim_append(&s, r);
	for (end = s.now + 2000; s.now < end;) {
		sim_step(&s);
		if (sim_server(&s, i) == sim_slot(&s, c))
			break;
	}
	g_assert_cmpint(sim_server(&s, i), ==, sim_slot(&s, c));
	sim_kill(&s, slot);
	s.log_down_until = s.now + 10000;
	sim_run(&s, 6000);
	breaches = s.breaches;
	sim_finish(&s);
	return breaches;
}

/*
 * A shard moves while its old successor gets no records. Then the old owner
 * dies. The successor still believes that the shard is its to inherit, and a
 * user would find two servers answering for the key.
 */
static void test_stale_successor(void)
{
	uint64_t without = 0;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		g_assert_cmpuint(stale_successor(seed, 0), ==, 0);
		without += stale_successor(seed, RULE_SUCCESSOR_CATCHES_UP);
	}
	g_assert_cmpuint(without, >, 0);
}

static void append_move(struct sim *s, uint32_t shard, int64_t owner,
			int64_t successor)
{
	struct fleet_service *sv = fleet_service(sim_newest(s), "records");
	json_t *r = record_move("records", 0, "test");

	record_move_add(r, shard, owner, successor, sv->shards[shard].fence);
	sim_append(s, r);
}

static uint64_t shard_comes_and_goes(uint32_t seed, uint32_t rules)
{
	struct fleet_service *sv;
	struct member_node *na;
	struct sim s;
	int64_t a, b, c, d, end;
	uint64_t breaches;
	json_t *r;

	start_quietly(&s, seed, rules);
	sv = fleet_service(sim_newest(&s), "records");
	a = sv->shards[0].owner;
	b = sv->shards[0].successor;
	c = other_member(&s, a, b, 0);
	d = other_member(&s, a, b, c);
	na = &s.nodes[sim_slot(&s, a)].member;
	/* A long request runs on the shard, which moves to c and back. */
	s.nodes[sim_slot(&s, a)].busy_until[0] = s.now + 6000;
	append_move(&s, 0, c, a);
	sim_run(&s, 1000);
	r = record_expel(0, "test");
	record_expel_add(r, fleet_member(sim_newest(&s), c));
	sim_kill(&s, sim_slot(&s, c));
	sim_append(&s, r);
	na->quiet_until_ms = na->now_ms + 6000;
	for (end = s.now + 3000; s.now < end;) {
		sim_step(&s);
		sv = fleet_service(sim_newest(&s), "records");
		if (!sv->shards[0].from)
			break;
	}
	append_move(&s, 0, d, b);
	sim_run(&s, 2500);
	breaches = s.breaches;
	sim_finish(&s);
	return breaches;
}

/*
 * A shard leaves, comes back and leaves again while one slow request on it
 * still runs. Told that nobody serves it, the next owner would run a second
 * request beside the slow one.
 */
static void test_shard_comes_and_goes(void)
{
	uint64_t without = 0;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		g_assert_cmpuint(shard_comes_and_goes(seed, 0), ==, 0);
		without += shard_comes_and_goes(seed, RULE_REQUESTS_END_FIRST);
	}
	g_assert_cmpuint(without, >, 0);
}

static void set_witnesses(struct sim *s, const struct member *m,
			  const int64_t *ids)
{
	struct witness_set w = { .n = 3, .id = { ids[0], ids[1], ids[2] } };
	int64_t id = m->id;
	int64_t end = s->now + 5000;

	sim_append(s, record_witnesses(id, m->witness_offset, &w));
	sim_run(s, 200);
	while (s->now < end && fleet_member(sim_newest(s), id) &&
	       fleet_member(sim_newest(s), id)->old_witnesses.n)
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

	start_quietly(&s, seed, rules);
	a = s.nodes[0].member.self ? 0 : 1;
	id = s.nodes[a].member.self;
	m = *fleet_member(sim_newest(&s), id);
	memcpy(v, m.witnesses.id, sizeof(v));
	for (i = 0, spare = 0; i < SIM_NODES && !spare; i++) {
		int64_t p = s.nodes[i].member.process;

		if (p != m.process && !witness_set_has(&m.witnesses, p))
			spare = p;
	}
	/* The first witness promises a stop and is replaced. */
	sim_cut(&s, a, sim_slot_of_process(&s, v[0]), 1800);
	sim_run(&s, 1900);
	m = *fleet_member(sim_newest(&s), id);
	set_witnesses(&s, &m, (int64_t[]){ v[1], v[2], spare });
	/* Taken back, it must still keep its promise. */
	m = *fleet_member(sim_newest(&s), id);
	set_witnesses(&s, &m, (int64_t[]){ v[1], v[2], v[0] });
	sim_cut(&s, a, sim_slot_of_process(&s, v[2]), 5000);
	s.log_down_until = s.now + 10000;
	sim_run(&s, 5000);
	breaches = s.breaches;
	sim_finish(&s);
	return breaches;
}

/*
 * A witness gives up on a member, is replaced and later taken back, while the
 * member's heirs still hold its promise. Vouching again, it would let owner
 * and heir serve the same key.
 */
static void test_returning_witness(void)
{
	uint64_t without = 0;
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		g_assert_cmpuint(returning_witness(seed, 0), ==, 0);
		without += returning_witness(seed, RULE_PROMISE_IS_KEPT);
	}
	g_assert_cmpuint(without, >, 0);
}

/*
 * With one safety rule turned off, the same runs must end in two owners for
 * some key; a rule whose absence goes unnoticed is not tested.
 */
static void check_rule_is_needed(uint32_t rule, bool granted)
{
	uint32_t seed;

	for (seed = 1; seed <= 400; seed++) {
		struct sim s;
		uint64_t breaches = faulty_run(&s, seed, rule, granted);

		sim_finish(&s);
		if (breaches) {
			g_test_message("caught by seed %u", seed);
			return;
		}
	}
	g_error("rule %x off and nothing noticed in 400 seeds", rule);
}

static void test_rule_is_needed(gconstpointer rule)
{
	check_rule_is_needed(GPOINTER_TO_UINT(rule), false);
}

/* The same, where backend servers hold keys by grants. */
static void test_rule_is_needed_granted(gconstpointer rule)
{
	check_rule_is_needed(GPOINTER_TO_UINT(rule), true);
}

/* The new process finds a snapshot in the log, and no record before it. */
static uint64_t heir_forgets(uint32_t seed, uint32_t rules)
{
	struct fleet_service *sv;
	struct sim s;
	uint64_t breaches;
	int owner, heir;

	sim_init_granted(&s, seed, rules);
	s.verbose = g_getenv("VERBOSE") != NULL;
	g_assert_true(sim_converge(&s, 20000));
	sim_run(&s, 30000);
	sv = fleet_service(sim_newest(&s), "records");
	owner = sim_slot(&s, sv->shards[0].owner);
	heir = sim_slot(&s, sv->shards[0].successor);
	/* The heir takes over, and the log does not hear of it. */
	s.log_down_until = s.now + 100000;
	sim_kill(&s, owner);
	sim_run(&s, 8000);
	g_assert_cmpint(sim_server(&s, 0), ==, heir);
	/* Both are back; the heir's server reports before the log is read. */
	s.log_down_until = 0;
	sim_kill(&s, heir);
	sim_start(&s, heir);
	s.nodes[heir].log_cut = true;
	s.nodes[heir].backend.next_beat = s.now;
	sim_run(&s, 3 * SIM_STEP_MS);
	s.nodes[heir].log_cut = false;
	s.nodes[heir].backend.next_beat = s.now + 10000;
	sim_start(&s, owner);
	s.nodes[owner].backend.next_beat = s.now;
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
		without += heir_forgets(seed, RULE_SERVER_TELLS_FIRST);
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

	sim_init_granted(&s, 7, 0);
	g_assert_true(sim_converge(&s, 20000));
	sim_run(&s, 20000);
	for (i = 0; i < SIM_NODES; i++)
		reads -= s.nodes[i].n_reads;
	sim_configure(&s, NULL);
	sim_run(&s, 200);
	for (i = 0; i < SIM_NODES; i++) {
		g_assert_cmpint(s.nodes[i].member.fleet.applied, ==,
				s.log->len - 1);
		reads += s.nodes[i].n_reads;
	}
	g_assert_cmpuint(reads, <=, 4);
	sim_finish(&s);
}

static void restart_beside_server(struct sim *s, int slot)
{
	struct sim_node *nd = &s->nodes[slot];
	json_t *snapshot = fleet_snapshot(sim_newest(s));

	sim_kill(s, slot);
	sim_start(s, slot);
	g_assert_cmpint(member_load(&nd->member, snapshot, sim_local(nd)), ==,
			RESULT_OK);
	json_decref(snapshot);
	nd->backend.next_beat = s->now;
}

static uint64_t unknown_past(uint32_t seed, uint32_t rules)
{
	struct fleet_service *sv;
	struct sim s;
	uint64_t breaches;
	int64_t a, x;

	sim_init_granted(&s, seed, rules);
	s.verbose = g_getenv("VERBOSE") != NULL;
	g_assert_true(sim_converge(&s, 20000));
	sim_run(&s, 30000);
	sv = fleet_service(sim_newest(&s), "records");
	a = sv->shards[0].owner;
	x = other_member(&s, a, sv->shards[0].successor, 0);
	append_move(&s, 0, x, other_member(&s, a, x, 0));
	restart_beside_server(&s, sim_slot(&s, a));
	sim_run(&s, 200);
	/* The first server holds on, and hears of nothing. */
	s.nodes[s.top_slot[0]].backend.next_beat = s.now + 10000;
	restart_beside_server(&s, sim_slot(&s, x));
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
		without += unknown_past(seed, RULE_PAST_IS_WAITED_OUT);
	}
	g_assert_cmpuint(without, >, 0);
}

static const char *const rule_names[] = {
	"lease-from-sending",	"witness-waits",
	"stop-is-final",	"majority",
	"successor-catches-up", "release-before-hold",
	"witnesses-know-move",	"old-witnesses-count",
	"restart-waits",	"log-witness-wait",
	"promise-is-kept",	"requests-end-first",
};

/* Those that the runs with grants catch within a few hundred seeds. */
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

/*
 * An owner whose server is full gives ranges away. The balancer, which looks
 * once a second for something to do, must not make it wait its turn: the giving
 * was let through once in twenty tries, and the server stayed full.
 */
static void test_gives_at_once(void)
{
	GArray *shards = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	struct sim s;
	struct member_node *n;
	int64_t to;
	uint32_t shard = 0;
	int slot;

	start_quietly(&s, 3, 0);
	slot = sim_server(&s, shard);
	n = &s.nodes[slot].member;
	to = s.nodes[(slot + 1) % 5].member.self;
	g_array_append_val(shards, shard);
	g_assert_true(member_may_give(n, shard));
	g_assert_true(member_give(n, to, shards, n->now_ms));
	sim_run(&s, 5000);
	g_assert_cmpint(sim_server(&s, shard), ==, (slot + 1) % 5);
	sim_finish(&s);
	g_array_unref(shards);
}

/*
 * Operators publish in quick succession while the nodes that would bring it
 * into the log first are gone. The next in turn must count its wait from the
 * first change that is not in force, not from each new one: it would wait as
 * long as they go on, and callers be served by a configuration long replaced.
 */
static void test_published_in_a_storm(void)
{
	struct sim s;
	struct fleet *f;
	json_t *doc;
	int64_t source;
	uint32_t i, rank;

	start_quietly(&s, 5, 0);
	f = sim_newest(&s);
	doc = json_deep_copy(f->document);
	for (i = 0; i < SIM_NODES; i++) {
		rank = assign_rank(f, "publish", s.nodes[i].member.self);
		if (rank < 3)
			sim_kill(&s, i);
	}
	for (source = 1; source <= 20; source++) {
		for (i = 0; i < SIM_NODES; i++)
			if (s.nodes[i].up)
				member_set_published(&s.nodes[i].member, source,
						     doc,
						     s.nodes[i].member.now_ms);
		sim_run(&s, 100);
	}
	g_assert_cmpint(sim_newest(&s)->source, >=, 8);
	json_decref(doc);
	sim_finish(&s);
}

/*
 * Every process is killed at once, or every host loses power, and all start
 * again a second later, each naming its neighbours as witnesses by processes
 * that are gone. Callers find no owner for any key until leases are had again;
 * the users' bound for a key is three seconds.
 */
static void test_all_killed(gconstpointer servers)
{
	int64_t longest = 0;
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		struct sim s;
		int64_t began;

		sim_init_granted(&s, seed, 0);
		s.verbose = g_getenv("VERBOSE") != NULL;
		g_assert_true(sim_converge(&s, 20000));
		sim_run(&s, 15000);
		sim_kill_all(&s, servers, 1300);
		began = s.now;
		sim_converge(&s, 30000);
		longest = MAX(longest, s.now - began);
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
	uint32_t i;

	g_test_init(&argc, &argv, NULL);
	if (g_getenv("SEEDS"))
		n_seeds = atoi(g_getenv("SEEDS"));
	if (g_getenv("FIRST_SEED"))
		first_seed = atoi(g_getenv("FIRST_SEED"));
	g_test_add_data_func("/member/random-faults", NULL, test_random_faults);
	g_test_add_data_func("/member/random-grants", GINT_TO_POINTER(1),
			     test_random_faults);
	g_test_add_data_func("/member/all-killed", NULL, test_all_killed);
	g_test_add_data_func("/member/all-without-power", GINT_TO_POINTER(1),
			     test_all_killed);
	g_test_add_func("/member/published-in-a-storm",
			test_published_in_a_storm);
	g_test_add_func("/member/gives-at-once", test_gives_at_once);
	g_test_add_func("/member/stale-successor", test_stale_successor);
	g_test_add_func("/member/shard-comes-and-goes",
			test_shard_comes_and_goes);
	g_test_add_func("/member/unheard-move", test_unheard_move);
	g_test_add_func("/member/unheard-heir", test_unheard_heir);
	g_test_add_func("/member/returning-witness", test_returning_witness);
	g_test_add_func("/member/unknown-past", test_unknown_past);
	g_test_add_func("/member/heir-forgets", test_heir_forgets);
	g_test_add_func("/member/passed-on", test_passed_on);
	for (i = 0; i < G_N_ELEMENTS(rule_names); i++) {
		/* These have tests of their own, above. */
		if (1u << i == RULE_SUCCESSOR_CATCHES_UP ||
		    1u << i == RULE_WITNESSES_KNOW_MOVE ||
		    1u << i == RULE_REQUESTS_END_FIRST ||
		    1u << i == RULE_PROMISE_IS_KEPT)
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
	return g_test_run();
}

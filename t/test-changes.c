#include <stdlib.h>
#include <string.h>

#include "settings/changes.h"
#include "t/sim.h"
#include "util/counters.h"
#include "util/result.h"

/*
 * When operators' changes are in force: at every node within CHANGE_BOUND_MS of
 * the store's acknowledgement, however late the store answers, and never taken
 * back by a process.
 */

#define CHANGE_BOUND_MS 2500
/*
 * Where messages get lost no node is undisturbed. What was lost is repaired by
 * the next offers.
 */
#define REPAIR_MS 1000
/* A node counts as undisturbed this long after a disturbance has ended. */
#define CALM_MS 3000
#define RUN_MS 60000
#define MAX_DISTURBED 3
#define DEFAULT_SEEDS 12
/*
 * What is left of the 5 s allowed in a fleet of 1,500, when answers are 1.3 s
 * late: 0.1 s between reads, 0.6 s if the first readers do not act, 0.35 s to
 * work the change out.
 */
#define HANDED_ON_BOUND_MS (5000 - 1300 - 100 - 600 - 350)
/* Seeds in which each rule that is switched off must show. */
#define RULE_SEEDS 60

struct run_result {
	uint32_t late; /* node and step */
	uint32_t taken_back;
	uint32_t mixed; /* not the routes of the change in force */
	uint32_t outdated; /* serves with less than there was at its start */
};

/* The rules that are switched off. */
struct rules_off {
	uint32_t member;
	uint32_t early;
	uint32_t spread;
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
		s->changes_refused_until_ms = s->now_ms + 3 * ms;
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
	int64_t bound_ms = CHANGE_BOUND_MS + (s->loss > 0 ? REPAIR_MS : 0);
	int64_t i = s->operators->len;

	while (--i >= 0)
		if (sim_written_at_ms(s, i) + s->answer_ms + bound_ms <=
		    s->now_ms)
			break;
	return i;
}

static bool has_route(const struct member_node *m, int64_t version)
{
	g_autofree char *path = g_strdup_printf("/v%d/x", (int)version);

	return configuration_match(member_configuration(m), "GET", "a", path);
}

/*
 * Whether a node has the routes of the change in force, and no others. While
 * the log has the next change in part, a node that goes by the log has some of
 * each.
 */
static bool has_its_routes(const struct member_node *m, int64_t source)
{
	int64_t version = source + 1;
	int64_t v;

	if (m->early.source < 0 && m->fleet.partial_source_offset > source)
		return true;

	for (v = MAX(version - 8, 1); v <= version + 3; v++)
		if (has_route(m, v) != (v > version - 4 && v <= version))
			return false;
	return true;
}

static void check_node(struct sim_node *nd, int64_t due, struct run_result *r)
{
	struct member_node *m = &nd->member;
	int64_t source;

	if (!nd->up || nd->paused_until_ms > nd->sim->now_ms ||
	    !member_is_current(m))
		return;
	source = member_source_in_force(m);
	r->taken_back += source < nd->source;
	if (source != nd->source && source >= 0 && !has_its_routes(m, source)) {
		r->mixed++;
		if (nd->sim->verbose)
			g_print("%7" G_GINT64_FORMAT " node %u has not the "
				"routes of change %" G_GINT64_FORMAT
				", early %" G_GINT64_FORMAT "\n",
				(gint64)nd->sim->now_ms, nd->slot,
				(gint64)source, (gint64)m->early.source);
	}
	r->outdated += source < nd->source_at_start;
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

static void check_nodes(struct sim *s, struct run_result *r)
{
	int64_t due = source_due(s);
	uint32_t i;

	for (i = 0; i < SIM_NODES; i++)
		check_node(&s->nodes[i], due, r);
}

static void start_fleet(struct sim *s, uint32_t seed,
			const struct rules_off *off)
{
	uint32_t i;

	sim_init(s, seed, off->member);
	s->disabled_early_rules = off->early;
	s->disabled_spread_rules = off->spread;
	s->verbose = g_getenv("VERBOSE") != NULL;
	g_assert_true(sim_run_until_served(s, 20000));
	sim_run(s, 5000);
	sim_start_operators(s);
	for (i = 0; i < SIM_NODES; i++) {
		s->nodes[i].member.early.disabled_rules = off->early;
		s->nodes[i].member.spread.disabled_rules = off->spread;
	}
}

/* Changes and disturbances at random, with answers that are answer_ms late. */
static struct run_result run_changes(uint32_t seed, const struct rules_off *off,
				     int64_t answer_ms)
{
	struct run_result r = { 0 };
	int64_t next_change_ms, next_fault_ms, end;
	struct sim s;

	start_fleet(&s, seed, off);
	s.answer_ms = answer_ms;
	s.loss = seed % 2 ? 0 : 0.1;
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

static int64_t answer_ms_of(uint32_t seed)
{
	return answer_times_ms[seed % G_N_ELEMENTS(answer_times_ms)];
}

static void test_random_changes(void)
{
	static const struct rules_off none;
	uint32_t first = env_number("FIRST_SEED", 1);
	uint32_t n = env_number("SEEDS", DEFAULT_SEEDS);
	uint32_t seed;

	for (seed = first; seed < first + n; seed++) {
		struct run_result r =
			run_changes(seed, &none, answer_ms_of(seed));

		if (r.late || r.taken_back || r.mixed || r.outdated)
			g_print("seed %u: %u late, %u taken back, %u mixed, "
				"%u outdated\n",
				seed, r.late, r.taken_back, r.mixed,
				r.outdated);
		g_assert_cmpuint(r.late, ==, 0);
		g_assert_cmpuint(r.taken_back, ==, 0);
		g_assert_cmpuint(r.mixed, ==, 0);
		g_assert_cmpuint(r.outdated, ==, 0);
	}
}

static uint32_t total(const struct run_result *r)
{
	return r->late + r->taken_back + r->mixed + r->outdated;
}

/* Each rule that is switched off must show in some run. */
static void test_rules_needed(void)
{
	static const struct {
		const char *name;
		struct rules_off off;
	} rules[] = {
		{ "newer only", { .early = EARLY_NEWER_ONLY } },
		{ "until the log has it", { .early = EARLY_UNTIL_LOG_HAS_IT } },
		{ "changes fit their base",
		  { .early = EARLY_CHANGES_FIT_BASE } },
		{ "offers are repeated", { .spread = SPREAD_OFFER_AGAIN } },
		{ "another is asked", { .spread = SPREAD_ASK_ANOTHER } },
		{ "the next reader acts", { .member = RULE_NEXT_READER_ACTS } },
	};
	uint32_t i, seed;

	for (i = 0; i < G_N_ELEMENTS(rules); i++) {
		struct run_result r = { 0 };

		for (seed = 1; seed <= RULE_SEEDS && !total(&r); seed++)
			r = run_changes(seed, &rules[i].off,
					answer_ms_of(seed));
		g_test_message("without \"%s\": seed %u, %u late, %u taken "
			       "back, %u mixed, %u outdated",
			       rules[i].name, seed - 1, r.late, r.taken_back,
			       r.mixed, r.outdated);
		if (!total(&r))
			g_print("not seen without: %s\n", rules[i].name);
		g_assert_cmpuint(total(&r), >, 0);
	}
}

/*
 * Another record always comes before a long one. The change must be in the log
 * nevertheless, in shorter parts, or data centres that are taken out of service
 * later would wait behind it.
 */
static void test_long_change_reaches_log(void)
{
	static const struct rules_off none;
	int64_t source = -1;
	struct sim s;

	start_fleet(&s, 5, &none);
	s.max_change_bytes = 14000;
	while (!s.operators->len || s.operators->len % LONG_CHANGE_EACH)
		source = sim_publish(&s);
	sim_run(&s, 4000);
	g_assert_cmpint(sim_newest_state(&s)->source_offset, ==, source);
	sim_finish(&s);
}

/*
 * Whether a process that gets its state from a peer, while the log lacks a
 * change that is in force there, is current without the change.
 */
static bool current_without_change(uint32_t rules)
{
	const struct rules_off off = { .member = rules };
	struct member_msg msg;
	struct sim_node *nd;
	bool current;
	struct sim s;

	start_fleet(&s, 11, &off);
	s.changes_refused_until_ms = INT64_MAX;
	sim_publish(&s);
	sim_run(&s, 1000);
	g_assert_cmpint(member_source_in_force(&s.nodes[2].member), ==, 0);
	nd = &s.nodes[1];
	member_msg_init(&msg, MSG_RECORDS_REQUEST);
	msg.from = nd->member.self_id;
	sim_kill(&s, 1);
	sim_start(&s, 1);
	nd->log_unreachable = true;
	member_on_message(&s.nodes[2].member, &msg,
			  sim_node_now_ms(&s.nodes[2]));
	sim_run(&s, 200);
	g_assert_true(member_is_caught_up(&nd->member));
	current = member_is_current(&nd->member) &&
		  member_source_in_force(&nd->member) < 0;
	sim_finish(&s);
	return current;
}

static void test_current_with_change(void)
{
	g_assert_false(current_without_change(0));
	g_assert_true(current_without_change(RULE_CURRENT_WHEN_IN_FORCE));
}

/* While nothing changes, nothing is offered or asked for. */
static void test_nothing_while_nothing_changes(void)
{
	static const struct rules_off none;
	uint64_t offered, sent, requested;
	struct sim s;

	start_fleet(&s, 7, &none);
	sim_publish(&s);
	sim_run(&s, 10000);
	offered = counters[COUNTER_changes_offered];
	sent = counters[COUNTER_changes_sent];
	requested = counters[COUNTER_changes_requested];
	g_assert_cmpuint(offered + sent, >, 0);
	sim_run(&s, 60000);
	g_assert_cmpuint(counters[COUNTER_changes_offered], ==, offered);
	g_assert_cmpuint(counters[COUNTER_changes_sent], ==, sent);
	g_assert_cmpuint(counters[COUNTER_changes_requested], ==, requested);
	sim_finish(&s);
}

enum spread_step {
	HOLD,
	PEER_HAS,
	LOG_HAS,
	ASK,
	DUE,
	LACKS,
	OFFERED
};

/* Whom to ask and whom to offer to, step by step. */
static void test_spread_table(void)
{
	static const struct {
		enum spread_step step;
		int64_t now_ms;
		int64_t peer;
		int64_t source;
		int64_t expected;
	} table[] = {
		{ ASK, 0, 0, 4, 0 }, /* nobody has anything newer */
		{ PEER_HAS, 0, 1, 5, 0 },
		{ ASK, 0, 0, 4, 1 },
		{ ASK, 10, 0, 4, 0 }, /* it was asked just before */
		{ PEER_HAS, 20, 2, 5, 0 },
		{ ASK, 499, 0, 4, 0 },
		{ ASK, 500, 0, 4, 2 }, /* the first did not answer */
		{ PEER_HAS, 510, 3, 6, 0 },
		{ ASK, 510, 0, 4, 3 }, /* it has a newer one */
		{ ASK, 2000, 0, 6, 0 },
		{ DUE, 2000, 0, 0, 0 },
		{ HOLD, 2000, 0, 6, 0 },
		{ DUE, 2000, 0, 0, 1 },
		{ LACKS, 2000, 1, 0, 1 },
		{ LACKS, 2000, 3, 0, 0 }, /* it is known to have it */
		{ LACKS, 2000, 9, 0, 1 },
		{ OFFERED, 2000, 0, 0, 0 },
		{ DUE, 2299, 0, 0, 0 },
		{ DUE, 2300, 0, 0, 1 },
		{ OFFERED, 2300, 0, 0, 0 },
		{ DUE, 2899, 0, 0, 0 },
		{ DUE, 2900, 0, 0, 1 },
		{ HOLD, 2900, 0, 5, 0 }, /* older: no effect */
		{ LACKS, 2900, 3, 0, 0 },
		{ LOG_HAS, 3000, 0, 6, 0 },
		{ DUE, 9000, 0, 0, 0 },
		{ ASK, 9000, 0, 5, 0 }, /* the log has it */
	};
	struct spread s;
	uint32_t i;

	spread_init(&s);
	for (i = 0; i < G_N_ELEMENTS(table); i++) {
		int64_t now = table[i].now_ms;
		int64_t result = 0;

		switch (table[i].step) {
		case HOLD:
			spread_hold(&s, table[i].source, now);
			break;
		case PEER_HAS:
			spread_peer_has(&s, table[i].peer, table[i].source);
			break;
		case LOG_HAS:
			spread_log_has(&s, table[i].source);
			break;
		case ASK:
			result = spread_ask(&s, table[i].source, now);
			break;
		case DUE:
			result = spread_offer_due(&s, now);
			break;
		case LACKS:
			result = spread_lacks(&s, table[i].peer);
			break;
		case OFFERED:
			spread_offered(&s, now);
			break;
		}
		if (result != table[i].expected)
			g_print("line %u of the table\n", i + 1);
		g_assert_cmpint(result, ==, table[i].expected);
	}
	spread_finish(&s);
}

/* A document with one route, of the operators' version. */
static json_t *one_route(int version, const char *path)
{
	return json_pack("{s:i,s:[{s:s}],s:[{s:s,s:s,s:s,s:s,s:i}],s:[]}",
			 "source", version, "services", "name", "a", "classes",
			 "name", "k", "service", "a", "method", "*", "path",
			 path, "target_ms", 5, "data_centres");
}

static int apply_changes_to(struct early_configuration *e,
			    const struct fleet *f, int64_t source, int64_t base,
			    int version, const char *path)
{
	json_t *doc = one_route(version, path);
	bool complete;
	json_t *changes =
		changes_between(f->document, doc, SIZE_MAX, &complete);
	int err = early_apply(e, f, source, base, changes);

	json_decref(changes);
	json_decref(doc);
	return err;
}

static int load_document(struct early_configuration *e, const struct fleet *f,
			 int64_t source, int version, const char *path)
{
	json_t *doc = one_route(version, path);
	int err = early_load(e, f, source, doc);

	json_decref(doc);
	return err;
}

static bool matches(const struct early_configuration *e, const struct fleet *f,
		    const char *path)
{
	return configuration_match(early_in_force(e, f), "GET", "h", path);
}

/* Which changes come into force, and until when. */
static void test_early_table(void)
{
	struct early_configuration e;
	json_t *broken = json_pack("{s:i}", "version", 9);
	struct fleet f;

	fleet_init(&f);
	early_init(&e);
	/* Before the log has any configuration. */
	g_assert_cmpint(apply_changes_to(&e, &f, 0, -1, 3, "/a/"), ==,
			RESULT_OK);
	g_assert_true(matches(&e, &f, "/a/"));
	g_assert_cmpint(early_source(&e, &f), ==, 0);
	/* The same again, an older one, an older operators' version. */
	g_assert_cmpint(apply_changes_to(&e, &f, 0, -1, 3, "/b/"), ==,
			RESULT_STALE);
	g_assert_cmpint(load_document(&e, &f, -1, 3, "/b/"), ==, RESULT_STALE);
	g_assert_cmpint(load_document(&e, &f, 5, 2, "/b/"), ==, RESULT_STALE);
	/* Of another version of the log, then as a whole. */
	g_assert_cmpint(apply_changes_to(&e, &f, 1, 7, 4, "/c/"), ==,
			RESULT_GAP);
	g_assert_cmpint(load_document(&e, &f, 1, 4, "/c/"), ==, RESULT_OK);
	g_assert_true(matches(&e, &f, "/c/"));
	g_assert_false(matches(&e, &f, "/a/"));
	/* What cannot be read changes nothing. */
	g_assert_cmpint(early_apply(&e, &f, 8, -1, broken), ==, RESULT_INVALID);
	g_assert_true(matches(&e, &f, "/c/"));
	/* The log reaches an older change, then this one. */
	f.source_offset = 0;
	f.configuration_version = 12;
	g_assert_false(early_on_log(&e, &f));
	g_assert_true(matches(&e, &f, "/c/"));
	f.source_offset = 1;
	g_assert_true(early_on_log(&e, &f));
	g_assert_cmpint(early_source(&e, &f), ==, 1);
	g_assert_false(matches(&e, &f, "/c/"));
	json_decref(broken);
	early_finish(&e);
	fleet_finish(&f);
}

#define BIG_NODES 1500
#define BIG_WITNESSES 3
#define BIG_CHANGE_BYTES (55 * 1024)
#define BIG_LINK_BYTES_PER_MS 1250 /* 10 Mbit/s */
/* To read 55 kB of changes into a configuration, with a tenth of a core. */
#define BIG_ADOPT_MS 200
#define BIG_REGION_MS 30 /* one way between regions */
#define BIG_STOPPED_PER_CENT 3
#define BIG_TICK_MS 50

enum big_message {
	BIG_OFFER,
	BIG_REQUEST,
	BIG_CHANGE
};

struct big_packet {
	int64_t at_ms;
	uint32_t from;
	uint32_t to;
	enum big_message what;
	bool again;
};

struct big_node {
	struct spread spread;
	GArray *neighbours; /* uint32_t */
	bool stopped;
	int64_t adopts_at_ms; /* received, and being read; 0: not */
	int64_t held_at_ms; /* -1: not yet */
	int64_t link_free_at_ms; /* when what is being sent has left */
	uint64_t bytes_sent;
};

struct big_fleet {
	struct big_node nodes[BIG_NODES];
	GQueue *packets; /* struct big_packet */
	GRand *rand;
	int64_t now_ms;
};

static void big_send(struct big_fleet *b, uint32_t from, uint32_t to,
		     enum big_message what, bool again)
{
	struct big_packet *p = g_new(struct big_packet, 1);
	struct big_node *nd = &b->nodes[from];
	uint64_t bytes = what == BIG_CHANGE ? BIG_CHANGE_BYTES : 100;

	nd->link_free_at_ms = MAX(nd->link_free_at_ms, b->now_ms) +
			      (int64_t)(bytes / BIG_LINK_BYTES_PER_MS);
	nd->bytes_sent += bytes;
	*p = (struct big_packet){ .at_ms = nd->link_free_at_ms + 1 +
					   (from % 4 != to % 4 ? BIG_REGION_MS
							       : 0),
				  .from = from,
				  .to = to,
				  .what = what,
				  .again = again };
	g_queue_push_tail(b->packets, p);
}

static void big_offer(struct big_fleet *b, uint32_t i, bool again)
{
	struct big_node *nd = &b->nodes[i];
	uint32_t j;

	for (j = 0; j < nd->neighbours->len; j++) {
		uint32_t to = g_array_index(nd->neighbours, uint32_t, j);

		if (spread_lacks(&nd->spread, to + 1))
			big_send(b, i, to, BIG_OFFER, again);
	}
	spread_offered(&nd->spread, b->now_ms);
}

static void big_hold(struct big_fleet *b, uint32_t i)
{
	struct big_node *nd = &b->nodes[i];

	nd->adopts_at_ms = 0;
	nd->held_at_ms = b->now_ms;
	spread_hold(&nd->spread, 1, b->now_ms);
	big_offer(b, i, false);
}

static void big_ask(struct big_fleet *b, uint32_t i)
{
	struct big_node *nd = &b->nodes[i];
	int64_t peer;

	if (nd->held_at_ms >= 0 || nd->adopts_at_ms)
		return;
	peer = spread_ask(&nd->spread, 0, b->now_ms);
	if (peer)
		big_send(b, i, peer - 1, BIG_REQUEST, false);
}

static void big_receive(struct big_fleet *b, const struct big_packet *p)
{
	struct big_node *nd = &b->nodes[p->to];

	if (nd->stopped)
		return;
	if (p->what == BIG_REQUEST) {
		big_send(b, p->to, p->from, BIG_CHANGE, false);
		spread_peer_has(&nd->spread, p->from + 1, 1);
		return;
	}
	spread_peer_has(&nd->spread, p->from + 1, 1);
	if (nd->held_at_ms >= 0 && p->again)
		big_send(b, p->to, p->from, BIG_OFFER, false);
	if (p->what == BIG_OFFER)
		big_ask(b, p->to);
	else if (nd->held_at_ms < 0 && !nd->adopts_at_ms)
		nd->adopts_at_ms = b->now_ms + BIG_ADOPT_MS;
}

static void big_deliver(struct big_fleet *b)
{
	uint32_t n = b->packets->length;

	while (n--) {
		struct big_packet *p = g_queue_pop_head(b->packets);

		if (p->at_ms > b->now_ms) {
			g_queue_push_tail(b->packets, p);
			continue;
		}
		big_receive(b, p);
		g_free(p);
	}
}

static void big_step(struct big_fleet *b)
{
	uint32_t i;

	b->now_ms++;
	big_deliver(b);
	for (i = 0; i < BIG_NODES; i++) {
		struct big_node *nd = &b->nodes[i];

		if (nd->stopped)
			continue;
		if (nd->adopts_at_ms && b->now_ms >= nd->adopts_at_ms)
			big_hold(b, i);
		if ((b->now_ms + i) % BIG_TICK_MS)
			continue;
		big_ask(b, i);
		if (spread_offer_due(&nd->spread, b->now_ms))
			big_offer(b, i, true);
	}
}

static void big_init(struct big_fleet *b, uint32_t seed)
{
	uint32_t i, j;

	memset(b, 0, sizeof(*b));
	b->rand = g_rand_new_with_seed(seed);
	b->packets = g_queue_new();
	for (i = 0; i < BIG_NODES; i++) {
		spread_init(&b->nodes[i].spread);
		b->nodes[i].neighbours =
			g_array_new(FALSE, FALSE, sizeof(uint32_t));
		b->nodes[i].held_at_ms = -1;
		b->nodes[i].stopped = i >= 2 &&
				      g_rand_int_range(b->rand, 0, 100) <
					      BIG_STOPPED_PER_CENT;
	}
	for (i = 0; i < BIG_NODES; i++)
		for (j = 0; j < BIG_WITNESSES; j++) {
			uint32_t w = g_rand_int_range(b->rand, 0, BIG_NODES);

			if (w == i)
				continue;
			g_array_append_val(b->nodes[i].neighbours, w);
			g_array_append_val(b->nodes[w].neighbours, i);
		}
}

/*
 * A change of 2,000 routes is handed on through 1,500 nodes with links of 10
 * Mbit/s and a tenth of a core each, some of which are stopped.
 */
static void test_1500_nodes(void)
{
	struct big_fleet *b = g_new(struct big_fleet, 1);
	uint64_t most = 0, sum = 0;
	uint32_t seed;

	for (seed = 1; seed <= 3; seed++) {
		uint32_t lacking = BIG_NODES;
		uint32_t i;

		big_init(b, seed);
		/* The first two readers by rank. */
		big_hold(b, 0);
		big_hold(b, 1);
		while (lacking && b->now_ms < 10000) {
			big_step(b);
			lacking = 0;
			for (i = 0; i < BIG_NODES; i++)
				lacking += !b->nodes[i].stopped &&
					   b->nodes[i].held_at_ms < 0;
		}
		most = 0;
		sum = 0;
		for (i = 0; i < BIG_NODES; i++) {
			most = MAX(most, b->nodes[i].bytes_sent);
			sum += b->nodes[i].bytes_sent;
		}
		g_test_message("seed %u: all have it after %d ms; %d kB sent "
			       "by a node on the mean, %d at most",
			       seed, (int)b->now_ms,
			       (int)(sum / BIG_NODES / 1024),
			       (int)(most / 1024));
		g_assert_cmpuint(lacking, ==, 0);
		g_assert_cmpint(b->now_ms, <=, HANDED_ON_BOUND_MS);
		for (i = 0; i < BIG_NODES; i++) {
			spread_finish(&b->nodes[i].spread);
			g_array_unref(b->nodes[i].neighbours);
		}
		g_queue_free_full(b->packets, g_free);
		g_rand_free(b->rand);
	}
	g_free(b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/changes/whom-to-ask-and-offer", test_spread_table);
	g_test_add_func("/changes/what-comes-into-force", test_early_table);
	g_test_add_func("/changes/random", test_random_changes);
	g_test_add_func("/changes/rules-needed", test_rules_needed);
	g_test_add_func("/changes/current-with-what-the-peer-has",
			test_current_with_change);
	g_test_add_func("/changes/long-change-reaches-log",
			test_long_change_reaches_log);
	g_test_add_func("/changes/nothing-while-nothing-changes",
			test_nothing_while_nothing_changes);
	g_test_add_func("/changes/1500-nodes", test_1500_nodes);
	return g_test_run();
}

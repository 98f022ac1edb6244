#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "gate/instance-proof.h"
#include "gate/server-instance.h"

/*
 * Which messages of a backend server announce it, and which end that. The
 * randomised run starts instances one after the other at one address, lets
 * their messages arrive late, out of order or more than once, and restarts the
 * process that they go to. It checks that no instance takes requests after its
 * leaving was acknowledged, and that the one that lives does.
 */

#define N_STEPS 400
#define STEP_MS 100
#define HEARTBEAT_MS 800
#define LATE_MAX_MS 8000
/* The living instance takes requests at the latest so long after any other. */
#define KNOWN_AFTER_MS 12000
#define RULE_SEEDS 20000 /* at most, to show that a rule is needed */
#define N_IDS 3
#define WALL_START_MS 1700000000000

static uint32_t n_seeds = 300;
static uint32_t first_seed = 1;

#define U SERVER_UNKNOWN
#define R SERVER_READY
#define S SERVER_SILENT
#define X SERVER_REFUSED
#define L SERVER_LEAVING
#define D SERVER_DEREGISTERED

static void test_states(void)
{
	static const enum server_state expected[][N_SERVER_EVENTS] = {
		/* ready, leaving, deregisters, silent, refuses */
		[U] = { R, L, U, U, X }, [R] = { R, L, D, S, X },
		[S] = { R, L, D, S, X }, [X] = { R, L, D, X, X },
		[L] = { L, L, D, L, L }, [D] = { D, D, D, D, D },
	};
	int state, event;

	for (state = 0; state < N_SERVER_STATES; state++)
		for (event = 0; event < N_SERVER_EVENTS; event++)
			g_assert_cmpint(server_next_state(state, event), ==,
					expected[state][event]);
}

enum call_kind {
	HEARTBEAT,
	DEREGISTER,
	SILENT,
	REFUSED
};

/* One message, and what it leads to. */
struct call {
	enum call_kind kind;
	const char *id;
	int64_t started_ms;
	int64_t number;
	bool leaving;
	int64_t at_ms;
	int check; /* of a heartbeat */
	enum server_state state;
};

struct scenario {
	const char *name;
	struct call calls[6];
};

#define NEW INSTANCE_NEW
#define CUR INSTANCE_CURRENT
#define OLD INSTANCE_STALE
#define NONE INSTANCE_START_UNKNOWN

static const struct scenario scenarios[] = {
	{ "silent-and-back",
	  { { HEARTBEAT, "a", 100, 1, false, 0, NEW, R },
	    { SILENT, NULL, 0, 0, false, 2000, 0, S },
	    { HEARTBEAT, "a", 100, 2, false, 3000, CUR, R } } },
	{ "refused-and-back",
	  { { HEARTBEAT, "a", 100, 1, false, 0, NEW, R },
	    { REFUSED, NULL, 0, 0, false, 900, 0, X },
	    { HEARTBEAT, "a", 100, 2, false, 1000, CUR, R } } },
	{ "late-heartbeat-after-deregistration",
	  { { HEARTBEAT, "a", 100, 1, false, 0, NEW, R },
	    { DEREGISTER, "a", NONE, 0, false, 500, 0, D },
	    { HEARTBEAT, "a", 100, 2, false, 2000, CUR, D },
	    { HEARTBEAT, "a", 100, 3, false, 90000, CUR, D } } },
	{ "late-ready-after-draining",
	  { { HEARTBEAT, "a", 100, 2, true, 0, NEW, L },
	    { HEARTBEAT, "a", 100, 1, false, 100, OLD, L },
	    { HEARTBEAT, "a", 100, 3, false, 200, CUR, L } } },
	{ "silent-then-deregistered",
	  { { HEARTBEAT, "a", 100, 1, false, 0, NEW, R },
	    { SILENT, NULL, 0, 0, false, 2000, 0, S },
	    { DEREGISTER, "a", NONE, 0, false, 2100, 0, D },
	    { HEARTBEAT, "a", 100, 2, false, 2200, CUR, D } } },
	{ "leaving-told-late",
	  { { HEARTBEAT, "a", 100, 1, false, 0, NEW, R },
	    { HEARTBEAT, "b", 700, 1, false, 900, NEW, R },
	    { HEARTBEAT, "a", 100, 3, true, 1000, OLD, R },
	    { HEARTBEAT, "a", 100, 2, false, 9000, OLD, R } } },
	{ "leaving-overtaken",
	  { { HEARTBEAT, "a", 100, 3, false, 0, NEW, R },
	    { HEARTBEAT, "a", 100, 2, true, 900, OLD, L },
	    { HEARTBEAT, "a", 100, 4, false, 1000, CUR, L } } },
	{ "new-instance-at-once",
	  { { HEARTBEAT, "a", 100, 1, false, 0, NEW, R },
	    { DEREGISTER, "a", NONE, 0, false, 500, 0, D },
	    { HEARTBEAT, "b", 700, 1, false, 900, NEW, R },
	    { HEARTBEAT, "a", 100, 2, false, 2000, OLD, R } } },
	{ "same-id-new-start",
	  { { HEARTBEAT, "a", 100, 1, false, 0, NEW, R },
	    { DEREGISTER, "a", NONE, 0, false, 500, 0, D },
	    { HEARTBEAT, "a", 700, 1, false, 900, NEW, R },
	    { HEARTBEAT, "a", 100, 2, false, 2000, OLD, R } } },
	{ "left-before-the-one-that-fell-silent",
	  { { HEARTBEAT, "a", 100, 1, false, 0, NEW, R },
	    { DEREGISTER, "a", NONE, 0, false, 500, 0, D },
	    { HEARTBEAT, "b", 700, 1, false, 900, NEW, R },
	    { SILENT, NULL, 0, 0, false, 3000, 0, S },
	    { HEARTBEAT, "a", 100, 2, false, 9000, OLD, S } } },
	{ "deregistration-unheard-of",
	  { { DEREGISTER, "a", NONE, 0, false, 500, 0, U },
	    { HEARTBEAT, "a", 100, 7, false, 1000, OLD, U },
	    { HEARTBEAT, "a", 100, 8, false, 90000, OLD, U },
	    { HEARTBEAT, "b", 700, 1, false, 90100, NEW, R } } },
	{ "started-after-deregistration-unheard-of",
	  { { DEREGISTER, "a", NONE, 0, false, 500, 0, U },
	    { HEARTBEAT, "a", 700, 1, false, 1000, NEW, R } } },
	{ "deregistration-of-an-earlier-start",
	  { { HEARTBEAT, "a", 100, 1, false, 0, NEW, R },
	    { HEARTBEAT, "a", 700, 1, false, 900, NEW, R },
	    { DEREGISTER, "a", 100, 0, false, 1000, 0, R },
	    { HEARTBEAT, "a", 100, 2, false, 2000, OLD, R },
	    { HEARTBEAT, "a", 700, 2, false, 2000, CUR, R } } },
	{ "clock-set-back-under-the-same-id",
	  { { HEARTBEAT, "a", 700, 1, false, 0, NEW, R },
	    { DEREGISTER, "a", NONE, 0, false, 800, 0, D },
	    { HEARTBEAT, "a", 100, 1, false, 1000, OLD, D },
	    { HEARTBEAT, "b", 800, 1, false, 2000, NEW, R },
	    { HEARTBEAT, "a", 100, 2, false, 20000, OLD, R },
	    { HEARTBEAT, "a", 100, 3, false, 40000, NEW, R } } },
};

static int play_call(struct server_instance *s, const struct call *c)
{
	switch (c->kind) {
	case HEARTBEAT:
		return instance_on_heartbeat(s, c->id, c->started_ms, c->number,
					     c->leaving, c->at_ms);
	case DEREGISTER:
		instance_on_deregister(s, c->id, c->started_ms, c->at_ms,
				       c->at_ms);
		break;
	case SILENT:
		instance_on_event(s, SERVER_FALLS_SILENT);
		break;
	case REFUSED:
		instance_on_event(s, SERVER_REFUSES);
		break;
	}
	return 0;
}

static void test_scenario(gconstpointer data)
{
	const struct scenario *sc = data;
	struct server_instance s = { 0 };
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(sc->calls) &&
		    (sc->calls[i].id || sc->calls[i].kind >= SILENT);
	     i++) {
		const struct call *c = &sc->calls[i];
		int check = play_call(&s, c);

		g_test_message("%s, call %u", sc->name, i);
		g_assert_cmpint(check, ==, c->check);
		g_assert_cmpint(s.state, ==, c->state);
	}
}

/* A message on its way. */
struct message {
	enum call_kind kind;
	uint32_t instance;
	int64_t number;
	bool leaving;
	int64_t arrives_ms;
};

/* What is true of an instance. */
struct truth {
	const char *id;
	int64_t started_ms; /* wall clock */
	int64_t begun_ms;
	int64_t numbers;
	bool leaves; /* it has begun to */
	bool acknowledged; /* that it leaves, by any process */
};

struct run {
	GRand *rand;
	struct server_instance known;
	struct truth instances[64];
	uint32_t n; /* instances so far; the last one lives */
	GArray *messages;
	int64_t now_ms;
	int64_t last_known_ms; /* when the living one last took requests */
};

static void send_message(struct run *r, enum call_kind kind, bool may_be_late)
{
	struct truth *t = &r->instances[r->n - 1];
	struct message m = { .kind = kind,
			     .instance = r->n - 1,
			     .number = ++t->numbers,
			     .leaving = t->leaves,
			     .arrives_ms = r->now_ms };

	if (may_be_late && g_rand_int_range(r->rand, 0, 4) == 0)
		m.arrives_ms += g_rand_int_range(r->rand, 1, LATE_MAX_MS);
	g_array_append_val(r->messages, m);
	if (g_rand_int_range(r->rand, 0, 8) == 0) {
		m.arrives_ms += g_rand_int_range(r->rand, 1, LATE_MAX_MS);
		g_array_append_val(r->messages, m);
	}
}

static void start_instance(struct run *r)
{
	static const char *const ids[N_IDS] = { "a", "b", "c" };
	struct truth *t = &r->instances[r->n++];

	t->id = ids[g_rand_int_range(r->rand, 0, N_IDS)];
	t->started_ms = WALL_START_MS + r->now_ms;
	t->begun_ms = r->now_ms;
}

/*
 * Delivers a message. A process that ended since has acknowledged nothing that
 * a later one knows of: only what this process acknowledged binds it.
 */
static void deliver(struct run *r, const struct message *m)
{
	struct truth *t = &r->instances[m->instance];

	if (m->kind == DEREGISTER)
		instance_on_deregister(&r->known, t->id, t->started_ms,
				       WALL_START_MS + r->now_ms, r->now_ms);
	else
		instance_on_heartbeat(&r->known, t->id, t->started_ms,
				      m->number, m->leaving, r->now_ms);
	if (m->kind == DEREGISTER || m->leaving)
		t->acknowledged = true;
}

static void deliver_due(struct run *r)
{
	uint32_t i = 0;

	while (i < r->messages->len) {
		struct message m =
			g_array_index(r->messages, struct message, i);

		if (m.arrives_ms > r->now_ms) {
			i++;
			continue;
		}
		g_array_remove_index(r->messages, i);
		deliver(r, &m);
	}
}

/* The newest instance that the messages are from, or NULL. */
static const struct truth *known_instance(const struct run *r)
{
	uint32_t i;

	for (i = r->n; i-- > 0;)
		if (!strcmp(r->instances[i].id, r->known.id) &&
		    r->instances[i].started_ms == r->known.started_ms)
			return &r->instances[i];
	return NULL;
}

/* Returns what is wrong, or NULL. */
static const char *check(struct run *r)
{
	const struct truth *known = known_instance(r);
	const struct truth *last = &r->instances[r->n - 1];

	if (r->known.state == SERVER_READY && known && known->acknowledged)
		return "an instance takes requests after its leaving was "
		       "acknowledged";
	if (last->leaves || (r->known.state == SERVER_READY && known == last))
		r->last_known_ms = r->now_ms;
	if (r->now_ms - MAX(last->begun_ms, r->last_known_ms) > KNOWN_AFTER_MS)
		return "the instance that lives takes no requests";
	return NULL;
}

static void act(struct run *r)
{
	struct truth *t = &r->instances[r->n - 1];
	int32_t what = g_rand_int_range(r->rand, 0, 200);
	uint32_t i;

	if (r->now_ms % HEARTBEAT_MS == 0 && !t->leaves)
		send_message(r, HEARTBEAT, true);
	if (what == 0 && r->n < G_N_ELEMENTS(r->instances) - 1) {
		/* It crashes, and another one starts. */
		start_instance(r);
	} else if (what <= 2 && !t->leaves) {
		t->leaves = true;
		send_message(r, what == 1 ? HEARTBEAT : DEREGISTER, true);
	} else if (what <= 8 && t->leaves) {
		start_instance(r);
	} else if (what == 9) {
		/* The process restarts. */
		memset(&r->known, 0, sizeof(r->known));
		for (i = 0; i < r->n; i++)
			r->instances[i].acknowledged = false;
	} else if (what == 10) {
		instance_on_event(&r->known, SERVER_FALLS_SILENT);
	}
}

static const char *play(uint32_t seed)
{
	struct run r = { .rand = g_rand_new_with_seed(seed) };
	const char *wrong = NULL;
	uint32_t i;

	r.messages = g_array_new(FALSE, FALSE, sizeof(struct message));
	start_instance(&r);
	for (i = 0; i < N_STEPS && !wrong; i++) {
		r.now_ms += STEP_MS;
		act(&r);
		deliver_due(&r);
		wrong = check(&r);
	}
	g_array_unref(r.messages);
	g_rand_free(r.rand);
	return wrong;
}

static void test_random_messages(void)
{
	uint32_t seed;

	for (seed = first_seed; seed < first_seed + n_seeds; seed++) {
		const char *wrong = play(seed);

		if (wrong)
			g_error("seed %u: %s", seed, wrong);
	}
}

static void test_rule_is_needed(gconstpointer data)
{
	const char *wrong = NULL;
	uint32_t seed;

	instance_disabled_rules = GPOINTER_TO_UINT(data);
	for (seed = 1; seed <= RULE_SEEDS && !wrong; seed++)
		wrong = play(seed);
	instance_disabled_rules = 0;
	g_test_message("seed %u, %s", seed - 1, wrong);
	g_assert_nonnull(wrong);
}

static const struct {
	const char *name;
	enum instance_rule rule;
} rules[] = {
	{ "left-is-final", INSTANCE_RULE_LEFT_IS_FINAL },
	{ "remember-left", INSTANCE_RULE_REMEMBER_LEFT },
	{ "remember-unheard", INSTANCE_RULE_REMEMBER_UNHEARD },
	{ "start-of-deregistered", INSTANCE_RULE_START_OF_DEREGISTERED },
};

enum proof_event {
	FIRST_HEARTBEAT,
	NEXT_HEARTBEAT,
	CONNECTED,
	CONNECTIONS_END,
	CALL_LOST, /* and no connection is open */
	CALL_LOST_OTHERS_OPEN,
	CALL_TIMED_OUT /* and no connection is open */
};

/* Events, one each PROOF_STEP_MS, and whether connections may be opened then. */
struct proof_case {
	enum proof_event events[6];
	uint32_t n_events;
	int64_t after_ms; /* the last one */
	bool allowed;
};

#define PROOF_STEP_MS 100

static void apply_proof_event(struct instance_proof *p, enum proof_event event,
			      int64_t now_ms)
{
	switch (event) {
	case FIRST_HEARTBEAT:
	case NEXT_HEARTBEAT:
		instance_proof_on_heartbeat(p, event == FIRST_HEARTBEAT,
					    now_ms);
		break;
	case CONNECTED:
	case CONNECTIONS_END:
		instance_proof_set_connected(p, event == CONNECTED);
		break;
	case CALL_LOST:
	case CALL_LOST_OTHERS_OPEN:
		instance_proof_on_call_ended(p, true, event != CALL_LOST);
		break;
	case CALL_TIMED_OUT:
		instance_proof_on_call_ended(p, false, false);
		break;
	}
}

static bool proof_allows(const struct proof_case *c)
{
	struct instance_proof p;
	int64_t now_ms = 0;
	uint32_t i;

	instance_proof_init(&p);
	for (i = 0; i < c->n_events; i++) {
		now_ms += PROOF_STEP_MS;
		apply_proof_event(&p, c->events[i], now_ms);
	}
	now_ms += c->after_ms;
	return instance_proof_connect_by_ms(&p, now_ms) > now_ms;
}

static void test_proof(void)
{
	static const struct proof_case cases[] = {
		{ { 0 }, 0, 0, false },
		{ { FIRST_HEARTBEAT }, 1, 299, true },
		{ { FIRST_HEARTBEAT }, 1, 300, false },
		{ { FIRST_HEARTBEAT, CONNECTED }, 2, 9000, true },
		{ { FIRST_HEARTBEAT, CONNECTED, CONNECTIONS_END }, 3, 0, false },
		/* It may have been sent before the connections ended. */
		{ { FIRST_HEARTBEAT, CONNECTED, CONNECTIONS_END,
		    NEXT_HEARTBEAT },
		  4,
		  0,
		  false },
		{ { FIRST_HEARTBEAT, CONNECTED, CONNECTIONS_END, NEXT_HEARTBEAT,
		    NEXT_HEARTBEAT },
		  5,
		  0,
		  true },
		{ { FIRST_HEARTBEAT, CONNECTED, CONNECTIONS_END, NEXT_HEARTBEAT,
		    FIRST_HEARTBEAT },
		  5,
		  0,
		  true },
		{ { FIRST_HEARTBEAT, CALL_LOST, NEXT_HEARTBEAT }, 3, 0, false },
		{ { FIRST_HEARTBEAT, CALL_LOST, NEXT_HEARTBEAT, CALL_LOST,
		    NEXT_HEARTBEAT },
		  5,
		  0,
		  false },
		{ { FIRST_HEARTBEAT, CALL_LOST_OTHERS_OPEN }, 2, 9000, true },
		{ { FIRST_HEARTBEAT, CONNECTED, CALL_TIMED_OUT,
		    NEXT_HEARTBEAT },
		  4,
		  0,
		  true },
	};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		if (proof_allows(&cases[i]) != cases[i].allowed)
			g_error("case %u", i);
}

/* One late heartbeat of an instance that has ended opens no connection. */
static void test_late_heartbeat_is_no_proof(void)
{
	static const struct proof_case late = {
		{ FIRST_HEARTBEAT, CONNECTED, CONNECTIONS_END, NEXT_HEARTBEAT },
		4,
		0,
		false
	};

	g_assert_false(proof_allows(&late));
	instance_proof_heartbeats = 1;
	g_assert_true(proof_allows(&late));
	instance_proof_heartbeats = 2;
}

int main(int argc, char **argv)
{
	uint32_t i;

	g_test_init(&argc, &argv, NULL);
	if (g_getenv("SEEDS"))
		n_seeds = atoi(g_getenv("SEEDS"));
	if (g_getenv("FIRST_SEED"))
		first_seed = atoi(g_getenv("FIRST_SEED"));
	g_test_add_func("/server-instance/states", test_states);
	for (i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		g_autofree char *path = g_strdup_printf(
			"/server-instance/scenario/%s", scenarios[i].name);

		g_test_add_data_func(path, &scenarios[i], test_scenario);
	}
	g_test_add_func("/server-instance/proof", test_proof);
	g_test_add_func("/server-instance/late-heartbeat-is-no-proof",
			test_late_heartbeat_is_no_proof);
	g_test_add_func("/server-instance/random-messages",
			test_random_messages);
	for (i = 0; i < G_N_ELEMENTS(rules); i++) {
		g_autofree char *path = g_strdup_printf(
			"/server-instance/rule-is-needed/%s", rules[i].name);

		g_test_add_data_func(path, GUINT_TO_POINTER(rules[i].rule),
				     test_rule_is_needed);
	}
	return g_test_run();
}

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "gate/instance-proof.h"
#include "gate/server-instance.h"
#include "state/leavings.h"

/*
 * Which messages of a backend server announce it, and which end that. The
 * randomised run starts instances one after the other at one address, lets
 * their messages arrive late, out of order or more than once, and restarts the
 * process that they go to. Leavings reach the log late or, where the process
 * ends first, perhaps not at all; the next process reads the log before it
 * joins. The run checks that no instance takes requests after its leaving was
 * acknowledged, that the one that lives does, and that it is announced no later
 * than by a process that knows of no recorded leavings.
 */

#define N_STEPS 400
#define STEP_MS 100
#define HEARTBEAT_MS 800
#define LATE_MAX_MS 8000
/* The living instance takes requests at the latest so long after any other. */
#define KNOWN_AFTER_MS 12000
#define APPEND_MAX_MS 1500
#define JOIN_MAX_MS 1500 /* from the start of a process */
#define HOST "host-1"
#define RULE_SEEDS 20000 /* at most, to show that a rule is needed */
#define N_IDS 3
#define WALL_START_MS 1700000000000

static uint32_t n_seeds = 300;
static uint32_t first_seed = 1;
/* Leavings are acknowledged before the log has them. */
static bool acknowledges_early;
/* One process hears everything; nothing is recorded. */
static bool has_one_process;

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
	RECORDED, /* read in the log */
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
	{ "recorded-before-the-heartbeat",
	  { { RECORDED, "a", 100, 450, false, 500, 0, U },
	    { HEARTBEAT, "a", 100, 7, false, 1000, OLD, U },
	    { HEARTBEAT, "b", 700, 1, false, 1100, NEW, R },
	    { HEARTBEAT, "a", 100, 8, false, 90000, OLD, R } } },
	{ "recorded-after-the-heartbeat",
	  { { HEARTBEAT, "a", 100, 7, false, 400, NEW, R },
	    { RECORDED, "a", 100, 300, false, 500, 0, L },
	    { HEARTBEAT, "a", 100, 8, false, 600, CUR, L } } },
	{ "recorded-without-a-start",
	  { { HEARTBEAT, "a", 100, 7, false, 400, NEW, R },
	    { RECORDED, "a", NONE, 300, false, 500, 0, L },
	    { HEARTBEAT, "a", 700, 1, false, 900, NEW, R },
	    { RECORDED, "a", NONE, 300, false, 1000, 0, R } } },
	{ "clock-set-back-after-a-recorded-leaving",
	  { { RECORDED, "a", 700, 800, false, 500, 0, U },
	    { HEARTBEAT, "a", 100, 1, false, 600, NEW, R } } },
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
	case RECORDED:
		instance_on_recorded_leaving(s, c->id, c->started_ms, c->number,
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

/* The record of a leaving, on its way to the log. */
struct append {
	uint32_t instance;
	int64_t left_wall_ms;
	int64_t arrives_ms;
	uint32_t process; /* that waits for it, to acknowledge the leaving */
};

struct run {
	GRand *rand;
	struct server_instance known;
	struct server_instance
		without_log; /* the same, but for recorded leavings */
	struct leavings log;
	GArray *appends;
	uint32_t process; /* number of the present one */
	int64_t joins_ms; /* it has read the log by then */
	bool joined;
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

static void record_leaving(struct run *r, uint32_t instance)
{
	struct append a = { .instance = instance,
			    .left_wall_ms = WALL_START_MS + r->now_ms,
			    .process = r->process };

	a.arrives_ms = r->now_ms + g_rand_int_range(r->rand, 0, APPEND_MAX_MS);
	if (!has_one_process)
		g_array_append_val(r->appends, a);
	if (has_one_process || acknowledges_early)
		r->instances[instance].acknowledged = true;
}

static void hear(struct run *r, struct server_instance *s,
		 const struct message *m)
{
	const struct truth *t = &r->instances[m->instance];

	if (m->kind == DEREGISTER)
		instance_on_deregister(s, t->id, t->started_ms,
				       WALL_START_MS + r->now_ms, r->now_ms);
	else
		instance_on_heartbeat(s, t->id, t->started_ms, m->number,
				      m->leaving, r->now_ms);
}

static void deliver(struct run *r, const struct message *m)
{
	hear(r, &r->known, m);
	hear(r, &r->without_log, m);
	if (m->kind == DEREGISTER || m->leaving)
		record_leaving(r, m->instance);
}

static void learn(struct run *r, const struct leaving *left)
{
	instance_on_recorded_leaving(&r->known, left->server, left->started_ms,
				     left->left_wall_ms, r->now_ms);
}

static void apply_append(struct run *r, const struct append *a)
{
	struct truth *t = &r->instances[a->instance];
	struct leaving left = { .host = HOST,
				.started_ms = t->started_ms,
				.left_wall_ms = a->left_wall_ms };

	g_strlcpy(left.server, t->id, sizeof(left.server));
	leavings_add(&r->log, &left);
	if (r->joined)
		learn(r, &left);
	if (a->process == r->process)
		t->acknowledged = true;
}

static void apply_due(struct run *r)
{
	uint32_t i = 0;

	while (i < r->appends->len) {
		struct append a = g_array_index(r->appends, struct append, i);

		if (a.arrives_ms > r->now_ms) {
			i++;
			continue;
		}
		g_array_remove_index(r->appends, i);
		apply_append(r, &a);
	}
}

static void join_if_due(struct run *r)
{
	uint32_t i;

	if (r->joined || r->now_ms < r->joins_ms)
		return;
	for (i = 0; i < r->log.n; i++)
		learn(r, &r->log.entries[i]);
	r->joined = true;
}

/* Ends the process; its appends in flight may have no effect. */
static void restart_process(struct run *r)
{
	uint32_t i;

	memset(&r->known, 0, sizeof(r->known));
	memset(&r->without_log, 0, sizeof(r->without_log));
	for (i = r->appends->len; i-- > 0;)
		if (g_rand_boolean(r->rand))
			g_array_remove_index(r->appends, i);
	r->process++;
	r->joined = false;
	r->joins_ms = r->now_ms + g_rand_int_range(r->rand, 0, JOIN_MAX_MS);
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

/* The instance that takes requests, or NULL. */
static const struct truth *ready_instance(const struct run *r,
					  const struct server_instance *s)
{
	uint32_t i;

	for (i = r->n; i-- > 0 && s->state == SERVER_READY;)
		if (!strcmp(r->instances[i].id, s->id) &&
		    r->instances[i].started_ms == s->started_ms)
			return &r->instances[i];
	return NULL;
}

/* Returns what is wrong, or NULL. */
static const char *check(struct run *r)
{
	const struct truth *ready = ready_instance(r, &r->known);
	const struct truth *last = &r->instances[r->n - 1];

	if (r->joined && ready && ready->acknowledged)
		return "an instance takes requests after its leaving was "
		       "acknowledged";
	if (!last->leaves && ready != last &&
	    ready_instance(r, &r->without_log) == last)
		return "a recorded leaving keeps the instance that lives away";
	if (last->leaves || (r->joined && ready == last))
		r->last_known_ms = r->now_ms;
	if (r->now_ms - MAX(last->begun_ms, r->last_known_ms) > KNOWN_AFTER_MS)
		return "the instance that lives takes no requests";
	return NULL;
}

static void act(struct run *r)
{
	struct truth *t = &r->instances[r->n - 1];
	int32_t what = g_rand_int_range(r->rand, 0, 200);

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
	} else if (what == 9 && !has_one_process) {
		restart_process(r);
	} else if (what == 10) {
		instance_on_event(&r->known, SERVER_FALLS_SILENT);
		instance_on_event(&r->without_log, SERVER_FALLS_SILENT);
	}
}

static const char *play(uint32_t seed)
{
	struct run *r = g_new0(struct run, 1);
	const char *wrong = NULL;
	uint32_t i;

	r->rand = g_rand_new_with_seed(seed);
	r->messages = g_array_new(FALSE, FALSE, sizeof(struct message));
	r->appends = g_array_new(FALSE, FALSE, sizeof(struct append));
	start_instance(r);
	for (i = 0; i < N_STEPS && !wrong; i++) {
		r->now_ms += STEP_MS;
		act(r);
		deliver_due(r);
		apply_due(r);
		join_if_due(r);
		wrong = check(r);
	}
	g_array_unref(r->messages);
	g_array_unref(r->appends);
	g_rand_free(r->rand);
	g_free(r);
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

/* Returns what is wrong by the first seed that shows it, or NULL. */
static const char *find_violation(void)
{
	const char *wrong = NULL;
	uint32_t seed;

	for (seed = 1; seed <= RULE_SEEDS && !wrong; seed++)
		wrong = play(seed);
	g_test_message("seed %u, %s", seed - 1, wrong ? wrong : "none");
	return wrong;
}

static const struct rule {
	const char *name;
	enum instance_rule rule;
	bool has_one_process;
} rules[] = {
	{ "left-is-final", INSTANCE_RULE_LEFT_IS_FINAL, false },
	{ "remember-left", INSTANCE_RULE_REMEMBER_LEFT, true },
	{ "remember-unheard", INSTANCE_RULE_REMEMBER_UNHEARD, true },
	{ "start-of-deregistered", INSTANCE_RULE_START_OF_DEREGISTERED, false },
	{ "learn-recorded", INSTANCE_RULE_LEARN_RECORDED, false },
};

static void test_rule_is_needed(gconstpointer data)
{
	const struct rule *rule = data;
	const char *wrong;

	has_one_process = rule->has_one_process;
	instance_disabled_rules = rule->rule;
	wrong = find_violation();
	instance_disabled_rules = 0;
	has_one_process = false;
	g_assert_nonnull(wrong);
}

/* The process may end between its answer and the append. */
static void test_early_acknowledgement_is_noticed(void)
{
	const char *wrong;

	acknowledges_early = true;
	wrong = find_violation();
	acknowledges_early = false;
	g_assert_nonnull(wrong);
}

static void test_one_process(void)
{
	has_one_process = true;
	test_random_messages();
	has_one_process = false;
}

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
	g_test_add_func("/server-instance/random-messages-to-one-process",
			test_one_process);
	g_test_add_func("/server-instance/early-acknowledgement-is-noticed",
			test_early_acknowledgement_is_noticed);
	for (i = 0; i < G_N_ELEMENTS(rules); i++) {
		g_autofree char *path = g_strdup_printf(
			"/server-instance/rule-is-needed/%s", rules[i].name);

		g_test_add_data_func(path, &rules[i], test_rule_is_needed);
	}
	return g_test_run();
}

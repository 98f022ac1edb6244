#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "gate/server-end.h"
#include "member/member.h"
#include "route/fingerprint.h"
#include "state/records.h"
#include "util/result.h"

/*
 * Requests that end their servers. The randomised run has a gate beside each of
 * some servers, a log that is slow, away, or forgetful of its answers, and
 * requests that any gate may get: one that ends servers, popular ones and ones
 * that come once. In runs with an even seed servers also end by themselves; in
 * every fourth one requests have a key, which one server owns while it is up,
 * and a long one comes just before the one that ends it, each time.
 */

#define N_SERVERS 6
#define N_POPULAR 5
#define POISON 1000
#define FIRST_POPULAR 2000
#define FIRST_UNIQUE 10000
#define STEP_MS 10
#define TICK_MS 50
#define RUN_MS 700000
#define TRIAL_MS 2000
#define WINDOW_MS 3000 /* after the third ending, arrivals count */
#define MOST_ARRIVALS 3
#define MAX_RUNNING 8
#define POISON_MS 100 /* after which it ends its server */
#define COMPANION 1001
#define COMPANION_MS 5000
/* The longest wait before a trial, and time for a node to be free for it. */
#define MOST_BLOCKED_MS (TRIAL_MS * 10 + 60000)

static uint32_t n_seeds = 60;
static uint32_t first_seed = 1;

struct run {
	uint64_t fingerprint;
	int64_t started_ms;
	int64_t ends_ms;
};

struct log_record {
	char *id;
	json_t *record;
	int64_t at_ms;
};

struct append {
	uint32_t node;
	enum append_kind kind;
	json_t *record;
	char *id;
	int64_t at_ms;
	int result;
};

struct server {
	struct member_node node;
	struct server_end end;
	struct run runs[MAX_RUNNING];
	uint32_t n_runs;
	uint32_t instance;
	int64_t back_at_ms; /* 0: it is up */
	int64_t known_at_ms; /* when its end is noticed; 0: no end */
	int64_t next_read_ms;
};

struct world {
	struct server servers[N_SERVERS];
	GRand *rand;
	GPtrArray *log; /* struct log_record */
	GQueue appends; /* struct append */
	int64_t now_ms;
	int64_t log_away_until_ms;
	uint64_t n_ids;
	uint64_t next_unique;
	bool ends_by_chance;
	bool keyed;
	uint32_t owner; /* of the key */
	int64_t owner_from_ms; /* its key is free until then; 0: it has it */
	int64_t owner_offset; /* that it has to have applied */
	uint32_t n_endings; /* by the poison */
	int64_t third_ending_ms;
	uint32_t n_late_arrivals;
	GHashTable *endings; /* fingerprint -> endings of servers that ran it */
	GHashTable *blocked_since; /* fingerprint -> time */
	const char *violation;
};

static int64_t draw(struct world *w, int32_t from, int32_t to)
{
	return g_rand_int_range(w->rand, from, to);
}

static bool chance(struct world *w, double p)
{
	return g_rand_double(w->rand) < p;
}

static void violated(struct world *w, const char *what)
{
	if (!w->violation)
		w->violation = what;
}

/* The node at which an operation of member_ops is called. */
struct op_user {
	struct world *world;
	uint32_t node;
};

static struct op_user op_users[N_SERVERS];

static void op_append(void *user, enum append_kind kind, json_t *record)
{
	struct op_user *u = user;
	struct world *w = u->world;
	struct append *a = g_new0(struct append, 1);

	a->node = u->node;
	a->kind = kind;
	a->record = record;
	a->id = g_strdup_printf("%u", (uint32_t)++w->n_ids);
	a->at_ms = w->now_ms + draw(w, 5, 200);
	if (w->now_ms < w->log_away_until_ms)
		a->result = RESULT_UNREACHABLE;
	g_queue_push_tail(&w->appends, a);
}

static void op_send(void *user, int64_t to, const struct member_msg *msg)
{
	(void)user;
	(void)to;
	(void)msg;
}

static void op_note(void *user, const char *what, int64_t subject)
{
	(void)user;
	(void)what;
	(void)subject;
}

static const struct member_ops ops = { .send = op_send,
				       .append = op_append,
				       .note = op_note };

static void add_record(struct world *w, const char *id, json_t *record)
{
	struct log_record *r = g_new0(struct log_record, 1);

	r->id = g_strdup(id);
	r->record = json_incref(record);
	r->at_ms = w->now_ms;
	g_ptr_array_add(w->log, r);
}

static void log_record_free(gpointer p)
{
	struct log_record *r = p;

	g_free(r->id);
	json_decref(r->record);
	g_free(r);
}

static void on_fleet_event(void *user, const struct fleet_event *ev)
{
	struct op_user *u = user;
	struct world *w = u->world;
	gpointer key = GSIZE_TO_POINTER(ev->fingerprint);

	if (u->node)
		return;
	if (ev->type == FLEET_REQUEST_CLEARED)
		g_hash_table_remove(w->blocked_since, key);
	if (ev->type != FLEET_REQUEST_BLOCKED)
		return;
	if (GPOINTER_TO_SIZE(g_hash_table_lookup(w->endings, key)) <
	    ev->endings)
		violated(w, "more endings are counted than there were");
	if (ev->fingerprint == POISON)
		return;
	if (!w->ends_by_chance)
		violated(w, "a request was blocked for another one's endings");
	if (!g_hash_table_contains(w->blocked_since, key))
		g_hash_table_insert(w->blocked_since, key,
				    GSIZE_TO_POINTER(w->now_ms));
}

static void world_init(struct world *w, uint32_t seed, uint32_t disabled)
{
	struct member_timing timing = MEMBER_TIMING_DEFAULT;
	uint32_t i;

	memset(w, 0, sizeof(*w));
	w->rand = g_rand_new_with_seed(seed);
	w->log = g_ptr_array_new_with_free_func(log_record_free);
	w->endings = g_hash_table_new(NULL, NULL);
	w->blocked_since = g_hash_table_new(NULL, NULL);
	w->next_unique = FIRST_UNIQUE;
	w->ends_by_chance = !(seed % 2);
	w->keyed = seed % 4 == 3;
	w->now_ms = 100000;
	for (i = 0; i < N_SERVERS; i++) {
		struct server *s = &w->servers[i];
		struct member m = { 0 };
		json_t *record;

		g_snprintf(m.host, sizeof(m.host), "host-%u", i);
		g_strlcpy(m.service, "records", sizeof(m.service));
		op_users[i] = (struct op_user){ w, i };
		member_init(&s->node, &m, &timing, &ops, &op_users[i],
			    w->now_ms, seed + i);
		s->node.suspects.trial_ms = TRIAL_MS;
		s->node.disabled_rules = disabled;
		s->node.on_event = on_fleet_event;
		s->node.on_event_user = &op_users[i];
		g_strlcpy(m.nonce, "joined", sizeof(m.nonce));
		g_strlcpy(m.data_centre, "hakata", sizeof(m.data_centre));
		g_strlcpy(m.peer, m.host, sizeof(m.peer));
		m.witnesses.id[m.witnesses.n++] = LOG_WITNESS;
		record = record_join(&m);
		add_record(w, "", record);
		json_decref(record);
	}
}

static void append_free(gpointer p)
{
	struct append *a = p;

	json_decref(a->record);
	g_free(a->id);
	g_free(a);
}

static void world_finish(struct world *w)
{
	uint32_t i;

	for (i = 0; i < N_SERVERS; i++)
		member_finish(&w->servers[i].node);
	g_queue_clear_full(&w->appends, append_free);
	g_ptr_array_unref(w->log);
	g_hash_table_unref(w->endings);
	g_hash_table_unref(w->blocked_since);
	g_rand_free(w->rand);
}

/* Appends take effect; some answers are lost, so that they are sent again. */
static void end_appends(struct world *w)
{
	uint32_t n = g_queue_get_length(&w->appends);

	for (; n > 0; n--) {
		struct append *a = g_queue_pop_head(&w->appends);
		int result = a->result;

		if (a->at_ms > w->now_ms) {
			g_queue_push_tail(&w->appends, a);
			continue;
		}
		if (!result)
			add_record(w, a->id, a->record);
		if (!result && chance(w, 0.2))
			result = RESULT_TIMEOUT;
		member_append_done(&w->servers[a->node].node, a->kind, result,
				   w->now_ms);
		append_free(a);
	}
}

static void read_log(struct world *w, struct server *s)
{
	int64_t next = s->node.fleet.applied + 1;

	if (w->now_ms < s->next_read_ms)
		return;
	s->next_read_ms = w->now_ms + draw(w, 0, chance(w, 0.05) ? 1500 : 300);
	for (; next < w->log->len; next++) {
		struct log_record *r = g_ptr_array_index(w->log, next);

		int err = member_on_record(&s->node, next, r->id, r->record,
					   w->now_ms);

		g_assert_true(!err || err == RESULT_DUPLICATE);
	}
}

static void instance_name(const struct world *w, const struct server *s,
			  char *out, size_t size)
{
	g_snprintf(out, size, "%u.%u", (uint32_t)(s - w->servers), s->instance);
}

static void count_ending(struct world *w, uint64_t fingerprint)
{
	gpointer key = GSIZE_TO_POINTER(fingerprint);
	gpointer old = g_hash_table_lookup(w->endings, key);

	g_hash_table_insert(w->endings, key,
			    GSIZE_TO_POINTER(GPOINTER_TO_SIZE(old) + 1));
}

static void end_server(struct world *w, struct server *s)
{
	uint32_t i;

	for (i = 0; i < s->n_runs; i++) {
		server_end_run_lost(&s->end, s->runs[i].fingerprint, w->now_ms);
		count_ending(w, s->runs[i].fingerprint);
	}
	s->n_runs = 0;
	s->back_at_ms = w->now_ms + draw(w, 1000, 3000);
	s->known_at_ms = chance(w, 0.8) ? w->now_ms + draw(w, 0, 100)
					: s->back_at_ms;
}

static void notice_end(struct world *w, struct server *s)
{
	uint64_t fingerprints[SERVER_END_MAX_RUNS];
	uint32_t n = server_end_confirmed(&s->end, w->now_ms, fingerprints);
	char name[32];

	s->known_at_ms = 0;
	if (s == &w->servers[w->owner]) {
		w->owner = (w->owner + 1) % N_SERVERS;
		w->owner_from_ms = w->now_ms + draw(w, 300, 1000);
	}
	instance_name(w, s, name, sizeof(name));
	if (n)
		member_server_ended(&s->node, name, fingerprints, n);
}

/* Some runs may have become suspects since they began. */
static bool has_suspect(const struct server *s)
{
	uint32_t i;

	for (i = 0; i < s->n_runs; i++)
		if (member_is_suspect(&s->node, s->runs[i].fingerprint))
			return true;
	return false;
}

/*
 * Nodes cannot agree while the log is away. What they send then is not counted,
 * as by the rule.
 */
static void count_arrival(struct world *w, uint64_t fingerprint)
{
	int64_t since = MAX(w->third_ending_ms, w->log_away_until_ms);

	if (fingerprint == POISON && w->third_ending_ms &&
	    w->now_ms > since + WINDOW_MS &&
	    ++w->n_late_arrivals > MOST_ARRIVALS)
		violated(w, "it went to servers after it had ended three");
}

static int64_t duration_ms(struct world *w, uint64_t fingerprint)
{
	switch (fingerprint) {
	case POISON:
		return POISON_MS;
	case COMPANION:
		return COMPANION_MS;
	default:
		return draw(w, 20, 300);
	}
}

static void arrive_at(struct world *w, struct server *s, uint64_t fingerprint)
{
	enum suspect_verdict v;
	int64_t wait_ms;

	if (s->back_at_ms || s->n_runs == MAX_RUNNING)
		return;
	v = member_judge_request(&s->node, fingerprint, w->keyed, w->now_ms,
				 &wait_ms);
	if (v >= SUSPECT_ELSEWHERE || (v == SUSPECT_ALONE && has_suspect(s)))
		return;
	if (v == SUSPECT_ALONE)
		member_suspect_sent(&s->node, fingerprint, w->now_ms);
	count_arrival(w, fingerprint);
	s->runs[s->n_runs++] = (struct run){
		.fingerprint = fingerprint,
		.started_ms = w->now_ms,
		.ends_ms = w->now_ms + duration_ms(w, fingerprint),
	};
}

/*
 * The owner of the key, or NULL. The next one knows that it is by a record that
 * follows the end of the one before, so it has read what was recorded until
 * then.
 */
static struct server *owner(struct world *w)
{
	struct server *s = &w->servers[w->owner];

	if (w->owner_from_ms && w->now_ms >= w->owner_from_ms) {
		w->owner_from_ms = 0;
		w->owner_offset = w->log->len - 1;
	}
	return w->owner_from_ms || s->node.fleet.applied < w->owner_offset
		       ? NULL
		       : s;
}

static void arrive(struct world *w, uint64_t fingerprint)
{
	struct server *s = w->keyed ? owner(w)
				    : &w->servers[draw(w, 0, N_SERVERS)];

	if (!s)
		return;
	if (fingerprint == POISON && w->keyed)
		arrive_at(w, s, COMPANION);
	arrive_at(w, s, fingerprint);
}

static void end_runs(struct world *w, struct server *s)
{
	uint32_t i;

	for (i = s->n_runs; i-- > 0;) {
		struct run r = s->runs[i];

		if (r.ends_ms > w->now_ms)
			continue;
		if (r.fingerprint == POISON) {
			if (++w->n_endings == 3)
				w->third_ending_ms = w->now_ms;
			end_server(w, s);
			return;
		}
		s->runs[i] = s->runs[--s->n_runs];
		server_end_answered(&s->end, r.started_ms);
		member_request_answered(&s->node, r.fingerprint);
	}
}

static void step_server(struct world *w, struct server *s)
{
	if (s->known_at_ms && w->now_ms >= s->known_at_ms)
		notice_end(w, s);
	if (s->back_at_ms && w->now_ms >= s->back_at_ms) {
		s->back_at_ms = 0;
		s->instance++;
	}
	end_runs(w, s);
	if (w->ends_by_chance && !s->back_at_ms && chance(w, 0.00005))
		end_server(w, s);
	read_log(w, s);
	if (w->now_ms % TICK_MS == 0)
		member_tick(&s->node, w->now_ms);
}

/*
 * Requests come in the first part of the run, and again later in spells, so
 * that trials fall due.
 */
static void send_requests(struct world *w)
{
	bool busy = w->now_ms % 20000 < 5000;

	if (chance(w, busy ? 0.05 : 0.01))
		arrive(w, POISON);
	if (chance(w, busy ? 0.3 : 0.05))
		arrive(w, FIRST_POPULAR + draw(w, 0, N_POPULAR));
	if (chance(w, busy ? 0.1 : 0.02))
		arrive(w, w->next_unique++);
	if (chance(w, 0.0001))
		w->log_away_until_ms = w->now_ms + draw(w, 0, 4000);
}

static void check_blocked(struct world *w)
{
	GHashTableIter it;
	gpointer key, since;

	g_hash_table_iter_init(&it, w->blocked_since);
	while (g_hash_table_iter_next(&it, &key, &since))
		if (GPOINTER_TO_SIZE(key) < FIRST_UNIQUE &&
		    w->now_ms - (int64_t)GPOINTER_TO_SIZE(since) >
			    MOST_BLOCKED_MS)
			violated(w, "a request that is well stays blocked");
}

/* Plays one seed. Returns what was violated, or NULL. */
static const char *play(uint32_t seed, uint32_t disabled)
{
	struct world *w = g_new0(struct world, 1);
	const char *violation;
	int64_t end;
	uint32_t i;

	world_init(w, seed, disabled);
	end = w->now_ms + RUN_MS;
	while (w->now_ms < end && !w->violation) {
		w->now_ms += STEP_MS;
		end_appends(w);
		for (i = 0; i < N_SERVERS; i++)
			step_server(w, &w->servers[i]);
		send_requests(w);
		check_blocked(w);
	}
	violation = w->violation;
	world_finish(w);
	g_free(w);
	return violation;
}

static void test_random_requests(void)
{
	uint32_t seed;

	for (seed = first_seed; seed < first_seed + n_seeds; seed++) {
		const char *violation = play(seed, 0);

		if (violation)
			g_error("seed %u: %s", seed, violation);
	}
}

struct rule {
	const char *name;
	uint32_t member_rules;
	uint32_t quarantine_rules;
};

static const struct rule rules[] = {
	{ "block", RULE_BLOCK, 0 },
	{ "alone", RULE_SUSPECT_ALONE, 0 },
	{ "answer-clears", RULE_ANSWER_CLEARS, 0 },
	{ "trials-end", RULE_TRIALS_END, 0 },
	{ "one-suspect", 0, QUARANTINE_RULE_ONE_SUSPECT },
	{ "once", 0, QUARANTINE_RULE_ONCE },
};

static void test_rule_is_needed(gconstpointer data)
{
	const struct rule *r = data;
	const char *violation = NULL;
	uint32_t seed;

	quarantine_disabled_rules = r->quarantine_rules;
	for (seed = 1; seed <= n_seeds && !violation; seed++)
		violation = play(seed, r->member_rules);
	quarantine_disabled_rules = 0;
	g_test_message("%s: seed %u, %s", r->name, seed - 1, violation);
	g_assert_nonnull(violation);
}

static uint32_t n_that_may_run(struct world *w, uint64_t fingerprint,
			       int64_t now_ms)
{
	uint32_t count = 0;
	int64_t wait_ms;
	uint32_t i;

	for (i = 0; i < N_SERVERS; i++) {
		enum suspect_verdict v =
			member_judge_request(&w->servers[i].node, fingerprint,
					     false, now_ms, &wait_ms);

		count += v == SUSPECT_ALONE;
		/* Callers are told to come back after a part of it. */
		if (v == SUSPECT_BLOCKED)
			g_assert_cmpint(wait_ms, <=, TRIAL_MS);
	}
	return count;
}

/* How many nodes may run a request without a key after a row of endings. */
static const struct {
	const char *name;
	uint32_t n_endings;
	bool beside_another; /* each time */
	bool rule; /* whether one node tries again */
	uint32_t at_once, when_due;
} trial_table[] = {
	{ "a suspect", 1, false, true, N_SERVERS, N_SERVERS },
	{ "blocked", 2, false, true, 0, 1 },
	{ "blocked, without the rule", 2, false, false, 0, N_SERVERS },
	{ "endings that do not count", 3, true, true, 1, 1 },
	{ "the same, without the rule", 3, true, false, N_SERVERS, N_SERVERS },
	{ "a third server", 3, false, true, 0, 0 },
};

static void test_trial_table(void)
{
	uint64_t requests[] = { 77, 78 };
	uint32_t i, j;

	for (i = 0; i < G_N_ELEMENTS(trial_table); i++) {
		struct world *w = g_new0(struct world, 1);

		world_init(w, 1, trial_table[i].rule ? 0 : RULE_ONE_TRIES);
		for (j = 0; j < trial_table[i].n_endings; j++) {
			g_autofree char *name = g_strdup_printf("i-%u", j);
			json_t *r = record_suspects(
				1, name, requests,
				1 + trial_table[i].beside_another);

			add_record(w, "", r);
			json_decref(r);
		}
		for (j = 0; j < N_SERVERS; j++)
			read_log(w, &w->servers[j]);
		g_test_message("%s", trial_table[i].name);
		g_assert_cmpuint(n_that_may_run(w, 77, w->now_ms), ==,
				 trial_table[i].at_once);
		g_assert_cmpuint(n_that_may_run(w, 77, w->now_ms + TRIAL_MS),
				 ==, trial_table[i].when_due);
		world_finish(w);
		g_free(w);
	}
}

/* What is counted for the requests 1 and 2 by a row of endings. */
static const struct {
	const char *name;
	struct {
		uint64_t instance;
		uint64_t requests[3]; /* up to a 0 */
	} endings[3];
	uint32_t counted[2];
} count_table[] = {
	{ "one ending", { { 7, { 1, 2 } } }, { 1, 1 } },
	{ "two instances", { { 7, { 1, 2 } }, { 8, { 1 } } }, { 2, 1 } },
	{ "recorded twice", { { 7, { 1 } }, { 7, { 1 } } }, { 1, 0 } },
	{ "two suspects at once",
	  { { 7, { 1, 2 } }, { 8, { 1, 2 } } },
	  { 1, 1 } },
	{ "then one of them alone",
	  { { 7, { 1, 2 } }, { 8, { 1, 2 } }, { 9, { 1 } } },
	  { 2, 1 } },
	{ "a suspect beside a new request",
	  { { 7, { 1 } }, { 8, { 1, 2 } } },
	  { 2, 1 } },
};

static uint32_t endings_of(const struct quarantine *q, uint64_t fingerprint)
{
	const struct quarantined_request *r = quarantine_find(q, fingerprint);

	return r ? r->endings : 0;
}

static void test_count_table(void)
{
	struct quarantine q;
	uint32_t i, j, n;

	for (i = 0; i < G_N_ELEMENTS(count_table); i++) {
		memset(&q, 0, sizeof(q));
		for (j = 0; j < 3 && count_table[i].endings[j].instance; j++) {
			const uint64_t *f = count_table[i].endings[j].requests;

			for (n = 0; n < 3 && f[n];)
				n++;
			quarantine_add_ending(
				&q, count_table[i].endings[j].instance, f, n, j,
				NULL, NULL);
		}
		g_test_message("%s", count_table[i].name);
		g_assert_cmpuint(endings_of(&q, 1), ==,
				 count_table[i].counted[0]);
		g_assert_cmpuint(endings_of(&q, 2), ==,
				 count_table[i].counted[1]);
	}
}

static void test_table_is_bounded(void)
{
	struct quarantine q = { 0 };
	uint64_t f = 1;
	uint32_t i;

	quarantine_add_ending(&q, 7, &f, 1, 0, NULL, NULL);
	quarantine_add_ending(&q, 8, &f, 1, 1, NULL, NULL);
	for (i = 0; i < 10 * QUARANTINE_MAX; i++) {
		uint64_t other = 100 + i;

		quarantine_add_ending(&q, 9 + i, &other, 1, 2 + i, NULL, NULL);
	}
	g_assert_cmpuint(q.n, ==, QUARANTINE_MAX);
	g_assert_cmpuint(endings_of(&q, 1), ==, 2);
	g_assert_cmpuint(endings_of(&q, 100 + i - 1), ==, 1);
}

static void test_table_in_snapshot(void)
{
	struct quarantine q = { 0 };
	struct quarantine *copy = g_new0(struct quarantine, 1);
	uint64_t f[] = { UINT64_MAX, 5 };
	json_t *list;
	uint32_t i;

	for (i = 0; i < 3; i++)
		quarantine_add_ending(&q, 70 + i, f, i % 2 + 1, i, NULL, NULL);
	list = quarantine_to_json(&q);
	g_assert_cmpint(quarantine_from_json(copy, list), ==, RESULT_OK);
	g_assert_cmpmem(copy, sizeof(*copy), &q, sizeof(q));
	json_array_append_new(json_object_get(list, "requests"),
			      json_pack("[i]", 1));
	g_assert_cmpint(quarantine_from_json(copy, list), ==, RESULT_INVALID);
	g_assert_cmpint(quarantine_from_json(copy, NULL), ==, RESULT_OK);
	g_assert_cmpuint(copy->n, ==, 0);
	json_decref(list);
	g_free(copy);
}

static void apply(struct fleet *f, json_t *record, int result)
{
	g_assert_cmpint(fleet_apply(f, f->applied + 1, "", record), ==, result);
	json_decref(record);
}

static void test_records(void)
{
	struct fleet *f = g_new0(struct fleet, 1);
	uint64_t requests[QUARANTINE_MAX_IN_RECORD + 1] = { 11, 12 };
	json_t *snapshot;

	fleet_init(f);
	apply(f, record_suspects(1, "i-1", requests, 2), RESULT_OK);
	apply(f, record_suspects(2, "i-2", requests, 1), RESULT_OK);
	g_assert_cmpuint(endings_of(&f->quarantine, 11), ==, 2);
	apply(f, record_suspects(2, "", requests, 1), RESULT_INVALID);
	apply(f, record_suspects(2, "i-3", requests, 0), RESULT_INVALID);
	apply(f, record_suspects(2, "i-3", requests, G_N_ELEMENTS(requests)),
	      RESULT_INVALID);
	snapshot = fleet_snapshot(f);
	apply(f, record_cleared(json_string("ada"), "cured", requests, 1),
	      RESULT_OK);
	g_assert_cmpuint(endings_of(&f->quarantine, 11), ==, 0);
	g_assert_cmpuint(endings_of(&f->quarantine, 12), ==, 1);
	json_object_set_new(snapshot, "applied", json_integer(f->applied));
	g_assert_cmpint(fleet_load_snapshot(f, snapshot), ==, RESULT_OK);
	g_assert_cmpuint(endings_of(&f->quarantine, 11), ==, 2);
	json_decref(snapshot);
	fleet_finish(f);
	g_free(f);
}

/* Which of three runs, lost at 0, 100 and 200 ms, are said to have ended it. */
static const struct {
	const char *name;
	int64_t answered_sent_ms; /* an answer to what was sent then; -1: none */
	int64_t known_ms;
	uint32_t n;
} end_table[] = {
	{ "nothing else seen", -1, 300, 3 },
	{ "an answer to an earlier request", 50, 300, 3 },
	{ "an answer soon after", 400, 500, 3 },
	{ "it lived after the first", 510, 600, 2 },
	{ "it lived after all", 700, 800, 0 },
	{ "known when the first is long past", -1, SERVER_END_MEMORY_MS + 50,
	  2 },
};

static void test_end_table(void)
{
	uint64_t out[SERVER_END_MAX_RUNS];
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(end_table); i++) {
		struct server_end s = { 0 };

		server_end_run_lost(&s, 1, 0);
		server_end_run_lost(&s, 2, 100);
		server_end_run_lost(&s, 3, 200);
		if (end_table[i].answered_sent_ms >= 0)
			server_end_answered(&s, end_table[i].answered_sent_ms);
		g_test_message("%s", end_table[i].name);
		g_assert_cmpuint(server_end_confirmed(&s, end_table[i].known_ms,
						      out),
				 ==, end_table[i].n);
		g_assert_cmpuint(server_end_confirmed(&s, end_table[i].known_ms,
						      out),
				 ==, 0);
	}
}

static void test_many_lost_runs(void)
{
	uint64_t out[SERVER_END_MAX_RUNS];
	struct server_end s = { 0 };
	uint32_t i;

	for (i = 0; i < 3 * SERVER_END_MAX_RUNS; i++)
		server_end_run_lost(&s, i / 2, i);
	g_assert_cmpuint(server_end_confirmed(&s, i, out), ==,
			 SERVER_END_MAX_RUNS / 2);
	g_assert_cmpuint(out[SERVER_END_MAX_RUNS / 2 - 1], ==, i / 2 - 1);
}

static void test_fingerprint(void)
{
	struct fingerprint_parts p = { "GET", "a.example", "/look/1",
				       "7",   "body",	   4 };
	struct fingerprint_parts other = p;
	uint64_t first = request_fingerprint(&p);

	g_assert_cmpuint(request_fingerprint(&other), ==, first);
	other.url = "/look/1?page=2";
	g_assert_cmpuint(request_fingerprint(&other), !=, first);
	other = p;
	other.url = "/look/";
	other.key = "17";
	g_assert_cmpuint(request_fingerprint(&other), !=, first);
	other = p;
	other.len = 3;
	g_assert_cmpuint(request_fingerprint(&other), !=, first);
	other = p;
	other.host = "b.example";
	g_assert_cmpuint(request_fingerprint(&other), !=, first);
}

int main(int argc, char **argv)
{
	uint32_t i;

	g_test_init(&argc, &argv, NULL);
	if (g_getenv("SEEDS"))
		n_seeds = atoi(g_getenv("SEEDS"));
	if (g_getenv("FIRST_SEED"))
		first_seed = atoi(g_getenv("FIRST_SEED"));
	g_test_add_func("/quarantine/counts", test_count_table);
	g_test_add_func("/quarantine/trials", test_trial_table);
	g_test_add_func("/quarantine/bounded", test_table_is_bounded);
	g_test_add_func("/quarantine/snapshot", test_table_in_snapshot);
	g_test_add_func("/quarantine/records", test_records);
	g_test_add_func("/quarantine/lost-runs", test_end_table);
	g_test_add_func("/quarantine/many-lost-runs", test_many_lost_runs);
	g_test_add_func("/quarantine/fingerprint", test_fingerprint);
	g_test_add_func("/quarantine/random-requests", test_random_requests);
	for (i = 0; i < G_N_ELEMENTS(rules); i++) {
		g_autofree char *path = g_strdup_printf(
			"/quarantine/rule-is-needed/%s", rules[i].name);

		g_test_add_data_func(path, &rules[i], test_rule_is_needed);
	}
	return g_test_run();
}

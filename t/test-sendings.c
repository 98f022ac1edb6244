#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "net/answer-check.h"
#include "platform/request.h"
#include "route/plan.h"

/*
 * Sendings of requests to backend servers that refuse some of them and send
 * answers more than once. The randomised run checks that an answer is delivered
 * only to the sending that it is an answer to, and that no request runs of
 * which its caller was told that it did not.
 */

#define N_GATES 3
#define N_REQUESTS 400
#define N_AT_ONCE 4
#define MAX_CONNECTIONS N_AT_ONCE /* of a gate to its server */
#define MAX_SERVERS 4
#define SHARE_REFUSED 0.5
#define SHARE_COPIED 0.3
#define SHARE_TURNED_AWAY 0.4
#define SHARE_LOST 0.1

static uint32_t n_seeds = 100;
static uint32_t first_seed = 1;

/* An answer on its way, and the sending that it is the answer to. */
struct sent_answer {
	char id[16];
	uint64_t sending;
	bool refuses;
	uint32_t skips; /* requests that it lets pass before */
};

struct connection {
	GQueue answers; /* struct sent_answer *, in the order of their arrival */
	GQueue copies; /* struct sent_answer *, kept by the server */
	bool busy;
};

struct request {
	char id[16];
	struct plan plan;
	uint32_t n_runs;
	bool done;
	bool told_not_run;
	/* In progress at a server: */
	struct connection *connection; /* or NULL */
	uint32_t gate;
	int attempt;
	uint64_t sending;
};

struct world {
	GRand *rand;
	GPtrArray *pools[N_GATES]; /* struct connection * */
	struct request requests[N_REQUESTS];
	uint32_t n_begun;
	uint64_t n_sendings;
	uint32_t n_opened;
	uint32_t n_too_many;
	uint32_t n_foreign; /* answers delivered to another sending */
	uint32_t n_false; /* told not run, and ran */
	uint32_t n_answered, n_sent_again;
};

static bool chance(struct world *w, double share)
{
	return g_rand_double(w->rand) < share;
}

static void connection_free(gpointer p)
{
	struct connection *c = p;

	g_queue_clear_full(&c->answers, g_free);
	g_queue_clear_full(&c->copies, g_free);
	g_free(c);
}

static void connection_close(struct world *w, uint32_t gate,
			     struct connection *c)
{
	g_ptr_array_remove(w->pools[gate], c);
}

/* An idle connection, or a new one, as the HTTP client chooses it. */
static struct connection *get_connection(struct world *w, uint32_t gate,
					 bool fresh)
{
	GPtrArray *pool = w->pools[gate];
	struct connection *c = NULL;
	uint32_t i;

	for (i = 0; i < pool->len && !c; i++) {
		struct connection *idle = g_ptr_array_index(pool, i);

		if (!idle->busy)
			c = idle;
	}
	/* Bytes that have arrived while it was idle show that it is no use. */
	if (c && (fresh ? pool->len >= MAX_CONNECTIONS
			: !g_queue_is_empty(&c->answers))) {
		connection_close(w, gate, c);
		c = NULL;
	}
	if (c && !fresh)
		return c;
	c = g_new0(struct connection, 1);
	g_ptr_array_add(pool, c);
	w->n_opened++;
	w->n_too_many += pool->len > MAX_CONNECTIONS;
	return c;
}

static void push_answer(struct connection *c, const struct sent_answer *a)
{
	g_queue_push_tail(&c->answers, g_memdup2(a, sizeof(*a)));
}

/* The server sends the copies that are due when a request arrives. */
static void send_copies(struct connection *c)
{
	uint32_t n = c->copies.length;

	while (n--) {
		struct sent_answer *a = g_queue_pop_head(&c->copies);

		if (a->skips) {
			a->skips--;
			g_queue_push_tail(&c->copies, a);
		} else {
			push_answer(c, a);
			g_free(a);
		}
	}
}

static void serve(struct world *w, struct request *r)
{
	struct connection *c = r->connection;
	struct sent_answer a = { .sending = r->sending,
				 .refuses = chance(w, SHARE_REFUSED) };

	g_strlcpy(a.id, r->id, sizeof(a.id));
	send_copies(c);
	r->n_runs += !a.refuses;
	if (chance(w, SHARE_LOST))
		return;
	push_answer(c, &a);
	if (!chance(w, SHARE_COPIED))
		return;
	a.skips = g_rand_int_range(w->rand, 0, 3);
	if (chance(w, 0.2))
		push_answer(c, &a);
	else
		g_queue_push_tail(&c->copies, g_memdup2(&a, sizeof(a)));
}

static void finish(struct world *w, struct request *r, enum plan_step step)
{
	r->done = true;
	r->told_not_run = step == PLAN_REFUSE;
	w->n_false += r->told_not_run && r->n_runs;
}

static void follow(struct world *w, struct request *r, enum plan_step step)
{
	if (step == PLAN_REFUSE || step == PLAN_UNKNOWN)
		finish(w, r, step);
}

static void send_request(struct world *w, struct request *r)
{
	struct retry_budget b;
	uint32_t gate = g_rand_int_range(w->rand, 0, N_GATES);
	bool again = plan_server_may_have_it(&r->plan, gate + 1);
	int number = plan_add_attempt(&r->plan);

	retry_budget_init(&b, 1, 100);
	if (number < 0) {
		finish(w, r, PLAN_UNKNOWN);
		return;
	}
	r->plan.attempts[number].gate = gate + 1;
	plan_attempt_event(&r->plan, number, ATTEMPT_EVENT_SENT);
	if (chance(w, SHARE_TURNED_AWAY)) {
		follow(w, r,
		       plan_refused(&r->plan, number, false, false, 0, &b, 0,
				    0));
		return;
	}
	w->n_sent_again += again;
	r->gate = gate;
	r->attempt = number;
	r->sending = ++w->n_sendings;
	r->connection = get_connection(w, gate, again);
	r->connection->busy = true;
	serve(w, r);
}

static bool is_for(const struct request *r, const struct sent_answer *a)
{
	GPtrArray *headers = headers_new();
	bool is;

	header_add(headers, headers_platform.attempt_id, a->id);
	is = answer_is_for(headers, &headers_platform, r->id);
	g_ptr_array_unref(headers);
	return is;
}

/* The attempt ends without an answer that can be delivered. */
static void end_without_answer(struct world *w, struct request *r,
			       enum attempt_event event)
{
	struct retry_budget b;

	retry_budget_init(&b, 1, 100);
	connection_close(w, r->gate, r->connection);
	r->connection = NULL;
	follow(w, r, plan_attempt_ended(&r->plan, r->attempt, event, &b, 0, 0));
}

static void read_answer(struct world *w, struct request *r)
{
	struct retry_budget b;
	struct sent_answer *a = g_queue_pop_head(&r->connection->answers);

	if (!a) {
		end_without_answer(w, r, ATTEMPT_EVENT_ANSWER_LOST);
		return;
	}
	if (!is_for(r, a)) {
		g_free(a);
		end_without_answer(w, r, ATTEMPT_EVENT_INVALID_ANSWER);
		return;
	}
	w->n_foreign += a->sending != r->sending;
	r->connection->busy = false;
	r->connection = NULL;
	retry_budget_init(&b, 1, 100);
	if (a->refuses) {
		follow(w, r,
		       plan_refused(&r->plan, r->attempt, false, true, 0, &b, 0,
				    0));
	} else {
		w->n_answered++;
		r->done = true;
	}
	g_free(a);
}

static struct request *begin(struct world *w)
{
	struct request *r = &w->requests[w->n_begun];

	g_snprintf(r->id, sizeof(r->id), "%u", w->n_begun++);
	r->plan.repeatable = chance(w, 0.3);
	r->plan.deadline_ms = 1000;
	r->plan.hold_until_ms = 100;
	r->plan.max_servers = MAX_SERVERS;
	return r;
}

static void run_seed(uint32_t seed, struct world *w)
{
	struct request *open[N_AT_ONCE] = { NULL };
	uint32_t i;

	memset(w, 0, sizeof(*w));
	w->rand = g_rand_new_with_seed(seed);
	for (i = 0; i < N_GATES; i++)
		w->pools[i] = g_ptr_array_new_with_free_func(connection_free);
	while (w->n_begun < N_REQUESTS) {
		struct request **r =
			&open[g_rand_int_range(w->rand, 0, N_AT_ONCE)];

		if (!*r || (*r)->done)
			*r = begin(w);
		else if ((*r)->connection)
			read_answer(w, *r);
		else
			send_request(w, *r);
	}
	for (i = 0; i < N_GATES; i++)
		g_ptr_array_unref(w->pools[i]);
	g_rand_free(w->rand);
}

static void test_random_sendings(void)
{
	uint32_t n_answered = 0, n_sent_again = 0;
	uint32_t seed;

	for (seed = first_seed; seed < first_seed + n_seeds; seed++) {
		struct world w;

		run_seed(seed, &w);
		if (w.n_foreign || w.n_false || w.n_too_many)
			g_error("seed %u: %u answers delivered to another "
				"sending, %u false refusals, %u connections "
				"too many",
				seed, w.n_foreign, w.n_false, w.n_too_many);
		n_answered += w.n_answered;
		n_sent_again += w.n_sent_again;
	}
	g_test_message("%u answered, %u sent again", n_answered, n_sent_again);
	g_assert_cmpuint(n_answered, >, 50 * n_seeds);
	g_assert_cmpuint(n_sent_again, >, n_seeds);
}

static void check_rule_is_needed(void)
{
	uint32_t n_false = 0;
	uint32_t n_foreign = 0;
	uint32_t seed;

	for (seed = 1; seed <= n_seeds; seed++) {
		struct world w;

		run_seed(seed, &w);
		n_foreign += w.n_foreign;
		n_false += w.n_false;
	}
	g_test_message("%u answers to another sending, %u false refusals",
		       n_foreign, n_false);
	g_assert_cmpuint(n_foreign, >, 0);
	g_assert_cmpuint(n_false, >, 0);
}

static void test_connection_rule_is_needed(void)
{
	plan_disabled_rules = PLAN_RULE_OTHER_CONNECTION;
	check_rule_is_needed();
	plan_disabled_rules = 0;
}

static void test_id_rule_is_needed(void)
{
	answer_check_disabled = true;
	check_rule_is_needed();
	answer_check_disabled = false;
}

/* After which events of an attempt its server may have the request. */
static void test_who_may_have_it(void)
{
	static const bool expected[ATTEMPT_N_EVENTS] = {
		[ATTEMPT_EVENT_SENT] = true,
		[ATTEMPT_EVENT_SERVER_REFUSED] = true,
		[ATTEMPT_EVENT_ANSWER_LOST] = true,
		[ATTEMPT_EVENT_SERVER_LATE] = true,
		[ATTEMPT_EVENT_IN_DOUBT] = true,
		[ATTEMPT_EVENT_INVALID_ANSWER] = true,
		[ATTEMPT_EVENT_LINK_LOST] = true,
		[ATTEMPT_EVENT_LEASE_OVER] = true,
		[ATTEMPT_EVENT_PROCESS_ENDED] = true,
		[ATTEMPT_EVENT_TIMEOUT] = true,
		[ATTEMPT_EVENT_STOPPING] = true,
		/* Its gate did not send it, and it cannot be taken back. */
		[ATTEMPT_EVENT_REFUSED] = false,
		[ATTEMPT_EVENT_NEVER_READ] = false,
		[ATTEMPT_EVENT_UNSENT] = true,
	};
	int e;

	for (e = 0; e < ATTEMPT_EVENT_ANSWERED; e++) {
		struct plan p = { 0 };

		p.attempts[plan_add_attempt(&p)].gate = 7;
		g_assert_false(plan_server_may_have_it(&p, 7));
		plan_attempt_event(&p, 0, ATTEMPT_EVENT_SENT);
		plan_attempt_event(&p, 0, e);
		g_test_message("event %d", e);
		g_assert_cmpint(plan_server_may_have_it(&p, 7), ==,
				expected[e]);
		g_assert_false(plan_server_may_have_it(&p, 8));
	}
}

static void test_answer_heads(void)
{
	static const struct {
		const char *echo; /* NULL: the answer has no id */
		const char *id;
		bool is_for;
	} table[] = {
		{ "a", "a", true },   { "b", "a", false },
		{ NULL, "a", false }, { "", "a", false },
		{ NULL, NULL, true }, { "", NULL, true },
		{ "b", NULL, false },
	};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(table); i++) {
		GPtrArray *headers = headers_new();

		if (table[i].echo)
			header_add(headers, headers_platform.attempt_id,
				   table[i].echo);
		g_assert_cmpint(answer_is_for(headers, &headers_platform,
					      table[i].id),
				==, table[i].is_for);
		g_ptr_array_unref(headers);
	}
}

/* A head with the ids or signatures of two answers is in doubt. */
static void test_heads_of_two_answers(void)
{
	static const struct {
		const char *ids[2];
		const char *signatures[2];
		bool is_for;
		bool is_signed;
	} table[] = {
		{ { "a" }, { "s" }, true, true },
		{ { "a", "a" }, { "s", "s" }, true, true },
		{ { "a", "b" }, { "s", "t" }, false, false },
		{ { "b", "a" }, { "s", "" }, false, false },
		{ { "a", "" }, { "", "s" }, false, false },
		{ { "a" }, { NULL }, true, false },
	};
	uint32_t i, j;

	for (i = 0; i < G_N_ELEMENTS(table); i++) {
		GPtrArray *headers = headers_new();

		for (j = 0; j < 2; j++) {
			if (table[i].ids[j])
				header_add(headers, headers_platform.attempt_id,
					   table[i].ids[j]);
			if (table[i].signatures[j])
				header_add(headers, headers_platform.signature,
					   table[i].signatures[j]);
		}
		g_test_message("heads %u", i);
		g_assert_cmpint(answer_is_for(headers, &headers_platform, "a"),
				==, table[i].is_for);
		g_assert_cmpint(answer_is_signed(headers, &headers_platform,
						 200),
				==, table[i].is_signed);
		g_ptr_array_unref(headers);
	}
}

/* An answer to a call without an id has none, in no header. */
static void test_second_id_of_call_without_id(void)
{
	GPtrArray *headers = headers_new();

	header_add(headers, headers_platform.attempt_id, "");
	header_add(headers, headers_platform.attempt_id, "a");
	g_assert_false(answer_is_for(headers, &headers_platform, NULL));
	g_ptr_array_unref(headers);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (g_getenv("SEEDS"))
		n_seeds = atoi(g_getenv("SEEDS"));
	if (g_getenv("FIRST_SEED"))
		first_seed = atoi(g_getenv("FIRST_SEED"));
	g_test_add_func("/sendings/who-may-have-it", test_who_may_have_it);
	g_test_add_func("/sendings/answer-heads", test_answer_heads);
	g_test_add_func("/sendings/heads-of-two-answers",
			test_heads_of_two_answers);
	g_test_add_func("/sendings/second-id-of-call-without-id",
			test_second_id_of_call_without_id);
	g_test_add_func("/sendings/random", test_random_sendings);
	g_test_add_func("/sendings/rule-is-needed/other-connection",
			test_connection_rule_is_needed);
	g_test_add_func("/sendings/rule-is-needed/id", test_id_rule_is_needed);
	return g_test_run();
}

#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "net/headers.h"
#include "node/entry.h"
#include "node/entry-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/result.h"

#define TICK_S 0.02
#define MAX_REQUESTS 8192
#define AVOID_MS 50
#define SILENT_LINK_MS 3000
/* An entry that sends little hears little: a second without a word is silence. */
#define SILENT_GATE_MS 1000
#define CREDIT_BYTES (32 * 1024)
/* Between questions to the heir of an owner that says nothing. */
#define ROUND_MS 200

static double usual_ms(struct entry_request *r, const struct gate_view *v)
{
	return cost_from_nominal_ms(entry_cost(r), v->latency_ms);
}

/* What repeats and hedges of requests to a service may add to its load. */
struct retry_budget *entry_budget(struct entry *e, const char *service)
{
	const struct settings *s = &e->node->settings;
	struct retry_budget *b = g_hash_table_lookup(e->budgets, service);
	uint32_t n = fleet_n_members(&e->node->member.fleet);

	if (b)
		return b;
	/* The reserve is the fleet's: a share of it is ours. */
	b = g_new0(struct retry_budget, 1);
	retry_budget_init(b, s->retry_share,
			  MAX(s->retry_reserve / MAX(n, 1), 1));
	g_hash_table_insert(e->budgets, g_strdup(service), b);
	return b;
}

struct class_cost *entry_cost(struct entry_request *r)
{
	GHashTable *costs = r->entry->costs;
	struct class_cost *c = g_hash_table_lookup(costs, r->class_name);

	if (c)
		return c;
	c = g_new0(struct class_cost, 1);
	g_hash_table_insert(costs, g_strdup(r->class_name), c);
	return c;
}

static void plan_step_ended(struct entry_request *r, uint32_t number,
			    enum attempt_event why)
{
	enum plan_step step = plan_attempt_ended(
		&r->plan, number, why, entry_budget(r->entry, r->service),
		g_rand_double(r->entry->rand), clock_now_ms());

	if (step == PLAN_SEND && plan_in_doubt(&r->plan))
		COUNT(requests_retried);
	entry_step(r, step);
}

static void send_next(struct entry_request *r)
{
	int64_t member = entry_pick_gate(r, r->plan.tries ? r->last_member : 0);
	double jitter = g_rand_double(r->entry->rand);
	int err = member ? entry_send_attempt(r, member, false)
			 : RESULT_OVERLOAD;

	if (err == RESULT_UNREACHABLE)
		plan_step_ended(r, r->plan.tries - 1, ATTEMPT_EVENT_UNSENT);
	else if (err)
		entry_step(r,
			   plan_no_candidate(&r->plan, jitter, clock_now_ms()));
}

/* Do what the plan says. */
void entry_step(struct entry_request *r, enum plan_step step)
{
	if (r->done)
		return;
	switch (step) {
	case PLAN_SEND:
		send_next(r);
		break;
	case PLAN_REFUSE:
		entry_reply_not_run(r, "refused, not run\n");
		break;
	case PLAN_UNKNOWN:
		entry_reply_unknown(r);
		break;
	case PLAN_WAIT:
	case PLAN_PENDING:
		break;
	}
}

void entry_end_attempt(struct entry_request *r, struct attempt *a,
		       enum attempt_event why, int result)
{
	uint32_t number = a->number;

	entry_note_left(a);
	entry_note_attempt(r, a, result);
	entry_forget_attempt(r->entry, a);
	plan_step_ended(r, number, why);
}

static void on_refused(struct entry_request *r, uint32_t number,
		       const struct request_msg *m)
{
	struct entry *e = r->entry;
	int64_t now = clock_now_ms();

	r->refused_us = clock_now_us();
	if (m->number == RESULT_NOT_OWNER && r->plan.keyed)
		entry_note_moved_on(r);
	else if (m->number == RESULT_NOT_OWNER)
		chooser_not_serving(&e->chooser, r->last_member, now);
	else
		chooser_refused(&e->chooser, r->last_member, AVOID_MS, now);
	entry_step(r,
		   plan_refused(&r->plan, number, m->number == RESULT_NOT_OWNER,
				m->flags & REQ_FLAG_REACHED, m->wait_ms,
				entry_budget(e, r->service),
				g_rand_double(e->rand), now));
}

static void note_answer(struct entry *e, struct attempt *a,
			const struct request_msg *m)
{
	struct class_cost *c = entry_cost(a->request);
	double ms = (clock_now_us() - a->sent_us) / 1000.0;

	if (m->type == REQ_DATA)
		return;
	if (m->type != REQ_HEAD)
		ms = 0;
	else
		cost_update_latency(c, ms);
	chooser_answered(&e->chooser, a->member,
			 ms > 0 ? cost_to_nominal_ms(c, ms) : 0, m->load,
			 m->limit, clock_now_ms());
}

/* What a gate says of a request that it does not answer and that may have run. */
static enum attempt_event failure(const struct request_msg *m)
{
	if (!(m->flags & REQ_FLAG_BEGUN))
		return ATTEMPT_EVENT_IN_DOUBT;
	if (m->number == RESULT_TIMEOUT)
		return ATTEMPT_EVENT_SERVER_LATE;
	return m->number == RESULT_MIXED ? ATTEMPT_EVENT_MIXED
					 : ATTEMPT_EVENT_CUT;
}

/* All that the gate had to say came before this on its link. */
static void on_gate_ending(struct entry *e, const struct request_msg *m)
{
	/* One that has left by the log already is no member any more. */
	if (m->to)
		chooser_gate_view(&e->chooser, m->to)->stop_announced = true;
	entry_send_heard(e, m->key);
}

void entry_on_message(struct entry *e, const struct request_msg *m)
{
	struct attempt *a = m->origin == e->origin
				    ? g_hash_table_lookup(e->attempts, &m->id)
				    : NULL;
	struct entry_request *r;
	uint32_t number;

	if (m->type == REQ_STALLED) {
		chooser_refused(&e->chooser, m->to, m->wait_ms, clock_now_ms());
		return;
	}
	if (m->type == REQ_ENDING) {
		on_gate_ending(e, m);
		return;
	}
	/*
	 * Answers to attempts given up, or to an earlier process at this
	 * address, must not reach another caller.
	 */
	if (!a) {
		COUNT(answers_late);
		return;
	}
	r = a->request;
	number = a->number;
	entry_note_left(a);
	note_answer(e, a, m);
	switch (m->type) {
	case REQ_CONFIRM:
		entry_send_confirmed(e, a, m->sent_ms);
		break;
	case REQ_HEAD:
		entry_take_head(r, a, m);
		break;
	case REQ_DATA:
		entry_take_data(r, a, m);
		break;
	case REQ_REFUSED:
		entry_note_attempt(r, a, m->number);
		entry_forget_attempt(e, a);
		on_refused(r, number, m);
		break;
	case REQ_FAILED:
		if (r->streaming && r->winner == a) {
			entry_end_answer(r, a, false);
			break;
		}
		entry_end_attempt(r, a, failure(m), m->number);
		break;
	default:
		break;
	}
}

static void hedge(struct entry_request *r, struct attempt *a, double age_ms)
{
	struct entry *e = r->entry;
	struct gate_view *v = chooser_gate_view(&e->chooser, a->member);
	int64_t member;

	if (!r->plan.repeatable || r->plan.keyed || r->hedged ||
	    !e->node->settings.hedge || !plan_may_reach_server(&r->plan))
		return;
	if (!cost_hedge_due(age_ms, usual_ms(r, v), r->target_ms))
		return;
	member = entry_pick_gate(r, a->member);
	if (!member || member == a->member ||
	    !retry_budget_withdraw(entry_budget(e, r->service)))
		return;
	r->hedged = true;
	COUNT(requests_hedged);
	entry_send_attempt(r, member, true);
}

/* How long to wait for one gate before another is worth asking. */
static double try_ms(struct entry_request *r, const struct attempt *a)
{
	struct gate_view *v = chooser_gate_view(&r->entry->chooser, a->member);
	double left = r->plan.deadline_ms - r->plan.received_at_ms;

	return cost_owner_hedge_delay_ms(usual_ms(r, v), r->target_ms, left);
}

/*
 * The owner of a key says nothing. It may be slow or lost: the attempt there
 * goes on, and whoever would inherit the key is asked beside it, round by
 * round. Cancelling instead would make of every short stall a long one.
 */
static void ask_heir(struct entry_request *r, const struct attempt *a,
		     double age_ms, int64_t now)
{
	struct gate_view *v = chooser_gate_view(&r->entry->chooser, a->member);
	int64_t member;

	if (!r->plan.repeatable || age_ms < try_ms(r, a) ||
	    now < r->plan.resume_at_ms ||
	    now - v->last_answer_at_ms < SILENT_GATE_MS ||
	    plan_n_open(&r->plan) > 1 || r->plan.tries >= PLAN_MAX_TRIES ||
	    !plan_may_reach_server(&r->plan))
		return;
	v->suspect_until_ms = now + SILENT_GATE_MS;
	member = entry_pick_gate(r, a->member);
	r->plan.resume_at_ms = now + ROUND_MS;
	if (member && member != a->member)
		entry_send_attempt(r, member, false);
}

/* Take back an attempt that has not left, for the next gate. */
static bool withdraw(struct entry_request *r, struct attempt *a)
{
	uint32_t number = a->number;

	if (!entry_withdraw_attempt(r->entry, a))
		return false;
	plan_step_ended(r, number, ATTEMPT_EVENT_UNSENT);
	return true;
}

static void give_up_attempt(struct entry_request *r, struct attempt *a,
			    enum attempt_event why, int result, bool silent)
{
	uint32_t number = a->number;

	if (withdraw(r, a))
		return;
	entry_note_attempt(r, a, result);
	entry_cancel_attempt(r->entry, a, silent);
	plan_step_ended(r, number, why);
}

static void check_attempt(struct entry_request *r, struct attempt *a,
			  int64_t now)
{
	struct entry *e = r->entry;
	double age_ms = (clock_now_us() - a->sent_us) / 1000.0;
	int64_t heard = peers_heard_ms(&e->node->peers, a->address);
	const struct gate_view *v = chooser_gate_view(&e->chooser, a->member);

	if (r->winner == a)
		return;
	entry_note_left(a);
	if (r->plan.attempts[a->number].state == ATTEMPT_NOT_SENT &&
	    (age_ms > PEER_CONNECT_MS || now >= r->plan.deadline_ms)) {
		withdraw(r, a);
		return;
	}
	if (now >= r->plan.deadline_ms) {
		if (a->member != e->node->member.self_id &&
		    now - heard > SILENT_LINK_MS)
			peers_replace(&e->node->peers, a->address);
		/* A gate that answers others is slow, not silent. */
		give_up_attempt(r, a, ATTEMPT_EVENT_TIMEOUT, RESULT_TIMEOUT,
				now - v->last_answer_at_ms > SILENT_GATE_MS);
		return;
	}
	if (r->plan.keyed) {
		ask_heir(r, a, age_ms, now);
		return;
	}
	hedge(r, a, age_ms);
}

static void check_request(struct entry_request *r, int64_t now)
{
	uint32_t i;

	if (r->done || r->streaming)
		return;
	if (!plan_n_open(&r->plan)) {
		if (r->plan.resume_at_ms && now >= r->plan.resume_at_ms)
			entry_step(r, plan_resume(&r->plan, now));
		return;
	}
	for (i = 0; i < MAX_ATTEMPTS && !r->done; i++)
		if (r->attempts[i])
			check_attempt(r, r->attempts[i], now);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct entry *e = w->data;
	int64_t now = clock_now_ms();
	uint32_t i;

	(void)events;
	for (i = e->requests->len; i-- > 0;)
		check_request(g_ptr_array_index(e->requests, i), now);
	if (!e->requests->len)
		ev_timer_stop(loop, w);
}

/* Whether an attempt waits for a member's gate, and is not being answered. */
static bool waits_for(const struct entry_request *r, uint32_t i, int64_t member)
{
	const struct attempt *a = r->attempts[i];

	return !r->done && a && a->member == member && r->winner != a;
}

void entry_on_member_stopped(struct entry *e, int64_t member)
{
	struct gate_view *v = chooser_gate_view(&e->chooser, member);
	uint32_t i, j;

	v->suspect_until_ms =
		MAX(v->suspect_until_ms, clock_now_ms() + SILENT_GATE_MS);
	for (i = e->requests->len; i-- > 0;) {
		struct entry_request *r = g_ptr_array_index(e->requests, i);

		for (j = 0; j < MAX_ATTEMPTS; j++)
			if (waits_for(r, j, member) &&
			    !withdraw(r, r->attempts[j]))
				plan_attempt_event(&r->plan,
						   r->attempts[j]->number,
						   ATTEMPT_EVENT_LEASE_OVER);
	}
}

void entry_on_member_lost(struct entry *e, int64_t member)
{
	uint32_t i, j;

	for (i = e->requests->len; i-- > 0;) {
		struct entry_request *r = g_ptr_array_index(e->requests, i);

		for (j = 0; j < MAX_ATTEMPTS && !r->done; j++) {
			struct attempt *a = r->attempts[j];

			if (waits_for(r, j, member))
				give_up_attempt(r, a, ATTEMPT_EVENT_SUPERSEDED,
						RESULT_UNREACHABLE, true);
			else if (a && a->member == member)
				entry_end_answer(r, a, false);
		}
	}
	chooser_remove_gate(&e->chooser, member);
}

static void copy_headers(struct entry_request *r)
{
	const struct settings *s = &r->entry->node->settings;
	GPtrArray *all = httpd_headers(r->http);
	uint32_t i;

	r->headers = headers_new();
	for (i = 0; i + 1 < all->len; i += 2)
		if (!header_is_hop_by_hop(g_ptr_array_index(all, i)))
			header_add(r->headers, g_ptr_array_index(all, i),
				   g_ptr_array_index(all, i + 1));
	g_ptr_array_unref(all);
	/* Whatever the caller says of itself, we know where it came in. */
	header_set(r->headers, s->headers->caller_service, s->service);
}

/*
 * One that may not be repeated waits for its turn: should the connection end
 * before, the caller takes it for never read and sends it again.
 */
static bool may_begin(void *user, const struct httpd_request *http)
{
	struct entry *e = user;

	return !e->node->stopping && entry_is_repeatable(e, http);
}

static void on_request(void *user, struct httpd_request *http)
{
	struct entry *e = user;
	struct entry_request *r = g_new0(struct entry_request, 1);

	COUNT(requests_received);
	r->entry = e;
	r->class_name = g_strdup("");
	r->http = http;
	r->plan.received_at_ms = clock_now_ms();
	r->plan.deadline_ms = r->plan.received_at_ms;
	http->user = r;
	g_ptr_array_add(e->requests, r);
	if (e->requests->len > MAX_REQUESTS) {
		entry_reply_not_run(r, "too many requests at once\n");
		return;
	}
	/*
	 * A stopping process ends within seconds, and what it took up now
	 * would be cut then, though a server works on it.
	 */
	if (e->httpd.closed) {
		entry_reply_not_run(r, "this node is stopping\n");
		return;
	}
	if (!entry_classify(r))
		return;
	copy_headers(r);
	r->traced = event_should_trace();
	retry_budget_deposit(entry_budget(e, r->service));
	if (!ev_is_active(&e->tick))
		ev_timer_again(e->node->loop, &e->tick);
	send_next(r);
}

/* The caller left: nobody waits for what is still being done for it. */
static void on_gone(void *user, struct httpd_request *http)
{
	struct entry_request *r = http->user;

	(void)user;
	if (!r || r->done)
		return;
	COUNT(requests_abandoned);
	EVENT(request_abandoned, r->attempt_id,
	      "\"class\":\"%s\",\"repeatable\":%s,\"age_ms\":%" PRId64
	      ",\"open\":%u,\"tries\":%u,\"behind\":%u",
	      event_text(r->class_name), r->plan.repeatable ? "true" : "false",
	      clock_now_ms() - r->plan.received_at_ms, plan_n_open(&r->plan),
	      r->plan.tries, httpd_behind(http));
	r->done = true;
	entry_cancel_others(r, NULL);
}

static void on_closed(void *user, struct httpd_request *http)
{
	struct entry *e = user;
	struct entry_request *r = http->user;

	if (!r)
		return;
	r->done = true;
	entry_cancel_others(r, NULL);
	g_ptr_array_remove_fast(e->requests, r);
	if (r->headers)
		g_ptr_array_unref(r->headers);
	g_free(r->key);
	g_free(r->class_name);
	g_free(r);
}

static void on_drained(void *user, struct httpd_request *http)
{
	struct entry *e = user;
	struct entry_request *r = http->user;
	int64_t taken;

	if (!r || !r->winner)
		return;
	taken = r->received_bytes - (int64_t)httpd_pending(http);
	if (taken - r->credited_bytes < CREDIT_BYTES)
		return;
	entry_send_credit(e, r->winner, taken - r->credited_bytes);
	r->credited_bytes = taken;
}

static const struct httpd_ops entry_ops = {
	.on_request = on_request,
	.on_gone = on_gone,
	.may_begin = may_begin,
	.on_closed = on_closed,
	.on_drained = on_drained,
};

/* Listen for callers. Results as httpd_init(). */
int entry_init(struct entry *e, struct node *node)
{
	memset(e, 0, sizeof(*e));
	e->node = node;
	e->version = -1;
	e->rand = g_rand_new();
	e->origin = (uint64_t)g_random_int() << 32 | g_random_int();
	e->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	e->budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->costs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->requests = g_ptr_array_new();
	e->moved_on = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    g_free);
	chooser_init(&e->chooser, node->settings.choice, g_random_int());
	ev_init(&e->tick, on_tick);
	e->tick.repeat = TICK_S;
	e->tick.data = e;
	return httpd_init(&e->httpd, node->loop, node->settings.caller_address,
			  node->settings.max_body_bytes, &entry_ops, e);
}

void entry_follow_configuration(struct entry *e)
{
	const struct fleet *f = &e->node->member.fleet;
	const struct caller_limits *l = &f->configuration.limits;

	if (e->version == f->configuration_version)
		return;
	e->version = f->configuration_version;
	e->httpd.max_body_bytes =
		MAX(e->node->settings.max_body_bytes, l->max_body_bytes);
	if (httpd_accept_heads(&e->httpd, l->max_header_bytes))
		g_warning("cannot accept heads of %" PRId64 " bytes",
			  l->max_header_bytes);
}

/* Stop listening and release; requests still open are cut. */
void entry_finish(struct entry *e)
{
	if (e->httpd.daemon)
		httpd_finish(&e->httpd);
	ev_timer_stop(e->node->loop, &e->tick);
	chooser_finish(&e->chooser);
	g_hash_table_unref(e->attempts);
	g_hash_table_unref(e->budgets);
	g_hash_table_unref(e->costs);
	g_hash_table_unref(e->moved_on);
	g_ptr_array_unref(e->requests);
	g_rand_free(e->rand);
}

void entry_drain(struct entry *e)
{
	httpd_drain(&e->httpd);
}

void entry_close(struct entry *e)
{
	httpd_close(&e->httpd);
}

/* Nothing more can be heard of what is open. */
static void end_attempts(struct entry_request *r)
{
	uint32_t i;

	for (i = 0; i < MAX_ATTEMPTS; i++) {
		struct attempt *a = r->attempts[i];
		uint32_t number = a ? a->number : 0;

		if (!a)
			continue;
		entry_cancel_attempt(r->entry, a, false);
		plan_attempt_event(&r->plan, number, ATTEMPT_EVENT_STOPPING);
	}
}

void entry_answer_all(struct entry *e)
{
	uint32_t i;

	for (i = e->requests->len; i-- > 0;) {
		struct entry_request *r = g_ptr_array_index(e->requests, i);

		if (r->done || r->streaming)
			continue;
		end_attempts(r);
		if (plan_outcome(&r->plan) != PLAN_NOT_RUN)
			entry_reply_unknown(r);
		else
			entry_reply_not_run(r, "this node is stopping\n");
	}
}

bool entry_idle(const struct entry *e)
{
	return !e->requests->len &&
	       (!e->httpd.closed || httpd_quiet(&e->httpd));
}

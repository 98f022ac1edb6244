#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "net/headers.h"
#include "node/entry.h"
#include "node/entry-request.h"
#include "node/fingerprint.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/result.h"

#define TICK_S 0.02
#define MAX_REQUESTS 8192
/* Servers that name a limit or leave, of which this entry has passed answers. */
#define MAX_SERVERS_KNOWN 4096
/* A gate that refused a request for load or draining is avoided this long. */
#define REFUSED_AVOID_MS 50
/*
 * At an attempt's deadline its link is closed if nothing was received over it
 * for this long.
 */
#define LINK_TIMEOUT_MS 3000
/*
 * A gate that has not answered this entry for this long may be lost. An entry
 * that sends few requests receives few answers, so a shorter time without one
 * proves nothing.
 */
#define GATE_SUSPECT_MS 1000
/* Least number of bytes in one credit message to a gate. */
#define CREDIT_MIN_BYTES (32 * 1024)
/* Between attempts at successors while the owner of a key does not answer. */
#define SUCCESSOR_INTERVAL_MS 200

/* The gate's average latency for the request's class. */
static double expected_ms(struct entry_request *r, const struct gate_view *v)
{
	return cost_from_nominal_ms(entry_class_cost(r), v->latency_ms);
}

struct retry_budget *entry_retry_budget(struct entry *e, const char *service)
{
	const struct settings *s = &e->node->settings;
	struct retry_budget *b = g_hash_table_lookup(e->budgets, service);
	uint32_t n = fleet_n_members(&e->node->member.fleet);

	if (b)
		return b;
	/* The setting is for the whole fleet; each member has an equal share. */
	b = g_new0(struct retry_budget, 1);
	retry_budget_init(b, retry_share_of_entries(s->retry_share),
			  MAX(s->retry_reserve / MAX(n, 1), 1));
	g_hash_table_insert(e->budgets, g_strdup(service), b);
	return b;
}

struct class_cost *entry_class_cost(struct entry_request *r)
{
	GHashTable *costs = r->entry->costs;
	struct class_cost *c = g_hash_table_lookup(costs, r->class_name);

	if (c)
		return c;
	c = g_new0(struct class_cost, 1);
	g_hash_table_insert(costs, g_strdup(r->class_name), c);
	return c;
}

/* Ends an attempt in the plan and takes the next step. */
static void end_plan_attempt(struct entry_request *r, uint32_t number,
			     enum attempt_event why)
{
	enum plan_step step = plan_attempt_ended(
		&r->plan, number, why, entry_retry_budget(r->entry, r->service),
		g_rand_double(r->entry->rand), clock_now_ms());

	if (step == PLAN_SEND && plan_in_doubt(&r->plan))
		COUNT(requests_retried);
	entry_take_step(r, step);
}

/* Sends the request to the next gate; without one, asks the plan to wait. */
static void send_next_attempt(struct entry_request *r)
{
	int64_t member = entry_pick_gate(r, r->plan.tries ? r->last_member : 0);
	double jitter = g_rand_double(r->entry->rand);
	int err = member ? entry_send_attempt(r, member, false)
			 : RESULT_OVERLOAD;

	if (err == RESULT_UNREACHABLE)
		end_plan_attempt(r, r->plan.tries - 1, ATTEMPT_EVENT_UNSENT);
	else if (err)
		entry_take_step(r, plan_no_candidate(&r->plan, jitter,
						     clock_now_ms()));
}

void entry_take_step(struct entry_request *r, enum plan_step step)
{
	if (r->done)
		return;
	switch (step) {
	case PLAN_SEND:
		send_next_attempt(r);
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

	entry_update_sent(a);
	entry_record_attempt(r, a, result);
	entry_remove_attempt(r->entry, a);
	end_plan_attempt(r, number, why);
}

static void on_gate_refused(struct entry_request *r, uint32_t number,
			    const struct request_msg *m)
{
	struct entry *e = r->entry;
	int64_t now = clock_now_ms();

	r->refused_at_us = clock_now_us();
	if (m->number == RESULT_QUARANTINED) {
		entry_take_step(r, plan_refused_by_all(&r->plan, number,
						       m->wait_ms));
		return;
	}
	if (m->number == RESULT_NOT_OWNER && r->plan.keyed)
		entry_record_not_owner(r);
	else if (m->number == RESULT_NOT_OWNER)
		chooser_not_serving(&e->chooser, r->last_member, now);
	else
		chooser_refused(&e->chooser, r->last_member, REFUSED_AVOID_MS,
				now);
	entry_take_step(
		r, plan_refused(&r->plan, number, m->number == RESULT_NOT_OWNER,
				m->flags & REQ_FLAG_BY_SERVER, m->wait_ms,
				entry_retry_budget(e, r->service),
				g_rand_double(e->rand), now));
}

static void update_gate_view(struct entry *e, struct attempt *a,
			     const struct request_msg *m)
{
	struct class_cost *c = entry_class_cost(a->request);
	double ms = (clock_now_us() - a->sent_at_us) / 1000.0;

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

/* The plan's event for a gate's report that a request may have run. */
static enum attempt_event failure_event(const struct request_msg *m)
{
	if (!(m->flags & REQ_FLAG_STARTED))
		return ATTEMPT_EVENT_IN_DOUBT;
	if (m->number == RESULT_TIMEOUT)
		return ATTEMPT_EVENT_SERVER_LATE;
	return m->number == RESULT_MIXED ? ATTEMPT_EVENT_INVALID_ANSWER
					 : ATTEMPT_EVENT_ANSWER_LOST;
}

/*
 * A gate has sent its stop notice. Messages on a link arrive in order, so all
 * answers that it sent before have been received.
 */
static void on_gate_stopping(struct entry *e, const struct request_msg *m)
{
	/* 0: the log has already removed the gate's member. */
	if (m->gate_member)
		chooser_gate_view(&e->chooser, m->gate_member)->stop_announced =
			true;
	entry_send_stopping_ack(e, m->key);
}

void entry_on_message(struct entry *e, const struct request_msg *m)
{
	struct attempt *a = m->origin == e->origin
				    ? g_hash_table_lookup(e->attempts, &m->id)
				    : NULL;
	struct entry_request *r;
	uint32_t number;

	if (m->type == REQ_STALLED) {
		chooser_refused(&e->chooser, m->gate_member, m->wait_ms,
				clock_now_ms());
		return;
	}
	if (m->type == REQ_STOPPING) {
		on_gate_stopping(e, m);
		return;
	}
	if (m->type == REQ_RECONCILED) {
		entry_on_reconciled(e, m);
		return;
	}
	/*
	 * An answer to an attempt that was cancelled, or that an earlier
	 * process at this address had sent, must not reach another caller.
	 */
	if (!a) {
		COUNT(answers_late);
		return;
	}
	r = a->request;
	number = a->number;
	entry_update_sent(a);
	update_gate_view(e, a, m);
	switch (m->type) {
	case REQ_CONFIRM:
		/* The gate may already have said that it will not begin it. */
		if (!a->asked_at_ms)
			entry_confirm_attempt(e, a, m->sent_at_ms);
		break;
	case REQ_HEAD:
		entry_on_answer_head(r, a, m);
		break;
	case REQ_DATA:
		entry_on_answer_data(r, a, m);
		break;
	case REQ_REFUSED:
		entry_record_attempt(r, a, m->number);
		entry_remove_attempt(e, a);
		on_gate_refused(r, number, m);
		break;
	case REQ_FAILED:
		if (r->streaming && r->winner == a) {
			entry_end_answer(r, a, false);
			break;
		}
		entry_end_attempt(r, a, failure_event(m), m->number);
		break;
	default:
		break;
	}
}

/*
 * Sends a repeatable request without a key to a second gate as well if the
 * first one takes unusually long. The retry budget limits this.
 */
static void hedge_if_due(struct entry_request *r, struct attempt *a,
			 double age_ms)
{
	struct entry *e = r->entry;
	struct gate_view *v = chooser_gate_view(&e->chooser, a->member);
	int64_t member;

	if (!r->plan.repeatable || r->plan.keyed || r->hedged ||
	    !e->node->settings.hedge || !plan_may_reach_server(&r->plan))
		return;
	if (!cost_hedge_due(age_ms, expected_ms(r, v), r->target_ms))
		return;
	member = entry_pick_gate(r, a->member);
	if (!member || member == a->member ||
	    !retry_budget_withdraw(entry_retry_budget(e, r->service)))
		return;
	r->hedged = true;
	COUNT(requests_hedged);
	entry_send_attempt(r, member, true);
}

/* How long to wait for a key's owner before its successor is tried as well. */
static double owner_hedge_delay_ms(struct entry_request *r,
				   const struct attempt *a)
{
	struct gate_view *v = chooser_gate_view(&r->entry->chooser, a->member);
	double left = r->plan.deadline_ms - r->plan.received_at_ms;

	return cost_owner_hedge_delay_ms(expected_ms(r, v), r->target_ms, left);
}

/*
 * If the owner of a key does not answer, sends the request to the owner's
 * successor as well. While only the owner's attempt is open, this is repeated
 * every SUCCESSOR_INTERVAL_MS. The owner may be slow or lost, so the attempt
 * there stays open: if it were cancelled, a short stall of the owner would
 * become a long delay of the request.
 */
static void ask_successor_if_due(struct entry_request *r,
				 const struct attempt *a, double age_ms,
				 int64_t now)
{
	struct gate_view *v = chooser_gate_view(&r->entry->chooser, a->member);
	int64_t member;

	if (!r->plan.repeatable || age_ms < owner_hedge_delay_ms(r, a) ||
	    now < r->plan.resume_at_ms ||
	    now - v->last_answer_at_ms < GATE_SUSPECT_MS ||
	    plan_n_open(&r->plan) > 1 || r->plan.tries >= PLAN_MAX_TRIES ||
	    !plan_may_reach_server(&r->plan))
		return;
	v->suspect_until_ms = now + GATE_SUSPECT_MS;
	member = entry_pick_gate(r, a->member);
	r->plan.resume_at_ms = now + SUCCESSOR_INTERVAL_MS;
	if (member && member != a->member)
		entry_send_attempt(r, member, false);
}

/* Cancels an attempt that has not been sent, and tries the next gate. */
static bool cancel_unsent(struct entry_request *r, struct attempt *a)
{
	uint32_t number = a->number;

	if (!entry_cancel_unsent_attempt(r->entry, a))
		return false;
	end_plan_attempt(r, number, ATTEMPT_EVENT_UNSENT);
	return true;
}

void entry_end_and_cancel_attempt(struct entry_request *r, struct attempt *a,
				  enum attempt_event why, int result,
				  bool suspect)
{
	uint32_t number = a->number;

	if (cancel_unsent(r, a))
		return;
	entry_record_attempt(r, a, result);
	entry_cancel_attempt(r->entry, a, suspect);
	end_plan_attempt(r, number, why);
}

static void check_attempt(struct entry_request *r, struct attempt *a,
			  int64_t now)
{
	struct entry *e = r->entry;
	double age_ms = (clock_now_us() - a->sent_at_us) / 1000.0;
	int64_t last_received_at_ms =
		peers_last_received_at_ms(&e->node->peers, a->address);
	const struct gate_view *v = chooser_gate_view(&e->chooser, a->member);

	if (r->winner == a)
		return;
	entry_update_sent(a);
	if (r->plan.attempts[a->number].state == ATTEMPT_NOT_SENT &&
	    (age_ms > PEER_CONNECT_TIMEOUT_MS || now >= r->plan.deadline_ms)) {
		cancel_unsent(r, a);
		return;
	}
	if (now >= r->plan.deadline_ms) {
		if (a->member != e->node->member.self_id &&
		    now - last_received_at_ms > LINK_TIMEOUT_MS)
			peers_close_link(&e->node->peers, a->address);
		/*
		 * A gate that has lately answered other requests is slow but
		 * not lost.
		 */
		entry_end_and_cancel_attempt(
			r, a, ATTEMPT_EVENT_TIMEOUT, RESULT_TIMEOUT,
			now - v->last_answer_at_ms > GATE_SUSPECT_MS);
		return;
	}
	if (r->plan.keyed) {
		ask_successor_if_due(r, a, age_ms, now);
		return;
	}
	hedge_if_due(r, a, age_ms);
}

static void check_request(struct entry_request *r, int64_t now)
{
	uint32_t i;

	if (r->done || r->streaming)
		return;
	if (!plan_n_open(&r->plan)) {
		if (r->plan.resume_at_ms && now >= r->plan.resume_at_ms)
			entry_take_step(r, plan_resume(&r->plan, now));
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
	for (i = e->requests->len; i-- > 0;) {
		struct entry_request *r = g_ptr_array_index(e->requests, i);

		entry_reconcile_check(r, now);
		check_request(r, now);
	}
	entry_reconcile_ask(e, now);
	if (!e->requests->len && !g_hash_table_size(e->sent_cancels))
		ev_timer_stop(loop, w);
}

/* Whether an attempt is open at a member's gate and its answer has not begun. */
static bool awaits_answer_from(const struct entry_request *r, uint32_t i,
			       int64_t member)
{
	const struct attempt *a = r->attempts[i];

	return !r->done && a && a->member == member && r->winner != a;
}

void entry_on_member_lease_over(struct entry *e, int64_t member)
{
	struct gate_view *v = chooser_gate_view(&e->chooser, member);
	uint32_t i, j;

	v->suspect_until_ms =
		MAX(v->suspect_until_ms, clock_now_ms() + GATE_SUSPECT_MS);
	for (i = e->requests->len; i-- > 0;) {
		struct entry_request *r = g_ptr_array_index(e->requests, i);

		for (j = 0; j < MAX_ATTEMPTS; j++)
			if (awaits_answer_from(r, j, member) &&
			    !cancel_unsent(r, r->attempts[j]))
				plan_attempt_event(&r->plan,
						   r->attempts[j]->number,
						   ATTEMPT_EVENT_LEASE_OVER);
	}
}

void entry_on_member_superseded(struct entry *e, int64_t member)
{
	uint32_t i, j;

	for (i = e->requests->len; i-- > 0;) {
		struct entry_request *r = g_ptr_array_index(e->requests, i);

		for (j = 0; j < MAX_ATTEMPTS && !r->done; j++) {
			struct attempt *a = r->attempts[j];

			if (awaits_answer_from(r, j, member))
				entry_end_and_cancel_attempt(
					r, a, ATTEMPT_EVENT_PROCESS_ENDED,
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
	/*
	 * Replaces what the caller sent: the service of the node that received
	 * the request is known.
	 */
	header_set(r->headers, s->headers->caller_service, s->service);
}

/*
 * Whether a pipelined request may start before those ahead of it are answered.
 * A request that must not run twice may not: if the connection ended before its
 * turn, the caller would assume that it was never read and send it again.
 */
static bool may_begin_early(void *user, const struct httpd_request *http)
{
	struct entry *e = user;

	return !e->node->stopping && entry_is_repeatable(e, http);
}

/*
 * Whether servers have ended by this request. Every gate would refuse it; so it
 * is refused here.
 */
static bool is_blocked(struct entry_request *r)
{
	struct member_node *n = &r->entry->node->member;

	if (!member_has_suspects(n))
		return false;
	r->fingerprint = node_fingerprint(r->http->method, r->http->url, r->key,
					  r->headers, r->http->body);
	return member_judge_request(n, r->fingerprint, true, clock_now_ms(),
				    &r->plan.wait_ms) == SUSPECT_BLOCKED;
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
	 * A stopping process exits within seconds. A request accepted now would
	 * be cut off then, while a backend server works on it.
	 */
	if (e->httpd.stopped_listening) {
		entry_reply_not_run(r, "this node is stopping\n");
		return;
	}
	if (!entry_classify(r))
		return;
	copy_headers(r);
	r->traced = event_should_trace();
	retry_budget_deposit(entry_retry_budget(e, r->service));
	if (is_blocked(r)) {
		COUNT(requests_quarantined);
		entry_reply_not_run(r, "quarantined, not run\n");
		return;
	}
	if (!ev_is_active(&e->tick))
		ev_timer_again(e->node->loop, &e->tick);
	send_next_attempt(r);
}

/* The caller has left, so all attempts are cancelled. */
static void on_caller_left(void *user, struct httpd_request *http)
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
	      r->plan.tries, httpd_n_pipelined(http));
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

/* The caller has taken bytes of the answer: the gate may send as many more. */
static void on_drained(void *user, struct httpd_request *http)
{
	struct entry *e = user;
	struct entry_request *r = http->user;
	int64_t consumed;

	if (!r || !r->winner)
		return;
	consumed = r->received_bytes - (int64_t)httpd_unsent_bytes(http);
	if (consumed - r->credited_bytes < CREDIT_MIN_BYTES)
		return;
	entry_send_credit(e, r->winner, consumed - r->credited_bytes);
	r->credited_bytes = consumed;
}

static const struct httpd_ops entry_ops = {
	.on_request = on_request,
	.on_caller_left = on_caller_left,
	.may_begin_early = may_begin_early,
	.on_closed = on_closed,
	.on_drained = on_drained,
};

int entry_init(struct entry *e, struct node *node)
{
	memset(e, 0, sizeof(*e));
	e->node = node;
	e->configuration_version = -1;
	e->configuration_source = -1;
	e->rand = g_rand_new();
	e->origin = (uint64_t)g_random_int() << 32 | g_random_int();
	e->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	e->budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->costs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->requests = g_ptr_array_new();
	e->to_reconcile = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						(GDestroyNotify)g_array_unref);
	e->sent_cancels =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->prev_owner_refusals = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	fifo_cache_init(&e->server_status, MAX_SERVERS_KNOWN);
	chooser_init(&e->chooser, node->settings.choice, g_random_int());
	ev_init(&e->tick, on_tick);
	e->tick.repeat = TICK_S;
	e->tick.data = e;
	return httpd_init(&e->httpd, node->loop, node->settings.caller_address,
			  node->settings.max_body_bytes, &entry_ops, e);
}

void entry_apply_configuration(struct entry *e)
{
	const struct member_node *m = &e->node->member;
	const struct caller_limits *l = &member_configuration(m)->limits;

	if (e->configuration_version == m->fleet.configuration_version &&
	    e->configuration_source == member_source_in_force(m))
		return;
	e->configuration_version = m->fleet.configuration_version;
	e->configuration_source = member_source_in_force(m);
	e->httpd.max_body_bytes =
		MAX(e->node->settings.max_body_bytes, l->max_body_bytes);
	if (httpd_raise_head_limit(&e->httpd, l->max_header_bytes))
		g_warning("cannot raise the limit of request heads to %" PRId64
			  " bytes",
			  l->max_header_bytes);
}

void entry_finish(struct entry *e)
{
	if (e->httpd.daemon)
		httpd_finish(&e->httpd);
	ev_timer_stop(e->node->loop, &e->tick);
	chooser_finish(&e->chooser);
	g_hash_table_unref(e->attempts);
	g_hash_table_unref(e->budgets);
	g_hash_table_unref(e->costs);
	g_hash_table_unref(e->prev_owner_refusals);
	g_ptr_array_unref(e->requests);
	g_hash_table_unref(e->to_reconcile);
	g_hash_table_unref(e->sent_cancels);
	fifo_cache_finish(&e->server_status);
	g_rand_free(e->rand);
}

void entry_drain(struct entry *e)
{
	httpd_drain(&e->httpd);
}

void entry_close(struct entry *e)
{
	httpd_stop_listening(&e->httpd);
}

/* The process is about to exit: no answer to an open attempt can be received. */
static void cancel_attempts(struct entry_request *r)
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

void entry_answer_open_requests(struct entry *e)
{
	uint32_t i;

	for (i = e->requests->len; i-- > 0;) {
		struct entry_request *r = g_ptr_array_index(e->requests, i);

		if (r->done || r->streaming)
			continue;
		cancel_attempts(r);
		if (plan_outcome(&r->plan) != PLAN_NOT_RUN)
			entry_reply_unknown(r);
		else
			entry_reply_not_run(r, "this node is stopping\n");
	}
}

bool entry_is_idle(const struct entry *e)
{
	return !e->requests->len && (!e->httpd.stopped_listening ||
				     httpd_has_no_connections(&e->httpd));
}

#include <string.h>

#include "model/internal.h"

/*
 * Model of entries and callers: runs the plan, the choice of gates and the
 * hedges of route/ as node/entry.c does, without sockets.
 */

#define AVOID_MS 50
#define MIN_LEFT_MS 1

static int64_t link_delay_us(const struct model *m)
{
	return (int64_t)(m->e->link_ms * US_PER_MS);
}

static int64_t member_id(const struct host *h)
{
	return h->index + 1;
}

static struct model_class_result *result_of(const struct request *r)
{
	return &r->model->result->classes[r->class_index];
}

static void *allocate(struct model *m, size_t size)
{
	void *p = g_malloc0(size);

	g_ptr_array_add(m->allocations, p);
	return p;
}

static uint32_t random_owner(struct model *m, uint32_t service)
{
	const struct model_service *s = &m->e->services[service];
	uint32_t i = g_rand_double(m->rand) < s->skew
			     ? 0
			     : g_rand_int_range(m->rand, 0, s->servers);

	return m->first_host[service] + i;
}

struct request *entry_request_new(struct model *m, uint32_t class_index,
				  struct host *entry)
{
	const struct model_class *k = &m->e->classes[class_index];
	struct request *r = allocate(m, sizeof(*r));

	r->model = m;
	r->entry = entry;
	r->class_index = class_index;
	r->first_sent_at_us = m->now_us;
	r->retries_left = k->retries;
	r->owner = m->e->services[k->service].keyed
			   ? random_owner(m, k->service)
			   : MODEL_NONE;
	r->plan.deadline_ms = now_ms(m) + k->deadline_ms;
	return r;
}

static void cancel_jobs(struct model *m, struct request *r, struct job *keep)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(r->jobs); i++) {
		struct job *j = r->jobs[i];

		r->jobs[i] = NULL;
		if (!j || j == keep || !j->answer_expected)
			continue;
		j->answer_expected = false;
		chooser_unanswered(&r->entry->chooser, member_id(j->gate),
				   false, now_ms(m));
		if (class_of(r)->repeatable)
			gate_cancel(m, j);
	}
}

static void finish_request(struct model *m, struct request *r, uint64_t *count,
			   bool succeeded)
{
	r->done = true;
	(*count)++;
	cancel_jobs(m, r, NULL);
	if (r->parent)
		server_call_ended(m, r, succeeded);
}

static void retry_request(struct model *m, void *subject)
{
	struct request *r = subject;
	struct plan fresh = { .deadline_ms = r->plan.deadline_ms };

	r->plan = fresh;
	r->hedged = false;
	entry_start_request(m, r);
}

/*
 * Refuses the request. The caller sends it again if it has retries left and if
 * the wait would end before the deadline.
 */
static void refuse_request(struct model *m, struct request *r)
{
	int64_t wait_ms = plan_retry_after_ms(&r->plan, g_rand_double(m->rand),
					      now_ms(m));

	if (!r->retries_left ||
	    now_ms(m) + wait_ms + MIN_LEFT_MS >= r->plan.deadline_ms) {
		finish_request(m, r, &result_of(r)->refused, false);
		return;
	}
	r->retries_left--;
	cancel_jobs(m, r, NULL);
	model_schedule(m, m->now_us + wait_ms * US_PER_MS, retry_request, r);
}

/* Returns the member of the gate to send to next, 0 if there is none. */
static int64_t pick_gate(struct model *m, struct request *r)
{
	const struct model_class *k = class_of(r);
	const struct model_service *s = &m->e->services[k->service];
	uint32_t i;

	if (r->owner != MODEL_NONE)
		return r->owner + 1;
	for (i = 0; i < s->servers; i++) {
		m->options[i].member = m->first_host[k->service] + i + 1;
		m->options[i].extra_ms = 0;
	}
	return chooser_pick(&r->entry->chooser, m->options, s->servers,
			    member_id(r->entry),
			    r->plan.refusals || plan_n_servers_reached(&r->plan)
				    ? r->last_member
				    : 0,
			    now_ms(m));
}

static void check_hedge(struct model *m, void *subject);

static void send_job(struct model *m, struct request *r, int64_t member,
		     bool hedge)
{
	const struct model_class *k = class_of(r);
	struct host *e = r->entry;
	const struct gate_view *v = chooser_gate_view(&e->chooser, member);
	double usual =
		cost_from_nominal_ms(&e->costs[r->class_index], v->latency_ms);
	double hedge_ms = 1;
	struct job *j = allocate(m, sizeof(*j));

	j->model = m;
	j->request = r;
	j->gate = &m->hosts[member - 1];
	j->answer_expected = true;
	j->hedge = hedge;
	j->sent_at_us = m->now_us;
	r->jobs[r->jobs[0] ? 1 : 0] = j;
	r->last_member = member;
	m->result->offers++;
	chooser_sent(&e->chooser, member, now_ms(m));
	j->attempt = (uint32_t)plan_add_attempt(&r->plan);
	plan_attempt_event(&r->plan, j->attempt, ATTEMPT_EVENT_SENT);
	model_schedule(m, m->now_us + (j->gate == e ? 0 : link_delay_us(m)),
		       gate_request_arrived, j);
	if (hedge || !m->policy->hedge || !k->repeatable ||
	    r->owner != MODEL_NONE)
		return;
	while (!cost_hedge_due(hedge_ms, usual, k->target_ms))
		hedge_ms *= 1.1;
	model_schedule(m, m->now_us + (int64_t)(hedge_ms * US_PER_MS),
		       check_hedge, j);
}

static void check_hedge(struct model *m, void *subject)
{
	struct job *j = subject;
	struct request *r = j->request;
	int64_t member;

	if (r->done || !j->answer_expected || r->hedged ||
	    !plan_may_reach_server(&r->plan) ||
	    r->plan.tries >= PLAN_MAX_TRIES || (r->jobs[0] && r->jobs[1]))
		return;
	member = pick_gate(m, r);
	if (!member || &m->hosts[member - 1] == j->gate ||
	    !retry_budget_withdraw(&r->entry->budgets[class_of(r)->service]))
		return;
	r->hedged = true;
	send_job(m, r, member, true);
}

static void take_step(struct model *m, struct request *r, enum plan_step s);

static void resume_request(struct model *m, void *subject)
{
	struct request *r = subject;

	if (!r->done)
		take_step(m, r, plan_resume(&r->plan, now_ms(m)));
}

static void take_step(struct model *m, struct request *r, enum plan_step s)
{
	int64_t member;

	switch (s) {
	case PLAN_SEND:
		member = pick_gate(m, r);
		if (member)
			send_job(m, r, member, false);
		else
			refuse_request(m, r);
		break;
	case PLAN_WAIT:
		model_schedule(m, r->plan.resume_at_ms * US_PER_MS,
			       resume_request, r);
		break;
	case PLAN_REFUSE:
		refuse_request(m, r);
		break;
	case PLAN_UNKNOWN:
		finish_request(m, r, &result_of(r)->failed, false);
		break;
	case PLAN_PENDING:
		break;
	}
}

static void deadline_passed(struct model *m, void *subject)
{
	struct request *r = subject;

	if (!r->done && now_ms(m) >= r->plan.deadline_ms)
		finish_request(m, r, &result_of(r)->failed, false);
}

void entry_start_request(struct model *m, struct request *r)
{
	const struct model_class *k = class_of(r);
	struct plan *p = &r->plan;

	if (m->now_us == r->first_sent_at_us) {
		result_of(r)->asked++;
		model_schedule(m, p->deadline_ms * US_PER_MS, deadline_passed,
			       r);
	}
	if (r->done)
		return;
	p->received_at_ms = now_ms(m);
	p->hold_until_ms = p->received_at_ms + k->target_ms / 8;
	p->repeatable = k->repeatable;
	p->keyed = r->owner != MODEL_NONE;
	p->max_servers = k->attempts;
	retry_budget_deposit(&r->entry->budgets[k->service]);
	take_step(m, r, PLAN_SEND);
}

static void remove_job(struct request *r, const struct job *j)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(r->jobs); i++)
		if (r->jobs[i] == j)
			r->jobs[i] = NULL;
}

/*
 * Updates the view of the gate from its answer, which took ms, or with ms 0
 * from a refusal.
 */
static void record_answer(struct model *m, struct job *j, double ms)
{
	struct request *r = j->request;
	struct host *e = r->entry;
	struct class_cost *c = &e->costs[r->class_index];

	if (ms > 0)
		cost_update_latency(c, ms);
	chooser_answered(&e->chooser, member_id(j->gate),
			 ms > 0 ? cost_to_nominal_ms(c, ms) : 0,
			 admission_load(&j->gate->admission),
			 j->gate->admission.limit.allowed, now_ms(m));
}

void entry_answered(struct model *m, void *subject)
{
	struct job *j = subject;
	struct request *r = j->request;
	double ms = (m->now_us - r->first_sent_at_us) / (double)US_PER_MS;
	struct model_class_result *t = result_of(r);

	if (!j->answer_expected)
		return;
	j->answer_expected = false;
	remove_job(r, j);
	record_answer(m, j, (m->now_us - j->sent_at_us) / (double)US_PER_MS);
	if (!j->succeeded) {
		finish_request(m, r, &t->failed, false);
		return;
	}
	g_array_append_val(t->latencies_ms, ms);
	finish_request(m, r,
		       ms <= class_of(r)->target_ms ? &t->in_target : &t->late,
		       true);
}

void entry_refused(struct model *m, struct job *j, int64_t wait_ms,
		   bool not_owner)
{
	struct request *r = j->request;

	if (!j->answer_expected)
		return;
	j->answer_expected = false;
	remove_job(r, j);
	record_answer(m, j, 0);
	if (!not_owner)
		chooser_refused(&r->entry->chooser, member_id(j->gate),
				AVOID_MS, now_ms(m));
	take_step(m, r,
		  plan_refused(&r->plan, j->attempt, not_owner, false, wait_ms,
			       &r->entry->budgets[class_of(r)->service],
			       g_rand_double(m->rand), now_ms(m)));
}

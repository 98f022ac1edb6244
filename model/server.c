#include <math.h>

#include "model/internal.h"
#include "util/result.h"

/* Gates, by gate/admission.h, and the backend servers beside them. */

#define WORD_MARGIN_MS 40
/* Fuller than this a server takes longer for each request. */
#define CROWDED_FROM 0.9

static int64_t link_us(const struct job *j)
{
	return j->gate == j->request->entry
		       ? 0
		       : (int64_t)(j->model->e->link_ms * US_PER_MS);
}

/* When an answer that ends now is at its entry, behind those before it. */
static int64_t answer_at_us(struct job *j)
{
	struct host *h = j->gate;
	double mbps = j->model->e->services[h->service].link_mbps;
	double us = mbps > 0 ? class_of(j->request)->answer_bytes * 8 / mbps
			     : 0;

	if (h == j->request->entry)
		return j->model->now_us;
	h->link_free_us = MAX(h->link_free_us, j->model->now_us) + (int64_t)us;
	return h->link_free_us + link_us(j);
}

static void give_back_link(struct job *j)
{
	link_unreserve(&j->gate->gate.link, j->promised_bytes);
	j->promised_bytes = 0;
}

/* A refusal on its way back to the entry. */
struct word {
	struct job *job;
	int64_t wait_ms;
	bool not_owner;
};

static void word_arrives(struct model *m, void *subject)
{
	struct word *w = subject;

	entry_refused(m, w->job, w->wait_ms, w->not_owner);
}

static void refuse(struct model *m, struct job *j, bool not_owner)
{
	struct word *w = g_new0(struct word, 1);

	g_ptr_array_add(m->memory, w);
	give_back_link(j);
	j->state = JOB_ENDED;
	w->job = j;
	w->not_owner = not_owner;
	w->wait_ms = admission_retry_after_ms(
		&j->gate->gate, g_rand_double(m->rand), now_ms(m));
	queue_count(&j->gate->gate.queue, j->request->class_index, true);
	model_at(m, m->now_us + link_us(j), word_arrives, w);
}

static double work_ms(struct model *m, const struct job *j)
{
	const struct host *h = j->gate;
	const struct model_service *s = &m->e->services[h->service];
	const struct model_class *k = class_of(j->request);
	double ms = k->work_ms * h->speed;

	ms *= exp(k->noise * model_normal(m));
	if (h->gate.n_in_flight > s->slots * CROWDED_FROM)
		ms *= 1 + s->crowding;
	return ms * model_fault_factor(m, MODEL_SLOW, h);
}

static void pump(struct model *m, struct host *h);

static void end(struct model *m, void *subject)
{
	struct job *j = subject;
	double ms = (m->now_us - j->started_us) / (double)US_PER_MS;

	if (j->state != JOB_RUNNING)
		return;
	j->state = JOB_ENDED;
	m->result->work_ms += ms;
	if (!j->wanted || !j->good)
		m->result->wasted_ms += ms;
	admission_done(&j->gate->gate, j->request->class_index, LIMIT_ANSWERED,
		       ms, j->started_us / US_PER_MS, now_ms(m));
	give_back_link(j);
	queue_update_answer_bytes(&j->gate->gate.queue, j->request->class_index,
				  class_of(j->request)->answer_bytes);
	if (j->gate != j->request->entry)
		link_sent(&j->gate->gate.link,
			  class_of(j->request)->answer_bytes, now_ms(m));
	model_at(m, answer_at_us(j), entry_answered, j);
	pump(m, j->gate);
}

/* Halfway through its work a job asks for what it needs. */
static void call(struct model *m, void *subject)
{
	struct job *j = subject;
	struct request *c;

	if (j->state != JOB_RUNNING)
		return;
	c = entry_request_new(m, class_of(j->request)->calls, j->gate);
	c->parent = j;
	c->plan.deadline_ms =
		MIN(c->plan.deadline_ms, j->request->plan.deadline_ms);
	c->half_ms = (m->now_us - j->started_us) / (double)US_PER_MS;
	entry_begin(m, c);
}

void server_call_ended(struct model *m, struct request *c, bool good)
{
	struct job *j = c->parent;

	j->good = good;
	model_at(m, m->now_us + (good ? (int64_t)(c->half_ms * US_PER_MS) : 0),
		 end, j);
}

static void start(struct model *m, struct job *j)
{
	const struct model_class *k = class_of(j->request);
	int64_t work_us;

	if (now_ms(m) >= j->request->plan.deadline_ms - WORD_MARGIN_MS) {
		refuse(m, j, false);
		return;
	}
	j->state = JOB_RUNNING;
	j->started_us = m->now_us;
	j->good = true;
	admission_started(&j->gate->gate, now_ms(m));
	work_us = (int64_t)(work_ms(m, j) * US_PER_MS);
	if (k->calls != MODEL_NONE && g_rand_double(m->rand) < k->call_share)
		model_at(m, m->now_us + work_us / 2, call, j);
	else
		model_at(m, m->now_us + work_us, end, j);
}

static void pump(struct model *m, struct host *h)
{
	struct queued q;

	while (admission_pop_overtaken(&h->gate, now_ms(m), &q))
		refuse(m, q.request, false);
	while (admission_next(&h->gate, now_ms(m), &q))
		start(m, q.request);
}

static void expire(struct model *m, void *subject)
{
	struct job *j = subject;

	if (j->state != JOB_WAITING)
		return;
	queue_remove(&j->gate->gate.queue, j);
	refuse(m, j, false);
}

void gate_arrive(struct model *m, void *subject)
{
	struct job *j = subject;
	struct host *h = j->gate;
	const struct request *r = j->request;
	const struct model_class *k = class_of(r);
	struct queued in = { .class_index = r->class_index,
			     .remote = h != r->entry,
			     .request = j };
	struct queued *victim;

	if (j->state != JOB_ON_WAY || !j->wanted)
		return;
	if (model_fault_factor(m, MODEL_DOWN, h) > 1) {
		refuse(m, j, true);
		return;
	}
	in.due_ms = r->plan.received_ms + k->target_ms;
	in.deadline_ms = r->plan.deadline_ms - WORD_MARGIN_MS;
	if (admission_offer(&h->gate, &in, r->owner == MODEL_NONE, now_ms(m),
			    &victim)) {
		refuse(m, j, false);
		return;
	}
	j->state = JOB_WAITING;
	j->promised_bytes = admission_reserve_link(&h->gate, &in);
	if (victim) {
		refuse(m, victim->request, false);
		g_free(victim);
	}
	model_at(m, in.deadline_ms * US_PER_MS, expire, j);
	pump(m, h);
}

void gate_cancel(struct model *m, struct job *j)
{
	give_back_link(j);
	if (j->state == JOB_WAITING)
		queue_remove(&j->gate->gate.queue, j);
	if (j->state == JOB_RUNNING) {
		m->result->wasted_ms +=
			(m->now_us - j->started_us) / (double)US_PER_MS;
		admission_cancelled(&j->gate->gate);
		j->state = JOB_ENDED;
		pump(m, j->gate);
	}
	j->state = JOB_ENDED;
}

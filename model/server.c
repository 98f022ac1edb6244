#include <math.h>

#include "model/internal.h"
#include "util/result.h"

/* Model of gates, which run gate/admission.h, and of their backend servers. */

/*
 * A job is refused rather than started later than this before its deadline, so
 * that the refusal still reaches the caller in time.
 */
#define REFUSAL_MARGIN_MS 40
/* With more than this share of the slots in use, work takes longer. */
#define CROWDING_THRESHOLD 0.9

static int64_t link_delay_us(const struct job *j)
{
	return j->gate == j->request->entry
		       ? 0
		       : (int64_t)(j->model->e->link_ms * US_PER_MS);
}

/*
 * When an answer that is complete now arrives at its entry: the host's link
 * sends its answers one after the other.
 */
static int64_t answer_at_us(struct job *j)
{
	struct host *h = j->gate;
	double mbps = j->model->e->services[h->service].link_mbps;
	double us = mbps > 0 ? class_of(j->request)->answer_bytes * 8 / mbps
			     : 0;

	if (h == j->request->entry)
		return j->model->now_us;
	h->link_free_at_us =
		MAX(h->link_free_at_us, j->model->now_us) + (int64_t)us;
	return h->link_free_at_us + link_delay_us(j);
}

static void unreserve_link(struct job *j)
{
	link_unreserve(&j->gate->admission.link, j->reserved_bytes);
	j->reserved_bytes = 0;
}

/* A refusal in flight to the entry. */
struct refusal {
	struct job *job;
	int64_t wait_ms;
	bool not_owner;
};

static void refusal_arrived(struct model *m, void *subject)
{
	struct refusal *refusal = subject;

	entry_refused(m, refusal->job, refusal->wait_ms, refusal->not_owner);
}

static void refuse_job(struct model *m, struct job *j, bool not_owner)
{
	struct refusal *refusal = g_new0(struct refusal, 1);

	g_ptr_array_add(m->allocations, refusal);
	unreserve_link(j);
	j->state = JOB_ENDED;
	refusal->job = j;
	refusal->not_owner = not_owner;
	refusal->wait_ms = admission_retry_after_ms(
		&j->gate->admission, g_rand_double(m->rand), now_ms(m));
	queue_count(&j->gate->admission.queue, j->request->class_index, true);
	model_schedule(m, m->now_us + link_delay_us(j), refusal_arrived,
		       refusal);
}

static double draw_work_ms(struct model *m, const struct job *j)
{
	const struct host *h = j->gate;
	const struct model_service *s = &m->e->services[h->service];
	const struct model_class *k = class_of(j->request);
	double ms = k->work_ms * h->work_factor;

	ms *= exp(k->noise * model_random_normal(m));
	if (h->admission.n_in_flight > s->slots * CROWDING_THRESHOLD)
		ms *= 1 + s->crowding;
	return ms * model_fault_factor(m, MODEL_FAULT_SLOW, h);
}

static void start_queued(struct model *m, struct host *h);

static void end_job(struct model *m, void *subject)
{
	struct job *j = subject;
	double ms = (m->now_us - j->started_at_us) / (double)US_PER_MS;

	if (j->state != JOB_RUNNING)
		return;
	j->state = JOB_ENDED;
	m->result->work_ms += ms;
	if (!j->answer_expected || !j->succeeded)
		m->result->wasted_ms += ms;
	admission_done(&j->gate->admission, j->request->class_index,
		       LIMIT_ANSWERED, ms, j->started_at_us / US_PER_MS,
		       now_ms(m));
	unreserve_link(j);
	queue_update_answer_bytes(&j->gate->admission.queue,
				  j->request->class_index,
				  class_of(j->request)->answer_bytes);
	if (j->gate != j->request->entry)
		link_sent(&j->gate->admission.link,
			  class_of(j->request)->answer_bytes, now_ms(m));
	model_schedule(m, answer_at_us(j), entry_answered, j);
	start_queued(m, j->gate);
}

/* A running job makes its call halfway through its work. */
static void send_call(struct model *m, void *subject)
{
	struct job *j = subject;
	struct request *c;

	if (j->state != JOB_RUNNING)
		return;
	c = entry_request_new(m, class_of(j->request)->called_class, j->gate);
	c->parent = j;
	c->plan.deadline_ms =
		MIN(c->plan.deadline_ms, j->request->plan.deadline_ms);
	c->parent_remaining_ms =
		(m->now_us - j->started_at_us) / (double)US_PER_MS;
	entry_start_request(m, c);
}

void server_call_ended(struct model *m, struct request *c, bool succeeded)
{
	struct job *j = c->parent;

	j->succeeded = succeeded;
	model_schedule(m,
		       m->now_us + (succeeded
					    ? (int64_t)(c->parent_remaining_ms *
							US_PER_MS)
					    : 0),
		       end_job, j);
}

static void start_job(struct model *m, struct job *j)
{
	const struct model_class *k = class_of(j->request);
	int64_t work_us;

	if (now_ms(m) >= j->request->plan.deadline_ms - REFUSAL_MARGIN_MS) {
		refuse_job(m, j, false);
		return;
	}
	j->state = JOB_RUNNING;
	j->started_at_us = m->now_us;
	j->succeeded = true;
	admission_started(&j->gate->admission, now_ms(m));
	work_us = (int64_t)(draw_work_ms(m, j) * US_PER_MS);
	if (k->called_class != MODEL_NONE &&
	    g_rand_double(m->rand) < k->call_share)
		model_schedule(m, m->now_us + work_us / 2, send_call, j);
	else
		model_schedule(m, m->now_us + work_us, end_job, j);
}

static void start_queued(struct model *m, struct host *h)
{
	struct queued q;

	while (admission_pop_overtaken(&h->admission, now_ms(m), &q))
		refuse_job(m, q.request, false);
	while (admission_next(&h->admission, now_ms(m), &q))
		start_job(m, q.request);
}

static void expire_job(struct model *m, void *subject)
{
	struct job *j = subject;

	if (j->state != JOB_QUEUED)
		return;
	queue_remove(&j->gate->admission.queue, j);
	refuse_job(m, j, false);
}

void gate_request_arrived(struct model *m, void *subject)
{
	struct job *j = subject;
	struct host *h = j->gate;
	const struct request *r = j->request;
	const struct model_class *k = class_of(r);
	struct queued in = { .class_index = r->class_index,
			     .remote = h != r->entry,
			     .request = j };
	struct queued *victim;

	if (j->state != JOB_IN_FLIGHT || !j->answer_expected)
		return;
	if (model_fault_factor(m, MODEL_FAULT_DOWN, h) > 1) {
		refuse_job(m, j, true);
		return;
	}
	in.due_ms = r->plan.received_at_ms + k->target_ms;
	in.deadline_ms = r->plan.deadline_ms - REFUSAL_MARGIN_MS;
	if (admission_offer(&h->admission, &in, r->owner == MODEL_NONE,
			    now_ms(m), &victim)) {
		refuse_job(m, j, false);
		return;
	}
	j->state = JOB_QUEUED;
	j->reserved_bytes = admission_reserve_link(&h->admission, &in);
	if (victim) {
		refuse_job(m, victim->request, false);
		g_free(victim);
	}
	model_schedule(m, in.deadline_ms * US_PER_MS, expire_job, j);
	start_queued(m, h);
}

void gate_cancel(struct model *m, struct job *j)
{
	unreserve_link(j);
	if (j->state == JOB_QUEUED)
		queue_remove(&j->gate->admission.queue, j);
	if (j->state == JOB_RUNNING) {
		m->result->wasted_ms +=
			(m->now_us - j->started_at_us) / (double)US_PER_MS;
		admission_cancelled(&j->gate->admission);
		j->state = JOB_ENDED;
		start_queued(m, j->gate);
	}
	j->state = JOB_ENDED;
}

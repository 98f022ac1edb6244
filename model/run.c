#include <math.h>
#include <string.h>

#include "model/internal.h"

/*
 * The event loop in virtual time, and callers whose requests arrive at random
 * times (a Poisson process).
 */

static bool event_before(const struct event *a, const struct event *b)
{
	return a->at_us < b->at_us ||
	       (a->at_us == b->at_us && a->sequence < b->sequence);
}

static struct event *event_at(const struct model *m, uint32_t i)
{
	return &g_array_index(m->events, struct event, i);
}

static void swap_events(struct model *m, uint32_t i, uint32_t j)
{
	struct event t = *event_at(m, i);

	*event_at(m, i) = *event_at(m, j);
	*event_at(m, j) = t;
}

void model_schedule(struct model *m, int64_t at_us, event_fn fn, void *subject)
{
	struct event ev = { MAX(at_us, m->now_us), m->n_events++, fn, subject };
	uint32_t i = m->events->len;

	g_array_append_val(m->events, ev);
	while (i && event_before(event_at(m, i), event_at(m, (i - 1) / 2))) {
		swap_events(m, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct event next_event(struct model *m)
{
	struct event first = *event_at(m, 0);
	uint32_t i = 0;

	swap_events(m, 0, m->events->len - 1);
	g_array_set_size(m->events, m->events->len - 1);
	for (;;) {
		uint32_t l = 2 * i + 1;
		uint32_t best = i;

		if (l < m->events->len &&
		    event_before(event_at(m, l), event_at(m, best)))
			best = l;
		if (l + 1 < m->events->len &&
		    event_before(event_at(m, l + 1), event_at(m, best)))
			best = l + 1;
		if (best == i)
			return first;
		swap_events(m, i, best);
		i = best;
	}
}

/* By the Box-Muller transform. */
double model_random_normal(struct model *m)
{
	double u = 1 - g_rand_double(m->rand);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(m->rand));
}

double model_fault_factor(const struct model *m, enum model_fault_kind kind,
			  const struct host *h)
{
	double factor = 1;
	uint32_t i;

	for (i = 0; i < m->e->n_faults; i++) {
		const struct model_fault *f = &m->e->faults[i];

		if (f->kind != kind || now_ms(m) < f->from_ms ||
		    now_ms(m) >= f->to_ms)
			continue;
		if (h && (f->service != h->service ||
			  m->first_host[f->service] + f->server != h->index))
			continue;
		factor = MAX(factor, f->factor);
	}
	return factor;
}

static double current_rate(const struct model *m, const struct model_class *k)
{
	double wave = 1 + m->e->swing * sin(2 * G_PI * m->now_us /
					    (m->e->period_s * 1e6));

	return k->per_s * wave * model_fault_factor(m, MODEL_FAULT_BURST, NULL);
}

/* A caller's request arrives at a random entry; schedules the next one. */
static void caller_request_arrived(struct model *m, void *subject)
{
	const struct model_class *k = subject;
	uint32_t i = g_rand_int_range(m->rand, 0, m->n_hosts);
	double gap_s = -log(1 - g_rand_double(m->rand)) / current_rate(m, k);

	model_schedule(m, m->now_us + (int64_t)(gap_s * 1e6),
		       caller_request_arrived, subject);
	entry_start_request(m, entry_request_new(m, k - m->e->classes,
						 &m->hosts[i]));
}

static void add_hosts(struct model *m, uint32_t service)
{
	const struct model_service *s = &m->e->services[service];
	uint32_t i, j;

	m->first_host[service] = m->n_hosts;
	for (i = 0; i < s->servers; i++) {
		struct host *h = &m->hosts[m->n_hosts];

		h->index = m->n_hosts++;
		h->service = service;
		h->work_factor = 1 + s->spread * i / MAX(s->servers - 1, 1);
		admission_init(&h->admission, m->policy->limit, s->link_mbps,
			       0);
		cold_start_set_rate(&h->admission.cold_start,
				    COLD_START_UNLIMITED);
		queue_set_classes(&h->admission.queue, m->e->n_classes);
		admission_reset(&h->admission, m->policy->limit, s->slots, 0);
		chooser_init(&h->chooser, m->policy->choice,
			     g_rand_int(m->rand));
		for (j = 0; j < m->e->n_services; j++)
			retry_budget_init(&h->budgets[j], m->e->retry_share,
					  MAX(m->e->retry_reserve / 16, 1));
	}
}

static void set_up(struct model *m)
{
	uint32_t total = 0;
	uint32_t i;

	for (i = 0; i < m->e->n_services; i++)
		total += m->e->services[i].servers;
	m->hosts = g_new0(struct host, total);
	m->options = g_new0(struct gate_option, total);
	for (i = 0; i < m->e->n_services; i++)
		add_hosts(m, i);
	for (i = 0; i < m->e->n_classes; i++)
		if (m->e->classes[i].per_s > 0)
			model_schedule(m, 0, caller_request_arrived,
				       (void *)(uintptr_t)&m->e->classes[i]);
}

static void tear_down(struct model *m)
{
	uint32_t i;

	for (i = 0; i < m->n_hosts; i++) {
		admission_finish(&m->hosts[i].admission);
		chooser_finish(&m->hosts[i].chooser);
	}
	g_free(m->hosts);
	g_free(m->options);
	g_array_unref(m->events);
	g_ptr_array_unref(m->allocations);
	g_rand_free(m->rand);
}

void model_run(const struct experiment *e, const struct model_policy *p,
	       uint32_t seed, struct model_result *r)
{
	struct model m = { .e = e, .policy = p, .result = r };
	int64_t end_us = (int64_t)(e->seconds * 1e6);
	uint32_t i;

	memset(r, 0, sizeof(*r));
	for (i = 0; i < e->n_classes; i++)
		r->classes[i].latencies_ms =
			g_array_new(FALSE, FALSE, sizeof(double));
	m.rand = g_rand_new_with_seed(seed);
	m.events = g_array_new(FALSE, FALSE, sizeof(struct event));
	m.allocations = g_ptr_array_new_with_free_func(g_free);
	set_up(&m);
	while (m.events->len && event_at(&m, 0)->at_us < end_us) {
		struct event ev = next_event(&m);

		m.now_us = ev.at_us;
		ev.fn(&m, ev.subject);
	}
	r->events = m.n_events;
	tear_down(&m);
}

void model_result_finish(struct model_result *r)
{
	uint32_t i;

	for (i = 0; i < MODEL_MAX; i++)
		if (r->classes[i].latencies_ms)
			g_array_unref(r->classes[i].latencies_ms);
	memset(r, 0, sizeof(*r));
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

double model_quantile(struct model_class_result *t, double p)
{
	if (!t->latencies_ms->len)
		return 0;
	g_array_sort(t->latencies_ms, compare_doubles);
	return g_array_index(t->latencies_ms, double,
			     (guint)(p * (t->latencies_ms->len - 1)));
}

double model_earned(const struct experiment *e, const struct model_result *r)
{
	double earned = 0;
	double max_worth = 0;
	uint32_t i;

	for (i = 0; i < e->n_classes; i++) {
		const struct model_class *k = &e->classes[i];
		const struct model_class_result *t = &r->classes[i];

		earned += t->in_target * k->worth + t->late * k->late_worth;
		max_worth += t->asked * k->worth;
	}
	return max_worth > 0 ? earned / max_worth : 0;
}

double model_served(const struct experiment *e, const struct model_result *r)
{
	uint64_t served = 0;
	uint64_t asked = 0;
	uint32_t i;

	for (i = 0; i < e->n_classes; i++) {
		if (e->classes[i].per_s <= 0)
			continue;
		served += r->classes[i].in_target + r->classes[i].late;
		asked += r->classes[i].asked;
	}
	return asked ? served / (double)asked : 0;
}

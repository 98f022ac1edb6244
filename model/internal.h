#ifndef MODEL_INTERNAL_H
#define MODEL_INTERNAL_H

#include "gate/admission.h"
#include "model/model.h"
#include "route/budget.h"
#include "route/cost.h"
#include "route/plan.h"

/* One run of the model; only for model/. Times are microseconds. */

#define US_PER_MS 1000

struct model;
struct host;
struct request;

/* One sending of a request to a gate. */
struct job {
	struct model *model;
	struct request *request;
	struct host *gate;
	enum {
		JOB_IN_FLIGHT,
		JOB_QUEUED,
		JOB_RUNNING,
		JOB_ENDED
	} state;
	bool answer_expected; /* its entry still waits for the answer */
	uint32_t attempt; /* of the request's plan */
	bool hedge;
	bool succeeded; /* how its work ended */
	int64_t sent_at_us;
	int64_t started_at_us;
	double reserved_bytes; /* to its gate's link */
	struct job *next_free;
};

/* A caller's request, or one that a server makes while it works. */
struct request {
	struct model *model;
	struct host *entry;
	uint32_t class_index;
	struct job *parent; /* whose work waits for it, NULL a caller's */
	struct plan plan;
	int64_t first_sent_at_us; /* first sending, by the caller */
	uint32_t retries_left;
	uint32_t owner; /* host that alone can take it, MODEL_NONE any */
	struct job *jobs[2];
	int64_t last_member;
	bool hedged;
	bool done;
	double parent_remaining_ms; /* work of the parent that is left after it */
};

struct host {
	uint32_t index;
	uint32_t service;
	double work_factor; /* work takes this much longer */
	struct admission admission;
	int64_t link_free_at_us; /* when its link has sent all there is */
	struct chooser chooser;
	struct retry_budget budgets[MODEL_MAX];
	struct class_cost costs[MODEL_MAX];
};

typedef void (*event_fn)(struct model *m, void *subject);

struct event {
	int64_t at_us;
	uint64_t sequence; /* those of one moment stay in their order */
	event_fn fn;
	void *subject;
};

struct model {
	const struct experiment *e;
	const struct model_policy *policy;
	struct model_result *result;
	GRand *rand;
	int64_t now_us;
	uint64_t n_events;
	GArray *events; /* struct event, the next one first */
	struct host *hosts;
	uint32_t n_hosts;
	uint32_t first_host[MODEL_MAX]; /* of a service */
	struct gate_option *options; /* scratch, n_hosts of them */
	GPtrArray *allocations; /* all requests and jobs, freed at the end */
};

static inline int64_t now_ms(const struct model *m)
{
	return m->now_us / US_PER_MS;
}

static inline const struct model_class *class_of(const struct request *r)
{
	return &r->model->e->classes[r->class_index];
}

/* model/run.c */
void model_schedule(struct model *m, int64_t at_us, event_fn fn, void *subject);
double model_random_normal(struct model *m);
/* The largest factor of the faults of a kind at this moment, 1 none. */
double model_fault_factor(const struct model *m, enum model_fault_kind kind,
			  const struct host *h);

/* model/entry.c */
void entry_start_request(struct model *m, struct request *r);
struct request *entry_request_new(struct model *m, uint32_t class_index,
				  struct host *entry);
/* Word of a gate has arrived at the entry. */
void entry_answered(struct model *m, void *job);
void entry_refused(struct model *m, struct job *j, int64_t wait_ms,
		   bool not_owner);

/* model/server.c */
void gate_request_arrived(struct model *m, void *job);
void gate_cancel(struct model *m, struct job *j);
/* The call that a job's work waits for has ended. */
void server_call_ended(struct model *m, struct request *call, bool succeeded);

#endif

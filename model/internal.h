#ifndef MODEL_INTERNAL_H
#define MODEL_INTERNAL_H

#include "gate/admission.h"
#include "model/model.h"
#include "route/budget.h"
#include "route/cost.h"
#include "route/plan.h"

/*
 * State of one run of the model; private to model/. Times are in virtual
 * microseconds from the start of the run, unless a name ends in _ms.
 */

#define US_PER_MS 1000

struct model;
struct host;
struct request;

/* One attempt of a request, at one gate. */
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
	uint32_t attempt; /* its number in the request's plan */
	bool hedge;
	bool succeeded; /* no call that its work needed has failed */
	int64_t sent_at_us;
	int64_t started_at_us;
	double reserved_bytes; /* on its gate's link */
	struct job *next_free;
};

/* A request of a caller, or a call that a server makes during its work. */
struct request {
	struct model *model;
	struct host *entry;
	uint32_t class_index;
	struct job *parent; /* waits for this call; NULL: from a caller */
	struct plan plan;
	int64_t first_sent_at_us; /* when the caller first sent it */
	uint32_t retries_left;
	uint32_t owner; /* the only host that serves it; MODEL_NONE: any */
	struct job *jobs[2];
	int64_t last_member; /* of the last gate it was sent to */
	bool hedged;
	bool done;
	double parent_remaining_ms; /* of the parent's work, after this call */
};

struct host {
	uint32_t index;
	uint32_t service;
	double work_factor; /* the server's work takes this times as long */
	struct admission admission;
	int64_t link_free_at_us; /* when its link has sent all answers */
	struct chooser chooser;
	struct retry_budget budgets[MODEL_MAX];
	struct class_cost costs[MODEL_MAX];
};

typedef void (*event_fn)(struct model *m, void *subject);

struct event {
	int64_t at_us;
	uint64_t sequence; /* events at the same time run in this order */
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
	GArray *events; /* struct event, binary heap, the next one first */
	struct host *hosts;
	uint32_t n_hosts;
	uint32_t first_host[MODEL_MAX]; /* index, per service */
	struct gate_option *options; /* scratch space, n_hosts entries */
	GPtrArray *allocations; /* freed at the end of the run */
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

/* Calls fn(m, subject) at at_us; a time in the past means now. */
void model_schedule(struct model *m, int64_t at_us, event_fn fn, void *subject);
/* A random number from the standard normal distribution. */
double model_random_normal(struct model *m);
/*
 * The largest factor of the faults of a kind that are active now, at host h or,
 * if h is NULL, anywhere; 1 if there is none.
 */
double model_fault_factor(const struct model *m, enum model_fault_kind kind,
			  const struct host *h);

/* model/entry.c */

/* Sends a new request, or one that its caller sends again, to a gate. */
void entry_start_request(struct model *m, struct request *r);

/* Makes a request that arrives at entry now, and draws the owner of its key. */
struct request *entry_request_new(struct model *m, uint32_t class_index,
				  struct host *entry);
/* An answer or refusal of a gate has arrived at the entry. */
void entry_answered(struct model *m, void *job);
void entry_refused(struct model *m, struct job *j, int64_t wait_ms,
		   bool not_owner);

/* model/server.c */

/* A job has arrived at its gate. */
void gate_request_arrived(struct model *m, void *job);
/* Cancels a job whose answer the entry no longer needs. */
void gate_cancel(struct model *m, struct job *j);
/* The call that a job waits for has ended. */
void server_call_ended(struct model *m, struct request *call, bool succeeded);

#endif

#ifndef MODEL_MODEL_H
#define MODEL_MODEL_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>

#include "gate/limit.h"
#include "route/choose.h"
#include "settings/configuration.h"

/*
 * Discrete-event simulation of a fleet under load, in virtual time. It runs the
 * code of a node that decides: admission at the gates; choice of a gate,
 * retries, hedges and retry budgets at the entries. Callers, links and backend
 * servers are modelled. Changes of ownership are not: a key has the same owner
 * for the whole run.
 */

#define MODEL_MAX 16 /* most services, classes, faults, policies, seeds */
#define MODEL_NONE UINT32_MAX

struct model_service {
	char name[NAME_MAX_LEN + 1];
	uint32_t servers;
	uint32_t slots;
	/* The slowest server's work takes 1 + spread times the fastest's. */
	double spread;
	/* With nearly all slots in use, work takes 1 + crowding times as long. */
	double crowding;
	bool keyed; /* each request can be served by one server only */
	/* Share of requests for the first server; the rest is spread evenly. */
	double skew;
	double link_mbps; /* of each of its hosts; 0: unlimited */
};

struct model_class {
	char name[NAME_MAX_LEN + 1];
	uint32_t service;
	double per_s; /* requests per second of callers, over the whole fleet */
	double work_ms; /* median, at the fastest server */
	double noise; /* standard deviation of the logarithm of the work */
	int64_t target_ms;
	int64_t deadline_ms;
	bool repeatable;
	uint32_t attempts; /* most servers that one request may reach */
	uint32_t retries; /* by the caller, after a refusal */
	uint32_t called_class; /* class called during its work; MODEL_NONE: none
				*/
	double call_share; /* share of its requests that make the call */
	double worth; /* of a request answered within the target */
	double late_worth; /* of a request answered late */
	double answer_bytes;
};

enum model_fault_kind {
	MODEL_FAULT_SLOW, /* work takes factor times as long */
	MODEL_FAULT_DOWN, /* the server refuses connections */
	MODEL_FAULT_BURST, /* all callers send factor times as many requests */
};

struct model_fault {
	enum model_fault_kind kind;
	uint32_t service;
	uint32_t server; /* number within the service, from 0 */
	int64_t from_ms;
	int64_t to_ms;
	double factor;
};

struct model_policy {
	char name[NAME_MAX_LEN + 1];
	const struct chooser_ops *choice;
	const struct limit_ops *limit;
	bool hedge;
};

struct experiment {
	double seconds;
	double link_ms; /* one-way delay between any two nodes */
	double swing; /* amplitude of the load, a sine wave of period_s */
	double period_s;
	double retry_share;
	double retry_reserve;
	struct model_service services[MODEL_MAX];
	uint32_t n_services;
	struct model_class classes[MODEL_MAX];
	uint32_t n_classes;
	struct model_fault faults[MODEL_MAX];
	uint32_t n_faults;
	struct model_policy policies[MODEL_MAX];
	uint32_t n_policies;
	uint32_t seeds[MODEL_MAX];
	uint32_t n_seeds;
};

/* Outcomes of the requests of a class. */
struct model_class_result {
	uint64_t asked;
	uint64_t in_target;
	uint64_t late;
	uint64_t refused; /* not run, and not sent again by the caller */
	uint64_t failed; /* no answer, or the work failed */
	/* double, of answered requests, from the first sending to the answer */
	GArray *latencies_ms;
};

struct model_result {
	struct model_class_result classes[MODEL_MAX];
	double work_ms; /* total work of servers */
	double wasted_ms; /* for jobs cancelled, failed or not waited for */
	uint64_t offers; /* attempts at gates */
	uint64_t events;
};

/*
 * Reads and checks an experiment. Returns RESULT_OK, or RESULT_IO or
 * RESULT_INVALID with each problem appended to errors.
 */
int experiment_read(struct experiment *e, const char *path, GString *errors);

/* Runs one policy with one seed; free r by model_result_finish(). */
void model_run(const struct experiment *e, const struct model_policy *p,
	       uint32_t seed, struct model_result *r);
void model_result_finish(struct model_result *r);

/*
 * Worth earned by all requests, as a share of the worth that they would earn if
 * all were answered within their target.
 */
double model_earned(const struct experiment *e, const struct model_result *r);

/* Share of the callers' requests that were answered. */
double model_served(const struct experiment *e, const struct model_result *r);

/* The p-quantile of a class's latencies, p from 0 to 1; 0 if there are none. */
double model_quantile(struct model_class_result *t, double p);

#endif

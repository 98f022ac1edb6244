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
 * What a fleet serves under a load, worked out in virtual time by the code that
 * decides in a node: admission at the gates, choice, retries, hedges and
 * budgets at the entries. Callers, links and backend servers are modelled.
 * Ownership is not: a key has one owner throughout.
 */

#define MODEL_MAX 16 /* services, classes, faults, policies, seeds */
#define MODEL_NONE UINT32_MAX

struct model_service {
	char name[NAME_MAX_LEN + 1];
	uint32_t servers;
	uint32_t slots;
	double spread; /* slowest server by fastest, less 1 */
	double crowding; /* how much longer work takes with all slots in use */
	bool keyed; /* each request has one server that can take it */
	double skew; /* of keys: share of requests for the busiest server's */
	double link_mbps; /* of each of its hosts, 0 without bound */
};

struct model_class {
	char name[NAME_MAX_LEN + 1];
	uint32_t service;
	double per_s; /* from callers, over the whole fleet */
	double work_ms; /* median at a server of usual speed */
	double noise; /* sigma of the logarithm of work */
	int64_t target_ms;
	int64_t deadline_ms;
	bool repeatable;
	uint32_t attempts; /* servers that one request may reach */
	uint32_t retries; /* by the caller, after a refusal */
	uint32_t calls; /* class that its work asks for, MODEL_NONE none */
	double call_share; /* of its requests do so */
	double worth; /* of one answered in target */
	double late_worth; /* of one answered late */
	double answer_bytes;
};

enum model_fault_kind {
	MODEL_FAULT_SLOW, /* work takes factor times as long */
	MODEL_FAULT_DOWN, /* the server refuses connections */
	MODEL_FAULT_BURST, /* callers of all classes send factor times as much */
};

struct model_fault {
	enum model_fault_kind kind;
	uint32_t service;
	uint32_t server; /* of the service, from 0 */
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
	double link_ms; /* between any two nodes, one way */
	double swing; /* of the load, as a wave of period_s */
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

/* What became of the requests of a class. */
struct model_class_result {
	uint64_t asked;
	uint64_t in_target;
	uint64_t late;
	uint64_t refused; /* for good, not run */
	uint64_t failed; /* no answer, or one that the work failed */
	GArray *latencies_ms; /* double, of those answered, from the first
				 sending */
};

struct model_result {
	struct model_class_result classes[MODEL_MAX];
	double work_ms; /* done at servers */
	double wasted_ms; /* of that, for nobody */
	uint64_t offers; /* sendings to gates */
	uint64_t events;
};

/*
 * Read and check an experiment. Returns RESULT_OK, or RESULT_IO or
 * RESULT_INVALID with each problem appended to errors.
 */
int experiment_read(struct experiment *e, const char *path, GString *errors);

/* Run one policy on one seed. Finish r afterwards. */
void model_run(const struct experiment *e, const struct model_policy *p,
	       uint32_t seed, struct model_result *r);
void model_result_finish(struct model_result *r);

/* Worth earned by all requests, as a share of what all in target would. */
double model_earned(const struct experiment *e, const struct model_result *r);

/* Requests answered, as a share of those of callers. */
double model_served(const struct experiment *e, const struct model_result *r);

/* The p-th share of a tally's times, 0 when there are none. */
double model_quantile(struct model_class_result *t, double p);

#endif

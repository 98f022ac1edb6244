#ifndef ROUTE_CHOOSE_H
#define ROUTE_CHOOSE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * Chooses the gate for a request, from what the entry has recorded of each
 * gate: the load that the gate reported in its answers, its latency, and the
 * requests of this entry that it has not answered yet.
 */

struct gate_view {
	int64_t member;
	uint32_t outstanding; /* requests of this entry without an answer */
	double load; /* in flight and queued, by the gate's last answer */
	double limit; /* of requests in flight, by its last answer */
	double latency_ms; /* moving average, nominal scale; 0: unknown */
	double utilization; /* moving average of load divided by limit */
	int64_t last_answer_at_ms; /* refusals included; 0: none yet */
	int64_t avoid_until_ms; /* after a refusal, or while suspect */
	int64_t suspect_until_ms; /* it did not answer, or serves no requests */
	/* Requests are outstanding and none ended since; 0: none outstanding. */
	int64_t no_progress_since_ms;
	/* The gate's stop notice was received; no requests are sent to it. */
	bool stop_announced;
	/* Its backend server has said that it leaves. */
	bool server_leaving;
};

struct chooser;

/* A gate that can serve a request. */
struct gate_option {
	int64_t member;
	/*
	 * Cost of sending the request there, in milliseconds of the nominal
	 * scale (route/cost.h); "soonest" adds it to the expected time.
	 */
	double extra_ms;
};

/*
 * A policy that chooses gates. Round robin is only a baseline to compare the
 * other policies with.
 */
struct chooser_ops {
	const char *name; /* in settings and experiments */
	int64_t (*pick)(struct chooser *c, const struct gate_option *options,
			uint32_t n, int64_t local, int64_t excluded,
			int64_t now_ms);
};

extern const struct chooser_ops chooser_two_choices;
extern const struct chooser_ops chooser_round_robin;
extern const struct chooser_ops chooser_soonest;

/* Returns the policy of that name, or NULL. */
const struct chooser_ops *chooser_ops_by_name(const char *name);

struct chooser {
	const struct chooser_ops *ops;
	uint32_t round_robin_next;
	GHashTable *views; /* int64_t member -> struct gate_view */
	GRand *rand;
};

/* Starts without any gate; a seed gives the same choices on every run. */
void chooser_init(struct chooser *c, const struct chooser_ops *ops,
		  uint32_t seed);
void chooser_finish(struct chooser *c);

/* Returns the view of a gate, a new one if the gate is not known yet. */
struct gate_view *chooser_gate_view(struct chooser *c, int64_t member);

/* To be called for a member that the log has removed. */
void chooser_remove_gate(struct chooser *c, int64_t member);

/* A request was sent to a gate. */
void chooser_sent(struct chooser *c, int64_t member, int64_t now_ms);

/*
 * The gate answered or refused a request, and reported its load and limit.
 * latency_ms is 0 when the latency is not to be recorded, as for a refusal.
 */
void chooser_answered(struct chooser *c, int64_t member, double latency_ms,
		      double load, double limit, int64_t now_ms);

/*
 * An attempt was given up or cancelled before the gate answered it. suspect:
 * the gate may be lost and is avoided for a while.
 */
void chooser_unanswered(struct chooser *c, int64_t member, bool suspect,
			int64_t now_ms);

/* The gate refused because of load or draining; avoid it for avoid_ms. */
void chooser_refused(struct chooser *c, int64_t member, int64_t avoid_ms,
		     int64_t now_ms);

/*
 * The gate serves no requests, as its node is stopping or its backend server
 * has left. It is avoided for a while: almost idle, it would otherwise look
 * like the best gate until the log removes it.
 */
void chooser_not_serving(struct chooser *c, int64_t member, int64_t now_ms);

/*
 * Chooses one of n gates other than `excluded`. Some policies prefer `local`,
 * the gate on this host, over one that is slightly better. Returns the gate's
 * member, or 0 when there is no gate to choose.
 */
int64_t chooser_pick(struct chooser *c, const struct gate_option *options,
		     uint32_t n, int64_t local, int64_t excluded,
		     int64_t now_ms);

#endif

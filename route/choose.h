#ifndef ROUTE_CHOOSE_H
#define ROUTE_CHOOSE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * What an entry knows of each gate, from the gates' own answers and from what
 * it has outstanding there, and the choice between two of them.
 */

struct gate_view {
	int64_t member;
	uint32_t outstanding; /* requests of ours without an answer */
	double load; /* in flight and queued, as the gate last said */
	double limit; /* as the gate last said */
	double latency_ms; /* smoothed */
	double utilization; /* load by limit, smoothed over its answers */
	int64_t last_answer_at_ms;
	int64_t avoid_until_ms; /* it said so, or was silent */
	int64_t suspect_until_ms; /* it was silent, and may be lost */
	int64_t no_progress_since_ms; /* oldest without an answer, 0 none */
	bool stop_announced; /* it said so, and takes nothing any more */
};

struct chooser;

/* A gate that could take a request. */
struct gate_option {
	int64_t member;
	/* What reaching it costs beyond its own work, as milliseconds. */
	double extra_ms;
};

/* How a gate is chosen; by turns is there to measure the other against. */
struct chooser_ops {
	const char *name;
	int64_t (*pick)(struct chooser *c, const struct gate_option *options,
			uint32_t n, int64_t local, int64_t excluded,
			int64_t now_ms);
};

extern const struct chooser_ops chooser_two_choices;
extern const struct chooser_ops chooser_round_robin;
extern const struct chooser_ops chooser_soonest;

/* The ops of a name, NULL when there are none. */
const struct chooser_ops *chooser_ops_by_name(const char *name);

struct chooser {
	const struct chooser_ops *ops;
	uint32_t round_robin_next;
	GHashTable *views; /* int64_t member -> struct gate_view */
	GRand *rand;
};

void chooser_init(struct chooser *c, const struct chooser_ops *ops,
		  uint32_t seed);
void chooser_finish(struct chooser *c);
struct gate_view *chooser_gate_view(struct chooser *c, int64_t member);
void chooser_remove_gate(struct chooser *c, int64_t member);

/* A request went out to a gate. */
void chooser_sent(struct chooser *c, int64_t member, int64_t now_ms);

/* Its answer came: how long it took, and what the gate says of itself. */
void chooser_answered(struct chooser *c, int64_t member, double latency_ms,
		      double load, double limit, int64_t now_ms);

/* It was given up or cancelled, with no word from the gate. */
void chooser_unanswered(struct chooser *c, int64_t member, bool suspect,
			int64_t now_ms);

/* The gate refused for load or for draining: leave it alone for a moment. */
void chooser_refused(struct chooser *c, int64_t member, int64_t avoid_ms,
		     int64_t now_ms);

/*
 * The gate serves nobody: its node is stopping, or its server has left. Almost
 * idle as it is, it would otherwise look the best of all until the log says so.
 */
void chooser_not_serving(struct chooser *c, int64_t member, int64_t now_ms);

/*
 * Choose among n gates, skipping `except`; home is preferred when it is no
 * worse. Returns 0 when there is none.
 */
int64_t chooser_pick(struct chooser *c, const struct gate_option *options,
		     uint32_t n, int64_t local, int64_t excluded,
		     int64_t now_ms);

#endif

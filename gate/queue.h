#ifndef GATE_QUEUE_H
#define GATE_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * Requests admitted by a gate that wait for room at its backend server. Short
 * ones go first, and those of one length by when they are due, of a crowd the
 * one with the most time left. When the queue is full, the class with the most
 * room left under its target for refusals gives way.
 */

struct class_load {
	double decayed_total; /* requests, fading */
	double decayed_refused;
	double refusal_target; /* target */
	double service_ms; /* smoothed time at the server, 0 unknown */
	double answer_bytes; /* smoothed */
};

struct queued {
	int64_t due_ms; /* arrival plus the class's target */
	int64_t deadline_ms;
	uint32_t class_index;
	bool remote; /* its answer goes out over the host's link */
	double work_ms; /* usual for its class; the queue fills this in */
	int32_t work_log2; /* the same, by powers of two */
	void *request;
};

struct queue {
	GPtrArray *heap; /* struct queued, the next to be begun first */
	uint32_t max;
	struct class_load *classes;
	uint32_t n_classes;
	bool has_refusal_targets; /* some class may be refused by a share */
	double service_ms; /* smoothed time one slot takes */
};

void queue_init(struct queue *q, uint32_t max);
void queue_finish(struct queue *q);

/*
 * There are n classes, none to be refused by a share. What is known of those
 * that were there stays.
 */
void queue_set_classes(struct queue *q, uint32_t n);
void queue_set_refusal_target(struct queue *q, uint32_t class_index,
			      double share);

/* Count a request of a class, and whether it was refused. */
void queue_count(struct queue *q, uint32_t class_index, bool refused);

/*
 * Whether a request that would have to wait can be expected to be done within
 * its target, and one that need not, by its deadline, when n_in_flight are
 * being served now and slots can be at a time.
 */
bool queue_can_finish_in_time(const struct queue *q, int64_t now_ms,
			      const struct queued *in, uint32_t n_in_flight,
			      double slots);

/*
 * Add a request. Returns NULL when it fitted, otherwise what must be refused
 * instead, which may be the request itself; the caller frees that entry.
 */
struct queued *queue_push(struct queue *q, const struct queued *in);

/* Take the next to be begun, slots at a time; false when empty. */
bool queue_next(struct queue *q, int64_t now_ms, double slots,
		struct queued *out);

/* Take one after the other, by length and when they are due; false when empty. */
bool queue_pop(struct queue *q, struct queued *out);

/* Remove one request; false when it is not waiting. */
bool queue_remove(struct queue *q, const void *request);

/* Take one whose deadline has passed; false when there is none. */
bool queue_pop_expired(struct queue *q, int64_t now_ms, struct queued *out);

/*
 * Take one that queue_can_meet() would refuse if it came only now, since
 * others that came later go before it; false when there is none.
 */
bool queue_pop_overtaken(struct queue *q, int64_t now_ms, uint32_t n_in_flight,
			 double slots, struct queued *out);

/* Learn how long the backend server took for one request of a class. */
void queue_update_service_ms(struct queue *q, uint32_t class_index,
			     double service_ms);

/* The same for how long its answer was, and what that usually comes to. */
void queue_update_answer_bytes(struct queue *q, uint32_t class_index,
			       double bytes);
double queue_avg_answer_bytes(const struct queue *q, uint32_t class_index);

#endif

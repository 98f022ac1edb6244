#ifndef GATE_QUEUE_H
#define GATE_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * Queue of the requests that wait to be sent to the backend server. Requests
 * with the least expected work start first; among requests with about the same
 * work the one that is due first, or under congestion the one that is due last.
 * When the queue is full, a request is refused of the class that is furthest
 * below its target for refusals.
 */

struct class_stats {
	double decayed_total; /* requests, exponentially decayed */
	double decayed_refused; /* refused requests, the same */
	double refusal_target; /* share of requests that may be refused */
	double service_ms; /* smoothed time at the backend server, 0 unknown */
	double answer_bytes; /* smoothed length of its answers */
};

struct queued {
	int64_t due_ms; /* arrival plus the target time of the class */
	int64_t deadline_ms;
	uint32_t class_index;
	bool remote; /* its answer is sent over the host's link */
	double work_ms; /* average of its class, set by the queue */
	int32_t work_log2; /* binary logarithm of work_ms, rounded down */
	void *request;
};

struct queue {
	GPtrArray *heap; /* struct queued, least expected work on top */
	uint32_t max;
	struct class_stats *classes;
	uint32_t n_classes;
	bool has_refusal_targets; /* some class has a refusal_target */
	double service_ms; /* smoothed time per request, all classes */
};

/* Sets up an empty queue of at most max requests. */
void queue_init(struct queue *q, uint32_t max);

/* Releases the queue, but not the requests that its entries point to. */
void queue_finish(struct queue *q);

/*
 * Sets the number of classes and clears their refusal targets. Averages and
 * counts of the classes that remain are kept.
 */
void queue_set_classes(struct queue *q, uint32_t n);

/* Sets the share of a class's requests that may be refused. */
void queue_set_refusal_target(struct queue *q, uint32_t class_index,
			      double share);

/* Counts a request of a class, and whether it was refused. */
void queue_count(struct queue *q, uint32_t class_index, bool refused);

/*
 * Whether a new request is expected to finish in time: by its due_ms if it
 * would have to wait, otherwise by its deadline. n_in_flight requests are in
 * flight now, and at most slots can be at a time.
 */
bool queue_can_finish_in_time(const struct queue *q, int64_t now_ms,
			      const struct queued *in, uint32_t n_in_flight,
			      double slots);

/*
 * Adds a request. Returns NULL if there was room. Otherwise removes and returns
 * the entry to refuse, which may be the new one; the caller frees it.
 */
struct queued *queue_push(struct queue *q, const struct queued *in);

/*
 * Removes the request to start next into *out. slots: how many may be in flight
 * at a time. Returns false if the queue is empty.
 */
bool queue_next(struct queue *q, int64_t now_ms, double slots,
		struct queued *out);

/*
 * Removes the request with the least expected work, among equals the one that
 * is due first, into *out. Returns false if the queue is empty.
 */
bool queue_pop(struct queue *q, struct queued *out);

/* Removes a request. Returns false if it is not in the queue. */
bool queue_remove(struct queue *q, const void *request);

/* Removes a request whose deadline has passed. Returns false if there is none. */
bool queue_pop_expired(struct queue *q, int64_t now_ms, struct queued *out);

/*
 * Removes a request that is no longer expected to finish in time, since later
 * requests start before it or work takes longer than it did. Returns false if
 * there is none.
 */
bool queue_pop_overtaken(struct queue *q, int64_t now_ms, uint32_t n_in_flight,
			 double slots, struct queued *out);

/* Updates the averages with the time the backend server took for a request. */
void queue_update_service_ms(struct queue *q, uint32_t class_index,
			     double service_ms);

/* Updates the average answer length of a class with that of one answer. */
void queue_update_answer_bytes(struct queue *q, uint32_t class_index,
			       double bytes);

/* Average answer length of a class, 0 if unknown. */
double queue_avg_answer_bytes(const struct queue *q, uint32_t class_index);

#endif

#ifndef ROUTE_COST_H
#define ROUTE_COST_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Average latency and answer size of a class of requests, and what is derived
 * from them: when to hedge a request at a second gate, and how much a gate in
 * another data centre costs. No input or output, and no clock.
 */

/* Moving averages of a class over all gates. */
struct class_cost {
	double answer_bytes;
	double latency_ms; /* from sending to the answer's head; 0: unknown */
};

/*
 * Latencies are compared between gates on a nominal scale, on which the average
 * latency of every class is NOMINAL_MS. Without it a gate that recently served
 * mostly requests of a short class would look fast.
 */
#define NOMINAL_MS 100.0

/* Adds the time from sending to the answer's head to the moving average. */
void cost_update_latency(struct class_cost *c, double ms);

/* Adds the size of a complete answer to the moving average. */
void cost_update_bytes(struct class_cost *c, double bytes);

/* Converts a latency of this class to the nominal scale, and back. */
double cost_to_nominal_ms(const struct class_cost *c, double ms);
double cost_from_nominal_ms(const struct class_cost *c, double nominal_ms);

/*
 * Cost of sending a request of this class to another data centre, in
 * milliseconds of the nominal scale: far_ms for each request and far_ms_per_kb
 * for each KiB of the answer.
 */
double cost_far_ms(const struct class_cost *c, double far_ms,
		   double far_ms_per_kb);

/*
 * Whether a request that was sent to a gate age_ms ago should be hedged, i.e.
 * sent to a second gate as well. usual_ms is the gate's average latency for the
 * class, target_ms the latency target of the class.
 */
bool cost_hedge_due(double age_ms, double usual_ms, double target_ms);

/*
 * How long to wait for the answer of a key's owner before the request is also
 * sent to the owner's successor. left_ms is the time from the request's arrival
 * to its deadline; the delay is at most half of it.
 */
double cost_owner_hedge_delay_ms(double usual_ms, double target_ms,
				 double left_ms);

#endif

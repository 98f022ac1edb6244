#ifndef ROUTE_COST_H
#define ROUTE_COST_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What requests of a class are like, and what follows for how long to wait for
 * one: when a second gate is worth asking beside the first, and how much
 * further away a gate may be. Without input, output or clock.
 */

/* Smoothed over all gates. */
struct class_cost {
	double answer_bytes; /* of an answer */
	double latency_ms; /* from sending to the answer's head, 0 unknown */
};

/*
 * Gates are compared by how slow they are for the class at hand, as if each
 * class took this long: a gate that happened to get the short requests of late
 * would look fast otherwise.
 */
#define NOMINAL_MS 100.0

/* An answer's head came after ms; an answer ended with bytes. */
void cost_update_latency(struct class_cost *c, double ms);
void cost_update_bytes(struct class_cost *c, double bytes);

/* A time of this class on the nominal scale, and one back from it. */
double cost_to_nominal_ms(const struct class_cost *c, double ms);
double cost_from_nominal_ms(const struct class_cost *c, double nominal_ms);

/*
 * What a gate in another data centre costs a request, on the nominal scale:
 * far_ms at all and far_ms_per_kb for each KiB of answer.
 */
double cost_far_ms(const struct class_cost *c, double far_ms,
		   double far_ms_per_kb);

/*
 * Whether a request that has waited age_ms for a gate which usually takes
 * usual_ms should be asked of another beside it.
 */
bool cost_hedge_due(double age_ms, double usual_ms, double target_ms);

/*
 * How long to wait for the owner of a key before whoever would inherit the key
 * is asked beside it; left_ms is all the time the request has.
 */
double cost_owner_hedge_delay_ms(double usual_ms, double target_ms,
				 double left_ms);

#endif

#include <glib.h>

#include "route/cost.h"

/* Weights of a new value in the moving averages. */
#define LATENCY_WEIGHT 0.05
#define SIZE_WEIGHT 0.1
#define BYTES_PER_KB 1024.0
/*
 * A hedge is not sent before this many average latencies have passed, since
 * hedges draw on the same budget as retries.
 */
#define HEDGE_LATENCY_FACTOR 1.6
/*
 * A hedge is not sent before this share of the latency target has passed
 * either, since until then the first answer may still be in time.
 */
#define HEDGE_TARGET_SHARE 0.5
/*
 * The request is sent to the successor after the latency target plus the first,
 * or after the average latency times the second, whichever is later.
 */
#define OWNER_HEDGE_MIN_MS 60
#define OWNER_HEDGE_LATENCY_FACTOR 10

static void update_average(double *mean, double v, double weight)
{
	*mean += *mean > 0 ? weight * (v - *mean) : v;
}

void cost_update_latency(struct class_cost *c, double ms)
{
	update_average(&c->latency_ms, ms, LATENCY_WEIGHT);
}

void cost_update_bytes(struct class_cost *c, double bytes)
{
	update_average(&c->answer_bytes, bytes, SIZE_WEIGHT);
}

double cost_to_nominal_ms(const struct class_cost *c, double ms)
{
	return ms / MAX(c->latency_ms, 1) * NOMINAL_MS;
}

double cost_from_nominal_ms(const struct class_cost *c, double nominal_ms)
{
	return nominal_ms / NOMINAL_MS * c->latency_ms;
}

double cost_far_ms(const struct class_cost *c, double far_ms,
		   double far_ms_per_kb)
{
	double ms = far_ms + c->answer_bytes / BYTES_PER_KB * far_ms_per_kb;

	return c->latency_ms > 0 ? ms / c->latency_ms * NOMINAL_MS : ms;
}

bool cost_hedge_due(double age_ms, double usual_ms, double target_ms)
{
	return age_ms >= MAX(HEDGE_TARGET_SHARE * target_ms,
			     HEDGE_LATENCY_FACTOR * usual_ms);
}

double cost_owner_hedge_delay_ms(double usual_ms, double target_ms,
				 double left_ms)
{
	return MIN(MAX(OWNER_HEDGE_MIN_MS + target_ms,
		       OWNER_HEDGE_LATENCY_FACTOR * usual_ms),
		   left_ms / 2);
}

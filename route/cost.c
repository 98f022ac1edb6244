#include <glib.h>

#include "route/cost.h"

#define MS_WEIGHT 0.05
#define SIZE_WEIGHT 0.1
#define BYTES_PER_KB 1024.0
/* Hedges share the budget of repeats. */
#define HEDGE_FACTOR 1.6
/* Earlier there is time enough for the first answer to be in time. */
#define HEDGE_TARGET_SHARE 0.5
#define TRY_MIN_MS 60
#define TRY_FACTOR 10

static void smooth(double *mean, double v, double weight)
{
	*mean += *mean > 0 ? weight * (v - *mean) : v;
}

void cost_learn_ms(struct class_cost *c, double ms)
{
	smooth(&c->ms, ms, MS_WEIGHT);
}

void cost_learn_bytes(struct class_cost *c, double bytes)
{
	smooth(&c->bytes, bytes, SIZE_WEIGHT);
}

double cost_nominal_ms(const struct class_cost *c, double ms)
{
	return ms / MAX(c->ms, 1) * NOMINAL_MS;
}

double cost_usual_ms(const struct class_cost *c, double nominal_ms)
{
	return nominal_ms / NOMINAL_MS * c->ms;
}

double cost_far_ms(const struct class_cost *c, double far_ms,
		   double far_ms_per_kb)
{
	double ms = far_ms + c->bytes / BYTES_PER_KB * far_ms_per_kb;

	return c->ms > 0 ? ms / c->ms * NOMINAL_MS : ms;
}

bool cost_hedge_due(double age_ms, double usual_ms, double target_ms)
{
	return age_ms >=
	       MAX(HEDGE_TARGET_SHARE * target_ms, HEDGE_FACTOR * usual_ms);
}

double cost_owner_patience_ms(double usual_ms, double target_ms, double left_ms)
{
	return MIN(MAX(TRY_MIN_MS + target_ms, TRY_FACTOR * usual_ms),
		   left_ms / 2);
}

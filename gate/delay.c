#include <glib.h>

#include "gate/delay.h"

/* Two clocks that drift by 100 ppm are 1 ms further apart after it. */
#define SPAN_MS 10000

void delay_init(struct delay *d, int64_t sent_ms, int64_t arrived_ms)
{
	d->least_ms = arrived_ms - sent_ms;
	d->before_ms = d->least_ms;
	d->since_ms = arrived_ms;
}

int64_t delay_learn(struct delay *d, int64_t sent_ms, int64_t arrived_ms)
{
	int64_t offset = arrived_ms - sent_ms;

	if (arrived_ms - d->since_ms >= SPAN_MS) {
		d->before_ms = d->least_ms;
		d->least_ms = offset;
		d->since_ms = arrived_ms;
	}
	d->least_ms = MIN(d->least_ms, offset);
	return offset - MIN(d->least_ms, d->before_ms);
}

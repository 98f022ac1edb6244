#include <glib.h>

#include "gate/delay.h"

/* Two clocks that drift apart by 100 ppm differ by 1 ms more after this time. */
#define WINDOW_MS 10000

void delay_init(struct delay *d, int64_t sent_ms, int64_t arrived_ms)
{
	d->min_offset_ms = arrived_ms - sent_ms;
	d->prev_min_offset_ms = d->min_offset_ms;
	d->window_start_ms = arrived_ms;
}

int64_t delay_update(struct delay *d, int64_t sent_ms, int64_t arrived_ms)
{
	int64_t offset = arrived_ms - sent_ms;

	if (arrived_ms - d->window_start_ms >= WINDOW_MS) {
		d->prev_min_offset_ms = d->min_offset_ms;
		d->min_offset_ms = offset;
		d->window_start_ms = arrived_ms;
	}
	d->min_offset_ms = MIN(d->min_offset_ms, offset);
	return offset - MIN(d->min_offset_ms, d->prev_min_offset_ms);
}

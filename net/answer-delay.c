#include <glib.h>

#include "net/answer-delay.h"

#define OVERDUE_MIN_MS 300
#define OVERDUE_MAX_MS 1000
/* An answer is overdue when it is later than recent ones by this factor. */
#define OVERDUE_FACTOR 3
/* How much of the difference to a shorter delay each answer takes away. */
#define DECAY_DIVISOR 4

void answer_delay_on_answer(struct answer_delay *d, int64_t wait_ms,
			    int64_t took_ms, bool has_records)
{
	int64_t late_ms = MAX(took_ms - wait_ms, 0);

	if (late_ms >= d->late_ms)
		d->late_ms = late_ms;
	else if (!has_records || !wait_ms)
		d->late_ms -= (d->late_ms - late_ms + DECAY_DIVISOR - 1) /
			      DECAY_DIVISOR;
}

int64_t answer_delay_overdue_ms(const struct answer_delay *d)
{
	return CLAMP(OVERDUE_FACTOR * d->late_ms, OVERDUE_MIN_MS,
		     OVERDUE_MAX_MS);
}

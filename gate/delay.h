#ifndef GATE_DELAY_H
#define GATE_DELAY_H

#include <stdint.h>

/*
 * Estimates the delay of messages from one sender. The clocks of two hosts
 * differ by an unknown offset and drift apart. The smallest difference between
 * arrival time and send time over the current and the previous time window is
 * that offset plus the shortest transit time; what a message takes beyond that
 * is its delay. Reads no clock; the times are passed in.
 */

struct delay {
	int64_t min_offset_ms; /* least arrival - send in this window */
	int64_t prev_min_offset_ms; /* the same in the window before */
	int64_t window_start_ms;
};

/* Starts with a first message, whose delay counts as 0. */
void delay_init(struct delay *d, int64_t sent_ms, int64_t arrived_ms);

/*
 * Records a message and returns its delay: milliseconds beyond the fastest
 * message of this window and the one before, 0 or more.
 */
int64_t delay_update(struct delay *d, int64_t sent_ms, int64_t arrived_ms);

#endif

#ifndef GATE_DELAY_H
#define GATE_DELAY_H

#include <stdint.h>

/*
 * How long messages from one sender were on their way. The clocks of two hosts
 * differ by an unknown amount and drift apart: the least difference between
 * sending and arrival within the last while is that amount and the fastest
 * way, and what is beyond it is delay. No clock; the times are passed in.
 */

struct delay {
	int64_t min_offset_ms; /* of this span */
	int64_t prev_min_offset_ms; /* of the one before */
	int64_t window_start_ms; /* when this span began */
};

/* Begin with a first message. */
void delay_init(struct delay *d, int64_t sent_ms, int64_t arrived_ms);

/* Milliseconds that a message took beyond the fastest of late; 0 or more. */
int64_t delay_update(struct delay *d, int64_t sent_ms, int64_t arrived_ms);

#endif

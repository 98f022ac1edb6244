#ifndef GATE_LINK_H
#define GATE_LINK_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Estimates the backlog of a host's network link from its rate and the bytes
 * handed to it. There is no other way to predict how long the next answer will
 * take to reach the other end. Bytes are reserved when a request is queued, by
 * the average answer of its class, and count as sent when the answer is sent.
 * Reads no clock; the time is passed in.
 */

struct link {
	double bytes_per_ms; /* 0: unknown, not limited */
	double backlog_bytes; /* not yet sent at updated_at_ms */
	double reserved_bytes; /* expected of requests that have not ended */
	int64_t updated_at_ms;
};

/* Starts with no backlog. mbps: the rate in Mbit/s, 0 if not limited. */
void link_init(struct link *l, double mbps);

/* Adds bytes that were handed to the link. */
void link_sent(struct link *l, double bytes, int64_t now_ms);

/* Reserves the bytes of an expected answer, or ends the reservation. */
void link_reserve(struct link *l, double bytes);
void link_unreserve(struct link *l, double bytes);

/* Milliseconds to send the backlog, the reserved bytes and bytes more. */
double link_wait_ms(const struct link *l, double bytes, int64_t now_ms);

/* Milliseconds to send the backlog, which goes out before anything else. */
double link_backlog_ms(const struct link *l, int64_t now_ms);

#endif

#ifndef GATE_LINK_H
#define GATE_LINK_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What a host's link still has to send, worked out from its rate and from what
 * was handed to it: nothing else tells how long the next answer will be on its
 * way. Bytes are promised when a request is taken, by what its class usually
 * comes to, and sent when its answer is. No clock; the time is passed in.
 */

struct link {
	double bytes_per_ms; /* 0 unknown: without bound */
	double backlog_bytes; /* at at_ms */
	double reserved_bytes;
	int64_t updated_at_ms;
};

/* Start with nothing to send; mbps 0 without bound. */
void link_init(struct link *l, double mbps);

/* Bytes were handed to the link. */
void link_sent(struct link *l, double bytes, int64_t now_ms);

/* An answer of about so many bytes will be; or will not be after all. */
void link_reserve(struct link *l, double bytes);
void link_unreserve(struct link *l, double bytes);

/* How long the link takes for all that it was handed and promised, and bytes. */
double link_wait_ms(const struct link *l, double bytes, int64_t now_ms);

/* How long it takes for what it was handed, which goes before all else. */
double link_backlog_ms(const struct link *l, int64_t now_ms);

#endif

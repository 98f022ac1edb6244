#ifndef T_SOAK_PROXY_H
#define T_SOAK_PROXY_H

#include <stdbool.h>
#include <stdint.h>
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>

/*
 * A TCP proxy on loopback that can delay data, block it in one direction or
 * both, reset connections, and break off what is sent down. Blocked data is
 * queued and forwarded in order when the direction is unblocked, as TCP would
 * retransmit it.
 */

enum proxy_direction {
	PROXY_UP, /* from the connecting to the listening side */
	PROXY_DOWN, /* from the listening to the connecting side */
	PROXY_DIRECTIONS,
};

struct proxy {
	struct ev_loop *loop;
	ev_io accept;
	struct sockaddr_in to;
	GPtrArray *connections; /* struct proxy_connection */
	int64_t delay_ms;
	bool blocked[PROXY_DIRECTIONS];
	/* Share of the data read from the listening side that is broken off. */
	double break_share;
	bool break_by_reset;
	GRand *rand; /* of the breaks */
};

/*
 * Listens at listen_at and forwards connections to "to". Returns RESULT_OK,
 * RESULT_INVALID for an invalid address, or RESULT_IO if it cannot listen.
 */
int proxy_init(struct proxy *p, struct ev_loop *loop, const char *listen_at,
	       const char *to);
/* Closes all connections with a reset (RST). */
void proxy_reset_connections(struct proxy *p);
/* Delays the data received from now on. */
void proxy_set_delay(struct proxy *p, int64_t delay_ms);
/* Blocks or unblocks each direction, for current and new connections. */
void proxy_block(struct proxy *p, bool up, bool down);
/*
 * From now on, a share of the data sent down is broken off at a random byte and
 * its connection ends there, by FIN or by reset. 0: none.
 */
void proxy_set_breaks(struct proxy *p, double share, bool by_reset,
		      uint32_t seed);

#endif

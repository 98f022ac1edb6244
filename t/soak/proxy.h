#ifndef T_SOAK_PROXY_H
#define T_SOAK_PROXY_H

#include <stdbool.h>
#include <stdint.h>
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>

/*
 * A TCP proxy on loopback that can delay what it carries, keep it back in one
 * direction or both, and reset its connections. What is kept back goes on, in
 * order, when the trouble ends, as TCP would send it again.
 */

enum proxy_direction {
	PROXY_UP, /* from who connects to who listens */
	PROXY_DOWN,
	PROXY_DIRECTIONS,
};

struct proxy {
	struct ev_loop *loop;
	ev_io accept;
	struct sockaddr_in to;
	GPtrArray *connections; /* struct proxy_connection */
	int64_t delay_ms;
	bool blocked[PROXY_DIRECTIONS];
};

/* Returns RESULT_OK, RESULT_INVALID for an address or RESULT_IO. */
int proxy_init(struct proxy *p, struct ev_loop *loop, const char *listen_at,
	       const char *to);
void proxy_reset_connections(struct proxy *p);
void proxy_set_delay(struct proxy *p, int64_t delay_ms);
void proxy_block(struct proxy *p, bool up, bool down);

#endif

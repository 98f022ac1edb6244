#ifndef GATE_LIFE_H
#define GATE_LIFE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Which life of the backend server a heartbeat is from. A server may start
 * again at the same address, under the same id even, while heartbeats of its
 * life before are still on their way: what these say is over.
 */

#define INSTANCE_ID_MAX_LEN 39

struct server_instance {
	char id[INSTANCE_ID_MAX_LEN + 1]; /* "" none known */
	int64_t started_ms; /* by the server host's clock of day */
	int64_t heartbeat_number; /* of its last heartbeat */
	int64_t heard_at_ms; /* our clock */
};

enum instance_check {
	INSTANCE_NEW, /* a life not seen before by this process */
	INSTANCE_CURRENT, /* the one known, with news */
	INSTANCE_STALE, /* an older life, or an older word of this one */
};

enum instance_check instance_on_heartbeat(struct server_instance *s,
					  const char *id, int64_t started_ms,
					  int64_t number, int64_t now_ms);

#endif

#ifndef GATE_SERVER_INSTANCE_H
#define GATE_SERVER_INSTANCE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Tells which instance of the backend server a heartbeat is from. A backend
 * server may restart at the same address, even under the same id, while
 * heartbeats of its previous instance are still in flight. Those are out of
 * date and must be ignored.
 */

#define INSTANCE_ID_MAX_LEN 39

struct server_instance {
	char id[INSTANCE_ID_MAX_LEN + 1]; /* "" if none is known */
	int64_t started_ms; /* wall clock of the backend server's host */
	int64_t heartbeat_number; /* of the last one recorded */
	int64_t last_heartbeat_at_ms; /* time of the last one, by this node's
					 clock */
};

enum instance_check {
	INSTANCE_NEW, /* an instance that this process has not seen before */
	INSTANCE_CURRENT, /* the known instance, with a newer heartbeat */
	INSTANCE_STALE, /* an older instance, or an older heartbeat */
};

/*
 * Checks a heartbeat, and records it unless it is stale. id and started_ms (by
 * the wall clock of its host) identify the instance that sent it; number counts
 * the heartbeats of that instance.
 */
enum instance_check instance_on_heartbeat(struct server_instance *s,
					  const char *id, int64_t started_ms,
					  int64_t number, int64_t now_ms);

#endif

#ifndef GATE_LIFE_H
#define GATE_LIFE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Which life of the backend server a heartbeat is from. A server may start
 * again at the same address, under the same id even, while heartbeats of its
 * life before are still on their way: what these say is over.
 */

#define LIFE_ID_MAX_LEN 39

struct life {
	char id[LIFE_ID_MAX_LEN + 1]; /* "" none known */
	int64_t born_ms; /* by the server host's clock of day */
	int64_t number; /* of its last heartbeat */
	int64_t heard_ms; /* our clock */
};

enum life_news {
	LIFE_NEW, /* a life not seen before by this process */
	LIFE_SAME, /* the one known, with news */
	LIFE_STALE, /* an older life, or an older word of this one */
};

enum life_news life_on_beat(struct life *l, const char *id, int64_t born_ms,
			    int64_t number, int64_t now_ms);

#endif

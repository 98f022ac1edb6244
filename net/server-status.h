#ifndef NET_SERVER_STATUS_H
#define NET_SERVER_STATUS_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "net/headers.h"

/* What a backend server says of itself in the headers of an answer. */

enum server_limit_state {
	SERVER_LIMIT_NONE, /* no header */
	SERVER_LIMIT_NAMED,
	SERVER_LIMIT_UNREADABLE, /* says nothing, not even that there is none */
};

struct server_status {
	enum server_limit_state limit;
	int64_t limit_milli; /* requests in 1,000 s; the lowest of several */
	bool leaving;
};

/* names: the headers to look for, NULL for those that do not exist. */
void server_status_read(struct server_status *s,
			const struct header_names *names,
			const GPtrArray *answer_headers);

#endif

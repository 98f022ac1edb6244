#ifndef NET_HEADERS_H
#define NET_HEADERS_H

#include <stdbool.h>
#include <glib.h>

/* Headers stand in a GPtrArray of strings, name and value in turn. */

#define HEADER_OUTCOME "Briargrade-Outcome"
#define HEADER_FENCE "Briargrade-Fence"
#define HEADER_SHARD "Briargrade-Shard"
#define HEADER_GRANT_MS "Briargrade-Grant-Ms"
#define HEADER_DEADLINE_MS "Briargrade-Deadline-Ms"
#define HEADER_NOT_RUN "Briargrade-Not-Run"
#define HEADER_REPLAYED "Briargrade-Replayed"
#define HEADER_IDEMPOTENCY "Idempotency-Key"

#define OUTCOME_NOT_RUN "not-run"
#define OUTCOME_UNKNOWN "unknown"
#define OUTCOME_ALREADY_RUN "already-run"
#define OUTCOME_IN_PROGRESS "in-progress"

/* Whether a header concerns one connection only (RFC 9110, 7.6.1). */
bool header_is_hop_by_hop(const char *name);
const char *header_find(const GPtrArray *headers, const char *name);
void header_add(GPtrArray *headers, const char *name, const char *value);
void header_add_int(GPtrArray *headers, const char *name, gint64 value);

/* An empty list that owns its strings. */
GPtrArray *headers_new(void);

#endif

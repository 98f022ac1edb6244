#ifndef NET_HEADERS_H
#define NET_HEADERS_H

#include <stdbool.h>
#include <glib.h>

/* Headers stand in a GPtrArray of strings, name and value in turn. */

#define OUTCOME_NOT_RUN "not-run"
#define OUTCOME_UNKNOWN "unknown"
#define OUTCOME_ALREADY_RUN "already-run"
#define OUTCOME_IN_PROGRESS "in-progress"

/*
 * The names under which requests and answers carry what nodes must know. The
 * settings choose a table. A name that is NULL is not carried.
 */
struct header_names {
	/* From callers. */
	const char *attempt_id; /* one sending of a request, never used again */
	const char *idempotency; /* one request, the same when sent again */
	const char *wait_ms; /* how long the caller waits, milliseconds */
	/* To backend servers. */
	const char *deadline_ms; /* time left, milliseconds */
	const char *fence;
	const char *shard;
	const char *grant_ms;
	const char *caller_service; /* of the host where the request began */
	const char
		*expect_instance; /* the backend server's life that is meant */
	/* From backend servers. */
	const char *not_run; /* present: the request did not run */
	const char *signature; /* present on each whole success */
	const char *load;
	/* To callers. */
	const char *outcome;
	const char *replayed;
	bool fractional_retry_after; /* Retry-After may be a fraction of a
					second */
};

/* What this project speaks by itself. */
extern const struct header_names headers_default;

/* Whether a header concerns one connection only (RFC 9110, 7.6.1). */
bool header_is_hop_by_hop(const char *name);
const char *header_find(const GPtrArray *headers, const char *name);
void header_add(GPtrArray *headers, const char *name, const char *value);
void header_add_int(GPtrArray *headers, const char *name, gint64 value);

/* Replace every value of a header by one; a NULL name or value only removes. */
void header_set(GPtrArray *headers, const char *name, const char *value);

/* An empty list that owns its strings. */
GPtrArray *headers_new(void);

#endif

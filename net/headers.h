#ifndef NET_HEADERS_H
#define NET_HEADERS_H

#include <stdbool.h>
#include <glib.h>

/* Headers are a GPtrArray of strings: names and values, alternating. */

#define OUTCOME_NOT_RUN "not-run"
#define OUTCOME_UNKNOWN "unknown"
#define OUTCOME_ALREADY_RUN "already-run"
#define OUTCOME_IN_PROGRESS "in-progress"

/*
 * Names of the headers that nodes read from and add to requests and answers.
 * The settings choose one such table. A header whose name is NULL is not used.
 */
struct header_names {
	/* From callers. */
	const char *attempt_id; /* one send of a request; never reused */
	const char *idempotency; /* one request; the same when resent */
	const char *wait_ms; /* how long the caller waits, milliseconds */
	/* To backend servers. */
	const char *deadline_ms; /* time left, milliseconds */
	const char *fence;
	const char *shard;
	const char *grant_ms;
	const char *caller_service; /* of the host that sent the request */
	const char *expect_instance; /* the backend server instance addressed */
	/* From backend servers. */
	const char *not_run; /* present when the request did not run */
	const char *signature; /* present on each complete successful answer */
	const char *load;
	const char *server_limit; /* requests a second that it takes */
	const char *server_leaving; /* "1": it takes no new requests soon */
	/* To callers. */
	const char *outcome;
	const char *replayed;
	bool fractional_retry_after; /* Retry-After may be a fraction of a
					second */
};

/* The names that are used unless the settings select the platform. */
extern const struct header_names headers_default;

/* The length of the header name, a token (RFC 9110, 5.6.2), that begins a text.
 */
size_t header_name_len(const char *text);

/* Whether all of a text is a header name. */
bool header_name_is_valid(const char *name);

/* Whether a header applies to one connection only (RFC 9110, 7.6.1). */
bool header_is_hop_by_hop(const char *name);

/* The first value of a header, NULL when it is absent or name is NULL. */
const char *header_find(const GPtrArray *headers, const char *name);

/* Append copies of name and value. */
void header_add(GPtrArray *headers, const char *name, const char *value);

/* Append a header with an integer value; no effect when name is NULL. */
void header_add_int(GPtrArray *headers, const char *name, gint64 value);

/*
 * Replace all values of a header by one. A NULL value only removes the header;
 * a NULL name has no effect.
 */
void header_set(GPtrArray *headers, const char *name, const char *value);

/* A new empty list that owns its strings. */
GPtrArray *headers_new(void);

#endif

#ifndef STATE_LEAVINGS_H
#define STATE_LEAVINGS_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

/*
 * The backend server instances that have said that they leave. Part of the
 * replicated state, as a process that starts beside such a server has not heard
 * it say so, and one of its earlier heartbeats may still arrive.
 */

#define LEAVING_HOST_MAX_LEN 63
#define LEAVING_SERVER_MAX_LEN 39
/* The oldest are dropped, those of the same host first. */
#define LEAVINGS_MAX 512
#define LEAVINGS_PER_HOST 8
/* A deregistration need not name the start of the instance. */
#define LEAVING_START_UNKNOWN (-1)

struct leaving {
	char host[LEAVING_HOST_MAX_LEN + 1];
	char server[LEAVING_SERVER_MAX_LEN + 1]; /* id of the backend server */
	int64_t started_ms; /* wall clock of the host, or LEAVING_START_UNKNOWN */
	int64_t left_wall_ms; /* the same clock, when it said so */
};

struct leavings {
	struct leaving entries[LEAVINGS_MAX]; /* oldest first */
	uint32_t n;
};

/* Whether two leavings are known to be of the same instance. */
bool leaving_same_instance(const struct leaving *a, const struct leaving *b);

/* Whether that instance is among those recorded. */
bool leavings_contain(const struct leavings *l, const struct leaving *which);

/*
 * Records a leaving. Returns RESULT_OK, RESULT_INVALID if it names no host or
 * no server, or RESULT_DUPLICATE without effect if the leaving of that instance
 * is recorded.
 */
int leavings_add(struct leavings *l, const struct leaving *left);

/* The state as JSON, and back; for snapshots. */
json_t *leavings_to_json(const struct leavings *l);
/* Returns RESULT_OK, or RESULT_INVALID. NULL: none has left. */
int leavings_from_json(struct leavings *l, const json_t *list);

/* One leaving from the JSON of a record or a snapshot, and to it. */
void leaving_from_json(struct leaving *out, const json_t *o);
void leaving_to_json(const struct leaving *left, json_t *o);

#endif

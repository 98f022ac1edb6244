#ifndef GATE_IDS_H
#define GATE_IDS_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * Table of the idempotency keys (ids) that a gate has seen, so that a retried
 * request does not run twice. Its size is bounded: an entry is kept for as long
 * as callers may retry the request, and when the table is full a new request is
 * refused rather than run without an entry.
 */

enum seen_state {
	SEEN_RUNNING,
	SEEN_ANSWERED, /* ran; the answer is kept unless too large */
	SEEN_UNKNOWN, /* sent to the backend server, no complete answer */
};

struct seen_id {
	uint64_t hash;
	uint32_t shard;
	enum seen_state state;
	int64_t begun_at_ms;
	int64_t window_ms; /* how long callers may retry */
	uint32_t status;
	GBytes *answer; /* NULL if not kept */
	char *content_type;
};

struct ids {
	GHashTable *by_hash; /* uint64_t -> struct seen_id */
	GQueue *order; /* oldest first */
	uint32_t max;
	uint64_t bytes; /* of all answers kept */
};

/* Sets up an empty table of at most max ids. */
void ids_init(struct ids *t, uint32_t max);

/* Releases the table. */
void ids_finish(struct ids *t);

/* Returns the entry of an id, or NULL if it was not seen within its window. */
struct seen_id *ids_find(struct ids *t, uint64_t hash, int64_t now_ms);

/* Adds an id that is about to run. Returns NULL if the table is full. */
struct seen_id *ids_begin(struct ids *t, uint64_t hash, uint32_t shard,
			  int64_t window_ms, int64_t now_ms);

/* Sets the outcome of an id. body is NULL if there is no answer to keep. */
void ids_end(struct ids *t, uint64_t hash, enum seen_state state,
	     uint32_t status, const char *content_type, const void *body,
	     size_t len);

/* Removes an id that was never sent to the backend server. */
void ids_forget(struct ids *t, uint64_t hash);

/*
 * Appends the entries of a shard to out, for its next owner: four numbers each
 * (shard, hash, milliseconds left of the window, state and HTTP status).
 * Answers are not included. A running request becomes SEEN_UNKNOWN.
 */
void ids_export(const struct ids *t, uint32_t shard, int64_t now_ms,
		GArray *out);

/* Adds an exported entry. Its window keeps the time it had left. */
void ids_import(struct ids *t, const int64_t *entry, int64_t now_ms);

/* Hash of an id within its class and key; never 0. */
uint64_t ids_hash(const char *class_name, const char *key, const char *id);

/*
 * The time at which an id was created, in milliseconds of Unix time, or -1 if
 * the id does not hold one. A version 7 UUID (RFC 9562) does.
 */
int64_t ids_created_ms(const char *id);

#endif

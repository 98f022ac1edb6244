#ifndef GATE_IDS_H
#define GATE_IDS_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * The idempotency keys that a gate has seen, so that a request sent again
 * does not run again. Bounded: an entry lives as long as callers may send it
 * again, and when there is no room a new request is refused, not forgotten.
 */

enum seen_state {
	SEEN_RUNNING,
	SEEN_ANSWERED, /* ran; the answer may be kept */
	SEEN_UNKNOWN, /* handed over, and no whole answer came */
};

struct seen_id {
	uint64_t hash;
	uint32_t shard;
	enum seen_state state;
	int64_t begun_at_ms;
	int64_t window_ms;
	uint32_t status;
	GBytes *answer; /* NULL when it was too large to keep */
	char *content_type;
};

struct ids {
	GHashTable *by_hash; /* uint64_t -> struct seen_id */
	GQueue *order; /* oldest first */
	uint32_t max;
	uint64_t bytes;
};

void ids_init(struct ids *t, uint32_t max);
void ids_finish(struct ids *t);

/* The entry for an id, NULL when it was not seen within its window. */
struct seen_id *ids_find(struct ids *t, uint64_t hash, int64_t now_ms);

/* Note that an id is about to run; NULL when there is no room. */
struct seen_id *ids_begin(struct ids *t, uint64_t hash, uint32_t shard,
			  int64_t window_ms, int64_t now_ms);

/* Note how it ended. body may be NULL when it is too large to keep. */
void ids_end(struct ids *t, uint64_t hash, enum seen_state state,
	     uint32_t status, const char *content_type, const void *body,
	     size_t len);

/* Forget an id that was never handed to the backend server. */
void ids_forget(struct ids *t, uint64_t hash);

/* Entries of a shard as four numbers each, for its next owner. */
void ids_export(const struct ids *t, uint32_t shard, int64_t now_ms,
		GArray *out);
void ids_import(struct ids *t, const int64_t *entry, int64_t now_ms);

uint64_t ids_hash(const char *class_name, const char *key, const char *id);

/*
 * When an id was made, in milliseconds of Unix time, or -1 when it does not
 * say. A version 7 UUID (RFC 9562) does.
 */
int64_t ids_created_ms(const char *id);

#endif

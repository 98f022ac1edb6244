#ifndef GATE_LAST_MESSAGES_H
#define GATE_LAST_MESSAGES_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * The last message about each request that has ended at a gate, as it was sent
 * to the entry. The entry asks for it again when the connection ended before it
 * was read. Bounded by number, bytes and age: beyond the bytes, the oldest lose
 * their content and are remembered without it. Times are passed in.
 */

struct last_message {
	uint64_t origin; /* the entry's process */
	uint64_t id; /* of the request */
	GBytes *data; /* NULL when its content is not kept */
	int64_t ended_at_ms;
	bool unsent; /* the link took nothing of it */
};

struct last_messages {
	GHashTable *table; /* struct last_message, by origin and id */
	GQueue order; /* the same, oldest first */
	GQueue with_data; /* of these, those with their content */
	uint32_t max;
	uint64_t bytes;
	/* Called before a message is forgotten. */
	void (*on_drop)(void *user, const struct last_message *m);
	void *user;
};

/* More than the number of requests that a gate ends in 5 s at full load. */
#define LAST_MESSAGES_MAX 16384
#define LAST_MESSAGES_MAX_BYTES (4 * 1024 * 1024)
/* A longer message is remembered without its content. */
#define LAST_MESSAGE_MAX_BYTES (80 * 1024)
#define LAST_MESSAGES_KEEP_MS 30000

/* Sets up an empty table of at most max messages. */
void last_messages_init(struct last_messages *t, uint32_t max,
			void (*on_drop)(void *user,
					const struct last_message *m),
			void *user);

/* Releases the table without calling on_drop. */
void last_messages_finish(struct last_messages *t);

/*
 * Adds the last message about a request. data is copied; it is NULL when the
 * message alone is not the whole answer. A request ends once; a second message
 * about it is ignored.
 */
void last_messages_add(struct last_messages *t, uint64_t origin, uint64_t id,
		       const void *data, size_t len, bool unsent,
		       int64_t now_ms);

/* The last message about a request, or NULL. */
struct last_message *last_messages_find(const struct last_messages *t,
					uint64_t origin, uint64_t id);

/* Drops what is older than LAST_MESSAGES_KEEP_MS. */
void last_messages_expire(struct last_messages *t, int64_t now_ms);

#endif

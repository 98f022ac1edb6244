#ifndef UTIL_RECENT_H
#define UTIL_RECENT_H

#include <stdint.h>
#include <glib.h>

/*
 * What was seen of late, by two numbers: a table of at most so many entries
 * that drops the one added first when there is no room.
 */
struct recent_key {
	uint64_t a;
	uint64_t b;
};

struct recent {
	GHashTable *table; /* struct recent_key -> value */
	GQueue order; /* the same keys, the oldest first */
	uint32_t max;
};

void recent_init(struct recent *r, uint32_t max);
void recent_finish(struct recent *r);

/* The value of a key, NULL when it is not there, or no more. */
gpointer recent_get(const struct recent *r, uint64_t a, uint64_t b);

/* Add a value, freed with g_free() once it is dropped; the key must be new. */
void recent_add(struct recent *r, uint64_t a, uint64_t b, gpointer value);

#endif

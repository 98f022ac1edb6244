#ifndef UTIL_FIFO_CACHE_H
#define UTIL_FIFO_CACHE_H

#include <stdint.h>
#include <glib.h>

/*
 * What was seen of late, by two numbers: a table of at most so many entries
 * that drops the one added first when there is no room.
 */
struct fifo_cache_key {
	uint64_t a;
	uint64_t b;
};

struct fifo_cache {
	GHashTable *table; /* struct fifo_cache_key -> value */
	GQueue order; /* the same keys, the oldest first */
	uint32_t max;
};

void fifo_cache_init(struct fifo_cache *r, uint32_t max);
void fifo_cache_finish(struct fifo_cache *r);

/* The value of a key, NULL when it is not there, or no more. */
gpointer fifo_cache_get(const struct fifo_cache *r, uint64_t a, uint64_t b);

/* Add a value, freed with g_free() once it is dropped; the key must be new. */
void fifo_cache_add(struct fifo_cache *r, uint64_t a, uint64_t b,
		    gpointer value);

#endif

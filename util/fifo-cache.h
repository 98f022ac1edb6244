#ifndef UTIL_FIFO_CACHE_H
#define UTIL_FIFO_CACHE_H

#include <stdint.h>
#include <glib.h>

/*
 * A table of at most max entries whose keys are pairs of numbers. When it is
 * full, adding an entry evicts the one that was added first.
 */
struct fifo_cache_key {
	uint64_t a;
	uint64_t b;
};

struct fifo_cache {
	GHashTable *table; /* struct fifo_cache_key -> value */
	GQueue order; /* the same keys, in the order they were added */
	uint32_t max;
};

/* Initialise an empty table; fifo_cache_finish() frees it with its values. */
void fifo_cache_init(struct fifo_cache *r, uint32_t max);
void fifo_cache_finish(struct fifo_cache *r);

/* Returns the value of a key, or NULL if it was never added or was evicted. */
gpointer fifo_cache_get(const struct fifo_cache *r, uint64_t a, uint64_t b);

/* Add a value, freed by g_free() on eviction. The key must be a new one. */
void fifo_cache_add(struct fifo_cache *r, uint64_t a, uint64_t b,
		    gpointer value);

#endif

#include "util/fifo-cache.h"

#define HASH_STEP 31

static guint hash_key(gconstpointer p)
{
	const struct fifo_cache_key *k = p;

	return (guint)(k->a * HASH_STEP + k->b);
}

static gboolean keys_equal(gconstpointer p, gconstpointer q)
{
	const struct fifo_cache_key *x = p;
	const struct fifo_cache_key *y = q;

	return x->a == y->a && x->b == y->b;
}

void fifo_cache_init(struct fifo_cache *r, uint32_t max)
{
	r->table = g_hash_table_new_full(hash_key, keys_equal, g_free, g_free);
	g_queue_init(&r->order);
	r->max = max;
}

void fifo_cache_finish(struct fifo_cache *r)
{
	g_queue_clear(&r->order);
	g_hash_table_unref(r->table);
}

gpointer fifo_cache_get(const struct fifo_cache *r, uint64_t a, uint64_t b)
{
	struct fifo_cache_key key = { a, b };

	return g_hash_table_lookup(r->table, &key);
}

void fifo_cache_add(struct fifo_cache *r, uint64_t a, uint64_t b,
		    gpointer value)
{
	struct fifo_cache_key *key = g_new(struct fifo_cache_key, 1);

	if (r->order.length >= r->max)
		g_hash_table_remove(r->table, g_queue_pop_head(&r->order));
	*key = (struct fifo_cache_key){ a, b };
	g_hash_table_insert(r->table, key, value);
	g_queue_push_tail(&r->order, key);
}

#include "util/recent.h"

#define HASH_STEP 31

static guint key_hash(gconstpointer p)
{
	const struct recent_key *k = p;

	return (guint)(k->a * HASH_STEP + k->b);
}

static gboolean key_equal(gconstpointer p, gconstpointer q)
{
	const struct recent_key *x = p;
	const struct recent_key *y = q;

	return x->a == y->a && x->b == y->b;
}

void recent_init(struct recent *r, uint32_t max)
{
	r->table = g_hash_table_new_full(key_hash, key_equal, g_free, g_free);
	g_queue_init(&r->order);
	r->max = max;
}

void recent_finish(struct recent *r)
{
	g_queue_clear(&r->order);
	g_hash_table_unref(r->table);
}

gpointer recent_get(const struct recent *r, uint64_t a, uint64_t b)
{
	struct recent_key key = { a, b };

	return g_hash_table_lookup(r->table, &key);
}

void recent_add(struct recent *r, uint64_t a, uint64_t b, gpointer value)
{
	struct recent_key *key = g_new(struct recent_key, 1);

	if (r->order.length >= r->max)
		g_hash_table_remove(r->table, g_queue_pop_head(&r->order));
	*key = (struct recent_key){ a, b };
	g_hash_table_insert(r->table, key, value);
	g_queue_push_tail(&r->order, key);
}

#include <string.h>

#include "gate/last-messages.h"

#define HASH_STEP 31

static guint hash(gconstpointer p)
{
	const struct last_message *m = p;

	return (guint)(m->origin * HASH_STEP + m->id);
}

static gboolean equal(gconstpointer p, gconstpointer q)
{
	const struct last_message *x = p;
	const struct last_message *y = q;

	return x->origin == y->origin && x->id == y->id;
}

static void message_free(gpointer p)
{
	struct last_message *m = p;

	if (m->data)
		g_bytes_unref(m->data);
	g_free(m);
}

void last_messages_init(struct last_messages *t, uint32_t max,
			void (*on_drop)(void *user,
					const struct last_message *m),
			void *user)
{
	memset(t, 0, sizeof(*t));
	t->table = g_hash_table_new_full(hash, equal, message_free, NULL);
	g_queue_init(&t->order);
	g_queue_init(&t->with_data);
	t->max = max;
	t->on_drop = on_drop;
	t->user = user;
}

void last_messages_finish(struct last_messages *t)
{
	g_queue_clear(&t->order);
	g_queue_clear(&t->with_data);
	g_hash_table_unref(t->table);
}

static void drop_oldest_data(struct last_messages *t)
{
	struct last_message *m = g_queue_pop_head(&t->with_data);

	t->bytes -= g_bytes_get_size(m->data);
	g_clear_pointer(&m->data, g_bytes_unref);
}

static void drop_oldest(struct last_messages *t)
{
	struct last_message *m = g_queue_pop_head(&t->order);

	/* Both queues have the same order. */
	if (m->data)
		drop_oldest_data(t);
	t->on_drop(t->user, m);
	g_hash_table_remove(t->table, m);
}

static void keep_data(struct last_messages *t, struct last_message *m,
		      const void *data, size_t len)
{
	m->data = g_bytes_new(data, len);
	g_queue_push_tail(&t->with_data, m);
	t->bytes += len;
	while (t->bytes > LAST_MESSAGES_MAX_BYTES)
		drop_oldest_data(t);
}

void last_messages_add(struct last_messages *t, uint64_t origin, uint64_t id,
		       const void *data, size_t len, bool unsent,
		       int64_t now_ms)
{
	struct last_message *m;

	if (last_messages_find(t, origin, id))
		return;
	m = g_new0(struct last_message, 1);
	m->origin = origin;
	m->id = id;
	m->ended_at_ms = now_ms;
	m->unsent = unsent;
	g_hash_table_add(t->table, m);
	g_queue_push_tail(&t->order, m);
	if (data && len <= LAST_MESSAGE_MAX_BYTES)
		keep_data(t, m, data, len);
	if (t->order.length > t->max)
		drop_oldest(t);
}

struct last_message *last_messages_find(const struct last_messages *t,
					uint64_t origin, uint64_t id)
{
	struct last_message key = { .origin = origin, .id = id };

	return g_hash_table_lookup(t->table, &key);
}

void last_messages_expire(struct last_messages *t, int64_t now_ms)
{
	struct last_message *m;

	while ((m = g_queue_peek_head(&t->order)) &&
	       now_ms - m->ended_at_ms > LAST_MESSAGES_KEEP_MS)
		drop_oldest(t);
}

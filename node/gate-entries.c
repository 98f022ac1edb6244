#include "net/clock.h"
#include "node/gate-request.h"

/* What a gate knows of the entries that ask it. */

#define MAX_ENTRIES 2048

void gate_remember_entry(struct gate *g, const void *identity, size_t len)
{
	GBytes *key;
	struct gate_entry *e;

	if (!identity)
		return;
	key = g_bytes_new(identity, len);
	e = g_hash_table_lookup(g->entries, key);
	if (!e) {
		if (g_hash_table_size(g->entries) >= MAX_ENTRIES)
			g_hash_table_remove_all(g->entries);
		e = g_new0(struct gate_entry, 1);
		g_hash_table_insert(g->entries, g_bytes_ref(key), e);
	}
	e->heard_ms = clock_now_ms();
	g_bytes_unref(key);
}

void gate_note_said(struct gate *g, GBytes *identity, bool last)
{
	struct gate_entry *e = g_hash_table_lookup(g->entries, identity);

	if (!e || !g->ending)
		return;
	e->answered_since = e->unheard && !last;
	e->unheard = e->unheard || last;
}

static struct gate_origin *origin_of(struct gate *g,
				     const struct request_msg *m)
{
	struct gate_origin *o = fifo_cache_get(&g->origins, m->origin, 0);

	if (o)
		return o;
	o = g_new0(struct gate_origin, 1);
	delay_init(&o->delay, m->sent_ms, clock_now_ms());
	fifo_cache_add(&g->origins, m->origin, 0, o);
	return o;
}

/*
 * A link can hold messages back for seconds and deliver them then, when their
 * callers have long been answered.
 */
int64_t gate_delay_ms(struct gate *g, const struct request_msg *m)
{
	return delay_update(&origin_of(g, m)->delay, m->sent_ms,
			    clock_now_ms());
}

void gate_know_origin(struct gate *g, const struct request_msg *m)
{
	gate_delay_ms(g, m);
	origin_of(g, m)->known = true;
}

bool gate_knows_origin(struct gate *g, const struct request_msg *m)
{
	return origin_of(g, m)->known;
}

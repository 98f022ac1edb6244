#include "net/clock.h"
#include "node/gate-request.h"

/* What the gate records of the entries that send it requests. */

#define MAX_ENTRIES 2048

void gate_record_entry(struct gate *g, const void *identity, size_t len)
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
	e->last_request_at_ms = clock_now_ms();
	g_bytes_unref(key);
}

void gate_record_sent(struct gate *g, GBytes *identity, bool is_stop_notice)
{
	struct gate_entry *e = g_hash_table_lookup(g->entries, identity);

	if (!e || !g->stopping)
		return;
	e->sent_after_stopping = e->stopping_ack_pending && !is_stop_notice;
	e->stopping_ack_pending = e->stopping_ack_pending || is_stop_notice;
}

static struct gate_origin *get_origin(struct gate *g,
				      const struct request_msg *m)
{
	struct gate_origin *o = fifo_cache_get(&g->origins, m->origin, 0);

	if (o)
		return o;
	o = g_new0(struct gate_origin, 1);
	delay_init(&o->delay, m->sent_at_ms, clock_now_ms());
	fifo_cache_add(&g->origins, m->origin, 0, o);
	return o;
}

/*
 * A link can delay messages for seconds. When it delivers them, their callers
 * may have been answered long before.
 */
int64_t gate_update_delay(struct gate *g, const struct request_msg *m)
{
	return delay_update(&get_origin(g, m)->delay, m->sent_at_ms,
			    clock_now_ms());
}

void gate_set_delay_known(struct gate *g, const struct request_msg *m)
{
	gate_update_delay(g, m);
	get_origin(g, m)->delay_known = true;
}

bool gate_delay_is_known(struct gate *g, const struct request_msg *m)
{
	return get_origin(g, m)->delay_known;
}

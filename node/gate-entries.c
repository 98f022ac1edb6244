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

struct gate_origin *gate_get_origin(struct gate *g, const struct request_msg *m)
{
	struct gate_origin *o = fifo_cache_get(&g->origins, m->origin, 0);
	uint64_t connection = m->type == REQ_SUBMIT ? (uint64_t)m->number : 0;

	if (o)
		return o;
	o = g_new0(struct gate_origin, 1);
	o->serial = ++g->n_origins;
	delay_init(&o->delay, m->sent_at_ms, clock_now_ms());
	reconcile_entry_init(&o->reconcile, connection,
			     o->serial > g->origins.max);
	fifo_cache_add(&g->origins, m->origin, 0, o);
	return o;
}

/*
 * A link can delay messages for seconds. When it delivers them, their callers
 * may have been answered long before.
 */
int64_t gate_update_delay(struct gate *g, const struct request_msg *m)
{
	return delay_update(&gate_get_origin(g, m)->delay, m->sent_at_ms,
			    clock_now_ms());
}

void gate_on_delay_known(struct gate_request *r, const struct request_msg *m)
{
	struct gate_origin *o = gate_get_origin(r->gate, m);

	gate_update_delay(r->gate, m);
	/* If the record is newer than the question, its id may be outdated. */
	if (o->serial != r->confirm_serial ||
	    m->number != r->confirm_sent_at_ms)
		return;
	o->delay_known = true;
	reconcile_raise(&o->reconcile, r->connection);
	reconcile_set_last_id(&o->reconcile, (uint64_t)m->status);
}

bool gate_delay_is_known(struct gate *g, const struct request_msg *m)
{
	return gate_get_origin(g, m)->delay_known;
}

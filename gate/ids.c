#include <string.h>

#include "gate/ids.h"
#include "util/hash.h"

#define MAX_ANSWERS_BYTES (4 * 1024 * 1024)
#define MAX_ANSWER_BYTES 4096
#define UUID_LEN 36
#define STATE_BITS 8

static void seen_id_free(gpointer p)
{
	struct seen_id *e = p;

	if (e->answer)
		g_bytes_unref(e->answer);
	g_free(e->content_type);
	g_free(e);
}

void ids_init(struct ids *t, uint32_t max)
{
	t->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->order = g_queue_new();
	t->max = max;
	t->bytes = 0;
}

void ids_finish(struct ids *t)
{
	g_hash_table_unref(t->by_hash);
	g_queue_free_full(t->order, seen_id_free);
}

static void remove_entry(struct ids *t, struct seen_id *e)
{
	if (e->answer)
		t->bytes -= g_bytes_get_size(e->answer);
	g_hash_table_remove(t->by_hash, &e->hash);
	seen_id_free(e);
}

static void evict_expired(struct ids *t, int64_t now_ms)
{
	struct seen_id *e;

	while ((e = g_queue_peek_head(t->order))) {
		if (e->state == SEEN_RUNNING ||
		    now_ms - e->begun_at_ms <= e->window_ms)
			return;
		g_queue_pop_head(t->order);
		remove_entry(t, e);
	}
}

struct seen_id *ids_find(struct ids *t, uint64_t hash, int64_t now_ms)
{
	struct seen_id *e;

	evict_expired(t, now_ms);
	e = g_hash_table_lookup(t->by_hash, &hash);
	if (!e || (e->state != SEEN_RUNNING &&
		   now_ms - e->begun_at_ms > e->window_ms))
		return NULL;
	return e;
}

struct seen_id *ids_begin(struct ids *t, uint64_t hash, uint32_t shard,
			  int64_t window_ms, int64_t now_ms)
{
	struct seen_id *e;

	evict_expired(t, now_ms);
	/* Evicting the oldest entry instead would let a retried id run twice. */
	if (g_hash_table_size(t->by_hash) >= t->max)
		return NULL;
	ids_forget(t, hash);
	e = g_new0(struct seen_id, 1);
	e->hash = hash;
	e->shard = shard;
	e->begun_at_ms = now_ms;
	e->window_ms = window_ms;
	g_queue_push_tail(t->order, e);
	g_hash_table_insert(t->by_hash, &e->hash, e);
	return e;
}

void ids_end(struct ids *t, uint64_t hash, enum seen_state state,
	     uint32_t status, const char *content_type, const void *body,
	     size_t len)
{
	struct seen_id *e = g_hash_table_lookup(t->by_hash, &hash);

	if (!e)
		return;
	e->state = state;
	e->status = status;
	if (!body || len > MAX_ANSWER_BYTES ||
	    t->bytes + len > MAX_ANSWERS_BYTES)
		return;
	e->answer = g_bytes_new(body, len);
	e->content_type = g_strdup(content_type);
	t->bytes += len;
}

void ids_forget(struct ids *t, uint64_t hash)
{
	struct seen_id *e = g_hash_table_lookup(t->by_hash, &hash);

	if (!e)
		return;
	g_queue_remove(t->order, e);
	remove_entry(t, e);
}

void ids_export(const struct ids *t, uint32_t shard, int64_t now_ms,
		GArray *out)
{
	GList *l;

	for (l = t->order->head; l; l = l->next) {
		const struct seen_id *e = l->data;
		enum seen_state state = e->state == SEEN_RUNNING ? SEEN_UNKNOWN
								 : e->state;
		int64_t v[] = { e->shard, (int64_t)e->hash,
				e->window_ms - (now_ms - e->begun_at_ms),
				state | (int64_t)e->status << STATE_BITS };

		if (e->shard == shard && v[2] > 0)
			g_array_append_vals(out, v, G_N_ELEMENTS(v));
	}
}

void ids_import(struct ids *t, const int64_t *entry, int64_t now_ms)
{
	uint64_t hash = entry[1];
	struct seen_id *e;

	if (entry[2] <= 0 || ids_find(t, hash, now_ms))
		return;
	e = ids_begin(t, hash, entry[0], entry[2], now_ms);
	if (!e)
		return;
	e->state = entry[3] & ((1 << STATE_BITS) - 1);
	e->status = entry[3] >> STATE_BITS;
}

uint64_t ids_hash(const char *class_name, const char *key, const char *id)
{
	g_autofree char *s = g_strdup_printf("%s\n%s\n%s", class_name, key, id);
	uint64_t h = hash_string(s);

	return h ? h : 1;
}

int64_t ids_created_ms(const char *id)
{
	int64_t ms = 0;
	uint32_t i;

	if (strlen(id) != UUID_LEN || id[8] != '-' || id[13] != '-' ||
	    id[14] != '7')
		return -1;
	for (i = 0; i < 13; i++) {
		if (i == 8)
			continue;
		if (!g_ascii_isxdigit(id[i]))
			return -1;
		ms = ms * 16 + g_ascii_xdigit_value(id[i]);
	}
	return ms;
}

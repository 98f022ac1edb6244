#include <string.h>

#include "gate/grants.h"

/* Third number of an entry; in those of ids_export() it is always positive. */
#define HANDOVER_MARK (-2)
/* A handover is a hexadecimal number of at most this many digits. */
#define HANDOVER_DIGITS 16

const struct grant_ops *grant_ops_by_name(const char *name)
{
	static const struct grant_ops *const all[] = { &grant_by_heartbeat,
						       &grant_by_call };
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(all); i++)
		if (!strcmp(all[i]->name, name))
			return all[i];
	return NULL;
}

void grants_init(struct grants *g, const struct grant_ops *ops,
		 int64_t prev_process_until_ms)
{
	memset(g, 0, sizeof(*g));
	g->ops = ops;
	g->prev_process_until_ms = prev_process_until_ms;
}

int64_t grants_prev_process_hold_ms(const struct grant_ops *ops,
				    int64_t lease_ms)
{
	return ops ? ops->prev_process_hold_ms(lease_ms) : 0;
}

void grant_clear(struct grant *s)
{
	g_free(s->handover_in);
	g_free(s->handover_out);
	memset(s, 0, sizeof(*s));
}

void grants_finish(struct grants *g)
{
	uint32_t i;

	for (i = 0; i < g->n_shards; i++)
		grant_clear(&g->shards[i]);
	g_free(g->shards);
	memset(g, 0, sizeof(*g));
}

void grants_resize(struct grants *g, uint32_t n_shards, uint32_t n_keys)
{
	struct grants was = *g;

	if (g->n_shards == n_shards && g->n_keys == n_keys)
		return;
	grants_finish(g);
	g->ops = was.ops;
	g->prev_process_until_ms = was.prev_process_until_ms;
	g->n_instances = was.n_instances;
	g->disabled_rules = was.disabled_rules;
	g->renumbered = was.n_shards;
	g->shards = g_new0(struct grant, n_shards);
	g->n_shards = n_shards;
	g->n_keys = n_keys;
	if (g->ops->on_resize)
		g->ops->on_resize(g);
}

int64_t grants_first_key(const struct grants *g, uint32_t shard)
{
	return ((uint64_t)shard * g->n_keys + g->n_shards - 1) / g->n_shards;
}

int64_t grants_last_key(const struct grants *g, uint32_t shard)
{
	return grants_first_key(g, shard + 1) - 1;
}

void grants_new_instance(struct grants *g)
{
	if (g->ops)
		g->ops->on_new_instance(g);
}

void grants_server_stopped(struct grants *g)
{
	if (g->ops)
		g->ops->on_server_stopped(g);
}

void grants_misdirected(struct grants *g, uint32_t shard, int64_t now_ms)
{
	if (g->ops && g->ops->on_misdirected && shard < g->n_shards)
		g->ops->on_misdirected(g, shard, now_ms);
}

void grants_prev_process_owned(struct grants *g, uint32_t shard)
{
	if (shard < g->n_shards)
		g->shards[shard].prev_process_owned = true;
}

bool grants_unreported(const struct grants *g, int64_t now_ms)
{
	if (!g->ops || (g->heartbeat_seen && g->n_shards))
		return false;
	return g->renumbered || now_ms < g->prev_process_until_ms;
}

bool grants_may_hold(const struct grants *g, uint32_t shard, int64_t now_ms)
{
	return shard < g->n_shards && g->ops->may_hold(g, shard, now_ms);
}

bool grants_server_holds(const struct grants *g, uint32_t shard, int64_t fence,
			 int64_t now_ms)
{
	return shard < g->n_shards &&
	       g->ops->server_holds(g, shard, fence, now_ms);
}

bool grants_waiting_for_room(const struct grants *g, uint32_t shard)
{
	return shard < g->n_shards && g->shards[shard].waiting_since_ms;
}

int64_t grants_hold_ms(int64_t end_ms, int64_t max_ms, int64_t now_ms)
{
	int64_t left = (int64_t)((end_ms - now_ms - GRANT_MARGIN_MS) /
				 GRANT_CLOCK_DRIFT_FACTOR);

	return MIN(left, max_ms);
}

void grants_export(const struct grants *g, uint32_t shard, GArray *out)
{
	const char *token = shard < g->n_shards ? g->shards[shard].handover_out
						: NULL;
	char *end;
	int64_t v[GRANTS_ENTRY_LEN] = { shard, 0, HANDOVER_MARK, 0 };

	if (!token)
		return;
	v[1] = (int64_t)g_ascii_strtoull(token, &end, 16);
	v[3] = (int64_t)strlen(token);
	/*
	 * Any other handover would be altered by the conversion to a number,
	 * which is worse than none.
	 */
	if (*end || !v[1] || v[3] > HANDOVER_DIGITS)
		g_warning("handover of shard %u dropped: not a nonzero 64-bit "
			  "hexadecimal number",
			  shard);
	else
		g_array_append_vals(out, v, GRANTS_ENTRY_LEN);
}

bool grants_import(struct grants *g, const int64_t *entry)
{
	char *token;

	if (entry[2] != HANDOVER_MARK)
		return false;
	if (entry[0] < 0 || entry[0] >= g->n_shards || entry[3] < 1 ||
	    entry[3] > HANDOVER_DIGITS)
		return true;
	token = g_strdup_printf("%0*" G_GINT64_MODIFIER "x", (int)entry[3],
				(guint64)entry[1]);
	g_free(g->shards[entry[0]].handover_in);
	g->shards[entry[0]].handover_in = token;
	return true;
}

#include "net/clock.h"
#include "node/gate-request.h"
#include "node/node.h"

/* Applies a changed configuration to the gate. */

#define MAX_REMOVED_CLASSES 1024

/* known: a configuration was applied before by this process. */
static void update_in_service(struct gate *g, bool known)
{
	const struct node *n = g->node;
	bool in = configuration_in_service(&n->member.fleet.configuration,
					   n->settings.data_centre);

	if (g->in_service && known && !in)
		g->out_of_service_since_ms = clock_now_ms();
	else if (in || !known)
		g->out_of_service_since_ms = 0;
	g->in_service = in;
}

/*
 * A class of the same name keeps its index, and with it the statistics that
 * were collected for it.
 */
static void update_classes(struct gate *g, const struct configuration *cfg)
{
	struct queue *q = &g->admission.queue;
	GHashTable *t = g->class_indexes;
	uint32_t i;

	if (g_hash_table_size(t) > 2 * cfg->n_classes + MAX_REMOVED_CLASSES) {
		g_hash_table_remove_all(t);
		queue_set_classes(q, 0);
	}
	for (i = 0; i < cfg->n_classes; i++)
		if (!g_hash_table_contains(t, cfg->classes[i].name))
			g_hash_table_insert(
				t, g_strdup(cfg->classes[i].name),
				GUINT_TO_POINTER(g_hash_table_size(t) + 1));
	queue_set_classes(q, g_hash_table_size(t));
	for (i = 0; i < cfg->n_classes; i++) {
		const struct class_settings *k = &cfg->classes[i];
		gpointer index = g_hash_table_lookup(t, k->name);

		queue_set_refusal_target(q, GPOINTER_TO_UINT(index) - 1,
					 k->refused_share);
	}
}

void gate_apply_configuration(struct gate *g)
{
	const struct member_node *m = &g->node->member;
	const struct fleet *f = &m->fleet;
	const struct service_settings *ss;
	struct fleet_service *s;

	if (g->configuration_source != member_source_in_force(m)) {
		g->configuration_source = member_source_in_force(m);
		update_classes(g, member_configuration(m));
	}
	if (g->configuration_version == f->configuration_version)
		return;
	update_in_service(g, g->configuration_version >= 0);
	g->configuration_version = f->configuration_version;
	update_classes(g, member_configuration(m));
	ss = configuration_service(&f->configuration,
				   g->node->settings.service);
	if (ss)
		cold_start_set_rate(&g->admission.cold_start, ss->cold_per_s);
	s = fleet_service(f, g->node->settings.service);
	if (s && s->n_shards != g->n_shards) {
		g_free(g->shard_load);
		g->shard_load = g_new0(uint32_t, s->n_shards);
		g->n_shards = s->n_shards;
	}
	if (s && s->key_numbers)
		balance_resize(&g->balance, s->n_shards);
	if (s && g->grants.ops && s->key_numbers)
		grants_resize(&g->grants, s->n_shards, s->key_numbers);
}

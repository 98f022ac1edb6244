#include <string.h>

#include "state/records.h"
#include "t/sim.h"

/* Faults of a simulated fleet, records for tests, output for failing seeds. */

static double random_double(struct sim *s)
{
	return g_rand_double(s->rand);
}

/*
 * Whether the node may join: beside a server that checks grants only after its
 * first heartbeat.
 */
static bool server_announced(const struct sim_node *nd)
{
	return !sim_has_backend(nd) || nd->known_instance;
}

static void cut_random_links(struct sim *s, int64_t ms)
{
	uint32_t a = g_rand_int_range(s->rand, 0, SIM_NODES);
	bool all_links = random_double(s) < 0.5;
	bool both_ways = random_double(s) < 0.7;
	uint32_t i;

	for (i = 0; i < SIM_NODES; i++) {
		if (!all_links && random_double(s) < 0.5)
			continue;
		s->link_cut_until_ms[a][i] = s->now_ms + ms;
		if (both_ways)
			s->link_cut_until_ms[i][a] = s->now_ms + ms;
	}
	if (all_links && random_double(s) < 0.5)
		s->nodes[a].log_unreachable = true;
}

static void kill_or_start(struct sim *s, uint32_t slot)
{
	if (s->nodes[slot].up) {
		sim_kill(s, slot);
		if (random_double(s) < 0.5)
			return;
	}
	if (random_double(s) < 0.2) {
		s->nodes[slot].boot_number++;
		if (sim_has_backend(&s->nodes[slot]))
			sim_backend_restart(&s->nodes[slot]);
	}
	sim_start(s, slot);
}

void sim_restart_all(struct sim *s, bool servers, int64_t down_ms)
{
	uint32_t i;

	for (i = 0; i < SIM_NODES; i++) {
		sim_kill(s, i);
		s->nodes[i].backend.up = s->nodes[i].backend.up && !servers;
	}
	sim_run(s, down_ms);
	for (i = 0; i < SIM_NODES; i++) {
		if (servers && sim_has_backend(&s->nodes[i]))
			sim_backend_restart(&s->nodes[i]);
		sim_start(s, i);
	}
}

void sim_restart_then_leave(struct sim *s)
{
	struct sim_node *nd =
		&s->nodes[g_rand_int_range(s->rand, 0, SIM_KEYED)];

	if (!nd->up)
		return;
	sim_kill(s, nd->slot);
	sim_start(s, nd->slot);
	nd->leaves_at_join = random_double(s) < 0.3;
	sim_run(s, g_rand_int_range(s->rand, 200, 1500));
	nd->leaves_at_join = false;
	if (nd->up && server_announced(nd))
		member_set_membership_wanted(&nd->member, false,
					     sim_node_now_ms(nd));
}

void sim_inject_fault(struct sim *s)
{
	uint32_t slot = g_rand_int_range(s->rand, 0, SIM_NODES);
	int64_t ms = g_rand_int_range(s->rand, 200, 6000);

	if (s->verbose)
		g_print("%7" G_GINT64_FORMAT " fault at %u\n",
			(gint64)s->now_ms, slot);
	switch (g_rand_int_range(s->rand, 0, s->uses_grants ? 14 : 11)) {
	case 0:
	case 1:
		kill_or_start(s, slot);
		break;
	case 2:
		sim_pause(s, slot, ms);
		break;
	case 3:
		cut_random_links(s, ms);
		break;
	case 4:
		s->log_down_until_ms = s->now_ms + ms;
		break;
	case 5:
		s->nodes[slot].log_unreachable =
			!s->nodes[slot].log_unreachable;
		break;
	case 6:
		sim_configure(s, random_double(s) < 0.5
					 ? sim_data_centres[slot % 4]
					 : NULL);
		break;
	case 7:
		/* Two operators publish on the same base version. */
		sim_configure(s, sim_data_centres[slot % 4]);
		sim_configure(s, NULL);
		break;
	case 8:
		s->nodes[slot].no_records_until_ms = s->now_ms + 2 * ms;
		break;
	case 9:
		/*
		 * A node that gets no records does not learn of the moves that
		 * this configuration causes; a later fault may kill an owner.
		 */
		s->nodes[slot].no_records_until_ms = s->now_ms + 2 * ms;
		sim_configure(s, sim_data_centres[(slot + 1) % 4]);
		break;
	case 10:
		if (s->nodes[slot].up && server_announced(&s->nodes[slot]))
			member_set_membership_wanted(
				&s->nodes[slot].member,
				!s->nodes[slot].member.want_member,
				sim_node_now_ms(&s->nodes[slot]));
		break;
	case 11:
		if (sim_has_backend(&s->nodes[slot]))
			sim_backend_restart(&s->nodes[slot]);
		break;
	case 12:
		if (sim_has_backend(&s->nodes[slot]))
			s->nodes[slot].backend.next_heartbeat_at_ms =
				s->now_ms + ms;
		break;
	case 13:
		sim_restart_all(s, random_double(s) < 0.3, ms / 2);
		break;
	}
}

/*
 * Does what an operator does with declare-lost: records that members whose
 * process no longer runs have stopped, in case their witnesses are lost too and
 * cannot confirm it.
 */
static void declare_lost(struct sim *s)
{
	json_t *r = record_expel(0, "declared lost");
	struct fleet *best = sim_newest_state(s);
	struct member *m;
	uint32_t i;

	for_each_member (best, m, i)
		if (s->nodes[sim_slot_of_host(m->host)].member.self_id != m->id)
			record_expel_add(r, m);
	sim_add_record(s, "", r);
	json_decref(r);
}

void sim_clear_faults(struct sim *s)
{
	uint32_t i;

	s->loss = 0;
	s->max_answer_rows = 0;
	s->log_down_until_ms = 0;
	memset(s->link_cut_until_ms, 0, sizeof(s->link_cut_until_ms));
	for (i = 0; i < SIM_NODES; i++) {
		struct sim_node *nd = &s->nodes[i];

		nd->log_unreachable = false;
		nd->no_records_until_ms = 0;
		nd->paused_until_ms = 0;
		if (!nd->up)
			sim_start(s, i);
		else if (server_announced(nd))
			member_set_membership_wanted(&nd->member, true,
						     sim_node_now_ms(nd));
	}
	sim_configure(s, NULL);
	sim_run(s, 5000);
	declare_lost(s);
}

int64_t sim_other_member(struct sim *s, int64_t a, int64_t b, int64_t c)
{
	int64_t id;
	int i;

	for (i = 0; i < 5; i++) {
		id = s->nodes[i].member.self_id;
		if (id != a && id != b && id != c)
			return id;
	}
	return 0;
}

void sim_append_move(struct sim *s, uint32_t shard, int64_t owner,
		     int64_t successor)
{
	struct fleet_service *sv =
		fleet_service(sim_newest_state(s), "records");
	json_t *r = record_move("records", 0, "test");

	record_move_add(r, shard, owner, successor, sv->shards[shard].fence);
	sim_append(s, r);
}

void sim_append(struct sim *s, json_t *record)
{
	sim_add_record(s, "", record);
	json_decref(record);
}

void sim_print_nodes(struct sim *s)
{
	uint32_t i, j;

	for (i = 0; i < SIM_NODES; i++) {
		struct member_node *n = &s->nodes[i].member;

		if (!s->nodes[i].up)
			continue;
		g_print("node %u self %" G_GINT64_FORMAT
			" applied %" G_GINT64_FORMAT
			" of %u lease in %" G_GINT64_FORMAT " members %u\n",
			i, (gint64)n->self_id, (gint64)n->fleet.applied,
			s->log->len,
			(gint64)(member_lease_end_ms(n) - n->now_ms),
			fleet_n_members(&n->fleet));
		for (j = 0; j < n->n_holds && i < SIM_KEYED; j++)
			g_print("  shard %u hold %d released by %d owner "
				"%" G_GINT64_FORMAT
				" successor %" G_GINT64_FORMAT
				" previous owner %" G_GINT64_FORMAT
				" previous successor %" G_GINT64_FORMAT "\n",
				j, n->holds[j].state, n->holds[j].released_by,
				(gint64)n->fleet.services[0].shards[j].owner,
				(gint64)n->fleet.services[0].shards[j].successor,
				(gint64)n->fleet.services[0]
					.shards[j]
					.prev_owner,
				(gint64)n->fleet.services[0]
					.shards[j]
					.prev_successor);
	}
}

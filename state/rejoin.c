#include <string.h>

#include "state/internal.h"

/*
 * A host joins again: transfers the shards that its earlier incarnation owned,
 * or was named as the successor of, to the new one.
 */

/* Whether the join of m proves that the earlier member has stopped. */
bool rejoin_supersedes(const struct member *m, const struct member *old)
{
	/*
	 * When a process is killed and started again, its keys would otherwise
	 * stay unserved until its witnesses prove that it stopped, and when all
	 * of a fleet restarts, no witnesses are left to prove it. During one
	 * boot of a host the kernel lets only one process listen on the peer
	 * address, so the newer process proves that the older one has ended.
	 */
	return !strcmp(old->host, m->host) && !strcmp(old->peer, m->peer) &&
	       old->boot_id[0] && !strcmp(old->boot_id, m->boot_id);
}

/* When an instance started, by the clock of its host; 0: unknown. */
static int64_t instance_started_ms(const char *instance_id)
{
	const char *start = strrchr(instance_id, '/');

	return start ? g_ascii_strtoll(start + 1, NULL, 10) : 0;
}

/*
 * Whether the backend server of the earlier incarnation has ended too. A new
 * process may join by a late heartbeat of an instance that has ended before the
 * one which the process before it knew. That one lives then, and holds what it
 * was granted.
 */
bool rejoin_server_restarted(const struct member *m, const struct member *old)
{
	if (!m->server_instance_id[0] || !old->server_instance_id[0] ||
	    !strcmp(old->server_instance_id, m->server_instance_id) ||
	    !strcmp(old->prev_server_instance_id, m->server_instance_id))
		return false;
	return instance_started_ms(m->server_instance_id) >=
	       instance_started_ms(old->server_instance_id);
}

/* Notes the instance that the process before m knew. */
void rejoin_note_instance(struct member *m, const struct member *old)
{
	const char *known = old->process == m->process
				    ? old->prev_server_instance_id
				    : old->server_instance_id;

	if (strcmp(known, m->server_instance_id))
		g_strlcpy(m->prev_server_instance_id, known,
			  sizeof(m->prev_server_instance_id));
}

/*
 * Whether a host that joined again keeps its shards.
 *
 * If its backend server kept running, it does. Otherwise the server would have
 * to release the keys, the successors' servers would have to take them over,
 * and the keys would move back later.
 *
 * If node process and backend server are both new, the whole host was off, most
 * likely with many others. It keeps key ranges, as moving them would give the
 * keys of all those hosts to the few that start first.
 *
 * If only the backend server restarted, the shards move to their successors:
 * the restarted server is cold, and the successors' servers are warm.
 */
static bool keeps_shards(const struct fleet_service *s,
			 const struct member *old, const struct member *m)
{
	if (!m->server_instance_id[0] || !old->server_instance_id[0])
		return false;
	return !rejoin_server_restarted(m, old) ||
	       (s->key_numbers && old->process != m->process);
}

/*
 * Make the new incarnation the owner of a shard. The successor may have taken
 * the shard over by now, so the new incarnation serves it only after the
 * successor has answered that it does not hold it.
 */
static void transfer_shard(struct fleet *f, struct fleet_service *s, uint32_t i,
			   const struct member *m, int64_t offset,
			   const json_t *record)
{
	struct shard *sh = &s->shards[i];

	/*
	 * The state keeps previous owners of two unsettled moves at most. A
	 * host that joins again several times before it settles would need more
	 * of them, and its keys went to the successors when there was no room.
	 * Its earlier incarnations have all ended, so one entry with the same
	 * successor records all that two would.
	 */
	if (sh->prev_owner && !fleet_member(f, sh->prev_owner) &&
	    sh->prev_successor == sh->successor) {
		fleet_set_owner(f, s, i, m->id, offset, record,
				FLEET_REASON_SHARD_KEPT);
		fleet_set_successor(sh, sh->successor, offset);
		return;
	}
	fleet_move_shard(f, s, i, m->id, sh->successor, offset, record,
			 FLEET_REASON_SHARD_KEPT);
}

/*
 * Where the earlier incarnation was named as a successor, name the new one
 * instead. The new one can report to other nodes what its backend server holds,
 * as the server reports that in its heartbeats. Otherwise a member that takes
 * over such a shard must wait as long as the earlier incarnation might still
 * have been granting it, which is a lease duration for each restart. With all
 * processes killed at once these waits added up to seven seconds without an
 * owner, and to under three seconds with this rule.
 */
static void replace_as_successor(struct shard *sh, int64_t old, int64_t new,
				 int64_t offset)
{
	if (sh->successor == old)
		fleet_set_successor(sh, sh->owner == new ? 0 : new, offset);
	if (sh->prev_successor == old)
		sh->prev_successor = new;
	if (sh->older_successor == old)
		sh->older_successor = new;
}

/*
 * Transfer to m what its host's earlier incarnation had. To be called before
 * the earlier incarnation is removed.
 */
void rejoin_transfer_shards(struct fleet *f, const struct member *old,
			    const struct member *m, int64_t offset,
			    const json_t *record)
{
	struct fleet_service *s = fleet_service(f, m->service);
	bool keep;
	uint32_t i;

	if (!s || strcmp(old->service, m->service))
		return;
	keep = keeps_shards(s, old, m);
	for (i = 0; i < s->n_shards; i++) {
		if (keep && s->shards[i].owner == old->id)
			transfer_shard(f, s, i, m, offset, record);
		if (s->key_numbers && m->server_instance_id[0] &&
		    old->server_instance_id[0])
			replace_as_successor(&s->shards[i], old->id, m->id,
					     offset);
	}
}

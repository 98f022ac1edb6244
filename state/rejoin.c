#include <string.h>

#include "state/internal.h"

/*
 * A host joins again: what its earlier incarnation owned, and where that was
 * named as an heir.
 */

bool rejoin_supersedes(const struct member *m, const struct member *old)
{
	/*
	 * A process killed and started again would otherwise keep its keys
	 * unserved until its witnesses prove the stop, and a fleet restarted
	 * whole has no witnesses left to prove it. Under one boot of one host
	 * the kernel lets a single process listen on the peer address, so the
	 * newer process is itself the proof that the older one is gone.
	 */
	return !strcmp(old->host, m->host) && !strcmp(old->peer, m->peer) &&
	       old->boot_id[0] && !strcmp(old->boot_id, m->boot_id);
}

/* Whether the backend server that the earlier incarnation had is gone too. */
bool rejoin_server_restarted(const struct member *m, const struct member *old)
{
	return m->server_instance_id[0] && old->server_instance_id[0] &&
	       strcmp(old->server_instance_id, m->server_instance_id);
}

/*
 * Whether the keys of a host that joined again keep there. Beside a backend
 * server that lived on they do: given to the heirs they would have to be let
 * go and taken up elsewhere, and move back later. With a new process and a new
 * life the whole host was off, most likely with many others, and moving would
 * pile the keys of all on those who come back first. A server that started
 * again beside its process is cold, and its heirs are warm.
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
 * The new incarnation takes a shard over, and serves it once the successor,
 * who may have taken over by now, says that it does not hold it.
 */
static void transfer_shard(struct fleet *f, struct fleet_service *s, uint32_t i,
			   const struct member *m, int64_t offset,
			   const json_t *record)
{
	struct shard *sh = &s->shards[i];

	/*
	 * There is room for the predecessors of two moves. A host that joins
	 * again several times before it settles would need more, and without
	 * room its keys went to the heirs. Its own incarnations are all gone,
	 * so one place with the same successor tells as much as two.
	 */
	if (sh->prev_owner && !fleet_member(f, sh->prev_owner) &&
	    sh->prev_successor == sh->successor) {
		fleet_set_owner(f, s, i, m->id, offset, record,
				FLEET_REASON_SERVER_KEPT);
		fleet_set_successor(sh, sh->successor, offset);
		return;
	}
	fleet_move_shard(f, s, i, m->id, sh->successor, offset, record,
			 FLEET_REASON_SERVER_KEPT);
}

/*
 * Where the earlier incarnation was named as an heir, the new one takes its
 * place and answers for what its backend server holds, which that server tells
 * in its heartbeats. Otherwise whoever takes such a shard must wait for as long
 * as the earlier one might have been granting it, a lease's length, for each
 * restart: with all processes killed at once that added up to seven seconds
 * without an owner, and to under three with this.
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

/* Give m what its host's earlier incarnation had, before that one goes. */
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

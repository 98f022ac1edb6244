#include <string.h>

#include "member/internal.h"

/*
 * How long a backend server may still be busy with a shard after its node
 * failed without releasing it. The next owner of the shard waits for that time.
 */

/*
 * The wait in ms that operators add where backend servers do not check grants;
 * 0 if there is none.
 */
int64_t holds_guard_ms(const struct member_node *n)
{
	const struct service_settings *s = configuration_service(
		&n->fleet.configuration, n->join_info.service);

	return s ? s->guard_ms : 0;
}

/*
 * The backend server of a killed node may still be busy with its requests until
 * their grant ends. Witnesses wait for that time before they allow a takeover.
 * A restart of the node proves at once that the old process has stopped, so the
 * same wait is added here.
 */
static int64_t server_busy_ms(const struct member_node *n, const char *reason)
{
	int64_t wait = holds_guard_ms(n);

	if (!strcmp(reason, FLEET_REASON_RESTARTED) &&
	    rule_enabled(n, RULE_RESTART_WAITS))
		wait += member_lease_wait_ms(n);
	return wait;
}

static struct hold *hold_of_event(struct member_node *n,
				  const struct fleet_event *ev)
{
	holds_resize(n);
	if (strcmp(ev->service, n->join_info.service) ||
	    ev->shard >= n->n_holds)
		return NULL;
	return &n->holds[ev->shard];
}

static void mark_server_busy(struct member_node *n, struct hold *h,
			     const char *reason)
{
	h->busy_until_ms =
		MAX(h->busy_until_ms, n->now_ms + server_busy_ms(n, reason));
}

/* A record moved a shard of this node's service. */
void holds_on_shard_moved(struct member_node *n, const struct fleet_event *ev)
{
	struct hold *h = hold_of_event(n, ev);
	bool ids_received;

	if (!h)
		return;
	ids_received = ev->from && h->ids_sender == ev->from &&
		       h->ids_sender_fence == ev->fence_before;
	if (ev->from && !fleet_member(&n->fleet, ev->from) && !ids_received)
		mark_server_busy(n, h, ev->reason);
	h->moved_from = ev->from;
	if (ev->to != n->self_id || !n->self_id || h->state == HOLD_HELD)
		return;
	h->has_ids = !ev->from || ids_received;
	if (!ev->from)
		h->ids_unknown_since_ms = 0;
}

/*
 * The successor of a shard was removed. It may already have served the shard.
 */
void holds_on_successor_removed(struct member_node *n,
				const struct fleet_event *ev)
{
	struct hold *h = hold_of_event(n, ev);

	if (h)
		mark_server_busy(n, h, ev->reason);
}

/*
 * Whether the new process on a host took the shard over from the previous
 * process, beside a backend server that holds it by a grant. The new process
 * answers for that grant, so no wait is needed. This is decided by the server
 * instance in the log, not by this node's: a process reads the log before the
 * first heartbeat of its own server, and would otherwise wait for a lease's
 * length for each restart in the log.
 */
static bool is_transferred_with_server(const struct member_node *n,
				       const struct shard *sh,
				       const struct fleet_event *ev)
{
	return sh->owner == ev->offset + 1 && member_service(n)->key_numbers &&
	       ev->member->server_instance_id[0];
}

/*
 * A member was removed. The backend server may still be busy with each shard
 * that the member may have served.
 */
void holds_on_member_removed(struct member_node *n,
			     const struct fleet_event *ev)
{
	int64_t id = ev->member->id;
	uint32_t i;

	for (i = 0; i < n->n_holds; i++) {
		const struct shard *sh = holds_shard(n, i);

		if (is_transferred_with_server(n, sh, ev))
			continue;
		if (sh->prev_owner == id || sh->prev_successor == id ||
		    sh->older_owner == id || sh->older_successor == id)
			mark_server_busy(n, &n->holds[i], ev->reason);
	}
}

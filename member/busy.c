#include <string.h>

#include "member/internal.h"

/*
 * A backend server that lost its node at once may be busy with a shard for a
 * while. Whoever gets the shard waits that long.
 */

/* What operators add where backend servers do not check grants. */
int64_t holds_guard_ms(const struct member_node *n)
{
	const struct service_settings *s =
		configuration_service(&n->fleet.configuration, n->me.service);

	return s ? s->guard_ms : 0;
}

/*
 * The backend server of a killed node may still be busy with what it was
 * given, for as long as the grant lasts. Witnesses wait that long before they
 * let anybody take over; a restart that proves the stop at once does not.
 */
static int64_t server_busy_ms(const struct member_node *n, const char *reason)
{
	int64_t wait = holds_guard_ms(n);

	if (!strcmp(reason, FLEET_REASON_RESTARTED) &&
	    rule_on(n, RULE_RESTART_WAITS))
		wait += member_wait_ms(n);
	return wait;
}

static struct hold *hold_of_event(struct member_node *n,
				  const struct fleet_event *ev)
{
	holds_resize(n);
	if (strcmp(ev->service, n->me.service) || ev->shard >= n->n_holds)
		return NULL;
	return &n->holds[ev->shard];
}

static void mark_server_busy(struct member_node *n, struct hold *h,
			     const char *reason)
{
	h->busy_until_ms =
		MAX(h->busy_until_ms, n->now_ms + server_busy_ms(n, reason));
}

/* The log moved a shard of our service. */
void holds_on_shard_moved(struct member_node *n, const struct fleet_event *ev)
{
	struct hold *h = hold_of_event(n, ev);
	bool handed_over;

	if (!h)
		return;
	handed_over = ev->from && h->ids_sender == ev->from &&
		      h->ids_sender_fence == ev->fence_before;
	if (ev->from && !fleet_member(&n->fleet, ev->from) && !handed_over)
		mark_server_busy(n, h, ev->reason);
	h->moved_from = ev->from;
	if (ev->to != n->self || !n->self || h->state == HOLD_HELD)
		return;
	h->has_ids = !ev->from || handed_over;
	if (!ev->from)
		h->ids_unknown_since_ms = 0;
}

/* The heir of a shard, which may have held it already, is gone. */
void holds_on_successor_removed(struct member_node *n,
				const struct fleet_event *ev)
{
	struct hold *h = hold_of_event(n, ev);

	if (h)
		mark_server_busy(n, h, ev->reason);
}

/*
 * Whether a host's new process has taken a shard over beside a server that
 * holds it by grants, and so answers for it. That is told by the life that the
 * log has, not by ours: a process reads the log before its own server has been
 * heard, and would otherwise wait a lease's length for each restart in it.
 */
static bool is_transferred_with_server(const struct member_node *n,
				       const struct shard *sh,
				       const struct fleet_event *ev)
{
	return sh->owner == ev->offset + 1 && member_service(n)->key_numbers &&
	       ev->member->life[0];
}

/* A member is gone: what it may still have held is busy for a while. */
void holds_on_member_removed(struct member_node *n,
			     const struct fleet_event *ev)
{
	int64_t id = ev->member->id;
	uint32_t i;

	for (i = 0; i < n->n_holds; i++) {
		const struct shard *sh = holds_shard(n, i);

		if (is_transferred_with_server(n, sh, ev))
			continue;
		if (sh->from == id || sh->from_successor == id ||
		    sh->earlier_from == id || sh->earlier_successor == id)
			mark_server_busy(n, &n->holds[i], ev->reason);
	}
}

#include <string.h>

#include "member/internal.h"

/*
 * A backend server that lost its node at once may be busy with a shard for a
 * while. Whoever gets the shard waits that long.
 */

/* What operators add where backend servers do not check grants. */
int64_t holds_guard_ms(const struct member_node *n)
{
	const struct service_settings *s = configuration_service(
		&n->fleet.configuration, n->join_info.service);

	return s ? s->guard_ms : 0;
}

/*
 * The backend server of a killed node may still be busy with what it was
 * given, for as long as the grant lasts. Witnesses wait that long before they
 * let anybody take over; a restart that proves the stop at once does not.
 */
static int64_t abrupt_wait_ms(const struct member_node *n, const char *reason)
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

static void expect_busy(struct member_node *n, struct hold *h,
			const char *reason)
{
	h->busy_until_ms =
		MAX(h->busy_until_ms, n->now_ms + abrupt_wait_ms(n, reason));
}

/* The log moved a shard of our service. */
void holds_on_moved(struct member_node *n, const struct fleet_event *ev)
{
	struct hold *h = hold_of_event(n, ev);
	bool handed_over;

	if (!h)
		return;
	handed_over = ev->from && h->ids_from == ev->from &&
		      h->ids_fence == ev->fence_before;
	if (ev->from && !fleet_member(&n->fleet, ev->from) && !handed_over)
		expect_busy(n, h, ev->reason);
	h->owner_before = ev->from;
	if (ev->to != n->self_id || !n->self_id || h->state == HOLD_HELD)
		return;
	h->has_ids = !ev->from || handed_over;
	if (!ev->from)
		h->blind_since_ms = 0;
}

/* The heir of a shard, which may have held it already, is gone. */
void holds_on_successor_gone(struct member_node *n,
			     const struct fleet_event *ev)
{
	struct hold *h = hold_of_event(n, ev);

	if (h)
		expect_busy(n, h, ev->reason);
}

/*
 * Whether a host's new process has taken a shard over beside a server that
 * holds it by grants, and so answers for it. That is told by the life that the
 * log has, not by ours: a process reads the log before its own server has been
 * heard, and would otherwise wait a lease's length for each restart in it.
 */
static bool adopted(const struct member_node *n, const struct shard *sh,
		    const struct fleet_event *ev)
{
	return sh->owner == ev->offset + 1 && member_service(n)->key_numbers &&
	       ev->member->server_instance_id[0];
}

/* A member is gone: what it may still have held is busy for a while. */
void holds_on_gone(struct member_node *n, const struct fleet_event *ev)
{
	int64_t id = ev->member->id;
	uint32_t i;

	for (i = 0; i < n->n_holds; i++) {
		const struct shard *sh = holds_shard(n, i);

		if (adopted(n, sh, ev))
			continue;
		if (sh->prev_owner == id || sh->prev_successor == id ||
		    sh->older_owner == id || sh->older_successor == id)
			expect_busy(n, &n->holds[i], ev->reason);
	}
}

#include <string.h>

#include "member/internal.h"
#include "util/counters.h"

static struct stop_promise *find_promise(const struct member_node *n,
					 int64_t subject, int64_t witness)
{
	uint32_t i;

	for (i = 0; i < n->stop_promises->len; i++) {
		struct stop_promise *p = &g_array_index(n->stop_promises,
							struct stop_promise, i);

		if (p->subject == subject && p->witness == witness)
			return p;
	}
	return NULL;
}

/*
 * Whether a majority of a set of witnesses promised not to vouch for subject
 * again. Raises promise_offset to the highest offset that a promise carries.
 */
static bool majority_promised(const struct member_node *n, int64_t subject,
			      const struct witness_set *w,
			      int64_t *promise_offset)
{
	uint32_t promised = 0;
	uint32_t i;

	for (i = 0; i < w->n; i++) {
		struct stop_promise *p = find_promise(n, subject, w->id[i]);

		if (!p)
			continue;
		promised++;
		*promise_offset = MAX(*promise_offset, p->promise_offset);
	}
	if (!rule_enabled(n, RULE_MAJORITY))
		return promised > 0;
	return promised >= w->n / 2 + 1;
}

/*
 * Whether one set of a member's witnesses allows its removal: the set includes
 * the log, or a majority of it promised not to vouch again and this node has
 * applied all that they had applied.
 */
bool takeover_set_allows_expel(const struct member_node *n, int64_t subject,
			       const struct witness_set *w)
{
	int64_t promise_offset = -1;

	return witness_set_has(w, LOG_WITNESS) ||
	       (majority_promised(n, subject, w, &promise_offset) &&
		promise_offset <= n->fleet.applied);
}

/*
 * Whether a member is proved to have stopped for good: a majority of its
 * witnesses, of both sets while a change is not settled, promised not to vouch
 * for it again, and this node has applied every record that they had applied
 * when they promised.
 */
bool takeover_stop_proved(const struct member_node *n, int64_t subject)
{
	const struct member *m;
	int64_t promise_offset = -1;

	if (!n->stop_promises->len)
		return false;
	m = fleet_member(&n->fleet, subject);
	if (!m ||
	    !majority_promised(n, subject, &m->witnesses, &promise_offset))
		return false;
	if (m->old_witnesses.n && rule_enabled(n, RULE_OLD_WITNESSES_COUNT) &&
	    !majority_promised(n, subject, &m->old_witnesses, &promise_offset))
		return false;
	/*
	 * The subject may have released a shard to another member because of a
	 * record that this node lacks. It releases only once a majority of its
	 * witnesses has applied that record, so at least one of the promises
	 * received carries an offset that includes it.
	 */
	return promise_offset <= n->fleet.applied ||
	       !rule_enabled(n, RULE_SUCCESSOR_CATCHES_UP);
}

/* When the last promise about a member was received, 0 for none. */
int64_t takeover_last_promise_at_ms(const struct member_node *n,
				    int64_t subject)
{
	int64_t since = 0;
	uint32_t i;

	for (i = 0; i < n->stop_promises->len; i++) {
		struct stop_promise *p = &g_array_index(n->stop_promises,
							struct stop_promise, i);

		if (p->subject == subject)
			since = MAX(since, p->received_at_ms);
	}
	return since;
}

static void add_stopped(struct member_node *n, int64_t id)
{
	if (!fleet_member(&n->fleet, id) || member_known_stopped(n, id))
		return;
	g_array_append_val(n->stopped_members, id);
	member_note(n, NOTE_STOPPED, id);
}

/*
 * Add members that a peer reports as stopped. This is a hint for routing, not a
 * proof.
 */
void takeover_mark_stopped(struct member_node *n, const GArray *ids)
{
	uint32_t i;

	for (i = 0; ids && i < ids->len; i++)
		add_stopped(n, g_array_index(ids, int64_t, i));
}

bool member_known_stopped(const struct member_node *n, int64_t id)
{
	return ids_contain(n->stopped_members, id);
}

/*
 * A witness sends its promise not to vouch for a member again. The member may
 * be this node.
 */
void takeover_on_promise(struct member_node *n, const struct member_msg *msg)
{
	struct stop_promise p = { .subject = msg->subject,
				  .witness = msg->flags,
				  .promise_offset = msg->offset,
				  .received_at_ms = n->now_ms };

	if (msg->subject == n->self_id) {
		lease_on_denied(n, msg);
		return;
	}
	if (!msg->flags || find_promise(n, msg->subject, msg->flags))
		return;
	if (!fleet_member(&n->fleet, msg->subject))
		return;
	g_array_append_val(n->stop_promises, p);
	if (takeover_stop_proved(n, msg->subject)) {
		add_stopped(n, msg->subject);
		COUNT(takeovers);
	} else if (msg->offset > n->fleet.applied) {
		sync_fetch(n, msg->from);
	}
}

/* Delete all promises about a removed member, and its id in stopped_members. */
void takeover_on_member_removed(struct member_node *n, int64_t subject)
{
	uint32_t i;

	for (i = n->stop_promises->len; i-- > 0;)
		if (g_array_index(n->stop_promises, struct stop_promise, i)
			    .subject == subject)
			g_array_remove_index_fast(n->stop_promises, i);
	for (i = n->stopped_members->len; i-- > 0;)
		if (g_array_index(n->stopped_members, int64_t, i) == subject)
			g_array_remove_index_fast(n->stopped_members, i);
}

/*
 * Delete the promises about members that a loaded snapshot no longer lists, and
 * their ids in stopped_members. Loading a snapshot gives no event for a
 * removal.
 */
void takeover_tick(struct member_node *n)
{
	uint32_t i;

	for (i = n->stop_promises->len; i-- > 0;)
		if (!fleet_member(&n->fleet,
				  g_array_index(n->stop_promises,
						struct stop_promise, i)
					  .subject))
			g_array_remove_index_fast(n->stop_promises, i);
	for (i = n->stopped_members->len; i-- > 0;)
		if (!fleet_member(&n->fleet, g_array_index(n->stopped_members,
							   int64_t, i)))
			g_array_remove_index_fast(n->stopped_members, i);
}

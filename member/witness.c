#include <string.h>

#include "member/internal.h"
#include "util/counters.h"
#include "util/invariant.h"

/* Interval at which a promise is sent again while its subject is a member. */
#define PROMISE_RESEND_MS 500

static struct witnessed_member *find_witnessed(const struct member_node *n,
					       int64_t subject)
{
	uint32_t i;

	for (i = 0; i < n->witnessed->len; i++) {
		struct witnessed_member *w = &g_array_index(
			n->witnessed, struct witnessed_member, i);

		if (w->subject == subject)
			return w;
	}
	return NULL;
}

/* Whether m names this process as a witness, in its old or its new set. */
static bool is_witness_of(const struct member_node *n, const struct member *m)
{
	return n->process && m && m->process != n->process &&
	       (witness_set_has(&m->witnesses, n->process) ||
		witness_set_has(&m->old_witnesses, n->process));
}

static bool is_log_witnessed(const struct member *m)
{
	return witness_set_has(&m->witnesses, LOG_WITNESS) ||
	       witness_set_has(&m->old_witnesses, LOG_WITNESS);
}

/*
 * Update the entries of members that this process watches: those that name it
 * as a witness, and those that have the log as a witness.
 */
void witness_update_subjects(struct member_node *n)
{
	struct member *m;
	uint32_t i;

	for (i = n->witnessed->len; i-- > 0;) {
		struct witnessed_member *w = &g_array_index(
			n->witnessed, struct witnessed_member, i);

		m = fleet_member(&n->fleet, w->subject);
		/*
		 * A member may replace this process as its witness and name it
		 * again later. If the promise were forgotten in between, this
		 * process would vouch again while another node may still use
		 * the promise to take over.
		 */
		if (m && w->promised && rule_enabled(n, RULE_PROMISE_PERSISTS))
			continue;
		if (!m || (!is_witness_of(n, m) && !is_log_witnessed(m)))
			g_array_remove_index_fast(n->witnessed, i);
	}
	for_each_member (&n->fleet, m, i) {
		struct witnessed_member w = { .subject = m->id,
					      .last_request_at_ms = n->now_ms };

		if (m->process == n->process || find_witnessed(n, m->id))
			continue;
		if (is_witness_of(n, m) || is_log_witnessed(m))
			g_array_append_val(n->witnessed, w);
	}
}

/* Send the promise not to vouch for subject again to one member. */
static void send_stop_promise(struct member_node *n, int64_t to,
			      int64_t subject, int64_t promise_offset)
{
	struct member_msg msg;

	if (to == n->self_id)
		return;
	member_msg_init(&msg, MSG_STOP_PROMISE);
	msg.flags = n->process;
	msg.subject = subject;
	msg.offset = promise_offset;
	member_send(n, to, &msg);
}

/*
 * Ids of the successors of all shards that a member owns, each id once. The
 * caller must free the array.
 */
GArray *member_successors(const struct member_node *n, int64_t subject)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(int64_t));
	const struct member *m = fleet_member(&n->fleet, subject);
	struct fleet_service *s = m ? fleet_service(&n->fleet, m->service)
				    : NULL;
	uint32_t i;

	for (i = 0; s && i < s->n_shards; i++) {
		const struct shard *sh = &s->shards[i];
		int64_t id = sh->successor;

		if (sh->owner != subject || !id)
			continue;
		if (!ids_contain(out, id))
			g_array_append_val(out, id);
	}
	return out;
}

/* Send a promise to all that may act on it, this node included. */
static void send_stop_promises(struct member_node *n,
			       struct witnessed_member *w)
{
	const struct member *m = fleet_member(&n->fleet, w->subject);
	GArray *to = member_successors(n, w->subject);
	struct member_msg own;
	uint32_t i;

	for (i = 0; i < to->len; i++)
		send_stop_promise(n, g_array_index(to, int64_t, i), w->subject,
				  w->promise_offset);
	/* The other witnesses propose the removal when no successor is left. */
	for (i = 0; m && i < m->witnesses.n; i++) {
		const struct member *other =
			fleet_member_by_process(&n->fleet, m->witnesses.id[i]);

		if (other)
			send_stop_promise(n, other->id, w->subject,
					  w->promise_offset);
	}
	g_array_unref(to);
	member_msg_init(&own, MSG_STOP_PROMISE);
	own.flags = n->process;
	own.subject = w->subject;
	own.offset = w->promise_offset;
	takeover_on_promise(n, &own);
	w->promise_sent_at_ms = n->now_ms;
}

static void promise_stop(struct member_node *n, struct witnessed_member *w)
{
	w->promised = true;
	/*
	 * This node may have applied a record that moved shards of the subject,
	 * while a successor that cannot reach the log has not. The promise
	 * carries this node's applied offset, and the successor serves only
	 * after it has caught up to that.
	 */
	w->promise_offset = n->fleet.applied;
	COUNT(stops_promised);
	member_note(n, "promised not to vouch again for", w->subject);
	send_stop_promises(n, w);
}

/*
 * Promise not to vouch again for each member whose last vouch has expired, and
 * send promises again that are due.
 */
void witness_tick(struct member_node *n)
{
	uint32_t i;

	for (i = 0; i < n->witnessed->len; i++) {
		struct witnessed_member *w = &g_array_index(
			n->witnessed, struct witnessed_member, i);
		int64_t wait = member_lease_wait_ms(n);

		if (!is_witness_of(n, fleet_member(&n->fleet, w->subject)))
			continue;
		if (!rule_enabled(n, RULE_WITNESS_WAITS))
			wait = n->timing.vouch_interval_ms + 100;
		if (!w->promised && n->now_ms - w->last_request_at_ms >= wait)
			promise_stop(n, w);
		else if (w->promised &&
			 n->now_ms - w->promise_sent_at_ms >= PROMISE_RESEND_MS)
			send_stop_promises(n, w);
	}
}

/*
 * A member asks this process to vouch. Instead of a vouch it gets a promise not
 * to vouch again if the log has removed it, or if one was made before.
 */
void witness_on_request(struct member_node *n, const struct member_msg *msg)
{
	const struct member *m = fleet_member(&n->fleet, msg->from);
	struct witnessed_member *w = find_witnessed(n, msg->from);
	struct member_msg answer;

	if (!m && msg->from <= n->fleet.applied + 1) {
		send_stop_promise(n, msg->from, msg->from, n->fleet.applied);
		return;
	}
	if (!m || !w)
		return;
	if (w->promised && rule_enabled(n, RULE_STOP_IS_FINAL)) {
		send_stop_promise(n, msg->from, msg->from, w->promise_offset);
		return;
	}
	w->last_request_at_ms = n->now_ms;
	if (!is_witness_of(n, m))
		return;
#ifndef RULE_SWITCHES
	INVARIANT(!w->promised, "vouched for a member after promising not to");
#endif
	member_msg_init(&answer, MSG_VOUCH);
	answer.requested_at_ms = msg->requested_at_ms;
	answer.flags = n->process;
	answer.list = g_array_ref(n->stopped_members);
	member_send(n, msg->from, &answer);
	member_msg_finish(&answer);
	COUNT(vouches_given);
}

/* A member reports that it has stopped: no need to wait for its lease to end. */
void witness_on_resign(struct member_node *n, const struct member_msg *msg)
{
	const struct member *m = fleet_member(&n->fleet, msg->from);
	struct witnessed_member *w = find_witnessed(n, msg->from);

	if (!w || !is_witness_of(n, m))
		return;
	if (!w->promised)
		promise_stop(n, w);
	send_stop_promise(n, msg->from, msg->from, w->promise_offset);
}

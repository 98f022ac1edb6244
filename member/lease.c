#include <string.h>

#include "member/internal.h"
#include "util/counters.h"

static struct witness_status *find_witness_status(const struct member_node *n,
						  int64_t witness)
{
	uint32_t i;

	for (i = 0; i < n->own_witnesses->len; i++) {
		struct witness_status *v = &g_array_index(
			n->own_witnesses, struct witness_status, i);

		if (v->witness == witness)
			return v;
	}
	return NULL;
}

/* Add an entry for each witness in w that has none. */
static void add_missing_witnesses(struct member_node *n,
				  const struct witness_set *w)
{
	uint32_t i;

	for (i = 0; i < w->n; i++) {
		struct witness_status v = { .witness = w->id[i],
					    .applied = -1 };

		if (w->id[i] != LOG_WITNESS &&
		    !find_witness_status(n, w->id[i]))
			g_array_append_val(n->own_witnesses, v);
	}
}

/* Keep an entry for each witness of the old and the new set, and no other. */
static void update_own_witnesses(struct member_node *n, const struct member *m)
{
	uint32_t i;

	for (i = n->own_witnesses->len; i-- > 0;) {
		struct witness_status *v = &g_array_index(
			n->own_witnesses, struct witness_status, i);

		if (!witness_set_has(&m->witnesses, v->witness) &&
		    !witness_set_has(&m->old_witnesses, v->witness))
			g_array_remove_index_fast(n->own_witnesses, i);
	}
	add_missing_witnesses(n, &m->witnesses);
	add_missing_witnesses(n, &m->old_witnesses);
}

static int compare_descending(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

/*
 * The latest time for which a majority of a set has vouched for a request sent
 * then or later, 0 for none. For the log it is when the last read that reached
 * its end began.
 */
static int64_t set_lease_start_ms(const struct member_node *n,
				  const struct witness_set *w)
{
	int64_t sent[FLEET_MAX_WITNESSES];
	uint32_t i;

	for (i = 0; i < w->n; i++) {
		struct witness_status *v = find_witness_status(n, w->id[i]);

		sent[i] = v ? v->request_sent_at_ms : 0;
		if (w->id[i] == LOG_WITNESS)
			sent[i] = n->log_read_started_at_ms;
	}
	if (!w->n)
		return 0;
	qsort(sent, w->n, sizeof(sent[0]), compare_descending);
	/*
	 * A majority is needed since any two majorities share a witness. With
	 * fewer vouches another node could collect the promises of the other
	 * witnesses and take over.
	 */
	return sent[rule_enabled(n, RULE_MAJORITY) ? w->n / 2 : 0];
}

/*
 * The time that the lease counts from, or 0 without one. While a change of
 * witnesses is not settled, a successor takes over only with promises of a
 * majority of the old witnesses, and if it has read of the change, of a
 * majority of the new ones too. So vouches of the old witnesses are enough,
 * which leaves time to ask the new ones. That changes when this node appends
 * the record that settles the change: others may read it before this node does,
 * and then only the new witnesses count for them. From lease_prepare_settle()
 * on, therefore, both sets have to vouch.
 */
static int64_t lease_start_ms(const struct member_node *n,
			      const struct member *m)
{
	int64_t by_new = set_lease_start_ms(n, &m->witnesses);
	int64_t by_old;

	if (!m->old_witnesses.n || !rule_enabled(n, RULE_OLD_WITNESSES_COUNT))
		return by_new;
	by_old = set_lease_start_ms(n, &m->old_witnesses);
	if (n->settling_offset == m->witness_offset &&
	    rule_enabled(n, RULE_NEW_WITNESSES_COUNT))
		return MIN(by_new, by_old);
	return by_old;
}

int64_t member_lease_end_ms(const struct member_node *n)
{
	const struct member *m = fleet_member(&n->fleet, n->self_id);
	int64_t vouched;

	if (!n->self_id || !m)
		return 0;
	vouched = lease_start_ms(n, m);
	return vouched ? vouched + n->timing.lease_ms : 0;
}

/*
 * Whether the new witnesses alone vouched within the last half of a lease's
 * length, so that the lease continues when only they count.
 */
bool lease_new_set_vouches(const struct member_node *n, const struct member *m)
{
	int64_t vouched = set_lease_start_ms(n, &m->witnesses);

	return vouched && n->now_ms - vouched < n->timing.lease_ms / 2;
}

/*
 * Prepare to settle a change of witnesses. Once other nodes read the record
 * that settles it, only the new witnesses count for them. The lease by the new
 * witnesses may end before the lease under which requests in flight were
 * started. So from here on the lease is the shorter of those by both sets, and
 * the record may be appended once the lease by the new witnesses lasts at least
 * until the lease before this call would have ended; see
 * lease_new_set_covers(). The preparation is cancelled when the new witnesses
 * stop vouching before that.
 */
void lease_prepare_settle(struct member_node *n, const struct member *m)
{
	if (n->settling_offset != m->witness_offset) {
		n->settle_lease_until_ms = member_lease_end_ms(n);
		n->settle_sent = false;
		n->settling_offset = m->witness_offset;
	} else if (!n->settle_sent && !lease_new_set_vouches(n, m)) {
		n->settling_offset = 0;
	}
}

/*
 * Whether the lease by the new witnesses alone lasts at least as long as any
 * lease that requests were started under before lease_prepare_settle().
 */
bool lease_new_set_covers(const struct member_node *n, const struct member *m)
{
	return n->settling_offset == m->witness_offset &&
	       set_lease_start_ms(n, &m->witnesses) + n->timing.lease_ms >=
		       n->settle_lease_until_ms;
}

/* Whether this node has a lease now. */
bool lease_valid(const struct member_node *n)
{
	return member_lease_end_ms(n) > n->now_ms;
}

static bool set_is_irrecoverable(const struct member_node *n,
				 const struct witness_set *w)
{
	uint32_t denied = 0;
	uint32_t i;

	for (i = 0; i < w->n; i++) {
		struct witness_status *v = find_witness_status(n, w->id[i]);

		denied += v && v->denied;
	}
	return w->n && w->n - denied < w->n / 2 + 1;
}

/*
 * Whether so many witnesses promised not to vouch again that this member cannot
 * have another lease.
 */
bool lease_is_irrecoverable(const struct member_node *n)
{
	const struct member *m = fleet_member(&n->fleet, n->self_id);

	if (!m)
		return false;
	return set_is_irrecoverable(n, &m->witnesses) ||
	       set_is_irrecoverable(n, &m->old_witnesses);
}

/*
 * Whether a majority of a set is still able to vouch: processes that are
 * members and have not promised never to vouch again.
 */
bool lease_obtainable_from(const struct member_node *n,
			   const struct witness_set *w)
{
	uint32_t able = 0;
	uint32_t i;

	for (i = 0; i < w->n; i++) {
		struct witness_status *v = find_witness_status(n, w->id[i]);

		able += w->id[i] == LOG_WITNESS ||
			(fleet_member_by_process(&n->fleet, w->id[i]) &&
			 !(v && v->denied));
	}
	return able >= w->n / 2 + 1;
}

/*
 * Whether a majority of a set reported, in a vouch, that it has applied the
 * record at offset. Any majority of promises from that set then includes one
 * with at least that offset, and a successor must apply the record before it
 * takes over.
 */
bool lease_majority_applied(const struct member_node *n,
			    const struct witness_set *w, int64_t offset)
{
	uint32_t applied = 0;
	uint32_t i;

	for (i = 0; i < w->n; i++) {
		struct witness_status *v = find_witness_status(n, w->id[i]);

		applied += w->id[i] == LOG_WITNESS ||
			   (v && v->applied >= offset);
	}
	return applied >= w->n / 2 + 1;
}

static void send_vouch_request(struct member_node *n, int64_t process,
			       int64_t to)
{
	struct member_msg msg;

	member_msg_init(&msg, MSG_VOUCH_REQUEST);
	msg.requested_at_ms = n->now_ms;
	msg.flags = process;
	member_send(n, to, &msg);
	COUNT(vouches_sent);
}

/*
 * Ask all witnesses to vouch. With the log as a witness, ask all members, so
 * that each sees that this one is running.
 */
static void send_vouch_requests(struct member_node *n, const struct member *m)
{
	struct member *other;
	uint32_t i;

	if (witness_set_has(&m->witnesses, LOG_WITNESS) ||
	    witness_set_has(&m->old_witnesses, LOG_WITNESS)) {
		for_each_member (&n->fleet, other, i)
			if (other->id != n->self_id)
				send_vouch_request(n, other->process,
						   other->id);
		return;
	}
	for (i = 0; i < n->own_witnesses->len; i++) {
		struct witness_status *v = &g_array_index(
			n->own_witnesses, struct witness_status, i);

		/*
		 * A process that is no longer a member still keeps its promises
		 * and may vouch until its replacement as a witness is settled.
		 * Otherwise this node would lose its lease when two witnesses
		 * leave at once.
		 */
		other = fleet_member_by_process(&n->fleet, v->witness);
		if (other)
			v->member = other->id;
		if (v->member)
			send_vouch_request(n, v->witness, v->member);
	}
}

/* Send the next vouch requests within 20 ms instead of after the interval. */
void lease_request_soon(struct member_node *n)
{
	int64_t soon = n->now_ms + 20;

	n->next_vouch_request_at_ms = MIN(n->next_vouch_request_at_ms, soon);
}

/*
 * Send vouch requests when due, and report when the lease is gained or lapses.
 */
void lease_tick(struct member_node *n)
{
	const struct member *m = fleet_member(&n->fleet, n->self_id);
	bool valid;

	if (!m)
		return;
	update_own_witnesses(n, m);
	if (n->now_ms >= n->next_vouch_request_at_ms &&
	    !lease_is_irrecoverable(n)) {
		n->next_vouch_request_at_ms =
			n->now_ms + n->timing.vouch_interval_ms;
		send_vouch_requests(n, m);
	}
	valid = lease_valid(n);
	if (n->had_lease && !valid)
		COUNT(lease_lapses);
	if (n->had_lease != valid)
		member_note(n, valid ? NOTE_LEASE_GAINED : NOTE_LEASE_LAPSED,
			    n->self_id);
	n->had_lease = valid;
	n->ever_leased = n->ever_leased || valid;
	if (valid)
		n->no_lease_since_ms = 0;
	else if (!n->no_lease_since_ms)
		n->no_lease_since_ms = n->now_ms;
}

/* A witness answered the vouch request sent at msg->requested_at_ms. */
void lease_on_vouch(struct member_node *n, const struct member_msg *msg)
{
	struct witness_status *v = find_witness_status(n, msg->flags);

	if (!v)
		return;
	/*
	 * The witness waits for a lease's length from when it answers, before
	 * it promises that this node has stopped. A lease that counted from
	 * the arrival of the answer, which may be delayed, could last longer
	 * than that.
	 */
	if (rule_enabled(n, RULE_LEASE_FROM_SENDING))
		v->request_sent_at_ms =
			MAX(v->request_sent_at_ms, msg->requested_at_ms);
	else
		v->request_sent_at_ms = n->now_ms;
	v->applied = MAX(v->applied, msg->applied);
	takeover_mark_stopped(n, msg->list);
}

/* A witness of this node has promised not to vouch for it again. */
void lease_on_denied(struct member_node *n, const struct member_msg *msg)
{
	struct witness_status *v = find_witness_status(n, msg->flags);

	if (!v || v->denied)
		return;
	v->denied = true;
	n->denied_witnesses.id[n->denied_witnesses.n % FLEET_MAX_WITNESSES] =
		v->witness;
	n->denied_witnesses.n =
		MIN(n->denied_witnesses.n + 1, FLEET_MAX_WITNESSES);
	COUNT(vouches_denied);
	member_note(n, "vouch denied by", msg->flags);
}

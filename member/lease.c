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
	 * With fewer than a majority a second owner could gather the other
	 * half of the witnesses' promises; two majorities share a witness.
	 */
	return sent[rule_enabled(n, RULE_MAJORITY) ? w->n / 2 : 0];
}

/*
 * The sending time that a lease counts from. While a change of witnesses is not
 * settled, whoever takes over has stops from a majority of the old ones, and,
 * where it has heard of the change, of the new ones too: so vouches of the old
 * ones are enough, and the new ones have time to be asked. That ends when we
 * send the record that settles the change, which others may read before we do:
 * to them the new ones alone count.
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

/* Whether the lease would go on if only the new witnesses counted. */
bool lease_new_set_vouches(const struct member_node *n, const struct member *m)
{
	int64_t vouched = set_lease_start_ms(n, &m->witnesses);

	return vouched && n->now_ms - vouched < n->timing.lease_ms / 2;
}

/*
 * Once others read of the settling, the new witnesses count alone. Their
 * vouches may be older than those that requests under way were begun by, so the
 * lesser of both sets counts from here on, and the record is sent when the new
 * ones have vouched for as long as anything was begun for.
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

/* Whether the new witnesses alone have vouched for all that we lent. */
bool lease_new_set_covers(const struct member_node *n, const struct member *m)
{
	return n->settling_offset == m->witness_offset &&
	       set_lease_start_ms(n, &m->witnesses) + n->timing.lease_ms >=
		       n->settle_lease_until_ms;
}

/* Whether we may serve at all just now. */
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

/* Whether so many witnesses have promised that no lease can come again. */
bool lease_is_irrecoverable(const struct member_node *n)
{
	const struct member *m = fleet_member(&n->fleet, n->self_id);

	if (!m)
		return false;
	return set_is_irrecoverable(n, &m->witnesses) ||
	       set_is_irrecoverable(n, &m->old_witnesses);
}

/*
 * Whether a majority of a set may yet vouch: processes that are there and have
 * not promised to give no vouch again.
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
 * Whether a majority of a set reported, while still vouching, that it applied
 * the record at offset. A successor then cannot gather a proof from that set
 * without learning of the record.
 */
bool lease_majority_applied(const struct member_node *n,
			    const struct witness_set *w, int64_t offset)
{
	uint32_t know = 0;
	uint32_t i;

	for (i = 0; i < w->n; i++) {
		struct witness_status *v = find_witness_status(n, w->id[i]);

		know += w->id[i] == LOG_WITNESS || (v && v->applied >= offset);
	}
	return know >= w->n / 2 + 1;
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
		 * A witness that is a member no more still keeps its promises
		 * and may vouch until we have settled on another. Two that
		 * leave at once would cost us our lease otherwise.
		 */
		other = fleet_member_by_process(&n->fleet, v->witness);
		if (other)
			v->member = other->id;
		if (v->member)
			send_vouch_request(n, v->witness, v->member);
	}
}

/* Ask on the next tick rather than wait for the interval. */
void lease_request_soon(struct member_node *n)
{
	int64_t soon = n->now_ms + 20;

	n->next_vouch_request_at_ms = MIN(n->next_vouch_request_at_ms, soon);
}

/* Ask for vouches when due and note gain and loss of the lease. */
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

/* A witness vouched for the ask that we sent at msg->seq. */
void lease_on_vouch(struct member_node *n, const struct member_msg *msg)
{
	struct witness_status *v = find_witness_status(n, msg->flags);

	if (!v)
		return;
	/*
	 * The witness starts to wait when it answers. Counting from the
	 * arrival of that answer, which may have been held up on the way,
	 * would let our lease outlast its wait.
	 */
	if (rule_enabled(n, RULE_LEASE_FROM_SENDING))
		v->request_sent_at_ms =
			MAX(v->request_sent_at_ms, msg->requested_at_ms);
	else
		v->request_sent_at_ms = n->now_ms;
	v->applied = MAX(v->applied, msg->applied);
	takeover_mark_stopped(n, msg->list);
}

/* A witness of ours has promised not to vouch for us again. */
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

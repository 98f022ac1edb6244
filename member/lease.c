#include <string.h>

#include "member/internal.h"
#include "util/counters.h"

static struct vouch *find_vouch(const struct member_node *n, int64_t witness)
{
	uint32_t i;

	for (i = 0; i < n->vouches->len; i++) {
		struct vouch *v = &g_array_index(n->vouches, struct vouch, i);

		if (v->witness == witness)
			return v;
	}
	return NULL;
}

static void add_missing(struct member_node *n, const struct witness_set *w)
{
	uint32_t i;

	for (i = 0; i < w->n; i++) {
		struct vouch v = { .witness = w->id[i], .applied = -1 };

		if (w->id[i] != LOG_WITNESS && !find_vouch(n, w->id[i]))
			g_array_append_val(n->vouches, v);
	}
}

static void follow_witness_sets(struct member_node *n, const struct member *m)
{
	uint32_t i;

	for (i = n->vouches->len; i-- > 0;) {
		struct vouch *v = &g_array_index(n->vouches, struct vouch, i);

		if (!witness_set_has(&m->witnesses, v->witness) &&
		    !witness_set_has(&m->old_witnesses, v->witness))
			g_array_remove_index_fast(n->vouches, i);
	}
	add_missing(n, &m->witnesses);
	add_missing(n, &m->old_witnesses);
}

static int descending(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

static int64_t set_vouched_ms(const struct member_node *n,
			      const struct witness_set *w)
{
	int64_t sent[FLEET_MAX_WITNESSES];
	uint32_t i;

	for (i = 0; i < w->n; i++) {
		struct vouch *v = find_vouch(n, w->id[i]);

		sent[i] = v ? v->sent_ms : 0;
		if (w->id[i] == LOG_WITNESS)
			sent[i] = n->log_read_sent_ms;
	}
	if (!w->n)
		return 0;
	qsort(sent, w->n, sizeof(sent[0]), descending);
	/*
	 * With fewer than a majority a second owner could gather the other
	 * half of the witnesses' promises; two majorities share a witness.
	 */
	return sent[rule_on(n, RULE_MAJORITY) ? w->n / 2 : 0];
}

/*
 * The sending time that a lease counts from. While a change of witnesses is not
 * settled, whoever takes over has stops from a majority of the old ones, and,
 * where it has heard of the change, of the new ones too: so vouches of the old
 * ones are enough, and the new ones have time to be asked. That ends when we
 * send the record that settles the change, which others may read before we do:
 * to them the new ones alone count.
 */
static int64_t vouched_ms(const struct member_node *n, const struct member *m)
{
	int64_t by_new = set_vouched_ms(n, &m->witnesses);
	int64_t by_old;

	if (!m->old_witnesses.n || !rule_on(n, RULE_OLD_WITNESSES_COUNT))
		return by_new;
	by_old = set_vouched_ms(n, &m->old_witnesses);
	if (n->settling == m->witness_offset &&
	    rule_on(n, RULE_NEW_WITNESSES_COUNT))
		return MIN(by_new, by_old);
	return by_old;
}

int64_t member_lease_end_ms(const struct member_node *n)
{
	const struct member *m = fleet_member(&n->fleet, n->self);
	int64_t vouched;

	if (!n->self || !m)
		return 0;
	vouched = vouched_ms(n, m);
	return vouched ? vouched + n->timing.lease_ms : 0;
}

/* Whether the lease would go on if only the new witnesses counted. */
bool lease_by_new_witnesses(const struct member_node *n, const struct member *m)
{
	int64_t vouched = set_vouched_ms(n, &m->witnesses);

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
	if (n->settling != m->witness_offset) {
		n->lent_until_ms = member_lease_end_ms(n);
		n->settle_sent = false;
		n->settling = m->witness_offset;
	} else if (!n->settle_sent && !lease_by_new_witnesses(n, m)) {
		n->settling = 0;
	}
}

/* Whether the new witnesses alone have vouched for all that we lent. */
bool lease_covers_lent(const struct member_node *n, const struct member *m)
{
	return n->settling == m->witness_offset &&
	       set_vouched_ms(n, &m->witnesses) + n->timing.lease_ms >=
		       n->lent_until_ms;
}

/* Whether we may serve at all just now. */
bool lease_valid(const struct member_node *n)
{
	return member_lease_end_ms(n) > n->now_ms;
}

static bool set_is_lost(const struct member_node *n,
			const struct witness_set *w)
{
	uint32_t denied = 0;
	uint32_t i;

	for (i = 0; i < w->n; i++) {
		struct vouch *v = find_vouch(n, w->id[i]);

		denied += v && v->denied;
	}
	return w->n && w->n - denied < w->n / 2 + 1;
}

/* Whether so many witnesses have promised that no lease can come again. */
bool lease_is_lost(const struct member_node *n)
{
	const struct member *m = fleet_member(&n->fleet, n->self);

	if (!m)
		return false;
	return set_is_lost(n, &m->witnesses) ||
	       set_is_lost(n, &m->old_witnesses);
}

/*
 * Whether a majority of a set may yet vouch: processes that are there and have
 * not promised to give no vouch again.
 */
bool lease_may_come_from(const struct member_node *n,
			 const struct witness_set *w)
{
	uint32_t able = 0;
	uint32_t i;

	for (i = 0; i < w->n; i++) {
		struct vouch *v = find_vouch(n, w->id[i]);

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
bool lease_witnesses_applied(const struct member_node *n,
			     const struct witness_set *w, int64_t offset)
{
	uint32_t know = 0;
	uint32_t i;

	for (i = 0; i < w->n; i++) {
		struct vouch *v = find_vouch(n, w->id[i]);

		know += w->id[i] == LOG_WITNESS || (v && v->applied >= offset);
	}
	return know >= w->n / 2 + 1;
}

static void send_ask(struct member_node *n, int64_t process, int64_t to)
{
	struct member_msg msg;

	member_msg_init(&msg, MSG_VOUCH_ASK);
	msg.seq = n->now_ms;
	msg.flags = process;
	member_send(n, to, &msg);
	COUNT(vouches_sent);
}

static void send_asks(struct member_node *n, const struct member *m)
{
	struct member *other;
	uint32_t i;

	if (witness_set_has(&m->witnesses, LOG_WITNESS) ||
	    witness_set_has(&m->old_witnesses, LOG_WITNESS)) {
		for_each_member (&n->fleet, other, i)
			if (other->id != n->self)
				send_ask(n, other->process, other->id);
		return;
	}
	for (i = 0; i < n->vouches->len; i++) {
		struct vouch *v = &g_array_index(n->vouches, struct vouch, i);

		/*
		 * A witness that is a member no more still keeps its promises
		 * and may vouch until we have settled on another. Two that
		 * leave at once would cost us our lease otherwise.
		 */
		other = fleet_member_by_process(&n->fleet, v->witness);
		if (other)
			v->member = other->id;
		if (v->member)
			send_ask(n, v->witness, v->member);
	}
}

/* Ask on the next tick rather than wait for the interval. */
void lease_ask_now(struct member_node *n)
{
	int64_t soon = n->now_ms + 20;

	n->next_vouch_ms = MIN(n->next_vouch_ms, soon);
}

/* Ask for vouches when due and note gain and loss of the lease. */
void lease_tick(struct member_node *n)
{
	const struct member *m = fleet_member(&n->fleet, n->self);
	bool valid;

	if (!m)
		return;
	follow_witness_sets(n, m);
	if (n->now_ms >= n->next_vouch_ms && !lease_is_lost(n)) {
		n->next_vouch_ms = n->now_ms + n->timing.vouch_interval_ms;
		send_asks(n, m);
	}
	valid = lease_valid(n);
	if (n->had_lease && !valid)
		COUNT(lease_lapses);
	if (n->had_lease != valid)
		member_note(n, valid ? NOTE_LEASE_GAINED : NOTE_LEASE_LAPSED,
			    n->self);
	n->had_lease = valid;
	n->leased = n->leased || valid;
	if (valid)
		n->no_lease_since_ms = 0;
	else if (!n->no_lease_since_ms)
		n->no_lease_since_ms = n->now_ms;
}

/* A witness vouched for the ask that we sent at msg->seq. */
void lease_on_vouch(struct member_node *n, const struct member_msg *msg)
{
	struct vouch *v = find_vouch(n, msg->flags);

	if (!v)
		return;
	/*
	 * The witness starts to wait when it answers. Counting from the
	 * arrival of that answer, which may have been held up on the way,
	 * would let our lease outlast its wait.
	 */
	if (rule_on(n, RULE_LEASE_FROM_SENDING))
		v->sent_ms = MAX(v->sent_ms, msg->seq);
	else
		v->sent_ms = n->now_ms;
	v->applied = MAX(v->applied, msg->applied);
	takeover_learn(n, msg->list);
}

/* A witness of ours has promised not to vouch for us again. */
void lease_on_denied(struct member_node *n, const struct member_msg *msg)
{
	struct vouch *v = find_vouch(n, msg->flags);

	if (!v || v->denied)
		return;
	v->denied = true;
	n->denied.id[n->denied.n % FLEET_MAX_WITNESSES] = v->witness;
	n->denied.n = MIN(n->denied.n + 1, FLEET_MAX_WITNESSES);
	COUNT(vouches_denied);
	member_note(n, "vouch denied by", msg->flags);
}

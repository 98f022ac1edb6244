#include <string.h>

#include "member/internal.h"
#include "util/counters.h"

static struct proof *find_proof(const struct member_node *n, int64_t subject,
				int64_t witness)
{
	uint32_t i;

	for (i = 0; i < n->proofs->len; i++) {
		struct proof *p = &g_array_index(n->proofs, struct proof, i);

		if (p->subject == subject && p->witness == witness)
			return p;
	}
	return NULL;
}

static bool set_stopped(const struct member_node *n, int64_t subject,
			const struct witness_set *w, int64_t *frozen)
{
	uint32_t stopped = 0;
	uint32_t i;

	for (i = 0; i < w->n; i++) {
		struct proof *p = find_proof(n, subject, w->id[i]);

		if (!p)
			continue;
		stopped++;
		*frozen = MAX(*frozen, p->frozen);
	}
	if (!rule_on(n, RULE_MAJORITY))
		return stopped > 0;
	return stopped >= w->n / 2 + 1;
}

/*
 * Whether one set of a member's witnesses is no obstacle to its expulsion by
 * the log: it is the log, or a majority of it promised.
 */
bool takeover_set_silent(const struct member_node *n, int64_t subject,
			 const struct witness_set *w)
{
	int64_t frozen = -1;

	return witness_set_has(w, LOG_WITNESS) ||
	       (set_stopped(n, subject, w, &frozen) &&
		frozen <= n->fleet.applied);
}

/*
 * Whether a member is proved to have stopped for good: a majority of its
 * witnesses, of both sets while a change is not settled, promised so, and we
 * know every record that they knew when they did.
 */
bool takeover_proved(const struct member_node *n, int64_t subject)
{
	const struct member *m;
	int64_t frozen = -1;

	if (!n->proofs->len)
		return false;
	m = fleet_member(&n->fleet, subject);
	if (!m || !set_stopped(n, subject, &m->witnesses, &frozen))
		return false;
	if (m->old_witnesses.n && rule_on(n, RULE_OLD_WITNESSES_COUNT) &&
	    !set_stopped(n, subject, &m->old_witnesses, &frozen))
		return false;
	/*
	 * The subject may have released a shard to somebody else by a record
	 * that we lack. It did so only once a majority of its witnesses had
	 * that record, so one of the promises we hold names it.
	 */
	return frozen <= n->fleet.applied ||
	       !rule_on(n, RULE_SUCCESSOR_CATCHES_UP);
}

/* When the last promise about a subject arrived. */
int64_t takeover_proved_since(const struct member_node *n, int64_t subject)
{
	int64_t since = 0;
	uint32_t i;

	for (i = 0; i < n->proofs->len; i++) {
		struct proof *p = &g_array_index(n->proofs, struct proof, i);

		if (p->subject == subject)
			since = MAX(since, p->since_ms);
	}
	return since;
}

static void add_stopped(struct member_node *n, int64_t id)
{
	if (!fleet_member(&n->fleet, id) || member_known_stopped(n, id))
		return;
	g_array_append_val(n->stopped, id);
	member_note(n, NOTE_STOPPED, id);
}

/* Take note of ids that a peer knows to have stopped; a hint for routing. */
void takeover_learn(struct member_node *n, const GArray *ids)
{
	uint32_t i;

	for (i = 0; ids && i < ids->len; i++)
		add_stopped(n, g_array_index(ids, int64_t, i));
}

bool member_known_stopped(const struct member_node *n, int64_t id)
{
	return ids_contain(n->stopped, id);
}

/* A witness tells of its promise about a subject. */
void takeover_on_stopped(struct member_node *n, const struct member_msg *msg)
{
	struct proof p = { .subject = msg->subject,
			   .witness = msg->flags,
			   .frozen = msg->offset,
			   .since_ms = n->now_ms };

	if (msg->subject == n->self) {
		lease_on_denied(n, msg);
		return;
	}
	if (!msg->flags || find_proof(n, msg->subject, msg->flags))
		return;
	if (!fleet_member(&n->fleet, msg->subject))
		return;
	g_array_append_val(n->proofs, p);
	if (takeover_proved(n, msg->subject)) {
		add_stopped(n, msg->subject);
		COUNT(takeovers);
	} else if (msg->offset > n->fleet.applied) {
		sync_fetch(n, msg->from);
	}
}

/* Drop what was gathered about a member that is gone. */
void takeover_forget(struct member_node *n, int64_t subject)
{
	uint32_t i;

	for (i = n->proofs->len; i-- > 0;)
		if (g_array_index(n->proofs, struct proof, i).subject ==
		    subject)
			g_array_remove_index_fast(n->proofs, i);
	for (i = n->stopped->len; i-- > 0;)
		if (g_array_index(n->stopped, int64_t, i) == subject)
			g_array_remove_index_fast(n->stopped, i);
}

/* Forget members that are gone, also those gone by a loaded snapshot. */
void takeover_tick(struct member_node *n)
{
	uint32_t i;

	for (i = n->proofs->len; i-- > 0;)
		if (!fleet_member(
			    &n->fleet,
			    g_array_index(n->proofs, struct proof, i).subject))
			g_array_remove_index_fast(n->proofs, i);
	for (i = n->stopped->len; i-- > 0;)
		if (!fleet_member(&n->fleet,
				  g_array_index(n->stopped, int64_t, i)))
			g_array_remove_index_fast(n->stopped, i);
}

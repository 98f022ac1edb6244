#include <string.h>

#include "member/internal.h"
#include "util/counters.h"
#include "util/invariant.h"

#define TELL_INTERVAL_MS 500

static struct watch *find_watch(const struct member_node *n, int64_t subject)
{
	uint32_t i;

	for (i = 0; i < n->watches->len; i++) {
		struct watch *w = &g_array_index(n->watches, struct watch, i);

		if (w->subject == subject)
			return w;
	}
	return NULL;
}

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

/* Watch those who name us, and forget those who are gone. */
void witness_refresh(struct member_node *n)
{
	struct member *m;
	uint32_t i;

	for (i = n->watches->len; i-- > 0;) {
		struct watch *w = &g_array_index(n->watches, struct watch, i);

		m = fleet_member(&n->fleet, w->subject);
		/*
		 * A subject may replace us and take us back later. A promise
		 * forgotten in between would let us vouch again while somebody
		 * still holds the promise as proof.
		 */
		if (m && w->stopped && rule_on(n, RULE_PROMISE_IS_KEPT))
			continue;
		if (!m || (!is_witness_of(n, m) && !is_log_witnessed(m)))
			g_array_remove_index_fast(n->watches, i);
	}
	for_each_member (&n->fleet, m, i) {
		struct watch w = { .subject = m->id, .last_ms = n->now_ms };

		if (m->process == n->process || find_watch(n, m->id))
			continue;
		if (is_witness_of(n, m) || is_log_witnessed(m))
			g_array_append_val(n->watches, w);
	}
}

static void send_stopped(struct member_node *n, int64_t to, int64_t subject,
			 int64_t frozen)
{
	struct member_msg msg;

	if (to == n->self)
		return;
	member_msg_init(&msg, MSG_STOPPED);
	msg.flags = n->process;
	msg.subject = subject;
	msg.offset = frozen;
	member_send(n, to, &msg);
}

/* Those who inherit shards from a member, each once; the caller frees. */
GArray *witness_successors(const struct member_node *n, int64_t subject)
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

static void tell_stopped(struct member_node *n, struct watch *w)
{
	const struct member *m = fleet_member(&n->fleet, w->subject);
	GArray *to = witness_successors(n, w->subject);
	struct member_msg own;
	uint32_t i;

	for (i = 0; i < to->len; i++)
		send_stopped(n, g_array_index(to, int64_t, i), w->subject,
			     w->frozen);
	/* The other witnesses see to the record when no successor is left. */
	for (i = 0; m && i < m->witnesses.n; i++) {
		const struct member *other =
			fleet_member_by_process(&n->fleet, m->witnesses.id[i]);

		if (other)
			send_stopped(n, other->id, w->subject, w->frozen);
	}
	g_array_unref(to);
	member_msg_init(&own, MSG_STOPPED);
	own.flags = n->process;
	own.subject = w->subject;
	own.offset = w->frozen;
	takeover_on_stopped(n, &own);
	w->told_ms = n->now_ms;
}

static void promise_stop(struct member_node *n, struct watch *w)
{
	w->stopped = true;
	/*
	 * A record that moved the subject's shards may be known to us and not
	 * to a successor that is cut off from the log. Naming our offset makes
	 * it catch up to here before it may serve.
	 */
	w->frozen = n->fleet.applied;
	COUNT(stops_promised);
	member_note(n, "promised not to vouch again for", w->subject);
	tell_stopped(n, w);
}

/* Promise a stop for each subject whose last vouch has run out. */
void witness_tick(struct member_node *n)
{
	uint32_t i;

	for (i = 0; i < n->watches->len; i++) {
		struct watch *w = &g_array_index(n->watches, struct watch, i);
		int64_t wait = member_wait_ms(n);

		if (!is_witness_of(n, fleet_member(&n->fleet, w->subject)))
			continue;
		if (!rule_on(n, RULE_WITNESS_WAITS))
			wait = n->timing.vouch_interval_ms + 100;
		if (!w->stopped && n->now_ms - w->last_ms >= wait)
			promise_stop(n, w);
		else if (w->stopped &&
			 n->now_ms - w->told_ms >= TELL_INTERVAL_MS)
			tell_stopped(n, w);
	}
}

/* A member asks us to vouch. */
void witness_on_ask(struct member_node *n, const struct member_msg *msg)
{
	const struct member *m = fleet_member(&n->fleet, msg->from);
	struct watch *w = find_watch(n, msg->from);
	struct member_msg answer;

	if (!m && msg->from <= n->fleet.applied + 1) {
		send_stopped(n, msg->from, msg->from, n->fleet.applied);
		return;
	}
	if (!m || !w)
		return;
	if (w->stopped && rule_on(n, RULE_STOP_IS_FINAL)) {
		send_stopped(n, msg->from, msg->from, w->frozen);
		return;
	}
	w->last_ms = n->now_ms;
	if (!is_witness_of(n, m))
		return;
#ifndef RULE_SWITCHES
	INVARIANT(!w->stopped, "a vouch after the promise to give none");
#endif
	member_msg_init(&answer, MSG_VOUCH);
	answer.seq = msg->seq;
	answer.flags = n->process;
	answer.list = g_array_ref(n->stopped);
	member_send(n, msg->from, &answer);
	member_msg_finish(&answer);
	COUNT(vouches_given);
}

/* A subject says itself that it has stopped: no need to wait. */
void witness_on_resign(struct member_node *n, const struct member_msg *msg)
{
	const struct member *m = fleet_member(&n->fleet, msg->from);
	struct watch *w = find_watch(n, msg->from);

	if (!w || !is_witness_of(n, m))
		return;
	if (!w->stopped)
		promise_stop(n, w);
	send_stopped(n, msg->from, msg->from, w->frozen);
}

#include <string.h>

#include "member/internal.h"
#include "util/counters.h"
#include "util/invariant.h"
#include "util/result.h"

#define RESIGN_INTERVAL_MS 200
#define PAUSE_MS 400

static void on_event(void *user, const struct fleet_event *ev);

static void json_decref_p(gpointer p)
{
	json_decref(p);
}

void member_init(struct member_node *n, const struct member *me,
		 const struct member_timing *timing,
		 const struct member_ops *ops, void *ops_user, int64_t now_ms,
		 uint32_t seed)
{
	memset(n, 0, sizeof(*n));
	fleet_init(&n->fleet);
	n->fleet.on_event = on_event;
	n->fleet.on_event_user = n;
	n->me = *me;
	n->timing = *timing;
	n->ops = ops;
	n->ops_user = ops_user;
	n->now_ms = now_ms;
	n->ahead_applied = -1;
	n->published_source = -1;
	n->changes_source = -1;
	n->needs_source = n->fleet.source;
	n->rand = g_rand_new_with_seed(seed);
	/* We cannot know how long ago a record read at the start was made. */
	n->quiet_until_ms = now_ms + member_wait_ms(n);
	n->snapshot_seen_at_ms = now_ms;
	n->unbalanced_since_ms = now_ms;
	n->vouches = g_array_new(FALSE, FALSE, sizeof(struct vouch));
	n->watches = g_array_new(FALSE, FALSE, sizeof(struct watch));
	n->proofs = g_array_new(FALSE, FALSE, sizeof(struct proof));
	n->stopped = g_array_new(FALSE, FALSE, sizeof(int64_t));
	n->unsent_releases = g_array_new(FALSE, FALSE, sizeof(int64_t));
	n->ids_acked_by = g_array_new(FALSE, FALSE, sizeof(int64_t));
	n->own_before = g_array_new(FALSE, FALSE, sizeof(int64_t));
	n->followers = g_array_new(FALSE, FALSE, sizeof(int64_t));
	n->relays = g_array_new(FALSE, FALSE, sizeof(int64_t));
	n->snapshot_parts = g_ptr_array_new_with_free_func(json_decref_p);
	n->cache = g_queue_new();
}

/* Release everything that member_init() and the node's life allocated. */
void member_finish(struct member_node *n)
{
	fleet_finish(&n->fleet);
	g_rand_free(n->rand);
	g_array_unref(n->vouches);
	g_array_unref(n->watches);
	g_array_unref(n->proofs);
	g_array_unref(n->stopped);
	g_array_unref(n->unsent_releases);
	g_array_unref(n->ids_acked_by);
	g_array_unref(n->own_before);
	g_array_unref(n->followers);
	g_array_unref(n->relays);
	g_ptr_array_unref(n->snapshot_parts);
	g_queue_free_full(n->cache, cached_record_free);
	g_free(n->holds);
	json_decref(n->changes);
	json_decref(n->operators_document);
	memset(n, 0, sizeof(*n));
}

/* The state of our own service, NULL until it is configured. */
struct fleet_service *member_service(const struct member_node *n)
{
	return fleet_service(&n->fleet, n->me.service);
}

/* Fill in who sends and send. */
void member_send(struct member_node *n, int64_t to, struct member_msg *msg)
{
	msg->from = n->self;
	msg->to = to;
	msg->applied = n->fleet.applied;
	n->ops->send(n->ops_user, to, msg);
}

/* Append a record; the kind is busy until member_append_done(). */
void member_append(struct member_node *n, enum append_kind kind, json_t *r)
{
	n->append_pending[kind] = true;
	n->ops->append(n->ops_user, kind, r);
}

/* Log a change of state. */
void member_note(struct member_node *n, const char *what, int64_t subject)
{
	n->ops->note(n->ops_user, what, subject);
}

/* Be no member any more: hold nothing, vouch for nobody. */
void member_leave_incarnation(struct member_node *n)
{
	holds_reset(n);
	g_array_set_size(n->vouches, 0);
	g_array_set_size(n->proofs, 0);
	n->self = 0;
	n->had_lease = false;
	n->no_lease_since_ms = 0;
	n->hand_over_since_ms = 0;
	g_array_set_size(n->ids_acked_by, 0);
	n->denied.n = 0;
	n->leased = false;
}

static void on_joined(struct member_node *n, const struct member *m)
{
	if (!strcmp(m->service, n->me.service))
		n->last_join_ms = n->now_ms;
	if (strcmp(m->nonce, n->me.nonce) || strcmp(m->host, n->me.host))
		return;
	member_leave_incarnation(n);
	n->self = m->id;
	n->process = m->process;
	n->me.process = m->process;
	n->next_vouch_ms = n->now_ms;
	n->joined_ms = n->now_ms;
	member_note(n, "joined as", n->self);
}

static void on_gone(struct member_node *n, const struct member *m)
{
	/*
	 * A member whose witness was the log learns of its expulsion by
	 * reading, and may serve for a lease's length after its last read.
	 */
	if ((witness_set_has(&m->witnesses, LOG_WITNESS) ||
	     witness_set_has(&m->old_witnesses, LOG_WITNESS)) &&
	    m->id != n->self && rule_on(n, RULE_LOG_WITNESS_WAIT))
		n->quiet_until_ms = n->now_ms + member_wait_ms(n);
	if (!strcmp(m->host, n->me.host))
		g_array_append_val(n->own_before, m->id);
	if (m->id == n->self) {
		member_note(n, "expelled", n->self);
		member_leave_incarnation(n);
	}
	takeover_forget(n, m->id);
}

static void on_event(void *user, const struct fleet_event *ev)
{
	struct member_node *n = user;

	switch (ev->type) {
	case FLEET_MEMBER_JOINED:
		on_joined(n, ev->member);
		break;
	case FLEET_MEMBER_GONE:
		holds_on_member_removed(n, ev);
		on_gone(n, ev->member);
		break;
	case FLEET_SHARD_MOVED:
		holds_on_shard_moved(n, ev);
		break;
	case FLEET_SUCCESSOR_GONE:
		holds_on_successor_removed(n, ev);
		break;
	default:
		break;
	}
	if (n->on_event)
		n->on_event(n->on_event_user, ev);
}

/* The state was replaced whole, without an event for each change. */
void member_state_replaced(struct member_node *n)
{
	COUNT(snapshots_loaded);
	if (n->self && !fleet_member(&n->fleet, n->self))
		member_leave_incarnation(n);
	n->quiet_until_ms = n->now_ms + member_wait_ms(n);
	g_queue_free_full(n->cache, cached_record_free);
	n->cache = g_queue_new();
	n->cache_bytes = 0;
	holds_resize(n);
	witness_refresh(n);
}

int member_on_record(struct member_node *n, int64_t offset,
		     const char *append_id, const json_t *record,
		     int64_t now_ms)
{
	int64_t version = n->fleet.configuration_version;
	int64_t snapshot = n->fleet.snapshot_offset;
	int err;

	n->now_ms = MAX(n->now_ms, now_ms);
	err = fleet_apply(&n->fleet, offset, append_id, record);
	if (err == RESULT_GAP)
		return err;
	INVARIANT(n->fleet.configuration_version >= version,
		  "the configuration went back");
	COUNT(records_applied);
	if (err)
		COUNT(records_dropped);
	/* The next change follows from this one, and need not wait. */
	if (n->fleet.configuration_version != version) {
		n->next_append_ms[APPEND_PUBLISHED] = n->now_ms;
		/* Whoever wrote it goes on; the others wait anew. */
		n->published_since_ms = n->now_ms;
	}
	sync_cache_record(n, offset, append_id, record);
	if (n->fleet.snapshot_offset != snapshot)
		n->snapshot_seen_at_ms = n->now_ms;
	witness_refresh(n);
	return err;
}

int member_load(struct member_node *n, const json_t *snapshot, int64_t now_ms)
{
	int err;

	n->now_ms = MAX(n->now_ms, now_ms);
	err = fleet_load(&n->fleet, snapshot);
	if (err)
		return err;
	n->fleet.snapshot_upto = n->fleet.applied;
	member_state_replaced(n);
	return RESULT_OK;
}

void member_set_published(struct member_node *n, int64_t source, uint32_t bytes,
			  int64_t now_ms)
{
	bool pending = n->published_source > n->fleet.source;

	n->now_ms = MAX(n->now_ms, now_ms);
	n->published_source = source;
	n->published_bytes = bytes;
	/*
	 * Changes in quick succession would put the wait of those who act
	 * after the first node off again and again, should that one be gone.
	 */
	if (!pending)
		n->published_since_ms = n->now_ms;
}

void member_set_life(struct member_node *n, const char *life)
{
	g_strlcpy(n->me.life, life, sizeof(n->me.life));
}

bool member_needs_log(const struct member_node *n)
{
	const struct member *m = fleet_member(&n->fleet, n->self);

	return !m || witness_set_has(&m->witnesses, LOG_WITNESS) ||
	       witness_set_has(&m->old_witnesses, LOG_WITNESS);
}

bool member_is_level(const struct member_node *n)
{
	return n->log_caught_up || n->peer_caught_up;
}

bool member_is_current(const struct member_node *n)
{
	return n->published_in_force || n->peer_caught_up;
}

bool member_has_news(const struct member_node *n)
{
	return n->published_source > n->fleet.source ||
	       n->ahead_applied > n->fleet.applied;
}

/*
 * A change that operators published may not be a record of the log yet, and
 * those who would have brought it in may all have ended.
 */
static void look_at_published(struct member_node *n)
{
	if (n->published_in_force || !n->log_caught_up || n->awaits_published ||
	    n->needs_source > n->fleet.source)
		return;
	n->published_in_force = true;
	member_note(n, NOTE_CURRENT, n->fleet.configuration_version);
}

void member_expect_published(struct member_node *n)
{
	n->awaits_published = true;
}

void member_published_read(struct member_node *n, int64_t now_ms)
{
	n->now_ms = MAX(n->now_ms, now_ms);
	if (!n->awaits_published)
		return;
	n->awaits_published = false;
	n->needs_source = MAX(n->needs_source, n->published_source);
	look_at_published(n);
}

void member_on_log_tail(struct member_node *n, int64_t sent_ms, int64_t now_ms)
{
	n->now_ms = MAX(n->now_ms, now_ms);
	n->log_read_sent_ms = MAX(n->log_read_sent_ms, sent_ms);
	if (!n->log_caught_up) {
		n->first_end = n->fleet.applied;
		member_note(n, NOTE_CAUGHT_UP, LOG_WITNESS);
	}
	n->log_caught_up = true;
	look_at_published(n);
}

static void send_resign(struct member_node *n, int64_t process)
{
	const struct member *to = fleet_member_by_process(&n->fleet, process);
	struct member_msg msg;

	if (!to)
		return;
	member_msg_init(&msg, MSG_RESIGN);
	msg.flags = process;
	member_send(n, to->id, &msg);
}

static void resign_tick(struct member_node *n)
{
	const struct member *m = fleet_member(&n->fleet, n->self);
	uint32_t i;

	if (!m || !n->resigning || !holds_is_idle(n) ||
	    n->now_ms < n->next_resign_ms)
		return;
	n->next_resign_ms = n->now_ms + RESIGN_INTERVAL_MS;
	holds_hand_over(n);
	if (!holds_hand_over_is_done(n))
		return;
	for (i = 0; i < m->witnesses.n; i++)
		send_resign(n, m->witnesses.id[i]);
	for (i = 0; i < m->old_witnesses.n; i++)
		send_resign(n, m->old_witnesses.id[i]);
}

static void forgive_own_pause(struct member_node *n)
{
	uint32_t i;

	/*
	 * While this process was paused it heard nobody, and on waking would
	 * promise stops for members that are well. Waiting longer is safe.
	 */
	for (i = 0; i < n->watches->len; i++)
		g_array_index(n->watches, struct watch, i).last_ms = n->now_ms;
}

void member_tick(struct member_node *n, int64_t now_ms)
{
	bool paused = now_ms - n->last_tick_ms > PAUSE_MS;

	n->now_ms = MAX(n->now_ms, now_ms);
	n->last_tick_ms = n->now_ms;
	if (paused)
		forgive_own_pause(n);
	takeover_tick(n);
	lease_tick(n);
	witness_tick(n);
	holds_tick(n);
	resign_tick(n);
	sync_tick(n);
	look_at_published(n);
	propose_tick(n);
}

static bool needs_own_id(enum member_msg_type type)
{
	return type == MSG_VOUCH || type == MSG_STOPPED ||
	       type == MSG_RELEASE_ASK || type == MSG_RELEASE ||
	       type == MSG_HANDED;
}

static bool needs_own_process(enum member_msg_type type)
{
	return type == MSG_VOUCH_ASK || type == MSG_RESIGN;
}

typedef void (*msg_handler)(struct member_node *, const struct member_msg *);

static const msg_handler handlers[MSG_N_TYPES] = {
	[MSG_VOUCH_ASK] = witness_on_ask,
	[MSG_VOUCH] = lease_on_vouch,
	[MSG_STOPPED] = takeover_on_stopped,
	[MSG_RESIGN] = witness_on_resign,
	[MSG_RECORDS_ASK] = sync_on_request,
	[MSG_RECORDS] = sync_on_records,
	[MSG_STATE] = sync_on_state,
	[MSG_RELEASE_ASK] = holds_on_release_request,
	[MSG_RELEASE] = holds_on_release,
	[MSG_HANDED] = holds_on_ids_ack,
};

void member_on_message(struct member_node *n, const struct member_msg *msg,
		       int64_t now_ms)
{
	n->now_ms = MAX(n->now_ms, now_ms);
	sync_on_peer_offset(n, msg->from, msg->applied);
	/*
	 * A process started again has forgotten what its earlier self
	 * promised. Answering for that self would let a vouch follow a
	 * promise to give none.
	 */
	if (needs_own_id(msg->type) && (!n->self || msg->to != n->self))
		return;
	if (needs_own_process(msg->type) &&
	    (!n->process || msg->flags != n->process))
		return;
	if (handlers[msg->type])
		handlers[msg->type](n, msg);
}

void member_set_wanted(struct member_node *n, bool wanted, int64_t now_ms)
{
	n->now_ms = MAX(n->now_ms, now_ms);
	n->want_member = wanted;
	/*
	 * Witnesses told of a resignation promise a stop at once, without
	 * waiting for the lease to end. Taking it back would let this node
	 * serve on beside its successors, so it joins anew instead.
	 */
	if (wanted && n->resigning)
		member_leave_incarnation(n);
	n->resigning = !wanted && n->self;
	n->next_join_ms = n->now_ms;
}

bool member_is_needed(const struct member_node *n)
{
	struct member *m;
	uint32_t i;

	for_each_member (&n->fleet, m, i)
		if (n->process && m->process != n->process &&
		    (witness_set_has(&m->witnesses, n->process) ||
		     witness_set_has(&m->old_witnesses, n->process)))
			return true;
	return false;
}

bool member_has_left(const struct member_node *n)
{
	if (!n->self)
		return true;
	return n->resigning && holds_is_idle(n) && lease_is_lost(n);
}

static uint32_t add_candidate(const struct member_node *n, int64_t id,
			      int64_t *out, uint32_t count, uint32_t max)
{
	uint32_t i;

	if (!id || count == max || !fleet_member(&n->fleet, id))
		return count;
	for (i = 0; i < count; i++)
		if (out[i] == id)
			return count;
	out[count] = id;
	return count + 1;
}

uint32_t member_candidates(const struct member_node *n,
			   const struct fleet_service *s, uint32_t shard,
			   int64_t *out, uint32_t max)
{
	const struct shard *sh = &s->shards[shard];
	bool owner_stopped = member_known_stopped(n, sh->owner);
	uint32_t count = 0;

	if (sh->from && !member_known_stopped(n, sh->from))
		count = add_candidate(n, sh->from, out, count, max);
	if (!owner_stopped)
		count = add_candidate(n, sh->owner, out, count, max);
	count = add_candidate(n, sh->successor, out, count, max);
	count = add_candidate(n, sh->from_successor, out, count, max);
	count = add_candidate(n, sh->earlier_from, out, count, max);
	return add_candidate(n, sh->owner, out, count, max);
}

#include <string.h>

#include "member/internal.h"
#include "util/counters.h"
#include "util/invariant.h"
#include "util/result.h"

#define RESIGN_INTERVAL_MS 200
/* After a longer time between two ticks the process counts as paused. */
#define PAUSE_THRESHOLD_MS 400

static void on_event(void *user, const struct fleet_event *ev);

static void json_decref_p(gpointer p)
{
	json_decref(p);
}

void member_init(struct member_node *n, const struct member *join_info,
		 const struct member_timing *timing,
		 const struct member_ops *ops, void *ops_user, int64_t now_ms,
		 uint32_t seed)
{
	memset(n, 0, sizeof(*n));
	fleet_init(&n->fleet);
	n->fleet.on_event = on_event;
	n->fleet.on_event_user = n;
	n->join_info = *join_info;
	n->timing = *timing;
	n->ops = ops;
	n->ops_user = ops_user;
	n->now_ms = now_ms;
	n->ahead_applied = -1;
	n->published_source = -1;
	propose_init(n);
	n->required_source_offset = n->fleet.source_offset;
	n->peer_required_source = -1;
	n->rand = g_rand_new_with_seed(seed);
	/*
	 * When a record that is read at the start was appended is unknown, so a
	 * member that it removes may still have a lease.
	 */
	n->no_acquire_until_ms = now_ms + member_lease_wait_ms(n);
	n->snapshot_seen_at_ms = now_ms;
	n->unbalanced_since_ms = now_ms;
	n->own_witnesses =
		g_array_new(FALSE, FALSE, sizeof(struct witness_status));
	n->witnessed =
		g_array_new(FALSE, FALSE, sizeof(struct witnessed_member));
	n->stop_promises =
		g_array_new(FALSE, FALSE, sizeof(struct stop_promise));
	n->stopped_members = g_array_new(FALSE, FALSE, sizeof(int64_t));
	n->unsent_releases = g_array_new(FALSE, FALSE, sizeof(int64_t));
	n->ids_acked_by = g_array_new(FALSE, FALSE, sizeof(int64_t));
	n->earlier_incarnations = g_array_new(FALSE, FALSE, sizeof(int64_t));
	n->followers = g_array_new(FALSE, FALSE, sizeof(int64_t));
	n->relays = g_array_new(FALSE, FALSE, sizeof(int64_t));
	n->snapshot_parts = g_ptr_array_new_with_free_func(json_decref_p);
	n->cache = g_queue_new();
	suspects_init(&n->suspects);
	published_init(n);
}

/* Free everything that n has allocated. */
void member_finish(struct member_node *n)
{
	fleet_finish(&n->fleet);
	g_rand_free(n->rand);
	g_array_unref(n->own_witnesses);
	g_array_unref(n->witnessed);
	g_array_unref(n->stop_promises);
	g_array_unref(n->stopped_members);
	g_array_unref(n->unsent_releases);
	g_array_unref(n->ids_acked_by);
	g_array_unref(n->earlier_incarnations);
	g_array_unref(n->followers);
	g_array_unref(n->relays);
	g_ptr_array_unref(n->snapshot_parts);
	g_queue_free_full(n->cache, cached_record_free);
	g_free(n->holds);
	json_decref(n->changes);
	json_decref(n->operators_document);
	published_finish(n);
	memset(n, 0, sizeof(*n));
}

/* The state of this node's service, NULL until it is configured. */
struct fleet_service *member_service(const struct member_node *n)
{
	return fleet_service(&n->fleet, n->join_info.service);
}

/* Fill in the sender's and receiver's fields of msg and send it. */
void member_send(struct member_node *n, int64_t to, struct member_msg *msg)
{
	msg->from = n->self_id;
	msg->to = to;
	msg->applied = n->fleet.applied;
	n->ops->send(n->ops_user, to, msg);
}

/*
 * Append a record, taking ownership of r. No other of that kind may be appended
 * until member_append_done().
 */
void member_append(struct member_node *n, enum append_kind kind, json_t *r)
{
	n->append_pending[kind] = true;
	n->ops->append(n->ops_user, kind, r);
}

/* Report a change of state for the log output. */
void member_note(struct member_node *n, const char *what, int64_t subject)
{
	n->ops->note(n->ops_user, what, subject);
}

/*
 * End this node's membership: it serves no shard and has no lease. Promises
 * that the process made as a witness remain.
 */
void member_end_incarnation(struct member_node *n)
{
	holds_reset(n);
	g_array_set_size(n->own_witnesses, 0);
	g_array_set_size(n->stop_promises, 0);
	n->self_id = 0;
	n->had_lease = false;
	n->no_lease_since_ms = 0;
	n->ids_sent_since_ms = 0;
	g_array_set_size(n->ids_acked_by, 0);
	n->denied_witnesses.n = 0;
	n->ever_leased = false;
}

static void on_member_joined(struct member_node *n, const struct member *m)
{
	if (!strcmp(m->service, n->join_info.service))
		n->service_last_join_at_ms = n->now_ms;
	if (strcmp(m->nonce, n->join_info.nonce) ||
	    strcmp(m->host, n->join_info.host))
		return;
	member_end_incarnation(n);
	n->self_id = m->id;
	/* It may have been told to leave after it had proposed to join. */
	n->resigning = !n->want_member;
	n->process = m->process;
	n->join_info.process = m->process;
	n->next_vouch_request_at_ms = n->now_ms;
	n->joined_at_ms = n->now_ms;
	member_note(n, "joined as", n->self_id);
}

static void on_member_removed(struct member_node *n, const struct member *m)
{
	/*
	 * A member with the log as a witness learns of its removal by reading
	 * the log, and may serve for a lease's length after its last read.
	 */
	if ((witness_set_has(&m->witnesses, LOG_WITNESS) ||
	     witness_set_has(&m->old_witnesses, LOG_WITNESS)) &&
	    m->id != n->self_id && rule_enabled(n, RULE_LOG_WITNESS_WAIT))
		n->no_acquire_until_ms = n->now_ms + member_lease_wait_ms(n);
	if (!strcmp(m->host, n->join_info.host))
		g_array_append_val(n->earlier_incarnations, m->id);
	if (m->id == n->self_id) {
		member_note(n, "expelled", n->self_id);
		member_end_incarnation(n);
	}
	takeover_on_member_removed(n, m->id);
}

static void on_event(void *user, const struct fleet_event *ev)
{
	struct member_node *n = user;

	switch (ev->type) {
	case FLEET_MEMBER_JOINED:
		on_member_joined(n, ev->member);
		break;
	case FLEET_MEMBER_REMOVED:
		holds_on_member_removed(n, ev);
		on_member_removed(n, ev->member);
		break;
	case FLEET_SHARD_MOVED:
		holds_on_shard_moved(n, ev);
		break;
	case FLEET_SUCCESSOR_REMOVED:
		holds_on_successor_removed(n, ev);
		break;
	case FLEET_REQUEST_BLOCKED:
		suspects_on_blocked(n, ev->fingerprint);
		break;
	default:
		break;
	}
	if (n->on_event)
		n->on_event(n->on_event_user, ev);
}

/*
 * Bring the node in line with a state that was loaded from a snapshot, which
 * gives no event for each change.
 */
void member_on_state_replaced(struct member_node *n)
{
	COUNT(snapshots_loaded);
	if (n->self_id && !fleet_member(&n->fleet, n->self_id))
		member_end_incarnation(n);
	n->no_acquire_until_ms = n->now_ms + member_lease_wait_ms(n);
	g_queue_free_full(n->cache, cached_record_free);
	n->cache = g_queue_new();
	n->cache_bytes = 0;
	holds_resize(n);
	witness_update_subjects(n);
	published_on_log(n);
	member_note(n, NOTE_STATE_REPLACED, n->fleet.applied);
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
		  "configuration version decreased");
	COUNT(records_applied);
	if (err)
		COUNT(records_dropped);
	/*
	 * The next change that operators published builds on this version, and
	 * can be proposed at once.
	 */
	if (n->fleet.configuration_version != version) {
		n->next_append_at_ms[APPEND_PUBLISHED] = n->now_ms;
		/*
		 * Restart the wait: the first member by rank, which usually
		 * wrote this record, appends the next one at once, and the
		 * others wait again.
		 */
		n->published_wait_since_ms = n->now_ms;
	}
	published_on_log(n);
	sync_cache_record(n, offset, append_id, record);
	if (n->fleet.snapshot_offset != snapshot)
		n->snapshot_seen_at_ms = n->now_ms;
	witness_update_subjects(n);
	return err;
}

int member_load_snapshot(struct member_node *n, const json_t *snapshot,
			 int64_t now_ms)
{
	int err;

	n->now_ms = MAX(n->now_ms, now_ms);
	err = fleet_load_snapshot(&n->fleet, snapshot);
	if (err)
		return err;
	n->fleet.snapshot_upto = n->fleet.applied;
	member_on_state_replaced(n);
	return RESULT_OK;
}

void member_set_published(struct member_node *n, int64_t source, uint32_t bytes,
			  int64_t now_ms)
{
	bool pending = n->published_source > n->fleet.source_offset;

	n->now_ms = MAX(n->now_ms, now_ms);
	if (n->published_source <= member_source_in_force(n))
		n->early_wait_since_ms = n->now_ms;
	n->published_source = source;
	n->published_bytes = bytes;
	/*
	 * The wait before this node proposes counts from the first change that
	 * is not in force. Counted from the last one, changes in quick
	 * succession would delay the nodes of the next ranks again and again,
	 * while the node of the first rank may be down.
	 */
	if (!pending)
		n->published_wait_since_ms = n->now_ms;
	published_on_read(n);
}

void member_set_server_instance(struct member_node *n, const char *instance)
{
	g_strlcpy(n->join_info.server_instance_id, instance,
		  sizeof(n->join_info.server_instance_id));
}

bool member_lease_needs_log(const struct member_node *n)
{
	const struct member *m = fleet_member(&n->fleet, n->self_id);

	return !m || witness_set_has(&m->witnesses, LOG_WITNESS) ||
	       witness_set_has(&m->old_witnesses, LOG_WITNESS);
}

bool member_is_caught_up(const struct member_node *n)
{
	return n->log_caught_up || n->peer_caught_up;
}

bool member_is_current(const struct member_node *n)
{
	return n->published_in_force ||
	       (n->peer_caught_up &&
		(n->peer_required_source <= member_source_in_force(n) ||
		 !rule_enabled(n, RULE_CURRENT_WHEN_IN_FORCE)));
}

bool member_is_behind(const struct member_node *n)
{
	int64_t source = member_source_in_force(n);

	return n->published_source > source ||
	       spread_newest_known(&n->spread) > source ||
	       n->ahead_applied > n->fleet.applied;
}

/*
 * Reading to the log's end is not enough to be current: a change that operators
 * published may not be a record of the log yet, since all nodes that would have
 * proposed it may have stopped. So all that the operators' stream held when
 * read must be in force too.
 */
static void check_published_in_force(struct member_node *n)
{
	if (n->published_in_force || !n->log_caught_up ||
	    n->operator_stream_pending ||
	    (n->required_source_offset > member_source_in_force(n) &&
	     rule_enabled(n, RULE_CURRENT_WHEN_IN_FORCE)))
		return;
	n->published_in_force = true;
	member_note(n, NOTE_CURRENT, n->fleet.configuration_version);
}

void member_expect_operator_stream(struct member_node *n)
{
	n->operator_stream_pending = true;
}

void member_operator_stream_read(struct member_node *n, int64_t now_ms)
{
	n->now_ms = MAX(n->now_ms, now_ms);
	if (!n->operator_stream_pending)
		return;
	n->operator_stream_pending = false;
	n->required_source_offset =
		MAX(n->required_source_offset, n->published_source);
	check_published_in_force(n);
}

void member_on_log_tail(struct member_node *n, int64_t read_started_at_ms,
			int64_t now_ms)
{
	n->now_ms = MAX(n->now_ms, now_ms);
	n->log_read_started_at_ms =
		MAX(n->log_read_started_at_ms, read_started_at_ms);
	if (!n->log_caught_up) {
		n->initial_log_end = n->fleet.applied;
		member_note(n, NOTE_CAUGHT_UP, LOG_WITNESS);
	}
	n->log_caught_up = true;
	check_published_in_force(n);
}

/* Report to one witness that this node has stopped serving. */
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

/*
 * Once a resigning node is idle, send the request ids to its successors. Once
 * they have acknowledged them, or the wait for that has timed out, send the
 * resignation to its witnesses. Both are repeated while the node is a member.
 */
static void resign_tick(struct member_node *n)
{
	const struct member *m = fleet_member(&n->fleet, n->self_id);
	uint32_t i;

	if (!m || !n->resigning || !holds_is_idle(n) ||
	    n->now_ms < n->next_resign_at_ms)
		return;
	n->next_resign_at_ms = n->now_ms + RESIGN_INTERVAL_MS;
	holds_send_ids(n);
	if (!holds_send_ids_is_done(n))
		return;
	for (i = 0; i < m->witnesses.n; i++)
		send_resign(n, m->witnesses.id[i]);
	for (i = 0; i < m->old_witnesses.n; i++)
		send_resign(n, m->old_witnesses.id[i]);
}

static void restart_witness_timers(struct member_node *n)
{
	uint32_t i;

	/*
	 * A process that was paused has received no requests meanwhile, and
	 * would promise not to vouch again for members that still run. Waiting
	 * longer is safe.
	 */
	for (i = 0; i < n->witnessed->len; i++)
		g_array_index(n->witnessed, struct witnessed_member, i)
			.last_request_at_ms = n->now_ms;
}

void member_tick(struct member_node *n, int64_t now_ms)
{
	bool paused = now_ms - n->last_tick_at_ms > PAUSE_THRESHOLD_MS;

	n->now_ms = MAX(n->now_ms, now_ms);
	n->last_tick_at_ms = n->now_ms;
	if (paused)
		restart_witness_timers(n);
	takeover_tick(n);
	lease_tick(n);
	witness_tick(n);
	holds_tick(n);
	resign_tick(n);
	sync_tick(n);
	published_tick(n);
	check_published_in_force(n);
	propose_tick(n);
}

/* Whether messages of a type are for the member whose id is in msg->to. */
static bool addressed_to_member(enum member_msg_type type)
{
	return type == MSG_VOUCH || type == MSG_STOP_PROMISE ||
	       type == MSG_RELEASE_REQUEST || type == MSG_RELEASE ||
	       type == MSG_IDS_ACK;
}

/* Whether messages of a type are for the process whose id is in msg->flags. */
static bool addressed_to_process(enum member_msg_type type)
{
	return type == MSG_VOUCH_REQUEST || type == MSG_RESIGN;
}

typedef void (*msg_handler)(struct member_node *, const struct member_msg *);

static const msg_handler handlers[MSG_N_TYPES] = {
	[MSG_VOUCH_REQUEST] = witness_on_request,
	[MSG_VOUCH] = lease_on_vouch,
	[MSG_STOP_PROMISE] = takeover_on_promise,
	[MSG_RESIGN] = witness_on_resign,
	[MSG_RECORDS_REQUEST] = sync_on_request,
	[MSG_RECORDS] = sync_on_records,
	[MSG_STATE] = sync_on_state,
	[MSG_RELEASE_REQUEST] = holds_on_release_request,
	[MSG_RELEASE] = holds_on_release,
	[MSG_IDS_ACK] = holds_on_ids_ack,
	[MSG_CHANGE_OFFER] = published_on_offer,
	[MSG_CHANGE_REQUEST] = published_on_request,
	[MSG_CHANGE] = published_on_change,
};

void member_on_message(struct member_node *n, const struct member_msg *msg,
		       int64_t now_ms)
{
	n->now_ms = MAX(n->now_ms, now_ms);
	sync_on_peer_offset(n, msg->from, msg->applied);
	/*
	 * A restarted process does not know the promises of the previous
	 * process. If it answered messages for that one, it might vouch for a
	 * member after the promise not to.
	 */
	if (addressed_to_member(msg->type) &&
	    (!n->self_id || msg->to != n->self_id))
		return;
	if (addressed_to_process(msg->type) &&
	    (!n->process || msg->flags != n->process))
		return;
	if (handlers[msg->type])
		handlers[msg->type](n, msg);
}

void member_set_membership_wanted(struct member_node *n, bool wanted,
				  int64_t now_ms)
{
	n->now_ms = MAX(n->now_ms, now_ms);
	n->want_member = wanted;
	/*
	 * Witnesses that have received a resignation make their promise at
	 * once, without waiting for the lease to end. If this node cancelled
	 * its resignation, it could serve at the same time as its successors,
	 * so it ends this membership and joins again.
	 */
	if (wanted && n->resigning)
		member_end_incarnation(n);
	n->resigning = !wanted && n->self_id;
	n->next_join_at_ms = n->now_ms;
}

bool member_is_witness(const struct member_node *n)
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
	if (!n->self_id)
		return true;
	return n->resigning && holds_is_idle(n) && lease_is_irrecoverable(n);
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

uint32_t member_owner_candidates(const struct member_node *n,
				 const struct fleet_service *s, uint32_t shard,
				 int64_t *out, uint32_t max)
{
	const struct shard *sh = &s->shards[shard];
	bool owner_stopped = member_known_stopped(n, sh->owner);
	uint32_t count = 0;

	if (sh->prev_owner && !member_known_stopped(n, sh->prev_owner))
		count = add_candidate(n, sh->prev_owner, out, count, max);
	if (!owner_stopped)
		count = add_candidate(n, sh->owner, out, count, max);
	count = add_candidate(n, sh->successor, out, count, max);
	count = add_candidate(n, sh->prev_successor, out, count, max);
	count = add_candidate(n, sh->older_owner, out, count, max);
	return add_candidate(n, sh->owner, out, count, max);
}

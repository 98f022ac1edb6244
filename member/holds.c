#include <string.h>

#include "member/internal.h"
#include "util/counters.h"
#include "util/invariant.h"
#include "util/result.h"

#define RELEASE_REQUEST_INTERVAL_MS 200
#define IDS_ACK_TIMEOUT_MS 1000
#define UNSETTLED_NOTE_INTERVAL_MS 5000
#define IDS_PER_ENTRY 4

/* The state that the log gives shard i of this node's service. */
struct shard *holds_shard(const struct member_node *n, uint32_t i)
{
	return &member_service(n)->shards[i];
}

/*
 * Whether a member can no longer serve: it was removed by the log or is proved
 * to have stopped. True for id 0, no member.
 */
static bool is_stopped(const struct member_node *n, int64_t id)
{
	return !id || !fleet_member(&n->fleet, id) ||
	       takeover_stop_proved(n, id);
}

/*
 * Whether the backend servers of this node's service report in heartbeats the
 * grants that they hold, and the instance of this node's server is known. A
 * process that starts then learns from the heartbeats which shards its server
 * holds, and answers for what the previous process granted.
 */
bool holds_servers_report_grants(const struct member_node *n)
{
	const struct fleet_service *s = member_service(n);

	return s && s->key_numbers && n->join_info.server_instance_id[0];
}

/*
 * Whether this node is to serve the shard: the log names it as the owner
 * (*as_successor is 0), or as the successor of an owner that is proved to have
 * stopped (*as_successor is 1).
 */
static bool is_entitled(const struct member_node *n, uint32_t i,
			uint8_t *as_successor)
{
	const struct shard *sh = holds_shard(n, i);

	*as_successor = 0;
	if (!n->self_id || n->resigning)
		return false;
	if (sh->owner == n->self_id)
		return true;
	*as_successor = 1;
	return sh->successor == n->self_id && sh->owner &&
	       takeover_stop_proved(n, sh->owner);
}

/*
 * Whether this node has a lease, and a majority of its witnesses, of both sets
 * during a change, has applied the record at offset.
 */
static bool witnesses_applied(const struct member_node *n, int64_t offset)
{
	const struct member *m = fleet_member(&n->fleet, n->self_id);

	if (!m || !lease_valid(n))
		return false;
	if (!rule_enabled(n, RULE_WITNESSES_KNOW_MOVE))
		return true;
	if (m->old_witnesses.n &&
	    !lease_majority_applied(n, &m->old_witnesses, offset))
		return false;
	return lease_majority_applied(n, &m->witnesses, offset);
}

/* The owner and successor before one of a shard's unsettled moves. */
struct predecessors {
	int64_t owner;
	int64_t successor;
	uint8_t owner_bit; /* RELEASED_BY_*: owner does not serve the shard */
	uint8_t successor_bit;
};

#define MAX_PREDECESSORS 2

static void get_predecessors(const struct shard *sh,
			     struct predecessors p[MAX_PREDECESSORS])
{
	p[0] = (struct predecessors){ sh->prev_owner, sh->prev_successor,
				      RELEASED_BY_PREV_OWNER,
				      RELEASED_BY_PREV_SUCCESSOR };
	p[1] = (struct predecessors){ sh->older_owner, sh->older_successor,
				      RELEASED_BY_OLDER_OWNER,
				      RELEASED_BY_OLDER_SUCCESSOR };
}

/* Whether neither the owner nor the successor in p can still serve shard i. */
static bool pair_released(const struct member_node *n, uint32_t i,
			  const struct predecessors *p)
{
	const struct hold *h = &n->holds[i];
	bool owner_released = h->released_by & p->owner_bit;
	bool successor_released = h->released_by & p->successor_bit;

	if (!p->owner)
		return true;
	if (p->owner == n->self_id) {
		owner_released = true;
		successor_released =
			successor_released ||
			witnesses_applied(n, holds_shard(n, i)->fence);
	}
	owner_released = owner_released || is_stopped(n, p->owner);
	successor_released = successor_released || p->successor == n->self_id ||
			     is_stopped(n, p->successor);
	return owner_released && successor_released;
}

/* Whether no previous owner or successor of the shard can still serve it. */
static bool predecessors_released(const struct member_node *n, uint32_t i)
{
	struct predecessors p[MAX_PREDECESSORS];

	if (!rule_enabled(n, RULE_RELEASE_BEFORE_HOLD))
		return true;
	get_predecessors(holds_shard(n, i), p);
	return pair_released(n, i, &p[0]) && pair_released(n, i, &p[1]);
}

/*
 * Whether a shard that this node owns needs no further release: its moves are
 * settled, or no predecessor can still serve it.
 */
bool holds_can_settle(const struct member_node *n, uint32_t i)
{
	const struct shard *sh = holds_shard(n, i);

	if (!sh->prev_owner)
		return true;
	if (sh->prev_owner == n->self_id)
		return predecessors_released(n, i);
	return n->holds[i].state == HOLD_HELD;
}

/*
 * The fence that the shard is served under: twice the offset of the record that
 * last moved it. A successor that takes over before the log records it uses
 * twice the offset of the record that named it, plus one, which is between the
 * fences of that record and of the next one.
 */
static int64_t serving_fence(const struct member_node *n, uint32_t i)
{
	const struct shard *sh = holds_shard(n, i);

	return n->holds[i].as_successor ? sh->successor_fence * 2 + 1
					: sh->fence * 2;
}

static void acquire_shard(struct member_node *n, uint32_t i)
{
	struct hold *h = &n->holds[i];

	INVARIANT(lease_valid(n), "a shard acquired without a lease");
	h->state = HOLD_HELD;
	h->served_fence = serving_fence(n, i);
	h->held_since_ms = n->now_ms;
	if (!h->has_ids)
		h->ids_unknown_since_ms = n->now_ms;
	COUNT(shards_acquired);
}

static void release_shard(struct member_node *n, uint32_t i)
{
	int64_t shard = i;

	n->holds[i].state = HOLD_NONE;
	n->holds[i].released_by = 0;
	g_array_append_val(n->unsent_releases, shard);
	COUNT(shards_released);
}

/*
 * Whether the shard can be acquired without the wait that follows a start. The
 * age of the records read at the start is unknown, so any wait that they
 * require is counted in full from the start. None is required if every
 * predecessor is still a member, and so answers release requests, or is an
 * earlier incarnation of this host, whose backend server is now this node's.
 * The wait is kept where backend servers do not report grants or a guard time
 * is set, and once a member with the log as witness has been removed: it may
 * have served for a lease's length after its last read of the log.
 */
static bool can_ask_predecessors(const struct member_node *n, uint32_t i)
{
	struct predecessors p[MAX_PREDECESSORS];
	uint32_t k;

	if (!rule_enabled(n, RULE_WAIT_AFTER_START))
		return true;
	if (!holds_servers_report_grants(n) || holds_guard_ms(n) ||
	    n->fleet.log_witnessed_removed)
		return false;
	get_predecessors(holds_shard(n, i), p);
	for (k = 0; k < MAX_PREDECESSORS; k++)
		if (p[k].owner && !fleet_member(&n->fleet, p[k].owner) &&
		    !ids_contain(n->earlier_incarnations, p[k].owner))
			return false;
	return true;
}

/*
 * Serve a held shard under the fence of a newer record, once the witnesses have
 * applied that record. If this node failed earlier than that, a successor named
 * before the record could take over without having read it, under a lower fence
 * than the record's.
 */
static void raise_fence(struct member_node *n, uint32_t i, uint8_t as_successor)
{
	const struct shard *sh = holds_shard(n, i);
	struct hold *h = &n->holds[i];

	if (h->served_fence == sh->fence * 2)
		return;
	if (!as_successor && rule_enabled(n, RULE_WITNESSES_KNOW_FENCE) &&
	    !witnesses_applied(n, sh->fence)) {
		lease_request_soon(n);
		return;
	}
	h->as_successor = as_successor;
	h->served_fence = serving_fence(n, i);
}

static void update_entitled(struct member_node *n, uint32_t i,
			    uint8_t as_successor)
{
	const struct shard *sh = holds_shard(n, i);
	struct hold *h = &n->holds[i];

	if (h->state == HOLD_HELD) {
		raise_fence(n, i, as_successor);
		return;
	}
	if (h->state != HOLD_ACQUIRING) {
		h->state = HOLD_ACQUIRING;
		h->held_since_ms = 0;
		if (as_successor)
			h->has_ids = h->ids_sender == sh->owner &&
				     h->ids_sender_fence == sh->fence;
		if (as_successor && !h->has_ids)
			h->busy_until_ms = MAX(h->busy_until_ms,
					       n->now_ms + holds_guard_ms(n));
		n->next_release_request_at_ms = n->now_ms;
	}
	h->as_successor = as_successor;
	if (!predecessors_released(n, i) || !lease_valid(n))
		return;
	if (n->now_ms < n->no_acquire_until_ms && !can_ask_predecessors(n, i))
		return;
	if (n->now_ms < h->busy_until_ms)
		return;
	acquire_shard(n, i);
}

static void update_unentitled(struct member_node *n, uint32_t i)
{
	struct hold *h = &n->holds[i];

	/*
	 * The shard may have been moved away, back here and away again.
	 * Requests from its first time here may still be in flight, and it is
	 * not released before they end. In HOLD_NONE this node would report it
	 * as released.
	 */
	if (h->state == HOLD_ACQUIRING) {
		h->state = rule_enabled(n, RULE_REQUESTS_END_FIRST)
				   ? HOLD_RELEASING
				   : HOLD_NONE;
	}
	if (h->state == HOLD_HELD) {
		/*
		 * Serve the shard until the witnesses have applied the record
		 * of the move. If it were released earlier, a successor that
		 * has not read the record either could take it over while the
		 * new owner serves it. Without a lease no request is served, so
		 * there is nothing to wait for.
		 */
		if (!n->resigning && lease_valid(n) &&
		    !witnesses_applied(n, holds_shard(n, i)->fence)) {
			lease_request_soon(n);
			return;
		}
		h->state = HOLD_RELEASING;
	}
	if (h->state == HOLD_RELEASING && !n->ops->in_flight(n->ops_user, i))
		release_shard(n, i);
}

/* Discard releases received for an earlier move: they do not cover this one. */
static void reset_on_new_fence(struct hold *h, const struct shard *sh)
{
	if (h->move_fence == sh->fence)
		return;
	h->move_fence = sh->fence;
	h->released_by = 0;
}

static void update_hold(struct member_node *n, uint32_t i)
{
	uint8_t as_successor;

	reset_on_new_fence(&n->holds[i], holds_shard(n, i));
	if (is_entitled(n, i, &as_successor))
		update_entitled(n, i, as_successor);
	else
		update_unentitled(n, i);
}

static void add_release_request(GHashTable *requests, int64_t to, uint32_t i)
{
	GArray *list = g_hash_table_lookup(requests, &to);
	int64_t shard = i;

	if (!list) {
		list = g_array_new(FALSE, FALSE, sizeof(int64_t));
		g_hash_table_insert(requests, g_memdup2(&to, sizeof(to)), list);
	}
	g_array_append_val(list, shard);
}

/* Add shard i to the requests to each predecessor that may still serve it. */
static void collect_release_requests(struct member_node *n,
				     GHashTable *requests, uint32_t i)
{
	const struct shard *sh = holds_shard(n, i);
	const struct hold *h = &n->holds[i];
	struct predecessors p[MAX_PREDECESSORS];
	uint32_t k;

	if (h->state != HOLD_ACQUIRING && holds_can_settle(n, i))
		return;
	if (sh->owner != n->self_id && h->state != HOLD_ACQUIRING)
		return;
	get_predecessors(sh, p);
	for (k = 0; k < MAX_PREDECESSORS; k++) {
		if (p[k].owner != n->self_id &&
		    !(h->released_by & p[k].owner_bit) &&
		    !is_stopped(n, p[k].owner))
			add_release_request(requests, p[k].owner, i);
		if (p[k].owner && p[k].successor != n->self_id &&
		    !(h->released_by & p[k].successor_bit) &&
		    !is_stopped(n, p[k].successor))
			add_release_request(requests, p[k].successor, i);
	}
}

static void send_release_requests(struct member_node *n)
{
	GHashTable *requests =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      (GDestroyNotify)g_array_unref);
	GHashTableIter it;
	gpointer to, list;
	uint32_t i;

	for (i = 0; i < n->n_holds; i++)
		collect_release_requests(n, requests, i);
	g_hash_table_iter_init(&it, requests);
	while (g_hash_table_iter_next(&it, &to, &list)) {
		struct member_msg msg;

		member_msg_init(&msg, MSG_RELEASE_REQUEST);
		msg.offset = n->fleet.applied;
		msg.list = g_array_ref(list);
		member_send(n, *(int64_t *)to, &msg);
		member_msg_finish(&msg);
	}
	g_hash_table_unref(requests);
}

/*
 * Append the ids seen on shard i. An entry with id 0 reports for how many ms
 * ids of previous owners have been missing here.
 */
static void export_shard_ids(struct member_node *n, uint32_t i, GArray *out)
{
	const struct hold *h = &n->holds[i];
	int64_t unknown[IDS_PER_ENTRY] = { i, 0,
					   n->now_ms - h->ids_unknown_since_ms,
					   0 };

	if (h->ids_unknown_since_ms)
		g_array_append_vals(out, unknown, IDS_PER_ENTRY);
	n->ops->export_ids(n->ops_user, i, out);
}

/*
 * Whether this node has the request ids seen on the shard, apart from a gap
 * that export_shard_ids() reports.
 */
static bool has_complete_ids(const struct member_node *n, uint32_t i)
{
	return n->holds[i].held_since_ms || n->holds[i].has_ids;
}

/*
 * Send one release of those shards of which the ids are complete, or of the
 * others.
 */
static void send_release_msg(struct member_node *n, int64_t to,
			     const GArray *shards, bool with_ids)
{
	struct member_msg msg;
	int64_t newest = 0;
	uint32_t i;

	member_msg_init(&msg, MSG_RELEASE);
	msg.offset = n->fleet.applied;
	msg.flags = with_ids ? RELEASE_HAS_IDS : 0;
	msg.list = g_array_new(FALSE, FALSE, sizeof(int64_t));
	msg.ids = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (i = 0; i < shards->len; i++) {
		int64_t s = g_array_index(shards, int64_t, i);

		if (has_complete_ids(n, s) != with_ids)
			continue;
		newest = MAX(newest, holds_shard(n, s)->fence);
		g_array_append_val(msg.list, s);
		export_shard_ids(n, s, msg.ids);
	}
	if (witnesses_applied(n, newest))
		msg.flags |= RELEASE_INCLUDES_SUCCESSOR;
	if (msg.list->len)
		member_send(n, to, &msg);
	member_msg_finish(&msg);
}

static void send_release(struct member_node *n, int64_t to,
			 const GArray *shards)
{
	send_release_msg(n, to, shards, true);
	send_release_msg(n, to, shards, false);
}

/* Send the releases that are due, grouped by the owner of the shards. */
static void send_unsent_releases(struct member_node *n)
{
	GArray *shards = n->unsent_releases;
	GArray *batch = g_array_new(FALSE, FALSE, sizeof(int64_t));

	n->unsent_releases = g_array_new(FALSE, FALSE, sizeof(int64_t));
	while (shards->len) {
		int64_t to =
			holds_shard(n, g_array_index(shards, int64_t, 0))->owner;
		uint32_t i;

		g_array_set_size(batch, 0);
		for (i = shards->len; i-- > 0;) {
			int64_t s = g_array_index(shards, int64_t, i);

			if (holds_shard(n, s)->owner != to)
				continue;
			g_array_append_val(batch, s);
			g_array_remove_index_fast(shards, i);
		}
		if (to && to != n->self_id)
			send_release(n, to, batch);
	}
	g_array_unref(batch);
	g_array_unref(shards);
}

static void send_ids_to_successors(struct member_node *n,
				   const GArray *successors)
{
	GArray *shards = g_array_new(FALSE, FALSE, sizeof(int64_t));
	uint32_t i, j;

	for (i = 0; i < successors->len; i++) {
		int64_t successor = g_array_index(successors, int64_t, i);

		g_array_set_size(shards, 0);
		for (j = 0; j < n->n_holds; j++) {
			const struct shard *sh = holds_shard(n, j);
			int64_t s = j;

			if (sh->owner == n->self_id &&
			    sh->successor == successor)
				g_array_append_val(shards, s);
		}
		send_release(n, successor, shards);
	}
	g_array_unref(shards);
}

/*
 * Send every successor the request ids seen on its shards. Called while this
 * node resigns and serves no shard any more.
 */
void holds_send_ids(struct member_node *n)
{
	GArray *successors = member_successors(n, n->self_id);

	if (!n->ids_sent_since_ms)
		n->ids_sent_since_ms = n->now_ms;
	send_ids_to_successors(n, successors);
	g_array_unref(successors);
}

/* A successor acknowledged the request ids. */
void holds_on_ids_ack(struct member_node *n, const struct member_msg *msg)
{
	if (n->resigning)
		g_array_append_val(n->ids_acked_by, msg->from);
}

/*
 * Whether every successor has acknowledged the request ids, or
 * IDS_ACK_TIMEOUT_MS has passed. A successor that takes over without the ids
 * must answer "unknown" to each id that it has not seen.
 */
bool holds_send_ids_is_done(const struct member_node *n)
{
	GArray *successors;
	bool all_acked = true;
	uint32_t i;

	if (!n->ids_sent_since_ms)
		return false;
	if (n->now_ms - n->ids_sent_since_ms >= IDS_ACK_TIMEOUT_MS)
		return true;
	successors = member_successors(n, n->self_id);
	for (i = 0; i < successors->len; i++)
		all_acked = all_acked &&
			    ids_contain(n->ids_acked_by,
					g_array_index(successors, int64_t, i));
	g_array_unref(successors);
	return all_acked;
}

/*
 * Whether the backend server may hold a shard that this node owns and does not
 * hold yet, by a grant of the previous process.
 */
static bool server_may_hold(const struct member_node *n, uint32_t i)
{
	return holds_servers_report_grants(n) &&
	       holds_shard(n, i)->owner == n->self_id &&
	       n->ops->in_flight(n->ops_user, i);
}

/*
 * Whether this node neither holds nor is releasing any shard, and its backend
 * server holds none of its shards.
 */
bool holds_is_idle(const struct member_node *n)
{
	uint32_t i;

	for (i = 0; i < n->n_holds; i++)
		if (n->holds[i].state == HOLD_HELD ||
		    n->holds[i].state == HOLD_RELEASING ||
		    server_may_hold(n, i))
			return false;
	return true;
}

static void update_unsettled_since(struct member_node *n, uint32_t i)
{
	struct hold *h = &n->holds[i];

	if (holds_shard(n, i)->owner != n->self_id || holds_can_settle(n, i))
		h->unsettled_since_ms = 0;
	else if (!h->unsettled_since_ms)
		h->unsettled_since_ms = n->now_ms;
}

struct unsettled_moves member_unsettled_moves(const struct member_node *n)
{
	struct unsettled_moves out = { 0 };
	uint32_t i;

	for (i = 0; n->self_id && i < n->n_holds; i++) {
		int64_t since_ms = n->holds[i].unsettled_since_ms;

		if (!since_ms)
			continue;
		out.n++;
		if (out.since_ms && out.since_ms <= since_ms)
			continue;
		out.since_ms = since_ms;
		out.shard = i;
	}
	return out;
}

static void note_unsettled(struct member_node *n)
{
	struct unsettled_moves u;

	if (n->now_ms < n->next_unsettled_note_at_ms)
		return;
	n->next_unsettled_note_at_ms = n->now_ms + UNSETTLED_NOTE_INTERVAL_MS;
	u = member_unsettled_moves(n);
	if (u.n && n->now_ms - u.since_ms >= UNSETTLED_NOTE_INTERVAL_MS)
		member_note(n, NOTE_UNSETTLED, u.shard);
}

/*
 * Update every hold by the state of the log, the proved stops and the lease.
 * Send releases, and requests for releases when they are due.
 */
void holds_tick(struct member_node *n)
{
	uint32_t i;

	holds_resize(n);
	for (i = 0; i < n->n_holds; i++) {
		update_hold(n, i);
		update_unsettled_since(n, i);
	}
	note_unsettled(n);
	if (n->unsent_releases->len)
		send_unsent_releases(n);
	if (n->self_id && n->now_ms >= n->next_release_request_at_ms) {
		n->next_release_request_at_ms =
			n->now_ms + RELEASE_REQUEST_INTERVAL_MS;
		send_release_requests(n);
	}
}

/*
 * Allocate the holds for the number of shards that the service is configured
 * with. Existing holds are discarded if that number changed.
 */
void holds_resize(struct member_node *n)
{
	struct fleet_service *s = member_service(n);

	if (!s || n->n_holds == s->n_shards)
		return;
	g_free(n->holds);
	n->holds = g_new0(struct hold, s->n_shards);
	n->n_holds = s->n_shards;
}

/*
 * Stop serving every shard at once: this incarnation has ended. The times until
 * which backend servers may be busy stay valid.
 */
void holds_reset(struct member_node *n)
{
	uint32_t i;

	for (i = 0; i < n->n_holds; i++) {
		int64_t busy_until_ms = n->holds[i].busy_until_ms;

		memset(&n->holds[i], 0, sizeof(n->holds[i]));
		n->holds[i].busy_until_ms = busy_until_ms;
	}
	g_array_set_size(n->unsent_releases, 0);
}

/* A new owner asks which of a list of shards this node no longer serves. */
void holds_on_release_request(struct member_node *n,
			      const struct member_msg *msg)
{
	GArray *released;
	uint32_t i;

	/*
	 * Records not applied here yet may assign a shard to this node: fetch
	 * them first. The new owner repeats its request.
	 */
	if (n->fleet.applied < msg->offset) {
		sync_fetch(n, msg->from);
		return;
	}
	released = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (i = 0; msg->list && i < msg->list->len; i++) {
		int64_t s = g_array_index(msg->list, int64_t, i);
		uint8_t as_successor;

		if (s < 0 || s >= n->n_holds ||
		    is_entitled(n, s, &as_successor))
			continue;
		/*
		 * in_flight() also counts what a backend server may still hold
		 * by a grant of a previous process.
		 */
		if (n->holds[s].state == HOLD_NONE &&
		    (!n->ops->in_flight(n->ops_user, s) ||
		     !rule_enabled(n, RULE_REQUESTS_END_FIRST)))
			g_array_append_val(released, s);
	}
	send_release(n, msg->from, released);
	g_array_unref(released);
}

static void import_msg_ids(struct member_node *n, const struct member_msg *msg)
{
	uint32_t i;

	for (i = 0; msg->ids && i + IDS_PER_ENTRY <= msg->ids->len;
	     i += IDS_PER_ENTRY) {
		const int64_t *e = &g_array_index(msg->ids, int64_t, i);

		if (e[0] < 0 || e[0] >= n->n_holds)
			continue;
		if (e[1])
			n->ops->import_ids(n->ops_user, e);
		else
			n->holds[e[0]].ids_unknown_since_ms = n->now_ms - e[2];
	}
}

/* Note that msg brings the ids that its sender has seen on the shard. */
static void mark_ids_known(const struct shard *sh, struct hold *h,
			   const struct member_msg *msg)
{
	if (!(msg->flags & RELEASE_HAS_IDS))
		return;
	if (msg->from == sh->prev_owner) {
		h->has_ids = true;
		h->ids_unknown_since_ms = 0;
	}
	if (msg->from == sh->owner) {
		h->ids_sender = msg->from;
		h->ids_sender_fence = sh->fence;
		h->ids_unknown_since_ms = 0;
	}
}

static void on_shard_released(struct member_node *n, uint32_t i,
			      const struct member_msg *msg)
{
	const struct shard *sh = holds_shard(n, i);
	struct hold *h = &n->holds[i];
	struct predecessors p[MAX_PREDECESSORS];
	uint32_t k;

	reset_on_new_fence(h, sh);
	/*
	 * The sender was leaving, and the record of its removal was applied
	 * here before this message arrived.
	 */
	if ((msg->flags & RELEASE_HAS_IDS) && sh->owner == n->self_id &&
	    msg->from == h->moved_from) {
		h->has_ids = true;
		h->ids_unknown_since_ms = 0;
	}
	if (msg->offset < sh->fence)
		return;
	if (h->state != HOLD_HELD)
		mark_ids_known(sh, h, msg);
	/*
	 * This applies to a held shard too: if its successor changes before its
	 * move is settled, its predecessors are asked again.
	 */
	get_predecessors(sh, p);
	for (k = 0; k < MAX_PREDECESSORS; k++) {
		if (msg->from == p[k].owner)
			h->released_by |= p[k].owner_bit;
		if (msg->from == p[k].owner &&
		    (msg->flags & RELEASE_INCLUDES_SUCCESSOR))
			h->released_by |= p[k].successor_bit;
		if (msg->from == p[k].successor)
			h->released_by |= p[k].successor_bit;
	}
}

/* A predecessor reports that it does not serve some shards. */
void holds_on_release(struct member_node *n, const struct member_msg *msg)
{
	struct member_msg answer;
	bool ids_received = false;
	uint32_t i;

	for (i = 0; msg->list && i < msg->list->len; i++) {
		int64_t s = g_array_index(msg->list, int64_t, i);

		if (s < 0 || s >= n->n_holds)
			continue;
		on_shard_released(n, s, msg);
		ids_received = ids_received ||
			       holds_shard(n, s)->owner == msg->from;
	}
	import_msg_ids(n, msg);
	if (ids_received) {
		member_msg_init(&answer, MSG_IDS_ACK);
		member_send(n, msg->from, &answer);
	}
	holds_tick(n);
}

int member_may_serve(const struct member_node *n, uint32_t shard,
		     int64_t now_ms, int64_t *fence, int64_t *lease_end_ms)
{
	int64_t end;

	if (!member_holds(n, shard, fence))
		return RESULT_NOT_OWNER;
	end = member_lease_end_ms(n);
	if (end <= now_ms)
		return RESULT_NOT_OWNER;
	*lease_end_ms = end;
	return RESULT_OK;
}

bool member_holds(const struct member_node *n, uint32_t shard, int64_t *fence)
{
	const struct hold *h;

	if (shard >= n->n_holds || !n->self_id)
		return false;
	h = &n->holds[shard];
	if (h->state != HOLD_HELD)
		return false;
	*fence = h->served_fence;
	return true;
}

bool member_is_acquiring(const struct member_node *n, uint32_t shard)
{
	uint8_t as_successor;

	if (shard >= n->n_holds)
		return false;
	return n->holds[shard].state != HOLD_HELD &&
	       is_entitled(n, shard, &as_successor);
}

bool member_expects_to_own(const struct member_node *n, uint32_t shard)
{
	const struct member *owner;
	uint8_t as_successor;

	if (shard >= n->n_holds || is_entitled(n, shard, &as_successor))
		return shard < n->n_holds;
	if (n->self_id || !n->want_member)
		return false;
	owner = fleet_member(&n->fleet, holds_shard(n, shard)->owner);
	return owner && !strcmp(owner->host, n->join_info.host) &&
	       n->join_info.server_instance_id[0] &&
	       !strcmp(owner->server_instance_id,
		       n->join_info.server_instance_id);
}

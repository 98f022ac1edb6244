#include <string.h>

#include "member/internal.h"
#include "util/counters.h"
#include "util/invariant.h"
#include "util/result.h"

#define RELEASE_REQUEST_INTERVAL_MS 200
#define HAND_OVER_TIMEOUT_MS 1000
#define UNSETTLED_NOTE_INTERVAL_MS 5000
#define IDS_PER_ENTRY 4

struct shard *holds_shard(const struct member_node *n, uint32_t i)
{
	return &member_service(n)->shards[i];
}

static bool is_stopped(const struct member_node *n, int64_t id)
{
	return !id || !fleet_member(&n->fleet, id) || takeover_proved(n, id);
}

/*
 * Whether the backend servers of our service hold shards by grants that they
 * report in heartbeats. Then a process that starts anew knows what its server
 * holds, and answers for what the process before it granted.
 */
bool holds_servers_report_grants(const struct member_node *n)
{
	const struct fleet_service *s = member_service(n);

	return s && s->key_numbers && n->me.life[0];
}

/* Whether the log, or a proved stop of the owner, gives us the shard. */
static bool is_entitled(const struct member_node *n, uint32_t i,
			uint8_t *as_successor)
{
	const struct shard *sh = holds_shard(n, i);

	*as_successor = 0;
	if (!n->self || n->resigning)
		return false;
	if (sh->owner == n->self)
		return true;
	*as_successor = 1;
	return sh->successor == n->self && sh->owner &&
	       takeover_proved(n, sh->owner);
}

static bool witnesses_applied(const struct member_node *n, int64_t offset)
{
	const struct member *m = fleet_member(&n->fleet, n->self);

	if (!m || !lease_valid(n))
		return false;
	if (!rule_on(n, RULE_WITNESSES_KNOW_MOVE))
		return true;
	if (m->old_witnesses.n &&
	    !lease_witnesses_applied(n, &m->old_witnesses, offset))
		return false;
	return lease_witnesses_applied(n, &m->witnesses, offset);
}

/* The owner and successor before one of a shard's unsettled moves. */
struct predecessors {
	int64_t owner;
	int64_t successor;
	uint8_t owner_bit; /* RELEASED_BY_*: from is known not to serve */
	uint8_t successor_bit;
};

#define MAX_PREDECESSORS 2

static void get_predecessors(const struct shard *sh,
			     struct predecessors p[MAX_PREDECESSORS])
{
	p[0] = (struct predecessors){ sh->from, sh->from_successor,
				      RELEASED_BY_PREV_OWNER,
				      RELEASED_BY_PREV_SUCCESSOR };
	p[1] = (struct predecessors){ sh->earlier_from, sh->earlier_successor,
				      RELEASED_BY_OLDER_OWNER,
				      RELEASED_BY_OLDER_SUCCESSOR };
}

static bool pair_released(const struct member_node *n, uint32_t i,
			  const struct predecessors *p)
{
	const struct hold *h = &n->holds[i];
	bool from = h->released_by & p->owner_bit;
	bool successor = h->released_by & p->successor_bit;

	if (!p->owner)
		return true;
	if (p->owner == n->self) {
		from = true;
		successor = successor ||
			    witnesses_applied(n, holds_shard(n, i)->fence);
	}
	from = from || is_stopped(n, p->owner);
	successor = successor || p->successor == n->self ||
		    is_stopped(n, p->successor);
	return from && successor;
}

/* Whether nobody who held or could inherit the shard before still serves. */
static bool predecessors_released(const struct member_node *n, uint32_t i)
{
	struct predecessors p[MAX_PREDECESSORS];

	if (!rule_on(n, RULE_RELEASE_BEFORE_HOLD))
		return true;
	get_predecessors(holds_shard(n, i), p);
	return pair_released(n, i, &p[0]) && pair_released(n, i, &p[1]);
}

/* Whether a shard that is ours needs no more word from its predecessors. */
bool holds_can_settle(const struct member_node *n, uint32_t i)
{
	const struct shard *sh = holds_shard(n, i);

	if (!sh->from)
		return true;
	if (sh->from == n->self)
		return predecessors_released(n, i);
	return n->holds[i].state == HOLD_HELD;
}

/* A succession ahead of the log comes after the record that named the heir. */
static int64_t serving_fence(const struct member_node *n, uint32_t i)
{
	const struct shard *sh = holds_shard(n, i);

	return n->holds[i].as_successor ? sh->heir_fence * 2 + 1
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
 * Whether all who may hold a shard can be asked. Records that we read at the
 * start were made at an unknown time before, so what they would have us wait
 * for is waited for in full from the start, unless nothing in the shard's state
 * asks for a wait: its predecessors are members, who answer, or are this
 * host's own earlier incarnation, whose server is ours.
 */
static bool can_ask_predecessors(const struct member_node *n, uint32_t i)
{
	struct predecessors p[MAX_PREDECESSORS];
	uint32_t k;

	if (!rule_on(n, RULE_PAST_IS_WAITED_OUT))
		return true;
	if (!holds_servers_report_grants(n) || holds_guard_ms(n) ||
	    n->fleet.log_witnessed_gone)
		return false;
	get_predecessors(holds_shard(n, i), p);
	for (k = 0; k < MAX_PREDECESSORS; k++)
		if (p[k].owner && !fleet_member(&n->fleet, p[k].owner) &&
		    !ids_contain(n->own_before, p[k].owner))
			return false;
	return true;
}

/*
 * Serve on under the fence of a newer record. Not before our witnesses know of
 * it: should we be lost, an heir named before that record may take over without
 * having read it, under a fence that is lower than the record's.
 */
static void raise_fence(struct member_node *n, uint32_t i, uint8_t as_successor)
{
	const struct shard *sh = holds_shard(n, i);
	struct hold *h = &n->holds[i];

	if (h->served_fence == sh->fence * 2)
		return;
	if (!as_successor && rule_on(n, RULE_WITNESSES_KNOW_FENCE) &&
	    !witnesses_applied(n, sh->fence)) {
		lease_ask_now(n);
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
		n->next_release_request_ms = n->now_ms;
	}
	h->as_successor = as_successor;
	if (!predecessors_released(n, i) || !lease_valid(n))
		return;
	if (n->now_ms < n->quiet_until_ms && !can_ask_predecessors(n, i))
		return;
	if (n->now_ms < h->busy_until_ms)
		return;
	acquire_shard(n, i);
}

static void update_unentitled(struct member_node *n, uint32_t i)
{
	struct hold *h = &n->holds[i];

	/*
	 * A shard that came back while its last requests still ran, and goes
	 * again, is not free before those have ended: hence not straight to
	 * HOLD_NONE, which would have us tell the next owner so.
	 */
	if (h->state == HOLD_ACQUIRING) {
		h->state = rule_on(n, RULE_REQUESTS_END_FIRST) ? HOLD_RELEASING
							       : HOLD_NONE;
	}
	if (h->state == HOLD_HELD) {
		/*
		 * Released before our witnesses know of the move, the shard
		 * could be taken over by a successor that does not know of it
		 * either, while the new owner serves it. So serve on until
		 * they do. Without a lease nobody is being served anyhow.
		 */
		if (!n->resigning && lease_valid(n) &&
		    !witnesses_applied(n, holds_shard(n, i)->fence)) {
			lease_ask_now(n);
			return;
		}
		h->state = HOLD_RELEASING;
	}
	if (h->state == HOLD_RELEASING && !n->ops->in_flight(n->ops_user, i))
		release_shard(n, i);
}

/* What was cleared for one move says nothing of the next. */
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

static void collect_release_requests(struct member_node *n,
				     GHashTable *requests, uint32_t i)
{
	const struct shard *sh = holds_shard(n, i);
	const struct hold *h = &n->holds[i];
	struct predecessors p[MAX_PREDECESSORS];
	uint32_t k;

	if (h->state != HOLD_ACQUIRING && holds_can_settle(n, i))
		return;
	if (sh->owner != n->self && h->state != HOLD_ACQUIRING)
		return;
	get_predecessors(sh, p);
	for (k = 0; k < MAX_PREDECESSORS; k++) {
		if (p[k].owner != n->self &&
		    !(h->released_by & p[k].owner_bit) &&
		    !is_stopped(n, p[k].owner))
			add_release_request(requests, p[k].owner, i);
		if (p[k].owner && p[k].successor != n->self &&
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

		member_msg_init(&msg, MSG_RELEASE_ASK);
		msg.offset = n->fleet.applied;
		msg.list = g_array_ref(list);
		member_send(n, *(int64_t *)to, &msg);
		member_msg_finish(&msg);
	}
	g_hash_table_unref(requests);
}

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

/* Whether what we know of a shard's ids has no gap. */
static bool has_complete_ids(const struct member_node *n, uint32_t i)
{
	return n->holds[i].held_since_ms || n->holds[i].has_ids;
}

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
		msg.flags |= RELEASE_CLEARS_SUCCESSOR;
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
		if (to && to != n->self)
			send_release(n, to, batch);
	}
	g_array_unref(batch);
	g_array_unref(shards);
}

static void hand_over_ids(struct member_node *n, const GArray *successors)
{
	GArray *shards = g_array_new(FALSE, FALSE, sizeof(int64_t));
	uint32_t i, j;

	for (i = 0; i < successors->len; i++) {
		int64_t successor = g_array_index(successors, int64_t, i);

		g_array_set_size(shards, 0);
		for (j = 0; j < n->n_holds; j++) {
			const struct shard *sh = holds_shard(n, j);
			int64_t s = j;

			if (sh->owner == n->self && sh->successor == successor)
				g_array_append_val(shards, s);
		}
		send_release(n, successor, shards);
	}
	g_array_unref(shards);
}

/* Resigning and idle: give every successor the ids seen on its shards. */
void holds_hand_over(struct member_node *n)
{
	GArray *successors = witness_successors(n, n->self);

	if (!n->hand_over_since_ms)
		n->hand_over_since_ms = n->now_ms;
	hand_over_ids(n, successors);
	g_array_unref(successors);
}

/* An heir has taken our ids. */
void holds_on_ids_ack(struct member_node *n, const struct member_msg *msg)
{
	if (n->resigning)
		g_array_append_val(n->ids_acked_by, msg->from);
}

/*
 * Whether every heir has our ids, or has had time enough. Heirs that take over
 * without them must answer "unknown" to each id that they do not know.
 */
bool holds_hand_over_is_done(const struct member_node *n)
{
	GArray *successors;
	bool all = true;
	uint32_t i;

	if (!n->hand_over_since_ms)
		return false;
	if (n->now_ms - n->hand_over_since_ms >= HAND_OVER_TIMEOUT_MS)
		return true;
	successors = witness_successors(n, n->self);
	for (i = 0; i < successors->len; i++)
		all = all && ids_contain(n->ids_acked_by,
					 g_array_index(successors, int64_t, i));
	g_array_unref(successors);
	return all;
}

/* Whether we serve no shard and let none go. */
bool holds_is_idle(const struct member_node *n)
{
	uint32_t i;

	for (i = 0; i < n->n_holds; i++)
		if (n->holds[i].state == HOLD_HELD ||
		    n->holds[i].state == HOLD_RELEASING)
			return false;
	return true;
}

static void update_unsettled_since(struct member_node *n, uint32_t i)
{
	struct hold *h = &n->holds[i];

	if (holds_shard(n, i)->owner != n->self || holds_can_settle(n, i))
		h->unsettled_since_ms = 0;
	else if (!h->unsettled_since_ms)
		h->unsettled_since_ms = n->now_ms;
}

struct unsettled_moves member_unsettled_moves(const struct member_node *n)
{
	struct unsettled_moves out = { 0 };
	uint32_t i;

	for (i = 0; n->self && i < n->n_holds; i++) {
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

	if (n->now_ms < n->next_unsettled_note_ms)
		return;
	n->next_unsettled_note_ms = n->now_ms + UNSETTLED_NOTE_INTERVAL_MS;
	u = member_unsettled_moves(n);
	if (u.n && n->now_ms - u.since_ms >= UNSETTLED_NOTE_INTERVAL_MS)
		member_note(n, NOTE_UNSETTLED, u.shard);
}

/* Bring every hold in line with the state, the proofs and the lease. */
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
	if (n->self && n->now_ms >= n->next_release_request_ms) {
		n->next_release_request_ms =
			n->now_ms + RELEASE_REQUEST_INTERVAL_MS;
		send_release_requests(n);
	}
}

/* Follow the number of shards of our service once it is configured. */
void holds_resize(struct member_node *n)
{
	struct fleet_service *s = member_service(n);

	if (!s || n->n_holds == s->n_shards)
		return;
	g_free(n->holds);
	n->holds = g_new0(struct hold, s->n_shards);
	n->n_holds = s->n_shards;
}

/* Serve nothing any more: we are no member, or never can be again. */
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

/* A new owner asks whether we still serve some shards. */
void holds_on_release_request(struct member_node *n,
			      const struct member_msg *msg)
{
	GArray *released;
	uint32_t i;

	/* What we have not read yet may give us a shard: catch up first. */
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
		/* Backend servers may hold what an earlier process gave. */
		if (n->holds[s].state == HOLD_NONE &&
		    (!n->ops->in_flight(n->ops_user, s) ||
		     !rule_on(n, RULE_REQUESTS_END_FIRST)))
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

static void mark_ids_known(const struct shard *sh, struct hold *h,
			   const struct member_msg *msg)
{
	if (!(msg->flags & RELEASE_HAS_IDS))
		return;
	if (msg->from == sh->from) {
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
	/* A leaving owner's word that the record of its leaving overtook. */
	if ((msg->flags & RELEASE_HAS_IDS) && sh->owner == n->self &&
	    msg->from == h->moved_from) {
		h->has_ids = true;
		h->ids_unknown_since_ms = 0;
	}
	if (msg->offset < sh->fence)
		return;
	if (h->state != HOLD_HELD)
		mark_ids_known(sh, h, msg);
	/*
	 * Also of a shard that is served: when it is named another heir before
	 * its move is settled, its predecessors are asked once more.
	 */
	get_predecessors(sh, p);
	for (k = 0; k < MAX_PREDECESSORS; k++) {
		if (msg->from == p[k].owner)
			h->released_by |= p[k].owner_bit;
		if (msg->from == p[k].owner &&
		    (msg->flags & RELEASE_CLEARS_SUCCESSOR))
			h->released_by |= p[k].successor_bit;
		if (msg->from == p[k].successor)
			h->released_by |= p[k].successor_bit;
	}
}

/* A predecessor says that it does not serve some shards. */
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
		member_msg_init(&answer, MSG_HANDED);
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

	if (shard >= n->n_holds || !n->self)
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
	if (n->self || !n->want_member)
		return false;
	owner = fleet_member(&n->fleet, holds_shard(n, shard)->owner);
	return owner && !strcmp(owner->host, n->me.host) && n->me.life[0] &&
	       !strcmp(owner->life, n->me.life);
}

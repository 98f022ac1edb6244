#include <string.h>

#include "member/internal.h"
#include "util/counters.h"
#include "util/invariant.h"
#include "util/result.h"

#define ASK_INTERVAL_MS 200
#define HAND_OVER_MS 1000
#define NOTE_UNSETTLED_MS 5000
#define IDS_PER_ENTRY 4

struct shard *holds_shard(const struct member_node *n, uint32_t i)
{
	return &member_service(n)->shards[i];
}

static bool is_gone(const struct member_node *n, int64_t id)
{
	return !id || !fleet_member(&n->fleet, id) ||
	       takeover_stop_proved(n, id);
}

/*
 * Whether the backend servers of our service hold shards by grants that they
 * report in heartbeats. Then a process that starts anew knows what its server
 * holds, and answers for what the process before it granted.
 */
bool holds_granted(const struct member_node *n)
{
	const struct fleet_service *s = member_service(n);

	return s && s->key_numbers && n->join_info.server_instance_id[0];
}

/* Whether the log, or a proved stop of the owner, gives us the shard. */
static bool entitled(const struct member_node *n, uint32_t i, uint8_t *step)
{
	const struct shard *sh = holds_shard(n, i);

	*step = 0;
	if (!n->self_id || n->resigning)
		return false;
	if (sh->owner == n->self_id)
		return true;
	*step = 1;
	return sh->successor == n->self_id && sh->owner &&
	       takeover_stop_proved(n, sh->owner);
}

static bool witnesses_know(const struct member_node *n, int64_t offset)
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
	int64_t from;
	int64_t successor;
	uint8_t from_bit; /* CLEAR_*: from is known not to serve */
	uint8_t successor_bit;
};

#define MAX_PREDECESSORS 2

static void predecessors_of(const struct shard *sh,
			    struct predecessors p[MAX_PREDECESSORS])
{
	p[0] = (struct predecessors){ sh->prev_owner, sh->prev_successor,
				      CLEAR_FROM, CLEAR_SUCCESSOR };
	p[1] = (struct predecessors){ sh->older_owner, sh->older_successor,
				      CLEAR_EARLIER_FROM,
				      CLEAR_EARLIER_SUCCESSOR };
}

static bool pair_clear(const struct member_node *n, uint32_t i,
		       const struct predecessors *p)
{
	const struct hold *h = &n->holds[i];
	bool from = h->clear & p->from_bit;
	bool successor = h->clear & p->successor_bit;

	if (!p->from)
		return true;
	if (p->from == n->self_id) {
		from = true;
		successor = successor ||
			    witnesses_know(n, holds_shard(n, i)->fence);
	}
	from = from || is_gone(n, p->from);
	successor = successor || p->successor == n->self_id ||
		    is_gone(n, p->successor);
	return from && successor;
}

/* Whether nobody who held or could inherit the shard before still serves. */
static bool predecessors_clear(const struct member_node *n, uint32_t i)
{
	struct predecessors p[MAX_PREDECESSORS];

	if (!rule_enabled(n, RULE_RELEASE_BEFORE_HOLD))
		return true;
	predecessors_of(holds_shard(n, i), p);
	return pair_clear(n, i, &p[0]) && pair_clear(n, i, &p[1]);
}

/* Whether a shard that is ours needs no more word from its predecessors. */
bool holds_cleared(const struct member_node *n, uint32_t i)
{
	const struct shard *sh = holds_shard(n, i);

	if (!sh->prev_owner)
		return true;
	if (sh->prev_owner == n->self_id)
		return predecessors_clear(n, i);
	return n->holds[i].state == HOLD_HELD;
}

/* A succession ahead of the log comes after the record that named the heir. */
static int64_t fence_of(const struct member_node *n, uint32_t i)
{
	const struct shard *sh = holds_shard(n, i);

	return n->holds[i].step ? sh->successor_fence * 2 + 1 : sh->fence * 2;
}

static void acquire(struct member_node *n, uint32_t i)
{
	struct hold *h = &n->holds[i];

	INVARIANT(lease_valid(n), "a shard acquired without a lease");
	h->state = HOLD_HELD;
	h->served_fence = fence_of(n, i);
	h->held_since_ms = n->now_ms;
	if (!h->has_ids)
		h->blind_since_ms = n->now_ms;
	COUNT(shards_acquired);
}

static void let_go(struct member_node *n, uint32_t i)
{
	int64_t shard = i;

	n->holds[i].state = HOLD_NONE;
	n->holds[i].clear = 0;
	g_array_append_val(n->releases, shard);
	COUNT(shards_released);
}

/*
 * Whether all who may hold a shard can be asked. Records that we read at the
 * start were made at an unknown time before, so what they would have us wait
 * for is waited for in full from the start, unless nothing in the shard's state
 * asks for a wait: its predecessors are members, who answer, or are this host's
 * own earlier incarnation, whose server is ours.
 */
static bool predecessors_answer(const struct member_node *n, uint32_t i)
{
	struct predecessors p[MAX_PREDECESSORS];
	uint32_t k;

	if (!rule_enabled(n, RULE_WAIT_AFTER_START))
		return true;
	if (!holds_granted(n) || holds_guard_ms(n) ||
	    n->fleet.log_witnessed_removed)
		return false;
	predecessors_of(holds_shard(n, i), p);
	for (k = 0; k < MAX_PREDECESSORS; k++)
		if (p[k].from && !fleet_member(&n->fleet, p[k].from) &&
		    !ids_contain(n->earlier_incarnations, p[k].from))
			return false;
	return true;
}

/*
 * Serve on under the fence of a newer record. Not before our witnesses know of
 * it: should we be lost, an heir named before that record may take over without
 * having read it, under a fence that is lower than the record's.
 */
static void raise_fence(struct member_node *n, uint32_t i, uint8_t step)
{
	const struct shard *sh = holds_shard(n, i);
	struct hold *h = &n->holds[i];

	if (h->served_fence == sh->fence * 2)
		return;
	if (!step && rule_enabled(n, RULE_WITNESSES_KNOW_FENCE) &&
	    !witnesses_know(n, sh->fence)) {
		lease_request_soon(n);
		return;
	}
	h->step = step;
	h->served_fence = fence_of(n, i);
}

static void update_entitled(struct member_node *n, uint32_t i, uint8_t step)
{
	const struct shard *sh = holds_shard(n, i);
	struct hold *h = &n->holds[i];

	if (h->state == HOLD_HELD) {
		raise_fence(n, i, step);
		return;
	}
	if (h->state != HOLD_WAITING) {
		h->state = HOLD_WAITING;
		h->held_since_ms = 0;
		if (step)
			h->has_ids = h->ids_from == sh->owner &&
				     h->ids_fence == sh->fence;
		if (step && !h->has_ids)
			h->busy_until_ms = MAX(h->busy_until_ms,
					       n->now_ms + holds_guard_ms(n));
		n->next_ask_ms = n->now_ms;
	}
	h->step = step;
	if (!predecessors_clear(n, i) || !lease_valid(n))
		return;
	if (n->now_ms < n->no_acquire_until_ms && !predecessors_answer(n, i))
		return;
	if (n->now_ms < h->busy_until_ms)
		return;
	acquire(n, i);
}

static void update_foreign(struct member_node *n, uint32_t i)
{
	struct hold *h = &n->holds[i];

	/*
	 * A shard that came back while its last requests still ran, and goes
	 * again, is not free before those have ended: hence not straight to
	 * HOLD_NONE, which would have us tell the next owner so.
	 */
	if (h->state == HOLD_WAITING) {
		h->state = rule_enabled(n, RULE_REQUESTS_END_FIRST)
				   ? HOLD_RELEASING
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
		    !witnesses_know(n, holds_shard(n, i)->fence)) {
			lease_request_soon(n);
			return;
		}
		h->state = HOLD_RELEASING;
	}
	if (h->state == HOLD_RELEASING && !n->ops->in_flight(n->ops_user, i))
		let_go(n, i);
}

/* What was cleared for one move says nothing of the next. */
static void follow_fence(struct hold *h, const struct shard *sh)
{
	if (h->fence == sh->fence)
		return;
	h->fence = sh->fence;
	h->clear = 0;
}

static void update(struct member_node *n, uint32_t i)
{
	uint8_t step;

	follow_fence(&n->holds[i], holds_shard(n, i));
	if (entitled(n, i, &step))
		update_entitled(n, i, step);
	else
		update_foreign(n, i);
}

static void add_ask(GHashTable *asks, int64_t to, uint32_t i)
{
	GArray *list = g_hash_table_lookup(asks, &to);
	int64_t shard = i;

	if (!list) {
		list = g_array_new(FALSE, FALSE, sizeof(int64_t));
		g_hash_table_insert(asks, g_memdup2(&to, sizeof(to)), list);
	}
	g_array_append_val(list, shard);
}

static void collect_asks(struct member_node *n, GHashTable *asks, uint32_t i)
{
	const struct shard *sh = holds_shard(n, i);
	const struct hold *h = &n->holds[i];
	struct predecessors p[MAX_PREDECESSORS];
	uint32_t k;

	if (h->state != HOLD_WAITING && holds_cleared(n, i))
		return;
	if (sh->owner != n->self_id && h->state != HOLD_WAITING)
		return;
	predecessors_of(sh, p);
	for (k = 0; k < MAX_PREDECESSORS; k++) {
		if (p[k].from != n->self_id && !(h->clear & p[k].from_bit) &&
		    !is_gone(n, p[k].from))
			add_ask(asks, p[k].from, i);
		if (p[k].from && p[k].successor != n->self_id &&
		    !(h->clear & p[k].successor_bit) &&
		    !is_gone(n, p[k].successor))
			add_ask(asks, p[k].successor, i);
	}
}

static void send_asks(struct member_node *n)
{
	GHashTable *asks = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free,
						 (GDestroyNotify)g_array_unref);
	GHashTableIter it;
	gpointer to, list;
	uint32_t i;

	for (i = 0; i < n->n_holds; i++)
		collect_asks(n, asks, i);
	g_hash_table_iter_init(&it, asks);
	while (g_hash_table_iter_next(&it, &to, &list)) {
		struct member_msg msg;

		member_msg_init(&msg, MSG_RELEASE_REQUEST);
		msg.offset = n->fleet.applied;
		msg.list = g_array_ref(list);
		member_send(n, *(int64_t *)to, &msg);
		member_msg_finish(&msg);
	}
	g_hash_table_unref(asks);
}

static void export_shard(struct member_node *n, uint32_t i, GArray *out)
{
	const struct hold *h = &n->holds[i];
	int64_t blind[IDS_PER_ENTRY] = { i, 0, n->now_ms - h->blind_since_ms,
					 0 };

	if (h->blind_since_ms)
		g_array_append_vals(out, blind, IDS_PER_ENTRY);
	n->ops->export_ids(n->ops_user, i, out);
}

/* Whether what we know of a shard's ids has no gap. */
static bool knows_ids(const struct member_node *n, uint32_t i)
{
	return n->holds[i].held_since_ms || n->holds[i].has_ids;
}

static void send_some(struct member_node *n, int64_t to, const GArray *shards,
		      bool with_ids)
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

		if (knows_ids(n, s) != with_ids)
			continue;
		newest = MAX(newest, holds_shard(n, s)->fence);
		g_array_append_val(msg.list, s);
		export_shard(n, s, msg.ids);
	}
	if (witnesses_know(n, newest))
		msg.flags |= RELEASE_INCLUDES_SUCCESSOR;
	if (msg.list->len)
		member_send(n, to, &msg);
	member_msg_finish(&msg);
}

static void send_release(struct member_node *n, int64_t to,
			 const GArray *shards)
{
	send_some(n, to, shards, true);
	send_some(n, to, shards, false);
}

static void tell_released(struct member_node *n)
{
	GArray *shards = n->releases;
	GArray *one = g_array_new(FALSE, FALSE, sizeof(int64_t));

	n->releases = g_array_new(FALSE, FALSE, sizeof(int64_t));
	while (shards->len) {
		int64_t to =
			holds_shard(n, g_array_index(shards, int64_t, 0))->owner;
		uint32_t i;

		g_array_set_size(one, 0);
		for (i = shards->len; i-- > 0;) {
			int64_t s = g_array_index(shards, int64_t, i);

			if (holds_shard(n, s)->owner != to)
				continue;
			g_array_append_val(one, s);
			g_array_remove_index_fast(shards, i);
		}
		if (to && to != n->self_id)
			send_release(n, to, one);
	}
	g_array_unref(one);
	g_array_unref(shards);
}

static void hand_over_to(struct member_node *n, const GArray *heirs)
{
	GArray *shards = g_array_new(FALSE, FALSE, sizeof(int64_t));
	uint32_t i, j;

	for (i = 0; i < heirs->len; i++) {
		int64_t heir = g_array_index(heirs, int64_t, i);

		g_array_set_size(shards, 0);
		for (j = 0; j < n->n_holds; j++) {
			const struct shard *sh = holds_shard(n, j);
			int64_t s = j;

			if (sh->owner == n->self_id && sh->successor == heir)
				g_array_append_val(shards, s);
		}
		send_release(n, heir, shards);
	}
	g_array_unref(shards);
}

/* Resigning and idle: give every successor the ids seen on its shards. */
void holds_hand_over(struct member_node *n)
{
	GArray *heirs = member_successors(n, n->self_id);

	if (!n->handed_over_ms)
		n->handed_over_ms = n->now_ms;
	hand_over_to(n, heirs);
	g_array_unref(heirs);
}

/* An heir has taken our ids. */
void holds_on_handed(struct member_node *n, const struct member_msg *msg)
{
	if (n->resigning)
		g_array_append_val(n->handed, msg->from);
}

/*
 * Whether every heir has our ids, or has had time enough. Heirs that take over
 * without them must answer "unknown" to each id that they do not know.
 */
bool holds_handed_over(const struct member_node *n)
{
	GArray *heirs;
	bool all = true;
	uint32_t i;

	if (!n->handed_over_ms)
		return false;
	if (n->now_ms - n->handed_over_ms >= HAND_OVER_MS)
		return true;
	heirs = member_successors(n, n->self_id);
	for (i = 0; i < heirs->len; i++)
		all = all &&
		      ids_contain(n->handed, g_array_index(heirs, int64_t, i));
	g_array_unref(heirs);
	return all;
}

/* Whether we serve no shard and let none go. */
bool holds_idle(const struct member_node *n)
{
	uint32_t i;

	for (i = 0; i < n->n_holds; i++)
		if (n->holds[i].state == HOLD_HELD ||
		    n->holds[i].state == HOLD_RELEASING)
			return false;
	return true;
}

static void follow_settling(struct member_node *n, uint32_t i)
{
	struct hold *h = &n->holds[i];

	if (holds_shard(n, i)->owner != n->self_id || holds_cleared(n, i))
		h->unsettled_since_ms = 0;
	else if (!h->unsettled_since_ms)
		h->unsettled_since_ms = n->now_ms;
}

struct unsettled member_unsettled(const struct member_node *n)
{
	struct unsettled out = { 0 };
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
	struct unsettled u;

	if (n->now_ms < n->next_unsettled_ms)
		return;
	n->next_unsettled_ms = n->now_ms + NOTE_UNSETTLED_MS;
	u = member_unsettled(n);
	if (u.n && n->now_ms - u.since_ms >= NOTE_UNSETTLED_MS)
		member_note(n, NOTE_UNSETTLED, u.shard);
}

/* Bring every hold in line with the state, the proofs and the lease. */
void holds_tick(struct member_node *n)
{
	uint32_t i;

	holds_resize(n);
	for (i = 0; i < n->n_holds; i++) {
		update(n, i);
		follow_settling(n, i);
	}
	note_unsettled(n);
	if (n->releases->len)
		tell_released(n);
	if (n->self_id && n->now_ms >= n->next_ask_ms) {
		n->next_ask_ms = n->now_ms + ASK_INTERVAL_MS;
		send_asks(n);
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
void holds_drop_all(struct member_node *n)
{
	uint32_t i;

	for (i = 0; i < n->n_holds; i++) {
		int64_t busy_until_ms = n->holds[i].busy_until_ms;

		memset(&n->holds[i], 0, sizeof(n->holds[i]));
		n->holds[i].busy_until_ms = busy_until_ms;
	}
	g_array_set_size(n->releases, 0);
}

/* A new owner asks whether we still serve some shards. */
void holds_on_ask(struct member_node *n, const struct member_msg *msg)
{
	GArray *free_shards;
	uint32_t i;

	/* What we have not read yet may give us a shard: catch up first. */
	if (n->fleet.applied < msg->offset) {
		sync_fetch(n, msg->from);
		return;
	}
	free_shards = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (i = 0; msg->list && i < msg->list->len; i++) {
		int64_t s = g_array_index(msg->list, int64_t, i);
		uint8_t step;

		if (s < 0 || s >= n->n_holds || entitled(n, s, &step))
			continue;
		/* Backend servers may hold what an earlier process gave. */
		if (n->holds[s].state == HOLD_NONE &&
		    (!n->ops->in_flight(n->ops_user, s) ||
		     !rule_enabled(n, RULE_REQUESTS_END_FIRST)))
			g_array_append_val(free_shards, s);
	}
	send_release(n, msg->from, free_shards);
	g_array_unref(free_shards);
}

static void take_ids(struct member_node *n, const struct member_msg *msg)
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
			n->holds[e[0]].blind_since_ms = n->now_ms - e[2];
	}
}

static void learn_ids(const struct shard *sh, struct hold *h,
		      const struct member_msg *msg)
{
	if (!(msg->flags & RELEASE_HAS_IDS))
		return;
	if (msg->from == sh->prev_owner) {
		h->has_ids = true;
		h->blind_since_ms = 0;
	}
	if (msg->from == sh->owner) {
		h->ids_from = msg->from;
		h->ids_fence = sh->fence;
		h->blind_since_ms = 0;
	}
}

static void on_shard_released(struct member_node *n, uint32_t i,
			      const struct member_msg *msg)
{
	const struct shard *sh = holds_shard(n, i);
	struct hold *h = &n->holds[i];
	struct predecessors p[MAX_PREDECESSORS];
	uint32_t k;

	follow_fence(h, sh);
	/* A leaving owner's word that the record of its leaving overtook. */
	if ((msg->flags & RELEASE_HAS_IDS) && sh->owner == n->self_id &&
	    msg->from == h->owner_before) {
		h->has_ids = true;
		h->blind_since_ms = 0;
	}
	if (msg->offset < sh->fence)
		return;
	if (h->state != HOLD_HELD)
		learn_ids(sh, h, msg);
	/*
	 * Also of a shard that is served: when it is named another heir before
	 * its move is settled, its predecessors are asked once more.
	 */
	predecessors_of(sh, p);
	for (k = 0; k < MAX_PREDECESSORS; k++) {
		if (msg->from == p[k].from)
			h->clear |= p[k].from_bit;
		if (msg->from == p[k].from &&
		    (msg->flags & RELEASE_INCLUDES_SUCCESSOR))
			h->clear |= p[k].successor_bit;
		if (msg->from == p[k].successor)
			h->clear |= p[k].successor_bit;
	}
}

/* A predecessor says that it does not serve some shards. */
void holds_on_release(struct member_node *n, const struct member_msg *msg)
{
	struct member_msg answer;
	bool handed = false;
	uint32_t i;

	for (i = 0; msg->list && i < msg->list->len; i++) {
		int64_t s = g_array_index(msg->list, int64_t, i);

		if (s < 0 || s >= n->n_holds)
			continue;
		on_shard_released(n, s, msg);
		handed = handed || holds_shard(n, s)->owner == msg->from;
	}
	take_ids(n, msg);
	if (handed) {
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

bool member_awaits(const struct member_node *n, uint32_t shard)
{
	uint8_t step;

	if (shard >= n->n_holds)
		return false;
	return n->holds[shard].state != HOLD_HELD && entitled(n, shard, &step);
}

bool member_expects(const struct member_node *n, uint32_t shard)
{
	const struct member *owner;
	uint8_t step;

	if (shard >= n->n_holds || entitled(n, shard, &step))
		return shard < n->n_holds;
	if (n->self_id || !n->want_member)
		return false;
	owner = fleet_member(&n->fleet, holds_shard(n, shard)->owner);
	return owner && !strcmp(owner->host, n->join_info.host) &&
	       n->join_info.server_instance_id[0] &&
	       !strcmp(owner->server_instance_id,
		       n->join_info.server_instance_id);
}

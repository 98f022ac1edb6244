#include <string.h>

#include "member/internal.h"
#include "settings/changes.h"
#include "state/records.h"
#include "util/counters.h"
#include "util/hash.h"
#include "util/result.h"

#define RANK_STEP_MS 300
#define BALANCE_INTERVAL_MS 1000
#define BALANCE_RANK_STEP_MS 3000
#define WITNESS_CHANGE_DELAY_MS 500
#define RETRY_MS 500
/* A member joins again after this many lease lengths without a lease. */
#define REJOIN_AFTER_LEASES 1
/*
 * A vouch takes some milliseconds; two requests in a row can be lost by chance.
 */
#define UNANSWERED_REQUESTS 3
#define JITTER_PER_MEMBER_MS 20
#define SNAPSHOT_PART_BYTES (64 * 1024)
/*
 * Each further rank waits for snapshot_records / SNAPSHOT_RANK_DIVISOR records
 * more.
 */
#define SNAPSHOT_RANK_DIVISOR 8
/*
 * A member with the log as witness may be expelled when it has sent no vouch
 * request for this many times as long as a witness waits for a lease to end.
 */
#define LOG_WITNESSED_WAITS 2
/* Limit on the compressed size of changes: the store limits a record's size. */
#define CHANGES_MAX_BYTES (192 * 1024)
/*
 * The least that it is lowered to. A long record needs longer to reach the
 * store, and each time another record may come first.
 */
#define CHANGES_MIN_BYTES (8 * 1024)
/*
 * The longest random wait after an append conflict, that is, after another
 * member's append came first. The node reads that record in the meantime, then
 * decides again. The limit doubles with each conflict in a row for joins, since
 * whole fleets join at once, and for snapshots, which cannot follow records
 * that they do not contain.
 */
#define CONFLICT_BACKOFF_MS 30
#define CONFLICT_DOUBLINGS 5
/*
 * The wait per rank before a member proposes operators' changes. It is short,
 * since they are urgent, and grows with the size of the published document.
 */
#define PUBLISH_RANK_STEP_MS 150
#define PUBLISH_BYTES_PER_MS 1024
#define PUBLISH_RANK_STEP_EXTRA_MS 450
#define PUBLISH_NON_MEMBER_DELAY_MS 400
/* Nodes that are not members have no rank, and may be many. */
#define PUBLISH_NON_MEMBER_SPREAD_MS 1000
/* The hosts of a fleet without members start at about the same time. */
#define FIRST_JOIN_SPREAD_MS 1000
/* Backend servers announce themselves within about a second of each other. */
#define PLACE_AFTER_JOIN_MS 1200
#define PLACE_MAX_WAIT_MS 4000

/*
 * A random delay whose range grows with the number of members, so that after an
 * outage of the log the whole fleet appends at most 1000/20 = 50 records a
 * second for any one cause.
 */
static int64_t append_jitter_ms(struct member_node *n)
{
	int32_t range = fleet_n_members(&n->fleet) * JITTER_PER_MEMBER_MS;

	return g_rand_int_range(n->rand, 0, MAX(range, 200));
}

bool member_append_may_follow(enum append_kind kind)
{
	return kind != APPEND_SNAPSHOT && kind != APPEND_BALANCE &&
	       kind != APPEND_PLACE;
}

static bool may_append(const struct member_node *n, enum append_kind kind)
{
	return !n->append_pending[kind] &&
	       n->now_ms >= n->next_append_at_ms[kind];
}

static int64_t conflict_backoff_ms(struct member_node *n, enum append_kind kind)
{
	uint32_t doublings = MIN(n->conflicts[kind]++, CONFLICT_DOUBLINGS);

	if (kind != APPEND_JOIN && kind != APPEND_SNAPSHOT)
		doublings = 0;
	return g_rand_int_range(n->rand, 0, CONFLICT_BACKOFF_MS << doublings);
}

static void schedule_next_append(struct member_node *n, enum append_kind kind,
				 int result)
{
	n->append_pending[kind] = false;
	suspects_append_done(n, kind, result);
	if (kind == APPEND_SNAPSHOT && n->snapshot_parts->len) {
		n->snapshot_partly_written = n->snapshot_partly_written ||
					     result == RESULT_OK;
		if (result == RESULT_OK)
			g_ptr_array_remove_index(n->snapshot_parts, 0);
		else if (result != RESULT_CONFLICT)
			g_ptr_array_set_size(n->snapshot_parts, 0);
	}
	if (result != RESULT_CONFLICT)
		n->conflicts[kind] = 0;
	if (result == RESULT_OK) {
		n->next_append_at_ms[kind] = n->now_ms + RETRY_MS;
		/*
		 * If this record has been applied already, the next changes are
		 * computed from it and need not wait.
		 */
		if (kind == APPEND_PUBLISHED &&
		    n->changes_base != n->fleet.configuration_version)
			n->next_append_at_ms[kind] = n->now_ms;
		/* Append the parts of a snapshot directly after each other. */
		if (kind == APPEND_SNAPSHOT && n->snapshot_parts->len)
			n->next_append_at_ms[kind] = n->now_ms;
		if (kind == APPEND_JOIN)
			n->next_join_at_ms = n->now_ms + RETRY_MS;
		return;
	}
	if (result == RESULT_CONFLICT && kind == APPEND_PUBLISHED)
		n->changes_max_bytes =
			MAX(n->changes_max_bytes / 2, CHANGES_MIN_BYTES);
	if (result == RESULT_CONFLICT) {
		n->next_append_at_ms[kind] =
			n->now_ms + conflict_backoff_ms(n, kind);
		n->next_join_at_ms = MIN(n->next_join_at_ms, n->now_ms);
		return;
	}
	n->next_append_at_ms[kind] = n->now_ms + RETRY_MS + append_jitter_ms(n);
}

void member_append_done(struct member_node *n, enum append_kind kind,
			int result, int64_t now_ms)
{
	n->now_ms = MAX(n->now_ms, now_ms);
	schedule_next_append(n, kind, result);
	if (kind == APPEND_LEFT)
		leaving_append_done(n, result);
}

/*
 * The number of members on other hosts that joined after this process first
 * read the log to its end, and so are known to run.
 */
static uint32_t count_new_members(const struct member_node *n)
{
	uint32_t count = 0;
	struct member *m;
	uint32_t i;

	for_each_member (&n->fleet, m, i)
		count += m->id > n->initial_log_end + 1 &&
			 strcmp(m->host, n->join_info.host);
	return count;
}

static uint32_t count_replaced_witnesses(const struct member_node *n,
					 const struct witness_set *w)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < w->n; i++)
		count += w->id[i] != LOG_WITNESS &&
			 !fleet_member_by_process(&n->fleet, w->id[i]);
	return count;
}

/*
 * Whether this member joined with witnesses that have probably stopped. When
 * all processes were killed at once, the first to join again name witnesses
 * that no longer run, and would notice only after a lease's length without a
 * vouch. Members that joined since then are known to run. Once there are enough
 * of them, and most of the named witnesses were replaced or several requests
 * for vouches got this member no lease, it joins again with other witnesses. No
 * request was served in this incarnation, so nothing is lost by ending it.
 */
static bool chose_stopped_witnesses(const struct member_node *n)
{
	const struct member *m = fleet_member(&n->fleet, n->self_id);
	bool is_unanswered = n->now_ms - n->joined_at_ms >
			     UNANSWERED_REQUESTS * n->timing.vouch_interval_ms;

	if (n->ever_leased || !n->log_up || !m ||
	    count_new_members(n) < FLEET_WITNESSES)
		return false;
	return is_unanswered ||
	       count_replaced_witnesses(n, &m->witnesses) > m->witnesses.n / 2;
}

/*
 * The id above which members are preferred as witnesses; 0 for no preference.
 */
static int64_t preferred_witness_above(const struct member_node *n)
{
	return count_new_members(n) >= FLEET_WITNESSES ? n->initial_log_end + 1
						       : 0;
}

static bool must_rejoin(const struct member_node *n)
{
	return lease_is_irrecoverable(n) || chose_stopped_witnesses(n) ||
	       (n->log_up && n->no_lease_since_ms &&
		n->now_ms - n->no_lease_since_ms >
			REJOIN_AFTER_LEASES * n->timing.lease_ms);
}

static void collect_unresponsive_witnesses(struct member_node *n)
{
	uint32_t i;

	n->unresponsive_witnesses.n = 0;
	for (i = 0; i < n->own_witnesses->len; i++) {
		const struct witness_status *v = &g_array_index(
			n->own_witnesses, struct witness_status, i);

		if (n->unresponsive_witnesses.n < FLEET_MAX_WITNESSES &&
		    n->now_ms - v->request_sent_at_ms > n->timing.lease_ms)
			n->unresponsive_witnesses
				.id[n->unresponsive_witnesses.n++] = v->witness;
	}
}

static void propose_join(struct member_node *n)
{
	if (n->self_id && !must_rejoin(n))
		return;
	if (!n->want_member || n->resigning || !n->log_caught_up)
		return;
	if (!n->next_join_at_ms && !fleet_n_members(&n->fleet))
		n->next_join_at_ms =
			n->now_ms +
			g_rand_int_range(n->rand, 0, FIRST_JOIN_SPREAD_MS);
	if (!may_append(n, APPEND_JOIN) || n->now_ms < n->next_join_at_ms)
		return;
	n->next_join_at_ms = n->now_ms + RETRY_MS + append_jitter_ms(n);
	/*
	 * End the old incarnation before the append. Other nodes may read the
	 * new join record before this node does, and take over this node's
	 * shards; a late answer from a witness must not renew the old lease in
	 * the meantime.
	 */
	if (n->self_id) {
		collect_unresponsive_witnesses(n);
		member_end_incarnation(n);
	}
	assign_witnesses(&n->fleet, &n->join_info, &n->unresponsive_witnesses,
			 preferred_witness_above(n), &n->join_info.witnesses);
	g_snprintf(n->join_info.nonce, sizeof(n->join_info.nonce), "%08x%08x",
		   g_rand_int(n->rand), g_rand_int(n->rand));
	member_append(n, APPEND_JOIN, record_join(&n->join_info));
}

/*
 * How long this node waits before it proposes to expel subject, so that members
 * act one by one: first the successors of subject, by id, then the other
 * members, by rank.
 */
static int64_t expel_delay_ms(const struct member_node *n, int64_t subject)
{
	GArray *successors = member_successors(n, subject);
	uint32_t rank = 0;
	bool is_successor = false;
	uint32_t i;

	for (i = 0; i < successors->len; i++) {
		int64_t id = g_array_index(successors, int64_t, i);

		is_successor = is_successor || id == n->self_id;
		rank += id < n->self_id;
	}
	if (!is_successor)
		rank = successors->len +
		       assign_rank(&n->fleet, "expel", n->self_id);
	g_array_unref(successors);
	return MIN(rank, 20) * RANK_STEP_MS;
}

/*
 * Whether a member with the log as witness may be expelled: each of its sets of
 * witnesses contains the log, or a majority of the set promised not to vouch
 * for it again, and it has sent this node no vouch request for so long that its
 * lease has ended.
 */
static bool log_witnessed_expired(const struct member_node *n,
				  const struct member *m)
{
	uint32_t i;

	if (!witness_set_has(&m->witnesses, LOG_WITNESS) &&
	    !witness_set_has(&m->old_witnesses, LOG_WITNESS))
		return false;
	/*
	 * While a change to or from the log as witness is not settled, the
	 * member may not have read the record of the change, and may serve with
	 * the vouches of its other set of witnesses alone.
	 */
	if (!takeover_set_allows_expel(n, m->id, &m->witnesses) ||
	    (m->old_witnesses.n &&
	     !takeover_set_allows_expel(n, m->id, &m->old_witnesses)))
		return false;
	for (i = 0; i < n->witnessed->len; i++) {
		const struct witnessed_member *w = &g_array_index(
			n->witnessed, struct witnessed_member, i);

		if (w->subject == m->id)
			return n->now_ms - w->last_request_at_ms >
			       LOG_WITNESSED_WAITS * member_lease_wait_ms(n) +
				       expel_delay_ms(n, m->id);
	}
	return false;
}

static bool expel_due(const struct member_node *n, const struct member *m)
{
	if (m->id == n->self_id)
		return n->resigning && holds_send_ids_is_done(n);
	if (log_witnessed_expired(n, m))
		return true;
	return takeover_stop_proved(n, m->id) &&
	       n->now_ms >= takeover_last_promise_at_ms(n, m->id) +
				    expel_delay_ms(n, m->id);
}

static void propose_expel(struct member_node *n)
{
	json_t *record = NULL;
	struct member *m;
	uint32_t i;

	if (!n->self_id || !may_append(n, APPEND_EXPEL))
		return;
	if (!n->stop_promises->len && !n->resigning && !n->witnessed->len)
		return;
	for_each_member (&n->fleet, m, i) {
		if (!expel_due(n, m))
			continue;
		if (!record)
			record = record_expel(n->self_id,
					      m->id == n->self_id
						      ? "resigned"
						      : "lease lapsed");
		record_expel_add(record, m);
	}
	if (record)
		member_append(n, APPEND_EXPEL, record);
}

static bool needs_new_witnesses(const struct member_node *n,
				const struct member *m)
{
	uint32_t i;

	for (i = 0; i < m->witnesses.n; i++)
		if (m->witnesses.id[i] != LOG_WITNESS &&
		    !fleet_member_by_process(&n->fleet, m->witnesses.id[i]))
			return true;
	for (i = 0; i < n->own_witnesses->len; i++)
		if (g_array_index(n->own_witnesses, struct witness_status, i)
			    .denied)
			return true;
	return witness_set_has(&m->witnesses, LOG_WITNESS) &&
	       fleet_n_members(&n->fleet) > FLEET_WITNESSES;
}

static bool witness_sets_equal(const struct witness_set *a,
			       const struct witness_set *b)
{
	uint32_t i;

	for (i = 0; i < a->n; i++)
		if (!witness_set_has(b, a->id[i]))
			return false;
	return a->n == b->n;
}

static void propose_witnesses(struct member_node *n)
{
	const struct member *m = fleet_member(&n->fleet, n->self_id);
	struct witness_set w;

	if (!m || n->resigning || !lease_valid(n))
		return;
	/*
	 * A change in progress is settled first, which needs vouches of the new
	 * witnesses. Propose another only if too few of them can still vouch.
	 */
	if (m->old_witnesses.n && lease_obtainable_from(n, &m->witnesses))
		return;
	if (!needs_new_witnesses(n, m)) {
		n->next_append_at_ms[APPEND_WITNESSES] =
			n->now_ms + WITNESS_CHANGE_DELAY_MS +
			append_jitter_ms(n);
		return;
	}
	if (!may_append(n, APPEND_WITNESSES))
		return;
	assign_witnesses(&n->fleet, m, &n->denied_witnesses,
			 preferred_witness_above(n), &w);
	if (witness_sets_equal(&w, &m->witnesses))
		return;
	member_append(n, APPEND_WITNESSES,
		      record_witnesses(n->self_id, m->witness_offset, &w));
}

/*
 * The newest offset up to which all moves to this node are complete, so that no
 * predecessor can still serve the shards, and no change of witnesses is open.
 * *settles_any is set if a settle record up to there would settle anything.
 */
static int64_t find_settled_offset(const struct member_node *n,
				   const struct member *m, bool *settles_any)
{
	struct fleet_service *s = member_service(n);
	int64_t upto = n->fleet.applied;
	uint32_t i;

	*settles_any = false;
	if (m->old_witnesses.n) {
		if (lease_majority_applied(n, &m->old_witnesses,
					   m->witness_offset) &&
		    lease_new_set_vouches(n, m) && lease_new_set_covers(n, m))
			*settles_any = true;
		else
			upto = MIN(upto, m->witness_offset - 1);
	}
	for (i = 0; s && i < n->n_holds; i++)
		if (s->shards[i].owner == n->self_id && !holds_can_settle(n, i))
			upto = MIN(upto, s->shards[i].fence - 1);
	for (i = 0; s && i < n->n_holds; i++)
		*settles_any = *settles_any ||
			       (s->shards[i].owner == n->self_id &&
				s->shards[i].prev_owner &&
				s->shards[i].fence <= upto);
	return upto;
}

static void propose_settle(struct member_node *n)
{
	const struct member *m = fleet_member(&n->fleet, n->self_id);
	bool settles_any;
	int64_t upto;

	/*
	 * Without a lease, the old witnesses may already have promised a
	 * successor that this member has stopped. After settling, their
	 * promises would no longer count.
	 */
	if (!m || !may_append(n, APPEND_SETTLE) || !lease_valid(n))
		return;
	if (m->old_witnesses.n && (n->settling_offset == m->witness_offset ||
				   lease_new_set_vouches(n, m)))
		lease_prepare_settle(n, m);
	upto = find_settled_offset(n, m, &settles_any);
	if (!settles_any)
		return;
	if (m->old_witnesses.n && m->witness_offset <= upto)
		n->settle_sent = true;
	member_append(n, APPEND_SETTLE, record_settle(n->self_id, upto));
}

static bool all_settled(const struct fleet_service *s)
{
	uint32_t i;

	for (i = 0; i < s->n_shards; i++)
		if (s->shards[i].prev_owner)
			return false;
	return true;
}

static void propose_balance(struct member_node *n)
{
	const struct fleet_service *s = member_service(n);
	json_t *record;
	int64_t wait;

	if (!s || !n->self_id || !lease_valid(n) || n->resigning ||
	    !may_append(n, APPEND_BALANCE))
		return;
	n->next_append_at_ms[APPEND_BALANCE] = n->now_ms + BALANCE_INTERVAL_MS;
	record = all_settled(s)
			 ? assign_balance(&n->fleet, s, n->timing.move_batch)
			 : NULL;
	if (!record) {
		n->unbalanced_since_ms = n->now_ms;
		return;
	}
	wait = BALANCE_INTERVAL_MS +
	       MIN(assign_rank(&n->fleet, s->name, n->self_id), 20) *
		       BALANCE_RANK_STEP_MS;
	if (n->now_ms - n->unbalanced_since_ms < wait) {
		json_decref(record);
		return;
	}
	json_object_set_new(record, "by", json_integer(n->self_id));
	member_append(n, APPEND_BALANCE, record);
}

bool member_can_move_shard(const struct member_node *n, uint32_t shard)
{
	const struct fleet_service *s = member_service(n);

	return s && shard < n->n_holds &&
	       s->shards[shard].owner == n->self_id &&
	       !s->shards[shard].prev_owner &&
	       n->holds[shard].state == HOLD_HELD;
}

bool member_move_shards(struct member_node *n, int64_t to, const GArray *shards,
			int64_t now_ms)
{
	const struct fleet_service *s = member_service(n);
	const struct member *m = fleet_member(&n->fleet, to);
	json_t *record;
	uint32_t n_items = 0;
	uint32_t i;

	n->now_ms = MAX(n->now_ms, now_ms);
	if (!s || !m || !n->self_id || n->resigning || !lease_valid(n) ||
	    !may_append(n, APPEND_MOVE))
		return false;
	record = record_move(s->name, n->self_id, "load");
	assign_prepare(&n->fleet, s);
	for (i = 0; i < shards->len; i++) {
		uint32_t shard = g_array_index(shards, uint32_t, i);
		int64_t successor;

		if (!member_can_move_shard(n, shard))
			continue;
		successor = s->shards[shard].successor;
		if (!successor || successor == to)
			successor = n->self_id;
		record_move_add(record, shard, to, successor,
				s->shards[shard].fence);
		n_items++;
	}
	if (n_items)
		member_append(n, APPEND_MOVE, record);
	else
		json_decref(record);
	return n_items;
}

static void create_snapshot_parts(struct member_node *n)
{
	json_t *state = fleet_snapshot(&n->fleet);
	char *text = json_dumps(state, JSON_COMPACT | JSON_ENSURE_ASCII);
	size_t len = strlen(text);
	uint32_t parts = (len + SNAPSHOT_PART_BYTES - 1) / SNAPSHOT_PART_BYTES;
	uint32_t i;

	n->pending_snapshot_offset = n->fleet.applied;
	n->snapshot_partly_written = false;
	for (i = 0; i < parts; i++) {
		size_t at = (size_t)i * SNAPSHOT_PART_BYTES;

		g_ptr_array_add(
			n->snapshot_parts,
			record_snapshot(n->fleet.applied, i, parts, text + at,
					MIN(len - at, SNAPSHOT_PART_BYTES)));
	}
	free(text);
	json_decref(state);
}

static bool snapshot_due(const struct member_node *n)
{
	int64_t age = n->now_ms - n->snapshot_seen_at_ms;
	/* A snapshot that another member is still writing counts too. */
	int64_t records = n->fleet.applied -
			  MAX(n->fleet.snapshot_offset, n->fleet.snapshot_upto);
	int64_t rank = MIN(assign_rank(&n->fleet, "snapshot", n->self_id), 20);

	if (records <= 1)
		return false;
	if (age >= n->timing.snapshot_interval_ms + rank * BALANCE_RANK_STEP_MS)
		return true;
	return records >=
	       n->timing.snapshot_records + rank * n->timing.snapshot_records /
						    SNAPSHOT_RANK_DIVISOR;
}

/*
 * The log drops old records. Without a new snapshot the state that they led to
 * would be lost with them, and a node that starts later could not restore it.
 */
static void propose_snapshot(struct member_node *n)
{
	if (!n->self_id || !may_append(n, APPEND_SNAPSHOT))
		return;
	/*
	 * Another member was first with a snapshot of the same state or a newer
	 * one.
	 */
	if (n->fleet.snapshot_upto >=
	    n->pending_snapshot_offset + n->snapshot_partly_written)
		g_ptr_array_set_size(n->snapshot_parts, 0);
	if (!n->snapshot_parts->len && snapshot_due(n))
		create_snapshot_parts(n);
	if (!n->snapshot_parts->len)
		return;
	member_append(n, APPEND_SNAPSHOT,
		      json_incref(g_ptr_array_index(n->snapshot_parts, 0)));
}

static bool has_unowned_shard(const struct fleet_service *s)
{
	uint32_t i;

	for (i = 0; i < s->n_shards; i++)
		if (!s->shards[i].owner)
			return true;
	return false;
}

/*
 * Assign unowned ranges of keys to the members, once no member has joined for a
 * while, or after PLACE_MAX_WAIT_MS at the latest.
 */
static void propose_place(struct member_node *n)
{
	const struct fleet_service *s = member_service(n);
	int64_t wait;

	if (!s || !s->key_numbers || !n->self_id || n->resigning ||
	    !has_unowned_shard(s)) {
		n->unowned_since_ms = 0;
		return;
	}
	if (!n->unowned_since_ms)
		n->unowned_since_ms = n->now_ms;
	wait = MIN(assign_rank(&n->fleet, "place", n->self_id), 20) *
	       RANK_STEP_MS;
	if (n->now_ms - n->service_last_join_at_ms <
		    PLACE_AFTER_JOIN_MS + wait &&
	    n->now_ms - n->unowned_since_ms < PLACE_MAX_WAIT_MS + wait)
		return;
	if (may_append(n, APPEND_PLACE))
		member_append(n, APPEND_PLACE,
			      record_place(s->name, n->self_id));
}

/* Compute the changes from the configuration in force to the published one. */
static void compute_changes(struct member_node *n)
{
	json_t *from = n->fleet.document;
	json_t *to;

	if (n->changes_source == n->published_source &&
	    n->changes_base == n->fleet.configuration_version &&
	    n->changes_limit == n->changes_max_bytes)
		return;
	json_decref(n->changes);
	to = published_load_document(n);
	n->changes = to ? changes_between(from, to, n->changes_max_bytes,
					  &n->changes_complete)
			: NULL;
	n->changes_base = n->fleet.configuration_version;
	n->changes_source = n->published_source;
	n->changes_limit = n->changes_max_bytes;
}

void propose_init(struct member_node *n)
{
	n->changes_source = -1;
	n->changes_max_bytes = CHANGES_MAX_BYTES;
}

/* Free the published document, which is large, once it is in force. */
static void discard_operators_document(struct member_node *n)
{
	g_clear_pointer(&n->operators_document, json_decref);
	g_clear_pointer(&n->changes, json_decref);
	propose_init(n);
}

/*
 * A host with a tenth of a core needs longer to compute the changes of a larger
 * document.
 */
int64_t publish_rank_step_ms(const struct member_node *n)
{
	return PUBLISH_RANK_STEP_MS +
	       MIN(n->published_bytes / PUBLISH_BYTES_PER_MS,
		   PUBLISH_RANK_STEP_EXTRA_MS);
}

/*
 * Append the changes that operators published to the log. Any node may do so:
 * the first by rank does, and the others wait in the order of their ranks, in
 * case those before them have failed.
 */
static void propose_published(struct member_node *n)
{
	int64_t wait = PUBLISH_NON_MEMBER_DELAY_MS +
		       hash_pair(n->join_info.host, n->published_source) %
			       PUBLISH_NON_MEMBER_SPREAD_MS;

	if (n->published_source <= n->fleet.source_offset) {
		discard_operators_document(n);
		return;
	}
	if (!n->log_caught_up || !may_append(n, APPEND_PUBLISHED))
		return;
	if (n->self_id)
		wait = assign_rank(&n->fleet, "publish", n->self_id) *
		       publish_rank_step_ms(n);
	if (n->now_ms - n->published_wait_since_ms < wait)
		return;
	compute_changes(n);
	if (!n->changes)
		return;
	member_append(n, APPEND_PUBLISHED,
		      record_changes(n->fleet.configuration_version,
				     json_incref(n->changes),
				     n->published_source, n->changes_complete,
				     n->self_id));
}

/* The records are appended by non-members too: a server's end ends membership. */
static void propose_suspects(struct member_node *n)
{
	json_t *record;

	if (may_append(n, APPEND_SUSPECTS)) {
		record = suspects_ending_record(n);
		if (record)
			member_append(n, APPEND_SUSPECTS, record);
	}
	if (may_append(n, APPEND_CLEARED)) {
		record = suspects_cleared_record(n);
		if (record)
			member_append(n, APPEND_CLEARED, record);
	}
}

/* Propose each record that is due by this node's rank and state. */
void propose_tick(struct member_node *n)
{
	propose_join(n);
	propose_expel(n);
	propose_witnesses(n);
	propose_settle(n);
	propose_place(n);
	propose_published(n);
	propose_suspects(n);
	leaving_propose(n);
	propose_balance(n);
	propose_snapshot(n);
}

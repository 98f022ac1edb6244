#include <string.h>

#include "member/internal.h"
#include "util/counters.h"
#include "util/deflate.h"
#include "util/hash.h"
#include "util/result.h"

/*
 * Replication of records between members, for those that cannot or need not
 * read the log. An offset identifies a record, so a copy from any peer can
 * replace the log's.
 */

/* How long a node is behind a peer before it fetches records from the peer. */
#define FETCH_DELAY_MS 300
/*
 * Longer while the log can be read: a long record would otherwise be sent over
 * one peer's link to each node that lacks it. Sending 300 kB eighteen times
 * over a link of 10 Mbit/s takes four seconds.
 */
#define FETCH_DELAY_LOG_UP_MS 1000
#define CACHE_MAX_BYTES (1024 * 1024)
#define CACHE_MAX_RECORDS 4096
#define BATCH_MAX_BYTES (256 * 1024)
/*
 * Records that are longer than this after compression are not relayed: each
 * node reads them from the log, since the store's bandwidth is cheap.
 */
#define RELAY_MAX_BYTES (8 * 1024)
/* Longer texts are compressed and begin with the mark; JSON never does. */
#define UNCOMPRESSED_MAX_BYTES 2048
#define COMPRESSED_MARK 'z'
#define RELAY_UPDATE_INTERVAL_MS 500
/* In fleets up to this size every member reads the log. */
#define ALL_READ_LOG_MAX_MEMBERS 4
/* In fleets up to this size every member reads the operators' stream. */
#define ALL_READ_OPERATORS_MAX_MEMBERS 24
/*
 * In larger fleets this many members do. They seldom all fail, or lose the
 * connection to the store, at the same time.
 */
#define N_OPERATOR_READERS 12
/*
 * Members that are to offer changes to a new one learn of it from the log,
 * which may be slow. Until then it reads the operators' stream itself.
 */
#define NEW_MEMBER_MS 10000
/* The number of members that read the log for all, so that one may fail. */
#define N_LOG_READERS 2
/*
 * A relay that has received nothing from a log reader for RELAY_TIMEOUT_MS, not
 * even a keepalive, reads the log itself.
 */
#define RELAY_KEEPALIVE_MS 400
#define RELAY_TIMEOUT_MS 1500
/*
 * A follower that has received nothing for FOLLOWER_TIMEOUT_MS reads the log
 * itself more often.
 */
#define FOLLOWER_KEEPALIVE_MS 2000
#define FOLLOWER_TIMEOUT_MS 6000

/* Free a struct cached_record. */
void cached_record_free(gpointer p)
{
	struct cached_record *c = p;

	g_free(c->append_id);
	g_free(c->text);
	g_free(c);
}

/*
 * The text of a record for the cache. A part of a snapshot is cached without
 * its data, since a peer that has applied the records before it does not need
 * the data, and a peer that has applied nothing is sent the state. With its
 * data a part would be too long to relay, and each node would have to read it
 * from the log.
 */
static char *text_to_cache(const json_t *record)
{
	const char *type = json_string_value(json_object_get(record, "type"));
	json_t *without_data;
	char *text;

	if (g_strcmp0(type, "snapshot"))
		return json_dumps(record, JSON_COMPACT);
	without_data = json_copy((json_t *)record);
	json_object_set_new(without_data, "data", json_string(""));
	text = json_dumps(without_data, JSON_COMPACT);
	json_decref(without_data);
	return text;
}

/* Cache a record that was just applied, for peers that lack it. */
void sync_cache_record(struct member_node *n, int64_t offset,
		       const char *append_id, const json_t *record)
{
	struct cached_record *c = g_new0(struct cached_record, 1);

	c->offset = offset;
	c->append_id = g_strdup(append_id);
	c->text = text_to_cache(record);
	n->cache_bytes += strlen(c->text);
	g_queue_push_tail(n->cache, c);
	while (n->cache_bytes > CACHE_MAX_BYTES ||
	       n->cache->length > CACHE_MAX_RECORDS) {
		c = g_queue_pop_head(n->cache);
		n->cache_bytes -= strlen(c->text);
		cached_record_free(c);
	}
}

/* A peer reported the offset of the last record that it has applied. */
void sync_on_peer_offset(struct member_node *n, int64_t peer, int64_t applied)
{
	if (applied <= n->fleet.applied || applied <= n->ahead_applied)
		return;
	n->ahead_applied = applied;
	n->ahead_peer = peer;
	if (!n->behind_since_ms)
		n->behind_since_ms = n->now_ms;
}

/* Ask a peer for the records after the last one applied here. */
void sync_fetch(struct member_node *n, int64_t peer)
{
	struct member_msg msg;

	member_msg_init(&msg, MSG_RECORDS_REQUEST);
	msg.offset = n->fleet.applied + 1;
	member_send(n, peer, &msg);
}

/*
 * Fetch more records from the peer that sent msg, or note that this node has
 * caught up with it. Called when what msg brought has been applied. An answer
 * is limited in size, so several may be needed. A peer that has just started
 * may be far behind itself, so only a peer that is current counts.
 */
static void check_caught_up(struct member_node *n, const struct member_msg *msg)
{
	if (n->fleet.applied < msg->applied) {
		sync_fetch(n, msg->from);
		return;
	}
	if (!(msg->flags & SENDER_IS_CURRENT) || n->peer_caught_up ||
	    n->fleet.applied < n->ahead_applied)
		return;
	n->peer_caught_up = true;
	n->peer_required_source = spread_newest_known(&n->spread);
	member_note(n, NOTE_CAUGHT_UP, msg->from);
}

static int64_t sender_flags(const struct member_node *n)
{
	return member_is_current(n) ? SENDER_IS_CURRENT : 0;
}

/*
 * Choose the log readers, relays and followers again. Each reader costs the
 * store a call per read, so two members read the log. They send the records to
 * the relays, and each relay sends them to its followers. Each follower has two
 * senders, readers or relays, so that it misses nothing when one fails.
 */
static void update_relay_tree(struct member_node *n)
{
	GArray *senders;
	struct member *m;
	uint32_t own_index, i;

	if (n->now_ms < n->next_relay_update_at_ms)
		return;
	n->next_relay_update_at_ms = n->now_ms + RELAY_UPDATE_INTERVAL_MS;
	senders = assign_readers_and_relays(&n->fleet);
	g_array_set_size(n->followers, 0);
	g_array_set_size(n->relays, 0);
	for (own_index = 0; own_index < senders->len; own_index++)
		if (g_array_index(senders, int64_t, own_index) == n->self_id)
			break;
	n->is_log_reader = n->self_id && own_index < N_LOG_READERS;
	n->is_relay = n->self_id && !n->is_log_reader &&
		      own_index < senders->len;
	for (i = N_LOG_READERS; n->is_log_reader && i < senders->len; i++)
		g_array_append_val(n->relays,
				   g_array_index(senders, int64_t, i));
	for_each_member (&n->fleet, m, i) {
		uint32_t first = hash_pair("follow", m->id) % senders->len;
		uint32_t second = (first + 1) % senders->len;

		if ((n->is_log_reader || n->is_relay) &&
		    (first == own_index || second == own_index) &&
		    !ids_contain(senders, m->id))
			g_array_append_val(n->followers, m->id);
	}
	g_array_unref(senders);
}

/*
 * Whether this node is a relay that has received nothing from a log reader for
 * RELAY_TIMEOUT_MS. All readers may have failed or be cut off from the log, and
 * new records would go unnoticed.
 */
static bool relay_timed_out(const struct member_node *n)
{
	return n->is_relay &&
	       n->now_ms - n->last_relay_at_ms > RELAY_TIMEOUT_MS;
}

/*
 * Whether new records of the log reach this node, so that its keepalives can
 * confirm to others that there are none.
 */
static bool follows_log(const struct member_node *n)
{
	if (n->is_log_reader || relay_timed_out(n))
		return n->log_up;
	return n->is_relay;
}

bool member_reads_log(const struct member_node *n)
{
	return !n->self_id || n->is_log_reader || relay_timed_out(n) ||
	       member_lease_needs_log(n) ||
	       fleet_n_members(&n->fleet) <= ALL_READ_LOG_MAX_MEMBERS;
}

bool member_is_new(const struct member_node *n)
{
	return !n->self_id || !member_is_current(n) ||
	       n->now_ms - n->joined_at_ms < NEW_MEMBER_MS;
}

bool member_reads_operator_stream(const struct member_node *n)
{
	return member_is_new(n) ||
	       fleet_n_members(&n->fleet) <= ALL_READ_OPERATORS_MAX_MEMBERS ||
	       assign_rank(&n->fleet, "publish", n->self_id) <
		       N_OPERATOR_READERS;
}

bool member_has_live_relay(const struct member_node *n)
{
	int64_t since = n->now_ms - n->last_relay_at_ms;

	if (n->is_relay)
		return since <= RELAY_TIMEOUT_MS;
	return n->last_relay_at_ms && since <= FOLLOWER_TIMEOUT_MS;
}

/* Compress a long text in place. */
void member_text_compress(GString *text)
{
	GString *compressed;

	if (text->len <= UNCOMPRESSED_MAX_BYTES)
		return;
	compressed = deflate_bytes(text->str, text->len);
	g_string_truncate(text, 0);
	g_string_append_c(text, COMPRESSED_MARK);
	g_string_append_len(text, compressed->str, compressed->len);
	g_string_free(compressed, TRUE);
}

/*
 * The JSON of a text that may be compressed, as a new reference; NULL if it is
 * malformed.
 */
json_t *member_text_parse(const GString *text)
{
	GString *plain;
	json_t *o;

	if (!text->len || text->str[0] != COMPRESSED_MARK)
		return json_loadb(text->str, text->len, 0, NULL);
	plain = inflate_bytes(text->str + 1, text->len - 1, MSG_MAX_TEXT);
	if (!plain)
		return NULL;
	o = json_loadb(plain->str, plain->len, 0, NULL);
	g_string_free(plain, TRUE);
	return o;
}

/* The cached records from an offset on, as text for MSG_RECORDS. */
static GString *format_records(const struct member_node *n, int64_t offset)
{
	GString *text = g_string_new("[");
	GList *l;

	for (l = n->cache->head; l && text->len <= BATCH_MAX_BYTES;
	     l = l->next) {
		struct cached_record *c = l->data;

		if (c->offset >= offset)
			g_string_append_printf(text, "%s[\"%s\",%s]",
					       c->offset == offset ? "" : ",",
					       c->append_id, c->text);
	}
	g_string_append_c(text, ']');
	member_text_compress(text);
	return text;
}

static void send_to_each(struct member_node *n, const GArray *ids,
			 struct member_msg *msg)
{
	uint32_t i;

	for (i = 0; i < ids->len; i++)
		member_send(n, g_array_index(ids, int64_t, i), msg);
}

/*
 * Fill in a message with the records from an offset on, for members that do not
 * read the log.
 */
static void relay_msg_init(const struct member_node *n, int64_t offset,
			   struct member_msg *msg)
{
	member_msg_init(msg, MSG_RECORDS);
	msg->offset = offset;
	msg->flags = sender_flags(n);
	if (follows_log(n))
		msg->flags |= SENDER_FOLLOWS_LOG;
	msg->text = format_records(n, offset);
	/*
	 * The receivers read long records from the log. From the applied offset
	 * in the message they learn that there are new ones.
	 */
	if (msg->text->len > RELAY_MAX_BYTES)
		g_string_assign(msg->text, "[]");
}

void member_relay_records(struct member_node *n, int64_t offset)
{
	struct member_msg msg;

	if (!n->followers->len && !n->relays->len)
		return;
	relay_msg_init(n, offset, &msg);
	send_to_each(n, n->relays, &msg);
	send_to_each(n, n->followers, &msg);
	member_msg_finish(&msg);
	n->next_relay_keepalive_at_ms = n->now_ms + RELAY_KEEPALIVE_MS;
	n->next_follower_keepalive_at_ms = n->now_ms + FOLLOWER_KEEPALIVE_MS;
}

/*
 * Tell members that this node follows the log, if it has sent them no records
 * for interval_ms.
 */
static void send_keepalive(struct member_node *n, const GArray *to,
			   int64_t *next_at_ms, int64_t interval_ms)
{
	struct member_msg msg;

	if (!to->len || n->now_ms < *next_at_ms || !follows_log(n))
		return;
	*next_at_ms = n->now_ms + interval_ms;
	relay_msg_init(n, n->fleet.applied + 1, &msg);
	send_to_each(n, to, &msg);
	member_msg_finish(&msg);
}

/*
 * Update the relay tree, send keepalives, and fetch records from a peer when
 * the log has not delivered them in time.
 */
void sync_tick(struct member_node *n)
{
	update_relay_tree(n);
	send_keepalive(n, n->relays, &n->next_relay_keepalive_at_ms,
		       RELAY_KEEPALIVE_MS);
	send_keepalive(n, n->followers, &n->next_follower_keepalive_at_ms,
		       FOLLOWER_KEEPALIVE_MS);
	if (n->fleet.applied >= n->ahead_applied) {
		n->behind_since_ms = 0;
		return;
	}
	if (!n->behind_since_ms ||
	    n->now_ms - n->behind_since_ms <
		    (n->log_up ? FETCH_DELAY_LOG_UP_MS : FETCH_DELAY_MS))
		return;
	if (n->now_ms < n->next_fetch_at_ms)
		return;
	n->next_fetch_at_ms = n->now_ms + FETCH_DELAY_MS;
	sync_fetch(n, n->ahead_peer);
	/*
	 * If that peer has failed, the next one that reports a newer offset is
	 * asked instead.
	 */
	n->ahead_applied = n->fleet.applied;
	n->behind_since_ms = n->now_ms;
}

static void send_state(struct member_node *n, int64_t to)
{
	json_t *state = fleet_snapshot(&n->fleet);
	char *text = json_dumps(state, JSON_COMPACT);
	struct member_msg msg;

	member_msg_init(&msg, MSG_STATE);
	msg.offset = n->fleet.applied;
	msg.flags = sender_flags(n);
	msg.text = g_string_new(text);
	member_text_compress(msg.text);
	free(text);
	json_decref(state);
	member_send(n, to, &msg);
	member_msg_finish(&msg);
}

/* A peer asks for the records from an offset on. */
void sync_on_request(struct member_node *n, const struct member_msg *msg)
{
	struct cached_record *first = g_queue_peek_head(n->cache);
	struct member_msg answer;

	/*
	 * A peer that has applied the same records as this node asks whether it
	 * has caught up. Only a current node can answer that.
	 */
	if (msg->offset > n->fleet.applied + 1 ||
	    (msg->offset == n->fleet.applied + 1 && !member_is_current(n)))
		return;
	/*
	 * Send the state to a peer that has applied nothing, which need not
	 * replay all records, or that lacks records older than the cache.
	 */
	if (msg->offset <= n->fleet.applied &&
	    (!msg->offset || !first || first->offset > msg->offset)) {
		published_offer_to(n, msg->from);
		send_state(n, msg->from);
		return;
	}
	member_msg_init(&answer, MSG_RECORDS);
	answer.offset = msg->offset;
	answer.flags = sender_flags(n);
	answer.text = format_records(n, msg->offset);
	published_offer_to(n, msg->from);
	member_send(n, msg->from, &answer);
	member_msg_finish(&answer);
}

/*
 * Apply the records that a peer sent, and send them on if this node is a relay.
 */
void sync_on_records(struct member_node *n, const struct member_msg *msg)
{
	int64_t before = n->fleet.applied;
	json_t *list;
	json_t *pair;
	size_t i;

	if (!msg->text)
		return;
	list = member_text_parse(msg->text);
	json_array_foreach(list, i, pair)
	{
		const char *id = json_string_value(json_array_get(pair, 0));
		json_t *record = json_array_get(pair, 1);

		if (!id || !json_is_object(record)) {
			COUNT(peer_messages_malformed);
			break;
		}
		if (msg->offset + (int64_t)i <= n->fleet.applied)
			continue;
		if (member_on_record(n, msg->offset + i, id, record,
				     n->now_ms) == RESULT_GAP)
			break;
		COUNT(records_from_peers);
	}
	json_decref(list);
	if (msg->flags & SENDER_FOLLOWS_LOG)
		n->last_relay_at_ms = n->now_ms;
	if (n->is_relay && n->fleet.applied > before)
		member_relay_records(n, before + 1);
	/*
	 * The message announced records that it does not contain, or others
	 * before them are missing here. Read them from the log.
	 */
	if (n->fleet.applied < msg->applied && n->fleet.applied == before) {
		n->log_read_due = true;
		member_note(n, NOTE_ANNOUNCED, msg->applied);
	} else {
		check_caught_up(n, msg);
	}
}

/*
 * Replace the state by the complete one that a peer sent in place of records.
 */
void sync_on_state(struct member_node *n, const struct member_msg *msg)
{
	json_t *state;

	if (!msg->text || msg->offset <= n->fleet.applied)
		return;
	state = member_text_parse(msg->text);
	if (!state) {
		COUNT(peer_messages_malformed);
		return;
	}
	if (!fleet_load_snapshot(&n->fleet, state)) {
		member_on_state_replaced(n);
		check_caught_up(n, msg);
	}
	json_decref(state);
}

#include <string.h>

#include "member/internal.h"
#include "util/counters.h"
#include "util/deflate.h"
#include "util/hash.h"
#include "util/result.h"

/*
 * Records reach a node that cannot read the log from its peers: an offset
 * identifies a record, so a copy from anybody is as good as the log's own.
 */

#define FETCH_DELAY_MS 300
/*
 * While the log can be read it is asked first: what is long would go out once
 * for each who lacks it over one peer's link, 300 kB eighteen times over one of
 * 10 Mbit/s take four seconds.
 */
#define FETCH_DELAY_LOG_UP_MS 1000
#define CACHE_MAX_BYTES (1024 * 1024)
#define CACHE_MAX_RECORDS 4096
#define BATCH_MAX_BYTES (256 * 1024)
/* What is longer in its short form is read by each; the store's bytes are cheap.
 */
#define RELAY_MAX_BYTES (8 * 1024)
/* Text longer than this is compressed; JSON never begins with the mark. */
#define UNCOMPRESSED_MAX_BYTES 2048
#define COMPRESSED_MARK 'z'
#define RELAY_UPDATE_INTERVAL_MS 500
/* So few wait at the log all of them. */
#define ALL_READ_LOG_MAX_MEMBERS 4
/* Fewer read what operators publish in fleets larger than this. */
#define ALL_READ_OPERATORS_MAX_MEMBERS 24
/* Rarely are all of them gone or cut off from the store at once. */
#define N_OPERATOR_READERS 12
/* The first of the readers by rank read for all, so that one may be lost. */
#define N_LOG_READERS 2
/* Relays read the log themselves once no reader has sent word for so long. */
#define RELAY_KEEPALIVE_MS 400
#define RELAY_TIMEOUT_MS 1500
/* Followers look at it themselves now and then after that. */
#define FOLLOWER_KEEPALIVE_MS 2000
#define FOLLOWER_TIMEOUT_MS 6000

/* Release one cached record. */
void cached_record_free(gpointer p)
{
	struct cached_record *c = p;

	g_free(c->append_id);
	g_free(c->text);
	g_free(c);
}

/*
 * Who has applied what comes before a part of a snapshot has no need of it, and
 * who has nothing is handed the state. So that it need not be read by each
 * because it is long, it is kept without what it holds.
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

/* Keep a record that was just applied for peers that lack it. */
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

/* A peer named the offset that it has applied. */
void sync_on_peer_offset(struct member_node *n, int64_t peer, int64_t applied)
{
	if (applied <= n->fleet.applied || applied <= n->ahead_applied)
		return;
	n->ahead_applied = applied;
	n->ahead_peer = peer;
	if (!n->behind_since_ms)
		n->behind_since_ms = n->now_ms;
}

/* Ask a peer for the records that we lack. */
void sync_fetch(struct member_node *n, int64_t peer)
{
	struct member_msg msg;

	member_msg_init(&msg, MSG_RECORDS_ASK);
	msg.offset = n->fleet.applied + 1;
	member_send(n, peer, &msg);
}

/*
 * What a peer sent has been applied. A peer's answer is cut at a size, so it
 * may take several; the last one brings us level with it. A peer that has just
 * started itself may be far behind, and to be level with it means nothing.
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
	member_note(n, NOTE_CAUGHT_UP, msg->from);
}

static int64_t sender_flags(const struct member_node *n)
{
	return member_is_current(n) ? SENDER_IS_CURRENT : 0;
}

/*
 * A read costs a call for each who reads, so two do: they pass records on to
 * the relays, and each relay to its followers. Each follower has two relays or
 * readers, so that the loss of one goes unnoticed.
 */
static void update_relay_tree(struct member_node *n)
{
	GArray *all;
	struct member *m;
	uint32_t place, i;

	if (n->now_ms < n->next_relay_update_ms)
		return;
	n->next_relay_update_ms = n->now_ms + RELAY_UPDATE_INTERVAL_MS;
	all = assign_readers(&n->fleet);
	g_array_set_size(n->followers, 0);
	g_array_set_size(n->relays, 0);
	for (place = 0; place < all->len; place++)
		if (g_array_index(all, int64_t, place) == n->self)
			break;
	n->is_log_reader = n->self && place < N_LOG_READERS;
	n->is_relay = n->self && !n->is_log_reader && place < all->len;
	for (i = N_LOG_READERS; n->is_log_reader && i < all->len; i++)
		g_array_append_val(n->relays, g_array_index(all, int64_t, i));
	for_each_member (&n->fleet, m, i) {
		uint32_t first = hash_pair("follow", m->id) % all->len;
		uint32_t second = (first + 1) % all->len;

		if ((n->is_log_reader || n->is_relay) &&
		    (first == place || second == place) &&
		    !ids_contain(all, m->id))
			g_array_append_val(n->followers, m->id);
	}
	g_array_unref(all);
}

/* Readers may all be gone or cut off, and nobody would notice news. */
static bool relay_timed_out(const struct member_node *n)
{
	return n->is_relay &&
	       n->now_ms - n->last_relay_at_ms > RELAY_TIMEOUT_MS;
}

/* Whether news of the log reaches us, so that silence means none. */
static bool follows_log(const struct member_node *n)
{
	if (n->is_log_reader || relay_timed_out(n))
		return n->log_up;
	return n->is_relay;
}

bool member_reads_log(const struct member_node *n)
{
	return !n->self || n->is_log_reader || relay_timed_out(n) ||
	       member_needs_log(n) ||
	       fleet_n_members(&n->fleet) <= ALL_READ_LOG_MAX_MEMBERS;
}

bool member_reads_operator_stream(const struct member_node *n)
{
	return !n->self || !member_is_current(n) ||
	       fleet_n_members(&n->fleet) <= ALL_READ_OPERATORS_MAX_MEMBERS ||
	       assign_rank(&n->fleet, "publish", n->self) < N_OPERATOR_READERS;
}

bool member_has_live_relay(const struct member_node *n)
{
	int64_t since = n->now_ms - n->last_relay_at_ms;

	if (n->is_relay)
		return since <= RELAY_TIMEOUT_MS;
	return n->last_relay_at_ms && since <= FOLLOWER_TIMEOUT_MS;
}

static void compress_text(GString *text)
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

static json_t *parse_text(const GString *text)
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

/* Records from an offset on, as text for MSG_RECORDS. */
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
	compress_text(text);
	return text;
}

static void send_to_each(struct member_node *n, const GArray *ids,
			 struct member_msg *msg)
{
	uint32_t i;

	for (i = 0; i < ids->len; i++)
		member_send(n, g_array_index(ids, int64_t, i), msg);
}

/* Records from an offset on for those who do not read them. */
static void relay_msg_init(const struct member_node *n, int64_t offset,
			   struct member_msg *msg)
{
	member_msg_init(msg, MSG_RECORDS);
	msg->offset = offset;
	msg->flags = sender_flags(n);
	if (follows_log(n))
		msg->flags |= SENDER_READS_LOG;
	msg->text = format_records(n, offset);
	/* What is long they read themselves; that there is news is enough. */
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
	n->next_relay_keepalive_ms = n->now_ms + RELAY_KEEPALIVE_MS;
	n->next_follower_keepalive_ms = n->now_ms + FOLLOWER_KEEPALIVE_MS;
}

/* Tell members that the log is being read, though it has no news. */
static void send_keepalive(struct member_node *n, const GArray *to,
			   int64_t *next_ms, int64_t every_ms)
{
	struct member_msg msg;

	if (!to->len || n->now_ms < *next_ms || !follows_log(n))
		return;
	*next_ms = n->now_ms + every_ms;
	relay_msg_init(n, n->fleet.applied + 1, &msg);
	send_to_each(n, to, &msg);
	member_msg_finish(&msg);
}

/* Fetch from a peer when the log has not brought us level in time. */
void sync_tick(struct member_node *n)
{
	update_relay_tree(n);
	send_keepalive(n, n->relays, &n->next_relay_keepalive_ms,
		       RELAY_KEEPALIVE_MS);
	send_keepalive(n, n->followers, &n->next_follower_keepalive_ms,
		       FOLLOWER_KEEPALIVE_MS);
	if (n->fleet.applied >= n->ahead_applied) {
		n->behind_since_ms = 0;
		return;
	}
	if (!n->behind_since_ms ||
	    n->now_ms - n->behind_since_ms <
		    (n->log_up ? FETCH_DELAY_LOG_UP_MS : FETCH_DELAY_MS))
		return;
	if (n->now_ms < n->next_fetch_ms)
		return;
	n->next_fetch_ms = n->now_ms + FETCH_DELAY_MS;
	sync_fetch(n, n->ahead_peer);
	/* Should that peer be gone, the next one heard of takes its place. */
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
	compress_text(msg.text);
	free(text);
	json_decref(state);
	member_send(n, to, &msg);
	member_msg_finish(&msg);
}

/* A peer lacks records from an offset on. */
void sync_on_request(struct member_node *n, const struct member_msg *msg)
{
	struct cached_record *first = g_queue_peek_head(n->cache);
	struct member_msg answer;

	/* Who has all that we have asks whether that is all there is. */
	if (msg->offset > n->fleet.applied + 1 ||
	    (msg->offset == n->fleet.applied + 1 && !member_is_current(n)))
		return;
	/* Who has nothing would replay all records, and needs only the state. */
	if (msg->offset <= n->fleet.applied &&
	    (!msg->offset || !first || first->offset > msg->offset)) {
		send_state(n, msg->from);
		return;
	}
	member_msg_init(&answer, MSG_RECORDS);
	answer.offset = msg->offset;
	answer.flags = sender_flags(n);
	answer.text = format_records(n, msg->offset);
	member_send(n, msg->from, &answer);
	member_msg_finish(&answer);
}

/* A peer sends records. */
void sync_on_records(struct member_node *n, const struct member_msg *msg)
{
	int64_t before = n->fleet.applied;
	json_t *list;
	json_t *pair;
	size_t i;

	if (!msg->text)
		return;
	list = parse_text(msg->text);
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
	if (msg->flags & SENDER_READS_LOG)
		n->last_relay_at_ms = n->now_ms;
	if (n->is_relay && n->fleet.applied > before)
		member_relay_records(n, before + 1);
	/* Announced and not sent, or after others that we lack. */
	if (n->fleet.applied < msg->applied && n->fleet.applied == before)
		n->log_read_due = true;
	else
		check_caught_up(n, msg);
}

/* A peer sends a whole state, since it no longer has the records. */
void sync_on_state(struct member_node *n, const struct member_msg *msg)
{
	json_t *state;

	if (!msg->text || msg->offset <= n->fleet.applied)
		return;
	state = parse_text(msg->text);
	if (!state) {
		COUNT(peer_messages_malformed);
		return;
	}
	if (!fleet_load(&n->fleet, state)) {
		member_state_replaced(n);
		check_caught_up(n, msg);
	}
	json_decref(state);
}

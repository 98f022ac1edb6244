#include <string.h>

#include "member/internal.h"
#include "settings/changes.h"
#include "util/counters.h"
#include "util/result.h"

/*
 * Operators' changes between the time when they are known and the time when the
 * log has them: a reader of the operators' stream works out what changes, puts
 * it into force at this node and hands it on to its neighbours, which do the
 * same.
 */

/* Changes up to this size, compressed, are sent in place of an offer. */
#define PUSH_MAX_BYTES (4 * 1024)
/* Readers that work a change out at the same time, in case one has failed. */
#define READERS_AT_ONCE 2
/* A new member may get no offers, so it does not wait for all before it. */
#define NEW_MEMBER_MAX_TURN 2
/* A new member may get no offers, so it does not wait for all before it. */
#define NEW_MEMBER_MAX_TURN 2

void published_init(struct member_node *n)
{
	early_init(&n->early);
	spread_init(&n->spread);
	n->early_read_source = -1;
}

static void discard_texts(struct member_node *n)
{
	if (n->early_changes_text)
		g_string_free(n->early_changes_text, TRUE);
	if (n->early_document_text)
		g_string_free(n->early_document_text, TRUE);
	n->early_changes_text = NULL;
	n->early_document_text = NULL;
}

void published_finish(struct member_node *n)
{
	discard_texts(n);
	early_finish(&n->early);
	spread_finish(&n->spread);
}

const struct configuration *member_configuration(const struct member_node *n)
{
	return early_in_force(&n->early, &n->fleet);
}

int64_t member_source_in_force(const struct member_node *n)
{
	return early_source(&n->early, &n->fleet);
}

const json_t *member_document(const struct member_node *n)
{
	return early_document(&n->early, &n->fleet);
}

static bool published_is_in_force(const struct member_node *n)
{
	return n->published_source <= member_source_in_force(n);
}

static GString *text_of(const json_t *o)
{
	char *dump = json_dumps(o, JSON_COMPACT);
	GString *text = g_string_new(dump);

	free(dump);
	member_text_compress(text);
	return text;
}

static void add_neighbour(const struct member_node *n, GArray *out,
			  const struct member *m)
{
	if (m && m->id != n->self_id && !ids_contain(out, m->id))
		g_array_append_val(out, m->id);
}

/*
 * The members that this node exchanges vouches with, in either direction. The
 * links to them are open, and they are spread over data centres.
 */
static GArray *neighbours(const struct member_node *n)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(int64_t));
	uint32_t i;

	for (i = 0; i < n->own_witnesses->len; i++)
		add_neighbour(n, out,
			      fleet_member_by_process(
				      &n->fleet,
				      g_array_index(n->own_witnesses,
						    struct witness_status, i)
					      .witness));
	for (i = 0; i < n->witnessed->len; i++)
		add_neighbour(
			n, out,
			fleet_member(&n->fleet,
				     g_array_index(n->witnessed,
						   struct witnessed_member, i)
					     .subject));
	return out;
}

static void send_offer(struct member_node *n, int64_t to, int64_t source,
		       int64_t flags)
{
	struct member_msg msg;

	COUNT(changes_offered);
	member_msg_init(&msg, MSG_CHANGE_OFFER);
	msg.offset = source;
	msg.flags = flags;
	member_send(n, to, &msg);
}

/* Sends the early configuration, as changes or as a whole document. */
static void send_change(struct member_node *n, int64_t to, bool whole)
{
	struct member_msg msg;

	if (whole && !n->early_document_text)
		n->early_document_text = text_of(n->early.document);
	COUNT(changes_sent);
	member_msg_init(&msg, MSG_CHANGE);
	msg.offset = n->early.source;
	msg.subject = n->early.base;
	msg.flags = whole ? CHANGE_IS_WHOLE : 0;
	msg.requested_at_ms = n->now_ms - n->early_read_at_ms;
	msg.text = whole ? n->early_document_text : n->early_changes_text;
	COUNT_ADD(changes_bytes_sent, msg.text->len);
	member_send(n, to, &msg);
	msg.text = NULL;
}

static void offer(struct member_node *n, bool again)
{
	GArray *to = neighbours(n);
	const GString *text = n->early_changes_text;
	uint32_t i;

	for (i = 0; i < to->len; i++) {
		int64_t id = g_array_index(to, int64_t, i);

		if (!spread_lacks(&n->spread, id))
			continue;
		if (!again && text && text->len <= PUSH_MAX_BYTES)
			send_change(n, id, false);
		else
			send_offer(n, id, n->early.source,
				   again ? CHANGE_OFFER_AGAIN : 0);
	}
	g_array_unref(to);
	spread_offered(&n->spread, n->now_ms);
}

static void request(struct member_node *n, int64_t peer, int64_t flags)
{
	struct member_msg msg;

	COUNT(changes_requested);
	member_msg_init(&msg, MSG_CHANGE_REQUEST);
	msg.offset = member_source_in_force(n) + 1;
	msg.subject = n->fleet.configuration_version;
	msg.flags = flags;
	member_send(n, peer, &msg);
}

static void ask_if_due(struct member_node *n)
{
	int64_t peer =
		spread_ask(&n->spread, member_source_in_force(n), n->now_ms);

	if (peer)
		request(n, peer, 0);
}

/*
 * Hands on the change that has just come into force here. changes: its text as
 * received, NULL for a whole document; taken over.
 */
static void hand_on(struct member_node *n, GString *changes, int64_t from,
		    int64_t age_ms)
{
	discard_texts(n);
	n->early_changes_text = changes;
	n->early_from = from;
	n->early_read_at_ms = n->now_ms - age_ms;
	n->early_wait_since_ms = n->now_ms;
	COUNT(changes_early);
	spread_hold(&n->spread, n->early.source, n->now_ms);
	member_note(n, NOTE_EARLY, n->early.source);
	offer(n, false);
}

json_t *published_load_document(struct member_node *n)
{
	if (n->operators_document &&
	    n->operators_document_source == n->published_source)
		return n->operators_document;
	json_decref(n->operators_document);
	n->operators_document =
		n->ops->load_published(n->ops_user, n->fleet.document);
	n->operators_document_source = n->published_source;
	return n->operators_document;
}

/* How long this reader waits, in case one of a lower rank acts. */
static int64_t reader_wait_ms(const struct member_node *n)
{
	uint32_t turn;

	if (!n->self_id)
		return 0;
	turn = assign_rank(&n->fleet, "publish", n->self_id) / READERS_AT_ONCE;
	if (member_is_new(n))
		turn = MIN(turn, NEW_MEMBER_MAX_TURN);
	return turn * publish_rank_step_ms(n);
}

/* Puts into force what this node has read in the operators' stream. */
static void apply_published(struct member_node *n)
{
	json_t *doc, *changes;
	bool complete;
	int err;

	if (published_is_in_force(n) ||
	    n->published_source <= n->early_read_source ||
	    !member_is_caught_up(n))
		return;
	if (n->now_ms - n->early_wait_since_ms < reader_wait_ms(n) ||
	    (!rule_enabled(n, RULE_NEXT_READER_ACTS) && reader_wait_ms(n)))
		return;
	n->early_read_source = n->published_source;
	doc = published_load_document(n);
	if (!doc)
		return;
	changes = changes_between(n->fleet.document, doc, SIZE_MAX, &complete);
	err = early_apply(&n->early, &n->fleet, n->published_source,
			  n->fleet.configuration_version, changes);
	if (!err)
		hand_on(n, text_of(changes), n->self_id,
			n->now_ms - n->published_read_at_ms);
	json_decref(changes);
}

void published_on_read(struct member_node *n)
{
	n->published_read_at_ms = n->now_ms;
	apply_published(n);
}

void published_on_log(struct member_node *n)
{
	if (early_on_log(&n->early, &n->fleet))
		discard_texts(n);
	spread_log_has(&n->spread, n->fleet.source_offset);
}

void published_tick(struct member_node *n)
{
	apply_published(n);
	ask_if_due(n);
	if (n->early.source >= 0 && spread_offer_due(&n->spread, n->now_ms))
		offer(n, true);
}

void published_offer_to(struct member_node *n, int64_t peer)
{
	if (n->early.source >= 0)
		send_offer(n, peer, n->early.source, 0);
}

void published_on_offer(struct member_node *n, const struct member_msg *msg)
{
	int64_t source = member_source_in_force(n);

	if (!msg->from)
		return;
	if (msg->offset > n->fleet.source_offset)
		spread_peer_has(&n->spread, msg->from, msg->offset);
	if (source < msg->offset)
		ask_if_due(n);
	else if (msg->flags & CHANGE_OFFER_AGAIN)
		send_offer(n, msg->from, source, 0);
}

void published_on_request(struct member_node *n, const struct member_msg *msg)
{
	bool whole = (msg->flags & CHANGE_IS_WHOLE) ||
		     msg->subject != n->early.base || !n->early_changes_text;

	if (n->early.source < msg->offset)
		return;
	send_change(n, msg->from, whole);
	if (msg->from)
		spread_peer_has(&n->spread, msg->from, n->early.source);
}

void published_on_change(struct member_node *n, const struct member_msg *msg)
{
	bool whole = msg->flags & CHANGE_IS_WHOLE;
	json_t *o;
	int err;

	if (msg->from && msg->offset > n->fleet.source_offset)
		spread_peer_has(&n->spread, msg->from, msg->offset);
	if (!msg->text)
		return;
	o = member_text_parse(msg->text);
	err = !o      ? RESULT_INVALID
	      : whole ? early_load(&n->early, &n->fleet, msg->offset, o)
		      : early_apply(&n->early, &n->fleet, msg->offset,
				    msg->subject, o);
	json_decref(o);
	if (!err)
		hand_on(n,
			whole ? NULL
			      : g_string_new_len(msg->text->str,
						 msg->text->len),
			msg->from, msg->requested_at_ms);
	else if (err == RESULT_GAP)
		request(n, msg->from, CHANGE_IS_WHOLE);
	else if (err == RESULT_INVALID)
		COUNT(peer_messages_malformed);
}

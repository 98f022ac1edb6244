#include <inttypes.h>
#include <string.h>

#include "gate/reconcile.h"
#include "net/attempt-list.h"
#include "net/clock.h"
#include "node/entry-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/result.h"

/*
 * What was sent over a connection that has ended may never be read, and answers
 * may be lost with it. Once the link is back, the gate is asked what became of
 * each attempt that is still open.
 */

/* Time for answers that are on their way when the link is back. */
#define ASK_DELAY_MS 200
/* Until a gate that has not told is asked again. */
#define ASK_INTERVAL_MS 1000
/*
 * How long after a cancel its gate is asked if the link is replaced. By then
 * the gate has ended the request, by its deadline.
 */
#define CANCEL_KEEP_MS 30000

struct sent_cancel {
	uint64_t connection; /* that it was sent over */
	int64_t sent_at_ms;
};

/* Whether a link has been back for long enough to ask. */
static bool is_back(const struct peer_connection *c, uint64_t connection,
		    int64_t now_ms)
{
	return c->greeted_at_ms && connection < c->number &&
	       now_ms - c->greeted_at_ms >= ASK_DELAY_MS;
}

static bool is_due(const struct attempt *a, const struct peer_connection *c,
		   int64_t now_ms)
{
	return is_back(c, a->connection, now_ms) &&
	       now_ms - a->asked_at_ms >= ASK_INTERVAL_MS;
}

static void note_gate(struct entry *e, const char *address)
{
	if (!g_hash_table_contains(e->to_reconcile, address))
		g_hash_table_insert(e->to_reconcile, g_strdup(address),
				    g_array_new(FALSE, FALSE,
						sizeof(struct listed_attempt)));
}

/* Whether the attempt has been sent to the gate of another node. */
static bool was_sent_to_peer(struct entry *e, struct attempt *a)
{
	if (a->member == e->node->member.self_id)
		return false;
	entry_update_sent(a);
	return a->request->plan.attempts[a->number].state != ATTEMPT_NOT_SENT;
}

static void check_attempt(struct entry *e, struct attempt *a, int64_t now_ms)
{
	struct peer_connection c;

	if (!was_sent_to_peer(e, a))
		return;
	/* A link that was closed is opened, so that it is greeted. */
	peers_keep_open(&e->node->peers, a->address);
	c = peers_connection(&e->node->peers, a->address);
	if (is_due(a, &c, now_ms))
		note_gate(e, a->address);
}

void entry_reconcile_check(struct entry_request *r, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < MAX_ATTEMPTS; i++)
		if (r->attempts[i])
			check_attempt(r->entry, r->attempts[i], now_ms);
}

static void list_attempt(struct attempt *a, GArray *list, int64_t now_ms)
{
	struct listed_attempt listed = { .id = a->id,
					 .process = a->process,
					 .connection = a->connection };

	a->asked_at_ms = now_ms;
	if (a->request->winner == a)
		listed.bytes = a->request->credited_bytes;
	g_array_append_val(list, listed);
}

/*
 * Lists all open attempts that were sent to the gates noted over earlier
 * connections. A gate cancels what is not listed.
 */
static void list_attempts(struct entry *e, int64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, e->attempts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct attempt *a = value;
		GArray *list = g_hash_table_lookup(e->to_reconcile, a->address);

		if (list && was_sent_to_peer(e, a) &&
		    a->connection <
			    peers_connection(&e->node->peers, a->address).number)
			list_attempt(a, list, now_ms);
	}
}

static void ask(struct entry *e, const char *address, const GArray *list)
{
	struct peer_connection c = peers_connection(&e->node->peers, address);
	GByteArray *data = g_byte_array_new();
	struct request_msg m = { .type = REQ_RECONCILE,
				 .origin = e->origin,
				 .number = (int64_t)c.number,
				 .sent_at_ms = clock_now_ms() };

	attempt_list_encode(list, data);
	m.data = data->data;
	m.len = data->len;
	COUNT_ADD(reconcile_asked, list->len);
	entry_send(e, address, &m);
	g_byte_array_unref(data);
}

void entry_reconcile_note_cancel(struct entry *e, const struct attempt *a)
{
	struct sent_cancel *c;

	if (a->member == e->node->member.self_id)
		return;
	c = g_hash_table_lookup(e->sent_cancels, a->address);
	if (!c) {
		c = g_new0(struct sent_cancel, 1);
		g_hash_table_insert(e->sent_cancels, g_strdup(a->address), c);
	}
	c->connection = peers_connection(&e->node->peers, a->address).number;
	c->sent_at_ms = clock_now_ms();
}

/* What a gate is not asked about, it cancels. */
static void check_cancels(struct entry *e, int64_t now_ms)
{
	GHashTableIter it;
	gpointer address, value;

	g_hash_table_iter_init(&it, e->sent_cancels);
	while (g_hash_table_iter_next(&it, &address, &value)) {
		const struct sent_cancel *sent = value;
		struct peer_connection c =
			peers_connection(&e->node->peers, address);

		if (is_back(&c, sent->connection, now_ms))
			note_gate(e, address);
		else if (now_ms - sent->sent_at_ms < CANCEL_KEEP_MS)
			continue;
		g_hash_table_iter_remove(&it);
	}
}

void entry_reconcile_ask(struct entry *e, int64_t now_ms)
{
	GHashTableIter it;
	gpointer address, list;

	check_cancels(e, now_ms);
	if (!g_hash_table_size(e->to_reconcile))
		return;
	list_attempts(e, now_ms);
	g_hash_table_iter_init(&it, e->to_reconcile);
	while (g_hash_table_iter_next(&it, &address, &list))
		ask(e, address, list);
	g_hash_table_remove_all(e->to_reconcile);
}

/* No complete answer will come from this gate: the attempt may have run. */
static void end_lost(struct entry_request *r, struct attempt *a,
		     enum attempt_event why)
{
	if (r->winner == a) {
		entry_send_cancel(r->entry, a);
		entry_end_answer(r, a, false);
		return;
	}
	entry_end_and_cancel_attempt(r, a, why, RESULT_UNREACHABLE, false);
}

/*
 * The gate has the attempt and answers over the connection that it was asked
 * over, unless parts of the answer are lost.
 */
static void keep_open(struct entry_request *r, struct attempt *a,
		      const struct listed_attempt *told, uint64_t connection)
{
	int64_t received = r->winner == a ? r->received_bytes : 0;

	if (told->bytes != received) {
		end_lost(r, a, ATTEMPT_EVENT_LINK_LOST);
		return;
	}
	a->connection = connection;
	a->asked_at_ms = 0;
}

static void settle(struct attempt *a, const struct listed_attempt *told,
		   const struct request_msg *m)
{
	struct entry_request *r = a->request;

	switch ((enum reconcile_state)told->state) {
	case RECONCILE_NOT_BEGUN:
		chooser_answered(&r->entry->chooser, a->member, 0, m->load,
				 m->limit, clock_now_ms());
		entry_end_attempt(r, a, ATTEMPT_EVENT_NEVER_READ,
				  RESULT_UNREACHABLE);
		break;
	case RECONCILE_QUEUED:
	case RECONCILE_STARTED:
		keep_open(r, a, told, (uint64_t)m->number);
		break;
	case RECONCILE_PROCESS_ENDED:
		end_lost(r, a, ATTEMPT_EVENT_PROCESS_ENDED);
		break;
	case RECONCILE_ENDED: /* the message sent again was of no use */
	case RECONCILE_LOST:
		end_lost(r, a, ATTEMPT_EVENT_LINK_LOST);
		break;
	default:
		break;
	}
}

static const enum counter state_counters[RECONCILE_N_STATES] = {
	[RECONCILE_UNKNOWN] = COUNTER_reconcile_unknown,
	[RECONCILE_NOT_BEGUN] = COUNTER_reconcile_not_begun,
	[RECONCILE_QUEUED] = COUNTER_reconcile_queued,
	[RECONCILE_STARTED] = COUNTER_reconcile_started,
	[RECONCILE_ENDED] = COUNTER_reconcile_ended,
	[RECONCILE_LOST] = COUNTER_reconcile_lost,
	[RECONCILE_PROCESS_ENDED] = COUNTER_reconcile_process_ended,
};

static void count_states(const GArray *list, const struct request_msg *m)
{
	uint32_t n[RECONCILE_N_STATES] = { 0 };
	uint32_t i;

	for (i = 0; i < list->len; i++) {
		int64_t state =
			g_array_index(list, struct listed_attempt, i).state;

		if (state >= RECONCILE_N_STATES)
			continue;
		n[state]++;
		counters[state_counters[state]]++;
	}
	EVENT(link_reconciled, NULL,
	      "\"gate\":%" PRId64 ",\"connection\":%" PRId64
	      ",\"not_begun\":%u,\"queued\":%u"
	      ",\"started\":%u,\"ended\":%u,\"lost\":%u"
	      ",\"process_ended\":%u,\"unknown\":%u",
	      m->gate_member, m->number, n[RECONCILE_NOT_BEGUN],
	      n[RECONCILE_QUEUED], n[RECONCILE_STARTED], n[RECONCILE_ENDED],
	      n[RECONCILE_LOST], n[RECONCILE_PROCESS_ENDED],
	      n[RECONCILE_UNKNOWN]);
}

void entry_on_reconciled(struct entry *e, const struct request_msg *m)
{
	GArray *list;
	uint32_t i;

	if (m->origin != e->origin)
		return;
	list = attempt_list_decode(m->data, m->len);
	if (!list) {
		COUNT(peer_messages_malformed);
		return;
	}
	count_states(list, m);
	for (i = 0; i < list->len; i++) {
		const struct listed_attempt *told =
			&g_array_index(list, struct listed_attempt, i);
		struct attempt *a = g_hash_table_lookup(e->attempts, &told->id);

		/* An attempt that a later answer has settled stays as it is. */
		if (a && a->connection < (uint64_t)m->number)
			settle(a, told, m);
	}
	g_array_unref(list);
}

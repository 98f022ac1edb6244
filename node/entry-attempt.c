#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "node/entry-request.h"
#include "node/gate.h"
#include "node/node.h"
#include "util/event.h"
#include "util/hash.h"
#include "util/histogram.h"
#include "util/result.h"

/* Attempts: the messages to gates, and the list of open attempts. */

void entry_remove_attempt(struct entry *e, struct attempt *a)
{
	struct entry_request *r = a->request;
	uint32_t i;

	for (i = 0; i < MAX_ATTEMPTS; i++)
		if (r->attempts[i] == a)
			r->attempts[i] = NULL;
	if (r->winner == a)
		r->winner = NULL;
	g_hash_table_remove(e->attempts, &a->id);
}

int entry_send(struct entry *e, const char *address,
	       const struct request_msg *m)
{
	GByteArray *out = g_byte_array_sized_new(512 + m->len);
	int err;

	request_msg_encode(m, out);
	err = m->type == REQ_SUBMIT
		      ? peers_send_tagged(&e->node->peers, address,
					  PLANE_REQUEST, m->id, out->data,
					  out->len)
		      : peers_send(&e->node->peers, address, PLANE_REQUEST,
				   out->data, out->len);
	g_byte_array_unref(out);
	return err;
}

/*
 * Passes a message to the gate of an attempt, directly if that is in this
 * process. Returns RESULT_OK, or an error of peers_send() if it was not sent.
 */
static int send_to_gate(struct entry *e, const struct attempt *a,
			const struct request_msg *m)
{
	if (a->member == e->node->member.self_id) {
		gate_on_message(&e->node->gate, NULL, 0, m);
		return RESULT_OK;
	}
	return entry_send(e, a->address, m);
}

/* Sends a message that has no other content than a number. */
static void send_control(struct entry *e, const struct attempt *a,
			 enum request_msg_type type, int64_t number)
{
	struct request_msg m = {
		.type = type,
		.origin = e->origin,
		.id = a->id,
		.number = number,
		.sent_at_ms = clock_now_ms(),
	};

	send_to_gate(e, a, &m);
}

void entry_send_credit(struct entry *e, const struct attempt *a, int64_t bytes)
{
	send_control(e, a, REQ_CREDIT, bytes);
}

void entry_send_cancel(struct entry *e, const struct attempt *a)
{
	send_control(e, a, REQ_CANCEL, 0);
	entry_reconcile_note_cancel(e, a);
}

void entry_confirm_attempt(struct entry *e, const struct attempt *a,
			   int64_t sent_ms)
{
	struct request_msg m = {
		.type = REQ_CONFIRMED,
		.origin = e->origin,
		.id = a->id,
		.number = sent_ms,
		.status = (int64_t)e->next_id,
		.sent_at_ms = clock_now_ms(),
	};

	send_to_gate(e, a, &m);
}

void entry_send_stopping_ack(struct entry *e, const char *address)
{
	struct request_msg m = { .type = REQ_STOPPING_ACK,
				 .origin = e->origin };

	entry_send(e, address, &m);
}

void entry_update_sent(struct attempt *a)
{
	struct entry_request *r = a->request;

	if (r->plan.attempts[a->number].state == ATTEMPT_NOT_SENT &&
	    !peers_is_queued(&r->entry->node->peers, a->address, a->id))
		plan_attempt_event(&r->plan, a->number, ATTEMPT_EVENT_SENT);
}

bool entry_cancel_unsent_attempt(struct entry *e, struct attempt *a)
{
	entry_update_sent(a);
	if (!peers_cancel_queued(&e->node->peers, a->address, a->id))
		return false;
	chooser_unanswered(&e->chooser, a->member, true, clock_now_ms());
	chooser_not_serving(&e->chooser, a->member, clock_now_ms());
	entry_record_attempt(a->request, a, RESULT_UNREACHABLE);
	entry_remove_attempt(e, a);
	return true;
}

void entry_cancel_attempt(struct entry *e, struct attempt *a, bool suspect)
{
	if (entry_cancel_unsent_attempt(e, a))
		return;
	chooser_unanswered(&e->chooser, a->member, suspect, clock_now_ms());
	entry_send_cancel(e, a);
	entry_remove_attempt(e, a);
}

void entry_cancel_others(struct entry_request *r, struct attempt *keep)
{
	struct entry *e = r->entry;
	uint32_t i;

	for (i = 0; i < MAX_ATTEMPTS; i++) {
		struct attempt *a = r->attempts[i];

		if (a && a != keep)
			entry_cancel_attempt(e, a, false);
	}
}

static void fill_request_msg(struct entry_request *r, int64_t member,
			     int64_t now, struct request_msg *m)
{
	m->type = REQ_SUBMIT;
	m->origin = r->entry->origin;
	m->gate_member = member;
	m->shard = r->shard;
	m->class_name = r->class_name;
	m->target_ms = r->target_ms - (now - r->plan.received_at_ms);
	m->priority = r->priority;
	m->resend_window_ms = r->resend_window_ms;
	m->sent_at_ms = now;
	m->deadline_ms = r->plan.deadline_ms - now;
	m->flags = (r->plan.keyed ? REQ_FLAG_KEYED : 0) |
		   (r->plan.repeatable ? REQ_FLAG_REPEATABLE : 0) |
		   (r->is_first_send ? REQ_FLAG_FIRST_SEND : 0) |
		   (r->traced ? REQ_FLAG_TRACED : 0);
	m->method = r->http->method;
	m->url = r->http->url;
	m->key = r->key;
	m->idempotency_key = r->idempotency_key ? r->idempotency_key : "";
	m->headers = r->headers;
	m->data = r->http->body->data;
	m->len = r->http->body->len;
}

/*
 * Measures how long the first attempt took from reading the request, or another
 * one from the last refusal.
 */
static void measure_delay(const struct entry_request *r,
			  const struct attempt *a)
{
	if (r->plan.tries == 1)
		MEASURE(entry_ms,
			(a->sent_at_us - r->http->read_at_us) / 1000.0);
	else if (r->refused_at_us)
		MEASURE(again_ms, (a->sent_at_us - r->refused_at_us) / 1000.0);
}

static void record_sent(struct entry_request *r, const struct attempt *a,
			int64_t now)
{
	const struct gate_view *v =
		chooser_gate_view(&r->entry->chooser, a->member);

	measure_delay(r, a);
	if (!r->traced)
		return;
	EVENT(request_sent, r->attempt_id,
	      "\"class\":\"%s\",\"service\":\"%s\",\"version\":%" PRId64
	      ",\"source\":%" PRId64 ",\"gate\":%" PRId64 ",\"shard\":%" PRId64
	      ",\"gate_load\":%.0f,\"gate_limit\":%.0f,\"slowness\":%.0f"
	      ",\"heard_ms\":%" PRId64 ",\"age_ms\":%" PRId64
	      ",\"left_ms\":%" PRId64 ",\"hedge\":%s",
	      event_text(r->class_name), event_text(r->service),
	      r->configuration_version, r->configuration_source, a->member,
	      r->plan.keyed ? (int64_t)r->shard : -1, v->load, v->limit,
	      v->latency_ms,
	      v->last_answer_at_ms ? now - v->last_answer_at_ms : -1,
	      (a->sent_at_us - r->http->read_at_us) / 1000,
	      r->plan.deadline_ms - now, a->hedge ? "true" : "false");
}

int entry_send_attempt(struct entry_request *r, int64_t member, bool hedge)
{
	struct entry *e = r->entry;
	const struct member *to = fleet_member(&e->node->member.fleet, member);
	int64_t now = clock_now_ms();
	struct request_msg m = { 0 };
	struct attempt *a;
	bool sent_before;
	uint64_t gate;
	uint64_t id;
	int number;
	int err;

	if (!to || (r->attempts[0] && r->attempts[1]))
		return RESULT_OVERLOAD;
	gate = hash_string(to->peer);
	sent_before = plan_server_may_have_it(&r->plan, gate);
	number = plan_add_attempt(&r->plan);
	if (number < 0)
		return RESULT_OVERLOAD;
	r->plan.attempts[number].gate = gate;
	a = g_new0(struct attempt, 1);
	a->number = (uint32_t)number;
	a->id = ++e->next_id;
	a->request = r;
	a->member = member;
	a->hedge = hedge;
	a->sent_at_us = clock_now_us();
	a->process = to->process;
	g_strlcpy(a->address, to->peer, sizeof(a->address));
	if (member != e->node->member.self_id) {
		peers_keep_open(&e->node->peers, a->address);
		a->connection =
			peers_connection(&e->node->peers, a->address).number;
	}
	r->attempts[r->attempts[0] ? 1 : 0] = a;
	r->last_member = member;
	g_hash_table_insert(e->attempts, &a->id, a);
	chooser_sent(&e->chooser, member, now);
	fill_request_msg(r, member, now, &m);
	m.id = a->id;
	m.number = (int64_t)a->connection;
	if (sent_before)
		m.flags |= REQ_FLAG_SENT_BEFORE;
	entry_add_server_status(e, to, &m);
	id = a->id;
	record_sent(r, a, now);
	/*
	 * The gate of this process may answer within the call; then the attempt
	 * is freed, and the request may be done, when it returns.
	 */
	err = chooser_gate_view(&e->chooser, member)->stop_announced
		      ? RESULT_UNREACHABLE
		      : send_to_gate(e, a, &m);
	if (!err)
		return RESULT_OK;
	a = g_hash_table_lookup(e->attempts, &id);
	chooser_unanswered(&e->chooser, member, true, now);
	chooser_not_serving(&e->chooser, member, now);
	plan_attempt_event(&r->plan, a->number, ATTEMPT_EVENT_UNSENT);
	entry_record_attempt(r, a, err);
	entry_remove_attempt(e, a);
	return RESULT_UNREACHABLE;
}

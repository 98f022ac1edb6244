#include <inttypes.h>
#include <string.h>

#include "net/answer-check.h"
#include "net/clock.h"
#include "net/headers.h"
#include "node/granter.h"
#include "node/node.h"
#include "platform/grant.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/result.h"

/* The backend server answers a grant at once, or not at all. */
#define GRANT_TIMEOUT_MS 250
/* A release is answered once the work in progress on its keys has ended. */
#define RELEASE_TIMEOUT_MS 1500

static void start_due_calls(struct granter *x);

enum grant_outcome granter_outcome(const struct fetch *f, int result)
{
	if (!result)
		return grant_wire_outcome(f->status);
	return f->sent ? GRANT_IN_DOUBT : GRANT_NOT_APPLIED;
}

static void count_outcome(const struct grants *g, const struct grant_call *c,
			  enum grant_outcome outcome)
{
	bool renews = c->first < g->n_shards &&
		      g->shards[c->first].state == GRANT_HELD;

	if (outcome == GRANT_FENCED)
		COUNT(grants_fenced);
	else if (outcome == GRANT_NOT_APPLIED)
		COUNT(grants_not_applied);
	else if (outcome == GRANT_IN_DOUBT)
		COUNT(grants_in_doubt);
	else if (c->kind == GRANT_CALL_RELEASE)
		COUNT(grants_taken_back);
	else if (renews)
		COUNT(grants_renewed);
	else
		COUNT(grants_given);
}

static void emit_outcome(const struct granter_request *r,
			 enum grant_outcome outcome, int result)
{
	const struct grant_call *c = &r->call;

	if (outcome == GRANT_FENCED)
		EVENT(grant_fenced, NULL,
		      "\"shards\":[%u,%u],\"fence\":%" PRId64
		      ",\"applied\":%" PRId64,
		      c->first, c->last, c->row.fence,
		      r->granter->node->member.fleet.applied);
	if (outcome == GRANT_IN_DOUBT)
		EVENT(grant_in_doubt, NULL,
		      "\"kind\":\"%s\",\"shards\":[%u,%u],\"fence\":%" PRId64
		      ",\"why\":\"%s\",\"status\":%ld,\"until_ms\":%" PRId64,
		      c->kind == GRANT_CALL_GRANT ? "give" : "take_back",
		      c->first, c->last, c->row.fence, result_name(result),
		      r->fetch.status, c->latest_end_ms - clock_now_ms());
}

static bool is_connected(const struct granter *x)
{
	return connections_any_open(&x->fetcher.connections);
}

/* Whether the backend server closed the connection, or took none. */
static bool was_lost(const struct fetch *f, int result)
{
	if (!result || result == RESULT_TIMEOUT || f->connect_expired)
		return false;
	return f->sent || result == RESULT_UNREACHABLE;
}

static void on_done(struct fetch *f, int result)
{
	struct granter_request *r = f->user;
	struct granter *x = r->granter;
	struct grants *g = &x->node->gate.grants;
	enum grant_outcome outcome = granter_outcome(f, result);

	r->busy = false;
	x->n_busy[r->call.kind]--;
	g_clear_pointer(&r->body, g_free);
	if (r->call.kind == GRANT_CALL_GRANT)
		instance_proof_on_call_ended(&x->proof, was_lost(f, result),
					     is_connected(x));
	if (result == RESULT_UNREACHABLE && f->connection_refused)
		gate_connect_failed(&x->node->gate, f);
	if (outcome == GRANT_FENCED)
		x->node->member.log_read_due = true;
	count_outcome(g, &r->call, outcome);
	emit_outcome(r, outcome, result);
	grant_call_done(g, &r->call, outcome,
			grant_wire_handover(f->answer->headers),
			clock_now_ms());
	/*
	 * At the limit, other calls may be due. Otherwise all due calls have
	 * been started, and the next tick checks again.
	 */
	if (x->at_limit)
		start_due_calls(x);
}

/* Grants have no id, so an answer with one belongs to another call. */
static enum answer_fault check_head(struct fetch *f)
{
	const struct granter_request *r = f->user;

	if (answer_is_for(f->answer->headers,
			  r->granter->node->settings.headers, NULL))
		return ANSWER_FAULT_none;
	COUNT(answers_mixed);
	return ANSWER_FAULT_other;
}

static const struct fetch_ops grant_fetch_ops = {
	.check_head = check_head,
	.on_done = on_done,
};

static struct granter_request *find_idle_request(struct granter *x)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(x->requests); i++)
		if (!x->requests[i].busy)
			return &x->requests[i];
	return NULL;
}

static uint32_t kinds_allowed(const struct granter *x, int64_t now)
{
	uint32_t kinds = 0;

	if (x->n_busy[GRANT_CALL_GRANT] < GRANTER_MAX_GRANTS &&
	    instance_proof_connect_by_ms(&x->proof, now) > now)
		kinds |= 1 << GRANT_CALL_GRANT;
	if (x->n_busy[GRANT_CALL_RELEASE] < GRANTER_MAX_RELEASES)
		kinds |= 1 << GRANT_CALL_RELEASE;
	return kinds;
}

static void start_call(struct granter *x, struct granter_request *r)
{
	const struct settings *s = &x->node->settings;
	bool give = r->call.kind == GRANT_CALL_GRANT;
	GPtrArray *headers = headers_new();
	g_autofree char *url = g_strdup_printf("http://%s%s", s->backend_server,
					       grant_wire_path(r->call.kind));

	header_add(headers, "Content-Type", "application/json");
	r->busy = true;
	x->n_busy[r->call.kind]++;
	r->body = grant_wire_body(&r->call);
	/*
	 * A release uses a new connection. On a kept one, a second answer to
	 * another call would be taken as its confirmation while the backend
	 * server still serves the keys.
	 */
	fetch_start(&r->fetch, give ? &x->fetcher : &x->release_fetcher, "POST",
		    url, headers, r->body, strlen(r->body),
		    give ? GRANT_TIMEOUT_MS : RELEASE_TIMEOUT_MS, !give,
		    &grant_fetch_ops, r);
	if (give)
		fetch_set_deadlines(&r->fetch, r->call.send_by_ms,
				    instance_proof_connect_by_ms(
					    &x->proof, clock_now_ms()));
	g_ptr_array_unref(headers);
}

static void start_due_calls(struct granter *x)
{
	struct node *n = x->node;
	struct grant_owner o;
	uint32_t kinds;

	grant_owner_from(&o, &n->member);
	instance_proof_set_connected(&x->proof, is_connected(x));
	while ((kinds = kinds_allowed(x, clock_now_ms()))) {
		struct granter_request *r = find_idle_request(x);

		if (!r || !grant_call_next(&n->gate.grants, &o, kinds,
					   n->settings.hold_max_ms,
					   clock_now_ms(), &r->call))
			break;
		start_call(x, r);
	}
	x->at_limit = x->n_busy[GRANT_CALL_GRANT] >= GRANTER_MAX_GRANTS ||
		      x->n_busy[GRANT_CALL_RELEASE] >= GRANTER_MAX_RELEASES;
}

void granter_init(struct granter *x, struct node *node)
{
	uint32_t i;

	memset(x, 0, sizeof(*x));
	x->node = node;
	for (i = 0; i < G_N_ELEMENTS(x->requests); i++)
		x->requests[i].granter = x;
	instance_proof_init(&x->proof);
	fetcher_init(&x->fetcher, node->loop, GRANTER_MAX_GRANTS);
	x->fetcher.max_idle_s = node->settings.kept_idle_s;
	fetcher_init(&x->release_fetcher, node->loop, GRANTER_MAX_RELEASES);
}

void granter_finish(struct granter *x)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(x->requests); i++) {
		if (!x->requests[i].busy)
			continue;
		fetch_cancel(&x->requests[i].fetch);
		g_free(x->requests[i].body);
	}
	fetcher_finish(&x->fetcher);
	fetcher_finish(&x->release_fetcher);
}

void granter_on_heartbeat(struct granter *x, bool is_first)
{
	if (x->node->gate.grants.ops != &grant_by_call)
		return;
	instance_proof_set_connected(&x->proof, is_connected(x));
	instance_proof_on_heartbeat(&x->proof, is_first, clock_now_ms());
	grant_call_heartbeat_received(&x->node->gate.grants);
	start_due_calls(x);
}

void granter_tick(struct granter *x)
{
	if (x->node->gate.grants.ops == &grant_by_call)
		start_due_calls(x);
}

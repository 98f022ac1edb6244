#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "net/headers.h"
#include "node/granter.h"
#include "node/node.h"
#include "platform/grant.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/result.h"

/* The server answers a grant at once; one that it did not will not come. */
#define GIVE_TIMEOUT_MS 250
/* A release is answered when the work on its keys has ended. */
#define TAKE_BACK_TIMEOUT_MS 1500
/* A server that ended after its heartbeat is not back before that. */
#define OPEN_AFTER_BEAT_MS 300

static void pump(struct granter *x);

static enum grant_outcome outcome_of(const struct fetch *f, int result)
{
	if (!result)
		return grant_wire_outcome(f->status);
	return f->sent ? GRANT_IN_DOUBT : GRANT_NOT_APPLIED;
}

static void count(const struct grants *g, const struct grant_call *c,
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

static void note(const struct granter_lane *l, enum grant_outcome outcome,
		 int result)
{
	const struct grant_call *c = &l->call;

	if (outcome == GRANT_FENCED)
		EVENT(grant_fenced, NULL,
		      "\"shards\":[%u,%u],\"fence\":%" PRId64
		      ",\"applied\":%" PRId64,
		      c->first, c->last, c->row.fence,
		      l->granter->node->member.fleet.applied);
	if (outcome == GRANT_IN_DOUBT)
		EVENT(grant_in_doubt, NULL,
		      "\"kind\":\"%s\",\"shards\":[%u,%u],\"fence\":%" PRId64
		      ",\"why\":\"%s\",\"status\":%ld,\"until_ms\":%" PRId64,
		      c->kind == GRANT_CALL_GRANT ? "give" : "take_back",
		      c->first, c->last, c->row.fence, result_name(result),
		      l->fetch.status, c->latest_end_ms - clock_now_ms());
}

static void on_done(struct fetch *f, int result)
{
	struct granter_lane *l = f->user;
	struct granter *x = l->granter;
	struct grants *g = &x->node->gate.grants;
	enum grant_outcome outcome = outcome_of(f, result);

	l->busy = false;
	x->n_busy[l->call.kind]--;
	g_clear_pointer(&l->body, g_free);
	/* A connection that ended or could not be opened: is it the same life? */
	if (f->connect_expired || (result && result != RESULT_TIMEOUT))
		x->await_beat = true;
	if (result == RESULT_UNREACHABLE && f->connection_refused)
		gate_connect_failed(&x->node->gate, f);
	if (outcome == GRANT_FENCED)
		x->node->member.log_read_due = true;
	count(g, &l->call, outcome);
	note(l, outcome, result);
	grant_call_done(g, &l->call, outcome,
			grant_wire_handover(f->answer_headers), clock_now_ms());
	/* Else all that was due is on its way, and the next tick looks again. */
	if (x->more)
		pump(x);
}

static const struct fetch_ops lane_ops = { .on_done = on_done };

static struct granter_lane *free_lane(struct granter *x)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(x->lanes); i++)
		if (!x->lanes[i].busy)
			return &x->lanes[i];
	return NULL;
}

static uint32_t kinds_allowed(const struct granter *x)
{
	uint32_t kinds = 0;

	if (x->n_busy[GRANT_CALL_GRANT] < GRANTER_GIVES && !x->await_beat)
		kinds |= 1 << GRANT_CALL_GRANT;
	if (x->n_busy[GRANT_CALL_RELEASE] < GRANTER_TAKES)
		kinds |= 1 << GRANT_CALL_RELEASE;
	return kinds;
}

static void carry(struct granter *x, struct granter_lane *l)
{
	const struct settings *s = &x->node->settings;
	bool give = l->call.kind == GRANT_CALL_GRANT;
	GPtrArray *headers = headers_new();
	g_autofree char *url = g_strdup_printf("http://%s%s", s->backend_server,
					       grant_wire_path(l->call.kind));

	header_add(headers, "Content-Type", "application/json");
	l->busy = true;
	x->n_busy[l->call.kind]++;
	l->body = grant_wire_body(&l->call);
	fetch_start(&l->fetch, &x->fetcher, "POST", url, headers, l->body,
		    strlen(l->body),
		    give ? GIVE_TIMEOUT_MS : TAKE_BACK_TIMEOUT_MS, false,
		    &lane_ops, l);
	if (give)
		fetch_set_deadlines(&l->fetch, l->call.send_by_ms,
				    x->heard_ms + OPEN_AFTER_BEAT_MS);
	g_ptr_array_unref(headers);
}

static void pump(struct granter *x)
{
	struct node *n = x->node;
	struct grant_owner o;
	uint32_t kinds;

	grant_owner_from(&o, &n->member);
	while ((kinds = kinds_allowed(x))) {
		struct granter_lane *l = free_lane(x);

		if (!l || !grant_call_next(&n->gate.grants, &o, kinds,
					   n->settings.hold_max_ms,
					   clock_now_ms(), &l->call))
			break;
		carry(x, l);
	}
	x->more = x->n_busy[GRANT_CALL_GRANT] >= GRANTER_GIVES ||
		  x->n_busy[GRANT_CALL_RELEASE] >= GRANTER_TAKES;
}

void granter_init(struct granter *x, struct node *node)
{
	uint32_t i;

	memset(x, 0, sizeof(*x));
	x->node = node;
	for (i = 0; i < G_N_ELEMENTS(x->lanes); i++)
		x->lanes[i].granter = x;
	fetcher_init(&x->fetcher, node->loop, G_N_ELEMENTS(x->lanes));
	x->fetcher.max_idle_s = node->settings.kept_idle_s;
}

void granter_finish(struct granter *x)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(x->lanes); i++) {
		if (!x->lanes[i].busy)
			continue;
		fetch_cancel(&x->lanes[i].fetch);
		g_free(x->lanes[i].body);
	}
	fetcher_finish(&x->fetcher);
}

void granter_on_beat(struct granter *x)
{
	if (x->node->gate.grants.ops != &grant_by_call)
		return;
	x->heard_ms = clock_now_ms();
	x->await_beat = false;
	grant_call_heartbeat_received(&x->node->gate.grants);
	pump(x);
}

void granter_tick(struct granter *x)
{
	if (x->node->gate.grants.ops == &grant_by_call)
		pump(x);
}

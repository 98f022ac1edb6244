#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "node/fingerprint.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "route/fingerprint.h"
#include "util/counters.h"
#include "util/event.h"

/* Records which requests the backend server ran when it ended. */

/* Most fingerprints in one event; the others are only counted. */
#define MAX_LISTED 16
/*
 * The connections of all runs are lost within milliseconds, some after a first
 * connection was refused.
 */
#define REPORT_DELAY_S 0.03
/* Answers can be lost often at a server that lives. */
#define CHECK_INTERVAL_MS 250

uint64_t gate_fingerprint(struct gate_request *r)
{
	if (r->fingerprint == FINGERPRINT_NONE)
		r->fingerprint = node_fingerprint(r->method, r->url, r->key,
						  r->headers, r->body);
	return r->fingerprint;
}

void gate_run_lost(struct gate_request *r)
{
	/* A server that has begun to answer has not ended by the request. */
	if (r->fetch.sent && !r->fetch.head_done)
		server_end_run_lost(&r->gate->server_end, gate_fingerprint(r),
				    clock_now_ms());
}

/* A new instance does not answer what was sent to the one before. */
static void record_open_runs(struct gate *g)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, g->requests);
	while (g_hash_table_iter_next(&it, &p, NULL))
		if (((struct gate_request *)p)->state == GATE_IN_FLIGHT)
			gate_run_lost(p);
}

static void emit_ended(const struct gate *g, const uint64_t *fingerprints,
		       uint32_t n)
{
	g_autoptr(GString) list = g_string_new(NULL);
	uint32_t i;

	for (i = 0; i < MIN(n, MAX_LISTED); i++)
		g_string_append_printf(list, "%s\"%016" PRIx64 "\"",
				       i ? "," : "", fingerprints[i]);
	EVENT(server_ended, NULL,
	      "\"member\":%" PRId64 ",\"life\":\"%s\",\"why\":\"%s\""
	      ",\"running\":%u,\"fingerprints\":[%s]",
	      g->node->member.self_id, event_text(g->ended.instance_id),
	      g->ended.why, n, list->str);
}

static void report_ended(struct gate *g)
{
	uint64_t fingerprints[SERVER_END_MAX_RUNS];
	uint32_t n = server_end_confirmed(&g->server_end, clock_now_ms(),
					  fingerprints);

	g->ended.reported = true;
	if (!n)
		return;
	COUNT(servers_ended);
	counters[COUNTER_runs_ended_with_server] += n;
	emit_ended(g, fingerprints, n);
	member_server_ended(&g->node->member, g->ended.instance_id,
			    fingerprints, n);
}

/* Whether it is known already that the server announced last has ended. */
static bool end_is_known(const struct gate *g)
{
	return g->ended.at_ms &&
	       !strcmp(g->ended.instance_id, g->backend_server.instance_id);
}

static void set_ended(struct gate *g, const char *why)
{
	g_strlcpy(g->ended.instance_id, g->backend_server.instance_id,
		  sizeof(g->ended.instance_id));
	g->ended.at_ms = clock_now_ms();
	g->ended.why = why;
	g->ended.reported = false;
}

void gate_server_refuses(struct gate *g)
{
	if (end_is_known(g))
		return;
	set_ended(g, "connection refused");
	ev_timer_stop(g->node->loop, &g->ended.report_timer);
	ev_timer_set(&g->ended.report_timer, REPORT_DELAY_S, 0);
	ev_timer_start(g->node->loop, &g->ended.report_timer);
}

void gate_server_replaced(struct gate *g)
{
	if (!end_is_known(g))
		set_ended(g, "a new instance");
	record_open_runs(g);
	if (!g->ended.reported)
		report_ended(g);
	g->server_end.n = 0;
}

static void on_report_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gate *g = w->data;

	(void)loop;
	(void)events;
	if (end_is_known(g) && !g->ended.reported)
		report_ended(g);
}

static void on_refused(void *user)
{
	gate_server_refuses(user);
}

void gate_connection_lost(struct gate *g)
{
	int64_t now = clock_now_ms();

	/*
	 * While others run, their answers or the loss of their connections will
	 * show whether the server has ended. Without them, the next request
	 * might show it only seconds later, when another server has ended too.
	 */
	if (g->admission.n_in_flight || end_is_known(g) ||
	    now < g->ended.next_check_at_ms)
		return;
	g->ended.next_check_at_ms = now + CHECK_INTERVAL_MS;
	COUNT(gate_server_checks);
	if (port_check_start(&g->ended.check, g->node->settings.backend_server))
		g_warning("cannot check whether the backend server at %s lives",
			  g->node->settings.backend_server);
}

void gate_server_end_init(struct gate *g)
{
	port_check_init(&g->ended.check, g->node->loop, on_refused, g);
	ev_timer_init(&g->ended.report_timer, on_report_timer, REPORT_DELAY_S,
		      0);
	g->ended.report_timer.data = g;
}

void gate_server_end_finish(struct gate *g)
{
	port_check_finish(&g->ended.check);
	ev_timer_stop(g->node->loop, &g->ended.report_timer);
}

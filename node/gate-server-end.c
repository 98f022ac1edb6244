#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "net/headers.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "route/fingerprint.h"
#include "util/counters.h"
#include "util/event.h"

/* Records which requests the backend server ran when it ended. */

/* Most fingerprints in one event; the others are only counted. */
#define MAX_LISTED 16

static const char *text_or_empty(const char *s)
{
	return s ? s : "";
}

uint64_t gate_fingerprint(const struct gate_request *r)
{
	const struct header_names *names = gate_header_names(r);
	struct fingerprint_parts p = {
		.method = r->method,
		.host = text_or_empty(header_find(r->headers, "Host")),
		.url = r->url,
		.key = r->key,
		.caller = text_or_empty(
			header_find(r->headers, names->caller_service)),
		.body = r->body->data,
		.len = r->body->len,
	};

	return request_fingerprint(&p);
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

static void emit_ended(const struct gate *g, const char *why,
		       const uint64_t *fingerprints, uint32_t n)
{
	g_autoptr(GString) list = g_string_new(NULL);
	uint32_t i;

	for (i = 0; i < MIN(n, MAX_LISTED); i++)
		g_string_append_printf(list, "%s\"%016" PRIx64 "\"",
				       i ? "," : "", fingerprints[i]);
	EVENT(server_ended, NULL,
	      "\"member\":%" PRId64 ",\"life\":\"%s\",\"why\":\"%s\""
	      ",\"running\":%u,\"fingerprints\":[%s]",
	      g->node->member.self_id,
	      event_text(g->backend_server.instance_id), why, n, list->str);
}

void gate_server_ended(struct gate *g, const char *why)
{
	uint64_t fingerprints[SERVER_END_MAX_RUNS];
	uint32_t n;

	record_open_runs(g);
	n = server_end_confirmed(&g->server_end, clock_now_ms(), fingerprints);
	if (!n)
		return;
	COUNT(servers_ended);
	counters[COUNTER_runs_ended_with_server] += n;
	emit_ended(g, why, fingerprints, n);
}

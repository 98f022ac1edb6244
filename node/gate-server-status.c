#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "net/server-status.h"
#include "node/backend.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/hash.h"

/*
 * What the backend server says of itself in its answers: how many requests a
 * second it takes, and that it leaves.
 */

#define MILLI 1000.0

static void emit_limit(const struct gate *g, const char *from)
{
	const struct rate_limit *l = &g->admission.rate_limit;

	EVENT(server_limit, NULL,
	      "\"life\":\"%s\",\"per_s\":%.3f,\"from\":\"%s\""
	      ",\"offered_per_s\":%.1f",
	      event_text(g->backend_server.instance_id), l->per_s, from,
	      l->demand_per_s);
	if (rate_limit_is_active(l))
		COUNT(servers_limited);
}

void gate_on_server_status(struct gate_request *r,
			   const GPtrArray *answer_headers)
{
	struct gate *g = r->gate;
	struct rate_limit *l = &g->admission.rate_limit;
	double before = l->per_s;
	double per_s = 0;
	struct server_status status;

	/* The answer is from the instance that the request was sent to. */
	if (r->started_at_us / 1000 < g->backend_announced_at_ms)
		return;
	server_status_read(&status, gate_header_names(r), answer_headers);
	per_s = status.limit_milli / MILLI;
	if (status.limit != SERVER_LIMIT_UNREADABLE)
		rate_limit_on_answer(l, status.limit == SERVER_LIMIT_NAMED,
				     per_s, r->started_at_us / 1000,
				     clock_now_ms());
	if (before != l->per_s)
		emit_limit(g, "answer");
	/* Acted on later: this may be called while libcurl is. */
	if (status.leaving)
		g->server_said_leaving = true;
}

void gate_on_entry_status(struct gate *g, const struct request_msg *m)
{
	struct rate_limit *l = &g->admission.rate_limit;
	double before = l->per_s;

	if (!m->status ||
	    (uint64_t)m->status != hash_string(g->backend_server.instance_id))
		return;
	if (m->limit > 0)
		rate_limit_on_reported(l, m->limit / MILLI, clock_now_ms());
	if (before != l->per_s)
		emit_limit(g, "entry");
	if (m->flags & REQ_FLAG_SERVER_LEAVING) {
		g->server_said_leaving = true;
		gate_check_leaving(g);
	}
}

void gate_check_leaving(struct gate *g)
{
	if (!g->server_said_leaving)
		return;
	g->server_said_leaving = false;
	backend_said_leaving(g->node);
}

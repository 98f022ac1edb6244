#include <string.h>

#include "net/clock.h"
#include "node/backend.h"
#include "node/leaving.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/histogram.h"
#include "util/result.h"

/* Backend servers give a call up after 1,000 ms. */
#define LEAVING_ACK_TIMEOUT_MS 900

G_STATIC_ASSERT(LEAVING_START_UNKNOWN == INSTANCE_START_UNKNOWN);

static void fill_leaving(const struct node *n, const char *server,
			 int64_t started_ms, struct leaving *left)
{
	const struct server_instance *s = &n->server_instance;

	memset(left, 0, sizeof(*left));
	if (started_ms == LEAVING_START_UNKNOWN && !strcmp(s->id, server))
		started_ms = s->started_ms;
	g_strlcpy(left->host, n->settings.host, sizeof(left->host));
	g_strlcpy(left->server, server, sizeof(left->server));
	left->started_ms = started_ms;
	left->left_wall_ms = g_get_real_time() / 1000;
}

static void answer_call(struct node *n, const struct pending_leaving *p,
			bool recorded)
{
	int64_t ms = clock_now_ms() - p->asked_at_ms;

	if (recorded)
		MEASURE(leaving_ack_ms, ms);
	else
		COUNT(leavings_unrecorded);
	EVENT(leaving_answered, NULL,
	      "\"server\":\"%s\",\"recorded\":%s,\"ms\":%" G_GINT64_FORMAT,
	      event_text(p->left.server), recorded ? "true" : "false", ms);
	if (!recorded)
		backend_reply(p->http, 503, "{}");
	else if (p->heartbeat_number < 0)
		backend_reply(p->http, 200, "{}");
	else
		backend_answer_heartbeat(n, p->http, p->heartbeat_number);
}

static void end_pending(struct node *n, uint32_t i, bool recorded)
{
	struct leaving_acks *acks = &n->leaving_acks;
	struct pending_leaving p = acks->pending[i];

	acks->pending[i] = acks->pending[--acks->n];
	answer_call(n, &p, recorded);
}

void leaving_acknowledge(struct node *n, struct httpd_request *r,
			 const char *server, int64_t started_ms,
			 int64_t heartbeat_number)
{
	struct leaving_acks *acks = &n->leaving_acks;
	struct pending_leaving p = { .http = r,
				     .heartbeat_number = heartbeat_number,
				     .asked_at_ms = clock_now_ms() };

	fill_leaving(n, server, started_ms, &p.left);
	if (member_leaving_is_recorded(&n->member, &p.left)) {
		answer_call(n, &p, true);
		return;
	}
	if (acks->n == MAX_PENDING_LEAVINGS ||
	    member_server_left(&n->member, &p.left, p.asked_at_ms)) {
		answer_call(n, &p, false);
		return;
	}
	acks->pending[acks->n++] = p;
}

void leaving_record(struct node *n, const char *server, int64_t started_ms)
{
	struct leaving left;

	fill_leaving(n, server, started_ms, &left);
	if (member_server_left(&n->member, &left, clock_now_ms()))
		g_warning("the leaving of backend server %s is not recorded",
			  server);
}

void leaving_on_recorded(struct node *n)
{
	uint32_t i;

	for (i = n->leaving_acks.n; i-- > 0;)
		if (member_leaving_is_recorded(
			    &n->member, &n->leaving_acks.pending[i].left))
			end_pending(n, i, true);
}

void leaving_tick(struct node *n)
{
	int64_t now = clock_now_ms();
	uint32_t i;

	for (i = n->leaving_acks.n; i-- > 0;)
		if (now - n->leaving_acks.pending[i].asked_at_ms >=
		    LEAVING_ACK_TIMEOUT_MS)
			end_pending(n, i, false);
}

void leaving_on_closed(struct node *n, const struct httpd_request *r)
{
	struct leaving_acks *acks = &n->leaving_acks;
	uint32_t i;

	for (i = acks->n; i-- > 0;)
		if (acks->pending[i].http == r)
			acks->pending[i] = acks->pending[--acks->n];
}

void leaving_on_event(struct node *n, const struct leaving *left)
{
	if (strcmp(left->host, n->settings.host))
		return;
	backend_left_by_log(n, left);
	leaving_on_recorded(n);
}

void leaving_on_state_replaced(struct node *n)
{
	const struct leavings *l = &n->member.fleet.leavings;
	uint32_t i;

	for (i = 0; i < l->n; i++)
		leaving_on_event(n, &l->entries[i]);
}

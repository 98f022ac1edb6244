#include "net/answer-check.h"
#include "net/clock.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/result.h"

#define PROBE_INTERVAL_MS 2000
#define PROBE_COST_FACTOR 200
#define PROBE_TIMEOUT_MS 1000
#define STALL_NOTICE_MS 40
#define ENTRY_RECENT_MS 2000

static int64_t oldest_in_flight_ms(struct gate *g, int64_t now_us)
{
	int64_t oldest = now_us;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, g->requests);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		const struct gate_request *r = p;

		/*
		 * Once the head of its answer has arrived, a request may be
		 * slow because its caller reads slowly: no sign of a stall.
		 */
		if (r->state == GATE_IN_FLIGHT && !r->fetch.head_done)
			oldest = MIN(oldest, r->started_at_us);
	}
	return (now_us - oldest) / 1000;
}

/*
 * Reports a stall to the entries that recently sent requests. Otherwise each of
 * them would lose a request or two before it detects the stall itself.
 */
static void send_stall_notices(struct gate *g, int64_t now)
{
	struct request_msg m = { .type = REQ_STALLED,
				 .gate_member = g->node->member.self_id,
				 .wait_ms = STALL_NOTICE_MS };
	GHashTableIter it;
	gpointer identity, entry;

	if (now < g->next_stall_notice_at_ms)
		return;
	g->next_stall_notice_at_ms = now + STALL_NOTICE_MS / 2;
	gate_send(g, NULL, &m);
	g_hash_table_iter_init(&it, g->entries);
	while (g_hash_table_iter_next(&it, &identity, &entry)) {
		if (now - ((struct gate_entry *)entry)->last_request_at_ms >
		    ENTRY_RECENT_MS)
			g_hash_table_iter_remove(&it);
		else
			gate_send(g, identity, &m);
	}
}

void gate_on_stall_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gate *g = w->data;
	int64_t now = clock_now_ms();

	(void)events;
	if (g->admission.limit.ops->check_stall)
		limit_check_stall(&g->admission.limit,
				  oldest_in_flight_ms(g, clock_now_us()), now);
	if (g->admission.limit.stalled)
		send_stall_notices(g, now);
	if (!admission_needs_timer(&g->admission, now)) {
		limit_check_stall(&g->admission.limit, 0, now);
		ev_timer_stop(loop, w);
	}
	gate_read_and_start(g);
}

static void on_probe_done(struct fetch *f, int result)
{
	struct gate *g = f->user;

	g->probing = false;
	if (result == RESULT_OK) {
		g->backend_alive_at_ms = clock_now_ms();
		gate_connect_succeeded(g);
	} else if (result == RESULT_UNREACHABLE) {
		gate_connect_failed(g, f);
	}
}

/* A probe shares its connection with requests: their answers have ids. */
static enum answer_fault check_probe_head(struct fetch *f)
{
	const struct gate *g = f->user;

	if (answer_is_for(f->answer->headers, g->node->settings.headers, NULL))
		return ANSWER_FAULT_none;
	COUNT(answers_mixed);
	return ANSWER_FAULT_other;
}

static const struct fetch_ops probe_ops = {
	.check_head = check_probe_head,
	.on_done = on_probe_done,
};

/*
 * Probes the backend server only when it has not answered recently, and at
 * intervals that keep the cost low: some servers spend 6 ms on each probe.
 */
void gate_probe(struct gate *g, int64_t now)
{
	int64_t every = MAX(PROBE_INTERVAL_MS, g->backend_server.probe_cost_ms *
						       PROBE_COST_FACTOR);
	g_autofree char *url = NULL;

	/* Heartbeats, where sent, show that the server is alive at no cost. */
	if (g->grants.ops)
		return;
	if (!g->connect_failures && now - g->backend_alive_at_ms < every)
		return;
	if (g->probing || now < g->next_probe_at_ms)
		return;
	g->next_probe_at_ms = now + (g->connect_failures ? every / 4 : every);
	url = g_strdup_printf("http://%s/health",
			      g->node->settings.backend_server);
	g->probing = true;
	COUNT(gate_probes);
	fetch_start(&g->probe, &g->fetcher, "GET", url, NULL, NULL, 0,
		    PROBE_TIMEOUT_MS, false, &probe_ops, g);
}

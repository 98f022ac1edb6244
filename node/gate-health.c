#include "net/clock.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/result.h"

#define PROBE_EVERY_MS 2000
#define PROBE_SHARE 200
#define PROBE_TIMEOUT_MS 1000
#define STALL_NOTE_MS 40
#define ENTRY_RECENT_MS 2000

static int64_t oldest_in_flight_ms(struct gate *g, int64_t now_us)
{
	int64_t oldest = now_us;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, g->requests);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		const struct gate_request *r = p;

		/* One whose head has come waits for its reader, not for us. */
		if (r->state == GATE_RUNNING && !r->fetch.head_done)
			oldest = MIN(oldest, r->started_us);
	}
	return (now_us - oldest) / 1000;
}

/*
 * Tell the entries that lately sent work here. Each would otherwise find out
 * by losing a request or two of its own to the stall.
 */
static void note_stall(struct gate *g, int64_t now)
{
	struct request_msg m = { .type = REQ_STALLED,
				 .gate_member = g->node->member.self_id,
				 .wait_ms = STALL_NOTE_MS };
	GHashTableIter it;
	gpointer identity, heard;

	if (now < g->next_stall_note_ms)
		return;
	g->next_stall_note_ms = now + STALL_NOTE_MS / 2;
	gate_emit(g, NULL, &m);
	g_hash_table_iter_init(&it, g->entries);
	while (g_hash_table_iter_next(&it, &identity, &heard)) {
		if (now - *(int64_t *)heard > ENTRY_RECENT_MS)
			g_hash_table_iter_remove(&it);
		else
			gate_emit(g, identity, &m);
	}
}

/* Look at the oldest request in flight; runs while admission needs it. */
void gate_on_watch(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gate *g = w->data;
	int64_t now = clock_now_ms();

	(void)events;
	if (g->load.limit.ops->check_stall)
		limit_check_stall(&g->load.limit,
				  oldest_in_flight_ms(g, clock_now_us()), now);
	if (g->load.limit.stalled)
		note_stall(g, now);
	if (!admission_needs_timer(&g->load, now)) {
		limit_check_stall(&g->load.limit, 0, now);
		ev_timer_stop(loop, w);
	}
	gate_refill(g);
}

static void on_probe_done(struct fetch *f, int result)
{
	struct gate *g = f->user;

	g->probing = false;
	if (result == RESULT_OK) {
		g->heard_ms = clock_now_ms();
		gate_connected(g);
	} else if (result == RESULT_UNREACHABLE) {
		gate_not_connected(g, f);
	}
}

static const struct fetch_ops probe_ops = { .on_done = on_probe_done };

/*
 * Ask for a sign of life, but only of a server that gave none of late, and no
 * oftener than its cost allows: some take 6 ms for each probe.
 */
void gate_probe(struct gate *g, int64_t now)
{
	int64_t every = MAX(PROBE_EVERY_MS,
			    g->backend_server.probe_cost_ms * PROBE_SHARE);
	g_autofree char *url = NULL;

	/* Heartbeats tell it without the server's work, where it sends them. */
	if (g->grants.ops)
		return;
	if (!g->connect_failures && now - g->heard_ms < every)
		return;
	if (g->probing || now < g->next_probe_ms)
		return;
	g->next_probe_ms = now + (g->connect_failures ? every / 4 : every);
	url = g_strdup_printf("http://%s/health",
			      g->node->settings.backend_server);
	g->probing = true;
	COUNT(gate_probes);
	fetch_start(&g->probe, &g->fetcher, "GET", url, NULL, NULL, 0,
		    PROBE_TIMEOUT_MS, false, &probe_ops, g);
}

#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/result.h"

/* Requests that entries cancel, and those of entries that have ended. */

static const char *state_name(enum gate_state state)
{
	static const char *const names[] = {
		[GATE_QUEUED] = "waiting",     [GATE_SHARD_WAIT] = "parked",
		[GATE_LINK_WAIT] = "cut",      [GATE_CONFIRM_WAIT] = "asked",
		[GATE_SUSPECT_WAIT] = "apart", [GATE_IN_FLIGHT] = "running",
	};

	return names[state];
}

void gate_cancel_request(struct gate_request *r, int64_t excess_delay_ms)
{
	struct gate *g = r->gate;

	/*
	 * A request that must not be repeated is completed even after its
	 * caller has left: aborted halfway, it would have no usable result and
	 * could not be sent again.
	 */
	if (r->state == GATE_IN_FLIGHT && !r->repeatable && r->fetch.sent) {
		r->cancelled = true;
		gate_unreserve_link(r);
		fetch_resume(&r->fetch);
		return;
	}
	COUNT(gate_cancelled);
	EVENT(gate_cancelled, r->attempt_id,
	      "\"member\":%" PRId64 ",\"state\":\"%s\",\"repeatable\":%s"
	      ",\"age_ms\":%" PRId64 ",\"late_ms\":%" PRId64
	      ",\"sent_ms\":%" PRId64 ",\"arrived_ms\":%" PRId64,
	      g->node->member.self_id, state_name(r->state),
	      r->repeatable ? "true" : "false",
	      clock_now_ms() - r->arrived_at_ms, excess_delay_ms, r->sent_at_ms,
	      r->arrived_at_ms);
	if (r->state == GATE_IN_FLIGHT && r->id_hash && !r->fetch.sent)
		ids_forget(&g->ids, r->id_hash);
	else if (r->state == GATE_IN_FLIGHT && r->id_hash)
		ids_end(&g->ids, r->id_hash, SEEN_UNKNOWN, 0, NULL, NULL, 0);
	gate_detach(r);
	gate_request_free(r);
	gate_start_queued(g);
}

/*
 * After a link was replaced, the old link can deliver a request later than the
 * new one delivers its cancel.
 */
void gate_record_early_cancel(struct gate *g, const struct request_msg *m)
{
	if (!gate_has_early_cancel(g, m))
		fifo_cache_add(&g->early_cancels, m->origin, m->id,
			       g_new0(char, 1));
}

bool gate_has_early_cancel(const struct gate *g, const struct request_msg *m)
{
	return fifo_cache_get(&g->early_cancels, m->origin, m->id);
}

static bool is_from_address(const struct gate_request *r, const char *address)
{
	size_t len = strlen(address);
	gsize n;
	const char *identity;

	if (!r->identity)
		return false;
	identity = g_bytes_get_data(r->identity, &n);
	return n > len && identity[len] == '/' &&
	       !memcmp(identity, address, len);
}

void gate_entry_stopped(struct gate *g, const char *address)
{
	GList *all = g_hash_table_get_keys(g->requests);
	GList *l;

	for (l = all; l; l = l->next) {
		struct gate_request *r = l->data;

		if (r->state == GATE_IN_FLIGHT || !is_from_address(r, address))
			continue;
		gate_detach(r);
		gate_refuse(r, RESULT_UNREACHABLE);
	}
	g_list_free(all);
}

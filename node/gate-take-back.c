#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "node/gate-request.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/result.h"

/* Requests that entries take back, or that are left of entries that are gone. */

static const char *state_name(enum gate_state state)
{
	static const char *const names[] = {
		[GATE_WAITING] = "waiting", [GATE_PARKED] = "parked",
		[GATE_CUT] = "cut",	    [GATE_ASKED] = "asked",
		[GATE_RUNNING] = "running",
	};

	return names[state];
}

void gate_take_back(struct gate_request *r, int64_t late_ms)
{
	struct gate *g = r->gate;

	/*
	 * Work that may not be repeated is worth its result even when its
	 * caller has left: cut off halfway it helps nobody, and nobody may
	 * send it again.
	 */
	if (r->state == GATE_RUNNING && !r->repeatable && r->fetch.sent) {
		r->unwanted = true;
		gate_leave_link(r);
		fetch_resume(&r->fetch);
		return;
	}
	COUNT(gate_cancelled);
	EVENT(gate_cancelled, r->attempt_id,
	      "\"member\":%" PRId64 ",\"state\":\"%s\",\"repeatable\":%s"
	      ",\"age_ms\":%" PRId64 ",\"late_ms\":%" PRId64
	      ",\"sent_ms\":%" PRId64 ",\"arrived_ms\":%" PRId64,
	      g->node->member.self_id, state_name(r->state),
	      r->repeatable ? "true" : "false", clock_now_ms() - r->arrived_ms,
	      late_ms, r->sent_ms, r->arrived_ms);
	if (r->state == GATE_RUNNING && r->seen_hash && !r->fetch.sent)
		ids_forget(&g->ids, r->seen_hash);
	else if (r->state == GATE_RUNNING && r->seen_hash)
		ids_end(&g->ids, r->seen_hash, SEEN_UNKNOWN, 0, NULL, NULL, 0);
	gate_take_out(r);
	gate_request_free(r);
	gate_pump(g);
}

/*
 * A link that was replaced can deliver a request after the new one has brought
 * what takes it back.
 */
void gate_note_taken_back(struct gate *g, const struct request_msg *m)
{
	if (!gate_was_taken_back(g, m))
		fifo_cache_add(&g->taken_back, m->origin, m->id,
			       g_new0(char, 1));
}

bool gate_was_taken_back(const struct gate *g, const struct request_msg *m)
{
	return fifo_cache_get(&g->taken_back, m->origin, m->id);
}

static bool came_from(const struct gate_request *r, const char *address)
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

void gate_entry_gone(struct gate *g, const char *address)
{
	GList *all = g_hash_table_get_keys(g->requests);
	GList *l;

	for (l = all; l; l = l->next) {
		struct gate_request *r = l->data;

		if (r->state == GATE_RUNNING || !came_from(r, address))
			continue;
		gate_take_out(r);
		gate_refuse(r, RESULT_UNREACHABLE);
	}
	g_list_free(all);
}

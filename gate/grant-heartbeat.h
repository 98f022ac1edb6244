#ifndef GATE_GRANT_HEARTBEAT_H
#define GATE_GRANT_HEARTBEAT_H

#include <glib.h>

#include "gate/grant-owner.h"
#include "gate/grants.h"

/*
 * Grants by heartbeat. Each heartbeat of the backend server reports the keys
 * that it holds and those that it has released. Each answer names all keys that
 * the backend server is to hold and for how long: those of every shard that
 * this node may serve now, until the end of its lease. The backend server
 * releases what an answer omits. No input or output; the time is passed in.
 */

/*
 * Processes the rows (struct grant_row) that a heartbeat reports as held and as
 * released. heartbeat: its number. hold_max_ms: the longest that a grant of a
 * previous process can last.
 */
void grant_heartbeat_received(struct grants *g, int64_t heartbeat,
			      const GArray *holds, const GArray *released,
			      int64_t hold_max_ms, int64_t now_ms);

/*
 * Returns the rows (struct grant_row) that the answer to a heartbeat should
 * name, the most urgent first. *hold_ms: how many milliseconds they are held,
 * by the backend server's clock. Returns NULL if the number of
 * shards is unknown, the lease ends too soon, or it is undecided whether this
 * node may serve a shard that is held; an answer without rows changes nothing
 * at the backend server. with_handovers: add the handovers of previous holders.
 * The caller frees the array.
 */
GArray *grant_heartbeat_rows(const struct grants *g,
			     const struct grant_owner *o, bool with_handovers,
			     int64_t hold_max_ms, int64_t now_ms,
			     int64_t *hold_ms);

/*
 * Records that the answer to a heartbeat names the first n_named of the rows.
 * heartbeat: its number. The backend server releases all other shards. Until it
 * reports their release or the hold has ended, grants_may_hold() stays true for
 * them, but grants_server_holds() is false at once.
 */
void grant_heartbeat_answered(struct grants *g, const GArray *rows,
			      uint32_t n_named, int64_t heartbeat,
			      int64_t hold_ms, int64_t now_ms);

#endif

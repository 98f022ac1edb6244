#ifndef GATE_GRANT_BEAT_H
#define GATE_GRANT_BEAT_H

#include <glib.h>

#include "gate/grant-owner.h"
#include "gate/grants.h"

/*
 * Grants by heartbeat. The backend server reports in each heartbeat what it
 * holds and what it let go, and each answer names all that it is to hold and
 * for how long: every shard that this node may serve now, for as long as its
 * lease lasts. What an answer leaves out the server lets go. No input or
 * output; the time is passed in.
 */

/*
 * A heartbeat of number heartbeat. hold_max_ms bounds how long a grant that a
 * process before this one gave can last.
 */
void grant_heartbeat_received(struct grants *g, int64_t heartbeat,
			      const GArray *holds, const GArray *released,
			      int64_t hold_max_ms, int64_t now_ms);

/*
 * The rows (struct grant_row) that the answer to a heartbeat should name, those
 * that need it most first, and for how many milliseconds of the server's clock
 * they hold. NULL when nothing can be said of any shard, which changes nothing
 * at the server. The caller frees.
 */
GArray *grant_heartbeat_rows(const struct grants *g,
			     const struct grant_owner *o, bool with_handovers,
			     int64_t hold_max_ms, int64_t now_ms,
			     int64_t *hold_ms);

/*
 * The answer to heartbeat number heartbeat names the first n_named of the rows.
 * The server lets all else go: that counts as held until it says so or the hold
 * has run out, but no longer as granted.
 */
void grant_heartbeat_answered(struct grants *g, const GArray *rows,
			      uint32_t n_named, int64_t heartbeat,
			      int64_t hold_ms, int64_t now_ms);

#endif

#ifndef GATE_RENEW_H
#define GATE_RENEW_H

#include <glib.h>

#include "gate/grants.h"
#include "member/member.h"

/*
 * What the answer to a backend server's heartbeat names: every shard that this
 * node may serve now, for as long as its lease lasts. No input or output; the
 * time is passed in.
 */

/*
 * The rows (struct grant_row) of the answer to heartbeat number beat, and for
 * how many milliseconds of the server's clock they hold. NULL when nothing can
 * be said of any shard, which changes nothing at the server. The caller frees.
 */
GArray *renew_rows(struct grants *g, const struct member_node *m, int64_t beat,
		   int64_t hold_max_ms, int64_t now_ms, int64_t *hold_ms);

#endif

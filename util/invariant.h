#ifndef UTIL_INVARIANT_H
#define UTIL_INVARIANT_H

#include <glib.h>

/*
 * Abort the process unless cond holds. Such a condition must hold whatever the
 * network, the log and the clocks do. The check stays on in production: a node
 * that breaks an invariant could give a key two owners, and losing that one
 * process does less harm.
 */
#define INVARIANT(cond, what)                                    \
	do {                                                     \
		if (G_UNLIKELY(!(cond)))                         \
			g_error("invariant broken: %s", (what)); \
	} while (0)

#endif

#ifndef UTIL_INVARIANT_H
#define UTIL_INVARIANT_H

#include <glib.h>

/*
 * A condition that must hold whatever the network, the log and the clocks do.
 * It stays on in production: a node that breaks one could give a key two
 * owners, and stopping that one process is the smaller harm.
 */
#define INVARIANT(cond, what)                                    \
	do {                                                     \
		if (G_UNLIKELY(!(cond)))                         \
			g_error("invariant broken: %s", (what)); \
	} while (0)

#endif

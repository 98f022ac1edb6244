#ifndef UTIL_HISTOGRAM_H
#define UTIL_HISTOGRAM_H

#include <stdint.h>
#include <glib.h>

/*
 * Latencies in fixed buckets, spaced by the square root of two from 1 ms to
 * about a minute: any quantile read from them is at most 41% too high.
 */
#define HISTOGRAM_BUCKETS 34

/* name, what is measured in milliseconds */
#define HISTOGRAM_LIST(X)                                              \
	X(answered_ms) /* a request, from its arrival to the answer */ \
	X(refused_ms) /* the same, to the refusal */                   \
	X(unknown_ms) /* the same, to giving up */                     \
	X(entry_ms) /* at the entry, until a gate was asked */         \
	X(again_ms) /* after a gate refused, until another was */      \
	X(queue_ms) /* at the gate, before it was begun */             \
	X(parked_ms) /* of that, for a key on its way to the gate */   \
	X(in_vain_ms) /* at the gate, before it was refused */         \
	X(connect_ms) /* begun, until it had a connection */           \
	X(server_ms) /* at the backend server, with connect_ms */      \
	X(hop_ms) /* between nodes, beyond the fastest seen */         \
	X(cancel_ms) /* the same for what takes a request back */      \
	X(loop_ms) /* a round of the loop, without its waiting */      \
	X(grant_ms) /* how long grants in heartbeat answers last */    \
	X(store_append_ms) /* an append to the log, to its answer */

enum histogram {
#define HISTOGRAM_ENUM(name) HISTOGRAM_##name,
	HISTOGRAM_LIST(HISTOGRAM_ENUM)
#undef HISTOGRAM_ENUM
	N_HISTOGRAMS
};

void histogram_add(enum histogram h, double ms);

/* Append all of them to out, in Prometheus' text form. */
void histograms_text(GString *out);

#define MEASURE(name, ms) histogram_add(HISTOGRAM_##name, (ms))

#endif

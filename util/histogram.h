#ifndef UTIL_HISTOGRAM_H
#define UTIL_HISTOGRAM_H

#include <stdint.h>
#include <glib.h>

/*
 * Histograms of latencies, with fixed buckets from 1 ms to about a minute. Each
 * bound is the one before times the square root of two, so a quantile computed
 * from them is at most 41% too high.
 */
#define HISTOGRAM_BUCKETS 34

/* name, and what it measures in milliseconds */
#define HISTOGRAM_LIST(X)                                              \
	X(answered_ms) /* a request, from arrival to the answer */     \
	X(refused_ms) /* a request, from arrival to the refusal */     \
	X(unknown_ms) /* a request, from arrival to outcome unknown */ \
	X(entry_ms) /* at the entry, until sent to a gate */           \
	X(again_ms) /* from a gate's refusal until the next send */    \
	X(queue_ms) /* at the gate, from arrival to start */           \
	X(parked_ms) /* part of queue_ms: waiting for a moving key */  \
	X(in_vain_ms) /* at the gate, from arrival to refusal */       \
	X(connect_ms) /* from start until there is a connection */     \
	X(server_ms) /* at the backend server, with connect_ms */      \
	X(hop_ms) /* between nodes, beyond the least delay seen */     \
	X(cancel_ms) /* as hop_ms, for cancellations */                \
	X(loop_ms) /* an iteration of the event loop, no waiting */    \
	X(grant_ms) /* duration of grants in heartbeat answers */      \
	X(store_append_ms) /* an append to the log, to its answer */   \
	X(change_early_ms) /* read by a reader to in force here */     \
	X(change_wait_ms) /* operators' change: read to proposed */    \
	X(change_append_ms) /* proposed to accepted by the log */      \
	X(change_back_ms) /* proposed to applied here */               \
	X(announced_ms) /* a record: announced to applied here */      \
	X(leaving_ack_ms) /* a server leaves, to its acknowledgement */

enum histogram {
#define HISTOGRAM_ENUM(name) HISTOGRAM_##name,
	HISTOGRAM_LIST(HISTOGRAM_ENUM)
#undef HISTOGRAM_ENUM
	N_HISTOGRAMS
};

/* Add a value in milliseconds. */
void histogram_add(enum histogram h, double ms);

/* Append all histograms to out in the text format of Prometheus. */
void histograms_text(GString *out);

#define MEASURE(name, ms) histogram_add(HISTOGRAM_##name, (ms))

#endif

#ifndef UTIL_EVENT_H
#define UTIL_EVENT_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * The events of a node, a JSON line each on standard output: what was decided
 * about a request and by which inputs, and what the process now believes. The
 * table of events and fields stands in docs/OPERATIONS.md.
 *
 * Lines must neither slow the node down nor flood whoever keeps them. Each kind
 * has a token bucket; what it leaves out is counted and told by the next line
 * of the kind. A pipe that is full drops lines, counted too, and never blocks.
 */
#define EVENT_LIST(X)                        \
	/* name, lines a second, in a row */ \
	X(started, 10, 10)                   \
	X(stopping, 10, 10)                  \
	X(stopped, 10, 10)                   \
	X(reloaded, 10, 10)                  \
	X(published, 10, 20)                 \
	X(configuration_proposed, 10, 20)    \
	X(configured, 10, 20)                \
	X(configuration_refused, 10, 20)     \
	X(store_lost, 2, 10)                 \
	X(store_read_renewed, 2, 10)         \
	X(store_regained, 2, 10)             \
	X(log_recovered, 2, 10)              \
	X(caught_up, 5, 10)                  \
	X(current, 5, 10)                    \
	X(server_announced, 10, 20)          \
	X(server_leaves, 10, 20)             \
	X(server_refused, 2, 10)             \
	X(lease_gained, 10, 20)              \
	X(lease_lapsed, 10, 20)              \
	X(member_stopped, 20, 50)            \
	X(move_unsettled, 1, 5)              \
	X(shards_given, 5, 10)               \
	X(request_sent, 20, 40)              \
	X(request_answered, 20, 40)          \
	X(request_refused, 20, 60)           \
	X(request_unknown, 20, 60)           \
	X(request_rejected, 5, 20)           \
	X(request_abandoned, 5, 20)          \
	X(gate_started, 20, 40)              \
	X(gate_answered, 20, 40)             \
	X(gate_cancelled, 10, 30)            \
	X(gate_set_aside, 5, 20)             \
	X(gate_refused, 20, 60)              \
	X(gate_failed, 20, 60)               \
	X(grant_in_doubt, 5, 20)             \
	X(grant_fenced, 5, 20)               \
	X(grant_misdirected, 5, 20)

enum event {
#define EVENT_ENUM(name, rate, burst) EVENT_##name,
	EVENT_LIST(EVENT_ENUM)
#undef EVENT_ENUM
	N_EVENTS
};

/* Begin to write events, as host; without this call there are none. */
void event_setup(const char *host);

/* Whether a line of this kind would be written now; takes its token. */
bool event_allowed(enum event e);

/*
 * Write a line: an event, the id of a request or NULL, and more fields as JSON
 * members ("\"ms\":5"), which fmt must yield without a trailing comma. Call
 * only after event_allowed() said so.
 */
void event_write(enum event e, const char *id, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);

#define EVENT(e, id, ...)                                        \
	do {                                                     \
		if (event_allowed(EVENT_##e))                    \
			event_write(EVENT_##e, id, __VA_ARGS__); \
	} while (0)

/*
 * Text from outside made safe to stand between quotes. Valid until the fourth
 * call after.
 */
const char *event_text(const char *s);

/*
 * Whether the next request should be traced: all its lines are then written,
 * not only those of its failing. A few a second are.
 */
bool event_should_trace(void);

/* Put a whole line on standard output, or drop and count it. */
void event_write_line(const char *line, size_t len);

#endif

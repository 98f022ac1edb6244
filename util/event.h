#ifndef UTIL_EVENT_H
#define UTIL_EVENT_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * Events of a node, written to standard output as one JSON line each: decisions
 * about requests with their inputs, and changes of the process's state.
 * docs/OPERATIONS.md lists the events and their fields.
 *
 * Events must neither slow the node down nor flood the system that stores them.
 * Each kind has a token bucket. Lines that it suppresses are counted, and the
 * next line of that kind reports their number. When the output pipe is full,
 * lines are dropped and counted; a write never blocks.
 */
#define EVENT_LIST(X)                        \
	/* name, lines each second, burst */ \
	X(started, 10, 10)                   \
	X(stopping, 10, 10)                  \
	X(stopped, 10, 10)                   \
	X(reloaded, 10, 10)                  \
	X(published, 10, 20)                 \
	X(configuration_proposed, 10, 20)    \
	X(change_in_force, 10, 20)           \
	X(change_appended, 10, 20)           \
	X(record_announced, 5, 20)           \
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
	X(server_deregistered, 10, 20)       \
	X(leaving_answered, 10, 20)          \
	X(server_refused, 2, 10)             \
	X(server_ended, 10, 20)              \
	X(server_limit, 5, 10)               \
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
	X(link_reconciled, 10, 20)           \
	X(gate_started, 20, 40)              \
	X(gate_answered, 20, 40)             \
	X(gate_cancelled, 10, 30)            \
	X(gate_set_aside, 5, 20)             \
	X(gate_refused, 20, 60)              \
	X(gate_failed, 20, 60)               \
	X(answer_refused, 20, 60)            \
	X(grant_in_doubt, 5, 20)             \
	X(grant_fenced, 5, 20)               \
	X(grant_misdirected, 5, 20)

enum event {
#define EVENT_ENUM(name, rate, burst) EVENT_##name,
	EVENT_LIST(EVENT_ENUM)
#undef EVENT_ENUM
	N_EVENTS
};

/* Enable events, with the given host name. No events are written before. */
void event_setup(const char *host);

/* Returns whether the rate limit allows an event now, and takes a token. */
bool event_allowed(enum event e);

/*
 * Write an event with the id of a request, or NULL, and further fields: fmt
 * must yield JSON members ("\"ms\":5") without a trailing comma. Call it only
 * after event_allowed() returned true.
 */
void event_write(enum event e, const char *id, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);

#define EVENT(e, id, ...)                                        \
	do {                                                     \
		if (event_allowed(EVENT_##e))                    \
			event_write(EVENT_##e, id, __VA_ARGS__); \
	} while (0)

/*
 * Returns a copy of a text from outside that is safe inside a JSON string: it
 * ends at the first newline or after 64 characters, and '?' replaces quotes,
 * backslashes and unprintable characters. The copy is valid until the fourth
 * call after this one.
 */
const char *event_text(const char *s);

/*
 * Returns whether to trace the next request, which is the case for a few per
 * second. All events of a traced request are written, not only its failures.
 */
bool event_should_trace(void);

/* Write a line to standard output, or drop and count it if that would block. */
void event_write_line(const char *line, size_t len);

#endif

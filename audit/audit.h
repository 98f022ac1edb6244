#ifndef AUDIT_AUDIT_H
#define AUDIT_AUDIT_H

#include <stdint.h>
#include <glib.h>

#include "state/fleet.h"

/*
 * The audit trail: every change of ownership, membership and configuration,
 * with who made it, the reason, and the log offset of its record. All nodes
 * derive the same trail from the log; each keeps the newest AUDIT_LINES lines.
 */

#define AUDIT_LINES 4096

struct audit_line {
	int64_t number;
	int64_t unix_ms; /* when this node applied the record */
	char *text;
};

/* The shards that one record moved from one owner to another. */
struct audit_moves {
	int64_t offset;
	char service[NAME_MAX_LEN + 1];
	int64_t from;
	int64_t to;
	char *why;
	GString *shards;
	/* The last range of shards; its end is not in the text yet. */
	uint32_t first;
	uint32_t last;
};

struct audit {
	struct audit_line lines[AUDIT_LINES];
	int64_t next; /* number of the next line */
	/* Moves by the last record: one entry for each pair of owners. */
	GPtrArray *moves; /* struct audit_moves */
};

/* Initialises an empty trail; end its use by audit_finish(). */
void audit_init(struct audit *a);
void audit_finish(struct audit *a);

/* Records a change. Moves of shards are collected until audit_flush(). */
void audit_event(struct audit *a, const struct fleet_event *ev);

/* Writes the lines of the moves collected; call after each record. */
void audit_flush(struct audit *a);

/*
 * Appends the lines from a number on that are still kept to out. Returns the
 * number of the next line, from which the caller can continue.
 */
int64_t audit_text(const struct audit *a, int64_t from, GString *out);

#endif

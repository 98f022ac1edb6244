#ifndef AUDIT_AUDIT_H
#define AUDIT_AUDIT_H

#include <stdint.h>
#include <glib.h>

#include "state/fleet.h"

/*
 * The trail of changes: every change of ownership, membership and
 * configuration, with who, why and the log offset that made it. Every node
 * derives the same trail from the log; each keeps the newest lines.
 */

#define AUDIT_LINES 4096

struct audit_line {
	int64_t number;
	int64_t unix_ms; /* when this node applied the record */
	char *text;
};

struct audit_moves {
	int64_t offset;
	char service[NAME_MAX_LEN + 1];
	int64_t from;
	int64_t to;
	char *why;
	GString *shards;
	uint32_t first; /* of the shards in a row that end the list so far */
	uint32_t last;
};

struct audit {
	struct audit_line lines[AUDIT_LINES];
	int64_t next;
	/* Moves of one record, a line for each pair of owners. */
	GPtrArray *moves; /* struct audit_moves */
};

void audit_init(struct audit *a);
void audit_finish(struct audit *a);
void audit_event(struct audit *a, const struct fleet_event *ev);

/* End a line still being gathered; call after each record. */
void audit_flush(struct audit *a);

/* Append the lines from a number on; returns the number after the last. */
int64_t audit_text(const struct audit *a, int64_t from, GString *out);

#endif

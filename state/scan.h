#ifndef STATE_SCAN_H
#define STATE_SCAN_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>

/*
 * The records of a log whose beginning is gone, kept until its end is read:
 * then the newest snapshot among them is known, and what comes after it.
 */

struct scanned_record {
	int64_t offset;
	char *id;
	json_t *record;
};

struct log_scan {
	GPtrArray *records; /* struct scanned_record, by offset */
	GHashTable *snapshots; /* struct snapshot_parts by int64_t upto */
};

/* Set up on memory that the caller owns. */
void log_scan_init(struct log_scan *s);
void log_scan_finish(struct log_scan *s);

/* Forget all. */
void log_scan_clear(struct log_scan *s);

/* Keep a record, and look whether it completes a snapshot. */
void log_scan_add(struct log_scan *s, int64_t offset, const char *id,
		  const json_t *record);

/*
 * Take out the newest whole snapshot of a state after an offset; the caller
 * drops the reference. NULL where there is none. Called again it gives the one
 * before, for when this one cannot be loaded.
 */
json_t *log_scan_take_snapshot(struct log_scan *s, int64_t after);

#endif

#ifndef STATE_SCAN_H
#define STATE_SCAN_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>

/*
 * Collects the records of a log whose beginning was trimmed. Once the log has
 * been read to its end, the newest complete snapshot and the records after it
 * are known.
 */

struct scanned_record {
	int64_t offset;
	char *id;
	json_t *record;
};

struct log_scan {
	GPtrArray *records; /* struct scanned_record, by offset */
	GHashTable *snapshots; /* int64_t upto -> struct snapshot_parts */
};

/* Initialise; the caller owns *s and ends its use by log_scan_finish(). */
void log_scan_init(struct log_scan *s);
void log_scan_finish(struct log_scan *s);

/* Discard all records and snapshots. */
void log_scan_clear(struct log_scan *s);

/* Add a record, taking a reference; collects it if it is a snapshot part. */
void log_scan_add(struct log_scan *s, int64_t offset, const char *id,
		  const json_t *record);

/*
 * Remove and return the newest complete snapshot that includes records after an
 * offset, or NULL if there is none. The caller drops the reference. If the
 * snapshot cannot be loaded, another call returns the next older one.
 */
json_t *log_scan_take_snapshot(struct log_scan *s, int64_t after);

#endif

#ifndef STATE_RECORDS_H
#define STATE_RECORDS_H

#include <jansson.h>

#include "state/fleet.h"

/*
 * Constructors of the log's records. Each returns a new reference, never NULL.
 * docs/design/records.md describes every field.
 */
json_t *record_join(const struct member *m);
json_t *record_expel(int64_t by, const char *reason);
void record_expel_add(json_t *record, const struct member *m);
json_t *record_move(const char *service, int64_t by, const char *reason);
void record_move_add(json_t *record, uint32_t shard, int64_t owner,
		     int64_t successor, int64_t base_fence);
json_t *record_place(const char *service, int64_t by);
json_t *record_settle(int64_t member, int64_t upto);
json_t *record_witnesses(int64_t member, int64_t base,
			 const struct witness_set *w);
json_t *record_configuration(int64_t base, json_t *document, const char *by,
			     const char *reason);
json_t *record_changes(int64_t base, json_t *changes, int64_t source,
		       bool complete, int64_t by);
json_t *record_suspects(int64_t by, const char *instance,
			const uint64_t *fingerprints, uint32_t n);
json_t *record_cleared(json_t *by, const char *reason,
		       const uint64_t *fingerprints, uint32_t n);
json_t *record_left(int64_t by, const struct leaving *left);
json_t *record_snapshot(int64_t upto, uint32_t part, uint32_t parts,
			const char *data, size_t len);

json_t *witness_set_to_json(const struct witness_set *w);
int witness_set_from_json(struct witness_set *w, const json_t *list);

#endif

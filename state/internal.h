#ifndef STATE_INTERNAL_H
#define STATE_INTERNAL_H

#include "state/fleet.h"

/* Shared between the files of state/ only. */

/*
 * Move a shard to another owner and successor. The move is unsettled until the
 * new owner appends a settle record. Returns RESULT_OK, or RESULT_STALE when
 * two earlier moves are not settled yet, or owner and successor are the same.
 */
int fleet_move_shard(struct fleet *f, struct fleet_service *s, uint32_t i,
		     int64_t owner, int64_t successor, int64_t offset,
		     const json_t *record, const char *reason);

/* Change a shard's owner and fence only; prev_owner stays as it is. */
void fleet_set_owner(struct fleet *f, struct fleet_service *s, uint32_t i,
		     int64_t owner, int64_t offset, const json_t *record,
		     const char *reason);

/* Name the successor of a shard, 0 for none, by the record at offset. */
void fleet_set_successor(struct shard *sh, int64_t successor, int64_t offset);

/* Append a service, all zero; may move the services added before. */
struct fleet_service *fleet_add_service(struct fleet *f);

/* state/rejoin.c: a host joins again, as member m after member old. */
bool rejoin_supersedes(const struct member *m, const struct member *old);
void rejoin_note_instance(struct member *m, const struct member *old);
bool rejoin_server_restarted(const struct member *m, const struct member *old);
void rejoin_transfer_shards(struct fleet *f, const struct member *old,
			    const struct member *m, int64_t offset,
			    const json_t *record);

#endif

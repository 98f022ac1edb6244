#ifndef STATE_INTERNAL_H
#define STATE_INTERNAL_H

#include "state/fleet.h"

/* Shared between the files of state/ only. */

/* Give a shard to another owner; unsettled until that one says so. */
int fleet_move_shard(struct fleet *f, struct fleet_service *s, uint32_t i,
		     int64_t owner, int64_t successor, int64_t offset,
		     const json_t *record, const char *reason);
void fleet_set_owner(struct fleet *f, struct fleet_service *s, uint32_t i,
		     int64_t owner, int64_t offset, const json_t *record,
		     const char *reason);
void fleet_set_successor(struct shard *sh, int64_t successor, int64_t offset);

struct fleet_service *fleet_add_service(struct fleet *f);

/* state/rejoin.c */
bool rejoin_supersedes(const struct member *m, const struct member *old);
bool rejoin_server_restarted(const struct member *m, const struct member *old);
void rejoin_transfer_shards(struct fleet *f, const struct member *old,
			    const struct member *m, int64_t offset,
			    const json_t *record);

#endif

#ifndef STATE_FLEET_H
#define STATE_FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>

#include "settings/configuration.h"
#include "state/leavings.h"
#include "state/quarantine.h"

/*
 * The replicated state that every node replays from the platform's log: the
 * members, one for each incarnation of a host, the owner and successor of every
 * shard, and the configuration in force. fleet_apply() is deterministic: it
 * does no input or output and reads no clock, so that equal logs give equal
 * states on every node.
 *
 * A member's id is the offset of its join record plus one; 0 means no member.
 * A shard's fence (fencing token) is the offset of the record that last moved
 * it.
 */

#define FLEET_MAX_WITNESSES 5
#define FLEET_WITNESSES 3
#define FLEET_RECENT_APPENDS 256
/* Reason for removing a member: its host runs a newer incarnation. */
#define FLEET_REASON_RESTARTED "restarted"
/*
 * Reason for removing a member: its host runs a newer incarnation, and its
 * backend server restarted too and so lost the shards that it held.
 */
#define FLEET_REASON_SERVER_RESTARTED "restarted with its backend server"
/*
 * Reason for moving a shard to the newer incarnation of its owner's host, which
 * keeps it: usually the node restarted and its backend server kept running.
 */
#define FLEET_REASON_SHARD_KEPT "restarted beside its backend server"
#define HOST_MAX_LEN 63
#define ADDRESS_MAX_LEN 63
#define BOOT_ID_MAX_LEN 39
#define NONCE_MAX_LEN 23
#define SERVER_INSTANCE_ID_MAX_LEN 63

/*
 * Stands for the log in a witness set. While a fleet is too small for three
 * witnesses, a node renews its lease by reading the log's tail, and a member
 * that takes over the node's shards waits for a full lease duration after the
 * record that expels the node.
 */
#define LOG_WITNESS (-1)

struct witness_set {
	int64_t id[FLEET_MAX_WITNESSES]; /* member::process, or LOG_WITNESS */
	uint32_t n;
};

struct member {
	int64_t id;
	/*
	 * Id of the first membership of the same process. Witness sets name
	 * processes, as a process that joins again keeps the promises it gave
	 * as a witness. If they named members, every member that has a
	 * rejoining node as a witness would lose that witness and might have to
	 * join again too, and so on through the fleet.
	 */
	int64_t process;
	char host[HOST_MAX_LEN + 1];
	char data_centre[NAME_MAX_LEN + 1];
	char service[NAME_MAX_LEN + 1];
	char peer[ADDRESS_MAX_LEN + 1];
	char caller[ADDRESS_MAX_LEN + 1];
	char boot_id[BOOT_ID_MAX_LEN + 1];
	/* By which a process recognises its own join record. */
	char nonce[NONCE_MAX_LEN + 1];
	/* One run of the host's backend server: its id, "/", its start. */
	char server_instance_id[SERVER_INSTANCE_ID_MAX_LEN + 1];
	/*
	 * The instance that the process before knew, if it is another one. The
	 * present process may have heard of its own one by a late heartbeat.
	 */
	char prev_server_instance_id[SERVER_INSTANCE_ID_MAX_LEN + 1];
	struct witness_set witnesses;
	/* Previous set, which counts too until the member settles. */
	struct witness_set old_witnesses;
	int64_t witness_offset; /* record that set the witnesses */
	/* Working data of assign_prepare(), not part of the state. */
	uint32_t n_assigned;
	bool candidate;
};

struct shard {
	int64_t owner; /* 0: none */
	int64_t successor; /* 0: none */
	int64_t fence;
	/*
	 * Offset of the record that named the successor. A successor that takes
	 * over before a log record moves the shard to it derives its fencing
	 * token from this offset. An earlier successor may have taken over in
	 * the same way; if both used the shard's fence, their tokens would be
	 * equal.
	 */
	int64_t successor_fence;
	/*
	 * Owner and successor before the last move, either of which may still
	 * be serving the shard. Set until the new owner settles the move.
	 */
	int64_t prev_owner;
	int64_t prev_successor;
	/*
	 * Owner and successor before the move preceding the last one, if that
	 * move was not settled yet.
	 */
	int64_t older_owner;
	int64_t older_successor;
};

struct fleet_service {
	char name[NAME_MAX_LEN + 1];
	uint32_t n_shards;
	uint32_t key_numbers; /* see service_settings */
	struct shard *shards;
};

enum fleet_event_type {
	FLEET_MEMBER_JOINED,
	FLEET_MEMBER_REMOVED,
	FLEET_SHARD_MOVED,
	FLEET_SUCCESSOR_REMOVED,
	FLEET_CONFIGURATION_CHANGED,
	FLEET_CONFIGURATION_REFUSED,
	FLEET_WITNESSES_CHANGED,
	FLEET_MEMBER_SETTLED,
	FLEET_REQUEST_BLOCKED, /* again, if more servers have ended by it */
	FLEET_REQUEST_CLEARED, /* it was blocked */
	FLEET_SERVER_LEFT, /* a backend server has said that it leaves */
	FLEET_RECORD_DROPPED,
};

/* One change made by a record. Pointers are valid only during the call. */
struct fleet_event {
	enum fleet_event_type type;
	int64_t offset;
	const struct member *member; /* joined, removed, witnesses, settled */
	const char *service; /* moved */
	uint32_t shard; /* moved */
	int64_t from; /* moved: previous owner; successor removed: its id */
	int64_t to; /* moved: new owner */
	int64_t fence_before; /* moved: the previous owner's fence */
	uint64_t fingerprint; /* blocked, cleared */
	uint32_t endings; /* blocked, cleared: server endings counted so far */
	const struct leaving *leaving; /* server left */
	/* Writer of the record: an operator's name or "member ID". */
	const char *written_by;
	const char *reason; /* refused: the first error; dropped: record type */
	int result; /* dropped: RESULT_* */
};

typedef void (*fleet_event_fn)(void *user, const struct fleet_event *ev);

struct fleet {
	int64_t applied; /* offset of the last applied record, -1: none */
	GArray *members; /* struct member, by ascending id */
	struct fleet_service *services; /* reallocated as services are added */
	uint32_t n_services;
	json_t *document; /* configuration in force, NULL: none */
	struct configuration configuration;
	int64_t configuration_version; /* offset of its record, -1: none */
	/*
	 * Used when operators publish in a stream of their own: the offset in
	 * that stream up to which its records are in force or were refused; -1:
	 * none.
	 */
	int64_t source_offset;
	/*
	 * The highest offset in the operators' stream of all changes so far,
	 * including those in force in part or refused, and the operators'
	 * version that the last of them lead to.
	 */
	int64_t partial_source_offset;
	int64_t partial_version;
	/*
	 * Whether a member whose witness was the log has ever been removed. It
	 * may have served for a lease duration after its last read of the log.
	 * See member/holds.c.
	 */
	bool log_witnessed_removed;
	struct quarantine quarantine;
	struct leavings leavings;
	/* Ring of hashes of the ids of the last appends. */
	uint64_t recent_append_hashes[FLEET_RECENT_APPENDS];
	uint32_t recent_append_next;
	/* Last record of the newest complete snapshot, -1: none. */
	int64_t snapshot_offset;
	/* Last record included in the newest snapshot, complete or not. */
	int64_t snapshot_upto;
	int64_t next_snapshot_part; /* next part expected of that snapshot */
	fleet_event_fn on_event;
	void *on_event_user;
};

void fleet_init(struct fleet *f);
void fleet_finish(struct fleet *f);

/*
 * Apply the record at offset, which must be the one after the last applied
 * record. Returns RESULT_OK, RESULT_GAP without effect for any other offset, or
 * the reason why the record was dropped (RESULT_STALE, RESULT_INVALID,
 * RESULT_DUPLICATE, RESULT_NO_SUCH); a dropped record counts as applied.
 */
int fleet_apply(struct fleet *f, int64_t offset, const char *append_id,
		const json_t *record);

struct member *fleet_member(const struct fleet *f, int64_t id);
struct member *fleet_member_by_process(const struct fleet *f, int64_t process);
struct member *fleet_member_by_host(const struct fleet *f, const char *host);
uint32_t fleet_n_members(const struct fleet *f);
struct member *fleet_member_at(const struct fleet *f, uint32_t i);
struct fleet_service *fleet_service(const struct fleet *f, const char *name);
bool fleet_member_in_service(const struct fleet *f, const struct member *m);

/*
 * Store in *shard the shard that a key belongs to. Returns RESULT_OK, or
 * RESULT_INVALID when keys of this service are numbers and key is not a number
 * within their range.
 */
int shard_of_key(const struct fleet_service *s, const char *key,
		 uint32_t *shard);
bool witness_set_has(const struct witness_set *w, int64_t id);

#define for_each_member(f, m, i)                               \
	for ((i) = 0; (i) < fleet_n_members(f) &&              \
		      ((m) = fleet_member_at((f), (i)), true); \
	     (i)++)

/*
 * state/assign.c: deterministic assignment of shards, witnesses and tasks.
 */
void assign_prepare(const struct fleet *f, const struct fleet_service *s);
int64_t assign_pick_member(const struct fleet *f, uint32_t shard, int64_t owner,
			   int64_t avoid);
void assign_witnesses(const struct fleet *f, const struct member *subject,
		      const struct witness_set *avoid, int64_t newer_than,
		      struct witness_set *out);
json_t *assign_balance(const struct fleet *f, const struct fleet_service *s,
		       uint32_t max_moves);
GArray *assign_readers_and_relays(const struct fleet *f);
uint32_t assign_rank(const struct fleet *f, const char *task, int64_t id);

/* state/snapshot.c: the complete state as JSON, and back. */
json_t *fleet_snapshot(const struct fleet *f);
int fleet_load_snapshot(struct fleet *f, const json_t *snapshot);

#endif

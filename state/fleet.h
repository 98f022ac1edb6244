#ifndef STATE_FLEET_H
#define STATE_FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>

#include "settings/configuration.h"

/*
 * The state that every node replays from the platform's log: members by
 * incarnation, the owner and successor of every shard, and the configuration
 * in force. fleet_apply() is deterministic and does no input or output and
 * reads no clock, so that equal logs give equal states on every node.
 *
 * A member's id is the offset of its join record plus one, so that 0 is nobody.
 * A shard's fence is the offset of the record that last moved it.
 */

#define FLEET_MAX_WITNESSES 5
#define FLEET_WITNESSES 3
#define FLEET_RECENT_APPENDS 256
/* Why a member went: its host runs a newer incarnation. */
#define FLEET_REASON_RESTARTED "restarted"
/* The same, and what its backend server held ended with that server. */
#define FLEET_REASON_SERVER_RESTARTED "restarted with its backend server"
/* The same, and its backend server lived on: the new process keeps its keys. */
#define FLEET_REASON_SERVER_KEPT "restarted beside its backend server"
#define HOST_MAX_LEN 63
#define ADDRESS_MAX_LEN 63
#define BOOT_ID_MAX_LEN 39
#define NONCE_MAX_LEN 23
#define SERVER_INSTANCE_ID_MAX_LEN 63

/*
 * Stands in a witness set for the log itself: while a fleet is too small for
 * three witnesses a node's lease rests on reads of the log's tail, and whoever
 * takes over waits for a whole lease after the record that expels it.
 */
#define LOG_WITNESS (-1)

struct witness_set {
	int64_t id[FLEET_MAX_WITNESSES]; /* processes */
	uint32_t n;
};

struct member {
	int64_t id;
	/*
	 * Id of the first membership of the same process. A process that joins
	 * anew keeps the promises it gave as a witness, so witness sets name
	 * processes: otherwise one node that joins anew would take a witness
	 * from its neighbours, they would join anew in turn, and so on.
	 */
	int64_t process;
	char host[HOST_MAX_LEN + 1];
	char data_centre[NAME_MAX_LEN + 1];
	char service[NAME_MAX_LEN + 1];
	char peer[ADDRESS_MAX_LEN + 1];
	char caller[ADDRESS_MAX_LEN + 1];
	char boot_id[BOOT_ID_MAX_LEN + 1];
	char nonce[NONCE_MAX_LEN + 1]; /* tells a process its own join record */
	/* One life of the backend server beside the node, "" not told. */
	char server_instance_id[SERVER_INSTANCE_ID_MAX_LEN + 1];
	struct witness_set witnesses;
	/* The set before, until the member settles the new one. */
	struct witness_set old_witnesses;
	int64_t witness_offset; /* record that set the witnesses */
	/* Scratch of assign_prepare(), no part of the state. */
	uint32_t n_assigned;
	bool candidate;
};

struct shard {
	int64_t owner; /* 0: none */
	int64_t successor; /* 0: none */
	int64_t fence;
	/*
	 * Offset of the record that named the successor. One that takes over
	 * ahead of the log serves under this, as the successor before it may
	 * have done under its own: with the shard's fence alone both would
	 * have the same.
	 */
	int64_t successor_fence;
	/*
	 * Set while a move is not settled: the owner and successor before it,
	 * either of which may still be serving the shard.
	 */
	int64_t prev_owner;
	int64_t prev_successor;
	/* The same of a move before that one, when that was not settled. */
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
	FLEET_RECORD_DROPPED,
};

/* One change made by a record. The strings live only during the call. */
struct fleet_event {
	enum fleet_event_type type;
	int64_t offset;
	const struct member *member; /* joined, gone, witnesses, settled */
	const char *service; /* moved */
	uint32_t shard; /* moved */
	int64_t from; /* moved: owner before; successor gone: that one */
	int64_t to; /* moved: owner now */
	int64_t fence_before; /* moved: the fence of the owner before */
	const char *written_by; /* who wrote the record */
	const char *reason; /* configuration refused: what is wrong with it */
	int result; /* dropped: why */
};

typedef void (*fleet_event_fn)(void *user, const struct fleet_event *ev);

struct fleet {
	int64_t applied; /* offset of the last record applied, -1 none */
	GArray *members; /* struct member, by rising id */
	struct fleet_service *services; /* moves as more are added */
	uint32_t n_services;
	json_t *document; /* configuration in force, NULL none */
	struct configuration configuration;
	int64_t configuration_version; /* its offset, -1 none */
	/*
	 * How far the stream in which operators publish was read for it, when
	 * that is another stream; -1 none.
	 */
	int64_t source_offset;
	/* The same of changes that are in force in part, or source; and the
	 * operators' version that these lead to. */
	int64_t partial_source_offset;
	int64_t partial_version;
	/*
	 * Whether a member whose witness was the log has ever gone: it may have
	 * served for a lease after its last read. See member/holds.c.
	 */
	bool log_witnessed_removed;
	uint64_t recent_append_hashes[FLEET_RECENT_APPENDS]; /* ids of appends
								seen */
	uint32_t recent_append_next;
	int64_t snapshot_offset; /* last record of a whole snapshot, -1 none */
	int64_t snapshot_upto;
	int64_t next_snapshot_part; /* next part expected of the one being
				       written */
	fleet_event_fn on_event;
	void *on_event_user;
};

void fleet_init(struct fleet *f);
void fleet_finish(struct fleet *f);

/*
 * Apply the record at offset, which must follow the last one. Returns
 * RESULT_OK, RESULT_GAP without effect when records are missing before it,
 * or the reason the record was dropped (RESULT_STALE, RESULT_INVALID,
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
 * The shard that a key falls into. Returns RESULT_OK, or RESULT_INVALID when
 * keys of this service are numbers and this is none of them.
 */
int shard_of_key(const struct fleet_service *s, const char *key,
		 uint32_t *shard);
bool witness_set_has(const struct witness_set *w, int64_t id);

#define for_each_member(f, m, i)                               \
	for ((i) = 0; (i) < fleet_n_members(f) &&              \
		      ((m) = fleet_member_at((f), (i)), true); \
	     (i)++)

/* state/assign.c: deterministic choices over the state. */
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

/* state/snapshot.c: the whole state as JSON and back. */
json_t *fleet_snapshot(const struct fleet *f);
int fleet_load_snapshot(struct fleet *f, const json_t *snapshot);

#endif

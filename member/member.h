#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "member/msg.h"
#include "member/spread.h"
#include "member/suspects.h"
#include "state/early.h"
#include "state/fleet.h"

/*
 * Membership of a node in the fleet, and the rules that give each shard at most
 * one owner at a time:
 *
 * - A member serves only while it has a lease. It sends vouch requests to its
 *   witnesses, which are other members, or the log in a small fleet. Each vouch
 *   extends the lease, which needs vouches of a majority of the witnesses.
 * - A witness that got no request for longer than a lease, or that received a
 *   resignation, promises never to vouch for that member again. The
 *   promises of a majority prove that the member has stopped, and its
 *   successors then take its shards over.
 * - In a planned move the new owner waits until the previous owner has released
 *   the shard.
 * - Changes of state are proposed as records of the log.
 *
 * The module does no input or output and reads no clock: time and events are
 * arguments, and actions go through struct member_ops. All times are
 * milliseconds of CLOCK_BOOTTIME.
 */

struct member_timing {
	int64_t lease_ms; /* how long a vouch lasts */
	int64_t vouch_interval_ms; /* between vouch requests to a witness */
	int64_t drift_ppm; /* bound on the difference of two clocks' rates */
	int64_t snapshot_interval_ms;
	uint32_t snapshot_records; /* records after which a snapshot is due */
	uint32_t move_batch; /* maximum of shards in one balancing record */
};

#define MEMBER_TIMING_DEFAULT                                       \
	{                                                           \
		.lease_ms = 1500, .vouch_interval_ms = 500,         \
		.drift_ppm = 10000, .snapshot_interval_ms = 600000, \
		.snapshot_records = 500, .move_batch = 16           \
	}

enum hold_state {
	HOLD_NONE, /* not served here */
	/* Assigned to this node; a predecessor may still serve it. */
	HOLD_ACQUIRING,
	HOLD_HELD, /* served here while the lease lasts */
	HOLD_RELEASING, /* no new requests; waits for those in flight */
};

/*
 * Bits of hold::released_by: predecessors in the shard's last move that are
 * known not to serve the shard.
 */
#define RELEASED_BY_PREV_OWNER 1
#define RELEASED_BY_PREV_SUCCESSOR 2
/*
 * Bits of hold::released_by for the move before the last one, if it is not
 * settled yet.
 */
#define RELEASED_BY_OLDER_OWNER 4
#define RELEASED_BY_OLDER_SUCCESSOR 8

/* This node's hold on one shard of its service. */
struct hold {
	enum hold_state state;
	uint8_t released_by; /* RELEASED_BY_* */
	uint8_t as_successor; /* 1: as successor, before the log records it */
	bool has_ids; /* the ids that previous owners saw are known here */
	int64_t ids_sender; /* the leaving owner that sent its ids */
	int64_t ids_sender_fence; /* the shard's fence under that owner */
	int64_t moved_from; /* owner before the last move in the log */
	int64_t move_fence; /* the shard's fence that released_by is for */
	/*
	 * The fence that requests are served under. It can be older than the
	 * shard's: an owner that serves until its witnesses have applied a move
	 * must not use the fence of the next owner.
	 */
	int64_t served_fence;
	/*
	 * Until then, the backend server of a failed node may be busy with the
	 * shard. Kept for shards of other members too, since they may move
	 * here.
	 */
	int64_t busy_until_ms;
	/*
	 * Since when ids of previous owners have been missing here; 0: none
	 * are.
	 */
	int64_t ids_unknown_since_ms;
	int64_t held_since_ms;
	int64_t unsettled_since_ms; /* waits for releases since then; 0: not */
};

/* Moves to this node that not every predecessor has released yet. */
struct unsettled_moves {
	uint32_t n;
	uint32_t shard; /* the one unsettled for the longest time */
	int64_t since_ms; /* 0: none */
};

/* State that a member keeps for each of its witnesses. */
struct witness_status {
	int64_t witness; /* process id */
	int64_t member; /* newest member id of that process, 0 unknown */
	/* When the newest request that the witness vouched for was sent. */
	int64_t request_sent_at_ms;
	int64_t applied; /* highest applied offset it reported, -1 none */
	bool denied; /* it has promised not to vouch again */
};

/* State that a witness keeps for each member that it vouches for. */
struct witnessed_member {
	int64_t subject; /* member id */
	/*
	 * Time of the last vouch request, or of the end of a pause of this
	 * process if that came later.
	 */
	int64_t last_request_at_ms;
	int64_t promise_sent_at_ms; /* when the promise was last sent */
	int64_t promise_offset; /* applied offset when it was made */
	bool promised; /* this node will not vouch for it again */
};

/* A received promise of a witness not to vouch for a member again. */
struct stop_promise {
	int64_t subject; /* member id */
	int64_t witness; /* process id */
	int64_t promise_offset; /* applied offset of the witness */
	int64_t received_at_ms;
};

/* Kinds of records that a node appends, at most one of each at a time. */
enum append_kind {
	APPEND_JOIN,
	APPEND_EXPEL,
	APPEND_SETTLE,
	APPEND_WITNESSES,
	APPEND_BALANCE,
	APPEND_SNAPSHOT,
	APPEND_MOVE,
	APPEND_PLACE,
	APPEND_PUBLISHED,
	APPEND_SUSPECTS,
	APPEND_CLEARED,
	APPEND_LEFT,
	N_APPEND_KINDS,
};

/* Leavings that wait for the log or were appended lately. */
#define MEMBER_MAX_OWN_LEAVINGS 4

/* The backend server beside this node has said that it leaves. */
struct own_leaving {
	struct leaving left;
	bool append_sent; /* its append is in flight */
	bool appended; /* the log has it */
};

/* A recent record, kept for peers that lack it. */
struct cached_record {
	int64_t offset;
	char *append_id;
	char *text;
};

/*
 * Texts that member_ops.note is called with; the subject is a member id unless
 * stated.
 */
/* The subject is proved to have stopped, or a witness reported so. */
#define NOTE_STOPPED "known to have stopped"
/* Repeated every few seconds. The subject is the shard. */
#define NOTE_UNSETTLED "move not settled of shard"
/* The subject is this node. */
#define NOTE_LEASE_GAINED "lease gained"
#define NOTE_LEASE_LAPSED "lease lapsed"
/*
 * The state is caught up for the first time. The subject is the peer, or
 * LOG_WITNESS when the log's end was read.
 */
#define NOTE_CAUGHT_UP "caught up with"
/*
 * Everything that operators had published is in force, as read from the log.
 * The subject is the configuration version.
 */
#define NOTE_CURRENT "current"
/*
 * A change of the operators is in force that the log lacks. The subject is its
 * source.
 */
#define NOTE_EARLY "in force before the log has it: change"
/*
 * A peer has applied a record that it did not send, as it is long. The subject
 * is the offset. Not written as a line of text.
 */
#define NOTE_ANNOUNCED "announced"
/*
 * The state was replaced by a snapshot, without an event for each change. The
 * subject is the offset. Not written as a line of text.
 */
#define NOTE_STATE_REPLACED "state replaced"

struct member_ops {
	/* Send to a member. The message remains the sender's to free. */
	void (*send)(void *user, int64_t to, const struct member_msg *msg);
	/*
	 * Append to the log; takes ownership of record. The result is passed
	 * to member_append_done().
	 */
	void (*append)(void *user, enum append_kind kind, json_t *record);
	/* Number of requests in flight on a shard of this node's service. */
	uint32_t (*in_flight)(void *user, uint32_t shard);
	/*
	 * Append the request ids seen on a shard to out, four numbers (int64_t)
	 * an entry; import_ids takes one entry. See struct seen_id in
	 * gate/ids.h.
	 */
	void (*export_ids)(void *user, uint32_t shard, GArray *out);
	void (*import_ids)(void *user, const int64_t *entry);
	/*
	 * Return a new reference to the complete document that operators
	 * published in a stream of their own, or NULL when there is none. If
	 * its configuration is invalid or older than the one in force, the
	 * document has the configuration in force instead.
	 */
	json_t *(*load_published)(void *user, const json_t *in_force);
	/*
	 * Report a change of state for the log output; what is one of NOTE_* or
	 * another text.
	 */
	void (*note)(void *user, const char *what, int64_t subject);
};

struct member_node {
	struct fleet fleet;
	struct member_timing timing;
	const struct member_ops *ops;
	void *ops_user;
	/* Content of this node's join record; id unused. */
	struct member join_info;
	GRand *rand;
	int64_t now_ms;
	int64_t self_id; /* id of the present membership, 0: not a member */
	int64_t process; /* id of the first membership, 0: never a member */
	bool want_member; /* the node should be a member */
	bool resigning; /* no new work; leaves when no request is in flight */
	bool log_caught_up; /* has read to the log's end at least once */
	bool log_up; /* the last read succeeded; set by the caller */
	int64_t initial_log_end; /* the log's end when first read */
	/*
	 * Offset of the record that changed the witnesses of this node, while
	 * that change is being settled, 0 none. Meanwhile both the old and the
	 * new set have to vouch; see lease_prepare_settle().
	 */
	int64_t settling_offset;
	bool settle_sent; /* the record that settles it was appended */
	int64_t settle_lease_until_ms; /* lease end when both became needed */
	bool ever_leased; /* has had a lease in this incarnation */
	int64_t joined_at_ms; /* when this incarnation began */
	bool peer_caught_up; /* has once had all records of a current peer */
	bool operator_stream_pending; /* not yet read to its end */
	/*
	 * Offset at which the operators' stream ended when it was first read to
	 * its end.
	 */
	int64_t required_source_offset;
	/* The newest change that the peer had which peer_caught_up is about. */
	int64_t peer_required_source;
	/*
	 * Everything up to required_source_offset is in force, and
	 * log_caught_up.
	 */
	bool published_in_force;
	bool had_lease; /* had one at the last tick */
	int64_t no_lease_since_ms; /* 0 while there is one */
	/* Witnesses that did not answer vouch requests. */
	struct witness_set unresponsive_witnesses;
	/* Witnesses that promised not to vouch for this node again. */
	struct witness_set denied_witnesses;
	int64_t last_tick_at_ms;
	/* Start of the last read that reached the log's end. */
	int64_t log_read_started_at_ms;
	/*
	 * No shard is acquired before this time, unless its predecessors can be
	 * asked.
	 */
	int64_t no_acquire_until_ms;
	int64_t next_vouch_request_at_ms;
	int64_t next_join_at_ms;
	int64_t next_release_request_at_ms;
	int64_t next_resign_at_ms;
	int64_t next_unsettled_note_at_ms;
	/* int64_t successors that have the ids sent to them. */
	GArray *ids_acked_by;
	/*
	 * int64_t ids of earlier members of this host whose removal this
	 * process has seen
	 */
	GArray *earlier_incarnations;
	int64_t ids_sent_since_ms; /* resigning: ids first sent; 0: not yet */
	int64_t behind_since_ms; /* a peer has applied more; 0: not */
	int64_t ahead_peer;
	int64_t ahead_applied;
	int64_t unbalanced_since_ms;
	int64_t snapshot_seen_at_ms;
	int64_t service_last_join_at_ms;
	/* Since when the service has unowned shards; 0: it has none. */
	int64_t unowned_since_ms;
	int64_t published_source; /* -1: operators published nothing */
	/*
	 * When the wait of this node before it proposes changes that operators
	 * published began: they were read, or another version came into force.
	 */
	int64_t published_wait_since_ms;
	uint32_t published_bytes;
	/*
	 * The changes from the configuration of version changes_base to the one
	 * published up to changes_source.
	 */
	json_t *changes;
	int64_t changes_base;
	int64_t changes_source;
	bool changes_complete;
	uint32_t changes_max_bytes; /* halved when their append comes too late */
	uint32_t changes_limit; /* that changes were computed with */
	/*
	 * The published configuration document, or NULL. Loaded once for all
	 * records that the changes to it are split into.
	 */
	json_t *operators_document;
	int64_t operators_document_source;
	/* What operators published, while the log lacks it. */
	struct early_configuration early;
	struct spread spread;
	/* Its texts in messages, NULL until needed. */
	GString *early_changes_text;
	GString *early_document_text;
	int64_t early_from; /* member that it came from, or this one */
	int64_t early_read_at_ms; /* when a reader read it, by this clock */
	/* Since when something newer has been read here than is in force. */
	int64_t early_wait_since_ms;
	int64_t early_read_source; /* newest that was worked out here, -1: none */
	int64_t published_read_at_ms;
	int64_t next_append_at_ms[N_APPEND_KINDS];
	uint32_t conflicts[N_APPEND_KINDS]; /* in a row */
	bool append_pending[N_APPEND_KINDS];
	GPtrArray *snapshot_parts; /* json_t * still to be appended */
	int64_t pending_snapshot_offset; /* the offset whose state they hold */
	bool snapshot_partly_written; /* some parts are in the log */
	GArray *own_witnesses; /* struct witness_status */
	GArray *witnessed; /* struct witnessed_member */
	GArray *stop_promises; /* struct stop_promise */
	GArray *stopped_members; /* int64_t ids */
	struct hold *holds; /* by shard of this node's service */
	uint32_t n_holds;
	GQueue *cache; /* struct cached_record, newest last */
	uint32_t cache_bytes;
	int64_t next_fetch_at_ms;
	bool log_read_due; /* records lacking here are to be read from the log */
	/* When the next four fields are updated. */
	int64_t next_relay_update_at_ms;
	bool is_log_reader; /* reads the log and sends new records to relays */
	bool is_relay; /* sends records from log readers to followers */
	GArray *relays; /* int64_t members that a log reader sends records to */
	GArray *followers; /* int64_t members that this node sends records to */
	/* When a message last came from a member that follows the log. */
	int64_t last_relay_at_ms;
	int64_t next_relay_keepalive_at_ms; /* to relays, if nothing else is
					       sent */
	int64_t next_follower_keepalive_at_ms; /* the same to followers */
	GArray *unsent_releases; /* int64_t shards; releases to be sent */
	struct suspects suspects;
	struct own_leaving own_leavings[MEMBER_MAX_OWN_LEAVINGS];
	uint32_t n_own_leavings;
	uint32_t disabled_rules; /* enum member_rule, tests only */
	fleet_event_fn on_event; /* for the audit; may be NULL */
	void *on_event_user;
};

/*
 * Initialise n, whose memory the caller owns. join_info is the content of this
 * node's join record; seed makes the jitter repeatable. ops and ops_user must
 * outlive n.
 */
void member_init(struct member_node *n, const struct member *join_info,
		 const struct member_timing *timing,
		 const struct member_ops *ops, void *ops_user, int64_t now_ms,
		 uint32_t seed);
void member_finish(struct member_node *n);

/* Do all timed work that is due; call at least every 100 ms. */
void member_tick(struct member_node *n, int64_t now_ms);

/* Handle a received message; records and states in it are applied. */
void member_on_message(struct member_node *n, const struct member_msg *msg,
		       int64_t now_ms);

/* Apply the next record read from the log. Returns as fleet_apply(). */
int member_on_record(struct member_node *n, int64_t offset,
		     const char *append_id, const json_t *record,
		     int64_t now_ms);

/* A read of the log that began at read_started_at_ms reached its end. */
void member_on_log_tail(struct member_node *n, int64_t read_started_at_ms,
			int64_t now_ms);

/*
 * The append of a record of that kind ended with result. The record itself is
 * applied when it is read from the log.
 */
void member_append_done(struct member_node *n, enum append_kind kind,
			int result, int64_t now_ms);

/*
 * Whether a record of that kind may be appended after records that its writer
 * has not read. Replay drops such a record if the others made it needless.
 * False for snapshots, which are long, and for balancing and placement, which
 * would move shards needlessly.
 */
bool member_append_may_follow(enum append_kind kind);

/*
 * Set whether the node should be a member. When not, it leaves once no request
 * is in flight.
 */
void member_set_membership_wanted(struct member_node *n, bool wanted,
				  int64_t now_ms);

/*
 * Operators published a change in a stream of their own, which has been read up
 * to offset source; bytes is the length of the document. Members propose it to
 * the log in the order of their ranks; only a member that proposes it has to
 * load it.
 */
void member_set_published(struct member_node *n, int64_t source, uint32_t bytes,
			  int64_t now_ms);

/*
 * Operators publish in a stream of their own, which has not been read yet.
 * Until member_operator_stream_read() the log alone does not make the state
 * current. Call before the first tick.
 */
void member_expect_operator_stream(struct member_node *n);

/* The operators' stream has been read to its end. */
void member_operator_stream_read(struct member_node *n, int64_t now_ms);

/*
 * Move shards (uint32_t) of this node to member to, by a record in the log.
 * Shards that member_can_move_shard() excludes are left out. Returns whether a
 * record was proposed.
 */
bool member_move_shards(struct member_node *n, int64_t to, const GArray *shards,
			int64_t now_ms);

/*
 * Whether a shard is owned and served by this node and has no unsettled move,
 * so that it can be moved.
 */
bool member_can_move_shard(const struct member_node *n, uint32_t shard);

/*
 * Set the id of the backend server instance beside this node. Call before
 * member_set_membership_wanted().
 */
void member_set_server_instance(struct member_node *n, const char *instance);

/*
 * The backend server beside this node has said that it leaves; a record tells
 * the next process on this host. Returns RESULT_OK, or RESULT_OVERLOAD without
 * effect while too many leavings wait for the log.
 */
int member_server_left(struct member_node *n, const struct leaving *left,
		       int64_t now_ms);

/* Whether a process that starts from now on will read that leaving. */
bool member_leaving_is_recorded(const struct member_node *n,
				const struct leaving *left);

/*
 * Replace the state by a snapshot from the log. Returns as
 * fleet_load_snapshot().
 */
int member_load_snapshot(struct member_node *n, const json_t *snapshot,
			 int64_t now_ms);

/*
 * Whether the state has caught up, with the log or with a peer, at least once
 * since the start. Until then it may lack many records of the log.
 */
bool member_is_caught_up(const struct member_node *n);

/*
 * Whether, in addition to member_is_caught_up(), all that operators had
 * published by then has been in force here. Until then a caller may get answers
 * by an outdated configuration.
 */
bool member_is_current(const struct member_node *n);

/*
 * Whether the operators' stream or a peer has something newer than what is
 * applied here. A request that matches no class may match one in the newer
 * configuration.
 */
bool member_is_behind(const struct member_node *n);

/*
 * The offset in the operators' stream up to which its changes are in force for
 * requests at this node; -1: none are.
 */
int64_t member_source_in_force(const struct member_node *n);

/*
 * The configuration by which requests are matched: the one that the log has, or
 * a newer one that operators published. Its services may be missing in the
 * state of the fleet. Valid until the next record or message.
 */
const struct configuration *member_configuration(const struct member_node *n);

/* Its document, NULL if none is in force. */
const json_t *member_document(const struct member_node *n);

/*
 * Whether this node must read the log itself. Most members need not: a few read
 * it and send the records to the others.
 */
bool member_reads_log(const struct member_node *n);

/*
 * Whether the node is no member yet, is not current, or joined so lately that
 * other members may not know it.
 */
bool member_is_new(const struct member_node *n);

/*
 * Whether this node reads the operators' stream. Each change there is as long
 * as the whole configuration, and would load the link of every host in a large
 * fleet. Only the members that are first to propose it read it; the others
 * receive the differences from the log.
 */
bool member_reads_operator_stream(const struct member_node *n);

/*
 * Whether a member that sends records to this node has lately confirmed that it
 * follows the log.
 */
bool member_has_live_relay(const struct member_node *n);

/*
 * Send the records from an offset on, just read from the log, to the relays and
 * followers of this node.
 */
void member_relay_records(struct member_node *n, int64_t offset);

/*
 * Whether the lease depends on reads of the log, since the log is a witness.
 * Also true while the node is not a member.
 */
bool member_lease_needs_log(const struct member_node *n);

/*
 * End of this node's lease on its own clock; in the past, or 0, when it has
 * none.
 */
int64_t member_lease_end_ms(const struct member_node *n);

/*
 * Check whether a request on a shard of this node's service may be sent to the
 * backend server now. Returns RESULT_OK and sets fence and lease_end_ms, or
 * returns RESULT_NOT_OWNER.
 */
int member_may_serve(const struct member_node *n, uint32_t shard,
		     int64_t now_ms, int64_t *fence, int64_t *lease_end_ms);

/*
 * Like member_may_serve() without the check of the lease, for a caller that has
 * checked its end once for many shards. Sets fence when true.
 */
bool member_holds(const struct member_node *n, uint32_t shard, int64_t *fence);

/*
 * The unsettled moves to this node. The service is not balanced while there is
 * one.
 */
struct unsettled_moves member_unsettled_moves(const struct member_node *n);

/*
 * Whether a shard is this node's but not served by it yet; a predecessor may
 * still be serving it.
 */
bool member_is_acquiring(const struct member_node *n, uint32_t shard);

/*
 * Whether a shard is this node's, or is owned by the previous process on this
 * host, which had the same backend server and which this process is about to
 * replace as a member.
 */
bool member_expects_to_own(const struct member_node *n, uint32_t shard);

/* Whether a member is known to have stopped though the log still lists it. */
bool member_known_stopped(const struct member_node *n, int64_t id);

/*
 * Write to out the ids of up to max members that may serve a shard, the most
 * likely first. Returns their number. An entry tries them in this order; each
 * gate checks for itself whether it may serve.
 */
uint32_t member_owner_candidates(const struct member_node *n,
				 const struct fleet_service *s, uint32_t shard,
				 int64_t *out, uint32_t max);

/*
 * The backend server instance beside this node has ended while requests ran. A
 * record tells the fleet; until that is applied, this node alone counts the
 * ending.
 */
void member_server_ended(struct member_node *n, const char *instance,
			 const uint64_t *fingerprints, uint32_t count);

/*
 * The backend server answered a request well. If it was a suspect, a record
 * clears it.
 */
void member_request_answered(struct member_node *n, uint64_t fingerprint);

/* Whether the fleet or this node knows of any suspect. */
bool member_has_suspects(const struct member_node *n);

/* Whether a server has ended while the request ran. */
bool member_is_suspect(const struct member_node *n, uint64_t fingerprint);

/*
 * What to do with a request. One under which several servers have ended may
 * run at one node only. A blocked request that is due to be tried again is
 * not blocked on the one node of the service that tries it, or where may_try is
 * set: at the owner of its key, and in an entry, which leaves that to the gate.
 * Sets *wait_ms, if it is blocked, to the time until it is due.
 */
enum suspect_verdict member_judge_request(struct member_node *n,
					  uint64_t fingerprint, bool may_try,
					  int64_t now_ms, int64_t *wait_ms);

/*
 * A suspect is sent to the backend server. If it was blocked, the wait before
 * it is tried again begins anew.
 */
void member_suspect_sent(struct member_node *n, uint64_t fingerprint,
			 int64_t now_ms);

/*
 * Whether another member names this process as its witness. A process that
 * stops earlier leaves each such member with one vouch fewer, so it should run
 * until there is none.
 */
bool member_is_witness(const struct member_node *n);

/*
 * Whether this node is not a member, or has resigned: it serves no shard, and so
 * many of its witnesses promised not to vouch again that it can have no lease.
 */
bool member_has_left(const struct member_node *n);

/*
 * The safety rules, one bit each. The randomised test builds this library with
 * RULE_SWITCHES and disables each rule in turn, to check that the test detects
 * the violation.
 */
enum member_rule {
	/* A lease counts from when the vouch request was sent. */
	RULE_LEASE_FROM_SENDING = 1 << 0,
	/* A witness makes its promise only after the lease has ended. */
	RULE_WITNESS_WAITS = 1 << 1,
	/* A witness that made its promise does not vouch again. */
	RULE_STOP_IS_FINAL = 1 << 2,
	/* A lease and a takeover need a majority of the witnesses. */
	RULE_MAJORITY = 1 << 3,
	/* A successor first applies all that the witnesses had applied. */
	RULE_SUCCESSOR_CATCHES_UP = 1 << 4,
	/* A shard is acquired only after its predecessors released it. */
	RULE_RELEASE_BEFORE_HOLD = 1 << 5,
	/*
	 * A moved shard is released only after the witnesses applied the move.
	 */
	RULE_WITNESSES_KNOW_MOVE = 1 << 6,
	/* Replaced witnesses count until the change is settled. */
	RULE_OLD_WITNESSES_COUNT = 1 << 7,
	/* A shard of a restarted member is not acquired for a lease's length. */
	RULE_RESTART_WAITS = 1 << 8,
	/*
	 * No shard is acquired for a lease's length after a member with the log
	 * as a witness was removed.
	 */
	RULE_LOG_WITNESS_WAIT = 1 << 9,
	/* A promise lasts though the member replaced the witness meanwhile. */
	RULE_PROMISE_PERSISTS = 1 << 10,
	/* A shard is released only after its requests in flight have ended. */
	RULE_REQUESTS_END_FIRST = 1 << 11,
	/* After a start, shards whose predecessors cannot be asked must wait. */
	RULE_WAIT_AFTER_START = 1 << 12,
	/* No shard is released before the backend server reported its grants. */
	RULE_SERVER_REPORTS_FIRST = 1 << 13,
	/* A newer fence is used only after the witnesses applied its record. */
	RULE_WITNESSES_KNOW_FENCE = 1 << 14,
	/* New witnesses count once the settling of their change begins. */
	RULE_NEW_WITNESSES_COUNT = 1 << 15,
	N_MEMBER_RULES = 16,
	/* Rules about requests that end servers; see t/test-quarantine.c. */
	RULE_BLOCK = 1 << 16, /* two endings block a request */
	RULE_SUSPECT_ALONE = 1 << 17, /* a suspect runs beside no other */
	RULE_ANSWER_CLEARS = 1 << 18, /* a good answer clears a suspect */
	RULE_ONE_TRIES = 1 << 19, /* one node tries a blocked request again */
	RULE_TRIALS_END = 1 << 20, /* after some trials only operators clear */
	/* Rules about operators' changes; see t/test-changes.c. */
	RULE_NEXT_READER_ACTS = 1 << 21, /* if those of lower ranks do not */
	/* A new process serves once what it read at its start is in force. */
	RULE_CURRENT_WHEN_IN_FORCE = 1 << 22,
};

#endif

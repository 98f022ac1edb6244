#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "member/msg.h"
#include "state/fleet.h"

/*
 * What makes a node the one owner of its shards: a lease that witnesses vouch
 * for, promises given as a witness, takeover with proof, release on planned
 * moves, and proposals to the log. No input or output and no clock: time and
 * events come in as arguments, and what is to be done goes out through a table
 * of functions. All times are milliseconds of CLOCK_BOOTTIME.
 */

struct member_timing {
	int64_t lease_ms; /* how long a vouch lasts */
	int64_t vouch_interval_ms;
	int64_t drift_ppm; /* bound on how much two clocks differ */
	int64_t snapshot_interval_ms;
	uint32_t snapshot_records; /* records after which a new one is due */
	uint32_t move_batch; /* shards one balancing record moves */
};

#define MEMBER_TIMING_DEFAULT                                       \
	{                                                           \
		.lease_ms = 1500, .vouch_interval_ms = 500,         \
		.drift_ppm = 10000, .snapshot_interval_ms = 600000, \
		.snapshot_records = 500, .move_batch = 16           \
	}

enum hold_state {
	HOLD_NONE, /* not served here */
	HOLD_ACQUIRING, /* assigned to us; a predecessor may still serve it */
	HOLD_HELD, /* served here while the lease lasts */
	HOLD_RELEASING, /* no new requests; waits for those in flight */
};

/* Predecessors known not to serve a shard, of the last move of the shard. */
#define RELEASED_BY_PREV_OWNER 1
#define RELEASED_BY_PREV_SUCCESSOR 2
/* The same of the move before, if that was not settled. */
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

/* Our side of one witness of ours. */
struct vouch {
	int64_t witness; /* its process */
	int64_t member; /* the member that the process was last */
	int64_t sent_ms; /* sending time of the newest ask it answered */
	int64_t applied; /* newest offset it reported */
	bool denied; /* it has promised not to vouch again */
};

/* What we watch as a witness of somebody. */
struct watch {
	int64_t subject;
	int64_t last_ms;
	int64_t told_ms; /* when we last told others of the stop */
	int64_t frozen; /* our applied offset at the promise */
	bool stopped;
};

/* A witness's promise about subject, received. */
struct proof {
	int64_t subject;
	int64_t witness; /* its process */
	int64_t frozen;
	int64_t since_ms;
};

enum append_kind {
	APPEND_JOIN,
	APPEND_EXPEL,
	APPEND_SETTLE,
	APPEND_WITNESSES,
	APPEND_BALANCE,
	APPEND_SNAPSHOT,
	APPEND_GIVE,
	APPEND_PLACE,
	APPEND_PUBLISHED,
	N_APPEND_KINDS,
};

/* A recent record, kept for peers that lack it. */
struct cached_record {
	int64_t offset;
	char *append_id;
	char *text;
};

/* What member_ops.note says of a member found to have stopped. */
#define NOTE_STOPPED "known to have stopped"
/* What it says, every few seconds, of a shard whose move is not settled. */
#define NOTE_UNSETTLED "move not settled of shard"
/* And of our own lease. */
#define NOTE_LEASE_GAINED "lease gained"
#define NOTE_LEASE_LAPSED "lease lapsed"
/* And when the state is level for the first time: with a peer, or LOG_WITNESS. */
#define NOTE_CAUGHT_UP "caught up with"
/* And when it has been current, by the log. */
#define NOTE_CURRENT "current"

struct member_ops {
	/* Send to a member; takes nothing over. */
	void (*send)(void *user, int64_t to, const struct member_msg *msg);
	/* Append, answered later by member_append_done(); steals record. */
	void (*append)(void *user, enum append_kind kind, json_t *record);
	/* Requests in flight on a shard of this node's service. */
	uint32_t (*in_flight)(void *user, uint32_t shard);
	/* Ids seen on a shard: four numbers an entry. */
	void (*export_ids)(void *user, uint32_t shard, GArray *out);
	void (*import_ids)(void *user, const int64_t *entry);
	/*
	 * What operators published elsewhere, whole, as a new reference to a
	 * configuration document. Where its configuration cannot be used, or is
	 * older, that of the one in force; NULL when there is none.
	 */
	json_t *(*published)(void *user, const json_t *in_force);
	/* A change of state worth a log line. */
	void (*note)(void *user, const char *what, int64_t subject);
};

struct member_node {
	struct fleet fleet;
	struct member_timing timing;
	const struct member_ops *ops;
	void *ops_user;
	struct member me; /* how we join; id unused */
	GRand *rand;
	int64_t now_ms;
	int64_t self; /* our member id, 0 while not a member */
	int64_t process; /* id of our first membership, 0 never a member */
	bool want_member;
	bool resigning; /* no new work; leave when what runs has ended */
	bool log_caught_up; /* we have read to the log's end once */
	bool log_up; /* the last read succeeded; the caller keeps this */
	int64_t first_end; /* how far the log went when we first read it */
	int64_t settling; /* the change of witnesses we last settled, or may */
	bool settle_sent; /* the record of it */
	int64_t lent_until_ms; /* the lease's end when both sets began to count */
	bool leased; /* we have had a lease in this incarnation */
	int64_t joined_ms; /* when this incarnation began */
	bool peer_caught_up; /* we have had all that a current peer had once */
	bool awaits_published; /* the operators' stream is still to be read */
	int64_t needs_source; /* what it held then, to be in force first */
	bool published_in_force; /* and it has been, with the log's end read */
	bool had_lease;
	int64_t no_lease_since_ms; /* 0 while there is one */
	struct witness_set unfit; /* witnesses that did not answer us */
	struct witness_set denied; /* witnesses that vouch for us no more */
	int64_t last_tick_ms;
	int64_t log_read_sent_ms; /* start of the last read up to the tail */
	int64_t quiet_until_ms; /* no shard is acquired before */
	int64_t next_vouch_ms;
	int64_t next_join_ms;
	int64_t next_release_request_ms;
	int64_t next_resign_ms;
	int64_t next_unsettled_note_ms;
	GArray *ids_acked_by; /* int64_t successors that have our ids */
	/* int64_t earlier incarnations of this host, seen to go */
	GArray *own_before;
	int64_t hand_over_since_ms; /* ids first sent on leaving; 0: not */
	int64_t behind_since_ms; /* a peer has applied more; 0: not */
	int64_t ahead_peer;
	int64_t ahead_applied;
	int64_t unbalanced_since_ms;
	int64_t snapshot_seen_at_ms;
	int64_t last_join_ms; /* somebody of our service joined */
	int64_t unowned_since_ms; /* our service has unowned shards; 0: not */
	int64_t published_source; /* -1: operators published nothing */
	int64_t published_since_ms;
	uint32_t published_bytes;
	/*
	 * The changes from the configuration of version changes_base to the one
	 * published up to changes_source.
	 */
	json_t *changes;
	int64_t changes_base;
	int64_t changes_source;
	bool changes_complete;
	/*
	 * The published configuration document, or NULL. Loaded once for all
	 * records that the changes to it are split into.
	 */
	json_t *operators_document;
	int64_t operators_document_source;
	int64_t next_append_ms[N_APPEND_KINDS];
	uint32_t conflicts[N_APPEND_KINDS]; /* in a row */
	bool append_pending[N_APPEND_KINDS];
	GPtrArray *snapshot_parts; /* json_t * still to be appended */
	int64_t pending_snapshot_offset; /* the offset whose state they hold */
	bool snapshot_partly_written; /* some parts are in the log */
	GArray *vouches; /* struct vouch */
	GArray *watches; /* struct watch */
	GArray *proofs; /* struct proof */
	GArray *stopped; /* int64_t ids known to have stopped */
	struct hold *holds; /* by shard of our service */
	uint32_t n_holds;
	GQueue *cache; /* struct cached_record, newest last */
	uint32_t cache_bytes;
	int64_t next_fetch_ms;
	bool log_read_due; /* records lacking here are to be read from the log */
	int64_t next_relay_update_ms; /* for the next four fields */
	bool is_log_reader; /* reads the log and sends new records to relays */
	bool is_relay; /* sends records from log readers to followers */
	GArray *relays; /* int64_t members that a log reader sends records to */
	GArray *followers; /* int64_t members that we send records to */
	/* When a message last came from a member that follows the log. */
	int64_t last_relay_at_ms;
	int64_t next_relay_keepalive_ms; /* to relays, if nothing else is sent */
	int64_t next_follower_keepalive_ms; /* the same to followers */
	GArray *unsent_releases; /* int64_t shards, owner not told yet */
	uint32_t disabled_rules; /* tests only */
	fleet_event_fn on_event; /* audit */
	void *on_event_user;
};

/*
 * Set up on memory that the caller owns. me tells how to join; seed makes the
 * jitter repeatable.
 */
void member_init(struct member_node *n, const struct member *me,
		 const struct member_timing *timing,
		 const struct member_ops *ops, void *ops_user, int64_t now_ms,
		 uint32_t seed);
void member_finish(struct member_node *n);

/* Run every timed duty that is due; call at least every 100 ms. */
void member_tick(struct member_node *n, int64_t now_ms);

/* Handle a message; records and states in it are applied. */
void member_on_message(struct member_node *n, const struct member_msg *msg,
		       int64_t now_ms);

/* Apply the next record read from the log; results as fleet_apply(). */
int member_on_record(struct member_node *n, int64_t offset,
		     const char *append_id, const json_t *record,
		     int64_t now_ms);

/* A read that began at sent_ms showed us to be at the log's end. */
void member_on_log_tail(struct member_node *n, int64_t sent_ms, int64_t now_ms);

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

/* Ask to be a member, or to leave once what runs has ended. */
void member_set_wanted(struct member_node *n, bool wanted, int64_t now_ms);

/*
 * Operators published something in a stream of their own, read up to source and
 * that long; members bring it into the log in turn, and only who does need look
 * at it.
 */
void member_set_published(struct member_node *n, int64_t source, uint32_t bytes,
			  int64_t now_ms);

/*
 * Operators publish in a stream of their own, which is still to be read; call
 * before the first tick.
 */
void member_expect_published(struct member_node *n);

/* That stream has been read to its end. */
void member_published_read(struct member_node *n, int64_t now_ms);

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

/* Name the life of our backend server, before asking to be a member. */
void member_set_life(struct member_node *n, const char *life);

/* Replace the state by a snapshot from the log; results as fleet_load(). */
int member_load(struct member_node *n, const json_t *snapshot, int64_t now_ms);

/*
 * Whether the state has been brought level since the start, with the log or
 * with a peer. Until then it may be far behind what is agreed.
 */
bool member_is_level(const struct member_node *n);

/*
 * Whether besides all that operators had published by then has been in force
 * here. Until then callers may be told what holds no more.
 */
bool member_is_current(const struct member_node *n);

/*
 * Whether there is something newer than what is applied here, by the operators'
 * stream or by what peers say: a class that none matches may be in it.
 */
bool member_has_news(const struct member_node *n);

/*
 * Whether this node must read the log itself. Most members need not: a few read
 * it and send the records to the others.
 */
bool member_reads_log(const struct member_node *n);

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

/* Whether our lease rests on reads of the log. */
bool member_needs_log(const struct member_node *n);

/* End of our lease on our clock; in the past when we have none. */
int64_t member_lease_end_ms(const struct member_node *n);

/*
 * Check whether a request on a shard of this node's service may be sent to the
 * backend server now. Returns RESULT_OK and sets fence and lease_end_ms, or
 * returns RESULT_NOT_OWNER.
 */
int member_may_serve(const struct member_node *n, uint32_t shard,
		     int64_t now_ms, int64_t *fence, int64_t *lease_end_ms);

/*
 * The same without the check of the lease, for a caller that has checked its
 * end once for many shards. Sets fence when true.
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
 * Fill up to max candidates, best first, for who serves a shard; returns how
 * many. The gates decide; this is where an entry should try.
 */
uint32_t member_candidates(const struct member_node *n,
			   const struct fleet_service *s, uint32_t shard,
			   int64_t *out, uint32_t max);

/*
 * Whether some member still names this process as its witness. A process that
 * is to stop should stay until none does, or it takes a vouch from each.
 */
bool member_is_needed(const struct member_node *n);

/* Whether all of our shards are given up, when resigning. */
bool member_has_left(const struct member_node *n);

/*
 * The safety rules, one bit each. The randomised test builds this library
 * with RULE_SWITCHES and turns each off to see that it catches the breach.
 */
enum member_rule {
	RULE_LEASE_FROM_SENDING = 1 << 0,
	RULE_WITNESS_WAITS = 1 << 1,
	RULE_STOP_IS_FINAL = 1 << 2,
	RULE_MAJORITY = 1 << 3,
	RULE_SUCCESSOR_CATCHES_UP = 1 << 4,
	RULE_RELEASE_BEFORE_HOLD = 1 << 5,
	RULE_WITNESSES_KNOW_MOVE = 1 << 6,
	RULE_OLD_WITNESSES_COUNT = 1 << 7,
	RULE_RESTART_WAITS = 1 << 8,
	RULE_LOG_WITNESS_WAIT = 1 << 9,
	RULE_PROMISE_IS_KEPT = 1 << 10,
	RULE_REQUESTS_END_FIRST = 1 << 11,
	RULE_PAST_IS_WAITED_OUT = 1 << 12,
	RULE_SERVER_TELLS_FIRST = 1 << 13,
	RULE_WITNESSES_KNOW_FENCE = 1 << 14,
	RULE_NEW_WITNESSES_COUNT = 1 << 15,
	N_MEMBER_RULES = 16,
};

#endif

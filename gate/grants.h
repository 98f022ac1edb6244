#ifndef GATE_GRANTS_H
#define GATE_GRANTS_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * Grants: which shards a backend server that checks grants may hold, and until
 * when. A shard may be granted to another backend server only when this one is
 * known not to hold it, so for each shard this keeps the latest time until
 * which it may be held. Backend servers receive grants in one of two ways, each
 * with a table of functions that the settings select. Times are by the clock of
 * this node and are passed in.
 */

#define HANDOVER_MAX_LEN 63

/* A backend server's clock may run 2% slow, the bound that the platform gives. */
#define GRANT_CLOCK_DRIFT_FACTOR 1.02
/* Allows for the transit time of a grant and the rounding of two ms clocks. */
#define GRANT_MARGIN_MS 20

/* Keys [from, to], numbered as at the backend server. */
struct grant_row {
	int64_t from;
	int64_t to;
	int64_t fence;
	char handover[HANDOVER_MAX_LEN + 1]; /* "" if none */
};

enum grant_state {
	GRANT_FREE, /* no acknowledged grant is in force */
	GRANT_HELD, /* granted by a call that the server acknowledged */
	/* Maybe granted by a previous process, or to a previous instance. */
	GRANT_UNKNOWN,
};

struct grant {
	/* Of the last grant by this process, 0 if none. */
	int64_t fence;
	/* The backend server may hold the shard until then. */
	int64_t may_hold_until_ms;

	/* Grants by call only: */

	enum grant_state state;
	/* The backend server holds the shard at least until then. */
	int64_t holds_until_ms;
	/* It may hold the shard until then by a call without an answer. */
	int64_t in_doubt_until_ms;
	/* The highest fence of such calls, 0 for those of another process. */
	int64_t in_doubt_fence;
	/* No new call for this shard before then. */
	int64_t retry_at_ms;
	/* The backend server has seen a higher fence than this one. */
	int64_t rejected_fence;
	/* A call for this shard is in flight. */
	bool call_in_flight;
	/* A range with this shard was refused: grant it in a call of its own. */
	bool single_shard_calls;

	/* Grants by heartbeat only: */

	/* The heartbeat whose answer granted the shard. */
	int64_t heartbeat_number;
	/* A heartbeat after the grant reported the shard under this fence. */
	bool confirmed;
	/* The last heartbeat reported the shard as held, under any fence. */
	bool reported_held;
	/* The last answer that named rows did not name this shard. */
	bool omitted;
	/*
	 * A previous process owned the shard. The heartbeats that come first
	 * may have been sent before it granted the shard.
	 */
	bool prev_process_owned;
	/*
	 * Since when answers have had no room for this shard, which this node
	 * owns; or 0.
	 */
	int64_t waiting_since_ms;

	/* Handover from the previous holder, to be sent with the grant. */
	char *handover_in;
	/*
	 * Handover that the backend server returned when it released the shard.
	 */
	char *handover_out;
};

struct grants;

/* A way of sending grants to a backend server. */
struct grant_ops {
	const char *name;
	/*
	 * The longest that a grant of a previous process can last after the end
	 * of that process, in milliseconds.
	 */
	int64_t (*prev_process_hold_ms)(int64_t lease_ms);
	/* The number of shards was set or changed by the configuration. */
	void (*on_resize)(struct grants *g);
	/* The backend server has an instance that this process had not seen. */
	void (*on_new_instance)(struct grants *g);
	/* The backend server has stopped, so it holds nothing. */
	void (*on_server_stopped)(struct grants *g);
	/* The backend server refused a request as it does not hold the shard. */
	void (*on_misdirected)(struct grants *g, uint32_t shard,
			       int64_t now_ms);
	/* Whether the backend server may hold a shard, by any earlier grant. */
	bool (*may_hold)(const struct grants *g, uint32_t shard,
			 int64_t now_ms);
	/*
	 * Whether the backend server holds a shard that this node owns under
	 * fence.
	 */
	bool (*server_holds)(const struct grants *g, uint32_t shard,
			     int64_t fence, int64_t now_ms);
};

/* In the answers to heartbeats: gate/grant-heartbeat.h. */
extern const struct grant_ops grant_by_heartbeat;

/* By calls to the backend server: gate/grant-call.h. */
extern const struct grant_ops grant_by_call;

/* Returns the table of that name, or NULL. */
const struct grant_ops *grant_ops_by_name(const char *name);

struct grants {
	/* NULL if the backend server checks no grants. */
	const struct grant_ops *ops;
	struct grant *shards;
	uint32_t n_shards;
	uint32_t n_keys;
	/* A heartbeat arrived; grants by heartbeat: and n_shards was set. */
	bool heartbeat_seen;
	/* The shards were renumbered since the last heartbeat. */
	bool renumbered;
	/* By then all grants of a previous process have ended. */
	int64_t prev_process_until_ms;
	/* Backend server instances that this process has seen. */
	uint32_t n_instances;
	/* For tests: bits of enum grant_rule. */
	uint32_t disabled_rules;
};

/*
 * ops: NULL if the backend server checks no grants. The grants of a previous
 * process have ended by prev_process_until_ms.
 */
void grants_init(struct grants *g, const struct grant_ops *ops,
		 int64_t prev_process_until_ms);

/*
 * For how many milliseconds after its start a process must assume that grants
 * of a previous process are in force.
 */
int64_t grants_prev_process_hold_ms(const struct grant_ops *ops,
				    int64_t lease_ms);

/* Releases all shards. */
void grants_finish(struct grants *g);

/*
 * Sets the number of shards and keys from the configuration. If either changes,
 * the state of all shards is reset.
 */
void grants_resize(struct grants *g, uint32_t n_shards, uint32_t n_keys);

/* The backend server refused a request as it does not hold this shard. */
void grants_misdirected(struct grants *g, uint32_t shard, int64_t now_ms);

/* The backend server has stopped, so it holds nothing. */
void grants_server_stopped(struct grants *g);

/* The backend server has an instance that this process had not seen. */
void grants_new_instance(struct grants *g);

/*
 * A previous process on this host owned a shard, and may have granted it to the
 * backend server that this process is beside. For grants by heartbeat.
 */
void grants_prev_process_owned(struct grants *g, uint32_t shard);

/*
 * Whether the backend server may hold any shard: it has not reported yet which
 * ones, and may have grants of a previous process or under other numbers.
 */
bool grants_unreported(const struct grants *g, int64_t now_ms);

/* Whether the backend server may hold a shard, by any earlier grant. */
bool grants_may_hold(const struct grants *g, uint32_t shard, int64_t now_ms);

/*
 * Whether the backend server holds a shard that this node owns under fence, by
 * a grant of this process or, with grants by heartbeat, of a previous one.
 */
bool grants_server_holds(const struct grants *g, uint32_t shard, int64_t fence,
			 int64_t now_ms);

/* Whether this node owns a shard and the last answer had no room for it. */
bool grants_waiting_for_room(const struct grants *g, uint32_t shard);

/* First and last key of a shard, numbered as at the backend server. */
int64_t grants_first_key(const struct grants *g, uint32_t shard);
int64_t grants_last_key(const struct grants *g, uint32_t shard);

/* Resets all state of a shard. */
void grant_clear(struct grant *s);

/*
 * The longest duration, at most max_ms, that has ended by end_ms even if the
 * clock of the backend server runs slow. Negative if end_ms is too close.
 */
int64_t grants_hold_ms(int64_t end_ms, int64_t max_ms, int64_t now_ms);

/*
 * Appends the handover that the backend server gave for a shard to out, for the
 * next owner of the shard: GRANTS_ENTRY_LEN numbers (shard, handover, a mark
 * that distinguishes it from the entries of ids_export(), number of digits).
 * Appends nothing if there is no handover.
 */
#define GRANTS_ENTRY_LEN 4
void grants_export(const struct grants *g, uint32_t shard, GArray *out);

/*
 * Imports an entry of grants_export(). Returns false if the entry is of
 * another kind.
 */
bool grants_import(struct grants *g, const int64_t *entry);

#endif

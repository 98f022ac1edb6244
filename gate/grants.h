#ifndef GATE_GRANTS_H
#define GATE_GRANTS_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * What a backend server that checks grants has been given to hold. A shard may
 * go to another server only when this one is known not to hold it, so for each
 * shard this keeps the latest moment until which it may. How the server is told
 * differs from one kind of server to another: a table of functions, chosen by
 * the settings. Times are the node's own clock, passed in.
 */

#define HANDOVER_MAX_LEN 63

/* A backend server's clock may run 2% slow (the platform's own bound). */
#define GRANT_CLOCK_DRIFT_FACTOR 1.02
/* The way of what grants, and the rounding of two millisecond clocks. */
#define GRANT_MARGIN_MS 20

/* Keys [from, to] as a backend server names them. */
struct grant_row {
	int64_t from;
	int64_t to;
	int64_t fence;
	char handover[HANDOVER_MAX_LEN + 1]; /* "" none */
};

enum grant_state {
	GRANT_FREE, /* no answered grant is left */
	GRANT_HELD, /* a call that the server answered gave it */
	GRANT_UNKNOWN, /* it may have been given before we knew the server */
};

struct grant {
	int64_t fence; /* of the last grant by this process, 0 none */
	int64_t may_hold_until_ms; /* the server may hold the shard until then */
	/* By call only: */
	enum grant_state state;
	int64_t holds_until_ms; /* the server surely holds it until then */
	int64_t in_doubt_until_ms; /* a call without an answer may hold so long */
	int64_t in_doubt_fence; /* the highest of such calls, 0 another
				   process's */
	int64_t retry_at_ms; /* no call before then */
	int64_t rejected_fence; /* the server has seen a higher fence than this */
	bool call_in_flight; /* part of a call on its way */
	bool single_shard_calls; /* a run that it was part of was refused: call
				    by call */
	/* By heartbeat only: */
	int64_t heartbeat_number; /* number of the heartbeat whose answer
				     granted it */
	bool confirmed; /* reported as held under this fence since */
	bool reported_held; /* reported as held, under any, in the last
			       heartbeat */
	bool omitted; /* of the last answer that named rows */
	int64_t waiting_since_ms; /* ours, without room in an answer since, 0
				     none */
	char *handover_in; /* from the last holder, to go with the grant */
	char *handover_out; /* from our server when it let go */
};

struct grants;

/* A way of telling a backend server what it is to hold. */
struct grant_ops {
	const char *name;
	/* How long a grant of a process that has ended may last, at most. */
	int64_t (*prev_process_hold_ms)(int64_t lease_ms);
	/* The configuration has told how many shards there are. */
	void (*on_resize)(struct grants *g);
	/* A life of the server that this process has not heard of before. */
	void (*on_new_instance)(struct grants *g);
	/* The server has ended: it holds nothing. */
	void (*on_server_stopped)(struct grants *g);
	/* The server turned a request away: it does not hold the shard. */
	void (*on_misdirected)(struct grants *g, uint32_t shard,
			       int64_t now_ms);
	/* Whether the server may hold a shard, by any grant ever given. */
	bool (*may_hold)(const struct grants *g, uint32_t shard,
			 int64_t now_ms);
	/* Whether the server holds a shard that is ours under fence. */
	bool (*server_holds)(const struct grants *g, uint32_t shard,
			     int64_t fence, int64_t now_ms);
};

/* By the answers to its heartbeats: gate/grant-beat.h. */
extern const struct grant_ops grant_by_heartbeat;

/* By calls to it: gate/grant-call.h. */
extern const struct grant_ops grant_by_call;

/* The way of that name, or NULL. */
const struct grant_ops *grant_ops_by_name(const char *name);

struct grants {
	const struct grant_ops *ops; /* NULL: the server checks no grants */
	struct grant *shards;
	uint32_t n_shards;
	uint32_t n_keys;
	bool heartbeat_seen; /* a heartbeat has told what the server holds */
	int64_t prev_process_until_ms; /* what was granted before us has ended
					  then */
	uint32_t n_instances; /* of the server, seen by this process */
	uint32_t disabled_rules; /* tests only, enum grant_rule */
};

/*
 * ops: NULL when the backend server checks no grants. What a process before
 * this one granted has ended by prev_process_until_ms.
 */
void grants_init(struct grants *g, const struct grant_ops *ops,
		 int64_t prev_process_until_ms);

/* For how long after its start a process counts the grants of one before. */
int64_t grants_prev_process_hold_ms(const struct grant_ops *ops,
				    int64_t lease_ms);
void grants_finish(struct grants *g);

/* Follow the configuration; a change of shape forgets everything. */
void grants_resize(struct grants *g, uint32_t n_shards, uint32_t n_keys);

/* The backend server says that it does not hold a shard of ours. */
void grants_misdirected(struct grants *g, uint32_t shard, int64_t now_ms);

/* The backend server has ended, and its holds with it. */
void grants_server_stopped(struct grants *g);

/* Another life of the backend server. */
void grants_new_instance(struct grants *g);

/* Whether the server may hold a shard, by any grant it was ever given. */
bool grants_may_hold(const struct grants *g, uint32_t shard, int64_t now_ms);

/*
 * Whether the server holds a shard that is ours under fence: granted so, or
 * still held by a grant of the process before this one.
 */
bool grants_server_holds(const struct grants *g, uint32_t shard, int64_t fence,
			 int64_t now_ms);

/* Whether a shard is ours and the last answer had no room for it. */
bool grants_waiting_for_room(const struct grants *g, uint32_t shard);

/* The keys of a shard, as the backend server counts them. */
int64_t grants_first_key(const struct grants *g, uint32_t shard);
int64_t grants_last_key(const struct grants *g, uint32_t shard);

/* Forget all that is known of a shard. */
void grant_clear(struct grant *s);

/* The longest hold_ms after which a slow server clock ends before end_ms. */
int64_t grants_hold_ms(int64_t end_ms, int64_t max_ms, int64_t now_ms);

/*
 * The handover that our server gave for a shard, for its next owner: added to
 * out as numbers, GRANTS_ENTRY_LEN an entry, among those of seen ids.
 */
#define GRANTS_ENTRY_LEN 4
void grants_export(const struct grants *g, uint32_t shard, GArray *out);

/* Take such an entry; false when it is not one. */
bool grants_import(struct grants *g, const int64_t *entry);

#endif

#ifndef T_SIM_H
#define T_SIM_H

#include <glib.h>

#include "gate/grant-call.h"
#include "member/member.h"

/*
 * A simulated fleet: several member nodes that one process steps, with all
 * random choices drawn from one seed. The simulated network loses, delays,
 * duplicates and reorders messages, the simulated log has outages, and the
 * clock of each node drifts. Times are in ms of simulated real time; only
 * sim_node_now_ms() gives the clock of a node.
 */

#define SIM_NODES 8
/*
 * The first nodes are of the sharded service "records", the others of the
 * service "archive" and serve no shards.
 */
#define SIM_KEYED 5
#define SIM_STEP_MS 20

struct sim_log_record {
	char *id;
	json_t *record;
};

#define SIM_DATA_CENTRES 4

struct sim;

/* A call to a backend server, from sending it to receiving the answer. */
struct sim_call {
	struct grant_call call;
	uint32_t process_number; /* the process that sent it */
	uint32_t instance; /* the server instance it is sent to */
	int64_t arrives_at_ms;
	int64_t apply_at_ms; /* 0: never, or applied already */
	int64_t answer_at_ms; /* -1: answer received */
	enum grant_outcome outcome;
};

/* A copy of a heartbeat that arrives later. */
struct sim_heartbeat {
	uint32_t instance;
	int64_t number;
	int64_t arrives_at_ms;
	GArray *rows; /* struct grant_row */
};

/* A backend server that holds shards by grants. */
struct sim_backend {
	bool up;
	uint32_t instance; /* unique over all starts of all servers */
	int64_t *held_until_ms; /* per shard */
	int64_t *fence; /* per shard, of its last grant */
	int64_t heartbeat_number; /* of the last heartbeat */
	double clock_slow_factor; /* a hold lasts longer by this factor */
	int64_t next_heartbeat_at_ms;
	int64_t heartbeat_sent_at_ms;
	int64_t answer_at_ms; /* 0: no answer in flight */
	GArray *answer_rows; /* struct grant_row; NULL: no rows in the answer */
	int64_t answer_hold_ms;
	GArray *calls; /* struct sim_call, with grants by call */
	GArray *late_heartbeats; /* struct sim_heartbeat */
};

/* A read of a stream whose answer comes late. */
struct sim_read {
	int64_t sent_at_ms; /* 0: none in flight */
	int64_t decided_at_ms; /* 0: waits for a record */
	int64_t next_at_ms; /* earliest time of the next read */
	int64_t from; /* offsets */
	int64_t upto;
};

struct sim_node {
	struct sim *sim;
	uint32_t slot;
	struct member_node member;
	bool up;
	bool log_unreachable;
	bool leaves_at_join; /* before its first tick as a member */
	/* Until then it can neither read the log nor get records from peers. */
	int64_t no_records_until_ms;
	int64_t paused_until_ms;
	double clock_rate; /* of the node's clock, 1.0 is exact */
	int64_t clock_base_ms; /* of the node's clock at real time 0 */
	uint32_t boot_number; /* incremented when the host is replaced */
	/*
	 * Per shard, when the last request in flight at the backend server
	 * ends, also after the process was killed; and under which fence.
	 */
	int64_t *busy_until_ms;
	int64_t *busy_fence;
	/* Newest configuration that this process has applied. */
	int64_t configuration_version;
	GQueue *inbox; /* struct sim_packet */
	/* With grants only: */
	struct sim_backend backend;
	struct grants grants; /* of this process */
	/* Server instance that sent the last heartbeat to it, 0: none. */
	uint32_t known_instance;
	int64_t known_heartbeat; /* number of the last one taken */

	/* With operators only: */
	struct sim_read operators_read;
	int64_t published_next; /* offset of the next record to read */
	int64_t source; /* of the newest change that was in force */
	int64_t source_at_start; /* newest change when the process started */
	int64_t disturbed_until_ms; /* stopped, paused or cut off until then */

	struct sim_read log_read; /* if answers come late */
	int64_t log_read_at_ms; /* the last read */
	uint64_t n_nonempty_log_reads; /* reads that returned records */
	uint64_t n_log_reads;
};

/* A peer message in flight. */
struct sim_packet {
	int64_t arrives_at_ms;
	GByteArray *data;
};

/* An append whose result the writer has not received yet. */
struct sim_append {
	int64_t answer_at_ms;
	uint32_t slot;
	uint32_t process_number;
	enum append_kind kind;
	int result;
};

struct sim {
	GRand *rand;
	int64_t now_ms;
	struct sim_node nodes[SIM_NODES];
	uint32_t process_number[SIM_NODES]; /* per slot, counts starts */
	GPtrArray *log; /* struct sim_log_record */
	GQueue *append_answers; /* struct sim_append */
	int64_t log_down_until_ms;
	int64_t link_cut_until_ms[SIM_NODES][SIM_NODES];
	/*
	 * Probability that a peer message is lost. If it is not 0, messages are
	 * also duplicated, and answers to appends, heartbeats and calls get
	 * lost or late.
	 */
	double loss;
	uint32_t n_shards;
	bool uses_grants; /* backend servers hold shards by grants */
	const struct grant_ops *grant_ops; /* by heartbeat or by call */
	/* Rows that the answer to a heartbeat has room for, 0: no limit. */
	uint32_t max_answer_rows;
	/* Shards omitted from an answer that the node counted as held. */
	uint64_t n_omitted_held;
	bool late_heartbeats; /* some heartbeats arrive late too */
	uint32_t disabled_grant_rules; /* bits of enum grant_rule */
	uint32_t n_instances; /* of all backend servers */
	/* Per shard, the server instance that held it under top_fence. */
	uint32_t *top_fence_instance;
	uint32_t disabled_rules; /* bits of enum member_rule */
	uint32_t disabled_early_rules; /* bits of enum early_rule */
	uint32_t disabled_spread_rules; /* bits of enum spread_rule */
	uint64_t breaches; /* shards served by two nodes at once */
	uint64_t fence_breaches; /* shards served under an old or reused fence */
	/* Per shard, the highest fence it was ever served under, and where. */
	int64_t *top_fence;
	uint32_t *top_fence_slot;
	uint64_t n_appends;
	bool verbose;
	json_t *published; /* by the operators, NULL: none */
	int64_t answer_ms; /* how late the answers of the store come */
	/* The log refuses changes until then, as other records come first. */
	int64_t changes_refused_until_ms;
	size_t max_change_bytes; /* the log refuses longer ones, 0: none */
	GPtrArray *operators; /* struct sim_published; NULL: no such stream */
};

/*
 * Starts a fleet without backend servers that check grants. disabled_rules has
 * the bits of enum member_rule that the nodes are to ignore.
 */
void sim_init(struct sim *s, uint32_t seed, uint32_t disabled_rules);

/* The same, with backend servers that are granted shards by heartbeat. */
void sim_init_grant_by_heartbeat(struct sim *s, uint32_t seed,
				 uint32_t disabled_rules);

/*
 * The same, and copies of heartbeats arrive late, also at the next process.
 * grant_rules: as for sim_init_grant_by_call().
 */
void sim_init_late_heartbeats(struct sim *s, uint32_t seed,
			      uint32_t grant_rules);

/*
 * The same, with backend servers that are granted shards by call. grant_rules
 * has the bits of enum grant_rule that the nodes are to ignore.
 */
void sim_init_grant_by_call(struct sim *s, uint32_t seed, uint32_t grant_rules);

void sim_finish(struct sim *s);

/* Advances time by SIM_STEP_MS and checks the safety properties. */
void sim_step(struct sim *s);

/* Steps for ms of simulated time. */
void sim_run(struct sim *s, int64_t ms);

/* Starts the process of a slot, without state from an earlier process. */
void sim_start(struct sim *s, uint32_t slot);

/* Ends the process of a slot at once, as kill -9 does. */
void sim_kill(struct sim *s, uint32_t slot);

/* Freezes the process of a slot for ms; messages to it are queued. */
void sim_pause(struct sim *s, uint32_t slot, int64_t ms);

/*
 * Kills all processes, and the backend servers if servers is set, and starts
 * them again after down_ms.
 */
void sim_restart_all(struct sim *s, bool servers, int64_t down_ms);

/*
 * Appends a configuration with one data centre out of service (NULL: none),
 * based on the newest version that a running node has applied. Appends nothing
 * while the log is down.
 */
void sim_configure(struct sim *s, const char *out_of_service);

/* Appends a record that the test made, and drops its reference to it. */
void sim_append(struct sim *s, json_t *record);

/* Appends a move of one shard, based on its newest fence. */
void sim_append_move(struct sim *s, uint32_t shard, int64_t owner,
		     int64_t successor);

/* Cuts two nodes off from each other for ms. */
void sim_cut_link(struct sim *s, uint32_t a, uint32_t b, int64_t ms);

/* Injects a fault picked at random, or ends one. */
void sim_inject_fault(struct sim *s);

/*
 * Kills the process beside a random server that holds keys and starts it again;
 * some time later the server leaves.
 */
void sim_restart_then_leave(struct sim *s);

/*
 * Ends all faults: no message is lost, and every node is up, connected and
 * wants to be a member. Puts all data centres in service, runs for 5 s and
 * declares lost the members whose process no longer runs.
 */
void sim_clear_faults(struct sim *s);

/* Returns a member of the sharded service other than a, b and c, 0 if none. */
int64_t sim_other_member(struct sim *s, int64_t a, int64_t b, int64_t c);

/* Returns the state of the running node that has applied the most records. */
struct fleet *sim_newest_state(struct sim *s);

/* Returns the node whose process is this member now, -1 if none. */
int sim_slot_of_member(struct sim *s, int64_t member);

/* Returns the node that a process runs on, -1 if none. */
int sim_slot_of_process(struct sim *s, int64_t process);

/* Returns the node that serves a shard, -1 if none. */
int sim_serving_slot(struct sim *s, uint32_t shard);

/* Returns how many shards no node serves. */
uint32_t sim_n_unserved(struct sim *s);

/*
 * Steps until every shard is served. Returns false if that takes longer than
 * max_ms.
 */
bool sim_run_until_served(struct sim *s, int64_t max_ms);

/*
 * Steps until every move is settled; before that no shards are balanced.
 * Returns false if that takes longer than max_ms.
 */
bool sim_run_until_settled(struct sim *s, int64_t max_ms);

/* Returns the time by the clock of a node. */
int64_t sim_node_now_ms(const struct sim_node *nd);

/* Prints the members and shards that each node knows, for a failing seed. */
void sim_print_nodes(struct sim *s);

/* t/sim-operators.c: */

#define LONG_CHANGE_EACH 4 /* versions to a long one */

/*
 * Gives the operators a stream of their own. Call it before processes are
 * started that are to read the stream from its beginning.
 */
void sim_start_operators(struct sim *s);

/* Publishes the next version and returns its offset in the stream. */
int64_t sim_publish(struct sim *s);

int64_t sim_written_at_ms(const struct sim *s, int64_t source);
const json_t *sim_published_document(const struct sim *s, int64_t source);

/* Reads the operators' stream for a node. */
void sim_operators_step(struct sim_node *nd);

/*
 * Advances a read of a stream whose next record is next and whose end is end.
 * Returns whether an answer has arrived, with the records before *upto.
 */
bool sim_read_step(struct sim_read *r, const struct sim *s, int64_t next,
		   int64_t end, int64_t *upto);

/* For the other files of the simulation: */

json_t *sim_configuration_document(const struct sim *s, const char *out);

extern const char *const sim_data_centres[SIM_DATA_CENTRES];

/* Whether the node is beside a backend server that holds shards by grants. */
bool sim_has_backend(const struct sim_node *nd);

/* Adds a record to the log; takes a reference to it. */
void sim_add_record(struct sim *s, const char *id, json_t *record);

/* Returns the slot of a host name such as "h3". */
int sim_slot_of_host(const char *host);

/* t/sim-backend.c: */

/* Advances the backend server beside a node by one step. */
void sim_backend_step(struct sim_node *nd);

/* Sends the grant and release calls that are due to a node's backend server. */
void sim_backend_send_calls(struct sim_node *nd);

/* Stops a backend server and starts a new instance, which holds nothing. */
void sim_backend_restart(struct sim_node *nd);

void sim_backend_finish(struct sim_node *nd);

/* Whether the backend server beside a node holds a shard. */
bool sim_backend_holds(const struct sim_node *nd, uint32_t shard);

#endif

#ifndef T_SIM_H
#define T_SIM_H

#include <glib.h>

#include "gate/grant-call.h"
#include "member/member.h"

/*
 * Several member nodes stepped in one process from one seed, over a network
 * that loses, delays, doubles and reorders messages and a log that has
 * outages. Each node has its own drifting clock.
 */

#define SIM_NODES 8
/* Nodes of the service that is divided by key; the others have none. */
#define SIM_KEYED 5
#define SIM_STEP_MS 20

struct sim_log_record {
	char *id;
	json_t *record;
};

#define SIM_DATA_CENTRES 4

struct sim;

/* A call on its way to a backend server, or its answer on the way back. */
struct sim_call {
	struct grant_call call;
	uint32_t process_number; /* who sent it */
	uint32_t instance; /* and to which life of the server */
	int64_t arrives_at_ms;
	int64_t apply_at_ms; /* carried out then, 0 never or done */
	int64_t answer_at_ms; /* the process hears then, -1 it has */
	enum grant_outcome outcome;
};

/* A backend server that holds shards by grants; times are real. */
struct sim_backend {
	bool up;
	uint32_t instance; /* one for each start, of all servers */
	int64_t *held_until_ms; /* per shard, when its hold ends */
	int64_t *fence;
	int64_t heartbeat_number; /* of its last heartbeat */
	double clock_slow_factor; /* how much longer it takes a hold for */
	int64_t next_heartbeat_at_ms;
	int64_t heartbeat_sent_at_ms;
	int64_t answer_at_ms; /* 0: none on its way */
	GArray *answer_rows; /* struct grant_row; NULL: it names none */
	int64_t answer_hold_ms;
	GArray *calls; /* struct sim_call, where it is told by calls */
};

struct sim_node {
	struct sim *sim;
	uint32_t slot;
	struct member_node member;
	bool up;
	bool log_unreachable; /* cannot reach the log */
	int64_t no_records_until_ms; /* and gets no records from peers either */
	int64_t paused_until_ms;
	double clock_rate; /* of its clock */
	int64_t clock_base_ms;
	uint32_t boot_number; /* grows when the host is replaced */
	int64_t *busy_until_ms; /* per shard, real time; survives the process */
	int64_t *busy_fence;
	int64_t configuration_version; /* newest configuration seen by this
					  process */
	GQueue *inbox; /* struct sim_packet */
	/* Only where servers hold by grants: */
	struct sim_backend backend;
	struct grants grants; /* of this process */
	uint32_t known_instance; /* the same, 0 none */
	int64_t log_read_at_ms; /* its last read of the log */
	uint64_t n_nonempty_log_reads; /* reads that found something */
	uint64_t n_log_reads; /* reads in all */
};

struct sim_packet {
	int64_t arrives_at_ms;
	GByteArray *data;
};

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
	uint32_t process_number[SIM_NODES]; /* counts restarts */
	GPtrArray *log; /* struct sim_log_record */
	GQueue *append_answers; /* struct sim_append */
	int64_t log_down_until_ms;
	int64_t link_cut_until_ms[SIM_NODES][SIM_NODES];
	double loss;
	uint32_t n_shards;
	bool uses_grants; /* backend servers hold shards by grants */
	const struct grant_ops *grant_ops; /* how they are told */
	uint32_t max_answer_rows; /* rows that an answer to a heartbeat has, 0
				     all */
	uint64_t n_omitted_held; /* shards taken for granted that none named */
	uint32_t disabled_grant_rules; /* enum grant_rule, turned off */
	uint32_t n_instances;
	uint32_t *top_fence_instance; /* per shard, the life it was highest
					 under */
	uint32_t disabled_rules;
	uint64_t breaches; /* shards served by two nodes at once */
	uint64_t fence_breaches; /* under a fence that is not the newest */
	int64_t *top_fence; /* per shard, highest it was ever served under */
	uint32_t *top_fence_slot; /* by whom */
	uint64_t n_appends;
	bool verbose;
	json_t *published; /* what operators published, NULL nothing */
};

void sim_init(struct sim *s, uint32_t seed, uint32_t disabled_rules);
/* The same, with backend servers that hold shards by grants. */
void sim_init_grant_by_heartbeat(struct sim *s, uint32_t seed,
				 uint32_t disabled_rules);
/* And those are told what they hold by calls, some rules turned off. */
void sim_init_grant_by_call(struct sim *s, uint32_t seed, uint32_t grant_rules);
void sim_finish(struct sim *s);
void sim_step(struct sim *s);
void sim_run(struct sim *s, int64_t ms);
void sim_start(struct sim *s, uint32_t slot);
void sim_kill(struct sim *s, uint32_t slot);
void sim_pause(struct sim *s, uint32_t slot, int64_t ms);
void sim_configure(struct sim *s, const char *out_of_service);
void sim_append(struct sim *s, json_t *record);
int64_t sim_other_member(struct sim *s, int64_t a, int64_t b, int64_t c);
void sim_append_move(struct sim *s, uint32_t shard, int64_t owner,
		     int64_t successor);
struct fleet *sim_newest_state(struct sim *s);
int sim_slot_of_member(struct sim *s, int64_t member);
int sim_slot_of_process(struct sim *s, int64_t process);
void sim_cut_link(struct sim *s, uint32_t a, uint32_t b, int64_t ms);
void sim_inject_fault(struct sim *s);
void sim_clear_faults(struct sim *s);
uint32_t sim_n_unserved(struct sim *s);
int sim_serving_slot(struct sim *s, uint32_t shard);
void sim_print_nodes(struct sim *s);
bool sim_run_until_served(struct sim *s, int64_t max_ms);
/* Step until every move is settled; without that nothing is balanced. */
bool sim_run_until_settled(struct sim *s, int64_t max_ms);
int64_t sim_node_now_ms(const struct sim_node *nd);
void sim_restart_all(struct sim *s, bool servers, int64_t down_ms);

/* For the other files of the simulation. */
extern const char *const sim_data_centres[SIM_DATA_CENTRES];
bool sim_has_backend(const struct sim_node *nd);
void sim_add_record(struct sim *s, const char *id, json_t *record);
int sim_slot_of_host(const char *host);

/* t/sim-backend.c */
void sim_backend_step(struct sim_node *nd);
void sim_backend_send_calls(struct sim_node *nd);
void sim_backend_restart(struct sim_node *nd);
void sim_backend_finish(struct sim_node *nd);
bool sim_backend_holds(const struct sim_node *nd, uint32_t shard);

#endif

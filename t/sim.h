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
	uint32_t process; /* who sent it */
	uint32_t life; /* and to which life of the server */
	int64_t arrives;
	int64_t applied; /* carried out then, 0 never or done */
	int64_t answered; /* the process hears then, -1 it has */
	enum grant_outcome outcome;
};

/* A backend server that holds shards by grants; times are real. */
struct sim_backend {
	bool up;
	uint32_t life; /* one for each start, of all servers */
	int64_t *until; /* per shard, when its hold ends */
	int64_t *fence;
	int64_t number; /* of its last heartbeat */
	double slow; /* how much longer it takes a hold for */
	int64_t next_beat;
	int64_t beat_sent;
	int64_t answer_at; /* 0: none on its way */
	GArray *answer; /* struct grant_row; NULL: it names none */
	int64_t answer_hold;
	GArray *calls; /* struct sim_call, where it is told by calls */
};

struct sim_node {
	struct sim *sim;
	uint32_t slot;
	struct member_node member;
	bool up;
	bool log_cut; /* cannot reach the log */
	int64_t behind_until; /* and gets no records from peers either */
	int64_t paused_until;
	double rate; /* of its clock */
	int64_t clock_base;
	uint32_t boot; /* grows when the host is replaced */
	int64_t *busy_until; /* per shard, real time; survives the process */
	int64_t *busy_fence;
	int64_t version; /* newest configuration seen by this process */
	GQueue *inbox; /* struct sim_packet */
	/* Only where servers hold by grants: */
	struct sim_backend backend;
	struct grants grants; /* of this process */
	uint32_t life_known; /* the same, 0 none */
	int64_t read_at; /* its last read of the log */
	uint64_t n_reads; /* reads that found something */
	uint64_t n_looks; /* reads in all */
};

struct sim_packet {
	int64_t at;
	GByteArray *data;
};

struct sim_append {
	int64_t at;
	uint32_t slot;
	uint32_t process;
	enum append_kind kind;
	int result;
};

struct sim {
	GRand *rand;
	int64_t now;
	struct sim_node nodes[SIM_NODES];
	uint32_t process[SIM_NODES]; /* counts restarts */
	GPtrArray *log; /* struct sim_log_record */
	GQueue *answers; /* struct sim_append */
	int64_t log_down_until;
	int64_t cut_until[SIM_NODES][SIM_NODES];
	double loss;
	uint32_t n_shards;
	bool granted; /* backend servers hold shards by grants */
	const struct grant_ops *way; /* how they are told */
	uint32_t room; /* rows that an answer to a heartbeat has, 0 all */
	uint64_t unnamed; /* shards taken for granted that none named */
	uint32_t grant_rules; /* enum grant_rule, turned off */
	uint32_t lives;
	uint32_t *top_life; /* per shard, the life it was highest under */
	uint32_t disabled_rules;
	uint64_t breaches; /* shards served by two nodes at once */
	uint64_t fence_breaches; /* under a fence that is not the newest */
	int64_t *top_fence; /* per shard, highest it was ever served under */
	uint32_t *top_slot; /* by whom */
	uint64_t appends;
	bool verbose;
	json_t *published; /* what operators published, NULL nothing */
};

void sim_init(struct sim *s, uint32_t seed, uint32_t disabled_rules);
/* The same, with backend servers that hold shards by grants. */
void sim_init_granted(struct sim *s, uint32_t seed, uint32_t disabled_rules);
/* And those are told what they hold by calls, some rules turned off. */
void sim_init_called(struct sim *s, uint32_t seed, uint32_t grant_rules);
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
struct fleet *sim_newest(struct sim *s);
int sim_slot(struct sim *s, int64_t member);
int sim_slot_of_process(struct sim *s, int64_t process);
void sim_cut(struct sim *s, uint32_t a, uint32_t b, int64_t ms);
void sim_fault(struct sim *s);
void sim_heal(struct sim *s);
uint32_t sim_unserved(struct sim *s);
int sim_server(struct sim *s, uint32_t shard);
void sim_print(struct sim *s);
bool sim_converge(struct sim *s, int64_t max_ms);
/* Step until every move is settled; without that nothing is balanced. */
bool sim_settle(struct sim *s, int64_t max_ms);
int64_t sim_local(const struct sim_node *nd);
void sim_kill_all(struct sim *s, bool servers, int64_t down_ms);

/* For the other files of the simulation. */
extern const char *const sim_data_centres[SIM_DATA_CENTRES];
bool sim_has_backend(const struct sim_node *nd);
void sim_add_record(struct sim *s, const char *id, json_t *record);
int sim_slot_of_host(const char *host);

/* t/sim-backend.c */
void sim_backend_step(struct sim_node *nd);
void sim_backend_call(struct sim_node *nd);
void sim_backend_restart(struct sim_node *nd);
void sim_backend_finish(struct sim_node *nd);
bool sim_backend_holds(const struct sim_node *nd, uint32_t shard);

#endif

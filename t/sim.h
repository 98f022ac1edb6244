#ifndef T_SIM_H
#define T_SIM_H

#include <glib.h>

#include "member/member.h"

/*
 * Several member nodes stepped in one process from one seed, over a network
 * that loses, delays, doubles and reorders messages and a log that has
 * outages. Each node has its own drifting clock.
 */

#define SIM_NODES 8
#define SIM_STEP_MS 20

struct sim_log_record {
	char *id;
	json_t *record;
};

struct sim;

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
	uint32_t disabled_rules;
	uint64_t breaches; /* shards served by two nodes at once */
	uint64_t fence_breaches; /* under a fence that is not the newest */
	int64_t *top_fence; /* per shard, highest it was ever served under */
	uint32_t *top_slot; /* by whom */
	uint64_t appends;
	bool verbose;
};

void sim_init(struct sim *s, uint32_t seed, uint32_t disabled_rules);
void sim_finish(struct sim *s);
void sim_step(struct sim *s);
void sim_run(struct sim *s, int64_t ms);
void sim_start(struct sim *s, uint32_t slot);
void sim_kill(struct sim *s, uint32_t slot);
void sim_pause(struct sim *s, uint32_t slot, int64_t ms);
void sim_configure(struct sim *s, const char *out_of_service);
void sim_append(struct sim *s, json_t *record);
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

#endif

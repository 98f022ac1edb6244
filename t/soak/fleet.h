#ifndef T_SOAK_FLEET_H
#define T_SOAK_FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "net/fetch.h"
#include "t/soak/proxy.h"

/*
 * The fleet under test: nodes, the backend server beside each and the store, as
 * processes, with a proxy on each way between them but the nodes' own links.
 */

#define N_NODES 8

enum fleet_link {
	LINK_CALLERS, /* callers to node */
	LINK_STORE, /* node to store */
	LINK_SERVER, /* node to its backend server */
	LINK_HEARTBEATS, /* backend server to its node */
	N_LINKS,
};

enum process_state {
	PROCESS_RUNNING,
	PROCESS_PAUSED,
	PROCESS_STOPPING, /* was asked to end */
	PROCESS_KILLED,
	PROCESS_ENDED,
};

struct process {
	pid_t pid;
	enum process_state state;
	int64_t stop_requested_at_ms; /* when it was asked to end */
};

struct node_host {
	uint32_t index;
	const char *service;
	const char *data_centre;
	struct process node;
	struct process server;
	struct proxy links[N_LINKS];
	int64_t shown_version; /* newest configuration that the process has
				  shown */
	int64_t newest_version_at_start; /* newest of all when it began */
};

struct fleet {
	struct ev_loop *loop;
	struct fetcher fetcher;
	const char *bin;
	char *dir;
	uint32_t base_port;
	bool grants_by_call;
	struct node_host hosts[N_NODES];
	struct process store;
	int64_t newest_version;
	int64_t published_version;
	uint32_t n_broken; /* promises */
};

extern const char *const link_names[N_LINKS];

/* Addresses, in a buffer that the next few calls use again. */
const char *caller_address(const struct fleet *f, uint32_t i);
const char *operator_address(const struct fleet *f, uint32_t i);
const char *server_address(const struct fleet *f, uint32_t i);
const char *peer_address(const struct fleet *f, uint32_t i);
const char *store_address(const struct fleet *f);

/* Returns RESULT_OK, or RESULT_IO when something cannot be started. */
int fleet_start(struct fleet *f);
/* Ends every process that was started. */
void fleet_end(struct fleet *f);

void fleet_start_node(struct fleet *f, struct node_host *h);
void process_signal(struct process *p, int signal);
/* Without waiting, which takes long on a busy machine. */
void process_kill(struct process *p);
/* Whether it has ended; its status then. */
bool process_reap(struct process *p, int *status);

/*
 * Ask a process and run the loop until its answer is there; NULL without a
 * whole answer of status 200. The caller frees it.
 */
char *fleet_request(struct fleet *f, const char *method, const char *address,
		    const char *path, const char *body);
void fleet_control(struct fleet *f, const char *address, const char *what);
void fleet_publish(struct fleet *f);
bool fleet_node_is_ready(struct fleet *f, uint32_t i);
/* Ready, all members known, witnesses settled and every key held. */
bool fleet_is_settled(struct fleet *f);

/* Report that a promise is broken. */
void report_broken(struct fleet *f, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

#endif

#ifndef T_SOAK_FLEET_H
#define T_SOAK_FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "net/fetch.h"
#include "t/soak/proxy.h"

/*
 * The fleet under test: nodes, one backend server for each node, and the store,
 * each a process. The connections of callers and those between the processes go
 * through proxies, except those between nodes.
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
	PROCESS_STOPPING, /* was sent SIGTERM */
	PROCESS_KILLED, /* was sent SIGKILL, not yet reaped */
	PROCESS_ENDED,
};

struct process {
	pid_t pid;
	enum process_state state;
	int64_t stop_requested_at_ms;
};

struct node_host {
	uint32_t index;
	const char *service;
	const char *data_centre;
	struct process node;
	struct process server;
	struct proxy links[N_LINKS];
	/* Configuration version last shown by the running node, -1 before. */
	int64_t shown_version;
	/* Newest version shown by any node when this process was started. */
	int64_t newest_version_at_start;
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
	int64_t newest_version; /* shown by any node */
	int64_t published_version;
	uint32_t n_broken; /* violations reported */
};

extern const char *const link_names[N_LINKS];

/* Addresses as "host:port", valid until 16 more have been asked for. */
const char *caller_address(const struct fleet *f, uint32_t i);
const char *operator_address(const struct fleet *f, uint32_t i);
const char *server_address(const struct fleet *f, uint32_t i);
const char *peer_address(const struct fleet *f, uint32_t i);
const char *store_address(const struct fleet *f);

/*
 * Starts the proxies, the store, the nodes and the backend servers. Returns
 * RESULT_OK, or an error when a proxy cannot listen or a settings file cannot
 * be written.
 */
int fleet_start(struct fleet *f);
/* Kills every process that was started and waits for its end. */
void fleet_end(struct fleet *f);

void fleet_start_node(struct fleet *f, struct node_host *h);
/* Sends the signal and records the state that follows from it. */
void process_signal(struct process *p, int signal);
/*
 * Sends SIGKILL without waiting for the end, which takes long on a busy
 * machine. See process_reap().
 */
void process_kill(struct process *p);
/*
 * Whether the process has ended; never blocks. Sets *status as waitpid() does,
 * or to 0 if the process was reaped before.
 */
bool process_reap(struct process *p, int *status);

/*
 * Sends an HTTP request and runs the event loop until it is answered or fails.
 * Returns the body, which the caller frees, or NULL unless the answer is
 * complete and has status 200.
 */
char *fleet_request(struct fleet *f, const char *method, const char *address,
		    const char *path, const char *body);
/* Sends a command, such as "mute=1", to a stand-in's /control. */
void fleet_control(struct fleet *f, const char *address, const char *what);
/* Publishes the next version of the configuration. */
void fleet_publish(struct fleet *f);
/* Whether node i reports that it is ready. */
bool fleet_node_is_ready(struct fleet *f, uint32_t i);
/*
 * Whether each node is ready, lists all members, each with settled witnesses,
 * and the backend servers together hold every key.
 */
bool fleet_is_settled(struct fleet *f);

/* Prints a violation of what the fleet promises and counts it. */
void report_broken(struct fleet *f, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

#endif

#ifndef NODE_NODE_H
#define NODE_NODE_H

#include <ev.h>
#include <stdbool.h>

#include "state/scan.h"
#include "audit/audit.h"
#include "gate/server-instance.h"
#include "member/member.h"
#include "node/entry.h"
#include "node/gate.h"
#include "node/granter.h"
#include "net/httpd.h"
#include "net/log-client.h"
#include "net/peer.h"
#include "platform/operator.h"
#include "settings/settings.h"

/* How long a read of the log waits for news where nothing hurries. */
#define LOG_WAIT_LONG_MS 10000

/* How far a caller's clock may be off from ours (docs/design/at-most-once). */
#define CALLER_CLOCK_BOUND_MS 2000

/* An operator's configuration on its way into the log. */
struct publish {
	struct httpd_request *http;
	char id[32];
	int64_t base;
	int64_t began_ms;
	bool appended; /* in the log; its fate is known once we apply it */
	bool in_force;
	int64_t version;
	bool lost;
};

/* One process beside a backend server. */
struct node {
	struct settings settings;
	struct ev_loop *loop;
	struct member_node member;
	struct peers peers;
	struct log_client log;
	struct entry entry;
	struct gate gate;
	struct granter granter;
	struct httpd operator_httpd;
	struct httpd ready_httpd; /* the platform asks here whether we are */
	struct httpd announce_httpd; /* the backend server's heartbeats */
	struct member superseded; /* by the join being applied; id 0 none */
	/* The backend server, by its heartbeats. */
	struct server_instance life;
	bool backend_left;
	struct log_client operators; /* what operators publish, elsewhere */
	struct operator_records published;
	int64_t published_until; /* the last record that changed it, -1 none */
	/* As read anew, not in use yet. */
	struct operator_records published_newest;
	int64_t newest_until;
	bool reads_operators;
	bool pass_on; /* records were read that others wait for, from here on: */
	int64_t pass_from;
	int64_t source_ahead_ms; /* others read further since; 0 not */
	int64_t next_wait_ms; /* when the reads' waits are worked out anew */
	struct audit audit;
	GPtrArray *publishes; /* struct publish */
	GHashTable *addresses; /* last address of each member seen */
	struct log_scan scan; /* records met while looking for a snapshot */
	ev_timer tick;
	ev_check awake;
	ev_prepare asleep;
	int64_t awake_us; /* when this round of the loop began */
	int64_t asleep_us; /* when the one before ended */
	ev_signal sigterm;
	ev_signal sigint;
	ev_signal sighup;
	int64_t settings_changed_ns; /* when their file was, 0 not looked */
	int64_t next_look_ms;
	bool stopping;
	int64_t stopping_ms;
	int64_t left_ms; /* when all was given up, 0 not yet */
	int64_t ending_ms; /* when the last words were said, 0 not yet */
	int64_t next_seed_ms;
	uint32_t next_seed;
	int64_t started_ms;
};

/*
 * Set up on caller's memory. Returns RESULT_OK, or RESULT_IO naming in
 * errors the address that cannot be used.
 */
int node_init(struct node *n, const struct settings *s, struct ev_loop *loop,
	      GString *errors);
void node_run(struct node *n);
void node_finish(struct node *n);

/* Whether this round of the loop has lasted so long that it was interrupted. */
bool node_was_paused(const struct node *n);

/* Whether the gate here may take work that belongs to no shard. */
bool node_takes_work(const struct node *n);

/* Whether callers should be sent to the entry here. */
bool node_is_ready(const struct node *n);

/* The backend server came or went. */
void node_backend_announced(struct node *n);
void node_backend_left(struct node *n);

/* node/streams.c */
void streams_init(struct node *n);
void streams_tick(struct node *n, int64_t now);
void streams_finish(struct node *n);

/* node/reload.c */
void node_reload(struct node *n);
void reload_tick(struct node *n, int64_t now_ms);

/* node/operator.c */
int operator_init(struct node *n);
void operator_finish(struct node *n);
void operator_tick(struct node *n);
void operator_appended(struct node *n, struct publish *p, int result);
void operator_on_event(struct node *n, const struct fleet_event *ev);

/* The mark of an operator's append among the kinds of append. */
#define APPEND_OPERATOR N_APPEND_KINDS
#define APPEND_DECLARE_LOST (N_APPEND_KINDS + 1)

#endif

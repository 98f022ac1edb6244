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
#include "node/leaving.h"
#include "net/httpd.h"
#include "net/log-client.h"
#include "net/peer.h"
#include "platform/operator.h"
#include "settings/settings.h"

/* The longest that a read waits for new records at the log. */
#define LOG_WAIT_MAX_MS 10000

/*
 * The largest difference between a caller's clock and the clock of this host
 * (docs/design/at-most-once).
 */
#define CALLER_CLOCK_BOUND_MS 2000

/*
 * A configuration that an operator posted, while its record is appended to the
 * log and until the record has been applied.
 */
struct publish {
	struct httpd_request *http; /* NULL once answered or closed */
	char id[32]; /* part of the record, to find it when it is applied */
	int64_t base;
	int64_t started_at_ms;
	bool appended; /* in the log; takes effect, or not, when applied */
	bool in_force; /* applied, and in force */
	int64_t version;
	bool dropped; /* applied, and dropped as another change came first */
};

/* The state of one process, which runs beside a backend server. */
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
	struct httpd ready_httpd; /* the ready page, read by the platform */
	struct httpd announce_httpd; /* the backend server's heartbeats */
	struct member superseded; /* by the join being applied; id 0: none */
	struct server_instance server_instance; /* last one by heartbeat */
	struct leaving_acks leaving_acks;
	struct log_client operator_stream; /* where operators publish */
	struct operator_records operator_records;
	int64_t published_offset; /* last record that changed them, -1: none */
	/* Collected while all of the operators' stream is read, then used. */
	struct operator_records rescanned_operator_records;
	int64_t rescanned_offset; /* last record that changed them */
	bool reads_operator_stream;
	/* Records from relay_from on were read and not yet sent to followers. */
	bool relay_pending;
	int64_t relay_from;
	/*
	 * Since when the fleet's state has included a change from a record of
	 * the operators' stream that was not read here yet; 0: it does not.
	 */
	int64_t source_ahead_since_ms;
	int64_t next_wait_update_at_ms; /* of how long reads wait */
	bool is_first_reader; /* of the operators' stream, by rank */
	/* When this node last proposed an operators' change; 0: not in force. */
	int64_t change_proposed_at_ms;
	/* The last one that it appended: when, its source and its base. */
	int64_t change_sent_at_ms;
	int64_t change_sent_source;
	int64_t change_sent_base;
	/* Since when a record is known that peers announced; 0: none. */
	int64_t announced_at_ms;
	int64_t announced_offset;
	struct audit audit;
	GPtrArray *publishes; /* struct publish */
	GHashTable *addresses; /* last peer address of each member seen */
	struct log_scan scan; /* records read while looking for a snapshot */
	ev_timer tick;
	ev_check iteration_start_watcher;
	ev_prepare iteration_end_watcher;
	int64_t iteration_start_us; /* of the current iteration of the loop */
	int64_t iteration_end_us; /* of the previous iteration */
	ev_signal sigterm;
	ev_signal sigint;
	ev_signal sighup;
	int64_t settings_mtime_ns; /* of their file; 0: not read yet */
	int64_t next_settings_check_at_ms;
	bool stopping;
	int64_t stop_requested_at_ms;
	int64_t resigned_at_ms; /* 0: not yet */
	int64_t gate_stopped_at_ms; /* stop notices sent; 0: not yet */
	int64_t next_seed_request_at_ms;
	uint32_t next_seed;
	int64_t started_at_ms;
};

/*
 * Initialises *n, which the caller owns, and starts listening. Returns
 * RESULT_OK, or RESULT_IO after adding a line to errors that names the address
 * which cannot be used.
 */
int node_init(struct node *n, const struct settings *s, struct ev_loop *loop,
	      GString *errors);

/* Runs the loop until the process was asked to stop and may end. */
void node_run(struct node *n);

/* Stops listening and releases everything. */
void node_finish(struct node *n);

/*
 * Whether the current iteration of the loop has lasted so long that the process
 * was probably paused during it.
 */
bool node_was_paused(const struct node *n);

/* Whether the gate of this node accepts requests that belong to no shard. */
bool node_accepts_unsharded(const struct node *n);

/* Whether callers should be sent to the entry of this node. */
bool node_is_ready(const struct node *n);

/* The backend server announced itself: the node joins the fleet. */
void node_backend_announced(struct node *n);

/* The backend server stopped or is about to: the node resigns. */
void node_backend_left(struct node *n);

/* node/streams.c */

/* Starts to read the fleet's stream, and the operators' if there is one. */
void streams_init(struct node *n);

/* Updates how long reads wait, and replaces reads that have stalled. */
void streams_tick(struct node *n, int64_t now);

/* Stops reading, and drops the appends in flight. */
void streams_finish(struct node *n);

/* node/reload.c */

/* Reloads the settings; a file with errors changes nothing. */
void node_reload(struct node *n);

/* Reloads the settings if their file has changed. */
void reload_tick(struct node *n, int64_t now_ms);

/* node/operator.c */

/*
 * Starts to listen for operators, and for the backend server's announcements.
 * Returns the results of httpd_init().
 */
int operator_init(struct node *n);

/* Stops listening. */
void operator_finish(struct node *n);

/*
 * Answers operators whose records have been applied, or that have waited too
 * long.
 */
void operator_tick(struct node *n);

/*
 * An operator's append ended, with a RESULT_*. Whether the configuration is in
 * force is known once the record is applied.
 */
void operator_appended(struct node *n, struct publish *p, int result);

/*
 * If a configuration record was applied or dropped, sets the outcome for the
 * operator who sent it.
 */
void operator_on_event(struct node *n, const struct fleet_event *ev);

/* Kinds of append by operators, in addition to enum append_kind. */
#define APPEND_OPERATOR N_APPEND_KINDS
#define APPEND_DECLARE_LOST (N_APPEND_KINDS + 1)
#define APPEND_CLEAR_REQUEST (N_APPEND_KINDS + 2)

#endif

#ifndef GATE_SERVER_INSTANCE_H
#define GATE_SERVER_INSTANCE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Tells which instance of the backend server a message is from, and whether
 * that instance takes requests. A backend server may restart at the same
 * address, even under the same id, while messages of its previous instance are
 * still in flight. An instance that has said that it leaves never returns: what
 * it had sent before may arrive later, and only another instance ends its
 * leaving. No input or output; times are passed in.
 */

#define INSTANCE_ID_MAX_LEN 39

/* What is known of one instance. */
enum server_state {
	SERVER_UNKNOWN, /* no instance has announced itself yet */
	SERVER_READY, /* announced, takes requests */
	SERVER_SILENT, /* sent no heartbeat for too long */
	SERVER_REFUSED, /* cannot be reached at its address */
	SERVER_LEAVING, /* says that it leaves */
	SERVER_DEREGISTERED, /* has deregistered */
	N_SERVER_STATES
};

enum server_event {
	SERVER_SAYS_READY, /* a heartbeat that is not stale */
	SERVER_SAYS_LEAVING, /* a heartbeat or an answer */
	SERVER_DEREGISTERS,
	SERVER_FALLS_SILENT,
	SERVER_REFUSES,
	N_SERVER_EVENTS
};

/* Returns the state of an instance after an event. */
enum server_state server_next_state(enum server_state state,
				    enum server_event event);

/* The name of a state, for events. */
const char *instance_state_name(enum server_state state);

/* An instance that has left. */
struct left_instance {
	char id[INSTANCE_ID_MAX_LEN + 1]; /* "": the entry is free */
	int64_t started_ms; /* INSTANCE_START_UNKNOWN: see left_wall_ms */
	int64_t left_wall_ms; /* wall clock, when that was recorded */
	int64_t left_at_ms; /* the same, by this node's clock */
	bool recorded; /* known by the log, not by a message to this process */
};

/* A deregistration names no start, or the process had no heartbeat of it. */
#define INSTANCE_START_UNKNOWN (-1)
#define MAX_LEFT_INSTANCES 16

struct server_instance {
	char id[INSTANCE_ID_MAX_LEN + 1]; /* "" if none is known */
	int64_t started_ms; /* wall clock of the backend server's host */
	int64_t heartbeat_number; /* of the last one recorded */
	int64_t last_heartbeat_at_ms; /* time of the last one, by this node's
					 clock */
	enum server_state state;
	/* Instances that have left, without the present one; a ring. */
	struct left_instance left[MAX_LEFT_INSTANCES];
	uint32_t n_left; /* entries written so far */
};

enum instance_check {
	INSTANCE_NEW, /* an instance that this process has not seen before */
	INSTANCE_CURRENT, /* the known instance, with a newer heartbeat */
	INSTANCE_STALE, /* an instance before it or one that has left, or an
			   older heartbeat */
};

/*
 * Checks a heartbeat, and records it unless it is stale. id and started_ms (by
 * the wall clock of its host) identify the instance that sent it; number counts
 * the heartbeats of that instance; leaving: it says that it leaves.
 */
enum instance_check instance_on_heartbeat(struct server_instance *s,
					  const char *id, int64_t started_ms,
					  int64_t number, bool leaving,
					  int64_t now_ms);

/*
 * Records the deregistration of an instance, which need not be the known one.
 * started_ms: INSTANCE_START_UNKNOWN if the call does not name it. wall_ms: the
 * wall clock of this host, which is the instance's too.
 */
void instance_on_deregister(struct server_instance *s, const char *id,
			    int64_t started_ms, int64_t wall_ms,
			    int64_t now_ms);

/*
 * The log has a record that an instance, known here or not, has said that it
 * leaves: to this process or to an earlier one beside it. wall_ms: when it said
 * so, by the wall clock of this host.
 */
void instance_on_recorded_leaving(struct server_instance *s, const char *id,
				  int64_t started_ms, int64_t wall_ms,
				  int64_t now_ms);

/* Records an event of the known instance. */
void instance_on_event(struct server_instance *s, enum server_event event);

/* Replaces the known instance by one that takes requests. */
void instance_set_ready(struct server_instance *s, const char *id,
			int64_t started_ms, int64_t number, int64_t now_ms);

/* Whether the known instance has stopped, or is about to. */
bool instance_is_gone(const struct server_instance *s);

/* Whether the known instance has said that it leaves. */
bool instance_has_left(const struct server_instance *s);

/*
 * The rules, one bit each. The randomised test builds server-instance.c with
 * RULE_SWITCHES and disables each in turn to check that the test detects the
 * violation.
 */
enum instance_rule {
	/* No message of an instance that has left announces it again. */
	INSTANCE_RULE_LEFT_IS_FINAL = 1 << 0,
	/* That holds also once another instance has been announced. */
	INSTANCE_RULE_REMEMBER_LEFT = 1 << 1,
	/* And where its deregistration is the first that is heard of it. */
	INSTANCE_RULE_REMEMBER_UNHEARD = 1 << 2,
	/* A deregistration does not end a later instance of the same id. */
	INSTANCE_RULE_START_OF_DEREGISTERED = 1 << 3,
	/* A process knows of the leavings that earlier ones recorded. */
	INSTANCE_RULE_LEARN_RECORDED = 1 << 4,
};

/* Tests only: the rules disabled. Defined when built with RULE_SWITCHES. */
extern uint32_t instance_disabled_rules;

#endif

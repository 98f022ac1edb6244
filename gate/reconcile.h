#ifndef GATE_RECONCILE_H
#define GATE_RECONCILE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What a gate can tell an entry, after their connection was lost, about the
 * requests that the entry had sent over it. Most of all: whether it may promise
 * that a request was not begun and never will be, so that the entry may send it
 * elsewhere. Reads no clock and has no I/O.
 *
 * An entry numbers its connections upwards, and its requests (ids) too. Each
 * request carries the number of the connection that it is sent over.
 */

/* What became of a request. On the wire; values are not reused. */
enum reconcile_state {
	RECONCILE_UNKNOWN, /* cannot be told yet */
	RECONCILE_NOT_BEGUN, /* never read, and will not be begun */
	RECONCILE_QUEUED, /* read, not with the backend server yet */
	RECONCILE_STARTED, /* with the backend server */
	RECONCILE_ENDED, /* its last message has been sent again */
	RECONCILE_LOST, /* may have run; nothing more will be sent about it */
	RECONCILE_PROCESS_ENDED, /* the process it was sent to has ended */
	RECONCILE_N_STATES,
};

/* What a gate keeps of an entry's process. */
struct reconcile_entry {
	/* Requests sent over a connection with a lower number are refused. */
	uint64_t lowest_connection;
	/* Of requests up to this id it may be forgotten that they were read. */
	uint64_t forgotten_id;
};

/*
 * Sets up the record of an entry, of which a message sent over this connection
 * is the first that is known. entries_forgotten: records of entries have been
 * evicted, and this may have been one of them.
 */
void reconcile_entry_init(struct reconcile_entry *e, uint64_t connection,
			  bool entries_forgotten);

/* Whether a request that was sent over this connection may be begun. */
bool reconcile_accepts(const struct reconcile_entry *e, uint64_t connection);

/*
 * From now on refuses requests sent over a connection with a lower number.
 * Returns false if a higher number was set before: then what carries this one
 * is outdated.
 */
bool reconcile_raise(struct reconcile_entry *e, uint64_t connection);

/* The entry has given no higher id than this yet. */
void reconcile_set_last_id(struct reconcile_entry *e, uint64_t last_id);

/* The gate forgets that it has read and ended the request with this id. */
void reconcile_forget(struct reconcile_entry *e, uint64_t id);

/* What a gate knows of a request. */
struct reconcile_request {
	uint64_t id;
	uint64_t connection; /* that it was sent over */
	int64_t process; /* that it was sent to, by member::process */
	bool queued;
	bool started;
	bool ended; /* it is remembered to have ended */
};

/* What became of a request. own_process is 0 before the node has joined. */
enum reconcile_state reconcile_state(const struct reconcile_entry *e,
				     int64_t own_process,
				     const struct reconcile_request *r);

const char *reconcile_state_name(enum reconcile_state s);

/*
 * The rules that make RECONCILE_NOT_BEGUN true, one bit each. The randomised
 * test builds reconcile.c with RULE_SWITCHES and disables each in turn to check
 * that the test detects the violation.
 */
enum reconcile_rule {
	/* Requests of earlier connections are refused. */
	RECONCILE_RULE_LOWEST_CONNECTION = 1 << 0,
	/* Nothing is promised about ids whose end may be forgotten. */
	RECONCILE_RULE_FORGOTTEN_ID = 1 << 1,
	/* Nothing is promised about requests sent to another process. */
	RECONCILE_RULE_PROCESS = 1 << 2,
	/* Nothing is promised to an entry that may have been forgotten. */
	RECONCILE_RULE_FORGOTTEN_ENTRY = 1 << 3,
};

/* Tests only: the rules disabled. Defined when built with RULE_SWITCHES. */
extern uint32_t reconcile_disabled_rules;

#endif

#ifndef STATE_QUARANTINE_H
#define STATE_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

/*
 * The requests under which backend servers have ended, by fingerprint. Part of
 * the replicated state: every node counts the same endings. Requests that ran
 * at one ending are suspects; those of two endings are blocked.
 */

/* Most fingerprints kept, and most in one record. */
#define QUARANTINE_MAX 256
#define QUARANTINE_MAX_IN_RECORD 64
/* Endings from which on a request is blocked. */
#define QUARANTINE_BLOCK_ENDINGS 2
/* The last server instances whose end was recorded. */
#define QUARANTINE_INSTANCES 256

struct quarantined_request {
	uint64_t fingerprint;
	int64_t offset; /* of the last record that names it */
	uint32_t endings; /* counted against it */
	uint32_t n_instances; /* that ended while it ran, counted or not */
};

struct quarantine {
	struct quarantined_request requests[QUARANTINE_MAX];
	uint32_t n;
	uint64_t instances[QUARANTINE_INSTANCES]; /* hashes of their ids */
	uint32_t n_instances; /* all so far; a ring */
};

/* Returns the entry of a fingerprint, or NULL. */
const struct quarantined_request *quarantine_find(const struct quarantine *q,
						  uint64_t fingerprint);

/* Whether the end of that instance is among the last that were recorded. */
bool quarantine_has_instance(const struct quarantine *q,
			     uint64_t instance_hash);

/*
 * A server instance has ended while n requests ran. The ending counts against
 * each that was no suspect before, and against a suspect if it was the only
 * one. on_counted, which may be NULL, is called for each request that it counts
 * against. Returns RESULT_OK, or RESULT_DUPLICATE without effect if the end of
 * this instance was recorded before.
 */
int quarantine_add_ending(
	struct quarantine *q, uint64_t instance_hash,
	const uint64_t *fingerprints, uint32_t n, int64_t offset,
	void (*on_counted)(void *user, const struct quarantined_request *r),
	void *user);

/* Removes a request. Returns the endings that were counted, 0 if unknown. */
uint32_t quarantine_clear(struct quarantine *q, uint64_t fingerprint);

/* The state as JSON, and back; for snapshots. */
json_t *quarantine_to_json(const struct quarantine *q);
/* Returns RESULT_OK, or RESULT_INVALID. NULL: nothing is quarantined. */
int quarantine_from_json(struct quarantine *q, const json_t *o);

/* The rules of the count, one bit each; see enum suspect_rule. */
enum quarantine_rule {
	/* Of several suspects that ran at one ending, none is counted. */
	QUARANTINE_RULE_ONE_SUSPECT = 1 << 0,
	/* An ending counts once, however often it is recorded. */
	QUARANTINE_RULE_ONCE = 1 << 1,
};

/* Tests only: the rules disabled. Defined when built with RULE_SWITCHES. */
extern uint32_t quarantine_disabled_rules;

#endif

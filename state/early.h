#ifndef STATE_EARLY_H
#define STATE_EARLY_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

#include "settings/configuration.h"
#include "state/fleet.h"

/*
 * The newest configuration that operators have published, from when it is known
 * here until the log has it. Requests are matched by it; services, shards and
 * data centres are those of the log.
 */
struct early_configuration {
	/* Offset in the operators' stream up to which it goes, -1: none. */
	int64_t source;
	json_t *document;
	struct configuration configuration;
	/* The changes that lead to it, and the version that they apply to. */
	json_t *changes; /* NULL if it came as a whole document */
	int64_t base;
	uint32_t disabled_rules; /* enum early_rule, tests only */
};

/* Rules that tests can disable, see enum member_rule. */
enum early_rule {
	/* Only a higher source replaces what is in force. */
	EARLY_NEWER_ONLY = 1 << 0,
	/* It stays until the log has reached its source. */
	EARLY_UNTIL_LOG_HAS_IT = 1 << 1,
	/* Changes apply only to the version that they were made from. */
	EARLY_CHANGES_FIT_BASE = 1 << 2,
};

void early_init(struct early_configuration *e);
void early_finish(struct early_configuration *e);

/*
 * Put into force the configuration that changes lead to from version base of
 * the log; takes no reference. Returns RESULT_OK, RESULT_STALE when what is in
 * force is as new, RESULT_GAP when the log here is at another version than
 * base, or RESULT_INVALID. Only RESULT_OK has an effect.
 */
int early_apply(struct early_configuration *e, const struct fleet *f,
		int64_t source, int64_t base, json_t *changes);

/* The same for a whole document; never returns RESULT_GAP. */
int early_load(struct early_configuration *e, const struct fleet *f,
	       int64_t source, json_t *document);

/* The log has changed. Returns whether the early configuration has ended. */
bool early_on_log(struct early_configuration *e, const struct fleet *f);

/* The newer of the early configuration and that of the log. */
const struct configuration *early_in_force(const struct early_configuration *e,
					   const struct fleet *f);

/* Its document, NULL if none is in force. */
json_t *early_document(const struct early_configuration *e,
		       const struct fleet *f);

/* The source of what is in force, -1: none. */
int64_t early_source(const struct early_configuration *e,
		     const struct fleet *f);

#endif

#ifndef T_SOAK_FAULTS_H
#define T_SOAK_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include "t/soak/fleet.h"

/*
 * A random schedule of faults, drawn from a seed: which kind, at which node or
 * link, when and for how long.
 */

struct fault_kind;

struct fault {
	const struct fault_kind *kind;
	uint32_t node;
	uint32_t link;
	uint32_t random_bits; /* for a choice among variants of the kind */
	/* From the start of the phase. */
	int64_t begin_offset_ms, end_offset_ms;
	bool begun, ended;
	char *description; /* NULL: name of the kind and node */
};

struct faults {
	struct fleet *fleet;
	GRand *rand;
	/* Of breaks alone, so that a seed draws the other faults as before. */
	GRand *break_rand;
	GPtrArray *all; /* of this phase, struct fault */
	int64_t phase_started_at_ms;
};

void faults_init(struct faults *s, struct fleet *f, uint32_t seed);
/* Adds only planned changes: node stops, reloads and configurations. */
void faults_draw_planned(struct faults *s);
/* Adds faults of any kind that begin within duration_ms. */
void faults_draw_unplanned(struct faults *s, int64_t duration_ms);
/* Begins and ends the faults that are due. Returns false when all have ended. */
bool faults_step(struct faults *s);
/* Removes all faults and starts a new phase. */
void faults_clear(struct faults *s);
/* Returns a line that lists the faults that have begun. The caller frees it. */
char *faults_describe(const struct faults *s);

#endif

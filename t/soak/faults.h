#ifndef T_SOAK_FAULTS_H
#define T_SOAK_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include "t/soak/fleet.h"

/* Trouble, drawn from a seed: what, where, when and for how long. */

struct fault_kind;

struct fault {
	const struct fault_kind *kind;
	uint32_t node;
	uint32_t link;
	uint32_t random_bits; /* what else a kind may draw */
	int64_t begin_offset_ms,
		end_offset_ms; /* from the start of the phase */
	bool begun, ended;
	char *description;
};

struct faults {
	struct fleet *fleet;
	GRand *rand;
	GPtrArray *all; /* struct fault */
	int64_t phase_started_at_ms;
};

void faults_init(struct faults *s, struct fleet *f, uint32_t seed);
/* Only what operators plan: stops, reloads, configurations. */
void faults_draw_planned(struct faults *s);
void faults_draw_unplanned(struct faults *s, int64_t duration_ms);
/* Begin and end what is due; false when all have ended. */
bool faults_step(struct faults *s);
void faults_clear(struct faults *s);
/* A line on those that began. The caller frees it. */
char *faults_describe(const struct faults *s);

#endif

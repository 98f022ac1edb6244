#ifndef GATE_INSTANCE_PROOF_H
#define GATE_INSTANCE_PROOF_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Tells when a connection to the backend server can be opened that reaches the
 * instance its heartbeats are from. A grant names no instance: one that is
 * meant for an instance that has ended would give the next one at its address
 * keys under a fence that they were held under before.
 *
 * Connections end with their instance. While one is open, another one reaches
 * the same instance. Once all have ended, so may have the instance, and one of
 * its heartbeats may still be on its way. The second one that arrives from then
 * on is taken to be sent since. No input or output; times are passed in.
 */

struct instance_proof {
	uint32_t n_heartbeats; /* of the instance, since its connections ended */
	int64_t last_heartbeat_at_ms;
	bool connected; /* when last seen */
};

void instance_proof_init(struct instance_proof *p);

/*
 * Records whether any connection to the instance is open. To be called before
 * a heartbeat is recorded, as it may have been sent before they ended.
 */
void instance_proof_set_connected(struct instance_proof *p, bool connected);

/* Records a heartbeat of the instance. is_first: it is the first one of it. */
void instance_proof_on_heartbeat(struct instance_proof *p, bool is_first,
				 int64_t now_ms);

/*
 * Records the end of a call. lost: the other end closed its connection, or none
 * could be opened; connected: whether any is open now. A connection that this
 * end closed says nothing of the instance.
 */
void instance_proof_on_call_ended(struct instance_proof *p, bool lost,
				  bool connected);

/*
 * Until when a connection may be opened that grants are sent over; not after
 * now_ms if none may be.
 */
int64_t instance_proof_connect_by_ms(const struct instance_proof *p,
				     int64_t now_ms);

/* Tests only: the heartbeats needed. Defined when built with RULE_SWITCHES. */
extern uint32_t instance_proof_heartbeats;

#endif

#include "gate/instance-proof.h"

/*
 * How long a connection may be opened after the instance was seen. One that
 * ended right after that takes longer to be followed by the next one.
 */
#define CONNECT_AFTER_SEEN_MS 300
#define HEARTBEATS_NEEDED 2

#ifdef RULE_SWITCHES
uint32_t instance_proof_heartbeats = HEARTBEATS_NEEDED;
#else
#define instance_proof_heartbeats HEARTBEATS_NEEDED
#endif

void instance_proof_init(struct instance_proof *p)
{
	*p = (struct instance_proof){ 0 };
}

void instance_proof_set_connected(struct instance_proof *p, bool connected)
{
	if (p->connected && !connected)
		p->n_heartbeats = 0;
	p->connected = connected;
}

void instance_proof_on_heartbeat(struct instance_proof *p, bool is_first,
				 int64_t now_ms)
{
	/* Nothing was granted to an instance before its first heartbeat. */
	if (is_first)
		p->n_heartbeats = instance_proof_heartbeats;
	else
		p->n_heartbeats++;
	p->last_heartbeat_at_ms = now_ms;
}

void instance_proof_on_call_ended(struct instance_proof *p, bool lost,
				  bool connected)
{
	if (lost && !connected)
		p->n_heartbeats = 0;
	p->connected = connected;
}

int64_t instance_proof_connect_by_ms(const struct instance_proof *p,
				     int64_t now_ms)
{
	if (p->connected)
		return now_ms + CONNECT_AFTER_SEEN_MS;
	if (p->n_heartbeats < instance_proof_heartbeats)
		return 0;
	return p->last_heartbeat_at_ms + CONNECT_AFTER_SEEN_MS;
}

#ifndef NODE_LEAVING_H
#define NODE_LEAVING_H

#include <stdbool.h>
#include <stdint.h>

#include "net/httpd.h"
#include "state/fleet.h"

/*
 * Acknowledges that the backend server beside this node leaves. The process may
 * end right after its answer, and one of the server's earlier heartbeats may
 * still arrive. So the answer waits until the log has the leaving, which the
 * next process reads before it joins.
 */

struct node;

/* Calls that can wait at the same time; more are refused. */
#define MAX_PENDING_LEAVINGS 8

/* A heartbeat that says "leaving", or a deregistration, still unanswered. */
struct pending_leaving {
	struct httpd_request *http;
	struct leaving left;
	/* Of a heartbeat that is answered with grants, else -1. */
	int64_t heartbeat_number;
	int64_t asked_at_ms;
};

struct leaving_acks {
	struct pending_leaving pending[MAX_PENDING_LEAVINGS];
	uint32_t n;
};

/*
 * Records the leaving of a server and answers the call that reported it: 200
 * once the log has it, 503 if that takes too long.
 */
void leaving_acknowledge(struct node *n, struct httpd_request *r,
			 const char *server, int64_t started_ms,
			 int64_t heartbeat_number);

/* Records a leaving that was reported without a call. */
void leaving_record(struct node *n, const char *server, int64_t started_ms);

/* Answers the calls whose leavings the log has. */
void leaving_on_recorded(struct node *n);

/* Answers the calls that have waited too long. */
void leaving_tick(struct node *n);

/* A call has ended. */
void leaving_on_closed(struct node *n, const struct httpd_request *r);

/* A record tells that a server of some host leaves. */
void leaving_on_event(struct node *n, const struct leaving *left);

/* The state of the fleet was replaced. */
void leaving_on_state_replaced(struct node *n);

#endif

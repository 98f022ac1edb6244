#ifndef NODE_GATE_REQUEST_H
#define NODE_GATE_REQUEST_H

#define XXH_STATIC_LINKING_ONLY /* the state has a size */
#include <xxhash.h>

#include "node/gate.h"

/* A request at the gate, and what node/gate*.c share. */

enum gate_state {
	GATE_QUEUED, /* in the queue */
	GATE_SHARD_WAIT, /* for a key that is on its way to us */
	GATE_LINK_WAIT, /* set aside: nothing connects us to its entry */
	GATE_CONFIRM_WAIT, /* set aside: its entry is asked whether it is wanted
			    */
	GATE_RUNNING, /* handed to the backend server */
};

struct gate_request {
	struct gate *gate;
	GBytes *identity; /* of the entry's link, NULL our own entry */
	uint64_t origin;
	uint64_t id;
	enum gate_state state;
	const char *method;
	char *strings; /* method, url and key */
	const char *url;
	const char *key;
	uint64_t id_hash; /* 0: no idempotency key */
	GPtrArray *headers;
	GByteArray *body;
	uint32_t class_index; /* UINT32_MAX: not in our configuration */
	const char *attempt_id; /* that the answer must echo, or NULL */
	bool traced;
	int64_t sent_at_ms; /* by the entry's clock */
	int64_t excess_delay_ms; /* on its way, beyond the fastest */
	int64_t confirmed_at_ms; /* its entry still wanted it then; -1 not known
				  */
	int64_t confirm_sent_at_ms; /* whether it does, last */
	bool is_first_send; /* nobody sent this request's id before */
	bool repeatable;
	bool keyed;
	int64_t shard;
	int64_t arrived_at_ms;
	int64_t shard_wait_ms; /* how long it was parked */
	int64_t started_at_us;
	int64_t deadline_ms;
	int64_t start_by_ms; /* one not begun by then is refused */
	int64_t resend_window_ms;
	int64_t target_ms;
	uint32_t priority;
	struct fetch fetch;
	double reserved_bytes; /* to our link, for its answer */
	GByteArray *unsent_answer; /* answer not yet sent on */
	bool head_sent;
	bool server_refused; /* the server says that it did not run it */
	bool cancelled; /* taken back, and its server is not to be cut off */
	int64_t answer_bytes;
	int64_t uncredited;
	XXH64_state_t digest;
	GString *stored_answer; /* a short answer, for a repeated id */
};

/* Bytes of an answer on their way to an entry before it takes some. */
#define GATE_WINDOW_BYTES (256 * 1024)

/* node/gate.c */
const struct header_names *gate_header_names(const struct gate_request *r);
void gate_request_free(struct gate_request *r);
void gate_send_for(struct gate_request *r, struct request_msg *m);
/* Its answer is not to be expected on our link; promised anew when queued. */
void gate_unreserve_link(struct gate_request *r);
/* Take a request from where it waits or runs, to be answered or freed. */
void gate_detach(struct gate_request *r);
void gate_fail(struct gate_request *r, int result);

/* node/gate-entries.c */

/* An entry asked for something over a link; nothing for our own, NULL. */
void gate_record_entry(struct gate *g, const void *identity, size_t len);
/* Once a gate is ending, who is told anything is waited for. */
void gate_record_sent(struct gate *g, GBytes *identity, bool last);
/* How long a message was on its way beyond the fastest of late. */
int64_t gate_update_delay(struct gate *g, const struct request_msg *m);
/* The clock of a message's sender is known from here on; and whether it is. */
void gate_set_delay_known(struct gate *g, const struct request_msg *m);
bool gate_delay_is_known(struct gate *g, const struct request_msg *m);

/* node/gate-ids.c */

/* Deal with an idempotency key; false when the request has been answered. */
bool gate_check_id(struct gate_request *r, const char *class_name,
		   const char *id);
/* Keep how a request with an id ended. */
void gate_record_outcome(struct gate_request *r, int result);

/* node/gate-answer.c */
extern const struct fetch_ops gate_fetch_ops;

/* node/gate-cancel.c */

/* The entry takes a request back; its word was excess_delay_ms on the way. */
void gate_cancel_request(struct gate_request *r, int64_t excess_delay_ms);
/* A cancel came before its request; and whether that was so. */
void gate_record_early_cancel(struct gate *g, const struct request_msg *m);
bool gate_has_early_cancel(const struct gate *g, const struct request_msg *m);

/* node/gate-move.c */
void gate_move_shards(struct gate *g, int64_t now);

/* node/gate-shard-wait.c */

/*
 * Keep a request for a shard that is ours by the log and that our server is
 * about to get. Returns false when that is not so, or there is no room.
 */
bool gate_shard_wait_begin(struct gate_request *r);
void gate_shard_wait_end(struct gate_request *r);
void gate_shard_wait_tick(struct gate *g, int64_t now_ms);

/* node/gate-confirm.c */

/*
 * Ask the entry of a request whether it is still wanted, where what takes it
 * back may have come and not been read. Returns false where it may be begun.
 */
bool gate_confirm_begin(struct gate_request *r);
/* The entry says that it is. */
void gate_on_confirmed(struct gate_request *r, const struct request_msg *m);
void gate_confirm_end(struct gate_request *r);
void gate_confirm_tick(struct gate *g, int64_t now_ms);

/* node/gate-link-wait.c */

/* Keep a request that could not be answered now; false when it can be. */
bool gate_link_wait_begin(struct gate_request *r);
void gate_link_wait_end(struct gate_request *r);
void gate_link_wait_tick(struct gate *g, int64_t now_ms);

bool gate_may_serve(struct gate_request *r, int64_t *fence,
		    int64_t *lease_end_ms);
void gate_enqueue(struct gate_request *r);
void gate_refuse(struct gate_request *r, int result);

/* Leave when the backend server was not reached several times in a row. */
void gate_check_connect_failures(struct gate *g);

/* Start what may be started. */
void gate_start_queued(struct gate *g);
/* The same when a slot has become free, after reading what came from entries. */
void gate_read_and_start(struct gate *g);
void gate_send(struct gate *g, GBytes *identity, struct request_msg *m);

/* node/gate-stop.c */

/* An entry has read the last words to it. */
void gate_on_stopping_ack(struct gate *g, const void *identity, size_t len);

/* node/gate-health.c: stalls and signs of life of the backend server. */
void gate_on_stall_timer(struct ev_loop *loop, ev_timer *w, int events);
void gate_probe(struct gate *g, int64_t now_ms);

#endif

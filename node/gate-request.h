#ifndef NODE_GATE_REQUEST_H
#define NODE_GATE_REQUEST_H

#define XXH_STATIC_LINKING_ONLY /* for XXH64_state_t as a member of a struct */
#include <xxhash.h>

#include "node/gate.h"

/* A request at the gate, and the functions that node/gate*.c share. */

enum gate_state {
	GATE_QUEUED,
	GATE_SHARD_WAIT, /* until our server may serve its shard */
	GATE_LINK_WAIT, /* until its entry is connected again */
	GATE_CONFIRM_WAIT, /* until its entry confirms that it is wanted */
	GATE_SUSPECT_WAIT, /* until no other suspect is at the server */
	GATE_IN_FLIGHT, /* handed to the backend server */
};

struct gate_request {
	struct gate *gate;
	GBytes *identity; /* of the entry's link; NULL: our own entry */
	/*
	 * That it was sent over, or taken over to since; 0: its entry does not
	 * number connections.
	 */
	uint64_t connection;
	uint64_t origin; /* identifies the process of its entry */
	uint64_t id;
	enum gate_state state;
	const char *method;
	char *strings; /* allocation that holds method, url and key */
	const char *url;
	const char *key;
	uint64_t id_hash; /* 0: no idempotency key */
	GPtrArray *headers;
	GByteArray *body;
	uint32_t class_index; /* UINT32_MAX: class not in our configuration */
	const char *attempt_id; /* that the answer has to repeat, or NULL */
	bool traced;
	uint64_t fingerprint; /* FINGERPRINT_NONE until it is needed */
	int64_t blocked_ms; /* how long it stays blocked; 0: not blocked */
	int64_t sent_at_ms; /* by the entry's clock */
	int64_t excess_delay_ms; /* transit time beyond the fastest message's */
	/* Latest time at which its entry is known to have wanted it; -1: none. */
	int64_t confirmed_at_ms;
	int64_t confirm_sent_at_ms; /* the last REQ_CONFIRM */
	uint64_t confirm_serial; /* of gate_origin, when it was sent */
	/*
	 * An earlier attempt of it was sent to the backend server, or may have
	 * been: it is sent over a new connection, on which no answer to that
	 * one can arrive.
	 */
	bool sent_before;
	bool is_first_send; /* its idempotency key was not sent before */
	bool repeatable;
	bool keyed;
	int64_t shard;
	int64_t arrived_at_ms;
	int64_t shard_wait_ms; /* time spent in GATE_SHARD_WAIT */
	int64_t started_at_us;
	int64_t deadline_ms;
	int64_t start_by_ms; /* refused if not started by then */
	int64_t resend_window_ms;
	int64_t target_ms;
	uint32_t priority;
	struct fetch fetch;
	double reserved_bytes; /* on our link, for its answer */
	GByteArray *unsent_answer; /* received, not sent to the entry yet */
	bool head_sent;
	bool server_refused; /* the backend server reports it as not run */
	bool cancelled; /* by its entry; the backend server completes it */
	int64_t answer_bytes; /* received so far */
	int64_t uncredited; /* bytes sent that the entry has not taken yet */
	XXH64_state_t digest; /* of the answer */
	GString *stored_answer; /* short answers only, to be replayed */
};

/* Flow control: bytes of an answer sent to an entry that it has not taken. */
#define GATE_WINDOW_BYTES (256 * 1024)

/* node/gate.c */
const struct header_names *gate_header_names(const struct gate_request *r);
/* Frees a request that is in no queue or list and not in flight any more. */
void gate_request_free(struct gate_request *r);
/* Sends a message about a request to its entry, unless it was cancelled. */
void gate_send_for(struct gate_request *r, struct request_msg *m);
/* Releases the link bytes of its answer; gate_enqueue() reserves them again. */
void gate_unreserve_link(struct gate_request *r);
/*
 * Removes a request from its queue or list, or cancels it at the backend
 * server. The caller then refuses, fails or frees it.
 */
void gate_detach(struct gate_request *r);
/* Answers that a request may have run, with a RESULT_ code, and frees it. */
void gate_fail(struct gate_request *r, int result);

/* node/gate-entries.c */

/* Records a request from an entry; for our own entry, NULL, does nothing. */
void gate_record_entry(struct gate *g, const void *identity, size_t len);
/*
 * Once the gate sends stop notices, records that a message was sent to an
 * entry. Entries acknowledge only the stop notice.
 */
void gate_record_sent(struct gate *g, GBytes *identity, bool is_stop_notice);
/*
 * What is known of the process that sent a message. Creates the record if there
 * is none.
 */
struct gate_origin *gate_get_origin(struct gate *g,
				    const struct request_msg *m);
/*
 * Updates the delay estimate of a message's sender. Returns how many ms longer
 * the message was in transit than the sender's fastest recent one.
 */
int64_t gate_update_delay(struct gate *g, const struct request_msg *m);
/*
 * The entry of a request has confirmed it without delay: the delays of its
 * later messages can be relied on, and requests of earlier connections are
 * refused from now on.
 */
void gate_on_delay_known(struct gate_request *r, const struct request_msg *m);
/* Whether that is so for a message's sender. */
bool gate_delay_is_known(struct gate *g, const struct request_msg *m);

/* node/gate-ids.c */

/*
 * Looks up a request's idempotency key. Returns false when the request has been
 * answered and freed, since the key is known or may have run elsewhere.
 */
bool gate_check_id(struct gate_request *r, const char *class_name,
		   const char *id);
/* Records how a request with an idempotency key ended. */
void gate_record_outcome(struct gate_request *r, int result);

/* node/gate-answer.c */
/* Bytes of the answer that have been sent to the entry. */
int64_t gate_sent_bytes(const struct gate_request *r);
extern const struct fetch_ops gate_fetch_ops;

/* node/gate-server-end.c */

/* Identifies what the request asks for, whatever its id. */
uint64_t gate_fingerprint(struct gate_request *r);
/* A request that is in flight ends without an answer. */
void gate_run_lost(struct gate_request *r);
/* A connection was refused: the server announced last has ended. */
void gate_server_refuses(struct gate *g);
/* A new instance is about to be announced: the one before has ended. */
void gate_server_replaced(struct gate *g);
/* A run was lost with its connection. Checks whether the server has ended. */
void gate_connection_lost(struct gate *g);
void gate_server_end_init(struct gate *g);
void gate_server_end_finish(struct gate *g);

/* node/gate-server-status.c */

/* Takes in what the server says of itself in the head of an answer. */
void gate_on_server_status(struct gate_request *r,
			   const GPtrArray *answer_headers);
/* Takes in what an entry remembers of it, sent with a request. */
void gate_on_entry_status(struct gate *g, const struct request_msg *m);
/* Drains the gate if the server has said that it leaves. */
void gate_check_leaving(struct gate *g);

/* node/gate-suspect.c */

/*
 * Whether a request may be sent to the backend server now: it is no suspect, or
 * no other suspect is there. Otherwise it is refused or made to wait.
 */
bool gate_suspect_admit(struct gate_request *r);
/* Removes a request from the waiting ones; the caller queues or refuses it. */
void gate_suspect_wait_end(struct gate_request *r);
/* Queues the next waiting request; refuses expired ones. */
void gate_suspect_tick(struct gate *g, int64_t now_ms);
/* The server has answered a request; status: of the answer. */
void gate_suspect_answered(struct gate_request *r, long status);

/* node/gate-cancel.c */

/*
 * Cancels a request on behalf of its entry. excess_delay_ms: of the cancel
 * message, for the event only.
 */
void gate_cancel_request(struct gate_request *r, int64_t excess_delay_ms);
/* Records a cancel that arrived before its request. */
void gate_record_early_cancel(struct gate *g, const struct request_msg *m);
/* Whether a cancel arrived before this request. */
bool gate_has_early_cancel(const struct gate *g, const struct request_msg *m);

/* node/gate-move.c */
/* Moves shards to a less utilized member when the balance asks for it. */
void gate_move_shards(struct gate *g, int64_t now);

/* node/gate-shard-wait.c */

/*
 * Makes a request wait for a shard that is ours by the log and that our server
 * is about to be granted. Returns false when that is not so, or when too many
 * requests wait already.
 */
bool gate_shard_wait_begin(struct gate_request *r);
/* Removes a request from the waiting ones; the caller queues or refuses it. */
void gate_shard_wait_end(struct gate_request *r);
/*
 * Queues requests that may be served by now; refuses those whose shard is not
 * expected any more or whose deadline is near.
 */
void gate_shard_wait_tick(struct gate *g, int64_t now_ms);

/* node/gate-confirm.c */

/*
 * Asks the entry of a request whether it still wants it, when a cancel may have
 * arrived without being read yet, and makes the request wait for the answer.
 * Returns false when it may be started at once.
 */
bool gate_confirm_begin(struct gate_request *r);
/* The entry has confirmed the request: queues it again. */
void gate_on_confirmed(struct gate_request *r, const struct request_msg *m);
/* Removes a request from the waiting ones; the caller queues or refuses it. */
void gate_confirm_end(struct gate_request *r);
/* Resends unanswered REQ_CONFIRM messages; refuses expired requests. */
void gate_confirm_tick(struct gate *g, int64_t now_ms);

/* node/gate-reconcile.c */

/*
 * An entry asks what became of the attempts that it sent over connections that
 * have ended.
 */
void gate_on_reconcile(struct gate *g, const void *identity, size_t len,
		       const struct request_msg *m);
/* Keeps the last message about a request, encoded, for the entry to ask for. */
void gate_keep_last_message(struct gate_request *r, const struct request_msg *m,
			    const GByteArray *encoded, bool unsent);
/* Sets up the tables of these messages. */
void gate_init_last_messages(struct gate *g);

/* node/gate-link-wait.c */

/*
 * Makes a request wait while its entry is not connected. Returns false when its
 * entry can be answered.
 */
bool gate_link_wait_begin(struct gate_request *r);
/* Removes a request from the waiting ones; the caller queues or refuses it. */
void gate_link_wait_end(struct gate_request *r);
/*
 * Queues requests whose entry is connected again. Refuses expired ones, and all
 * of them when this node accepts no requests.
 */
void gate_link_wait_tick(struct gate *g, int64_t now_ms);

/*
 * Whether a request may be sent to the backend server now. Sets the fence of
 * its shard and when our lease ends: 0 and INT64_MAX without a key.
 */
bool gate_may_serve(struct gate_request *r, int64_t *fence,
		    int64_t *lease_end_ms);
/* Queues a request or refuses it, and starts what may be started. */
void gate_enqueue(struct gate_request *r);
/* Answers that a request was not run, with a RESULT_ code, and frees it. */
void gate_refuse(struct gate_request *r, int result);

/* Drains the gate when several connection attempts in a row have failed. */
void gate_check_connect_failures(struct gate *g);

/* Starts queued requests as far as admission allows. */
void gate_start_queued(struct gate *g);
/* The same, after reading messages from entries that have arrived. */
void gate_read_and_start(struct gate *g);
/* Sends a message to an entry: our own when identity is NULL. */
void gate_send(struct gate *g, GBytes *identity, struct request_msg *m);

/* node/gate-stop.c */

/* Sends a stop notice to an entry. */
void gate_send_stopping(struct gate *g, GBytes *identity);
/* An entry has acknowledged the stop notice. */
void gate_on_stopping_ack(struct gate *g, const void *identity, size_t len);

/* node/gate-health.c */

/*
 * Checks the age of the oldest request in flight, to detect a stall. Called
 * while admission needs it.
 */
void gate_on_stall_timer(struct ev_loop *loop, ev_timer *w, int events);
/* Probes the backend server when it has not answered for a while. */
void gate_probe(struct gate *g, int64_t now_ms);

#endif

#ifndef NET_REQUEST_MSG_H
#define NET_REQUEST_MSG_H

#include <stdint.h>
#include <glib.h>

/*
 * Messages between the entry that received a request and the gate that serves
 * it. An answer is matched to its attempt by origin and id. Its last part
 * carries the length and digest of the body, so that a truncated answer, or one
 * with data of another request, is detected.
 */
enum request_msg_type {
	REQ_SUBMIT = 1, /* a complete request */
	REQ_CREDIT, /* flow control; number: bytes of the answer consumed */
	REQ_CANCEL, /* the entry needs no answer any more */
	REQ_HEAD, /* status, headers and first data of an answer */
	REQ_DATA, /* more data */
	REQ_REFUSED, /* not run; number: result, wait_ms: when to retry */
	REQ_FAILED, /* it or one of its id may have run; number: result */
	REQ_STALLED, /* backend server stalled; wait_ms: how long to avoid it */
	REQ_CONFIRM, /* is the answer still needed? sent_at_ms: gate's clock */
	/* It is; number: sent_at_ms of REQ_CONFIRM, status: the last id given */
	REQ_CONFIRMED,
	REQ_STOPPING, /* stop notice, after all answers; key: gate's address */
	REQ_STOPPING_ACK, /* it was read; the entry sends no more requests */
	/*
	 * The link is back: what became of the attempts sent before? number:
	 * the connection, data: an attempt list
	 */
	REQ_RECONCILE,
	/* number: as in REQ_RECONCILE, data: the same attempts */
	REQ_RECONCILED,
	REQ_N_TYPES,
};

#define REQ_FLAG_END 1 /* last part of the answer */
#define REQ_FLAG_KEYED 2 /* served only by the owner of the shard */
#define REQ_FLAG_REPEATABLE 4 /* submit: may run more than once */
#define REQ_FLAG_FIRST_SEND 8 /* submit: its id was never sent before */
#define REQ_FLAG_BY_SERVER 16 /* refused: by the backend server */
#define REQ_FLAG_TRACED 32 /* submit: log each event of the request */
#define REQ_FLAG_STARTED 64 /* failed: it was sent to a backend server */
/* submit: the server instance that status names has said that it leaves */
#define REQ_FLAG_SERVER_LEAVING 128
/*
 * submit: an earlier attempt of the request was sent to this gate's server, or
 * may have been: this one needs another connection to it
 */
#define REQ_FLAG_SENT_BEFORE 256

struct request_msg {
	enum request_msg_type type;
	uint64_t origin; /* identifies the entry's process */
	uint64_t id; /* number of the attempt, unique within origin */
	int64_t gate_member; /* member id of the gate that gets or sends this */
	int64_t shard;
	int64_t target_ms; /* submit: target for the answer, from sending on */
	int64_t priority; /* submit: 0 is the highest */
	int64_t resend_window_ms; /* submit: how long its id may be resent */
	int64_t sent_at_ms; /* submit: the entry's clock when it was sent */
	int64_t deadline_ms; /* submit: time left at sent_at_ms */
	int64_t flags;
	/* submit: hash of the server instance that limit is about, or 0 */
	int64_t status;
	int64_t number; /* submit: connection; data: its place in the answer */
	int64_t wait_ms;
	int64_t body_length; /* last part: length of the whole body */
	uint64_t body_digest; /* last part: XXH64 of the whole body */
	int64_t load; /* the gate's requests, in flight and queued */
	/*
	 * The gate's limit of requests in flight. submit: requests in 1,000 s
	 * that the gate's server took by its last answer, or 0
	 */
	int64_t limit;
	const char *method;
	const char *url;
	const char *class_name;
	const char *key;
	const char *idempotency_key;
	GPtrArray *headers; /* names and values, alternating, or NULL */
	const void *data; /* not owned; when decoded, part of the input */
	size_t len;
	GStringChunk *strings; /* memory of the decoded strings */
};

/* Append the encoded message to out. */
void request_msg_encode(const struct request_msg *m, GByteArray *out);

/*
 * Decode a message. m->data points into the input; all else in m is released by
 * request_msg_finish(). Returns RESULT_OK, or RESULT_INVALID with m cleared.
 */
int request_msg_decode(struct request_msg *m, const void *data, size_t len);

/* Release what decoding allocated. */
void request_msg_finish(struct request_msg *m);

#endif

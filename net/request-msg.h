#ifndef NET_REQUEST_MSG_H
#define NET_REQUEST_MSG_H

#include <stdint.h>
#include <glib.h>

/*
 * Messages between the entry that took a request and the gate that serves it.
 * An answer is matched by the entry's origin and the attempt's number; its end
 * carries length and digest, so that a cut or mixed-up answer shows.
 */
enum request_msg_type {
	REQ_SUBMIT = 1, /* a whole request */
	REQ_CREDIT, /* number: bytes of the answer taken */
	REQ_CANCEL, /* the entry wants no answer any more */
	REQ_HEAD, /* status, headers and the first data of an answer */
	REQ_DATA, /* more data */
	REQ_REFUSED, /* not run; number: result, wait_ms: when to come back */
	REQ_FAILED, /* may have run, or its id before; number: result */
	REQ_STALLED, /* the backend server stalls; wait_ms: avoid it so long */
	REQ_CONFIRM, /* is it still wanted? sent_ms: by the gate's clock */
	REQ_CONFIRMED, /* it is; number: sent_ms of the question */
	REQ_STOPPING, /* the gate has said all; to: its member, key: its address
		       */
	REQ_STOPPING_ACK, /* the entry has read that, and sends nothing more */
	REQ_N_TYPES,
};

#define REQ_FLAG_END 1 /* last part of the answer */
#define REQ_FLAG_KEYED 2 /* served only by the owner of the shard */
#define REQ_FLAG_REPEATABLE 4 /* asked: may run more than once */
#define REQ_FLAG_FIRST_SENDING 8 /* asked: its id was never sent before */
#define REQ_FLAG_BY_SERVER 16 /* refused: by the backend server itself */
#define REQ_FLAG_TRACED 32 /* asked: log all that happens to it */
#define REQ_FLAG_STARTED 64 /* failed: a backend server has got it */

struct request_msg {
	enum request_msg_type type;
	uint64_t origin; /* one entry process */
	uint64_t id; /* one attempt of it */
	int64_t gate_member; /* asked: the member meant */
	int64_t shard;
	int64_t target_ms; /* asked: time wanted, from now */
	int64_t priority; /* asked: 0 first */
	int64_t resend_window_ms; /* asked: how long its id may come again */
	int64_t sent_at_ms; /* asked: the entry's clock when sending */
	int64_t deadline_ms; /* asked: time left then */
	int64_t flags;
	int64_t status;
	int64_t number;
	int64_t wait_ms;
	int64_t body_length; /* end: length of the whole body */
	uint64_t body_digest; /* end: hash of the whole body */
	int64_t load; /* what the gate has, in flight and waiting */
	int64_t limit; /* and how much it works on at once */
	const char *method;
	const char *url;
	const char *class_name;
	const char *key;
	const char *idempotency_key;
	GPtrArray *headers; /* name and value in turn, or NULL */
	const void *data; /* not owned; into the message when decoded */
	size_t len;
	GStringChunk *strings; /* decoded strings */
};

void request_msg_encode(const struct request_msg *m, GByteArray *out);

/*
 * Decode; data points into the input, the rest is owned until
 * request_msg_finish(). Returns RESULT_OK or RESULT_INVALID.
 */
int request_msg_decode(struct request_msg *m, const void *data, size_t len);
void request_msg_finish(struct request_msg *m);

#endif

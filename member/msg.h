#ifndef MEMBER_MSG_H
#define MEMBER_MSG_H

#include <stdint.h>
#include <glib.h>

/*
 * Messages between the members. All share one shape, so that one encoder and
 * one decoder serve them all; each type's use of the fields stands beside it.
 */
enum member_msg_type {
	/*
	 * A member asks a witness to vouch. seq: its clock when sending;
	 * flags: the process asked.
	 */
	MSG_VOUCH_REQUEST = 1,
	/*
	 * The witness vouches. seq: echoed; list: ids known to have stopped;
	 * flags: the witness's process.
	 */
	MSG_VOUCH,
	/*
	 * A witness promises never to vouch for subject again. offset: the
	 * witness's applied offset when it first promised; flags: the
	 * witness's process.
	 */
	MSG_STOP_PROMISE,
	/*
	 * The subject, which is the sender, has stopped of its own accord.
	 * flags: the process told.
	 */
	MSG_RESIGN,
	/* Asks for the records from offset on. */
	MSG_RECORDS_REQUEST,
	/* Records from offset on, as JSON in text. flags: SENDER_*. */
	MSG_RECORDS,
	/*
	 * A whole state as JSON in text, instead of records too old to have.
	 * flags: SENDER_*.
	 */
	MSG_STATE,
	/*
	 * The new owner asks who still serves. offset: its applied offset;
	 * list: shards of the sender's service.
	 */
	MSG_RELEASE_REQUEST,
	/*
	 * The sender does not serve the shards in list and will not, as of
	 * offset. flags: RELEASE_*. ids: four numbers an entry, see
	 * struct seen_id in gate/ids.h.
	 */
	MSG_RELEASE,
	/* An heir has the ids of a leaving owner's shards. */
	MSG_IDS_ACK,
	MSG_N_TYPES,
};

/* The sender is current, as member_is_current() tells. */
#define SENDER_IS_CURRENT 1
/* The sender waits for news at the log, or hears from one who does. */
#define SENDER_FOLLOWS_LOG 2

/* No successor of the sender's can be serving either. */
#define RELEASE_CLEARS_SUCCESSOR 1
/* The ids seen for these shards come along. */
#define RELEASE_HAS_IDS 2

struct member_msg {
	enum member_msg_type type;
	int64_t from; /* sender's member id, 0 not a member */
	int64_t to; /* addressee's member id, 0 whoever listens there */
	int64_t subject;
	int64_t requested_at_ms;
	int64_t applied; /* sender's applied offset */
	int64_t offset;
	int64_t flags;
	GArray *list; /* of int64_t, or NULL */
	GArray *ids; /* of int64_t, or NULL */
	GString *text; /* or NULL */
};

#define MSG_MAX_LIST 65536
#define MSG_MAX_IDS (4 * 65536)
#define MSG_MAX_TEXT (64 * 1024 * 1024)

void member_msg_init(struct member_msg *msg, enum member_msg_type type);
void member_msg_finish(struct member_msg *msg);

/* Append the encoded message to out. */
void member_msg_encode(const struct member_msg *msg, GByteArray *out);

/*
 * Decode into an uninitialised msg. Returns RESULT_OK, after which the caller
 * finishes msg, or RESULT_INVALID for anything malformed.
 */
int member_msg_decode(struct member_msg *msg, const void *data, size_t len);

#endif

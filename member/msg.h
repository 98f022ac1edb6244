#ifndef MEMBER_MSG_H
#define MEMBER_MSG_H

#include <stdint.h>
#include <glib.h>

/*
 * Messages between members. All types have the same fields, so that one encoder
 * and one decoder are enough. The comment on each type says which fields it
 * uses, and for what.
 */
enum member_msg_type {
	/*
	 * A member asks a witness to vouch. requested_at_ms: the member's clock
	 * when sending; flags: the witness's process.
	 */
	MSG_VOUCH_REQUEST = 1,
	/*
	 * The witness vouches. requested_at_ms: that of the request; list: ids
	 * of members known to have stopped; flags: the witness's process.
	 */
	MSG_VOUCH,
	/*
	 * A witness promises never to vouch for subject again. offset: the
	 * witness's applied offset when it made the promise; flags: the
	 * witness's process.
	 */
	MSG_STOP_PROMISE,
	/*
	 * The sender has stopped serving and resigns, so that the witness need
	 * not wait for the lease to end. flags: the witness's process.
	 */
	MSG_RESIGN,
	/* The sender asks for the records from offset on. */
	MSG_RECORDS_REQUEST,
	/* Records from offset on, as JSON in text. flags: SENDER_*. */
	MSG_RECORDS,
	/*
	 * The complete state at offset as JSON in text, when the receiver has
	 * no records yet or the sender no longer has all those asked for.
	 * flags: SENDER_*.
	 */
	MSG_STATE,
	/*
	 * The new owner of shards asks a predecessor whether it still serves
	 * them. offset: the sender's applied offset; list: shards of its
	 * service.
	 */
	MSG_RELEASE_REQUEST,
	/*
	 * The sender does not serve the shards in list, and the records up to
	 * offset give it no right to. flags: RELEASE_*; ids: request ids seen
	 * on these shards, four numbers an entry, see struct seen_id in
	 * gate/ids.h.
	 */
	MSG_RELEASE,
	/* A successor acknowledges the ids of a leaving owner's shards. */
	MSG_IDS_ACK,
	/*
	 * A change of the operators that the log lacks is in force at the
	 * sender. offset: its source; flags: CHANGE_OFFER_AGAIN.
	 */
	MSG_CHANGE_OFFER,
	/*
	 * The sender asks for a change whose source is offset at least.
	 * subject: the sender's configuration version; flags: CHANGE_IS_WHOLE.
	 */
	MSG_CHANGE_REQUEST,
	/*
	 * What changes from version subject on, as JSON in text. offset: its
	 * source; flags: CHANGE_IS_WHOLE; requested_at_ms: how long ago it was
	 * read in the operators' stream.
	 */
	MSG_CHANGE,
	MSG_N_TYPES,
};

/* member_is_current() is true for the sender. */
#define SENDER_IS_CURRENT 1
/* The sender reads the log as it grows, or gets its records from a reader. */
#define SENDER_FOLLOWS_LOG 2

/* The receiver answers with an offer if it has the change. */
#define CHANGE_OFFER_AGAIN 1
/* The text is, or is to be, the whole document. */
#define CHANGE_IS_WHOLE 1

/* No successor of the sender can be serving these shards either. */
#define RELEASE_INCLUDES_SUCCESSOR 1
/* The field ids is complete for these shards. */
#define RELEASE_HAS_IDS 2

struct member_msg {
	enum member_msg_type type;
	int64_t from; /* sender's member id, 0 not a member */
	int64_t to; /* receiver's member id, 0 any receiver */
	int64_t subject; /* id of the member that the message is about */
	int64_t requested_at_ms;
	int64_t applied; /* sender's applied offset */
	int64_t offset;
	int64_t flags; /* flags, or a process id; depends on the type */
	GArray *list; /* of int64_t, or NULL */
	GArray *ids; /* of int64_t, or NULL */
	GString *text; /* or NULL */
};

/* Limits of a decoded message: numbers in list and ids, bytes of text. */
#define MSG_MAX_LIST 65536
#define MSG_MAX_IDS (4 * 65536)
#define MSG_MAX_TEXT (64 * 1024 * 1024)

/* Initialise a message of one type, with all other fields 0 or NULL. */
void member_msg_init(struct member_msg *msg, enum member_msg_type type);
/* Free the lists and the text of a message. */
void member_msg_finish(struct member_msg *msg);

/* Append the encoded message to out. */
void member_msg_encode(const struct member_msg *msg, GByteArray *out);

/*
 * Decode data into msg, which need not be initialised. Returns RESULT_OK, after
 * which member_msg_finish() must be called on msg, or RESULT_INVALID when data
 * is malformed or exceeds a limit.
 */
int member_msg_decode(struct member_msg *msg, const void *data, size_t len);

#endif

#ifndef NET_ANSWER_H
#define NET_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <http_parser.h>

/*
 * Decides whether the bytes received for a request are an answer. They are one
 * only once the head was received whole and accepted, and the body whole by its
 * framing. Whatever else is received, and whatever ends it, is none.
 *
 * No I/O: the HTTP client passes on the lines of the head and the bytes of the
 * body as it receives them, chunk sizes and trailers included.
 */

/* Heads and interim answers before them may have this many bytes. */
#define ANSWER_MAX_HEAD_BYTES (64 * 1024)
/* As many as a message between nodes carries. */
#define ANSWER_MAX_HEADERS 128
/* Chunk sizes, extensions and trailers may have this many bytes. */
#define ANSWER_MAX_FRAMING_BYTES (256 * 1024)

enum answer_state {
	ANSWER_HEAD, /* the head is not complete */
	ANSWER_BODY, /* the head was accepted, the body is not complete */
	ANSWER_WHOLE,
	ANSWER_REFUSED, /* what is received is no answer to the request */
};

/* Why what is received is no answer: name, text for logs. */
#define ANSWER_FAULT_LIST(X)            \
	X(none, "none")                 \
	X(other, "not to this sending") \
	X(unsigned, "unsigned")         \
	X(head_cut, "head broken off")  \
	X(body_cut, "body broken off")  \
	X(protocol, "no protocol")      \
	X(endless, "too long")          \
	X(cancelled, "not wanted any more")

enum answer_fault {
#define ANSWER_FAULT_ENUM(name, text) ANSWER_FAULT_##name,
	ANSWER_FAULT_LIST(ANSWER_FAULT_ENUM)
#undef ANSWER_FAULT_ENUM
	N_ANSWER_FAULTS
};

struct answer;

struct answer_ops {
	/*
	 * The head is whole: status and headers are set. Returns
	 * ANSWER_FAULT_none to accept it.
	 */
	enum answer_fault (*check_head)(struct answer *a);
	/*
	 * Part of the body. Returns ANSWER_FAULT_none, or why the answer is
	 * refused.
	 */
	enum answer_fault (*on_body)(struct answer *a, const char *data,
				     size_t len);
};

struct answer {
	enum answer_state state;
	enum answer_fault fault;
	bool is_head; /* the request was a HEAD */
	bool in_head; /* the first line of the head has been received */
	bool surplus; /* bytes followed the whole answer */
	bool is_chunked;
	long status; /* of the final head, 0 until that is whole */
	GPtrArray *headers; /* names and values, alternating; no trailers */
	int64_t head_bytes;
	int64_t body_bytes; /* without chunk sizes, extensions and trailers */
	int64_t framed_bytes; /* with these */
	const char *unchecked; /* of the bytes being parsed: framing follows */
	uint8_t framing_matched; /* of a status line within the framing */
	char framing_last; /* byte of the framing */
	bool after_chunk; /* its data was the last that was received */
	http_parser parser;
	const struct answer_ops *ops;
	void *user;
};

/* Begin an answer to a request with this method. */
void answer_init(struct answer *a, const char *method,
		 const struct answer_ops *ops, void *user);

void answer_finish(struct answer *a);

/*
 * Take in a line of a head, with its line end. Returns false if the connection
 * must be closed.
 */
bool answer_add_line(struct answer *a, const char *line, size_t len);

/*
 * Take in bytes that follow the head, as they are framed. Returns false if the
 * connection must be closed.
 */
bool answer_add_body(struct answer *a, const char *data, size_t len);

/*
 * Nothing more is received. at_end: the connection was ended in order (FIN), or
 * the HTTP client has seen the end of the answer.
 */
void answer_end(struct answer *a, bool at_end);

/* Refuse the answer, unless it is refused already. */
void answer_refuse(struct answer *a, enum answer_fault fault);

/* The text of a fault for logs. */
const char *answer_fault_text(enum answer_fault fault);

/*
 * Tests only: true when whatever the HTTP client takes for an answer is to be
 * one. Defined when built with RULE_SWITCHES.
 */
extern bool answer_rules_disabled;

#endif

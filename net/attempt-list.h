#ifndef NET_ATTEMPT_LIST_H
#define NET_ATTEMPT_LIST_H

#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/*
 * The attempts that REQ_RECONCILE asks about and REQ_RECONCILED answers for, as
 * the data of these messages.
 */
struct listed_attempt {
	uint64_t id;
	int64_t process; /* that it was sent to, by member::process */
	uint64_t connection; /* that it was sent over */
	/*
	 * Of the answer's body: what the caller has taken in REQ_RECONCILE,
	 * what the gate has sent in REQ_RECONCILED.
	 */
	int64_t bytes;
	int64_t state; /* REQ_RECONCILED: enum reconcile_state */
};

/* Appends the encoded list of struct listed_attempt to out. */
void attempt_list_encode(const GArray *list, GByteArray *out);

/* Returns the decoded list, or NULL if the data is malformed. */
GArray *attempt_list_decode(const void *data, size_t len);

#endif

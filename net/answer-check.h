#ifndef NET_ANSWER_CHECK_H
#define NET_ANSWER_CHECK_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "net/answer.h"
#include "net/headers.h"

/*
 * A faulty server may send a second answer to a request late, where the answer
 * to the next request on the connection is expected, or bytes that belong to
 * another answer. Forwarded, they would reach the wrong caller.
 */

/*
 * Whether the head of an answer may be one to this attempt. An attempt without
 * an id (NULL) takes only answers without one. A head with two ids that differ
 * is to no attempt. Attempts under the same id
 * cannot be told apart: they must not share a connection, see
 * plan_server_may_have_it().
 */
bool answer_is_for(const GPtrArray *headers, const struct header_names *names,
		   const char *attempt_id);

/*
 * Tests only: true when answer_is_for() is to accept any answer. Defined when
 * built with RULE_SWITCHES.
 */
extern bool answer_check_disabled;

/*
 * Whether a successful answer is the server's: it has one signature, if servers
 * here send any, and is not encoded.
 */
bool answer_is_signed(const GPtrArray *headers,
		      const struct header_names *names, long status);

/* Why a head is none of an answer to this attempt, ANSWER_FAULT_none if it is. */
enum answer_fault answer_check_head(const GPtrArray *headers,
				    const struct header_names *names,
				    const char *attempt_id, long status);

#define ANSWER_LENGTH_NONE (-1)
#define ANSWER_LENGTH_IN_DOUBT (-2) /* no number, or several that differ */

/* The length of the body that a head states, or ANSWER_LENGTH_*. */
int64_t answer_length(const GPtrArray *headers);

/* Whether an answer with this status has a body. is_head: to a HEAD. */
bool answer_has_body(bool is_head, long status);

#endif

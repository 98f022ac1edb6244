#ifndef BUILTIN_CLIENT_H
#define BUILTIN_CLIENT_H

#include <stdint.h>
#include <glib.h>
#include <jansson.h>

/* Answer to a request to the operator address of a node. */
struct client_answer {
	long status;
	int64_t next; /* value of the Next header, -1 if absent */
	GString *body;
};

/*
 * Send a request to the node at address: a POST with the JSON body, or a GET if
 * body is NULL. Returns RESULT_OK with the answer in out, for
 * client_answer_finish(), or RESULT_UNREACHABLE after printing the error.
 */
int client_request(const char *address, const char *path, const json_t *body,
		   struct client_answer *out);
void client_answer_finish(struct client_answer *a);

/*
 * Fetch the configuration in force and its version. Returns a new reference, or
 * NULL after printing the error.
 */
json_t *client_configuration(const char *address, int64_t *version);

/*
 * Publish a document that is based on version base, and print the outcome.
 * Returns the exit status; EXIT_CONFLICT if base is no longer in force.
 */
int client_publish(const char *address, int64_t base, json_t *document,
		   const char *reason);

#endif

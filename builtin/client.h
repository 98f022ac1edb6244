#ifndef BUILTIN_CLIENT_H
#define BUILTIN_CLIENT_H

#include <stdint.h>
#include <glib.h>
#include <jansson.h>

/* An operator's request to one node's operator side. */
struct client_answer {
	long status;
	int64_t next; /* the Next header, -1 absent */
	GString *body;
};

/*
 * Ask the node at address; body NULL asks with GET. Returns RESULT_OK or
 * RESULT_UNREACHABLE after telling why on standard error.
 */
int client_request(const char *address, const char *path, const json_t *body,
		   struct client_answer *out);
void client_answer_finish(struct client_answer *a);

/* Fetch the configuration in force; NULL after telling why. */
json_t *client_configuration(const char *address, int64_t *version);

/*
 * Publish a document based on a version; prints the outcome and returns the
 * exit status.
 */
int client_publish(const char *address, int64_t base, json_t *document,
		   const char *reason);

#endif

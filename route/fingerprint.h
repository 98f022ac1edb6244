#ifndef ROUTE_FINGERPRINT_H
#define ROUTE_FINGERPRINT_H

#include <stddef.h>
#include <stdint.h>

/*
 * Identifies what a request asks for, so that it is recognised when it is sent
 * again with another request id, through any node.
 */

/* The parts that count. Strings are "" where a request lacks them, not NULL. */
struct fingerprint_parts {
	const char *method;
	const char *host; /* the Host header */
	const char *url; /* path and query */
	const char *key; /* of its service */
	const void *body;
	size_t len;
};

#define FINGERPRINT_NONE 0

/* Returns the fingerprint, never FINGERPRINT_NONE. */
uint64_t request_fingerprint(const struct fingerprint_parts *p);

#endif

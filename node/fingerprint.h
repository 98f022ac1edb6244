#ifndef NODE_FINGERPRINT_H
#define NODE_FINGERPRINT_H

#include <stdint.h>
#include <glib.h>

/*
 * The fingerprint of a request, the same at each entry and each gate. key: ""
 * if it has none.
 */
uint64_t node_fingerprint(const char *method, const char *url, const char *key,
			  const GPtrArray *headers, const GByteArray *body);

#endif

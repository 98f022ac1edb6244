#ifndef SETTINGS_MATCH_H
#define SETTINGS_MATCH_H

#include <stdint.h>

/*
 * Index that finds the class of a request by its host and the longest matching
 * path. The search time grows with the logarithm of the number of classes.
 */

struct class_settings;

struct match_index {
	uint32_t *order; /* indices of the classes by host, path, method */
	/*
	 * For each position in order: the position of the class of the same
	 * host whose path is the longest prefix of this one's, or MATCH_NONE.
	 */
	uint32_t *parent;
	uint32_t n;
};

#define MATCH_NONE UINT32_MAX

/*
 * Build the index of n classes in m, which must not hold another one. It holds
 * indices, so it is valid only while the classes keep their order.
 */
void match_index_init(struct match_index *m,
		      const struct class_settings *classes, uint32_t n);
/* Copies the index of classes that keep their order. */
void match_index_copy(struct match_index *m, const struct match_index *from);
void match_index_finish(struct match_index *m);

/*
 * Returns the class whose path is the longest prefix of the request's path,
 * among the classes for its host and those for any host, or NULL if there is
 * none. Where paths are equal, a class that names the host precedes one that
 * does not, then one that names the method, then the one that is listed last.
 * host is the Host header as received, or NULL.
 */
const struct class_settings *
match_index_find(const struct match_index *m,
		 const struct class_settings *classes, const char *method,
		 const char *host, const char *path);

#endif

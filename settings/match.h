#ifndef SETTINGS_MATCH_H
#define SETTINGS_MATCH_H

#include <stdint.h>

/*
 * Finds the class of a request by host and longest path, in a time that grows
 * with the logarithm of the number of classes.
 */

struct class_settings;

struct match_index {
	uint32_t *order; /* positions of the classes by host, path, method */
	/* By place in the order: the place of the longest path that begins
	 * this one's, MATCH_NONE there is none. */
	uint32_t *parent;
	uint32_t n;
};

#define MATCH_NONE UINT32_MAX

/* Build into zeroed or finished memory; the classes must not move meanwhile. */
void match_index_init(struct match_index *m,
		      const struct class_settings *classes, uint32_t n);
void match_index_finish(struct match_index *m);

/*
 * The class with the longest path that begins the request's, among those of
 * its host and those of any; of equals the one that names the host, then the
 * one that names the method. NULL when there is none.
 * host: the Host header as it came, or NULL.
 */
const struct class_settings *
match_index_find(const struct match_index *m,
		 const struct class_settings *classes, const char *method,
		 const char *host, const char *path);

#endif

#ifndef SETTINGS_CHANGES_H
#define SETTINGS_CHANGES_H

#include "settings/configuration.h"

/*
 * The difference between two configuration documents, so that a change costs
 * each host what it changes and not what there is:
 *
 *   version  the operators' version that they lead to
 *   set      the members of the document that differ, but for the classes
 *   classes  the classes that are new or differ
 *   removed  [method, host, path] of those that are gone
 *
 * A class is known by its method, host and path.
 */

/*
 * What leads from a document (NULL: none yet) to another, a new object. When
 * the classes that differ or are gone could take more than max_bytes, once
 * compressed, only as many as cannot, and *whole is false: applied, they leave
 * a document from which the next ones lead on.
 */
json_t *changes_between(const json_t *from, const json_t *to, size_t max_bytes,
			bool *complete);

/*
 * Apply changes to a document and to what was read from it. On RESULT_INVALID,
 * with every problem named in c, both are as before.
 */
int changes_apply(struct configuration *cfg, json_t **doc,
		  const json_t *changes, struct json_check *c);

#endif

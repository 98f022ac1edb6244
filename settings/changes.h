#ifndef SETTINGS_CHANGES_H
#define SETTINGS_CHANGES_H

#include "settings/configuration.h"

/*
 * The difference between two configuration documents. Log records carry it in
 * place of the document, so that the traffic and work that a change costs each
 * host grow with the size of the change and not of the document. Members:
 *
 *   version  the operators' version that the changes lead to
 *   set      the members of the document that differ, apart from the classes
 *   classes  the classes that are new or differ
 *   removed  [method, host, path] of each class that was removed
 *
 * A class is identified by its method, host and path.
 */

/*
 * Returns the changes from one document (NULL: none yet) to another, as a new
 * object. If the changed and removed classes could take more than max_bytes
 * after compression, only as many as fit are included, but at least one, and
 * *complete is set to false. The caller then applies these changes and calls
 * again with the resulting document to get the next ones.
 */
json_t *changes_between(const json_t *from, const json_t *to, size_t max_bytes,
			bool *complete);

/*
 * Apply changes to a document and to the configuration that was read from it.
 * Returns RESULT_OK, or RESULT_INVALID with every problem listed in c; both are
 * then unchanged.
 */
int changes_apply(struct configuration *cfg, json_t **doc,
		  const json_t *changes, struct json_check *c);

#endif

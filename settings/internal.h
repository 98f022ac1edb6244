#ifndef SETTINGS_INTERNAL_H
#define SETTINGS_INTERNAL_H

#include "settings/configuration.h"

/* Functions shared between the files of settings/ only. */

/*
 * Read one class into k; problems are added to c. cfg holds the services that
 * the class may name. Call class_finish() even after problems.
 */
void class_read(struct class_settings *k, const struct configuration *cfg,
		const json_t *obj, const char *path, struct json_check *c);
void class_finish(struct class_settings *k);

#endif

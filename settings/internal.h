#ifndef SETTINGS_INTERNAL_H
#define SETTINGS_INTERNAL_H

#include "settings/configuration.h"

/* Shared between the files of settings/ only. */

/* Read one class, whose services are those of cfg; finish it in either case. */
void class_read(struct class_settings *k, const struct configuration *cfg,
		const json_t *obj, const char *path, struct json_check *c);
void class_finish(struct class_settings *k);

#endif

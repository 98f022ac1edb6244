#include <stdio.h>

#include "builtin/builtin.h"
#include "builtin/options.h"
#include "settings/settings.h"
#include "util/result.h"

static const char usage[] =
	"briargrade check --settings FILE | --configuration FILE";

static int check(const struct options *o, GString *errors)
{
	struct settings settings;
	json_t *doc = NULL;
	int err;

	if (o->settings)
		return settings_read(&settings, o->settings, errors);
	err = settings_read_document(o->configuration, &doc, errors);
	json_decref(doc);
	return err;
}

/* Check a settings or configuration file without running a node. */
int cmd_check(int argc, char **argv)
{
	GString *errors;
	struct options o;
	int err;
	int status = options_read(
		&o, argc, argv, OPTION_SETTINGS | OPTION_CONFIGURATION, usage);

	if (status >= 0)
		return status;
	if (!o.settings == !o.configuration || o.n_args)
		return options_usage(usage);
	errors = g_string_new(NULL);
	err = check(&o, errors);
	fputs(errors->str, stderr);
	if (!err)
		printf("no problems found\n");
	g_string_free(errors, TRUE);
	return err ? EXIT_USAGE : EXIT_OK;
}

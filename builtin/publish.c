#include <stdio.h>

#include "builtin/builtin.h"
#include "builtin/client.h"
#include "builtin/options.h"
#include "settings/settings.h"

static const char usage[] =
	"briargrade publish [--node ADDRESS] [--base VERSION] "
	"[--reason TEXT] FILE";

static int64_t fetch_version_in_force(const char *node, int64_t *version)
{
	struct client_answer a;
	json_t *o;

	if (client_request(node, "/configuration", NULL, &a))
		return -1;
	o = json_loadb(a.body->str, a.body->len, 0, NULL);
	*version = json_integer_value(json_object_get(o, "version"));
	json_decref(o);
	client_answer_finish(&a);
	return 0;
}

/* Publish a whole configuration document from a file. */
int cmd_publish(int argc, char **argv)
{
	GString *errors;
	struct options o;
	json_t *doc;
	int status = options_read(&o, argc, argv,
				  OPTION_NODE | OPTION_BASE | OPTION_REASON,
				  usage);

	if (status >= 0)
		return status;
	if (o.n_args != 1)
		return options_usage(usage);
	errors = g_string_new(NULL);
	if (settings_read_document(o.args[0], &doc, errors)) {
		fputs(errors->str, stderr);
		g_string_free(errors, TRUE);
		return EXIT_USAGE;
	}
	g_string_free(errors, TRUE);
	if (!o.has_base && fetch_version_in_force(o.node, &o.base))
		status = EXIT_FAILED;
	else
		status = client_publish(o.node, o.base, doc, o.reason);
	json_decref(doc);
	return status;
}

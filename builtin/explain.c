#include <stdio.h>

#include "builtin/builtin.h"
#include "builtin/client.h"
#include "builtin/options.h"
#include "util/result.h"

static const char usage[] = "briargrade explain [--node ADDRESS] SERVICE KEY";

/* Print which node serves a key, since when and why. */
int cmd_explain(int argc, char **argv)
{
	g_autofree char *key = NULL;
	g_autofree char *path = NULL;
	struct client_answer a;
	struct options o;
	int status = options_read(&o, argc, argv, OPTION_NODE, usage);

	if (status >= 0)
		return status;
	if (o.n_args != 2)
		return options_usage(usage);
	key = g_uri_escape_string(o.args[1], NULL, FALSE);
	path = g_strdup_printf("/explain?service=%s&key=%s", o.args[0], key);
	if (client_request(o.node, path, NULL, &a))
		return EXIT_FAILED;
	printf("%s\n", a.body->str);
	status = a.status == 200 ? EXIT_OK : EXIT_FAILED;
	client_answer_finish(&a);
	return status;
}

#include <stdio.h>

#include "builtin/builtin.h"
#include "builtin/client.h"
#include "builtin/options.h"
#include "util/result.h"

static const char usage[] = "briargrade declare-lost [--node ADDRESS] HOST";

/*
 * Declare a host lost for good. This is needed when a majority of its witnesses
 * is lost with it, because no other node can then prove that it stopped.
 */
int cmd_declare_lost(int argc, char **argv)
{
	struct client_answer a;
	struct options o;
	json_t *body;
	int status = options_read(&o, argc, argv, OPTION_NODE, usage);

	if (status >= 0)
		return status;
	if (o.n_args != 1)
		return options_usage(usage);
	body = json_pack("{s:s}", "host", o.args[0]);
	status = client_request(o.node, "/declare-lost", body, &a);
	json_decref(body);
	if (status)
		return EXIT_FAILED;
	printf("%s\n", a.body->str);
	status = a.status == 202 ? EXIT_OK : EXIT_FAILED;
	client_answer_finish(&a);
	return status;
}

#include <inttypes.h>
#include <stdio.h>

#include "builtin/builtin.h"
#include "builtin/client.h"
#include "builtin/options.h"

static const char usage[] =
	"briargrade quarantine [--node ADDRESS] [--reason TEXT] [FINGERPRINT]";

/*
 * List the requests under which backend servers have ended, or let one run
 * again.
 */
int cmd_quarantine(int argc, char **argv)
{
	struct client_answer a;
	struct options o;
	json_t *body = NULL;
	int status = options_read(&o, argc, argv, OPTION_NODE | OPTION_REASON,
				  usage);

	if (status >= 0)
		return status;
	if (o.n_args > 1)
		return options_usage(usage);
	if (o.n_args)
		body = json_pack("{s:s,s:s,s:s}", "clear", o.args[0], "by",
				 g_get_user_name(), "reason",
				 o.reason ? o.reason : "cleared");
	status = client_request(o.node, "/quarantine", body, &a);
	json_decref(body);
	if (status)
		return EXIT_FAILED;
	printf("%s\n", a.body->str);
	status = a.status < 300 ? EXIT_OK : EXIT_FAILED;
	client_answer_finish(&a);
	return status;
}

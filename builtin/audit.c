#include <inttypes.h>
#include <stdio.h>

#include "builtin/builtin.h"
#include "builtin/client.h"
#include "builtin/options.h"
#include "util/result.h"

static const char usage[] = "briargrade audit [--node ADDRESS] [--follow]";

#define FOLLOW_US 500000

/*
 * Print the changes from a position on. Returns the position after them, or -1
 * on failure.
 */
static int64_t print_changes_from(const char *node, int64_t from)
{
	g_autofree char *path = g_strdup_printf("/audit?from=%" PRId64, from);
	struct client_answer a;
	int64_t next;

	if (client_request(node, path, NULL, &a))
		return -1;
	fputs(a.body->str, stdout);
	fflush(stdout);
	next = a.next;
	client_answer_finish(&a);
	return next;
}

/* Print the audit trail. */
int cmd_audit(int argc, char **argv)
{
	struct options o;
	int64_t next = 0;
	int status = options_read(&o, argc, argv, OPTION_NODE | OPTION_FOLLOW,
				  usage);

	if (status >= 0)
		return status;
	if (o.n_args)
		return options_usage(usage);
	do {
		next = print_changes_from(o.node, next);
		if (o.follow)
			g_usleep(FOLLOW_US);
	} while (o.follow && next >= 0);
	return next < 0 ? EXIT_FAILED : EXIT_OK;
}

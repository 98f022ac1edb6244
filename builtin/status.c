#include <stdio.h>

#include "builtin/builtin.h"
#include "builtin/client.h"
#include "builtin/options.h"
#include "util/result.h"

static const char usage[] = "briargrade status [--node ADDRESS] [--json]";

static const char *text(const json_t *o, const char *name)
{
	return json_string_value(json_object_get(o, name));
}

static long long number(const json_t *o, const char *name)
{
	return json_integer_value(json_object_get(o, name));
}

static const char *yes(const json_t *o, const char *name)
{
	return json_is_true(json_object_get(o, name)) ? "yes" : "no";
}

static void print_members(const json_t *o)
{
	json_t *m;
	size_t i;

	printf("%-6s %-20s %-12s %-12s %6s %s\n", "MEMBER", "HOST",
	       "DATA CENTRE", "SERVICE", "SHARDS", "STATE");
	json_array_foreach(json_object_get(o, "members"), i, m)
		printf("%-6lld %-20s %-12s %-12s %6lld %s\n", number(m, "id"),
		       text(m, "host"), text(m, "data_centre"),
		       text(m, "service"), number(m, "shards"),
		       json_is_true(json_object_get(m, "known_stopped"))
			       ? "stopped"
		       : json_is_true(json_object_get(m, "takes_work"))
			       ? "in service"
			       : "out of service");
}

static void print_status(const json_t *o)
{
	json_t *value;
	const char *name;

	printf("host %s in %s, service %s, member %lld\n", text(o, "host"),
	       text(o, "data_centre"), text(o, "service"), number(o, "member"));
	printf("lease %s, log up %s, shards held %lld\n", yes(o, "lease"),
	       yes(o, "log_up"), number(o, "shards_held"));
	printf("configuration version %lld, log offset %lld\n\n",
	       number(o, "configuration_version"), number(o, "applied"));
	print_members(o);
	printf("\n");
	json_object_foreach(json_object_get(o, "counters"), name,
			    value) if (json_integer_value(value))
		printf("%s %lld\n", name, (long long)json_integer_value(value));
}

/* Print the fleet's state as one node has it. */
int cmd_status(int argc, char **argv)
{
	struct client_answer a;
	struct options o;
	json_t *answer;
	int status =
		options_read(&o, argc, argv, OPTION_NODE | OPTION_JSON, usage);

	if (status >= 0)
		return status;
	if (o.n_args)
		return options_usage(usage);
	if (client_request(o.node, "/status", NULL, &a))
		return EXIT_FAILED;
	answer = json_loadb(a.body->str, a.body->len, 0, NULL);
	if (o.json)
		printf("%s\n", a.body->str);
	else
		print_status(answer);
	json_decref(answer);
	client_answer_finish(&a);
	return EXIT_OK;
}

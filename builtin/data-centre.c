#include <stdio.h>
#include <string.h>

#include "builtin/builtin.h"
#include "builtin/client.h"
#include "builtin/options.h"

static const char usage[] =
	"briargrade data-centre [--node ADDRESS] [--reason TEXT] out|in NAME";

static json_t *find_named(json_t *list, const char *name)
{
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		const char *s =
			json_string_value(json_object_get(item, "name"));

		if (s && !strcmp(s, name))
			return item;
	}
	return NULL;
}

/* Take a data centre out of service or put it back into service. */
int cmd_data_centre(int argc, char **argv)
{
	struct options o;
	json_t *doc;
	json_t *dc;
	int64_t version;
	int status = options_read(&o, argc, argv, OPTION_NODE | OPTION_REASON,
				  usage);

	if (status >= 0)
		return status;
	if (o.n_args != 2 ||
	    (strcmp(o.args[0], "out") && strcmp(o.args[0], "in")))
		return options_usage(usage);
	doc = client_configuration(o.node, &version);
	if (!doc)
		return EXIT_FAILED;
	dc = find_named(json_object_get(doc, "data_centres"), o.args[1]);
	if (!dc) {
		fprintf(stderr, "briargrade: no data centre %s\n", o.args[1]);
		json_decref(doc);
		return EXIT_USAGE;
	}
	json_object_set_new(dc, "in_service",
			    json_boolean(!strcmp(o.args[0], "in")));
	status = client_publish(o.node, version, doc, o.reason);
	json_decref(doc);
	return status;
}

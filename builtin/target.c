#include <stdio.h>
#include <string.h>

#include "builtin/builtin.h"
#include "builtin/client.h"
#include "builtin/options.h"

static const char usage[] =
	"briargrade target [--node ADDRESS] [--reason TEXT] [--target-ms N] "
	"[--refused-share X] [--deadline-ms N] [--repeatable yes|no] CLASS";

static json_t *find_class(json_t *doc, const char *name)
{
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(doc, "classes"), i, item)
	{
		const char *s =
			json_string_value(json_object_get(item, "name"));

		if (s && !strcmp(s, name))
			return item;
	}
	return NULL;
}

static void change_class(json_t *class, const struct options *o)
{
	if (o->target_ms)
		json_object_set_new(class, "target_ms",
				    json_integer(o->target_ms));
	if (o->refused_share >= 0)
		json_object_set_new(class, "refused_share",
				    json_real(o->refused_share));
	if (o->deadline_ms)
		json_object_set_new(class, "deadline_ms",
				    json_integer(o->deadline_ms));
	if (o->repeatable >= 0)
		json_object_set_new(class, "repeatable",
				    json_boolean(o->repeatable));
}

/* Change the targets of one class. */
int cmd_target(int argc, char **argv)
{
	struct options o;
	json_t *doc;
	json_t *class;
	int64_t version;
	int status = options_read(&o, argc, argv,
				  OPTION_NODE | OPTION_REASON | OPTION_CLASS,
				  usage);

	if (status >= 0)
		return status;
	if (o.n_args != 1)
		return options_usage(usage);
	doc = client_configuration(o.node, &version);
	if (!doc)
		return EXIT_FAILED;
	class = find_class(doc, o.args[0]);
	if (!class) {
		fprintf(stderr, "briargrade: no class %s\n", o.args[0]);
		json_decref(doc);
		return EXIT_USAGE;
	}
	change_class(class, &o);
	status = client_publish(o.node, version, doc, o.reason);
	json_decref(doc);
	return status;
}

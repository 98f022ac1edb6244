#include <getopt.h>
#include <stdio.h>
#include <string.h>
#include <glib.h>

#include "builtin/builtin.h"
#include "builtin/options.h"

enum {
	OPT_NODE = 256,
	OPT_SETTINGS,
	OPT_CONFIGURATION,
	OPT_REASON,
	OPT_BASE,
	OPT_JSON,
	OPT_FOLLOW,
	OPT_TARGET,
	OPT_REFUSED,
	OPT_DEADLINE,
	OPT_REPEATABLE,
};

struct option_kind {
	struct option option;
	uint32_t group;
};

static const struct option_kind kinds[] = {
	{ { "node", required_argument, NULL, OPT_NODE }, OPTION_NODE },
	{ { "settings", required_argument, NULL, OPT_SETTINGS },
	  OPTION_SETTINGS },
	{ { "configuration", required_argument, NULL, OPT_CONFIGURATION },
	  OPTION_CONFIGURATION },
	{ { "reason", required_argument, NULL, OPT_REASON }, OPTION_REASON },
	{ { "base", required_argument, NULL, OPT_BASE }, OPTION_BASE },
	{ { "json", no_argument, NULL, OPT_JSON }, OPTION_JSON },
	{ { "follow", no_argument, NULL, OPT_FOLLOW }, OPTION_FOLLOW },
	{ { "target-ms", required_argument, NULL, OPT_TARGET }, OPTION_CLASS },
	{ { "refused-share", required_argument, NULL, OPT_REFUSED },
	  OPTION_CLASS },
	{ { "deadline-ms", required_argument, NULL, OPT_DEADLINE },
	  OPTION_CLASS },
	{ { "repeatable", required_argument, NULL, OPT_REPEATABLE },
	  OPTION_CLASS },
};

int options_usage(const char *usage)
{
	fprintf(stderr, "usage: %s\n", usage);
	return EXIT_USAGE;
}

static void set_option(struct options *o, int code)
{
	switch (code) {
	case OPT_NODE:
		o->node = optarg;
		break;
	case OPT_SETTINGS:
		o->settings = optarg;
		break;
	case OPT_CONFIGURATION:
		o->configuration = optarg;
		break;
	case OPT_REASON:
		o->reason = optarg;
		break;
	case OPT_BASE:
		o->base = g_ascii_strtoll(optarg, NULL, 10);
		o->has_base = true;
		break;
	case OPT_JSON:
		o->json = true;
		break;
	case OPT_FOLLOW:
		o->follow = true;
		break;
	case OPT_TARGET:
		o->target_ms = g_ascii_strtoll(optarg, NULL, 10);
		break;
	case OPT_REFUSED:
		o->refused_share = g_ascii_strtod(optarg, NULL);
		break;
	case OPT_DEADLINE:
		o->deadline_ms = g_ascii_strtoll(optarg, NULL, 10);
		break;
	case OPT_REPEATABLE:
		o->repeatable = !strcmp(optarg, "yes");
		break;
	}
}

int options_read(struct options *o, int argc, char **argv, uint32_t allowed,
		 const char *usage)
{
	struct option list[G_N_ELEMENTS(kinds) + 2] = { 0 };
	uint32_t n = 0;
	uint32_t i;
	int code;

	memset(o, 0, sizeof(*o));
	o->node = DEFAULT_NODE;
	o->reason = "";
	o->refused_share = -1;
	o->repeatable = -1;
	list[n++] = (struct option){ "help", no_argument, NULL, 'h' };
	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (allowed & kinds[i].group)
			list[n++] = kinds[i].option;
	optind = 1;
	while ((code = getopt_long(argc, argv, "h", list, NULL)) != -1) {
		if (code == 'h') {
			printf("usage: %s\n", usage);
			return EXIT_OK;
		}
		if (code == '?')
			return options_usage(usage);
		set_option(o, code);
	}
	o->args = argv + optind;
	o->n_args = argc - optind;
	return -1;
}

#include <stdio.h>
#include <string.h>
#include <glib.h>

#include "builtin/builtin.h"

struct command {
	const char *name;
	builtin_fn run;
	const char *help;
};

static const struct command commands[] = {
	{ "run", cmd_run, "run a node beside its backend server" },
	{ "check", cmd_check, "check settings or a configuration" },
	{ "publish", cmd_publish, "put a configuration into force" },
	{ "data-centre", cmd_data_centre,
	  "take a data centre out of service or in" },
	{ "target", cmd_target, "change the targets of a class" },
	{ "declare-lost", cmd_declare_lost, "state that a host is lost" },
	{ "status", cmd_status, "show a node's view of the fleet" },
	{ "explain", cmd_explain, "tell who serves a key and why" },
	{ "trace", cmd_trace, "print one request's way from logs" },
	{ "model", cmd_model, "work out what a fleet serves under a load" },
	{ "audit", cmd_audit, "print the trail of changes" },
	{ "quarantine", cmd_quarantine,
	  "show or clear requests that end their servers" },
};

static void print_help(FILE *out)
{
	guint i;

	fprintf(out, "usage: briargrade COMMAND [OPTION]...\n\n");
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-14s %s\n", commands[i].name,
			commands[i].help);
	fprintf(out, "\nbriargrade COMMAND --help tells more.\n");
}

int main(int argc, char **argv)
{
	guint i;

	if (argc < 2) {
		print_help(stderr);
		return EXIT_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "help")) {
		print_help(stdout);
		return EXIT_OK;
	}
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(commands[i].name, argv[1]))
			return commands[i].run(argc - 1, argv + 1);
	fprintf(stderr, "briargrade: no command %s\n", argv[1]);
	return EXIT_USAGE;
}

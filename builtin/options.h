#ifndef BUILTIN_OPTIONS_H
#define BUILTIN_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

/* Options of the subcommands. Each subcommand allows some of them. */
struct options {
	const char *node;
	const char *settings;
	const char *configuration;
	const char *reason;
	int64_t base;
	bool has_base;
	bool json;
	bool follow;
	int64_t target_ms;
	double refused_share;
	int64_t deadline_ms;
	int repeatable; /* -1 if not given */
	char **args; /* the arguments that are not options */
	int n_args;
};

#define OPTION_NODE (1 << 0)
#define OPTION_SETTINGS (1 << 1)
#define OPTION_CONFIGURATION (1 << 2)
#define OPTION_REASON (1 << 3)
#define OPTION_BASE (1 << 4)
#define OPTION_JSON (1 << 5)
#define OPTION_FOLLOW (1 << 6)
#define OPTION_CLASS (1 << 7)

/*
 * Read the command line; allowed is a set of OPTION_* flags. Returns -1 if the
 * subcommand should run. Otherwise returns the exit status: after --help, or
 * after an invalid option, with usage or an error printed.
 */
int options_read(struct options *o, int argc, char **argv, uint32_t allowed,
		 const char *usage);

/* Print usage to standard error. Returns the exit status. */
int options_usage(const char *usage);

#endif

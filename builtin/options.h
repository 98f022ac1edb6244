#ifndef BUILTIN_OPTIONS_H
#define BUILTIN_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

/* The options that subcommands share; each takes those that it names. */
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
	int repeatable; /* -1 not given */
	char **args; /* what is not an option */
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
 * Read the command line by getopt_long. Returns -1 to go on, or the exit
 * status: after --help (its text printed) or a wrong option (said so).
 */
int options_read(struct options *o, int argc, char **argv, uint32_t allowed,
		 const char *usage);

/* Say how the command is used; returns the exit status. */
int options_usage(const char *usage);

#endif

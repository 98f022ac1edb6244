#ifndef BUILTIN_BUILTIN_H
#define BUILTIN_BUILTIN_H

#include <stdint.h>
#include <jansson.h>

/* Runs a subcommand; argv[0] is its name. Returns the exit status. */
typedef int (*builtin_fn)(int argc, char **argv);

int cmd_run(int argc, char **argv);
int cmd_check(int argc, char **argv);
int cmd_publish(int argc, char **argv);
int cmd_data_centre(int argc, char **argv);
int cmd_target(int argc, char **argv);
int cmd_declare_lost(int argc, char **argv);
int cmd_status(int argc, char **argv);
int cmd_explain(int argc, char **argv);
int cmd_trace(int argc, char **argv);
int cmd_model(int argc, char **argv);
int cmd_audit(int argc, char **argv);
int cmd_quarantine(int argc, char **argv);

#define EXIT_OK 0
#define EXIT_FAILED 1
#define EXIT_USAGE 2
#define EXIT_CONFLICT 3

#define DEFAULT_NODE "127.0.0.1:7400"

#endif

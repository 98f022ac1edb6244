#ifndef UTIL_LOG_H
#define UTIL_LOG_H

#include <stdbool.h>

/*
 * Write GLib's log messages of the named level ("error", "warning", "info" or
 * "debug") and above. With json false they are lines of text on standard error.
 * With json true they are JSON objects on standard output, and the events of
 * util/event.h are enabled and written there too. host must stay valid.
 */
void log_setup(const char *level, bool json, const char *host);

#endif

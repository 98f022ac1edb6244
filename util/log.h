#ifndef UTIL_LOG_H
#define UTIL_LOG_H

#include <stdbool.h>

/*
 * Send GLib's log to standard error, from the named level up ("error",
 * "warning", "info" or "debug"), a line of text or one JSON object a message.
 */
void log_setup(const char *level, bool json, const char *host);

#endif

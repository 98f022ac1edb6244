#ifndef UTIL_LOG_H
#define UTIL_LOG_H

#include <stdbool.h>

/*
 * Send GLib's log from the named level up ("error", "warning", "info" or
 * "debug"): lines of text to standard error, or JSON objects to standard
 * output, where the events of util/event.h then go as well.
 */
void log_setup(const char *level, bool json, const char *host);

#endif

#include <stdio.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>

#include "util/event.h"
#include "util/log.h"

static GLogLevelFlags max_log_level = G_LOG_LEVEL_INFO;
static bool use_json;
static const char *host_name = "";

static const char *level_name(GLogLevelFlags level)
{
	if (level & G_LOG_LEVEL_ERROR)
		return "error";
	if (level & G_LOG_LEVEL_CRITICAL)
		return "critical";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	if (level & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
		return "info";
	return "debug";
}

static const char *find_message(const GLogField *fields, gsize n)
{
	gsize i;

	for (i = 0; i < n; i++)
		if (!strcmp(fields[i].key, "MESSAGE"))
			return fields[i].value;
	return "";
}

static void write_json(const char *timestamp, GLogLevelFlags level,
		       const char *message)
{
	/* A message may quote text from outside, and JSON must be UTF-8. */
	g_autofree char *valid = g_utf8_make_valid(message, -1);
	json_t *o = json_pack("{s:s,s:s,s:s,s:s}", "time", timestamp, "level",
			      level_name(level), "host", host_name, "message",
			      valid);
	char *text = json_dumps(o, JSON_COMPACT);
	g_autofree char *line = NULL;

	line = g_strconcat(text, "\n", NULL);
	event_write_line(line, strlen(line));
	free(text);
	json_decref(o);
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize n,
				   gpointer user)
{
	g_autoptr(GDateTime) now = g_date_time_new_now_utc();
	g_autofree char *timestamp = g_date_time_format(now, "%FT%T.%fZ");
	const char *message = find_message(fields, n);

	(void)user;
	if ((level & G_LOG_LEVEL_MASK) > max_log_level)
		return G_LOG_WRITER_HANDLED;
	if (use_json)
		write_json(timestamp, level, message);
	else
		fprintf(stderr, "%s %s %s: %s\n", timestamp, host_name,
			level_name(level), message);
	return G_LOG_WRITER_HANDLED;
}

void log_setup(const char *level, bool json, const char *host)
{
	use_json = json;
	host_name = host;
	if (!strcmp(level, "error"))
		max_log_level = G_LOG_LEVEL_CRITICAL;
	else if (!strcmp(level, "warning"))
		max_log_level = G_LOG_LEVEL_WARNING;
	else if (!strcmp(level, "debug"))
		max_log_level = G_LOG_LEVEL_DEBUG;
	if (json)
		event_setup(host);
	g_log_set_writer_func(write_line, NULL, NULL);
}

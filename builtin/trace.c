#include <stdio.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>

#include "builtin/builtin.h"
#include "builtin/options.h"

/*
 * Collects the events of one request from the logs of several processes. The
 * clocks of hosts differ. A gate's log line has the time at which the entry
 * sent the request, by the entry's clock, and the time at which it arrived, by
 * the gate's clock. The smallest difference of the two in all lines of a host
 * is taken as the offset of that host's clock; it includes the smallest network
 * delay.
 */

static const char usage[] = "briargrade trace ID FILE...";

struct line {
	json_t *o;
	const char *host;
	int64_t at_ms; /* by the clock of the entry's host */
};

/* The log lines of one request, and the offsets of the hosts' clocks. */
struct trace {
	GPtrArray *lines; /* struct line */
	GHashTable *clock_offset; /* host -> int64_t, ms */
};

static void line_free(gpointer p)
{
	struct line *l = p;

	json_decref(l->o);
	g_free(l);
}

static const char *text(const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s ? s : "";
}

static int64_t number(const json_t *o, const char *name)
{
	return json_integer_value(json_object_get(o, name));
}

static void update_clock_offset(struct trace *t, const json_t *o)
{
	const json_t *sent = json_object_get(o, "sent_ms");
	const json_t *arrived = json_object_get(o, "arrived_ms");
	const char *host = text(o, "host");
	int64_t clock_offset;
	int64_t *min_offset;

	if (!sent || !arrived)
		return;
	clock_offset = json_integer_value(arrived) - json_integer_value(sent);
	min_offset = g_hash_table_lookup(t->clock_offset, host);
	if (min_offset) {
		*min_offset = MIN(*min_offset, clock_offset);
		return;
	}
	g_hash_table_insert(t->clock_offset, g_strdup(host),
			    g_memdup2(&clock_offset, sizeof(clock_offset)));
}

static void add_line(struct trace *t, const char *s, const char *id)
{
	const char *brace = strchr(s, '{');
	json_t *o;
	struct line *l;

	/* Parsing every line of a large log would take minutes. */
	if (!brace || !strstr(s, id))
		return;
	o = json_loads(brace, JSON_DISABLE_EOF_CHECK, NULL);
	if (!o || strcmp(text(o, "id"), id)) {
		json_decref(o);
		return;
	}
	update_clock_offset(t, o);
	l = g_new0(struct line, 1);
	l->o = o;
	l->host = text(o, "host");
	g_ptr_array_add(t->lines, l);
}

static int read_file(struct trace *t, const char *path, const char *id)
{
	FILE *f = strcmp(path, "-") ? fopen(path, "r") : stdin;
	char *s = NULL;
	size_t size = 0;

	if (!f) {
		perror(path);
		return EXIT_FAILED;
	}
	while (getline(&s, &size, f) >= 0)
		add_line(t, s, id);
	free(s);
	if (f != stdin)
		fclose(f);
	return EXIT_OK;
}

static int compare_by_time(gconstpointer a, gconstpointer b)
{
	const struct line *x = *(struct line *const *)a;
	const struct line *y = *(struct line *const *)b;

	return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

static void print_line(const struct line *l, int64_t begin_ms)
{
	static const char *const header_fields[] = { "unix_ms",	   "boot_ms",
						     "host",	   "event",
						     "id",	   "sent_ms",
						     "arrived_ms", NULL };
	const char *name;
	json_t *v;

	printf("%+6" G_GINT64_FORMAT " ms  %-16s %s",
	       (gint64)(l->at_ms - begin_ms), l->host, text(l->o, "event"));
	json_object_foreach(l->o, name, v)
	{
		char *s;

		if (g_strv_contains(header_fields, name))
			continue;
		s = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
		printf(" %s=%s", name, s);
		free(s);
	}
	printf("\n");
}

static void print_all(struct trace *t)
{
	uint32_t i;

	for (i = 0; i < t->lines->len; i++) {
		struct line *l = g_ptr_array_index(t->lines, i);
		int64_t *clock_offset =
			g_hash_table_lookup(t->clock_offset, l->host);

		l->at_ms = number(l->o, "boot_ms") -
			   (clock_offset ? *clock_offset : 0);
	}
	g_ptr_array_sort(t->lines, compare_by_time);
	for (i = 0; i < t->lines->len; i++)
		print_line(g_ptr_array_index(t->lines, i),
			   ((struct line *)t->lines->pdata[0])->at_ms);
}

/* Print the events of one request from the given logs, in order of time. */
int cmd_trace(int argc, char **argv)
{
	struct trace t;
	struct options o;
	int status = options_read(&o, argc, argv, 0, usage);
	int i;

	if (status >= 0)
		return status;
	if (o.n_args < 2)
		return options_usage(usage);
	t.lines = g_ptr_array_new_with_free_func(line_free);
	t.clock_offset =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	status = EXIT_OK;
	for (i = 1; i < o.n_args && !status; i++)
		status = read_file(&t, o.args[i], o.args[0]);
	if (!status && !t.lines->len) {
		fprintf(stderr, "no line about %s\n", o.args[0]);
		status = EXIT_FAILED;
	}
	if (!status)
		print_all(&t);
	g_ptr_array_unref(t.lines);
	g_hash_table_unref(t.clock_offset);
	return status;
}

#include <string.h>

#include "audit/audit.h"
#include "util/result.h"

/* Set up an empty trail. */
void audit_init(struct audit *a)
{
	memset(a, 0, sizeof(*a));
	a->moved_shards = g_string_new(NULL);
}

/* Release the lines. */
void audit_finish(struct audit *a)
{
	uint32_t i;

	for (i = 0; i < AUDIT_LINES; i++)
		g_free(a->lines[i].text);
	g_string_free(a->moved_shards, TRUE);
	g_free(a->moved_why);
}

static void add_line(struct audit *a, char *text)
{
	struct audit_line *l = &a->lines[a->next % AUDIT_LINES];

	g_free(l->text);
	l->number = a->next++;
	l->unix_ms = g_get_real_time() / 1000;
	l->text = text;
	g_info("audit: %s", text);
}

void audit_flush(struct audit *a)
{
	if (!a->n_moved)
		return;
	add_line(a, g_strdup_printf("offset %" G_GINT64_FORMAT
				    ": %s shards %s: owner %" G_GINT64_FORMAT
				    " -> %" G_GINT64_FORMAT " (%s)",
				    (gint64)a->moved_offset, a->moved_service,
				    a->moved_shards->str, (gint64)a->moved_from,
				    (gint64)a->moved_to, a->moved_why));
	a->n_moved = 0;
	g_string_set_size(a->moved_shards, 0);
}

static void on_moved(struct audit *a, const struct fleet_event *ev)
{
	if (a->n_moved &&
	    (a->moved_offset != ev->offset || a->moved_from != ev->from ||
	     a->moved_to != ev->to || strcmp(a->moved_service, ev->service)))
		audit_flush(a);
	if (!a->n_moved++) {
		a->moved_offset = ev->offset;
		a->moved_from = ev->from;
		a->moved_to = ev->to;
		g_strlcpy(a->moved_service, ev->service,
			  sizeof(a->moved_service));
		g_free(a->moved_why);
		a->moved_why = g_strdup_printf(
			"%s%s%s", ev->reason, ev->by[0] ? ", by " : "", ev->by);
	}
	g_string_append_printf(a->moved_shards, "%s%u",
			       a->n_moved > 1 ? "," : "", ev->shard);
}

static const char *member_text(const struct fleet_event *ev)
{
	switch (ev->type) {
	case FLEET_MEMBER_JOINED:
		return "joined";
	case FLEET_MEMBER_GONE:
		return "left";
	case FLEET_WITNESSES_CHANGED:
		return "has new witnesses";
	case FLEET_SETTLED:
		return "settled";
	default:
		return NULL;
	}
}

/* Take note of one change. */
void audit_event(struct audit *a, const struct fleet_event *ev)
{
	const char *what = member_text(ev);

	if (ev->type == FLEET_SHARD_MOVED) {
		on_moved(a, ev);
		return;
	}
	if (ev->type == FLEET_SUCCESSOR_GONE)
		return;
	audit_flush(a);
	if (what)
		add_line(a, g_strdup_printf(
				    "offset %" G_GINT64_FORMAT
				    ": member %" G_GINT64_FORMAT
				    " (%s, %s, %s) %s%s%s%s%s",
				    (gint64)ev->offset, (gint64)ev->member->id,
				    ev->member->host, ev->member->data_centre,
				    ev->member->service, what,
				    strcmp(ev->reason, what) ? ": " : "",
				    strcmp(ev->reason, what) ? ev->reason : "",
				    ev->by[0] ? ", by " : "", ev->by));
	else if (ev->type == FLEET_CONFIGURED)
		add_line(a, g_strdup_printf(
				    "offset %" G_GINT64_FORMAT
				    ": configuration in force, by %s: %s",
				    (gint64)ev->offset, ev->by, ev->reason));
	else if (ev->result != RESULT_DUPLICATE)
		add_line(a, g_strdup_printf("offset %" G_GINT64_FORMAT
					    ": %s record dropped: %s%s%s",
					    (gint64)ev->offset, ev->reason,
					    result_name(ev->result),
					    ev->by[0] ? ", by " : "", ev->by));
}

int64_t audit_text(const struct audit *a, int64_t from, GString *out)
{
	int64_t i = MAX(from, a->next - AUDIT_LINES);

	for (i = MAX(i, 0); i < a->next; i++) {
		const struct audit_line *l = &a->lines[i % AUDIT_LINES];
		g_autoptr(GDateTime)
			t = g_date_time_new_from_unix_utc(l->unix_ms / 1000);
		g_autofree char *when = g_date_time_format(t, "%FT%TZ");

		g_string_append_printf(out, "%s %s\n", when, l->text);
	}
	return a->next;
}

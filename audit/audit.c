#include <string.h>

#include "audit/audit.h"
#include "util/result.h"

static void moves_free(gpointer p)
{
	struct audit_moves *m = p;

	g_free(m->why);
	g_string_free(m->shards, TRUE);
	g_free(m);
}

void audit_init(struct audit *a)
{
	memset(a, 0, sizeof(*a));
	a->moves = g_ptr_array_new_with_free_func(moves_free);
}

void audit_finish(struct audit *a)
{
	uint32_t i;

	for (i = 0; i < AUDIT_LINES; i++)
		g_free(a->lines[i].text);
	g_ptr_array_unref(a->moves);
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

static void end_range(struct audit_moves *m)
{
	if (m->last > m->first)
		g_string_append_printf(m->shards, "-%u", m->last);
}

void audit_flush(struct audit *a)
{
	uint32_t i;

	for (i = 0; i < a->moves->len; i++) {
		struct audit_moves *m = g_ptr_array_index(a->moves, i);

		end_range(m);
		add_line(a, g_strdup_printf("offset %" G_GINT64_FORMAT
					    ": %s shards %s: owner "
					    "%" G_GINT64_FORMAT
					    " -> %" G_GINT64_FORMAT " (%s)",
					    (gint64)m->offset, m->service,
					    m->shards->str, (gint64)m->from,
					    (gint64)m->to, m->why));
	}
	g_ptr_array_set_size(a->moves, 0);
}

static struct audit_moves *find_moves(struct audit *a,
				      const struct fleet_event *ev)
{
	uint32_t i;

	for (i = 0; i < a->moves->len; i++) {
		struct audit_moves *m = g_ptr_array_index(a->moves, i);

		if (m->from == ev->from && m->to == ev->to &&
		    !strcmp(m->service, ev->service))
			return m;
	}
	return NULL;
}

static struct audit_moves *new_moves(const struct fleet_event *ev)
{
	struct audit_moves *m = g_new0(struct audit_moves, 1);

	m->offset = ev->offset;
	m->from = ev->from;
	m->to = ev->to;
	g_strlcpy(m->service, ev->service, sizeof(m->service));
	m->why = g_strdup_printf("%s%s%s", ev->reason,
				 ev->written_by[0] ? ", by " : "",
				 ev->written_by);
	m->shards = g_string_new(NULL);
	return m;
}

static void on_shard_moved(struct audit *a, const struct fleet_event *ev)
{
	struct audit_moves *m;

	if (a->moves->len &&
	    ((struct audit_moves *)a->moves->pdata[0])->offset != ev->offset)
		audit_flush(a);
	m = find_moves(a, ev);
	if (m && ev->shard == m->last + 1) {
		m->last = ev->shard;
		return;
	}
	if (m) {
		end_range(m);
		g_string_append_c(m->shards, ',');
	} else {
		m = new_moves(ev);
		g_ptr_array_add(a->moves, m);
	}
	g_string_append_printf(m->shards, "%u", ev->shard);
	m->first = ev->shard;
	m->last = ev->shard;
}

static const char *member_text(const struct fleet_event *ev)
{
	switch (ev->type) {
	case FLEET_MEMBER_JOINED:
		return "joined";
	case FLEET_MEMBER_REMOVED:
		return "left";
	case FLEET_WITNESSES_CHANGED:
		return "has new witnesses";
	case FLEET_MEMBER_SETTLED:
		return "settled";
	default:
		return NULL;
	}
}

void audit_event(struct audit *a, const struct fleet_event *ev)
{
	const char *what = member_text(ev);

	if (ev->type == FLEET_SHARD_MOVED) {
		on_shard_moved(a, ev);
		return;
	}
	if (ev->type == FLEET_SUCCESSOR_REMOVED)
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
				    ev->written_by[0] ? ", by " : "",
				    ev->written_by));
	else if (ev->type == FLEET_CONFIGURATION_CHANGED)
		add_line(a,
			 g_strdup_printf("offset %" G_GINT64_FORMAT
					 ": configuration in force, by %s: %s",
					 (gint64)ev->offset, ev->written_by,
					 ev->reason));
	else if (ev->type == FLEET_CONFIGURATION_REFUSED)
		add_line(a, g_strdup_printf("offset %" G_GINT64_FORMAT
					    ": configuration refused: %s",
					    (gint64)ev->offset, ev->reason));
	else if (ev->type == FLEET_REQUEST_BLOCKED ||
		 ev->type == FLEET_REQUEST_CLEARED)
		add_line(a, g_strdup_printf("offset %" G_GINT64_FORMAT
					    ": request %016" G_GINT64_MODIFIER
					    "x %s, %u servers ended: %s, by %s",
					    (gint64)ev->offset, ev->fingerprint,
					    ev->type == FLEET_REQUEST_BLOCKED
						    ? "blocked"
						    : "cleared",
					    ev->endings, ev->reason,
					    ev->written_by));
	else if (ev->type == FLEET_SERVER_LEFT)
		add_line(a, g_strdup_printf("offset %" G_GINT64_FORMAT
					    ": server %s of host %s leaves, "
					    "by %s",
					    (gint64)ev->offset,
					    ev->leaving->server,
					    ev->leaving->host, ev->written_by));
	else if (ev->result != RESULT_DUPLICATE)
		add_line(a, g_strdup_printf("offset %" G_GINT64_FORMAT
					    ": %s record dropped: %s%s%s",
					    (gint64)ev->offset, ev->reason,
					    result_name(ev->result),
					    ev->written_by[0] ? ", by " : "",
					    ev->written_by));
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

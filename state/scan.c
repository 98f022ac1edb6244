#include "state/scan.h"

#include <string.h>

#define MAX_SNAPSHOT_PARTS 1024

struct snapshot_parts {
	uint32_t n_parts;
	uint32_t n_received;
	char **data;
};

static void snapshot_parts_free(gpointer p)
{
	struct snapshot_parts *s = p;
	uint32_t i;

	for (i = 0; i < s->n_parts; i++)
		g_free(s->data[i]);
	g_free(s->data);
	g_free(s);
}

static void record_free(gpointer p)
{
	struct scanned_record *r = p;

	g_free(r->id);
	json_decref(r->record);
	g_free(r);
}

void log_scan_init(struct log_scan *s)
{
	s->records = g_ptr_array_new_with_free_func(record_free);
	s->snapshots = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, snapshot_parts_free);
}

void log_scan_finish(struct log_scan *s)
{
	g_ptr_array_unref(s->records);
	g_hash_table_unref(s->snapshots);
}

void log_scan_clear(struct log_scan *s)
{
	g_ptr_array_set_size(s->records, 0);
	g_hash_table_remove_all(s->snapshots);
}

static void add_part(struct log_scan *scan, const json_t *record)
{
	int64_t upto = json_integer_value(json_object_get(record, "upto"));
	int64_t part = json_integer_value(json_object_get(record, "part"));
	int64_t n_parts = json_integer_value(json_object_get(record, "parts"));
	const char *data = json_string_value(json_object_get(record, "data"));
	struct snapshot_parts *s = g_hash_table_lookup(scan->snapshots, &upto);

	if (!data || n_parts < 1 || n_parts > MAX_SNAPSHOT_PARTS || part < 0 ||
	    part >= n_parts || (s && s->n_parts != n_parts))
		return;
	if (!s) {
		s = g_new0(struct snapshot_parts, 1);
		s->n_parts = n_parts;
		s->data = g_new0(char *, n_parts);
		g_hash_table_insert(scan->snapshots,
				    g_memdup2(&upto, sizeof(upto)), s);
	}
	if (s->data[part])
		return;
	s->data[part] = g_strdup(data);
	s->n_received++;
}

void log_scan_add(struct log_scan *s, int64_t offset, const char *id,
		  const json_t *record)
{
	const char *type = json_string_value(json_object_get(record, "type"));
	struct scanned_record *r = g_new(struct scanned_record, 1);

	r->offset = offset;
	r->id = g_strdup(id);
	r->record = json_incref((json_t *)record);
	g_ptr_array_add(s->records, r);
	if (type && !strcmp(type, "snapshot"))
		add_part(s, record);
}

static bool find_newest_snapshot(struct log_scan *s, int64_t after,
				 int64_t *upto)
{
	GHashTableIter it;
	gpointer key, value;
	bool found = false;

	g_hash_table_iter_init(&it, s->snapshots);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct snapshot_parts *p = value;
		int64_t at = *(int64_t *)key;

		if (p->n_received < p->n_parts || at <= after ||
		    (found && at < *upto))
			continue;
		found = true;
		*upto = at;
	}
	return found;
}

json_t *log_scan_take_snapshot(struct log_scan *s, int64_t after)
{
	json_t *state = NULL;
	int64_t upto;

	while (!state && find_newest_snapshot(s, after, &upto)) {
		struct snapshot_parts *p =
			g_hash_table_lookup(s->snapshots, &upto);
		GString *text = g_string_new(NULL);
		uint32_t i;

		for (i = 0; i < p->n_parts; i++)
			g_string_append(text, p->data[i]);
		state = json_loadb(text->str, text->len, 0, NULL);
		g_string_free(text, TRUE);
		if (!state)
			g_warning("snapshot of the state at offset "
				  "%" G_GINT64_FORMAT " is not valid JSON",
				  (gint64)upto);
		g_hash_table_remove(s->snapshots, &upto);
	}
	return state;
}

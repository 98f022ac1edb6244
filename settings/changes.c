#include <string.h>

#include "settings/changes.h"
#include "settings/internal.h"
#include "util/result.h"

#define KEY_PARTS 3

static const char *member_text(const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s ? s : "";
}

static void key_of(GString *out, const char *method, const char *host,
		   const char *path)
{
	g_autofree char *name = g_ascii_strdown(host, -1);

	g_string_assign(out, method);
	g_string_append_c(out, '\n');
	g_string_append(out, name);
	g_string_append_c(out, '\n');
	g_string_append(out, path);
}

static void key_of_class(GString *out, const json_t *class)
{
	key_of(out, member_text(class, "method"), member_text(class, "host"),
	       member_text(class, "path"));
}

/* Classes by their keys; of several under one key the last, which is served. */
static GHashTable *by_key(const json_t *classes)
{
	GHashTable *t =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GString *key = g_string_new(NULL);
	json_t *class;
	size_t i;

	json_array_foreach(classes, i, class)
	{
		key_of_class(key, class);
		g_hash_table_replace(t, g_strdup(key->str), class);
	}
	g_string_free(key, TRUE);
	return t;
}

static json_t *classes_of(const json_t *doc)
{
	return json_object_get(doc, "classes");
}

/* The members that differ, but for the classes. */
static json_t *set_between(const json_t *from, const json_t *to)
{
	json_t *set = json_object();
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)to, name, value)
	{
		if (strcmp(name, "classes") &&
		    !json_equal(json_object_get(from, name), value))
			json_object_set(set, name, value);
	}
	return set;
}

static bool names_service(const json_t *services, const char *name)
{
	json_t *s;
	size_t i;

	json_array_foreach(services, i, s)
	{
		if (!strcmp(member_text(s, "name"), name))
			return true;
	}
	return false;
}

/* While classes are left that go to them, services stay. */
static void keep_services(json_t *set, const json_t *from)
{
	json_t *services = json_object_get(set, "services");
	json_t *both;
	json_t *s;
	size_t i;

	if (!services)
		return;
	both = json_copy(services);
	json_array_foreach(json_object_get(from, "services"), i, s)
	{
		if (!names_service(both, member_text(s, "name")))
			json_array_append(both, s);
	}
	json_object_set_new(set, "services", both);
}

/* Names of fields and figures, which compress well whatever they are. */
#define CLASS_OVERHEAD_BYTES 48

/* Room for what a record carries. Something always fits, so that it goes on. */
struct room {
	size_t bytes;
	size_t max_bytes;
	bool full;
};

static bool fits(struct room *r, size_t bytes)
{
	r->full = r->full || (r->bytes && r->bytes + bytes > r->max_bytes);
	if (!r->full)
		r->bytes += bytes;
	return !r->full;
}

/* What a class takes in a record at most, once that is compressed. */
static size_t class_bytes(const json_t *class)
{
	const json_t *split = json_object_get(class, "split");
	size_t bytes = CLASS_OVERHEAD_BYTES +
		       strlen(member_text(class, "name")) +
		       strlen(member_text(class, "host")) +
		       strlen(member_text(class, "path"));
	json_t *part;
	size_t i;

	json_array_foreach(split, i, part) bytes += CLASS_OVERHEAD_BYTES;
	return bytes;
}

/* New and different classes. */
static void add_classes(json_t *out, const json_t *to, GHashTable *have,
			GHashTable *wanted, struct room *room)
{
	GString *key = g_string_new(NULL);
	json_t *class;
	size_t i;

	json_array_foreach(classes_of(to), i, class)
	{
		key_of_class(key, class);
		if (g_hash_table_lookup(wanted, key->str) != class ||
		    json_equal(g_hash_table_lookup(have, key->str), class))
			continue;
		if (!fits(room, class_bytes(class)))
			break;
		json_array_append(out, class);
	}
	g_string_free(key, TRUE);
}

static void add_removed(json_t *out, const json_t *from, GHashTable *wanted,
			struct room *room)
{
	GString *key = g_string_new(NULL);
	json_t *class;
	size_t i;

	json_array_foreach(classes_of(from), i, class)
	{
		key_of_class(key, class);
		if (g_hash_table_contains(wanted, key->str))
			continue;
		if (!fits(room, key->len + CLASS_OVERHEAD_BYTES))
			break;
		json_array_append_new(
			out, json_pack("[s,s,s]", member_text(class, "method"),
				       member_text(class, "host"),
				       member_text(class, "path")));
	}
	g_string_free(key, TRUE);
}

json_t *changes_between(const json_t *from, const json_t *to, size_t max_bytes,
			bool *whole)
{
	GHashTable *have = by_key(classes_of(from));
	GHashTable *wanted = by_key(classes_of(to));
	json_t *set = set_between(from, to);
	json_t *classes = json_array();
	json_t *removed = json_array();
	struct room room = { .max_bytes = max_bytes };

	add_classes(classes, to, have, wanted, &room);
	if (!room.full)
		add_removed(removed, from, wanted, &room);
	*whole = !room.full;
	if (room.full) {
		keep_services(set, from);
		/* It names what operators published whole. */
		json_object_del(set, "source");
	}
	g_hash_table_unref(have);
	g_hash_table_unref(wanted);
	return json_pack("{s:I,s:o,s:o,s:o}", "version",
			 json_integer_value(json_object_get(to, "source")),
			 "set", set, "classes", classes, "removed", removed);
}

/* What is done with one class that there is. */
struct edit {
	json_t *class; /* takes its place, NULL none does */
	size_t read; /* where it stands among those that were read */
	bool placed;
};

/* By key; an entry for each class that is removed, new or different. */
static GHashTable *edits_of(const json_t *changes, struct json_check *c)
{
	GHashTable *t =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GString *key = g_string_new(NULL);
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(changes, "removed"), i, item)
	{
		const char *part[KEY_PARTS];
		size_t j;

		for (j = 0; j < KEY_PARTS; j++)
			part[j] = json_string_value(json_array_get(item, j));
		if (!part[0] || !part[1] || !part[2]) {
			json_check_fail(c, "removed", "names no class");
			break;
		}
		key_of(key, part[0], part[1], part[2]);
		g_hash_table_replace(t, g_strdup(key->str),
				     g_new0(struct edit, 1));
	}
	json_array_foreach(json_object_get(changes, "classes"), i, item)
	{
		struct edit *e = g_new0(struct edit, 1);

		e->class = item;
		e->read = i;
		key_of_class(key, item);
		g_hash_table_replace(t, g_strdup(key->str), e);
	}
	g_string_free(key, TRUE);
	return t;
}

static struct edit *edit_of(GHashTable *edits, const json_t *class,
			    GString *key)
{
	key_of_class(key, class);
	return g_hash_table_lookup(edits, key->str);
}

/*
 * The classes that follow, in the order of those before. was[i] is the place
 * that the i-th had before, or, from n_before on, its place among those read.
 */
static json_t *edit_classes(const json_t *before, const json_t *changes,
			    GHashTable *edits, GArray *was)
{
	size_t n_before = json_array_size(before);
	GString *key = g_string_new(NULL);
	json_t *after = json_array();
	struct edit *e;
	json_t *class;
	size_t i, place;

	json_array_foreach(before, i, class)
	{
		e = edit_of(edits, class, key);
		if (e && (!e->class || e->placed))
			continue;
		place = e ? n_before + e->read : i;
		if (e)
			e->placed = true;
		json_array_append(after, e ? e->class : class);
		g_array_append_val(was, place);
	}
	json_array_foreach(json_object_get(changes, "classes"), i, class)
	{
		e = edit_of(edits, class, key);
		if (e->placed)
			continue;
		e->placed = true;
		place = n_before + e->read;
		json_array_append(after, e->class);
		g_array_append_val(was, place);
	}
	g_string_free(key, TRUE);
	return after;
}

/* Read the classes that changed; the services are those of cfg. */
static GArray *read_changed(const struct configuration *cfg,
			    const json_t *changes, struct json_check *c)
{
	GArray *read = g_array_new(FALSE, TRUE, sizeof(struct class_settings));
	json_t *class;
	size_t i;

	json_array_foreach(json_object_get(changes, "classes"), i, class)
	{
		g_autofree char *path = g_strdup_printf("classes[%zu]", i);
		struct class_settings k = { 0 };

		class_read(&k, cfg, class, path, c);
		g_array_append_val(read, k);
	}
	return read;
}

/* Move what was read before and what was read now into the new order. */
static void arrange(struct configuration *cfg, GArray *read, const GArray *was)
{
	uint32_t n_before = cfg->n_classes;
	struct class_settings *classes =
		g_new0(struct class_settings, was->len);
	uint32_t i;

	for (i = 0; i < was->len; i++) {
		size_t place = g_array_index(was, size_t, i);
		struct class_settings *k =
			place < n_before
				? &cfg->classes[place]
				: &g_array_index(read, struct class_settings,
						 place - n_before);

		classes[i] = *k;
		memset(k, 0, sizeof(*k));
	}
	for (i = 0; i < n_before; i++)
		class_finish(&cfg->classes[i]);
	g_free(cfg->classes);
	cfg->classes = classes;
	cfg->n_classes = was->len;
	match_index_finish(&cfg->index);
	match_index_init(&cfg->index, cfg->classes, cfg->n_classes);
}

static bool only_source(const json_t *set)
{
	return json_object_size(set) ==
	       (json_object_get(set, "source") ? 1 : 0);
}

/* Services and the like are few and seldom change: all is read anew then. */
static int read_anew(struct configuration *cfg, const json_t *doc,
		     struct json_check *c)
{
	struct configuration *new = g_new0(struct configuration, 1);
	int err = configuration_read(new, doc, c);

	if (!err) {
		configuration_finish(cfg);
		*cfg = *new;
	} else {
		configuration_finish(new);
	}
	g_free(new);
	return err;
}

static int read_classes(struct configuration *cfg, const json_t *changes,
			const GArray *was, struct json_check *c)
{
	GArray *read = read_changed(cfg, changes, c);
	uint32_t i;

	if (!c->n_errors)
		arrange(cfg, read, was);
	for (i = 0; i < read->len; i++)
		class_finish(&g_array_index(read, struct class_settings, i));
	g_array_unref(read);
	return c->n_errors ? RESULT_INVALID : RESULT_OK;
}

int changes_apply(struct configuration *cfg, json_t **doc,
		  const json_t *changes, struct json_check *c)
{
	const json_t *set = json_object_get(changes, "set");
	GHashTable *edits;
	GArray *was;
	json_t *next;
	int err = RESULT_INVALID;

	if (!json_is_object(set) || (!*doc && only_source(set))) {
		json_check_fail(c, "set", "must say what there is");
		return RESULT_INVALID;
	}
	was = g_array_new(FALSE, FALSE, sizeof(size_t));
	edits = edits_of(changes, c);
	next = *doc ? json_copy(*doc) : json_object();
	json_object_update(next, (json_t *)set);
	json_object_set_new(next, "classes",
			    edit_classes(classes_of(*doc), changes, edits,
					 was));
	if (!c->n_errors)
		err = *doc && only_source(set)
			      ? read_classes(cfg, changes, was, c)
			      : read_anew(cfg, next, c);
	if (!err) {
		json_decref(*doc);
		*doc = json_incref(next);
	}
	json_decref(next);
	g_hash_table_unref(edits);
	g_array_unref(was);
	return err;
}

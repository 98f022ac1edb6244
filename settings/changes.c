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

static void format_key(GString *out, const char *method, const char *host,
		       const char *path)
{
	g_autofree char *name = g_ascii_strdown(host, -1);

	g_string_assign(out, method);
	g_string_append_c(out, '\n');
	g_string_append(out, name);
	g_string_append_c(out, '\n');
	g_string_append(out, path);
}

static void format_class_key(GString *out, const json_t *class)
{
	format_key(out, member_text(class, "method"),
		   member_text(class, "host"), member_text(class, "path"));
}

/*
 * Returns the classes indexed by key. Where several have the same key the last
 * one counts, as in match_index_find().
 */
static GHashTable *index_classes_by_key(const json_t *classes)
{
	GHashTable *t =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GString *key = g_string_new(NULL);
	json_t *class;
	size_t i;

	json_array_foreach(classes, i, class)
	{
		format_class_key(key, class);
		g_hash_table_replace(t, g_strdup(key->str), class);
	}
	g_string_free(key, TRUE);
	return t;
}

static json_t *classes_of(const json_t *doc)
{
	return json_object_get(doc, "classes");
}

/* Returns the members of to, apart from the classes, that differ in from. */
static json_t *changed_members(const json_t *from, const json_t *to)
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

static bool lists_service(const json_t *services, const char *name)
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

/*
 * Keep the services of from in set. When some changes are left for later
 * records, classes may remain whose requests go to services that to removes.
 */
static void keep_removed_services(json_t *set, const json_t *from)
{
	json_t *services = json_object_get(set, "services");
	json_t *services_of_both;
	json_t *s;
	size_t i;

	if (!services)
		return;
	services_of_both = json_copy(services);
	json_array_foreach(json_object_get(from, "services"), i, s)
	{
		if (!lists_service(services_of_both, member_text(s, "name")))
			json_array_append(services_of_both, s);
	}
	json_object_set_new(set, "services", services_of_both);
}

/* Field names and numbers of one class: they compress well in every class. */
#define CLASS_OVERHEAD_BYTES 48

/*
 * Space in one record. The first item always gets in, however long it is, so
 * that each record makes progress.
 */
struct record_space {
	size_t bytes;
	size_t max_bytes;
	bool full;
};

static bool reserve_space(struct record_space *r, size_t bytes)
{
	r->full = r->full || (r->bytes && r->bytes + bytes > r->max_bytes);
	if (!r->full)
		r->bytes += bytes;
	return !r->full;
}

/* Upper bound on the size of a class in a compressed record. */
static size_t max_class_bytes(const json_t *class)
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

/* Add the classes that are new in to or differ, as far as there is space. */
static void add_changed_classes(json_t *out, const json_t *to,
				GHashTable *from_classes,
				GHashTable *to_classes,
				struct record_space *space)
{
	GString *key = g_string_new(NULL);
	json_t *class;
	size_t i;

	json_array_foreach(classes_of(to), i, class)
	{
		format_class_key(key, class);
		if (g_hash_table_lookup(to_classes, key->str) != class ||
		    json_equal(g_hash_table_lookup(from_classes, key->str),
			       class))
			continue;
		if (!reserve_space(space, max_class_bytes(class)))
			break;
		json_array_append(out, class);
	}
	g_string_free(key, TRUE);
}

/* Add the keys of the classes that to lacks, as far as there is space. */
static void add_removed_classes(json_t *out, const json_t *from,
				GHashTable *to_classes,
				struct record_space *space)
{
	GString *key = g_string_new(NULL);
	json_t *class;
	size_t i;

	json_array_foreach(classes_of(from), i, class)
	{
		format_class_key(key, class);
		if (g_hash_table_contains(to_classes, key->str))
			continue;
		if (!reserve_space(space, key->len + CLASS_OVERHEAD_BYTES))
			break;
		json_array_append_new(
			out, json_pack("[s,s,s]", member_text(class, "method"),
				       member_text(class, "host"),
				       member_text(class, "path")));
	}
	g_string_free(key, TRUE);
}

json_t *changes_between(const json_t *from, const json_t *to, size_t max_bytes,
			bool *complete)
{
	GHashTable *from_classes = index_classes_by_key(classes_of(from));
	GHashTable *to_classes = index_classes_by_key(classes_of(to));
	json_t *set = changed_members(from, to);
	json_t *classes = json_array();
	json_t *removed = json_array();
	struct record_space space = { .max_bytes = max_bytes };

	add_changed_classes(classes, to, from_classes, to_classes, &space);
	if (!space.full)
		add_removed_classes(removed, from, to_classes, &space);
	*complete = !space.full;
	if (space.full) {
		keep_removed_services(set, from);
		/*
		 * source states that the whole version of the operators is in
		 * force, so only the last record of its changes has it.
		 */
		json_object_del(set, "source");
	}
	g_hash_table_unref(from_classes);
	g_hash_table_unref(to_classes);
	return json_pack("{s:I,s:o,s:o,s:o}", "version",
			 json_integer_value(json_object_get(to, "source")),
			 "set", set, "classes", classes, "removed", removed);
}

/* How the changes affect the class of one key. */
struct class_edit {
	json_t *class; /* the new class, NULL: removed */
	size_t changed_index; /* position in the "classes" of the changes */
	bool placed; /* already in the new list */
};

/* Returns an edit, by key, for each class that is removed, new or changed. */
static GHashTable *list_class_edits(const json_t *changes, struct json_check *c)
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
			json_check_fail(c, "removed",
					"must list the method, host and path "
					"of each class");
			break;
		}
		format_key(key, part[0], part[1], part[2]);
		g_hash_table_replace(t, g_strdup(key->str),
				     g_new0(struct class_edit, 1));
	}
	json_array_foreach(json_object_get(changes, "classes"), i, item)
	{
		struct class_edit *e = g_new0(struct class_edit, 1);

		e->class = item;
		e->changed_index = i;
		format_class_key(key, item);
		g_hash_table_replace(t, g_strdup(key->str), e);
	}
	g_string_free(key, TRUE);
	return t;
}

static struct class_edit *find_class_edit(GHashTable *edits,
					  const json_t *class, GString *key)
{
	format_class_key(key, class);
	return g_hash_table_lookup(edits, key->str);
}

/*
 * Returns the new list of classes. Classes that existed before keep their
 * order, and new ones follow. origins[i] gets the origin of the i-th: below
 * n_before an index into before, otherwise n_before plus an index into the
 * "classes" of the changes.
 */
static json_t *apply_class_edits(const json_t *before, const json_t *changes,
				 GHashTable *edits, GArray *origins)
{
	size_t n_before = json_array_size(before);
	GString *key = g_string_new(NULL);
	json_t *after = json_array();
	struct class_edit *e;
	json_t *class;
	size_t i, origin;

	json_array_foreach(before, i, class)
	{
		e = find_class_edit(edits, class, key);
		if (e && (!e->class || e->placed))
			continue;
		origin = e ? n_before + e->changed_index : i;
		if (e)
			e->placed = true;
		json_array_append(after, e ? e->class : class);
		g_array_append_val(origins, origin);
	}
	json_array_foreach(json_object_get(changes, "classes"), i, class)
	{
		e = find_class_edit(edits, class, key);
		if (e->placed)
			continue;
		e->placed = true;
		origin = n_before + e->changed_index;
		json_array_append(after, e->class);
		g_array_append_val(origins, origin);
	}
	g_string_free(key, TRUE);
	return after;
}

/* Read the new and changed classes; their services are those of cfg. */
static GArray *read_changed_classes(const struct configuration *cfg,
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

/*
 * Build the new list of classes of cfg from its old ones and those in read;
 * origins is that of apply_class_edits().
 */
static void rebuild_classes(struct configuration *cfg, GArray *read,
			    const GArray *origins)
{
	uint32_t n_before = cfg->n_classes;
	struct class_settings *classes =
		g_new0(struct class_settings, origins->len);
	uint32_t i;

	for (i = 0; i < origins->len; i++) {
		size_t origin = g_array_index(origins, size_t, i);
		struct class_settings *k =
			origin < n_before
				? &cfg->classes[origin]
				: &g_array_index(read, struct class_settings,
						 origin - n_before);

		classes[i] = *k;
		memset(k, 0, sizeof(*k));
	}
	for (i = 0; i < n_before; i++)
		class_finish(&cfg->classes[i]);
	g_free(cfg->classes);
	cfg->classes = classes;
	cfg->n_classes = origins->len;
	match_index_finish(&cfg->index);
	match_index_init(&cfg->index, cfg->classes, cfg->n_classes);
}

static bool changes_only_source(const json_t *set)
{
	return json_object_size(set) ==
	       (json_object_get(set, "source") ? 1 : 0);
}

/*
 * Read the whole document again. This is done only when members other than the
 * classes change, such as services, which is seldom.
 */
static int reread_document(struct configuration *cfg, const json_t *doc,
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

/* Read only the classes that changed. */
static int read_classes(struct configuration *cfg, const json_t *changes,
			const GArray *origins, struct json_check *c)
{
	GArray *read = read_changed_classes(cfg, changes, c);
	uint32_t i;

	if (!c->n_errors)
		rebuild_classes(cfg, read, origins);
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
	GArray *origins;
	json_t *next;
	int err = RESULT_INVALID;

	if (!json_is_object(set) || (!*doc && changes_only_source(set))) {
		json_check_fail(c, "set",
				"must be an object, and not be empty in the "
				"first changes");
		return RESULT_INVALID;
	}
	origins = g_array_new(FALSE, FALSE, sizeof(size_t));
	edits = list_class_edits(changes, c);
	next = *doc ? json_copy(*doc) : json_object();
	json_object_update(next, (json_t *)set);
	json_object_set_new(next, "classes",
			    apply_class_edits(classes_of(*doc), changes, edits,
					      origins));
	if (!c->n_errors)
		err = *doc && changes_only_source(set)
			      ? read_classes(cfg, changes, origins, c)
			      : reread_document(cfg, next, c);
	if (!err) {
		json_decref(*doc);
		*doc = json_incref(next);
	}
	json_decref(next);
	g_hash_table_unref(edits);
	g_array_unref(origins);
	return err;
}

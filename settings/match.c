#include <string.h>
#include <glib.h>

#include "settings/configuration.h"
#include "settings/match.h"

static int compare(const struct class_settings *k, const char *host,
		   const char *path)
{
	int by_host = strcmp(k->host, host);

	return by_host ? by_host : strcmp(k->path, path);
}

static bool names_method(const struct class_settings *k)
{
	return strcmp(k->method, ANY_METHOD) != 0;
}

static gint by_place(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct class_settings *classes = user;
	uint32_t i = *(const uint32_t *)a;
	uint32_t j = *(const uint32_t *)b;
	int order = compare(&classes[i], classes[j].host, classes[j].path);

	if (!order)
		order = names_method(&classes[i]) - names_method(&classes[j]);
	return order ? order : (i > j) - (i < j);
}

static bool begins(const struct class_settings *k, const char *path)
{
	return g_str_has_prefix(path, k->path);
}

/* Of classes in order, each one's parent is found on the path to the last. */
static void link_parents(struct match_index *m,
			 const struct class_settings *classes)
{
	uint32_t i, up;

	for (i = 0; i < m->n; i++) {
		const struct class_settings *k = &classes[m->order[i]];

		up = i ? i - 1 : MATCH_NONE;
		while (up != MATCH_NONE &&
		       (strcmp(classes[m->order[up]].host, k->host) ||
			!begins(&classes[m->order[up]], k->path)))
			up = m->parent[up];
		m->parent[i] = up;
	}
}

void match_index_init(struct match_index *m,
		      const struct class_settings *classes, uint32_t n)
{
	uint32_t i;

	m->n = n;
	m->order = g_new(uint32_t, n);
	m->parent = g_new(uint32_t, n);
	for (i = 0; i < n; i++)
		m->order[i] = i;
	g_qsort_with_data(m->order, n, sizeof(m->order[0]), by_place,
			  (gpointer)classes);
	link_parents(m, classes);
}

void match_index_finish(struct match_index *m)
{
	g_free(m->order);
	g_free(m->parent);
	memset(m, 0, sizeof(*m));
}

/* The last place whose host and path are not behind these. */
static uint32_t last_not_behind(const struct match_index *m,
				const struct class_settings *classes,
				const char *host, const char *path)
{
	uint32_t low = 0;
	uint32_t high = m->n;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (compare(&classes[m->order[middle]], host, path) <= 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low ? low - 1 : MATCH_NONE;
}

static bool takes(const struct class_settings *k, const char *method)
{
	return !names_method(k) || !strcmp(k->method, method);
}

/*
 * Every path that begins the request's begins the one found as well, unless
 * that one sorts before it, so all of them are its parents.
 */
static const struct class_settings *
find_of_host(const struct match_index *m, const struct class_settings *classes,
	     const char *method, const char *host, const char *path)
{
	uint32_t i = last_not_behind(m, classes, host, path);

	for (; i != MATCH_NONE; i = m->parent[i]) {
		const struct class_settings *k = &classes[m->order[i]];

		if (strcmp(k->host, host))
			return NULL;
		if (begins(k, path) && takes(k, method))
			return k;
	}
	return NULL;
}

const struct class_settings *
match_index_find(const struct match_index *m,
		 const struct class_settings *classes, const char *method,
		 const char *host, const char *path)
{
	const struct class_settings *any =
		find_of_host(m, classes, method, "", path);
	const struct class_settings *own = NULL;
	g_autofree char *name = NULL;

	if (host) {
		/* The port does not count. */
		name = g_ascii_strdown(host, strcspn(host, ":"));
		own = name[0] ? find_of_host(m, classes, method, name, path)
			      : NULL;
	}
	if (!own || (any && strlen(any->path) > strlen(own->path)))
		return any;
	return own;
}

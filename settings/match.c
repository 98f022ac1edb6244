#include <string.h>
#include <glib.h>

#include "settings/configuration.h"
#include "settings/match.h"

static int compare_host_and_path(const struct class_settings *k,
				 const char *host, const char *path)
{
	int by_host = strcmp(k->host, host);

	return by_host ? by_host : strcmp(k->path, path);
}

static bool is_for_one_method(const struct class_settings *k)
{
	return strcmp(k->method, ANY_METHOD) != 0;
}

static gint compare_by_match_order(gconstpointer a, gconstpointer b,
				   gpointer user)
{
	const struct class_settings *classes = user;
	uint32_t i = *(const uint32_t *)a;
	uint32_t j = *(const uint32_t *)b;
	int order = compare_host_and_path(&classes[i], classes[j].host,
					  classes[j].path);

	if (!order)
		order = is_for_one_method(&classes[i]) -
			is_for_one_method(&classes[j]);
	return order ? order : (i > j) - (i < j);
}

static bool path_has_prefix(const struct class_settings *k, const char *path)
{
	return g_str_has_prefix(path, k->path);
}

/*
 * In the sorted order the parent of a class is the class before it or one of
 * the ancestors of that class.
 */
static void link_parents(struct match_index *m,
			 const struct class_settings *classes)
{
	uint32_t i, up;

	for (i = 0; i < m->n; i++) {
		const struct class_settings *k = &classes[m->order[i]];

		up = i ? i - 1 : MATCH_NONE;
		while (up != MATCH_NONE &&
		       (strcmp(classes[m->order[up]].host, k->host) ||
			!path_has_prefix(&classes[m->order[up]], k->path)))
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
	g_qsort_with_data(m->order, n, sizeof(m->order[0]),
			  compare_by_match_order, (gpointer)classes);
	link_parents(m, classes);
}

void match_index_copy(struct match_index *m, const struct match_index *from)
{
	m->n = from->n;
	m->order = g_memdup2(from->order, from->n * sizeof(*from->order));
	m->parent = g_memdup2(from->parent, from->n * sizeof(*from->parent));
}

void match_index_finish(struct match_index *m)
{
	g_free(m->order);
	g_free(m->parent);
	memset(m, 0, sizeof(*m));
}

/*
 * Returns the last position in the order whose host and path sort at or before
 * these, or MATCH_NONE.
 */
static uint32_t last_not_after(const struct match_index *m,
			       const struct class_settings *classes,
			       const char *host, const char *path)
{
	uint32_t low = 0;
	uint32_t high = m->n;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (compare_host_and_path(&classes[m->order[middle]], host,
					  path) <= 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low ? low - 1 : MATCH_NONE;
}

static bool accepts_method(const struct class_settings *k, const char *method)
{
	return !is_for_one_method(k) || !strcmp(k->method, method);
}

/*
 * A class whose path is a prefix of the request's path sorts at or before the
 * last class that does not sort after the request, and its path is a prefix of
 * that class's path as well. So all candidates are that class and its
 * ancestors, and the longest path comes first.
 */
static const struct class_settings *
find_for_host(const struct match_index *m, const struct class_settings *classes,
	      const char *method, const char *host, const char *path)
{
	uint32_t i = last_not_after(m, classes, host, path);

	for (; i != MATCH_NONE; i = m->parent[i]) {
		const struct class_settings *k = &classes[m->order[i]];

		if (strcmp(k->host, host))
			return NULL;
		if (path_has_prefix(k, path) && accepts_method(k, method))
			return k;
	}
	return NULL;
}

const struct class_settings *
match_index_find(const struct match_index *m,
		 const struct class_settings *classes, const char *method,
		 const char *host, const char *path)
{
	const struct class_settings *of_any_host =
		find_for_host(m, classes, method, "", path);
	const struct class_settings *of_host = NULL;
	g_autofree char *name = NULL;

	if (host) {
		/* Classes name hosts without a port. */
		name = g_ascii_strdown(host, strcspn(host, ":"));
		of_host =
			name[0] ? find_for_host(m, classes, method, name, path)
				: NULL;
	}
	if (!of_host ||
	    (of_any_host && strlen(of_any_host->path) > strlen(of_host->path)))
		return of_any_host;
	return of_host;
}

#include <string.h>
#include <glib.h>

#include "state/leavings.h"
#include "util/result.h"

bool leaving_same_instance(const struct leaving *a, const struct leaving *b)
{
	/* Without a start, two leavings under one id may be of two instances. */
	if (a->started_ms == LEAVING_START_UNKNOWN &&
	    a->left_wall_ms != b->left_wall_ms)
		return false;
	return a->started_ms == b->started_ms &&
	       !strcmp(a->server, b->server) && !strcmp(a->host, b->host);
}

bool leavings_contain(const struct leavings *l, const struct leaving *which)
{
	uint32_t i;

	for (i = 0; i < l->n; i++)
		if (leaving_same_instance(&l->entries[i], which))
			return true;
	return false;
}

static void remove_entry(struct leavings *l, uint32_t i)
{
	l->n--;
	memmove(&l->entries[i], &l->entries[i + 1],
		(l->n - i) * sizeof(l->entries[0]));
}

/* Makes room for one more: of the same host if it has many, else of any. */
static void make_room(struct leavings *l, const char *host)
{
	uint32_t oldest = 0;
	uint32_t count = 0;
	uint32_t i;

	for (i = l->n; i-- > 0;) {
		if (strcmp(l->entries[i].host, host))
			continue;
		oldest = i;
		count++;
	}
	if (count >= LEAVINGS_PER_HOST)
		remove_entry(l, oldest);
	else if (l->n == LEAVINGS_MAX)
		remove_entry(l, 0);
}

int leavings_add(struct leavings *l, const struct leaving *left)
{
	if (!left->host[0] || !left->server[0])
		return RESULT_INVALID;
	if (leavings_contain(l, left))
		return RESULT_DUPLICATE;
	make_room(l, left->host);
	l->entries[l->n++] = *left;
	return RESULT_OK;
}

static void copy_text(char *out, size_t size, const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	g_strlcpy(out, s ? s : "", size);
}

void leaving_from_json(struct leaving *out, const json_t *o)
{
	const json_t *start = json_object_get(o, "start");

	memset(out, 0, sizeof(*out));
	copy_text(out->host, sizeof(out->host), o, "host");
	copy_text(out->server, sizeof(out->server), o, "server");
	out->started_ms = json_is_integer(start) ? json_integer_value(start)
						 : LEAVING_START_UNKNOWN;
	out->left_wall_ms = json_integer_value(json_object_get(o, "left_at"));
}

void leaving_to_json(const struct leaving *left, json_t *o)
{
	json_object_set_new(o, "host", json_string(left->host));
	json_object_set_new(o, "server", json_string(left->server));
	if (left->started_ms != LEAVING_START_UNKNOWN)
		json_object_set_new(o, "start", json_integer(left->started_ms));
	json_object_set_new(o, "left_at", json_integer(left->left_wall_ms));
}

json_t *leavings_to_json(const struct leavings *l)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < l->n; i++) {
		json_t *o = json_object();

		leaving_to_json(&l->entries[i], o);
		json_array_append_new(list, o);
	}
	return list;
}

int leavings_from_json(struct leavings *l, const json_t *list)
{
	const json_t *o;
	size_t i;

	memset(l, 0, sizeof(*l));
	if (json_array_size(list) > LEAVINGS_MAX)
		return RESULT_INVALID;
	json_array_foreach(list, i, o)
	{
		struct leaving left;

		leaving_from_json(&left, o);
		if (leavings_add(l, &left) == RESULT_INVALID)
			return RESULT_INVALID;
	}
	return RESULT_OK;
}

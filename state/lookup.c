#include <string.h>

#include "state/fleet.h"
#include "util/hash.h"
#include "util/result.h"

/* Lookups of members, services and shards in the state. */

/* Number of members. */
uint32_t fleet_n_members(const struct fleet *f)
{
	return f->members->len;
}

/* The member at position i, valid until the next record is applied. */
struct member *fleet_member_at(const struct fleet *f, uint32_t i)
{
	return &g_array_index(f->members, struct member, i);
}

/* Find a member by id, NULL when it never joined or was removed. */
struct member *fleet_member(const struct fleet *f, int64_t id)
{
	uint32_t lo = 0;
	uint32_t hi = f->members->len;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;
		struct member *m = fleet_member_at(f, mid);

		if (m->id == id)
			return m;
		if (m->id < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	return NULL;
}

/* Find the current membership of a process, NULL when it has none. */
struct member *fleet_member_by_process(const struct fleet *f, int64_t process)
{
	struct member *m;
	uint32_t i;

	for_each_member (f, m, i)
		if (m->process == process)
			return m;
	return NULL;
}

/* Find the newest member on a host, NULL when there is none. */
struct member *fleet_member_by_host(const struct fleet *f, const char *host)
{
	struct member *found = NULL;
	struct member *m;
	uint32_t i;

	for_each_member (f, m, i)
		if (!strcmp(m->host, host))
			found = m;
	return found;
}

/* Find a service by name, NULL when no configuration has named it. */
struct fleet_service *fleet_service(const struct fleet *f, const char *name)
{
	uint32_t i;

	for (i = 0; i < f->n_services; i++)
		if (!strcmp(f->services[i].name, name))
			return (struct fleet_service *)&f->services[i];
	return NULL;
}

/* Whether the configuration has the member's data centre in service. */
bool fleet_member_in_service(const struct fleet *f, const struct member *m)
{
	return configuration_in_service(&f->configuration, m->data_centre);
}

int shard_of_key(const struct fleet_service *s, const char *key,
		 uint32_t *shard)
{
	guint64 number;

	if (!s->key_numbers) {
		*shard = hash_string(key) % s->n_shards;
		return RESULT_OK;
	}
	if (!g_ascii_string_to_unsigned(key, 10, 0, s->key_numbers - 1, &number,
					NULL))
		return RESULT_INVALID;
	*shard = number * s->n_shards / s->key_numbers;
	return RESULT_OK;
}

/* Whether a process, or LOG_WITNESS, is in a witness set. */
bool witness_set_has(const struct witness_set *w, int64_t id)
{
	uint32_t i;

	for (i = 0; i < w->n; i++)
		if (w->id[i] == id)
			return true;
	return false;
}

#include <stdlib.h>
#include <string.h>

#include "state/internal.h"
#include "state/records.h"
#include "util/result.h"

#define SNAPSHOT_FORMAT 4
#define NUMBERS_PER_SHARD 8

static json_t *member_to_json(const struct member *m)
{
	json_t *r = record_join(m);

	json_object_del(r, "type");
	json_object_set_new(r, "id", json_integer(m->id));
	json_object_set_new(r, "old_witnesses",
			    witness_set_to_json(&m->old_witnesses));
	json_object_set_new(r, "witness_offset",
			    json_integer(m->witness_offset));
	if (m->prev_server_instance_id[0])
		json_object_set_new(r, "prev_life",
				    json_string(m->prev_server_instance_id));
	return r;
}

static json_t *shards_to_json(const struct fleet_service *s)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < s->n_shards; i++) {
		const struct shard *sh = &s->shards[i];
		int64_t v[] = { sh->owner,	     sh->successor,
				sh->fence,	     sh->prev_owner,
				sh->prev_successor,  sh->older_owner,
				sh->older_successor, sh->successor_fence };
		uint32_t j;

		for (j = 0; j < G_N_ELEMENTS(v); j++)
			json_array_append_new(list, json_integer(v[j]));
	}
	return list;
}

/* The complete state as JSON; the caller drops the reference. */
json_t *fleet_snapshot(const struct fleet *f)
{
	json_t *out = json_object();
	json_t *members = json_array();
	json_t *services = json_array();
	json_t *recent = json_array();
	struct member *m;
	uint32_t i;

	for_each_member (f, m, i)
		json_array_append_new(members, member_to_json(m));
	for (i = 0; i < f->n_services; i++) {
		const struct fleet_service *s = &f->services[i];
		json_t *o = json_object();

		json_object_set_new(o, "name", json_string(s->name));
		json_object_set_new(o, "n_shards", json_integer(s->n_shards));
		json_object_set_new(o, "key_numbers",
				    json_integer(s->key_numbers));
		json_object_set_new(o, "shards", shards_to_json(s));
		json_array_append_new(services, o);
	}
	for (i = 0; i < FLEET_RECENT_APPENDS; i++) {
		uint32_t at =
			(f->recent_append_next + i) % FLEET_RECENT_APPENDS;

		if (f->recent_append_hashes[at])
			json_array_append_new(
				recent,
				json_integer(
					(int64_t)f->recent_append_hashes[at]));
	}
	json_object_set_new(out, "format", json_integer(SNAPSHOT_FORMAT));
	json_object_set_new(out, "applied", json_integer(f->applied));
	json_object_set_new(out, "members", members);
	json_object_set_new(out, "services", services);
	json_object_set_new(out, "recent", recent);
	if (f->document)
		json_object_set(out, "document", f->document);
	json_object_set_new(out, "configuration_version",
			    json_integer(f->configuration_version));
	json_object_set_new(out, "source", json_integer(f->source_offset));
	json_object_set_new(out, "source_begun",
			    json_integer(f->partial_source_offset));
	json_object_set_new(out, "version_begun",
			    json_integer(f->partial_version));
	json_object_set_new(out, "snapshot_upto",
			    json_integer(f->snapshot_upto));
	json_object_set_new(out, "log_witnessed_gone",
			    json_boolean(f->log_witnessed_removed));
	if (f->quarantine.n_instances)
		json_object_set_new(out, "quarantine",
				    quarantine_to_json(&f->quarantine));
	if (f->leavings.n)
		json_object_set_new(out, "leavings",
				    leavings_to_json(&f->leavings));
	return out;
}

static void copy_text(char *out, size_t size, const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	g_strlcpy(out, s ? s : "", size);
}

static int load_member(struct fleet *f, const json_t *o)
{
	struct member m;

	memset(&m, 0, sizeof(m));
	m.id = json_integer_value(json_object_get(o, "id"));
	m.process = json_integer_value(json_object_get(o, "process"));
	m.witness_offset =
		json_integer_value(json_object_get(o, "witness_offset"));
	copy_text(m.host, sizeof(m.host), o, "host");
	copy_text(m.data_centre, sizeof(m.data_centre), o, "data_centre");
	copy_text(m.service, sizeof(m.service), o, "service");
	copy_text(m.peer, sizeof(m.peer), o, "peer");
	copy_text(m.caller, sizeof(m.caller), o, "caller");
	copy_text(m.boot_id, sizeof(m.boot_id), o, "boot_id");
	copy_text(m.nonce, sizeof(m.nonce), o, "nonce");
	copy_text(m.server_instance_id, sizeof(m.server_instance_id), o,
		  "life");
	copy_text(m.prev_server_instance_id, sizeof(m.prev_server_instance_id),
		  o, "prev_life");
	if (witness_set_from_json(&m.witnesses,
				  json_object_get(o, "witnesses")))
		return RESULT_INVALID;
	if (witness_set_from_json(&m.old_witnesses,
				  json_object_get(o, "old_witnesses")))
		return RESULT_INVALID;
	g_array_append_val(f->members, m);
	return RESULT_OK;
}

static int load_service(struct fleet *f, const json_t *o)
{
	struct fleet_service *s;
	json_t *list = json_object_get(o, "shards");
	int64_t n = json_integer_value(json_object_get(o, "n_shards"));
	uint32_t i;

	if (n <= 0 || json_array_size(list) != (size_t)n * NUMBERS_PER_SHARD)
		return RESULT_INVALID;
	s = fleet_add_service(f);
	copy_text(s->name, sizeof(s->name), o, "name");
	s->n_shards = n;
	s->key_numbers = json_integer_value(json_object_get(o, "key_numbers"));
	s->shards = g_new0(struct shard, n);
	for (i = 0; i < n; i++) {
		struct shard *sh = &s->shards[i];
		int64_t *field[] = {
			&sh->owner,	      &sh->successor,
			&sh->fence,	      &sh->prev_owner,
			&sh->prev_successor,  &sh->older_owner,
			&sh->older_successor, &sh->successor_fence
		};
		uint32_t j;

		for (j = 0; j < G_N_ELEMENTS(field); j++)
			*field[j] = json_integer_value(json_array_get(
				list, i * NUMBERS_PER_SHARD + j));
	}
	return RESULT_OK;
}

static int load_configuration(struct fleet *f, const json_t *o)
{
	json_t *doc = json_object_get(o, "document");
	struct json_check c;
	int err;

	f->configuration_version =
		json_integer_value(json_object_get(o, "configuration_version"));
	f->source_offset = json_integer_value(json_object_get(o, "source"));
	f->partial_source_offset =
		json_integer_value(json_object_get(o, "source_begun"));
	f->partial_version =
		json_integer_value(json_object_get(o, "version_begun"));
	if (!doc)
		return RESULT_OK;
	json_check_init(&c, "snapshot");
	err = configuration_read(&f->configuration, doc, &c);
	json_check_finish(&c);
	f->document = json_incref(doc);
	return err;
}

static int load_state(struct fleet *f, const json_t *o)
{
	json_t *item;
	size_t i;
	int err;

	if (json_integer_value(json_object_get(o, "format")) != SNAPSHOT_FORMAT)
		return RESULT_INVALID;
	f->snapshot_upto =
		json_integer_value(json_object_get(o, "snapshot_upto"));
	f->applied = json_integer_value(json_object_get(o, "applied"));
	f->log_witnessed_removed =
		json_is_true(json_object_get(o, "log_witnessed_gone"));
	err = quarantine_from_json(&f->quarantine,
				   json_object_get(o, "quarantine"));
	if (!err)
		err = leavings_from_json(&f->leavings,
					 json_object_get(o, "leavings"));
	if (err)
		return err;
	json_array_foreach(json_object_get(o, "members"), i, item)
	{
		err = load_member(f, item);
		if (err)
			return err;
	}
	json_array_foreach(json_object_get(o, "services"), i, item)
	{
		err = load_service(f, item);
		if (err)
			return err;
	}
	json_array_foreach(json_object_get(o, "recent"), i, item)
	{
		f->recent_append_hashes[f->recent_append_next] =
			json_integer_value(item);
		f->recent_append_next =
			(f->recent_append_next + 1) % FLEET_RECENT_APPENDS;
	}
	return load_configuration(f, o);
}

/*
 * Replace the state by a snapshot. Returns RESULT_OK, or, with the state
 * unchanged, RESULT_STALE for a snapshot older than the state and
 * RESULT_INVALID for a malformed one.
 */
int fleet_load_snapshot(struct fleet *f, const json_t *snapshot)
{
	struct fleet *new = g_new0(struct fleet, 1);
	int err;

	fleet_init(new);
	err = load_state(new, snapshot);
	/*
	 * An older state would bring back owners and a configuration that this
	 * node has already seen replaced.
	 */
	if (!err && new->applied < f->applied)
		err = RESULT_STALE;
	if (!err) {
		new->on_event = f->on_event;
		new->on_event_user = f->on_event_user;
		fleet_finish(f);
		*f = *new;
	} else {
		fleet_finish(new);
	}
	g_free(new);
	return err;
}

#include "state/records.h"
#include "util/result.h"

static json_t *new_record(const char *type)
{
	json_t *r = json_object();

	json_object_set_new(r, "type", json_string(type));
	return r;
}

static void set_text(json_t *r, const char *name, const char *value)
{
	json_object_set_new(r, name, json_string(value));
}

static void set_number(json_t *r, const char *name, int64_t value)
{
	json_object_set_new(r, name, json_integer(value));
}

/* Write a witness set as a list of member ids. */
json_t *witness_set_to_json(const struct witness_set *w)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < w->n; i++)
		json_array_append_new(list, json_integer(w->id[i]));
	return list;
}

/* Read a witness set; RESULT_INVALID when it is not a short list of ids. */
int witness_set_from_json(struct witness_set *w, const json_t *list)
{
	json_t *v;
	size_t i;

	w->n = 0;
	if (!json_is_array(list) || json_array_size(list) > FLEET_MAX_WITNESSES)
		return RESULT_INVALID;
	json_array_foreach(list, i, v)
	{
		if (!json_is_integer(v))
			return RESULT_INVALID;
		w->id[w->n++] = json_integer_value(v);
	}
	return RESULT_OK;
}

/* A new incarnation of a host asks to be a member. */
json_t *record_join(const struct member *m)
{
	json_t *r = new_record("join");

	set_text(r, "host", m->host);
	set_text(r, "data_centre", m->data_centre);
	set_text(r, "service", m->service);
	set_text(r, "peer", m->peer);
	set_text(r, "caller", m->caller);
	set_text(r, "boot_id", m->boot_id);
	set_text(r, "nonce", m->nonce);
	if (m->server_instance_id[0])
		set_text(r, "life", m->server_instance_id);
	set_number(r, "process", m->process);
	json_object_set_new(r, "witnesses", witness_set_to_json(&m->witnesses));
	return r;
}

/* Members proved to have stopped leave; add each with record_expel_add(). */
json_t *record_expel(int64_t by, const char *reason)
{
	json_t *r = new_record("expel");

	json_object_set_new(r, "members", json_array());
	set_number(r, "by", by);
	set_text(r, "reason", reason);
	return r;
}

/* Add one member, proved stopped under the witness set it has in m. */
void record_expel_add(json_t *record, const struct member *m)
{
	json_t *item = json_object();

	set_number(item, "id", m->id);
	set_number(item, "witness_offset", m->witness_offset);
	json_array_append_new(json_object_get(record, "members"), item);
}

/* A batch of planned moves of one service's shards. */
json_t *record_move(const char *service, int64_t by, const char *reason)
{
	json_t *r = new_record("move");

	set_text(r, "service", service);
	json_object_set_new(r, "items", json_array());
	set_number(r, "by", by);
	set_text(r, "reason", reason);
	return r;
}

/* Add one shard, valid only while its fence is base_fence. */
void record_move_add(json_t *record, uint32_t shard, int64_t owner,
		     int64_t successor, int64_t base_fence)
{
	json_t *item = json_array();

	json_array_append_new(item, json_integer(shard));
	json_array_append_new(item, json_integer(owner));
	json_array_append_new(item, json_integer(successor));
	json_array_append_new(item, json_integer(base_fence));
	json_array_append_new(json_object_get(record, "items"), item);
}

/* The shards of a service that nobody owns go to its members. */
json_t *record_place(const char *service, int64_t by)
{
	json_t *r = new_record("place");

	set_text(r, "service", service);
	set_number(r, "by", by);
	return r;
}

/*
 * The member holds every shard moved to it up to an offset, and uses only
 * the witnesses set up to there.
 */
json_t *record_settle(int64_t member, int64_t upto)
{
	json_t *r = new_record("settle");

	set_number(r, "member", member);
	set_number(r, "upto", upto);
	return r;
}

/* The member asks for other witnesses, instead of those set at base. */
json_t *record_witnesses(int64_t member, int64_t base,
			 const struct witness_set *w)
{
	json_t *r = new_record("witnesses");

	set_number(r, "member", member);
	set_number(r, "base", base);
	json_object_set_new(r, "witnesses", witness_set_to_json(w));
	return r;
}

/* A whole configuration that replaces the one of version base. */
json_t *record_configuration(int64_t base, json_t *document, const char *by,
			     const char *reason)
{
	json_t *r = new_record("configuration");

	set_number(r, "base", base);
	json_object_set(r, "document", document);
	set_text(r, "by", by);
	set_text(r, "reason", reason);
	return r;
}

/*
 * Changes, as changes_between() has them, to the configuration of version base,
 * worked out from what operators published up to source; takes them over.
 */
json_t *record_changes(int64_t base, json_t *changes, int64_t source,
		       bool complete, int64_t by)
{
	json_t *r = new_record("changes");

	set_number(r, "base", base);
	json_object_set_new(r, "changes", changes);
	set_number(r, "source", source);
	json_object_set_new(r, "whole", json_boolean(complete));
	set_number(r, "by", by);
	set_text(r, "reason", "published");
	return r;
}

/* One part of the state as it stood after the record at upto. */
json_t *record_snapshot(int64_t upto, uint32_t part, uint32_t parts,
			const char *data, size_t len)
{
	json_t *r = new_record("snapshot");

	set_number(r, "upto", upto);
	set_number(r, "part", part);
	set_number(r, "parts", parts);
	json_object_set_new(r, "data", json_stringn(data, len));
	return r;
}

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

/* Write a witness set as a list of process ids and LOG_WITNESS. */
json_t *witness_set_to_json(const struct witness_set *w)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < w->n; i++)
		json_array_append_new(list, json_integer(w->id[i]));
	return list;
}

/*
 * Read a witness set. Returns RESULT_OK, or RESULT_INVALID unless list is an
 * array of at most FLEET_MAX_WITNESSES integers.
 */
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

/* Make a new incarnation of a host a member. */
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

/*
 * Remove members that are proved to have stopped. Starts with an empty list;
 * record_expel_add() adds each member.
 */
json_t *record_expel(int64_t by, const char *reason)
{
	json_t *r = new_record("expel");

	json_object_set_new(r, "members", json_array());
	set_number(r, "by", by);
	set_text(r, "reason", reason);
	return r;
}

/* Add a member that was proved to have stopped by the witnesses named in m. */
void record_expel_add(json_t *record, const struct member *m)
{
	json_t *item = json_object();

	set_number(item, "id", m->id);
	set_number(item, "witness_offset", m->witness_offset);
	json_array_append_new(json_object_get(record, "members"), item);
}

/*
 * Planned moves of one service's shards. Starts with an empty list;
 * record_move_add() adds each shard.
 */
json_t *record_move(const char *service, int64_t by, const char *reason)
{
	json_t *r = new_record("move");

	set_text(r, "service", service);
	json_object_set_new(r, "items", json_array());
	set_number(r, "by", by);
	set_text(r, "reason", reason);
	return r;
}

/* Add the move of one shard, dropped unless its fence is still base_fence. */
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

/* Assign the shards of a service that have no owner to its members. */
json_t *record_place(const char *service, int64_t by)
{
	json_t *r = new_record("place");

	set_text(r, "service", service);
	set_number(r, "by", by);
	return r;
}

/*
 * State that the member holds every shard moved to it by records up to an
 * offset, and uses only the witnesses set by records up to there.
 */
json_t *record_settle(int64_t member, int64_t upto)
{
	json_t *r = new_record("settle");

	set_number(r, "member", member);
	set_number(r, "upto", upto);
	return r;
}

/* Replace the member's witnesses, if they were set by the record at base. */
json_t *record_witnesses(int64_t member, int64_t base,
			 const struct witness_set *w)
{
	json_t *r = new_record("witnesses");

	set_number(r, "member", member);
	set_number(r, "base", base);
	json_object_set_new(r, "witnesses", witness_set_to_json(w));
	return r;
}

/* Replace the configuration of version base by document, a complete one. */
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
 * Apply changes, in the form of changes_between(), to the configuration of
 * version base. They were derived from what operators published in their own
 * stream up to the offset source; complete is false when they are only a part
 * of that. Takes over the reference to changes.
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

static json_t *fingerprints_to_json(const uint64_t *fingerprints, uint32_t n)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < n; i++)
		json_array_append_new(list,
				      json_integer((int64_t)fingerprints[i]));
	return list;
}

/* A backend server instance has ended while requests ran there. */
json_t *record_suspects(int64_t by, const char *instance,
			const uint64_t *fingerprints, uint32_t n)
{
	json_t *r = new_record("suspects");

	set_number(r, "by", by);
	set_text(r, "life", instance);
	json_object_set_new(r, "requests",
			    fingerprints_to_json(fingerprints, n));
	return r;
}

/*
 * Requests are no suspects, and not blocked, any more. by: a member's id or an
 * operator's name; its reference is taken over.
 */
json_t *record_cleared(json_t *by, const char *reason,
		       const uint64_t *fingerprints, uint32_t n)
{
	json_t *r = new_record("cleared");

	json_object_set_new(r, "by", by);
	set_text(r, "reason", reason);
	json_object_set_new(r, "requests",
			    fingerprints_to_json(fingerprints, n));
	return r;
}

/* A backend server instance has said that it leaves. */
json_t *record_left(int64_t by, const struct leaving *left)
{
	json_t *r = new_record("left");

	set_number(r, "by", by);
	leaving_to_json(left, r);
	return r;
}

/* One part, of parts, of a snapshot of the state after the record at upto. */
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

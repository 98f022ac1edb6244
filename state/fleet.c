#include <string.h>

#include "state/fleet.h"
#include "settings/changes.h"
#include "state/internal.h"
#include "state/records.h"
#include "util/hash.h"
#include "util/result.h"

/* Initialise the state before the first record. */
void fleet_init(struct fleet *f)
{
	memset(f, 0, sizeof(*f));
	f->applied = -1;
	f->configuration_version = -1;
	f->source_offset = -1;
	f->partial_source_offset = -1;
	f->partial_version = -1;
	f->snapshot_offset = -1;
	f->snapshot_upto = -1;
	f->members = g_array_new(FALSE, TRUE, sizeof(struct member));
}

/* Free all memory of the state and zero it. */
void fleet_finish(struct fleet *f)
{
	uint32_t i;

	for (i = 0; i < f->n_services; i++)
		g_free(f->services[i].shards);
	g_free(f->services);
	g_array_unref(f->members);
	json_decref(f->document);
	configuration_finish(&f->configuration);
	memset(f, 0, sizeof(*f));
}

static int64_t get_number(const json_t *r, const char *name)
{
	return json_integer_value(json_object_get(r, name));
}

static const char *get_text(const json_t *r, const char *name)
{
	const char *s = json_string_value(json_object_get(r, name));

	return s ? s : "";
}

static void emit_event(struct fleet *f, struct fleet_event *ev,
		       const json_t *record)
{
	const json_t *by = json_object_get(record, "by");
	char id[24];

	if (!f->on_event)
		return;
	if (json_is_integer(by)) {
		g_snprintf(id, sizeof(id), "member %" G_GINT64_FORMAT,
			   (gint64)json_integer_value(by));
		ev->written_by = id;
	} else {
		ev->written_by = get_text(record, "by");
	}
	if (!ev->reason)
		ev->reason = get_text(record, "reason");
	f->on_event(f->on_event_user, ev);
}

static void emit_member_event(struct fleet *f, enum fleet_event_type type,
			      int64_t offset, const struct member *m,
			      const json_t *record, const char *reason)
{
	struct fleet_event ev = {
		.type = type, .offset = offset, .member = m, .reason = reason
	};

	emit_event(f, &ev, record);
}

void fleet_set_owner(struct fleet *f, struct fleet_service *s, uint32_t i,
		     int64_t owner, int64_t offset, const json_t *record,
		     const char *reason)
{
	struct shard *sh = &s->shards[i];
	struct fleet_event ev = { .type = FLEET_SHARD_MOVED,
				  .offset = offset,
				  .service = s->name,
				  .shard = i,
				  .from = sh->owner,
				  .to = owner,
				  .fence_before = sh->fence,
				  .reason = reason };

	sh->owner = owner;
	sh->fence = offset;
	emit_event(f, &ev, record);
}

void fleet_set_successor(struct shard *sh, int64_t successor, int64_t offset)
{
	sh->successor = successor;
	sh->successor_fence = offset;
}

static void assign_unowned_shards(struct fleet *f, struct fleet_service *s,
				  int64_t offset, const json_t *record)
{
	uint32_t i;

	assign_prepare(f, s);
	for (i = 0; i < s->n_shards; i++) {
		struct shard *sh = &s->shards[i];

		if (!sh->owner) {
			int64_t to = assign_pick_member(f, i, 0, 0);

			if (to)
				fleet_set_owner(f, s, i, to, offset, record,
						"unowned shard");
		}
		if (sh->owner && !sh->successor)
			fleet_set_successor(
				sh, assign_pick_member(f, i, sh->owner, 0),
				offset);
	}
}

/*
 * Name successors for the shards of one service that have none. Neighbouring
 * shards of one owner get the same successor, so that they form one range at
 * the successor's backend server.
 */
static void assign_successors(struct fleet *f, struct fleet_service *s,
			      int64_t offset)
{
	struct shard *last = NULL;
	uint32_t i;

	assign_prepare(f, s);
	for (i = 0; i < s->n_shards; i++) {
		struct shard *sh = &s->shards[i];

		if (!sh->owner || sh->successor)
			continue;
		if (last && last == sh - 1 && last->owner == sh->owner &&
		    last->successor) {
			fleet_set_successor(sh, last->successor, offset);
			fleet_member(f, last->successor)->n_assigned++;
		} else {
			fleet_set_successor(
				sh, assign_pick_member(f, i, sh->owner, 0),
				offset);
		}
		last = sh;
	}
}

/*
 * Shards that are key ranges get their first owners by a "place" record, which
 * is written once the members that will share them have joined. If the first
 * member to join got all of them, they would soon move again, and moving a
 * range costs the backend servers more than moving hashed keys.
 */
static bool needs_place_record(const struct fleet_service *s)
{
	return s->key_numbers;
}

static void assign_missing(struct fleet *f, struct fleet_service *s,
			   int64_t offset, const json_t *record)
{
	if (needs_place_record(s))
		assign_successors(f, s, offset);
	else
		assign_unowned_shards(f, s, offset, record);
}

static void remove_from_shard(struct fleet *f, struct fleet_service *s,
			      uint32_t i, int64_t removed, int64_t offset,
			      const json_t *record, const char *reason)
{
	struct shard *sh = &s->shards[i];

	/*
	 * If an earlier record named a successor, no other member may become
	 * the owner. The successor may already serve the shard, having taken it
	 * over while it could not reach the log. Any other choice here would
	 * give the keys a second owner.
	 */
	if (sh->owner == removed) {
		int64_t successor = sh->successor;

		sh->successor = 0;
		if (!successor)
			successor = assign_pick_member(f, i, 0, removed);
		fleet_set_owner(f, s, i, successor, offset, record, reason);
	}
	if (sh->successor == removed) {
		struct fleet_event ev = { .type = FLEET_SUCCESSOR_REMOVED,
					  .offset = offset,
					  .service = s->name,
					  .shard = i,
					  .from = removed,
					  .reason = reason };

		sh->successor = 0;
		emit_event(f, &ev, record);
	}
	if (sh->owner && !sh->successor && !needs_place_record(s))
		fleet_set_successor(
			sh, assign_pick_member(f, i, sh->owner, removed),
			offset);
}

static void remove_member(struct fleet *f, int64_t id, int64_t offset,
			  const json_t *record, const char *reason)
{
	struct member *m = fleet_member(f, id);
	struct member copy = *m;
	uint32_t i, j;

	if (witness_set_has(&copy.witnesses, LOG_WITNESS) ||
	    witness_set_has(&copy.old_witnesses, LOG_WITNESS))
		f->log_witnessed_removed = true;
	g_array_remove_index(f->members,
			     m - &g_array_index(f->members, struct member, 0));
	for (i = 0; i < f->n_services; i++) {
		if (strcmp(f->services[i].name, copy.service))
			continue;
		assign_prepare(f, &f->services[i]);
		for (j = 0; j < f->services[i].n_shards; j++)
			remove_from_shard(f, &f->services[i], j, id, offset,
					  record, reason);
		/*
		 * If successors were picked one by one, those of neighbouring
		 * shards would alternate. Each loss of a member would then
		 * split an owner's shards into more separate ranges, until the
		 * answer to a heartbeat cannot list them all. The backend server
		 * releases the ranges left out and refuses requests for them.
		 */
		if (needs_place_record(&f->services[i]))
			assign_successors(f, &f->services[i], offset);
	}
	emit_member_event(f, FLEET_MEMBER_REMOVED, offset, &copy, record,
			  reason);
}

static int read_join(struct member *m, int64_t offset, const json_t *r)
{
	memset(m, 0, sizeof(*m));
	m->id = offset + 1;
	m->witness_offset = offset;
	m->process = get_number(r, "process");
	if (!m->process)
		m->process = m->id;
	g_strlcpy(m->host, get_text(r, "host"), sizeof(m->host));
	g_strlcpy(m->data_centre, get_text(r, "data_centre"),
		  sizeof(m->data_centre));
	g_strlcpy(m->service, get_text(r, "service"), sizeof(m->service));
	g_strlcpy(m->peer, get_text(r, "peer"), sizeof(m->peer));
	g_strlcpy(m->caller, get_text(r, "caller"), sizeof(m->caller));
	g_strlcpy(m->boot_id, get_text(r, "boot_id"), sizeof(m->boot_id));
	g_strlcpy(m->nonce, get_text(r, "nonce"), sizeof(m->nonce));
	g_strlcpy(m->server_instance_id, get_text(r, "life"),
		  sizeof(m->server_instance_id));
	if (!m->host[0] || !m->peer[0])
		return RESULT_INVALID;
	return witness_set_from_json(&m->witnesses,
				     json_object_get(r, "witnesses"));
}

int fleet_move_shard(struct fleet *f, struct fleet_service *s, uint32_t i,
		     int64_t owner, int64_t successor, int64_t offset,
		     const json_t *record, const char *reason)
{
	struct shard *sh = &s->shards[i];
	int64_t prev_owner = sh->owner;
	int64_t prev_successor = sh->successor;

	/* The state keeps previous owners of two unsettled moves at most. */
	if (sh->older_owner || owner == successor)
		return RESULT_STALE;
	sh->older_owner = sh->prev_owner;
	sh->older_successor = sh->prev_successor;
	if (owner != prev_owner)
		fleet_set_owner(f, s, i, owner, offset, record, reason);
	fleet_set_successor(sh, successor, offset);
	if (prev_owner) {
		sh->prev_owner = prev_owner;
		sh->prev_successor = prev_successor;
		sh->fence = offset;
	}
	return RESULT_OK;
}

static int apply_join(struct fleet *f, int64_t offset, const json_t *r)
{
	struct member m;
	struct member *old;
	struct fleet_service *s;
	int err = read_join(&m, offset, r);

	if (err)
		return err;
	old = fleet_member_by_host(f, m.host);
	while (old && rejoin_supersedes(&m, old)) {
		struct member removed = *old;

		rejoin_note_instance(&m, &removed);
		rejoin_transfer_shards(f, &removed, &m, offset, r);
		remove_member(f, removed.id, offset, r,
			      rejoin_server_restarted(&m, &removed)
				      ? FLEET_REASON_SERVER_RESTARTED
				      : FLEET_REASON_RESTARTED);
		old = fleet_member_by_host(f, m.host);
	}
	g_array_append_val(f->members, m);
	emit_member_event(f, FLEET_MEMBER_JOINED, offset, &m, r, "joined");
	s = fleet_service(f, m.service);
	if (s)
		assign_missing(f, s, offset, r);
	return RESULT_OK;
}

/*
 * A "place" record assigns key ranges in this many blocks of neighbouring
 * shards, spread over the members. Busy keys lie close together, so each member
 * gets a part of them. Each block is one range among those granted to its
 * backend server.
 */
#define PLACE_BLOCKS 128

static uint32_t block_end(const struct fleet_service *s, uint32_t from)
{
	uint32_t size = MAX(s->n_shards / PLACE_BLOCKS, 1);

	return MIN((from / size + 1) * size, s->n_shards);
}

static bool place_block(struct fleet *f, struct fleet_service *s, uint32_t from,
			uint32_t end, int64_t offset, const json_t *r)
{
	int64_t to = 0;
	uint32_t i;

	for (i = from; i < end; i++) {
		if (s->shards[i].owner)
			continue;
		if (!to)
			to = assign_pick_member(f, from, 0, 0);
		if (!to)
			return false;
		fleet_set_owner(f, s, i, to, offset, r, "unowned shard");
		fleet_member(f, to)->n_assigned++;
	}
	return to;
}

/* Assigns all owners before any successor, so that both are spread evenly. */
static int apply_place(struct fleet *f, int64_t offset, const json_t *r)
{
	struct fleet_service *s = fleet_service(f, get_text(r, "service"));
	int result = RESULT_STALE;
	uint32_t i;

	if (!s)
		return RESULT_NO_SUCH;
	assign_prepare(f, s);
	for (i = 0; i < s->n_shards; i = block_end(s, i))
		if (place_block(f, s, i, block_end(s, i), offset, r))
			result = RESULT_OK;
	assign_successors(f, s, offset);
	return result;
}

static int apply_expel(struct fleet *f, int64_t offset, const json_t *r)
{
	json_t *list = json_object_get(r, "members");
	int result = RESULT_NO_SUCH;
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		struct member *m = fleet_member(f, get_number(item, "id"));

		if (!m)
			continue;
		/*
		 * The proof that the member stopped came from witnesses that
		 * the member has since replaced. It is void, as the new
		 * witnesses may vouch for the member.
		 */
		if (m->witness_offset != get_number(item, "witness_offset")) {
			result = result == RESULT_OK ? RESULT_OK : RESULT_STALE;
			continue;
		}
		remove_member(f, m->id, offset, r, get_text(r, "reason"));
		result = RESULT_OK;
	}
	return result;
}

static int apply_move_item(struct fleet *f, struct fleet_service *s,
			   int64_t offset, const json_t *r, const json_t *item)
{
	int64_t i = json_integer_value(json_array_get(item, 0));
	int64_t owner = json_integer_value(json_array_get(item, 1));
	int64_t successor = json_integer_value(json_array_get(item, 2));
	int64_t base = json_integer_value(json_array_get(item, 3));

	if (i < 0 || i >= s->n_shards)
		return RESULT_INVALID;
	if (s->shards[i].fence != base || !fleet_member(f, owner))
		return RESULT_STALE;
	/*
	 * A planned move can wait until the previous one is settled. The state
	 * can hold two unsettled moves, and the second is reserved for moves
	 * that cannot wait.
	 */
	if (s->shards[i].prev_owner)
		return RESULT_STALE;
	if (successor && !fleet_member(f, successor))
		return RESULT_STALE;
	return fleet_move_shard(f, s, i, owner, successor, offset, r,
				get_text(r, "reason"));
}

static int apply_move(struct fleet *f, int64_t offset, const json_t *r)
{
	struct fleet_service *s = fleet_service(f, get_text(r, "service"));
	int result = RESULT_STALE;
	json_t *item;
	size_t i;

	if (!s)
		return RESULT_NO_SUCH;
	json_array_foreach(json_object_get(r, "items"), i,
			   item) if (!apply_move_item(f, s, offset, r, item))
		result = RESULT_OK;
	return result;
}

static int apply_settle(struct fleet *f, int64_t offset, const json_t *r)
{
	struct member *m = fleet_member(f, get_number(r, "member"));
	int64_t upto = get_number(r, "upto");
	uint32_t i, j;

	if (!m)
		return RESULT_NO_SUCH;
	if (upto >= offset)
		return RESULT_INVALID;
	/*
	 * A node that has not read this record may append an expulsion proved
	 * by the old witnesses, one of which may be the log. The old witnesses
	 * no longer count. The new witness_offset makes apply_expel() drop such
	 * an expulsion, which would otherwise pass for one proved by the new
	 * witnesses.
	 */
	if (m->old_witnesses.n && m->witness_offset <= upto) {
		m->old_witnesses.n = 0;
		m->witness_offset = offset;
	}
	for (i = 0; i < f->n_services; i++) {
		for (j = 0; j < f->services[i].n_shards; j++) {
			struct shard *sh = &f->services[i].shards[j];

			if (sh->owner != m->id || sh->fence > upto)
				continue;
			sh->prev_owner = 0;
			sh->prev_successor = 0;
			sh->older_owner = 0;
			sh->older_successor = 0;
		}
	}
	emit_member_event(f, FLEET_MEMBER_SETTLED, offset, m, r, "settled");
	return RESULT_OK;
}

static int apply_witnesses(struct fleet *f, int64_t offset, const json_t *r)
{
	struct member *m = fleet_member(f, get_number(r, "member"));
	struct witness_set w;

	if (!m)
		return RESULT_NO_SUCH;
	if (witness_set_from_json(&w, json_object_get(r, "witnesses")))
		return RESULT_INVALID;
	if (m->witness_offset != get_number(r, "base"))
		return RESULT_STALE;
	/*
	 * Until the member settles, its old set still counts beside the new
	 * one. A second change before that keeps the old set and replaces only
	 * the new one: the member never served by the set that is replaced.
	 */
	if (!m->old_witnesses.n)
		m->old_witnesses = m->witnesses;
	m->witnesses = w;
	m->witness_offset = offset;
	emit_member_event(f, FLEET_WITNESSES_CHANGED, offset, m, r,
			  "witnesses");
	return RESULT_OK;
}

struct fleet_service *fleet_add_service(struct fleet *f)
{
	struct fleet_service *s;

	f->services =
		g_renew(struct fleet_service, f->services, f->n_services + 1);
	s = &f->services[f->n_services++];
	memset(s, 0, sizeof(*s));
	return s;
}

static void add_services(struct fleet *f)
{
	const struct configuration *cfg = &f->configuration;
	uint32_t i;

	for (i = 0; i < cfg->n_services; i++) {
		const struct service_settings *ss = &cfg->services[i];
		struct fleet_service *s = fleet_service(f, ss->name);

		if (s)
			continue;
		s = fleet_add_service(f);
		g_strlcpy(s->name, ss->name, sizeof(s->name));
		s->n_shards = ss->n_shards;
		s->key_numbers = ss->key_numbers;
		s->shards = g_new0(struct shard, s->n_shards);
	}
}

static bool member_in_service(const struct fleet *f, int64_t id)
{
	struct member *m = fleet_member(f, id);

	return m && fleet_member_in_service(f, m);
}

static void evacuate_shards(struct fleet *f, struct fleet_service *s,
			    int64_t offset, const json_t *record)
{
	uint32_t i;

	/*
	 * The record that takes a data centre out of service also decides where
	 * its shards go. If the log fails right after it, nodes that receive
	 * the record from their peers can still move the shards.
	 */
	assign_prepare(f, s);
	for (i = 0; i < s->n_shards; i++) {
		struct shard *sh = &s->shards[i];
		int64_t to = sh->owner;
		int64_t successor = sh->successor;

		if (!to)
			continue;
		if (!member_in_service(f, to))
			to = member_in_service(f, successor)
				     ? successor
				     : assign_pick_member(f, i, 0, to);
		if (!to)
			continue;
		if (successor == to || !member_in_service(f, successor))
			successor = assign_pick_member(f, i, to, 0);
		if (to != sh->owner ||
		    (successor && successor != sh->successor))
			fleet_move_shard(f, s, i, to, successor, offset, record,
					 "data centre out of service");
	}
}

static void emit_configuration_refused(struct fleet *f, int64_t offset,
				       const json_t *record, const char *errors)
{
	g_autofree char *first = g_strndup(errors, strcspn(errors, "\n"));
	struct fleet_event ev = { .type = FLEET_CONFIGURATION_REFUSED,
				  .offset = offset,
				  .reason = first };

	emit_event(f, &ev, record);
}

/* Update services and shards after a change of the configuration. */
static void on_configuration_changed(struct fleet *f, int64_t offset,
				     const json_t *r)
{
	struct fleet_event ev = { .type = FLEET_CONFIGURATION_CHANGED,
				  .offset = offset };
	uint32_t i;

	f->configuration_version = offset;
	add_services(f);
	for (i = 0; i < f->n_services; i++) {
		assign_missing(f, &f->services[i], offset, r);
		evacuate_shards(f, &f->services[i], offset, r);
	}
	emit_event(f, &ev, r);
}

/* Replace the configuration, if it is the one that the record is based on. */
static int apply_configuration(struct fleet *f, int64_t offset, const json_t *r)
{
	json_t *doc = json_object_get(r, "document");
	struct configuration *cfg;
	struct json_check c;
	int err;

	if (get_number(r, "base") != f->configuration_version)
		return RESULT_STALE;
	cfg = g_new0(struct configuration, 1);
	json_check_init(&c, "record");
	err = configuration_read(cfg, doc, &c);
	if (!err) {
		configuration_finish(&f->configuration);
		f->configuration = *cfg;
		json_decref(f->document);
		f->document = json_incref(doc);
		on_configuration_changed(f, offset, r);
	} else {
		emit_configuration_refused(f, offset, r, c.errors->str);
		configuration_finish(cfg);
	}
	json_check_finish(&c);
	g_free(cfg);
	return err;
}

/*
 * Take the data centres out of changes whose writer had read less of the
 * operators' stream than the writer of earlier changes: that writer may not
 * have read which data centres were taken out of service since.
 */
static void discard_data_centre_changes(json_t *changes)
{
	json_t *set = json_copy(json_object_get(changes, "set"));

	json_object_del(set, "data_centres");
	json_object_set_new(changes, "set", set);
}

/*
 * Apply what operators published in a stream of their own, as changes to the
 * configuration that the record is based on. When changes are in force in part,
 * any member may write the rest of them, but changes that lead back to an older
 * operators' version are dropped.
 */
static int apply_changes(struct fleet *f, int64_t offset, const json_t *r)
{
	int64_t source = get_number(r, "source");
	json_t *changes = json_object_get(r, "changes");
	int64_t version = get_number(changes, "version");
	struct json_check c;
	int err;

	if (get_number(r, "base") != f->configuration_version ||
	    source <= f->source_offset || version < f->partial_version)
		return RESULT_STALE;
	changes = json_copy(changes);
	if (source < f->partial_source_offset)
		discard_data_centre_changes(changes);
	json_check_init(&c, "record");
	err = changes_apply(&f->configuration, &f->document, changes, &c);
	if (err)
		emit_configuration_refused(f, offset, r, c.errors->str);
	json_check_finish(&c);
	json_decref(changes);
	f->partial_source_offset = MAX(f->partial_source_offset, source);
	f->partial_version = version;
	/*
	 * Invalid changes count as read; otherwise members would write them
	 * again without end.
	 */
	if (err || json_is_true(json_object_get(r, "whole")))
		f->source_offset = source;
	if (!err)
		on_configuration_changed(f, offset, r);
	return err;
}

/* Reads the fingerprints of a record. Returns RESULT_OK or RESULT_INVALID. */
static int read_fingerprints(const json_t *r,
			     uint64_t out[QUARANTINE_MAX_IN_RECORD],
			     uint32_t *n)
{
	const json_t *list = json_object_get(r, "requests");
	const json_t *v;
	size_t i;

	*n = json_array_size(list);
	if (!*n || *n > QUARANTINE_MAX_IN_RECORD)
		return RESULT_INVALID;
	json_array_foreach(list, i, v)
	{
		if (!json_is_integer(v))
			return RESULT_INVALID;
		out[i] = (uint64_t)json_integer_value(v);
	}
	return RESULT_OK;
}

struct ending {
	struct fleet *fleet;
	int64_t offset;
	const json_t *record;
};

static void emit_if_blocked(void *user, const struct quarantined_request *r)
{
	const struct ending *e = user;
	struct fleet_event ev = { .type = FLEET_REQUEST_BLOCKED,
				  .offset = e->offset,
				  .fingerprint = r->fingerprint,
				  .endings = r->endings };

	if (r->endings < QUARANTINE_BLOCK_ENDINGS)
		return;
	ev.reason = get_text(e->record, "life");
	emit_event(e->fleet, &ev, e->record);
}

static int apply_suspects(struct fleet *f, int64_t offset, const json_t *r)
{
	struct ending e = { f, offset, r };
	uint64_t fingerprints[QUARANTINE_MAX_IN_RECORD];
	const char *instance = get_text(r, "life");
	uint32_t n;
	int err = read_fingerprints(r, fingerprints, &n);

	if (err || !instance[0])
		return RESULT_INVALID;
	return quarantine_add_ending(&f->quarantine, hash_string(instance),
				     fingerprints, n, offset, emit_if_blocked,
				     &e);
}

static int apply_cleared(struct fleet *f, int64_t offset, const json_t *r)
{
	uint64_t fingerprints[QUARANTINE_MAX_IN_RECORD];
	struct fleet_event ev = { .type = FLEET_REQUEST_CLEARED,
				  .offset = offset };
	uint32_t i, n;
	int err = read_fingerprints(r, fingerprints, &n);

	for (i = 0; !err && i < n; i++) {
		ev.fingerprint = fingerprints[i];
		ev.endings = quarantine_clear(&f->quarantine, fingerprints[i]);
		if (ev.endings >= QUARANTINE_BLOCK_ENDINGS)
			emit_event(f, &ev, r);
	}
	return err;
}

static int apply_left(struct fleet *f, int64_t offset, const json_t *r)
{
	struct leaving left;
	struct fleet_event ev = { .type = FLEET_SERVER_LEFT,
				  .offset = offset,
				  .leaving = &left };
	int err;

	leaving_from_json(&left, r);
	err = leavings_add(&f->leavings, &left);
	if (!err)
		emit_event(f, &ev, r);
	return err;
}

static int apply_snapshot(struct fleet *f, int64_t offset, const json_t *r)
{
	int64_t upto = get_number(r, "upto");
	int64_t part = get_number(r, "part");

	if (part == 0) {
		f->snapshot_upto = upto;
		f->next_snapshot_part = 0;
	}
	if (upto != f->snapshot_upto || part != f->next_snapshot_part)
		return RESULT_STALE;
	f->next_snapshot_part++;
	if (f->next_snapshot_part == get_number(r, "parts"))
		f->snapshot_offset = offset;
	return RESULT_OK;
}

struct record_type {
	const char *type;
	int (*apply)(struct fleet *f, int64_t offset, const json_t *r);
};

static const struct record_type record_types[] = {
	{ "join", apply_join },
	{ "expel", apply_expel },
	{ "move", apply_move },
	{ "place", apply_place },
	{ "settle", apply_settle },
	{ "witnesses", apply_witnesses },
	{ "configuration", apply_configuration },
	{ "changes", apply_changes },
	{ "suspects", apply_suspects },
	{ "cleared", apply_cleared },
	{ "left", apply_left },
	{ "snapshot", apply_snapshot },
};

/*
 * Whether an append id is among the last FLEET_RECENT_APPENDS; if not, it is
 * added to them.
 */
static bool is_duplicate_append(struct fleet *f, const char *append_id)
{
	uint64_t h = hash_string(append_id);
	uint32_t i;

	if (!append_id[0])
		return false;
	for (i = 0; i < FLEET_RECENT_APPENDS; i++)
		if (f->recent_append_hashes[i] == h)
			return true;
	f->recent_append_hashes[f->recent_append_next] = h;
	f->recent_append_next =
		(f->recent_append_next + 1) % FLEET_RECENT_APPENDS;
	return false;
}

static int apply_by_type(struct fleet *f, int64_t offset, const json_t *record)
{
	const char *type = get_text(record, "type");
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(record_types); i++)
		if (!strcmp(record_types[i].type, type))
			return record_types[i].apply(f, offset, record);
	return RESULT_INVALID;
}

int fleet_apply(struct fleet *f, int64_t offset, const char *append_id,
		const json_t *record)
{
	struct fleet_event ev = { .type = FLEET_RECORD_DROPPED,
				  .offset = offset };
	int err;

	if (offset != f->applied + 1)
		return RESULT_GAP;
	f->applied = offset;
	/*
	 * A writer that did not get the log's answer may append the same record
	 * again. The second copy has to be dropped: a second copy of a join,
	 * for instance, would make a member supersede itself.
	 */
	if (is_duplicate_append(f, append_id))
		err = RESULT_DUPLICATE;
	else
		err = apply_by_type(f, offset, record);
	if (err) {
		ev.result = err;
		ev.reason = get_text(record, "type");
		emit_event(f, &ev, record);
	}
	return err;
}

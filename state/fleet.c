#include <string.h>

#include "state/fleet.h"
#include "settings/changes.h"
#include "state/internal.h"
#include "state/records.h"
#include "util/hash.h"
#include "util/result.h"

/* Set up an empty state that no record has touched. */
void fleet_init(struct fleet *f)
{
	memset(f, 0, sizeof(*f));
	f->applied = -1;
	f->configuration_version = -1;
	f->source = -1;
	f->source_begun = -1;
	f->version_begun = -1;
	f->snapshot_offset = -1;
	f->snapshot_upto = -1;
	f->members = g_array_new(FALSE, TRUE, sizeof(struct member));
}

/* Release what the state holds. */
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

static int64_t number(const json_t *r, const char *name)
{
	return json_integer_value(json_object_get(r, name));
}

static const char *text(const json_t *r, const char *name)
{
	const char *s = json_string_value(json_object_get(r, name));

	return s ? s : "";
}

static void emit(struct fleet *f, struct fleet_event *ev, const json_t *record)
{
	const json_t *by = json_object_get(record, "by");
	char id[24];

	if (!f->on_event)
		return;
	if (json_is_integer(by)) {
		g_snprintf(id, sizeof(id), "member %" G_GINT64_FORMAT,
			   (gint64)json_integer_value(by));
		ev->by = id;
	} else {
		ev->by = text(record, "by");
	}
	if (!ev->reason)
		ev->reason = text(record, "reason");
	f->on_event(f->on_event_user, ev);
}

static void emit_member(struct fleet *f, enum fleet_event_type type,
			int64_t offset, const struct member *m,
			const json_t *record, const char *reason)
{
	struct fleet_event ev = {
		.type = type, .offset = offset, .member = m, .reason = reason
	};

	emit(f, &ev, record);
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
	emit(f, &ev, record);
}

void fleet_name_heir(struct shard *sh, int64_t heir, int64_t offset)
{
	sh->successor = heir;
	sh->heir_fence = offset;
}

static void assign_unowned(struct fleet *f, struct fleet_service *s,
			   int64_t offset, const json_t *record)
{
	uint32_t i;

	assign_prepare(f, s);
	for (i = 0; i < s->n_shards; i++) {
		struct shard *sh = &s->shards[i];

		if (!sh->owner) {
			int64_t to = assign_pick(f, i, 0, 0);

			if (to)
				fleet_set_owner(f, s, i, to, offset, record,
						"unowned shard");
		}
		if (sh->owner && !sh->successor)
			fleet_name_heir(sh, assign_pick(f, i, sh->owner, 0),
					offset);
	}
}

/* Neighbours that go together to one heir make one row at its server. */
static void name_successors(struct fleet *f, struct fleet_service *s,
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
			fleet_name_heir(sh, last->successor, offset);
			fleet_member(f, last->successor)->claims++;
		} else {
			fleet_name_heir(sh, assign_pick(f, i, sh->owner, 0),
					offset);
		}
		last = sh;
	}
}

/*
 * Ranges are placed by a record of their own, once those who will share them
 * have joined. Given to whoever joins first they would move again at once, and
 * a move of a range costs its backend servers more than one of hashed keys.
 */
static bool placed_by_record(const struct fleet_service *s)
{
	return s->key_numbers;
}

static void on_more_members(struct fleet *f, struct fleet_service *s,
			    int64_t offset, const json_t *record)
{
	if (placed_by_record(s))
		name_successors(f, s, offset);
	else
		assign_unowned(f, s, offset, record);
}

static void inherit(struct fleet *f, struct fleet_service *s, uint32_t i,
		    int64_t gone, int64_t offset, const json_t *record,
		    const char *reason)
{
	struct shard *sh = &s->shards[i];

	/*
	 * The shard goes to the successor that the log named beforehand and to
	 * nobody else: that successor may already serve it, when it took over
	 * while it could not reach the log. Any other choice here would give
	 * the key a second owner.
	 */
	if (sh->owner == gone) {
		int64_t heir = sh->successor;

		sh->successor = 0;
		if (!heir)
			heir = assign_pick(f, i, 0, gone);
		fleet_set_owner(f, s, i, heir, offset, record, reason);
	}
	if (sh->successor == gone) {
		struct fleet_event ev = { .type = FLEET_SUCCESSOR_GONE,
					  .offset = offset,
					  .service = s->name,
					  .shard = i,
					  .from = gone,
					  .reason = reason };

		sh->successor = 0;
		emit(f, &ev, record);
	}
	if (sh->owner && !sh->successor && !placed_by_record(s))
		fleet_name_heir(sh, assign_pick(f, i, sh->owner, gone), offset);
}

static void remove_member(struct fleet *f, int64_t id, int64_t offset,
			  const json_t *record, const char *reason)
{
	struct member *m = fleet_member(f, id);
	struct member copy = *m;
	uint32_t i, j;

	if (witness_set_has(&copy.witnesses, LOG_WITNESS) ||
	    witness_set_has(&copy.old_witnesses, LOG_WITNESS))
		f->log_witnessed_gone = true;
	g_array_remove_index(f->members,
			     m - &g_array_index(f->members, struct member, 0));
	for (i = 0; i < f->n_services; i++) {
		if (strcmp(f->services[i].name, copy.service))
			continue;
		assign_prepare(f, &f->services[i]);
		for (j = 0; j < f->services[i].n_shards; j++)
			inherit(f, &f->services[i], j, id, offset, record,
				reason);
		/*
		 * Picked one by one, heirs of neighbours alternate, and with
		 * each loss the ranges of an owner fall into more rows than the
		 * answer to a heartbeat can name; the server lets go what is
		 * left out, and turns its requests away.
		 */
		if (placed_by_record(&f->services[i]))
			name_successors(f, &f->services[i], offset);
	}
	emit_member(f, FLEET_MEMBER_GONE, offset, &copy, record, reason);
}

static int read_join(struct member *m, int64_t offset, const json_t *r)
{
	memset(m, 0, sizeof(*m));
	m->id = offset + 1;
	m->witness_offset = offset;
	m->process = number(r, "process");
	if (!m->process)
		m->process = m->id;
	g_strlcpy(m->host, text(r, "host"), sizeof(m->host));
	g_strlcpy(m->data_centre, text(r, "data_centre"),
		  sizeof(m->data_centre));
	g_strlcpy(m->service, text(r, "service"), sizeof(m->service));
	g_strlcpy(m->peer, text(r, "peer"), sizeof(m->peer));
	g_strlcpy(m->caller, text(r, "caller"), sizeof(m->caller));
	g_strlcpy(m->boot_id, text(r, "boot_id"), sizeof(m->boot_id));
	g_strlcpy(m->nonce, text(r, "nonce"), sizeof(m->nonce));
	g_strlcpy(m->life, text(r, "life"), sizeof(m->life));
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
	int64_t from = sh->owner;
	int64_t from_successor = sh->successor;

	/* There is room for the predecessors of two moves, not of more. */
	if (sh->earlier_from || owner == successor)
		return RESULT_STALE;
	sh->earlier_from = sh->from;
	sh->earlier_successor = sh->from_successor;
	if (owner != from)
		fleet_set_owner(f, s, i, owner, offset, record, reason);
	fleet_name_heir(sh, successor, offset);
	if (from) {
		sh->from = from;
		sh->from_successor = from_successor;
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
		struct member gone = *old;

		rejoin_take_over(f, &gone, &m, offset, r);
		remove_member(f, gone.id, offset, r,
			      rejoin_ended(&m, &gone) ? FLEET_REASON_ENDED
						      : FLEET_REASON_RESTARTED);
		old = fleet_member_by_host(f, m.host);
	}
	g_array_append_val(f->members, m);
	emit_member(f, FLEET_MEMBER_JOINED, offset, &m, r, "joined");
	s = fleet_service(f, m.service);
	if (s)
		on_more_members(f, s, offset, r);
	return RESULT_OK;
}

/*
 * Ranges go out in blocks, dealt over the members: keys that are busy lie close
 * together, so each member gets its part of them, and a block makes one row of
 * what its backend server is told to hold.
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
			to = assign_pick(f, from, 0, 0);
		if (!to)
			return false;
		fleet_set_owner(f, s, i, to, offset, r, "unowned shard");
		fleet_member(f, to)->claims++;
	}
	return to;
}

/* Owners first and then successors, so that both come out even. */
static int apply_place(struct fleet *f, int64_t offset, const json_t *r)
{
	struct fleet_service *s = fleet_service(f, text(r, "service"));
	int result = RESULT_STALE;
	uint32_t i;

	if (!s)
		return RESULT_NO_SUCH;
	assign_prepare(f, s);
	for (i = 0; i < s->n_shards; i = block_end(s, i))
		if (place_block(f, s, i, block_end(s, i), offset, r))
			result = RESULT_OK;
	name_successors(f, s, offset);
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
		struct member *m = fleet_member(f, number(item, "id"));

		if (!m)
			continue;
		/*
		 * A proof gathered from witnesses that the member has since
		 * replaced proves nothing: the new ones may vouch for it.
		 */
		if (m->witness_offset != number(item, "witness_offset")) {
			result = result == RESULT_OK ? RESULT_OK : RESULT_STALE;
			continue;
		}
		remove_member(f, m->id, offset, r, text(r, "reason"));
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
	/* Moves that can wait leave room for one that can not. */
	if (s->shards[i].from)
		return RESULT_STALE;
	if (successor && !fleet_member(f, successor))
		return RESULT_STALE;
	return fleet_move_shard(f, s, i, owner, successor, offset, r,
				text(r, "reason"));
}

static int apply_move(struct fleet *f, int64_t offset, const json_t *r)
{
	struct fleet_service *s = fleet_service(f, text(r, "service"));
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
	struct member *m = fleet_member(f, number(r, "member"));
	int64_t upto = number(r, "upto");
	uint32_t i, j;

	if (!m)
		return RESULT_NO_SUCH;
	if (upto >= offset)
		return RESULT_INVALID;
	/*
	 * A node that has not read this record may be appending an expulsion
	 * proved by the old witnesses, the log itself among them. They count
	 * no more, so its proof must not pass for one of the new ones.
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
			sh->from = 0;
			sh->from_successor = 0;
			sh->earlier_from = 0;
			sh->earlier_successor = 0;
		}
	}
	emit_member(f, FLEET_SETTLED, offset, m, r, "settled");
	return RESULT_OK;
}

static int apply_witnesses(struct fleet *f, int64_t offset, const json_t *r)
{
	struct member *m = fleet_member(f, number(r, "member"));
	struct witness_set w;

	if (!m)
		return RESULT_NO_SUCH;
	if (witness_set_from_json(&w, json_object_get(r, "witnesses")))
		return RESULT_INVALID;
	/*
	 * Until the member settles, its old set still counts beside the new
	 * one, which is kept by a second change before that: the set between
	 * was never served by, and goes.
	 */
	if (m->witness_offset != number(r, "base"))
		return RESULT_STALE;
	if (!m->old_witnesses.n)
		m->old_witnesses = m->witnesses;
	m->witnesses = w;
	m->witness_offset = offset;
	emit_member(f, FLEET_WITNESSES_CHANGED, offset, m, r, "witnesses");
	return RESULT_OK;
}

/* Room for one more service, all zero. */
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

static bool member_takes_work(const struct fleet *f, int64_t id)
{
	struct member *m = fleet_member(f, id);

	return m && fleet_member_takes_work(f, m);
}

static void move_out_of_service(struct fleet *f, struct fleet_service *s,
				int64_t offset, const json_t *record)
{
	uint32_t i;

	/*
	 * The record that takes a data centre out also says where its shards
	 * go, so that nodes which learn of it from each other, with the log
	 * down right after, can still carry it out.
	 */
	assign_prepare(f, s);
	for (i = 0; i < s->n_shards; i++) {
		struct shard *sh = &s->shards[i];
		int64_t to = sh->owner;
		int64_t heir = sh->successor;

		if (!to)
			continue;
		if (!member_takes_work(f, to))
			to = member_takes_work(f, heir)
				     ? heir
				     : assign_pick(f, i, 0, to);
		if (!to)
			continue;
		if (heir == to || !member_takes_work(f, heir))
			heir = assign_pick(f, i, to, 0);
		if (to != sh->owner || (heir && heir != sh->successor))
			fleet_move_shard(f, s, i, to, heir, offset, record,
					 "data centre out of service");
	}
}

static void emit_refused(struct fleet *f, int64_t offset, const json_t *record,
			 const char *errors)
{
	g_autofree char *first = g_strndup(errors, strcspn(errors, "\n"));
	struct fleet_event ev = { .type = FLEET_CONFIGURATION_REFUSED,
				  .offset = offset,
				  .reason = first };

	emit(f, &ev, record);
}

/* What follows from the configuration that is in force now. */
static void on_configured(struct fleet *f, int64_t offset, const json_t *r)
{
	struct fleet_event ev = { .type = FLEET_CONFIGURED, .offset = offset };
	uint32_t i;

	f->configuration_version = offset;
	add_services(f);
	for (i = 0; i < f->n_services; i++) {
		on_more_members(f, &f->services[i], offset, r);
		move_out_of_service(f, &f->services[i], offset, r);
	}
	emit(f, &ev, r);
}

/* A whole configuration in place of the one that it was based on. */
static int apply_configuration(struct fleet *f, int64_t offset, const json_t *r)
{
	json_t *doc = json_object_get(r, "document");
	struct configuration *cfg;
	struct json_check c;
	int err;

	if (number(r, "base") != f->configuration_version)
		return RESULT_STALE;
	cfg = g_new0(struct configuration, 1);
	json_check_init(&c, "record");
	err = configuration_read(cfg, doc, &c);
	if (!err) {
		configuration_finish(&f->configuration);
		f->configuration = *cfg;
		json_decref(f->document);
		f->document = json_incref(doc);
		on_configured(f, offset, r);
	} else {
		emit_refused(f, offset, r, c.errors->str);
		configuration_finish(cfg);
	}
	json_check_finish(&c);
	g_free(cfg);
	return err;
}

/* Who has read less may not know which data centres have gone out since. */
static void keep_data_centres(json_t *changes)
{
	json_t *set = json_copy(json_object_get(changes, "set"));

	json_object_del(set, "data_centres");
	json_object_set_new(changes, "set", set);
}

/*
 * What operators published elsewhere, as changes of the one it is based on. Any
 * member may finish what is in force in part, but none may lead back from it.
 */
static int apply_changes(struct fleet *f, int64_t offset, const json_t *r)
{
	int64_t source = number(r, "source");
	json_t *changes = json_object_get(r, "changes");
	int64_t version = number(changes, "version");
	struct json_check c;
	int err;

	if (number(r, "base") != f->configuration_version ||
	    source <= f->source || version < f->version_begun)
		return RESULT_STALE;
	changes = json_copy(changes);
	if (source < f->source_begun)
		keep_data_centres(changes);
	json_check_init(&c, "record");
	err = changes_apply(&f->configuration, &f->document, changes, &c);
	if (err)
		emit_refused(f, offset, r, c.errors->str);
	json_check_finish(&c);
	json_decref(changes);
	f->source_begun = MAX(f->source_begun, source);
	f->version_begun = version;
	/* One that cannot be used has been looked at, or it comes for ever. */
	if (err || json_is_true(json_object_get(r, "whole")))
		f->source = source;
	if (!err)
		on_configured(f, offset, r);
	return err;
}

static int apply_snapshot(struct fleet *f, int64_t offset, const json_t *r)
{
	int64_t upto = number(r, "upto");
	int64_t part = number(r, "part");

	if (part == 0) {
		f->snapshot_upto = upto;
		f->snapshot_part = 0;
	}
	if (upto != f->snapshot_upto || part != f->snapshot_part)
		return RESULT_STALE;
	f->snapshot_part++;
	if (f->snapshot_part == number(r, "parts"))
		f->snapshot_offset = offset;
	return RESULT_OK;
}

struct record_kind {
	const char *type;
	int (*apply)(struct fleet *f, int64_t offset, const json_t *r);
};

static const struct record_kind kinds[] = {
	{ "join", apply_join },
	{ "expel", apply_expel },
	{ "move", apply_move },
	{ "place", apply_place },
	{ "settle", apply_settle },
	{ "witnesses", apply_witnesses },
	{ "configuration", apply_configuration },
	{ "changes", apply_changes },
	{ "snapshot", apply_snapshot },
};

static bool seen_before(struct fleet *f, const char *append_id)
{
	uint64_t h = hash_string(append_id);
	uint32_t i;

	if (!append_id[0])
		return false;
	for (i = 0; i < FLEET_RECENT_APPENDS; i++)
		if (f->recent[i] == h)
			return true;
	f->recent[f->recent_next] = h;
	f->recent_next = (f->recent_next + 1) % FLEET_RECENT_APPENDS;
	return false;
}

static int apply_kind(struct fleet *f, int64_t offset, const json_t *record)
{
	const char *type = text(record, "type");
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (!strcmp(kinds[i].type, type))
			return kinds[i].apply(f, offset, record);
	return RESULT_INVALID;
}

int fleet_apply(struct fleet *f, int64_t offset, const char *append_id,
		const json_t *record)
{
	struct fleet_event ev = { .type = FLEET_DROPPED, .offset = offset };
	int err;

	if (offset != f->applied + 1)
		return RESULT_GAP;
	f->applied = offset;
	/*
	 * A writer whose answer was lost may append the same record again;
	 * the second copy must not, say, make a member supersede itself.
	 */
	if (seen_before(f, append_id))
		err = RESULT_DUPLICATE;
	else
		err = apply_kind(f, offset, record);
	if (err) {
		ev.result = err;
		ev.reason = text(record, "type");
		emit(f, &ev, record);
	}
	return err;
}

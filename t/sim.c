#include <string.h>

#include "node/read-plan.h"
#include "state/records.h"
#include "t/sim.h"
#include "util/result.h"

#define N_SHARDS 12
#define ANSWER_LATE_MS 700
/* As in node/streams.c. */
#define READ_WHEN_BEHIND_MS 200

const char *const sim_data_centres[SIM_DATA_CENTRES] = { "hakata", "tenjin",
							 "kurume", "kitakyu" };

int64_t sim_local(const struct sim_node *nd)
{
	return nd->clock_base + (int64_t)(nd->sim->now * nd->rate);
}

/* Whether the node stands beside a server that holds by grants. */
bool sim_has_backend(const struct sim_node *nd)
{
	return nd->sim->granted && nd->slot < SIM_KEYED;
}

static double chance(struct sim *s)
{
	return g_rand_double(s->rand);
}

static void put(struct sim *s, uint32_t slot, GByteArray *data, int64_t delay)
{
	struct sim_packet *p = g_new(struct sim_packet, 1);

	p->at = s->now + delay;
	p->data = g_byte_array_ref(data);
	g_queue_push_tail(s->nodes[slot].inbox, p);
}

int sim_slot_of_host(const char *host)
{
	return host[1] - '0';
}

static int slot_of_member(struct sim *s, struct sim_node *from, int64_t id)
{
	struct member *m = fleet_member(&from->member.fleet, id);
	json_t *r;

	if (m)
		return sim_slot_of_host(m->host);
	/* A member that is gone still has an address. */
	if (id < 1 || id > s->log->len)
		return -1;
	r = ((struct sim_log_record *)g_ptr_array_index(s->log, id - 1))->record;
	if (!json_object_get(r, "host"))
		return -1;
	return sim_slot_of_host(json_string_value(json_object_get(r, "host")));
}

static void op_send(void *user, int64_t to, const struct member_msg *msg)
{
	struct sim_node *nd = user;
	struct sim *s = nd->sim;
	int slot = slot_of_member(s, nd, to);
	GByteArray *data;

	if (slot < 0 || s->cut_until[nd->slot][slot] > s->now ||
	    chance(s) < s->loss)
		return;
	if ((msg->type == MSG_RECORDS || msg->type == MSG_STATE) &&
	    s->nodes[slot].behind_until > s->now)
		return;
	data = g_byte_array_new();
	member_msg_encode(msg, data);
	put(s, slot, data, 1 + g_rand_int_range(s->rand, 0, 30));
	if (s->loss > 0 && chance(s) < 0.05)
		put(s, slot, data, g_rand_int_range(s->rand, 1, 4000));
	g_byte_array_unref(data);
}

void sim_add_record(struct sim *s, const char *id, json_t *record)
{
	struct sim_log_record *r = g_new(struct sim_log_record, 1);

	r->id = g_strdup(id);
	r->record = json_incref(record);
	g_ptr_array_add(s->log, r);
	s->appends++;
}

static void op_append(void *user, enum append_kind kind, json_t *record)
{
	struct sim_node *nd = user;
	struct sim *s = nd->sim;
	struct sim_append *a = g_new0(struct sim_append, 1);
	bool down = s->log_down_until > s->now || nd->log_cut;
	g_autofree char *id =
		g_strdup_printf("%u-%" G_GUINT64_FORMAT, nd->slot, s->appends);

	a->at = s->now + 10;
	a->slot = nd->slot;
	a->process = s->process[nd->slot];
	a->kind = kind;
	a->result = down ? RESULT_UNREACHABLE : RESULT_OK;
	if (!down) {
		sim_add_record(s, id, record);
		if (s->loss > 0 && chance(s) < 0.1) {
			/* The answer is lost; the writer appends again. */
			sim_add_record(s, id, record);
			a->at += ANSWER_LATE_MS;
		}
	}
	json_decref(record);
	g_queue_push_tail(s->answers, a);
}

static uint32_t op_in_flight(void *user, uint32_t shard)
{
	struct sim_node *nd = user;

	if (sim_has_backend(nd))
		return ((!nd->grants.heartbeat_seen || !nd->grants.n_shards) &&
			!(nd->sim->disabled_rules &
			  RULE_SERVER_REPORTS_FIRST)) ||
		       grants_may_hold(&nd->grants, shard, sim_local(nd));
	return nd->busy_until[shard] > nd->sim->now;
}

static void op_export(void *user, uint32_t shard, GArray *out)
{
	(void)user;
	(void)shard;
	(void)out;
}

static void op_import(void *user, const int64_t *entry)
{
	(void)user;
	(void)entry;
}

static json_t *op_published(void *user, const json_t *in_force)
{
	struct sim_node *nd = user;

	(void)in_force;
	return json_incref(nd->sim->published);
}

static void op_note(void *user, const char *what, int64_t subject)
{
	struct sim_node *nd = user;

	if (nd->sim->verbose)
		g_print("%7" G_GINT64_FORMAT " node %u (%" G_GINT64_FORMAT
			") %s %" G_GINT64_FORMAT "\n",
			(gint64)nd->sim->now, nd->slot,
			(gint64)nd->member.self_id, what, (gint64)subject);
}

static const struct member_ops ops = {
	.send = op_send,
	.append = op_append,
	.in_flight = op_in_flight,
	.export_ids = op_export,
	.import_ids = op_import,
	.load_published = op_published,
	.note = op_note,
};

/* Start the process of a slot, with nothing kept from an earlier one. */
void sim_start(struct sim *s, uint32_t slot)
{
	struct sim_node *nd = &s->nodes[slot];
	struct member_timing timing = MEMBER_TIMING_DEFAULT;
	struct member me;

	memset(&me, 0, sizeof(me));
	g_snprintf(me.host, sizeof(me.host), "h%u", slot);
	g_snprintf(me.peer, sizeof(me.peer), "127.0.0.1:%u", 9000 + slot);
	g_snprintf(me.boot_id, sizeof(me.boot_id), "b%u-%u", slot, nd->boot);
	g_strlcpy(me.data_centre, sim_data_centres[slot % 4],
		  sizeof(me.data_centre));
	g_strlcpy(me.service, slot < 5 ? "records" : "archive",
		  sizeof(me.service));
	timing.snapshot_records = 60;
	/* Heartbeats come every 0.87 s, so leases are longer there. */
	if (s->granted)
		timing.lease_ms = 3000;
	member_init(&nd->member, &me, &timing, &ops, nd, sim_local(nd),
		    g_rand_int(s->rand));
	nd->member.disabled_rules = s->disabled_rules;
	nd->up = true;
	nd->version = -1;
	nd->paused_until = 0;
	s->process[slot]++;
	grants_init(&nd->grants, s->way,
		    sim_local(nd) + grants_prev_process_hold_ms(
					    s->way, timing.lease_ms));
	nd->grants.disabled_rules = s->grant_rules;
	nd->life_known = 0;
	if (s->granted && !sim_has_backend(nd))
		member_set_server_instance(&nd->member, "life");
	/* A server announces itself before its node joins. */
	if (!sim_has_backend(nd))
		member_set_membership_wanted(&nd->member, true, sim_local(nd));
}

/* End the process of a slot at once, as kill -9 does. */
void sim_kill(struct sim *s, uint32_t slot)
{
	if (!s->nodes[slot].up)
		return;
	member_finish(&s->nodes[slot].member);
	grants_finish(&s->nodes[slot].grants);
	s->nodes[slot].up = false;
}

/* Freeze a process; messages to it wait. */
void sim_pause(struct sim *s, uint32_t slot, int64_t ms)
{
	s->nodes[slot].paused_until = s->now + ms;
}

static json_t *document(const struct sim *s, const char *out)
{
	json_t *dcs = json_array();
	json_t *doc;
	json_t *key;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(sim_data_centres); i++)
		json_array_append_new(
			dcs,
			json_pack("{s:s,s:b}", "name", sim_data_centres[i],
				  "in_service",
				  !out || strcmp(out, sim_data_centres[i])));
	if (s->granted)
		key = json_pack("{s:s,s:s,s:i}", "in", "header", "name", "Key",
				"numbers", 65536);
	else
		key = json_pack("{s:s,s:i}", "in", "path", "segment", 2);
	doc = json_pack("{s:[{s:s,s:o,s:i},{s:s,s:i}],s:[],s:o}", "services",
			"name", "records", "key", key, "shards", N_SHARDS,
			"name", "archive", "shards", N_SHARDS, "classes",
			"data_centres", dcs);
	g_assert_nonnull(doc);
	return doc;
}

/* An operator publishes a configuration based on what some node knows. */
void sim_configure(struct sim *s, const char *out_of_service)
{
	json_t *doc = document(s, out_of_service);
	int64_t base = -1;
	json_t *r;
	uint32_t i;

	for (i = 0; i < SIM_NODES; i++)
		if (s->nodes[i].up)
			base = MAX(
				base,
				s->nodes[i].member.fleet.configuration_version);
	r = record_configuration(base, doc, "operator", "test");
	if (s->log_down_until <= s->now)
		sim_add_record(s, "", r);
	json_decref(r);
	json_decref(doc);
}

static void init(struct sim *s, uint32_t seed, uint32_t disabled_rules,
		 const struct grant_ops *way, uint32_t grant_rules)
{
	uint32_t i;

	memset(s, 0, sizeof(*s));
	s->granted = way;
	s->way = way;
	s->grant_rules = grant_rules;
	s->rand = g_rand_new_with_seed(seed);
	s->now = 1000;
	s->log = g_ptr_array_new();
	s->answers = g_queue_new();
	s->n_shards = N_SHARDS;
	s->top_fence = g_new0(int64_t, N_SHARDS);
	s->top_slot = g_new0(uint32_t, N_SHARDS);
	s->top_life = g_new0(uint32_t, N_SHARDS);
	s->disabled_rules = disabled_rules;
	for (i = 0; i < SIM_NODES; i++) {
		struct sim_node *nd = &s->nodes[i];

		nd->sim = s;
		nd->slot = i;
		nd->rate = 1.0 + (chance(s) - 0.5) * 0.02;
		nd->clock_base = g_rand_int_range(s->rand, 1000, 1000000);
		nd->busy_until = g_new0(int64_t, N_SHARDS);
		nd->busy_fence = g_new0(int64_t, N_SHARDS);
		nd->inbox = g_queue_new();
		if (sim_has_backend(nd))
			sim_backend_restart(nd);
		sim_start(s, i);
	}
	sim_configure(s, NULL);
}

void sim_init(struct sim *s, uint32_t seed, uint32_t disabled_rules)
{
	init(s, seed, disabled_rules, NULL, 0);
}

void sim_init_granted(struct sim *s, uint32_t seed, uint32_t disabled_rules)
{
	init(s, seed, disabled_rules, &grant_by_heartbeat, 0);
}

void sim_init_called(struct sim *s, uint32_t seed, uint32_t grant_rules)
{
	init(s, seed, 0, &grant_by_call, grant_rules);
}

static void packet_free(gpointer p)
{
	struct sim_packet *packet = p;

	g_byte_array_unref(packet->data);
	g_free(packet);
}

void sim_finish(struct sim *s)
{
	uint32_t i;

	g_free(s->top_fence);
	g_free(s->top_slot);
	g_free(s->top_life);
	for (i = 0; i < SIM_NODES; i++) {
		sim_kill(s, i);
		sim_backend_finish(&s->nodes[i]);
		g_queue_free_full(s->nodes[i].inbox, packet_free);
		g_free(s->nodes[i].busy_until);
		g_free(s->nodes[i].busy_fence);
	}
	for (i = 0; i < s->log->len; i++) {
		struct sim_log_record *r = g_ptr_array_index(s->log, i);

		g_free(r->id);
		json_decref(r->record);
		g_free(r);
	}
	g_ptr_array_unref(s->log);
	g_queue_free_full(s->answers, g_free);
	g_rand_free(s->rand);
}

static void deliver(struct sim_node *nd)
{
	GList *l = nd->inbox->head;

	while (l) {
		struct sim_packet *p = l->data;
		GList *next = l->next;
		struct member_msg msg;

		if (p->at <= nd->sim->now) {
			if (nd->up && !member_msg_decode(&msg, p->data->data,
							 p->data->len)) {
				member_on_message(&nd->member, &msg,
						  sim_local(nd));
				member_msg_finish(&msg);
			}
			packet_free(p);
			g_queue_delete_link(nd->inbox, l);
		}
		l = next;
	}
}

/*
 * Whether a node leaves the log alone for now, as node/streams.c does: others
 * pass records on to it, and none has told it that it lacks any.
 */
static bool pauses(const struct sim_node *nd)
{
	const struct member_node *m = &nd->member;
	struct read_plan plan;

	read_plan_make(m, 0, &plan);
	return nd->sim->granted && plan.idle_interval_ms && !m->log_read_due &&
	       nd->sim->now - nd->read_at < plan.idle_interval_ms &&
	       !(m->behind_since_ms &&
		 m->now_ms - m->behind_since_ms > READ_WHEN_BEHIND_MS);
}

static void read_log(struct sim_node *nd)
{
	struct sim *s = nd->sim;
	int64_t first, next;

	nd->member.log_up = s->log_down_until <= s->now && !nd->log_cut &&
			    nd->behind_until <= s->now;
	if (!nd->member.log_up || pauses(nd))
		return;
	nd->read_at = s->now;
	nd->member.log_read_due = false;
	first = nd->member.fleet.applied + 1;
	next = first;
	while (next < s->log->len) {
		struct sim_log_record *r = g_ptr_array_index(s->log, next);

		member_on_record(&nd->member, next, r->id, r->record,
				 sim_local(nd));
		next++;
	}
	member_on_log_tail(&nd->member, sim_local(nd), sim_local(nd));
	nd->n_reads += next > first;
	nd->n_looks++;
	if (s->granted && next > first)
		member_relay_records(&nd->member, first);
}

static void answer_appends(struct sim *s)
{
	GList *l = s->answers->head;

	while (l) {
		struct sim_append *a = l->data;
		GList *next = l->next;
		struct sim_node *nd = &s->nodes[a->slot];

		if (a->at <= s->now && nd->paused_until <= s->now) {
			if (nd->up && a->process == s->process[a->slot])
				member_append_done(&nd->member, a->kind,
						   a->result, sim_local(nd));
			g_free(a);
			g_queue_delete_link(s->answers, l);
		}
		l = next;
	}
}

/* Now and then hand the backend server a request that lasts for a while. */
static void start_requests(struct sim_node *nd)
{
	struct sim *s = nd->sim;
	int64_t fence, end;
	uint32_t i;

	if (nd->slot >= SIM_KEYED || sim_has_backend(nd))
		return;
	for (i = 0; i < s->n_shards; i++) {
		int64_t now = sim_local(nd);
		int64_t ms;

		if (chance(s) > 0.05 ||
		    member_may_serve(&nd->member, i, now, &fence, &end))
			continue;
		ms = g_rand_int_range(s->rand, 10, 2000);
		ms = MIN(ms, (end - now) / nd->rate);
		if (s->verbose && s->now + ms > nd->busy_until[i])
			g_print("%7" G_GINT64_FORMAT
				" node %u shard %u busy for %" G_GINT64_FORMAT
				" lease %" G_GINT64_FORMAT "\n",
				(gint64)s->now, nd->slot, i, (gint64)ms,
				(gint64)(end - now));
		nd->busy_until[i] = MAX(nd->busy_until[i], s->now + ms);
		nd->busy_fence[i] = fence;
	}
}

static bool serves(struct sim_node *nd, uint32_t shard)
{
	int64_t fence, end;

	if (sim_has_backend(nd))
		return sim_backend_holds(nd, shard);
	if (nd->busy_until[shard] > nd->sim->now)
		return true;
	return nd->up && nd->slot < SIM_KEYED &&
	       !member_may_serve(&nd->member, shard, sim_local(nd), &fence,
				 &end);
}

/* Print the records, for a failing seed. */
static void print_log(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < s->log->len; i++) {
		struct sim_log_record *r = g_ptr_array_index(s->log, i);
		char *text = json_dumps(r->record, JSON_COMPACT);

		g_print("record %u: %.300s\n", i, text);
		free(text);
	}
}

/*
 * A backend server that checks fences takes a key only under a higher fence
 * than any it knows, and two servers must never have been told the same one.
 */
static void check_fence(struct sim *s, uint32_t shard, struct sim_node *nd)
{
	int64_t fence, end;

	if (!nd->up || nd->slot >= SIM_KEYED || sim_has_backend(nd) ||
	    member_may_serve(&nd->member, shard, sim_local(nd), &fence, &end))
		return;
	if (fence < s->top_fence[shard] ||
	    (fence == s->top_fence[shard] && s->top_slot[shard] != nd->slot)) {
		s->fence_breaches++;
		if (s->verbose)
			g_print("%7" G_GINT64_FORMAT
				" node %u serves shard %u under fence "
				"%" G_GINT64_FORMAT ", node %u had it under "
				"%" G_GINT64_FORMAT "\n",
				(gint64)s->now, nd->slot, shard, (gint64)fence,
				s->top_slot[shard],
				(gint64)s->top_fence[shard]);
		if (s->verbose && s->fence_breaches == 1) {
			print_log(s);
			sim_print(s);
		}
	}
	if (fence < s->top_fence[shard])
		return;
	s->top_fence[shard] = fence;
	s->top_slot[shard] = nd->slot;
}

static void check(struct sim *s)
{
	uint32_t i, j;

	for (i = 0; i < s->n_shards; i++)
		for (j = 0; j < SIM_NODES; j++)
			check_fence(s, i, &s->nodes[j]);

	for (i = 0; i < s->n_shards; i++) {
		uint32_t n = 0;

		for (j = 0; j < SIM_NODES; j++)
			n += serves(&s->nodes[j], i);
		if (n < 2)
			continue;
		s->breaches++;
		for (j = 0; s->verbose && j < SIM_NODES; j++)
			if (serves(&s->nodes[j], i))
				g_print("%7" G_GINT64_FORMAT
					" shard %u served by node %u (%s)\n",
					(gint64)s->now, i, j,
					s->nodes[j].busy_until[i] > s->now
						? "busy"
						: "idle");
		if (s->verbose && s->breaches == 1) {
			print_log(s);
			sim_print(s);
		}
	}
	for (j = 0; j < SIM_NODES; j++) {
		struct sim_node *nd = &s->nodes[j];

		if (!nd->up)
			continue;
		g_assert_cmpint(nd->member.fleet.configuration_version, >=,
				nd->version);
		nd->version = nd->member.fleet.configuration_version;
	}
}

/* The newest state that any node has. */
struct fleet *sim_newest(struct sim *s)
{
	struct fleet *best = NULL;
	uint32_t i;

	for (i = 0; i < SIM_NODES; i++) {
		struct fleet *f = &s->nodes[i].member.fleet;

		if (s->nodes[i].up && (!best || f->applied > best->applied))
			best = f;
	}
	return best;
}

/* The node that is a member now, -1 none. */
int sim_slot(struct sim *s, int64_t member)
{
	uint32_t i;

	for (i = 0; i < SIM_NODES; i++)
		if (s->nodes[i].up && s->nodes[i].member.self_id == member)
			return i;
	return -1;
}

/* The node that a process runs on, -1 none. */
int sim_slot_of_process(struct sim *s, int64_t process)
{
	uint32_t i;

	for (i = 0; i < SIM_NODES; i++)
		if (s->nodes[i].up && s->nodes[i].member.process == process)
			return i;
	return -1;
}

/* Cut two nodes off from each other. */
void sim_cut(struct sim *s, uint32_t a, uint32_t b, int64_t ms)
{
	s->cut_until[a][b] = s->now + ms;
	s->cut_until[b][a] = s->now + ms;
}

/* Advance real time by one step. */
void sim_step(struct sim *s)
{
	uint32_t i;

	s->now += SIM_STEP_MS;
	answer_appends(s);
	for (i = 0; i < SIM_NODES; i++) {
		struct sim_node *nd = &s->nodes[i];

		if (!nd->up || nd->paused_until > s->now)
			continue;
		deliver(nd);
		read_log(nd);
		member_tick(&nd->member, sim_local(nd));
		start_requests(nd);
		if (s->way == &grant_by_call && sim_has_backend(nd))
			sim_backend_call(nd);
	}
	for (i = 0; s->granted && i < SIM_KEYED; i++)
		sim_backend_step(&s->nodes[i]);
	check(s);
}

void sim_run(struct sim *s, int64_t ms)
{
	int64_t end = s->now + ms;

	while (s->now < end)
		sim_step(s);
}

/* The node that serves a shard, -1 none. */
int sim_server(struct sim *s, uint32_t shard)
{
	int64_t fence, end;
	uint32_t j;

	for (j = 0; j < SIM_KEYED; j++) {
		struct sim_node *nd = &s->nodes[j];

		if (sim_has_backend(nd) && !sim_backend_holds(nd, shard))
			continue;
		if (nd->up && nd->paused_until <= s->now &&
		    !member_may_serve(&nd->member, shard, sim_local(nd), &fence,
				      &end))
			return j;
	}
	return -1;
}

/* How many shards nobody serves. */
uint32_t sim_unserved(struct sim *s)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < s->n_shards; i++)
		n += sim_server(s, i) < 0;
	return n;
}

/* Step until every shard is served; false when that takes too long. */
/* Whether the log says of every move that nobody before still serves. */
static bool all_settled(struct sim *s)
{
	struct fleet_service *sv = fleet_service(sim_newest(s), "records");
	uint32_t i;

	for (i = 0; sv && i < sv->n_shards; i++)
		if (sv->shards[i].prev_owner)
			return false;
	return sv;
}

static bool all_served(struct sim *s)
{
	return !sim_unserved(s);
}

static bool step_until(struct sim *s, bool (*reached)(struct sim *s),
		       int64_t max_ms)
{
	int64_t end = s->now + max_ms;

	while (s->now < end) {
		sim_step(s);
		if (reached(s))
			return true;
	}
	return false;
}

bool sim_settle(struct sim *s, int64_t max_ms)
{
	return step_until(s, all_settled, max_ms);
}

bool sim_converge(struct sim *s, int64_t max_ms)
{
	return step_until(s, all_served, max_ms);
}

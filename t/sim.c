#include <string.h>

#include "node/read-plan.h"
#include "state/records.h"
#include "gate/grant-owner.h"
#include "t/sim.h"
#include "util/result.h"

#define N_SHARDS 12
#define LOST_ANSWER_RETRY_MS 700
/* The same delay as in node/streams.c. */
#define BEHIND_READ_DELAY_MS 200

const char *const sim_data_centres[SIM_DATA_CENTRES] = { "hakata", "tenjin",
							 "kurume", "kitakyu" };

int64_t sim_node_now_ms(const struct sim_node *nd)
{
	return nd->clock_base_ms + (int64_t)(nd->sim->now_ms * nd->clock_rate);
}

bool sim_has_backend(const struct sim_node *nd)
{
	return nd->sim->uses_grants && nd->slot < SIM_KEYED;
}

static double random_double(struct sim *s)
{
	return g_rand_double(s->rand);
}

static void queue_packet(struct sim *s, uint32_t slot, GByteArray *data,
			 int64_t delay)
{
	struct sim_packet *p = g_new(struct sim_packet, 1);

	p->arrives_at_ms = s->now_ms + delay;
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
	/* The record of a removed member still has its host. */
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

	if (slot < 0 || s->link_cut_until_ms[nd->slot][slot] > s->now_ms ||
	    random_double(s) < s->loss)
		return;
	if ((msg->type == MSG_RECORDS || msg->type == MSG_STATE) &&
	    s->nodes[slot].no_records_until_ms > s->now_ms)
		return;
	data = g_byte_array_new();
	member_msg_encode(msg, data);
	queue_packet(s, slot, data, 1 + g_rand_int_range(s->rand, 0, 30));
	if (s->loss > 0 && random_double(s) < 0.05)
		queue_packet(s, slot, data, g_rand_int_range(s->rand, 1, 4000));
	g_byte_array_unref(data);
}

void sim_add_record(struct sim *s, const char *id, json_t *record)
{
	struct sim_log_record *r = g_new(struct sim_log_record, 1);

	r->id = g_strdup(id);
	r->record = json_incref(record);
	g_ptr_array_add(s->log, r);
	s->n_appends++;
}

static void op_append(void *user, enum append_kind kind, json_t *record)
{
	struct sim_node *nd = user;
	struct sim *s = nd->sim;
	struct sim_append *a = g_new0(struct sim_append, 1);
	bool down = s->log_down_until_ms > s->now_ms || nd->log_unreachable;
	int result = down ? RESULT_UNREACHABLE : RESULT_OK;
	g_autofree char *id = g_strdup_printf("%u-%" G_GUINT64_FORMAT, nd->slot,
					      s->n_appends);

	if (kind == APPEND_PUBLISHED &&
	    (s->changes_refused_until_ms > s->now_ms ||
	     (s->max_change_bytes &&
	      json_dumpb(record, NULL, 0, 0) > s->max_change_bytes)))
		result = RESULT_CONFLICT;
	a->answer_at_ms = s->now_ms + 10 + s->answer_ms;
	a->slot = nd->slot;
	a->process_number = s->process_number[nd->slot];
	a->kind = kind;
	a->result = result;
	if (!result) {
		sim_add_record(s, id, record);
		if (s->loss > 0 && random_double(s) < 0.1) {
			/*
			 * The answer is lost, so the writer appends the
			 * record again.
			 */
			sim_add_record(s, id, record);
			a->answer_at_ms += LOST_ANSWER_RETRY_MS;
		}
	}
	json_decref(record);
	g_queue_push_tail(s->append_answers, a);
}

static uint32_t op_in_flight(void *user, uint32_t shard)
{
	struct sim_node *nd = user;

	if (sim_has_backend(nd))
		return (grants_unreported(&nd->grants, sim_node_now_ms(nd)) &&
			!(nd->sim->disabled_rules &
			  RULE_SERVER_REPORTS_FIRST)) ||
		       grants_may_hold(&nd->grants, shard, sim_node_now_ms(nd));
	return nd->busy_until_ms[shard] > nd->sim->now_ms;
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
	if (nd->published_next)
		return json_incref((json_t *)sim_published_document(
			nd->sim, nd->published_next - 1));
	return json_incref(nd->sim->published);
}

static void op_note(void *user, const char *what, int64_t subject)
{
	struct sim_node *nd = user;

	if (nd->sim->verbose)
		g_print("%7" G_GINT64_FORMAT " node %u (%" G_GINT64_FORMAT
			") %s %" G_GINT64_FORMAT "\n",
			(gint64)nd->sim->now_ms, nd->slot,
			(gint64)nd->member.self_id, what, (gint64)subject);
}

static void on_event(void *user, const struct fleet_event *ev)
{
	struct sim_node *nd = user;

	if (sim_has_backend(nd) && ev->type == FLEET_SHARD_MOVED)
		grant_owner_on_shard_moved(&nd->grants, &nd->member, ev);
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

void sim_start(struct sim *s, uint32_t slot)
{
	struct sim_node *nd = &s->nodes[slot];
	struct member_timing timing = MEMBER_TIMING_DEFAULT;
	struct member me;

	memset(&me, 0, sizeof(me));
	g_snprintf(me.host, sizeof(me.host), "h%u", slot);
	g_snprintf(me.peer, sizeof(me.peer), "127.0.0.1:%u", 9000 + slot);
	g_snprintf(me.boot_id, sizeof(me.boot_id), "b%u-%u", slot,
		   nd->boot_number);
	g_strlcpy(me.data_centre, sim_data_centres[slot % 4],
		  sizeof(me.data_centre));
	g_strlcpy(me.service, slot < 5 ? "records" : "archive",
		  sizeof(me.service));
	timing.snapshot_records = 60;
	/* Leases must outlast several heartbeats, which come every 0.87 s. */
	if (s->uses_grants)
		timing.lease_ms = 3000;
	member_init(&nd->member, &me, &timing, &ops, nd, sim_node_now_ms(nd),
		    g_rand_int(s->rand));
	nd->member.disabled_rules = s->disabled_rules;
	nd->member.early.disabled_rules = s->disabled_early_rules;
	nd->member.spread.disabled_rules = s->disabled_spread_rules;
	memset(&nd->operators_read, 0, sizeof(nd->operators_read));
	memset(&nd->log_read, 0, sizeof(nd->log_read));
	nd->published_next = 0;
	nd->source = -1;
	nd->source_at_start = s->operators ? (int64_t)s->operators->len - 1
					   : -1;
	if (s->operators)
		member_expect_operator_stream(&nd->member);
	nd->up = true;
	nd->configuration_version = -1;
	nd->paused_until_ms = 0;
	s->process_number[slot]++;
	grants_init(&nd->grants, s->grant_ops,
		    sim_node_now_ms(nd) +
			    grants_prev_process_hold_ms(s->grant_ops,
							timing.lease_ms));
	nd->grants.disabled_rules = s->disabled_grant_rules;
	nd->known_instance = 0;
	nd->known_heartbeat = 0;
	nd->member.on_event = on_event;
	nd->member.on_event_user = nd;
	if (s->uses_grants && !sim_has_backend(nd))
		member_set_server_instance(&nd->member, "life");
	/* With grants, a node joins only after its server's first heartbeat. */
	if (!sim_has_backend(nd))
		member_set_membership_wanted(&nd->member, true,
					     sim_node_now_ms(nd));
}

void sim_kill(struct sim *s, uint32_t slot)
{
	if (!s->nodes[slot].up)
		return;
	member_finish(&s->nodes[slot].member);
	grants_finish(&s->nodes[slot].grants);
	s->nodes[slot].up = false;
}

void sim_pause(struct sim *s, uint32_t slot, int64_t ms)
{
	s->nodes[slot].paused_until_ms = s->now_ms + ms;
}

json_t *sim_configuration_document(const struct sim *s, const char *out)
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
	if (s->uses_grants)
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

void sim_configure(struct sim *s, const char *out_of_service)
{
	json_t *doc = sim_configuration_document(s, out_of_service);
	int64_t base = -1;
	json_t *r;
	uint32_t i;

	for (i = 0; i < SIM_NODES; i++)
		if (s->nodes[i].up)
			base = MAX(
				base,
				s->nodes[i].member.fleet.configuration_version);
	r = record_configuration(base, doc, "operator", "test");
	if (s->log_down_until_ms <= s->now_ms)
		sim_add_record(s, "", r);
	json_decref(r);
	json_decref(doc);
}

static void init_sim(struct sim *s, uint32_t seed, uint32_t disabled_rules,
		     const struct grant_ops *way, uint32_t grant_rules)
{
	uint32_t i;

	memset(s, 0, sizeof(*s));
	s->uses_grants = way;
	s->grant_ops = way;
	s->disabled_grant_rules = grant_rules;
	s->rand = g_rand_new_with_seed(seed);
	s->now_ms = 1000;
	s->log = g_ptr_array_new();
	s->append_answers = g_queue_new();
	s->n_shards = N_SHARDS;
	s->top_fence = g_new0(int64_t, N_SHARDS);
	s->top_fence_slot = g_new0(uint32_t, N_SHARDS);
	s->top_fence_instance = g_new0(uint32_t, N_SHARDS);
	s->disabled_rules = disabled_rules;
	for (i = 0; i < SIM_NODES; i++) {
		struct sim_node *nd = &s->nodes[i];

		nd->sim = s;
		nd->slot = i;
		nd->clock_rate = 1.0 + (random_double(s) - 0.5) * 0.02;
		nd->clock_base_ms = g_rand_int_range(s->rand, 1000, 1000000);
		nd->busy_until_ms = g_new0(int64_t, N_SHARDS);
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
	init_sim(s, seed, disabled_rules, NULL, 0);
}

void sim_init_grant_by_heartbeat(struct sim *s, uint32_t seed,
				 uint32_t disabled_rules)
{
	init_sim(s, seed, disabled_rules, &grant_by_heartbeat, 0);
}

void sim_init_late_heartbeats(struct sim *s, uint32_t seed,
			      uint32_t grant_rules)
{
	init_sim(s, seed, 0, &grant_by_heartbeat, grant_rules);
	s->late_heartbeats = true;
}

void sim_init_grant_by_call(struct sim *s, uint32_t seed, uint32_t grant_rules)
{
	init_sim(s, seed, 0, &grant_by_call, grant_rules);
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
	g_free(s->top_fence_slot);
	g_free(s->top_fence_instance);
	for (i = 0; i < SIM_NODES; i++) {
		sim_kill(s, i);
		sim_backend_finish(&s->nodes[i]);
		g_queue_free_full(s->nodes[i].inbox, packet_free);
		g_free(s->nodes[i].busy_until_ms);
		g_free(s->nodes[i].busy_fence);
	}
	for (i = 0; i < s->log->len; i++) {
		struct sim_log_record *r = g_ptr_array_index(s->log, i);

		g_free(r->id);
		json_decref(r->record);
		g_free(r);
	}
	g_ptr_array_unref(s->log);
	if (s->operators)
		g_ptr_array_unref(s->operators);
	g_queue_free_full(s->append_answers, g_free);
	g_rand_free(s->rand);
}

static void deliver_packets(struct sim_node *nd)
{
	GList *l = nd->inbox->head;

	while (l) {
		struct sim_packet *p = l->data;
		GList *next = l->next;
		struct member_msg msg;

		if (p->arrives_at_ms <= nd->sim->now_ms) {
			if (nd->up && !member_msg_decode(&msg, p->data->data,
							 p->data->len)) {
				member_on_message(&nd->member, &msg,
						  sim_node_now_ms(nd));
				member_msg_finish(&msg);
			}
			packet_free(p);
			g_queue_delete_link(nd->inbox, l);
		}
		l = next;
	}
}

/*
 * Whether a node skips this read of the log, by the rules of node/streams.c: a
 * relay sends it the records, the interval of its idle reads has not passed, no
 * read was requested, and it has not known for longer than
 * BEHIND_READ_DELAY_MS that it lacks records.
 */
static bool skips_log_read(const struct sim_node *nd)
{
	const struct member_node *m = &nd->member;
	struct read_plan plan;

	read_plan_make(m, 0, false, &plan);
	return nd->sim->uses_grants && plan.idle_interval_ms &&
	       !m->log_read_due &&
	       nd->sim->now_ms - nd->log_read_at_ms < plan.idle_interval_ms &&
	       !(m->behind_since_ms &&
		 m->now_ms - m->behind_since_ms > BEHIND_READ_DELAY_MS);
}

static void read_log(struct sim_node *nd)
{
	struct sim *s = nd->sim;
	int64_t first, next, end;

	nd->member.log_up = s->log_down_until_ms <= s->now_ms &&
			    !nd->log_unreachable &&
			    nd->no_records_until_ms <= s->now_ms;
	if (!nd->member.log_up || skips_log_read(nd))
		return;
	first = nd->member.fleet.applied + 1;
	end = s->log->len;
	if (s->answer_ms &&
	    !sim_read_step(&nd->log_read, s, first, s->log->len, &end))
		return;
	nd->log_read_at_ms = s->now_ms;
	nd->member.log_read_due = false;
	next = first;
	while (next < end) {
		struct sim_log_record *r = g_ptr_array_index(s->log, next);

		member_on_record(&nd->member, next, r->id, r->record,
				 sim_node_now_ms(nd));
		next++;
	}
	member_on_log_tail(&nd->member, sim_node_now_ms(nd),
			   sim_node_now_ms(nd));
	nd->n_nonempty_log_reads += next > first;
	nd->n_log_reads++;
	if (s->uses_grants && next > first)
		member_relay_records(&nd->member, first);
}

static void answer_appends(struct sim *s)
{
	GList *l = s->append_answers->head;

	while (l) {
		struct sim_append *a = l->data;
		GList *next = l->next;
		struct sim_node *nd = &s->nodes[a->slot];

		if (a->answer_at_ms <= s->now_ms &&
		    nd->paused_until_ms <= s->now_ms) {
			if (nd->up &&
			    a->process_number == s->process_number[a->slot])
				member_append_done(&nd->member, a->kind,
						   a->result,
						   sim_node_now_ms(nd));
			g_free(a);
			g_queue_delete_link(s->append_answers, l);
		}
		l = next;
	}
}

/*
 * Starts requests at random for shards that the node may serve. Each lasts up
 * to 2 s, and on the clock of the node no longer than it may serve the shard.
 */
static void start_requests(struct sim_node *nd)
{
	struct sim *s = nd->sim;
	int64_t fence, end;
	uint32_t i;

	if (nd->slot >= SIM_KEYED || sim_has_backend(nd))
		return;
	for (i = 0; i < s->n_shards; i++) {
		int64_t now = sim_node_now_ms(nd);
		int64_t ms;

		if (random_double(s) > 0.05 ||
		    member_may_serve(&nd->member, i, now, &fence, &end))
			continue;
		ms = g_rand_int_range(s->rand, 10, 2000);
		ms = MIN(ms, (end - now) / nd->clock_rate);
		if (s->verbose && s->now_ms + ms > nd->busy_until_ms[i])
			g_print("%7" G_GINT64_FORMAT
				" node %u shard %u busy for %" G_GINT64_FORMAT
				" lease %" G_GINT64_FORMAT "\n",
				(gint64)s->now_ms, nd->slot, i, (gint64)ms,
				(gint64)(end - now));
		nd->busy_until_ms[i] =
			MAX(nd->busy_until_ms[i], s->now_ms + ms);
		nd->busy_fence[i] = fence;
	}
}

static bool node_serves(struct sim_node *nd, uint32_t shard)
{
	int64_t fence, end;

	if (sim_has_backend(nd))
		return sim_backend_holds(nd, shard);
	if (nd->busy_until_ms[shard] > nd->sim->now_ms)
		return true;
	return nd->up && nd->slot < SIM_KEYED &&
	       !member_may_serve(&nd->member, shard, sim_node_now_ms(nd),
				 &fence, &end);
}

/* Prints the records of the log, for a failing seed. */
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
 * Backend servers that check fences reject a lower fence than the highest they
 * have seen. So the fence of a shard must never decrease, and no two nodes may
 * serve the shard under the same fence.
 */
static void check_fence(struct sim *s, uint32_t shard, struct sim_node *nd)
{
	int64_t fence, end;

	if (!nd->up || nd->slot >= SIM_KEYED || sim_has_backend(nd) ||
	    member_may_serve(&nd->member, shard, sim_node_now_ms(nd), &fence,
			     &end))
		return;
	if (fence < s->top_fence[shard] ||
	    (fence == s->top_fence[shard] &&
	     s->top_fence_slot[shard] != nd->slot)) {
		s->fence_breaches++;
		if (s->verbose)
			g_print("%7" G_GINT64_FORMAT
				" node %u serves shard %u under fence "
				"%" G_GINT64_FORMAT ", node %u had it under "
				"%" G_GINT64_FORMAT "\n",
				(gint64)s->now_ms, nd->slot, shard,
				(gint64)fence, s->top_fence_slot[shard],
				(gint64)s->top_fence[shard]);
		if (s->verbose && s->fence_breaches == 1) {
			print_log(s);
			sim_print_nodes(s);
		}
	}
	if (fence < s->top_fence[shard])
		return;
	s->top_fence[shard] = fence;
	s->top_fence_slot[shard] = nd->slot;
}

static void check_safety(struct sim *s)
{
	uint32_t i, j;

	for (i = 0; i < s->n_shards; i++)
		for (j = 0; j < SIM_NODES; j++)
			check_fence(s, i, &s->nodes[j]);

	for (i = 0; i < s->n_shards; i++) {
		uint32_t n = 0;

		for (j = 0; j < SIM_NODES; j++)
			n += node_serves(&s->nodes[j], i);
		if (n < 2)
			continue;
		s->breaches++;
		for (j = 0; s->verbose && j < SIM_NODES; j++)
			if (node_serves(&s->nodes[j], i))
				g_print("%7" G_GINT64_FORMAT
					" shard %u served by node %u (%s)\n",
					(gint64)s->now_ms, i, j,
					s->nodes[j].busy_until_ms[i] > s->now_ms
						? "busy"
						: "idle");
		if (s->verbose && s->breaches == 1) {
			print_log(s);
			sim_print_nodes(s);
		}
	}
	for (j = 0; j < SIM_NODES; j++) {
		struct sim_node *nd = &s->nodes[j];

		if (!nd->up)
			continue;
		g_assert_cmpint(nd->member.fleet.configuration_version, >=,
				nd->configuration_version);
		nd->configuration_version =
			nd->member.fleet.configuration_version;
	}
}

struct fleet *sim_newest_state(struct sim *s)
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

int sim_slot_of_member(struct sim *s, int64_t member)
{
	uint32_t i;

	for (i = 0; i < SIM_NODES; i++)
		if (s->nodes[i].up && s->nodes[i].member.self_id == member)
			return i;
	return -1;
}

int sim_slot_of_process(struct sim *s, int64_t process)
{
	uint32_t i;

	for (i = 0; i < SIM_NODES; i++)
		if (s->nodes[i].up && s->nodes[i].member.process == process)
			return i;
	return -1;
}

void sim_cut_link(struct sim *s, uint32_t a, uint32_t b, int64_t ms)
{
	s->link_cut_until_ms[a][b] = s->now_ms + ms;
	s->link_cut_until_ms[b][a] = s->now_ms + ms;
}

static void leave_at_join(struct sim_node *nd)
{
	if (!nd->leaves_at_join || !nd->member.self_id)
		return;
	nd->leaves_at_join = false;
	member_set_membership_wanted(&nd->member, false, sim_node_now_ms(nd));
}

void sim_step(struct sim *s)
{
	uint32_t i;

	s->now_ms += SIM_STEP_MS;
	answer_appends(s);
	for (i = 0; i < SIM_NODES; i++) {
		struct sim_node *nd = &s->nodes[i];

		if (!nd->up || nd->paused_until_ms > s->now_ms)
			continue;
		deliver_packets(nd);
		read_log(nd);
		leave_at_join(nd);
		sim_operators_step(nd);
		member_tick(&nd->member, sim_node_now_ms(nd));
		start_requests(nd);
		if (s->grant_ops == &grant_by_call && sim_has_backend(nd))
			sim_backend_send_calls(nd);
	}
	for (i = 0; s->uses_grants && i < SIM_KEYED; i++)
		sim_backend_step(&s->nodes[i]);
	check_safety(s);
}

void sim_run(struct sim *s, int64_t ms)
{
	int64_t end = s->now_ms + ms;

	while (s->now_ms < end)
		sim_step(s);
}

int sim_serving_slot(struct sim *s, uint32_t shard)
{
	int64_t fence, end;
	uint32_t j;

	for (j = 0; j < SIM_KEYED; j++) {
		struct sim_node *nd = &s->nodes[j];

		if (sim_has_backend(nd) && !sim_backend_holds(nd, shard))
			continue;
		if (nd->up && nd->paused_until_ms <= s->now_ms &&
		    !member_may_serve(&nd->member, shard, sim_node_now_ms(nd),
				      &fence, &end))
			return j;
	}
	return -1;
}

uint32_t sim_n_unserved(struct sim *s)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < s->n_shards; i++)
		n += sim_serving_slot(s, i) < 0;
	return n;
}

/* Whether the log states for every move that no predecessor still serves. */
static bool all_settled(struct sim *s)
{
	struct fleet_service *sv =
		fleet_service(sim_newest_state(s), "records");
	uint32_t i;

	for (i = 0; sv && i < sv->n_shards; i++)
		if (sv->shards[i].prev_owner)
			return false;
	return sv;
}

static bool all_served(struct sim *s)
{
	return !sim_n_unserved(s);
}

static bool step_until(struct sim *s, bool (*reached)(struct sim *s),
		       int64_t max_ms)
{
	int64_t end = s->now_ms + max_ms;

	while (s->now_ms < end) {
		sim_step(s);
		if (reached(s))
			return true;
	}
	return false;
}

bool sim_run_until_settled(struct sim *s, int64_t max_ms)
{
	return step_until(s, all_settled, max_ms);
}

bool sim_run_until_served(struct sim *s, int64_t max_ms)
{
	return step_until(s, all_served, max_ms);
}

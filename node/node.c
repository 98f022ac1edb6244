#include <inttypes.h>
#include <signal.h>
#include <string.h>

#include "net/clock.h"
#include "node/backend.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/histogram.h"
#include "util/result.h"

/* For the answers to go out before the process ends. */
#define LAST_WORD_MS 300
/* For the last words to be read; the platform ends us 400 ms after the limit. */
#define HEARD_MS 500
#define TICK_S 0.05
#define SEED_EVERY_MS 500
#define STAY_LIMIT_MS 10000
#define MAX_ADDRESSES 8192
/* The platform asks every second, and twice before it believes. */
#define NOTICE_MS 2300
#define BOOT_ID_FILE "/proc/sys/kernel/random/boot_id"

/* The message being handled, to answer over the link that it came by. */
static const struct peer_source *current_source;

bool node_takes_work(const struct node *n)
{
	const struct member *m =
		fleet_member(&n->member.fleet, n->member.self_id);

	return m && !n->member.resigning && !n->gate.draining &&
	       fleet_member_in_service(&n->member.fleet, m);
}

static const char *address_of(struct node *n, int64_t id)
{
	const struct member *m = fleet_member(&n->member.fleet, id);

	if (m)
		return m->peer;
	if (!id && current_source)
		return current_source->address;
	return g_hash_table_lookup(n->addresses, &id);
}

static void op_send(void *user, int64_t to, const struct member_msg *msg)
{
	struct node *n = user;
	const char *address = address_of(n, to);
	GByteArray *out;

	if (!address)
		return;
	out = g_byte_array_new();
	member_msg_encode(msg, out);
	if (current_source && current_source->identity &&
	    !strcmp(current_source->address, address))
		peers_answer(&n->peers, current_source->identity,
			     current_source->identity_len, PLANE_MEMBER,
			     out->data, out->len);
	else
		peers_send(&n->peers, address, PLANE_MEMBER, out->data,
			   out->len);
	g_byte_array_unref(out);
}

static void tell_proposed(const struct node *n)
{
	const json_t *changes = n->member.changes;

	EVENT(configuration_proposed, NULL,
	      "\"source\":%" PRId64 ",\"base\":%" PRId64
	      ",\"classes\":%zu,\"removed\":%zu,\"whole\":%s"
	      ",\"read_ago_ms\":%" PRId64,
	      n->member.changes_source, n->member.changes_base,
	      json_array_size(json_object_get(changes, "classes")),
	      json_array_size(json_object_get(changes, "removed")),
	      n->member.changes_complete ? "true" : "false",
	      clock_now_ms() - n->member.published_since_ms);
}

static json_t *op_published(void *user, const json_t *in_force)
{
	struct node *n = user;

	return operator_records_document(&n->published, in_force);
}

static void op_append(void *user, enum append_kind kind, json_t *record)
{
	struct node *n = user;

	G_STATIC_ASSERT(COUNTER_appends_published - COUNTER_appends_join ==
			N_APPEND_KINDS - 1);
	counters[COUNTER_appends_join + kind]++;
	if (kind == APPEND_PUBLISHED)
		tell_proposed(n);
	log_client_append(&n->log, kind, member_append_may_follow(kind), NULL,
			  record);
}

/*
 * Whether a backend server that reports what it holds has not done so yet. The
 * process before this one may have granted it anything.
 */
static bool holdings_unknown(const struct node *n)
{
	const struct fleet_service *s =
		fleet_service(&n->member.fleet, n->settings.service);

	return n->gate.grants.ops && s && s->key_numbers &&
	       (!n->gate.grants.heartbeat_seen || !n->gate.grants.n_shards);
}

static uint32_t op_in_flight(void *user, uint32_t shard)
{
	struct node *n = user;

	if (holdings_unknown(n))
		return 1;
	return gate_shard_load(&n->gate, shard) +
	       grants_may_hold(&n->gate.grants, shard, clock_now_ms());
}

static void op_export_ids(void *user, uint32_t shard, GArray *out)
{
	struct node *n = user;

	ids_export(&n->gate.ids, shard, clock_now_ms(), out);
	grants_export(&n->gate.grants, shard, out);
}

static void op_import_ids(void *user, const int64_t *entry)
{
	struct node *n = user;

	if (grants_import(&n->gate.grants, entry))
		return;
	ids_import(&n->gate.ids, entry, clock_now_ms());
}

static void tell_unsettled(const struct node *n, uint32_t shard)
{
	const struct member_node *m = &n->member;
	const struct fleet_service *s =
		fleet_service(&m->fleet, n->settings.service);
	const struct shard *sh = &s->shards[shard];
	struct unsettled_moves u = member_unsettled_moves(m);

	EVENT(move_unsettled, NULL,
	      "\"shards\":%u,\"ms\":%" PRId64 ",\"shard\":%u"
	      ",\"fence\":%" PRId64 ",\"state\":%d,\"cleared\":%u"
	      ",\"from\":%" PRId64 ",\"from_successor\":%" PRId64
	      ",\"earlier_from\":%" PRId64 ",\"earlier_successor\":%" PRId64,
	      u.n, clock_now_ms() - u.since_ms, shard, sh->fence,
	      m->holds[shard].state, m->holds[shard].released_by,
	      sh->prev_owner, sh->prev_successor, sh->older_owner,
	      sh->older_successor);
}

static void op_note(void *user, const char *what, int64_t subject)
{
	struct node *n = user;

	if (!strcmp(what, NOTE_LEASE_GAINED))
		EVENT(lease_gained, NULL, "\"member\":%" PRId64,
		      n->member.self_id);
	else if (!strcmp(what, NOTE_LEASE_LAPSED))
		EVENT(lease_lapsed, NULL,
		      "\"member\":%" PRId64 ",\"ago_ms\":%" PRId64,
		      n->member.self_id,
		      clock_now_ms() - member_lease_end_ms(&n->member));
	else if (!strcmp(what, NOTE_STOPPED))
		EVENT(member_stopped, NULL,
		      "\"member\":%" PRId64 ",\"applied\":%" PRId64, subject,
		      n->member.fleet.applied);
	else if (!strcmp(what, NOTE_UNSETTLED))
		tell_unsettled(n, (uint32_t)subject);
	else if (!strcmp(what, NOTE_CAUGHT_UP))
		EVENT(caught_up, NULL,
		      "\"with\":%" PRId64 ",\"applied\":%" PRId64
		      ",\"ms\":%" PRId64,
		      subject, n->member.fleet.applied,
		      clock_now_ms() - n->started_ms);
	else if (!strcmp(what, NOTE_CURRENT))
		EVENT(current, NULL,
		      "\"version\":%" PRId64 ",\"source\":%" PRId64
		      ",\"published\":%" PRId64 ",\"ms\":%" PRId64,
		      subject, n->member.fleet.source_offset,
		      n->member.published_source,
		      clock_now_ms() - n->started_ms);
	g_info("member %" G_GINT64_FORMAT ": %s %" G_GINT64_FORMAT,
	       (gint64)n->member.self_id, what, (gint64)subject);
	if (!strcmp(what, NOTE_STOPPED))
		entry_on_member_stopped(&n->entry, subject);
}

static const struct member_ops member_ops = {
	.send = op_send,
	.append = op_append,
	.in_flight = op_in_flight,
	.export_ids = op_export_ids,
	.import_ids = op_import_ids,
	.load_published = op_published,
	.note = op_note,
};

static void remember_address(struct node *n, int64_t id, const char *address)
{
	/* Addresses of those long gone: only a witness just left matters. */
	if (g_hash_table_size(n->addresses) >= MAX_ADDRESSES)
		g_hash_table_remove_all(n->addresses);
	g_hash_table_replace(n->addresses, g_memdup2(&id, sizeof(id)),
			     g_strdup(address));
}

/*
 * A member was replaced by one of the same host. Unless it is the same process
 * that joined anew, the old one is gone: one process to a peer address.
 */
static void note_superseded(struct node *n, const struct member *m)
{
	struct member *old = &n->superseded;

	if (old->id && !strcmp(old->host, m->host) &&
	    old->process != m->process)
		entry_on_member_lost(&n->entry, old->id);
	old->id = 0;
}

static void tell_configured(const struct node *n, const struct fleet_event *ev)
{
	const struct member_node *m = &n->member;
	int64_t since = m->published_since_ms;

	EVENT(configured, NULL,
	      "\"version\":%" PRId64 ",\"source\":%" PRId64
	      ",\"operators_version\":%" PRId64
	      ",\"classes\":%u,\"read_ago_ms\":%" PRId64,
	      ev->offset, m->fleet.source_offset,
	      (int64_t)json_integer_value(
		      json_object_get(m->fleet.document, "source")),
	      m->fleet.configuration.n_classes,
	      since ? clock_now_ms() - since : -1);
}

static void on_event(void *user, const struct fleet_event *ev)
{
	struct node *n = user;

	audit_event(&n->audit, ev);
	if (ev->type == FLEET_CONFIGURATION_CHANGED) {
		tell_configured(n, ev);
		entry_follow_configuration(&n->entry);
	}
	if (ev->type == FLEET_CONFIGURATION_REFUSED) {
		COUNT(configurations_refused);
		EVENT(configuration_refused, NULL,
		      "\"offset\":%" PRId64 ",\"problem\":%s", ev->offset,
		      event_text(ev->reason));
	}
	if (ev->type == FLEET_MEMBER_REMOVED &&
	    (!strcmp(ev->reason, FLEET_REASON_RESTARTED) ||
	     !strcmp(ev->reason, FLEET_REASON_SERVER_RESTARTED)))
		n->superseded = *ev->member;
	if (ev->type == FLEET_MEMBER_REMOVED)
		gate_entry_gone(&n->gate, ev->member->peer);
	if (ev->type == FLEET_MEMBER_JOINED) {
		remember_address(n, ev->member->id, ev->member->peer);
		note_superseded(n, ev->member);
	}
	operator_on_event(n, ev);
}

/* Records that peers sent need not be read from the log any more. */
static void read_after_peers(struct node *n)
{
	int64_t next = n->member.fleet.applied + 1;

	if (!n->log.trimmed)
		n->log.next = MAX(n->log.next, next);
	else if (member_is_current(&n->member) ||
		 (!n->log.ops->recover && next >= n->log.scan_from))
		log_client_seek(&n->log, next);
}

static void on_member_message(struct node *n, const void *data, size_t len)
{
	struct member_msg msg;

	if (member_msg_decode(&msg, data, len)) {
		COUNT(peer_messages_malformed);
		g_info("malformed member message from %s",
		       current_source->address);
		return;
	}
	/* It may have joined by a record that we lack, and is to be asked for. */
	if (msg.from && !fleet_member(&n->member.fleet, msg.from))
		remember_address(n, msg.from, current_source->address);
	member_on_message(&n->member, &msg, clock_now_ms());
	audit_flush(&n->audit);
	read_after_peers(n);
	member_msg_finish(&msg);
}

static void on_request_message(struct node *n, const struct peer_source *from,
			       const void *data, size_t len)
{
	struct request_msg m;

	if (request_msg_decode(&m, data, len)) {
		COUNT(peer_messages_malformed);
		g_info("malformed request message from %s", from->address);
		return;
	}
	if (m.type == REQ_ASK || m.type == REQ_CREDIT || m.type == REQ_CANCEL ||
	    m.type == REQ_CONFIRMED || m.type == REQ_HEARD)
		gate_on_message(&n->gate, from->identity, from->identity_len,
				&m);
	else
		entry_on_message(&n->entry, &m);
	request_msg_finish(&m);
}

static void on_peer(void *user, enum peer_plane plane,
		    const struct peer_source *from, const void *data,
		    size_t len)
{
	struct node *n = user;

	if (plane == PLANE_REQUEST) {
		on_request_message(n, from, data, len);
		return;
	}
	current_source = from;
	on_member_message(n, data, len);
	current_source = NULL;
}

/* While the log cannot be read, any peer's copy of it will do. */
static void ask_seeds(struct node *n, int64_t now)
{
	struct member_msg msg;
	GByteArray *out;

	if ((log_client_up(&n->log) && !n->log.trimmed) ||
	    !n->settings.n_seeds || now < n->next_seed_ms)
		return;
	n->next_seed_ms = now + SEED_EVERY_MS;
	member_msg_init(&msg, MSG_RECORDS_REQUEST);
	msg.applied = n->member.fleet.applied;
	msg.offset = n->member.fleet.applied + 1;
	out = g_byte_array_new();
	member_msg_encode(&msg, out);
	peers_send(&n->peers,
		   n->settings.seeds[n->next_seed++ % n->settings.n_seeds],
		   PLANE_MEMBER, out->data, out->len);
	g_byte_array_unref(out);
}

/*
 * Whether only this process stops and its backend server goes on. The process
 * that follows takes up its keys, so they are not moved.
 */
static bool keeps_backend(const struct node *n)
{
	return n->gate.grants.ops && !n->backend_left && n->life.id[0];
}

/* How long callers may still be sent here after we were asked to stop. */
static int64_t notice_ms(const struct node *n)
{
	return n->settings.ready_address[0] ? NOTICE_MS : 0;
}

/* Whether what is still in progress must be given up. */
static bool time_is_up(const struct node *n, int64_t asked_ms)
{
	return asked_ms >= n->settings.stop_limit_ms - LAST_WORD_MS;
}

/* A connection that just ends tells its caller nothing. */
static void answer_in_time(struct node *n, int64_t asked_ms)
{
	if (time_is_up(n, asked_ms))
		entry_answer_all(&n->entry);
}

/* Say what there is left to say; the loop ends once that has been read. */
static void begin_ending(struct node *n, int64_t now)
{
	n->ending_ms = now;
	gate_say_last(&n->gate);
}

static void tick_ending(struct node *n, int64_t now)
{
	if (!gate_was_heard(&n->gate) && now - n->ending_ms < HEARD_MS)
		return;
	ev_break(n->loop, EVBREAK_ALL);
}

/* Stop beside a backend server that goes on: end what runs, then leave. */
static void tick_pause(struct node *n)
{
	int64_t asked_ms = clock_now_ms() - n->stopping_ms;
	bool idle;

	entry_drain(&n->entry);
	/* Others can serve what needs no key; for a key there is only us. */
	if (!n->gate.grants.n_shards || asked_ms >= NOTICE_MS)
		gate_stop_taking(&n->gate);
	/* Callers are sent here until the platform has noticed. */
	if (asked_ms < NOTICE_MS)
		return;
	entry_close(&n->entry);
	answer_in_time(n, asked_ms);
	idle = gate_idle(&n->gate) && entry_idle(&n->entry);
	if (!idle && !time_is_up(n, asked_ms))
		return;
	EVENT(stopped, NULL, "\"requests\":%u,\"running\":%u,\"ms\":%" PRId64,
	      n->entry.requests->len, n->gate.load.n_in_flight, asked_ms);
	g_info("stopped, %s in progress", idle ? "nothing" : "something");
	begin_ending(n, clock_now_ms());
}

/*
 * Where a ready page tells callers to go elsewhere, they are let in only until
 * that has been noticed: those let in later would be cut off at the time limit.
 */
static void shut_out_callers(struct node *n, int64_t asked_ms)
{
	if (!n->settings.ready_address[0])
		return;
	entry_drain(&n->entry);
	if (asked_ms >= NOTICE_MS)
		entry_close(&n->entry);
}

static void tick_stop(struct node *n)
{
	int64_t now = clock_now_ms();

	if (n->ending_ms) {
		tick_ending(n, now);
		return;
	}
	if (keeps_backend(n)) {
		tick_pause(n);
		return;
	}
	shut_out_callers(n, now - n->stopping_ms);
	answer_in_time(n, now - n->stopping_ms);
	if (time_is_up(n, now - n->stopping_ms)) {
		g_warning("stopped at the time limit");
		begin_ending(n, now);
		return;
	}

	if (!member_has_left(&n->member))
		return;
	if (!n->left_ms)
		n->left_ms = now;
	/* Those we vouch for need others first; not for ever, though. */
	if (member_is_witness(&n->member) && now - n->left_ms < STAY_LIMIT_MS)
		return;
	entry_drain(&n->entry);
	if (now - n->stopping_ms < notice_ms(n))
		return;
	entry_close(&n->entry);
	if (!gate_idle(&n->gate) || !entry_idle(&n->entry))
		return;
	g_info("stopped, nothing in progress");
	begin_ending(n, now);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct node *n = w->data;
	int64_t now = clock_now_ms();

	(void)loop;
	(void)events;
	n->member.log_up = log_client_up(&n->log);
	member_tick(&n->member, now);
	gate_tick(&n->gate);
	entry_follow_configuration(&n->entry);
	granter_tick(&n->granter);
	backend_tick(n);
	reload_tick(n, now);
	ask_seeds(n, now);
	operator_tick(n);
	streams_tick(n, now);
	if (n->stopping)
		tick_stop(n);
}

bool node_is_ready(const struct node *n)
{
	return !n->stopping && n->member.fleet.document &&
	       member_is_current(&n->member) &&
	       fleet_n_members(&n->member.fleet);
}

static void on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	struct node *n = w->data;

	(void)loop;
	(void)events;
	if (n->stopping)
		return;
	g_info("asked to stop: finishing what is in progress");
	EVENT(stopping, NULL, "\"requests\":%u,\"running\":%u",
	      n->entry.requests->len, n->gate.load.n_in_flight);
	n->stopping = true;
	n->stopping_ms = clock_now_ms();
	if (keeps_backend(n))
		return;
	gate_stop_taking(&n->gate);
	member_set_membership_wanted(&n->member, false, clock_now_ms());
}

static void on_hangup(struct ev_loop *loop, ev_signal *w, int events)
{
	(void)loop;
	(void)events;
	node_reload(w->data);
}

void node_backend_announced(struct node *n)
{
	if (!n->stopping)
		member_set_membership_wanted(&n->member, true, clock_now_ms());
}

void node_backend_left(struct node *n)
{
	/* Its next heartbeat, if there is one, announces it again. */
	n->backend_left = true;
	member_set_membership_wanted(&n->member, false, clock_now_ms());
}

static void fill_member(struct member *m, const struct settings *s)
{
	g_autofree char *boot = NULL;

	memset(m, 0, sizeof(*m));
	g_strlcpy(m->host, s->host, sizeof(m->host));
	g_strlcpy(m->data_centre, s->data_centre, sizeof(m->data_centre));
	g_strlcpy(m->service, s->service, sizeof(m->service));
	g_strlcpy(m->peer, s->peer_address, sizeof(m->peer));
	g_strlcpy(m->caller, s->caller_address, sizeof(m->caller));
	if (g_file_get_contents(BOOT_ID_FILE, &boot, NULL, NULL))
		g_strlcpy(m->boot_id, g_strstrip(boot), sizeof(m->boot_id));
}

/* The tick wakes the loop much sooner, unless the process does not run. */
#define FROZEN_US 250000

bool node_was_paused(const struct node *n)
{
	return n->awake_us && clock_now_us() - n->awake_us > FROZEN_US;
}

static void on_awake(struct ev_loop *loop, ev_check *w, int events)
{
	struct node *n = w->data;

	(void)loop;
	(void)events;
	n->awake_us = clock_now_us();
	if (n->asleep_us && n->awake_us - n->asleep_us > FROZEN_US)
		gate_hold(&n->gate, n->awake_us / 1000);
}

static void on_asleep(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct node *n = w->data;

	(void)loop;
	(void)events;
	n->asleep_us = clock_now_us();
	if (n->awake_us)
		MEASURE(loop_ms, (n->asleep_us - n->awake_us) / 1000.0);
}

/* How long a round takes: nothing that comes in meanwhile is looked at. */
static void watch_rounds(struct node *n)
{
	ev_check_init(&n->awake, on_awake);
	ev_prepare_init(&n->asleep, on_asleep);
	ev_set_priority(&n->awake, EV_MAXPRI);
	ev_set_priority(&n->asleep, EV_MINPRI);
	n->awake.data = n;
	n->asleep.data = n;
	ev_check_start(n->loop, &n->awake);
	ev_prepare_start(n->loop, &n->asleep);
}

static void init_watchers(struct node *n)
{
	watch_rounds(n);
	ev_timer_init(&n->tick, on_tick, 0, TICK_S);
	ev_signal_init(&n->sigterm, on_signal, SIGTERM);
	ev_signal_init(&n->sigint, on_signal, SIGINT);
	ev_signal_init(&n->sighup, on_hangup, SIGHUP);
	n->sighup.data = n;
	ev_signal_start(n->loop, &n->sighup);
	n->tick.data = n;
	n->sigterm.data = n;
	n->sigint.data = n;
	ev_timer_start(n->loop, &n->tick);
	ev_signal_start(n->loop, &n->sigterm);
	ev_signal_start(n->loop, &n->sigint);
}

static int cannot_listen(GString *errors, const char *address, int err)
{
	g_string_append_printf(errors, "cannot listen on %s: %s\n", address,
			       result_name(err));
	return err;
}

int node_init(struct node *n, const struct settings *s, struct ev_loop *loop,
	      GString *errors)
{
	struct member_timing timing = MEMBER_TIMING_DEFAULT;
	struct member me;
	int err;

	memset(n, 0, sizeof(*n));
	n->settings = *s;
	n->loop = loop;
	n->started_ms = clock_now_ms();
	/* First of all, for a second process here must find out by this. */
	err = peers_init(&n->peers, loop, s->peer_address, on_peer, n);
	if (err)
		return cannot_listen(errors, s->peer_address, err);
	timing.snapshot_interval_ms = s->snapshot_interval_ms;
	timing.snapshot_records = s->snapshot_records;
	timing.lease_ms = s->lease_ms;
	timing.move_batch = s->move_batch;
	timing.drift_ppm = s->drift_ppm;
	fill_member(&me, s);
	n->publishes = g_ptr_array_new();
	n->addresses = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	audit_init(&n->audit);
	member_init(&n->member, &me, &timing, &member_ops, n, n->started_ms,
		    g_random_int());
	n->member.on_event = on_event;
	n->member.on_event_user = n;
	gate_init(&n->gate, n);
	granter_init(&n->granter, n);
	err = entry_init(&n->entry, n);
	if (err)
		return cannot_listen(errors, s->caller_address, err);
	err = operator_init(n);
	if (err)
		return cannot_listen(errors, s->operator_address, err);
	err = backend_init(n);
	if (err)
		return cannot_listen(errors, s->announce_address, err);
	streams_init(n);
	init_watchers(n);
	return RESULT_OK;
}

/* Run until asked to stop and nothing is in progress. */
void node_run(struct node *n)
{
	ev_run(n->loop, 0);
}

/* Release everything. */
void node_finish(struct node *n)
{
	ev_timer_stop(n->loop, &n->tick);
	ev_check_stop(n->loop, &n->awake);
	ev_prepare_stop(n->loop, &n->asleep);
	ev_signal_stop(n->loop, &n->sigterm);
	ev_signal_stop(n->loop, &n->sigint);
	ev_signal_stop(n->loop, &n->sighup);
	operator_finish(n);
	entry_finish(&n->entry);
	granter_finish(&n->granter);
	gate_finish(&n->gate);
	streams_finish(n);
	backend_finish(n);
	peers_finish(&n->peers);
	member_finish(&n->member);
	audit_finish(&n->audit);
	g_hash_table_unref(n->addresses);
	g_ptr_array_unref(n->publishes);
}

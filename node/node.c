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

/*
 * How long before the stop limit all open requests are answered, so that the
 * answers are sent before the process ends.
 */
#define FINAL_ANSWERS_MS 300
/*
 * How long to wait until the stop notices are acknowledged. The platform kills
 * the process 400 ms after the stop limit.
 */
#define STOPPING_ACK_TIMEOUT_MS 500
#define TICK_S 0.05
#define SEED_REQUEST_INTERVAL_MS 500
/* How long a process that has resigned stays for members it is a witness of. */
#define WITNESS_STAY_MAX_MS 10000
#define MAX_ADDRESSES 8192
/*
 * How long the platform takes to notice that the ready page reports the node as
 * not ready: it asks every second, and acts on the second such answer.
 */
#define UNREADY_NOTICE_MS 2300
#define BOOT_ID_FILE "/proc/sys/kernel/random/boot_id"

/* Where the member message being handled came from; answers use its link. */
static const struct peer_source *current_source;

bool node_accepts_unsharded(const struct node *n)
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

static void emit_proposed(const struct node *n)
{
	const json_t *changes = n->member.changes;

	MEASURE(change_wait_ms,
		clock_now_ms() - n->member.published_wait_since_ms);
	EVENT(configuration_proposed, NULL,
	      "\"source\":%" PRId64 ",\"base\":%" PRId64
	      ",\"classes\":%zu,\"removed\":%zu,\"whole\":%s"
	      ",\"read_ago_ms\":%" PRId64,
	      n->member.changes_source, n->member.changes_base,
	      json_array_size(json_object_get(changes, "classes")),
	      json_array_size(json_object_get(changes, "removed")),
	      n->member.changes_complete ? "true" : "false",
	      clock_now_ms() - n->member.published_wait_since_ms);
}

static json_t *op_published(void *user, const json_t *in_force)
{
	struct node *n = user;

	return operator_records_document(&n->operator_records, in_force);
}

static void op_append(void *user, enum append_kind kind, json_t *record)
{
	struct node *n = user;

	G_STATIC_ASSERT(COUNTER_appends_left - COUNTER_appends_join ==
			N_APPEND_KINDS - 1);
	counters[COUNTER_appends_join + kind]++;
	if (kind == APPEND_PUBLISHED) {
		emit_proposed(n);
		n->change_proposed_at_ms = clock_now_ms();
		n->change_sent_at_ms = n->change_proposed_at_ms;
		n->change_sent_source = n->member.changes_source;
		n->change_sent_base = n->member.changes_base;
	}
	log_client_append(&n->log, kind, member_append_may_follow(kind), NULL,
			  record);
}

static uint32_t op_in_flight(void *user, uint32_t shard)
{
	struct node *n = user;
	const struct fleet_service *s =
		fleet_service(&n->member.fleet, n->settings.service);
	int64_t now = clock_now_ms();

	if (s && s->key_numbers && grants_unreported(&n->gate.grants, now))
		return 1;
	return gate_shard_load(&n->gate, shard) +
	       grants_may_hold(&n->gate.grants, shard, now);
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

static void emit_unsettled(const struct node *n, uint32_t shard)
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

/* Time since a moment, -1 if there was none. */
static int64_t ms_since(int64_t at_ms)
{
	return at_ms ? clock_now_ms() - at_ms : -1;
}

static void emit_configured(struct node *n, const struct fleet_event *ev)
{
	const struct member_node *m = &n->member;

	if (n->change_proposed_at_ms)
		MEASURE(change_back_ms, ms_since(n->change_proposed_at_ms));
	EVENT(configured, NULL,
	      "\"version\":%" PRId64 ",\"source\":%" PRId64
	      ",\"operators_version\":%" PRId64
	      ",\"classes\":%u,\"by\":\"%s\",\"read_ago_ms\":%" PRId64
	      ",\"proposed_ago_ms\":%" PRId64 ",\"announced_ago_ms\":%" PRId64,
	      ev->offset, m->fleet.source_offset,
	      (int64_t)json_integer_value(
		      json_object_get(m->fleet.document, "source")),
	      m->fleet.configuration.n_classes, event_text(ev->written_by),
	      ms_since(m->published_wait_since_ms),
	      ms_since(n->change_proposed_at_ms), ms_since(n->announced_at_ms));
	n->change_proposed_at_ms = 0;
}

/*
 * A peer has applied a record that it did not send: this node has to read it
 * from the log.
 */
static void on_announced(struct node *n, int64_t offset)
{
	if (n->announced_at_ms)
		return;
	n->announced_at_ms = clock_now_ms();
	n->announced_offset = offset;
	EVENT(record_announced, NULL,
	      "\"offset\":%" PRId64 ",\"applied\":%" PRId64, offset,
	      n->member.fleet.applied);
}

static void check_announced(struct node *n)
{
	if (!n->announced_at_ms ||
	    n->member.fleet.applied < n->announced_offset)
		return;
	MEASURE(announced_ms, ms_since(n->announced_at_ms));
	n->announced_at_ms = 0;
}

static void emit_change_in_force(const struct node *n)
{
	const struct member_node *m = &n->member;
	const struct early_configuration *e = &m->early;

	MEASURE(change_early_ms, ms_since(m->early_read_at_ms));
	EVENT(change_in_force, NULL,
	      "\"source\":%" PRId64 ",\"operators_version\":%" PRId64
	      ",\"base\":%" PRId64 ",\"classes\":%u,\"from\":%" PRId64
	      ",\"whole\":%s,\"read_ago_ms\":%" PRId64,
	      e->source,
	      (int64_t)json_integer_value(
		      json_object_get(e->document, "source")),
	      e->base, e->configuration.n_classes, m->early_from,
	      e->changes ? "false" : "true", ms_since(m->early_read_at_ms));
}

static void op_note(void *user, const char *what, int64_t subject)
{
	struct node *n = user;

	if (!strcmp(what, NOTE_ANNOUNCED)) {
		on_announced(n, subject);
		return;
	}
	if (!strcmp(what, NOTE_STATE_REPLACED)) {
		leaving_on_state_replaced(n);
		return;
	}
	if (!strcmp(what, NOTE_EARLY))
		emit_change_in_force(n);
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
		emit_unsettled(n, (uint32_t)subject);
	else if (!strcmp(what, NOTE_CAUGHT_UP))
		EVENT(caught_up, NULL,
		      "\"with\":%" PRId64 ",\"applied\":%" PRId64
		      ",\"ms\":%" PRId64,
		      subject, n->member.fleet.applied,
		      clock_now_ms() - n->started_at_ms);
	else if (!strcmp(what, NOTE_CURRENT))
		EVENT(current, NULL,
		      "\"version\":%" PRId64 ",\"source\":%" PRId64
		      ",\"published\":%" PRId64 ",\"ms\":%" PRId64,
		      subject, n->member.fleet.source_offset,
		      n->member.published_source,
		      clock_now_ms() - n->started_at_ms);
	g_info("member %" G_GINT64_FORMAT ": %s %" G_GINT64_FORMAT,
	       (gint64)n->member.self_id, what, (gint64)subject);
	if (!strcmp(what, NOTE_STOPPED))
		entry_on_member_lease_over(&n->entry, subject);
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
	/*
	 * Most addresses are of members removed long ago. The only ones needed
	 * are of witnesses that have just left.
	 */
	if (g_hash_table_size(n->addresses) >= MAX_ADDRESSES)
		g_hash_table_remove_all(n->addresses);
	g_hash_table_replace(n->addresses, g_memdup2(&id, sizeof(id)),
			     g_strdup(address));
}

/*
 * A member was replaced by another one of the same host. Unless the same
 * process joined again, the previous process has ended, since only one process
 * can listen on a peer address.
 */
static void report_replaced_process(struct node *n, const struct member *m)
{
	struct member *old = &n->superseded;

	if (old->id && !strcmp(old->host, m->host) &&
	    old->process != m->process)
		entry_on_member_superseded(&n->entry, old->id);
	old->id = 0;
}

static void on_event(void *user, const struct fleet_event *ev)
{
	struct node *n = user;

	audit_event(&n->audit, ev);
	if (ev->type == FLEET_CONFIGURATION_CHANGED) {
		emit_configured(n, ev);
		entry_apply_configuration(&n->entry);
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
		gate_entry_stopped(&n->gate, ev->member->peer);
	if (ev->type == FLEET_SHARD_MOVED)
		grant_owner_on_shard_moved(&n->gate.grants, &n->member, ev);
	if (ev->type == FLEET_SERVER_LEFT)
		leaving_on_event(n, ev->leaving);
	if (ev->type == FLEET_MEMBER_JOINED) {
		remember_address(n, ev->member->id, ev->member->peer);
		entry_on_member_joined(&n->entry, ev->member);
		report_replaced_process(n, ev->member);
	}
	operator_on_event(n, ev);
}

/* Makes the log client skip the records that peers have already sent. */
static void skip_records_from_peers(struct node *n)
{
	int64_t next = n->member.fleet.applied + 1;

	if (!n->log.scanning)
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
	/*
	 * The sender may have joined by a record that is missing here. Its
	 * address is needed to ask it for that record.
	 */
	if (msg.from && !fleet_member(&n->member.fleet, msg.from))
		remember_address(n, msg.from, current_source->address);
	member_on_message(&n->member, &msg, clock_now_ms());
	audit_flush(&n->audit);
	skip_records_from_peers(n);
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
	if (m.type == REQ_SUBMIT || m.type == REQ_CREDIT ||
	    m.type == REQ_CANCEL || m.type == REQ_CONFIRMED ||
	    m.type == REQ_STOPPING_ACK || m.type == REQ_RECONCILE)
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

/*
 * While the log cannot be read, or begins after the next record needed, asks
 * the seeds in turn for that record and those after it: any peer may have them.
 */
static void request_records_from_seed(struct node *n, int64_t now)
{
	struct member_msg msg;
	GByteArray *out;

	if ((log_client_up(&n->log) && !n->log.scanning) ||
	    !n->settings.n_seeds || now < n->next_seed_request_at_ms)
		return;
	n->next_seed_request_at_ms = now + SEED_REQUEST_INTERVAL_MS;
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
 * Whether the backend server keeps running when this process stops. The next
 * process on the host then takes over its keys, so they are not moved.
 */
static bool backend_keeps_running(const struct node *n)
{
	return n->gate.grants.ops && !instance_is_gone(&n->server_instance) &&
	       n->server_instance.id[0];
}

/* How long callers may still be sent to this node after a request to stop. */
static int64_t unready_notice_ms(const struct node *n)
{
	return n->settings.ready_address[0] ? UNREADY_NOTICE_MS : 0;
}

/* Whether the stop limit is so near that no request may go on. */
static bool stop_limit_reached(const struct node *n, int64_t stopping_for_ms)
{
	return stopping_for_ms >= n->settings.stop_limit_ms - FINAL_ANSWERS_MS;
}

/*
 * Answers all open requests shortly before the stop limit: a connection that
 * closes without an answer does not tell its caller whether the request ran.
 */
static void answer_all_at_limit(struct node *n, int64_t stopping_for_ms)
{
	if (stop_limit_reached(n, stopping_for_ms))
		entry_answer_open_requests(&n->entry);
}

/* The loop ends once the entries have acknowledged the stop notices. */
static void stop_gate(struct node *n, int64_t now)
{
	n->gate_stopped_at_ms = now;
	gate_stop(&n->gate);
}

static void await_stopping_acks(struct node *n, int64_t now)
{
	if (!gate_stopping_is_acked(&n->gate) &&
	    now - n->gate_stopped_at_ms < STOPPING_ACK_TIMEOUT_MS)
		return;
	ev_break(n->loop, EVBREAK_ALL);
}

/*
 * Stops beside a backend server that keeps running: ends once no request is in
 * progress, or at the stop limit. The process does not resign.
 */
static void tick_stop_beside_backend(struct node *n)
{
	int64_t stopping_for_ms = clock_now_ms() - n->stop_requested_at_ms;
	bool idle;

	entry_drain(&n->entry);
	/*
	 * Requests without a key can be served by other nodes, so they are
	 * refused at once. Requests for a key can only be served here, so they
	 * are accepted until the platform sends callers elsewhere.
	 */
	if (!n->gate.grants.n_shards || stopping_for_ms >= UNREADY_NOTICE_MS)
		gate_drain(&n->gate);
	/* Until then the platform may still send callers to this node. */
	if (stopping_for_ms < UNREADY_NOTICE_MS)
		return;
	entry_close(&n->entry);
	answer_all_at_limit(n, stopping_for_ms);
	idle = gate_is_idle(&n->gate) && entry_is_idle(&n->entry);
	if (!idle && !stop_limit_reached(n, stopping_for_ms))
		return;
	EVENT(stopped, NULL, "\"requests\":%u,\"running\":%u,\"ms\":%" PRId64,
	      n->entry.requests->len, n->gate.admission.n_in_flight,
	      stopping_for_ms);
	g_info("stopped, %s in progress", idle ? "nothing" : "something");
	stop_gate(n, clock_now_ms());
}

/*
 * If there is a ready page, accepts new connections only until the platform has
 * noticed that the node is not ready: callers that connect later would be cut
 * off at the stop limit.
 */
static void drain_callers(struct node *n, int64_t stopping_for_ms)
{
	if (!n->settings.ready_address[0])
		return;
	entry_drain(&n->entry);
	if (stopping_for_ms >= UNREADY_NOTICE_MS)
		entry_close(&n->entry);
}

static void tick_stop(struct node *n)
{
	int64_t now = clock_now_ms();

	if (n->gate_stopped_at_ms) {
		await_stopping_acks(n, now);
		return;
	}
	if (backend_keeps_running(n)) {
		tick_stop_beside_backend(n);
		return;
	}
	drain_callers(n, now - n->stop_requested_at_ms);
	answer_all_at_limit(n, now - n->stop_requested_at_ms);
	if (stop_limit_reached(n, now - n->stop_requested_at_ms)) {
		g_warning("stopped at the time limit");
		stop_gate(n, now);
		return;
	}

	if (!member_has_left(&n->member))
		return;
	if (!n->resigned_at_ms)
		n->resigned_at_ms = now;
	/*
	 * Members whose witness this process is need to replace it first. Wait
	 * for that no longer than WITNESS_STAY_MAX_MS.
	 */
	if (member_is_witness(&n->member) &&
	    now - n->resigned_at_ms < WITNESS_STAY_MAX_MS)
		return;
	entry_drain(&n->entry);
	if (now - n->stop_requested_at_ms < unready_notice_ms(n))
		return;
	entry_close(&n->entry);
	if (!gate_is_idle(&n->gate) || !entry_is_idle(&n->entry))
		return;
	g_info("stopped, nothing in progress");
	stop_gate(n, now);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct node *n = w->data;
	int64_t now = clock_now_ms();

	(void)loop;
	(void)events;
	check_announced(n);
	n->member.log_up = log_client_up(&n->log);
	member_tick(&n->member, now);
	gate_tick(&n->gate);
	entry_apply_configuration(&n->entry);
	granter_tick(&n->granter);
	backend_tick(n);
	leaving_tick(n);
	reload_tick(n, now);
	request_records_from_seed(n, now);
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
	g_info("stopping: finishing the requests in progress");
	EVENT(stopping, NULL, "\"requests\":%u,\"running\":%u",
	      n->entry.requests->len, n->gate.admission.n_in_flight);
	n->stopping = true;
	n->stop_requested_at_ms = clock_now_ms();
	if (backend_keeps_running(n))
		return;
	gate_drain(&n->gate);
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

/* The tick wakes the loop much sooner, unless the process is paused. */
#define PAUSE_THRESHOLD_US 250000

bool node_was_paused(const struct node *n)
{
	return n->iteration_start_us &&
	       clock_now_us() - n->iteration_start_us > PAUSE_THRESHOLD_US;
}

static void on_iteration_start(struct ev_loop *loop, ev_check *w, int events)
{
	struct node *n = w->data;

	(void)loop;
	(void)events;
	n->iteration_start_us = clock_now_us();
	if (n->iteration_end_us &&
	    n->iteration_start_us - n->iteration_end_us > PAUSE_THRESHOLD_US)
		gate_pause_starts(&n->gate, n->iteration_start_us / 1000);
}

static void on_iteration_end(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct node *n = w->data;

	(void)loop;
	(void)events;
	n->iteration_end_us = clock_now_us();
	if (n->iteration_start_us)
		MEASURE(loop_ms,
			(n->iteration_end_us - n->iteration_start_us) / 1000.0);
}

/*
 * Measures how long each iteration of the loop takes, as nothing that arrives
 * during an iteration is handled before its end.
 */
static void init_iteration_watchers(struct node *n)
{
	ev_check_init(&n->iteration_start_watcher, on_iteration_start);
	ev_prepare_init(&n->iteration_end_watcher, on_iteration_end);
	ev_set_priority(&n->iteration_start_watcher, EV_MAXPRI);
	ev_set_priority(&n->iteration_end_watcher, EV_MINPRI);
	n->iteration_start_watcher.data = n;
	n->iteration_end_watcher.data = n;
	ev_check_start(n->loop, &n->iteration_start_watcher);
	ev_prepare_start(n->loop, &n->iteration_end_watcher);
}

static void init_watchers(struct node *n)
{
	init_iteration_watchers(n);
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
	struct member join_info;
	int err;

	memset(n, 0, sizeof(*n));
	n->settings = *s;
	n->loop = loop;
	n->started_at_ms = clock_now_ms();
	/*
	 * This comes first: a second process with the same settings fails here,
	 * as the address is in use, before it has had any other effect.
	 */
	err = peers_init(&n->peers, loop, s->peer_address, on_peer, n);
	if (err)
		return cannot_listen(errors, s->peer_address, err);
	timing.snapshot_interval_ms = s->snapshot_interval_ms;
	timing.snapshot_records = s->snapshot_records;
	timing.lease_ms = s->lease_ms;
	timing.move_batch = s->move_batch;
	timing.drift_ppm = s->drift_ppm;
	fill_member(&join_info, s);
	n->publishes = g_ptr_array_new();
	n->addresses = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	audit_init(&n->audit);
	member_init(&n->member, &join_info, &timing, &member_ops, n,
		    n->started_at_ms, g_random_int());
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

void node_run(struct node *n)
{
	ev_run(n->loop, 0);
}

void node_finish(struct node *n)
{
	ev_timer_stop(n->loop, &n->tick);
	ev_check_stop(n->loop, &n->iteration_start_watcher);
	ev_prepare_stop(n->loop, &n->iteration_end_watcher);
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

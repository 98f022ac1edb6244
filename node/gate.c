#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "node/gate-request.h"
#include "net/headers.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/event.h"
#include "util/histogram.h"
#include "util/invariant.h"
#include "util/result.h"

#define MAX_IDS 65536
#define MAX_CONNECT_FAILURES 3
#define NO_SHARD (-1)
#define STALL_CHECK_S 0.003
#define MAX_ORIGINS 4096
#define MAX_EARLY_CANCELS 1024
/*
 * A request delayed by more than this is refused: its caller may have left long
 * before, and a cancel would arrive with the same delay.
 */
#define MAX_EXCESS_DELAY_MS 400
/*
 * ZeroMQ's I/O thread needs some milliseconds to read the messages that wait in
 * the sockets.
 */
#define START_PAUSE_MS 30
/*
 * A request that is still queued this long before its deadline is refused. A
 * later refusal would reach the entry after the entry had given up the request
 * and reported that it may have run.
 */
#define REFUSAL_MARGIN_MS 40
/* A small part of REFUSAL_MARGIN_MS: the rest is for the refusal's transit. */
#define EXPIRY_CHECK_S 0.01
/*
 * Shards leave a data centre that is out of service within about two heartbeats
 * of 0.9 s. The platform requires that work there ends within 5 s.
 */
#define OUT_OF_SERVICE_LIMIT_MS 3500
/* A server stops at its deadline; its answer may arrive this much later. */
#define ANSWER_GRACE_MS 50

const struct header_names *gate_header_names(const struct gate_request *r)
{
	return r->gate->node->settings.headers;
}

static guint request_hash(gconstpointer p)
{
	const struct gate_request *r = p;

	return (guint)(r->origin * 31 + r->id);
}

static gboolean request_equal(gconstpointer a, gconstpointer b)
{
	const struct gate_request *x = a;
	const struct gate_request *y = b;

	return x->origin == y->origin && x->id == y->id;
}

void gate_request_free(struct gate_request *r)
{
	struct gate *g = r->gate;

	g_hash_table_remove(g->requests, r);
	link_unreserve(&g->admission.link, r->reserved_bytes);
	if (r->shard >= 0 && r->shard < g->n_shards)
		g->shard_load[r->shard]--;
	if (r->identity)
		g_bytes_unref(r->identity);
	if (r->headers)
		g_ptr_array_unref(r->headers);
	g_byte_array_unref(r->body);
	if (r->unsent_answer)
		g_byte_array_unref(r->unsent_answer);
	if (r->stored_answer)
		g_string_free(r->stored_answer, TRUE);
	g_free(r->strings);
	g_free(r);
}

void gate_unreserve_link(struct gate_request *r)
{
	link_unreserve(&r->gate->admission.link, r->reserved_bytes);
	r->reserved_bytes = 0;
}

void gate_detach(struct gate_request *r)
{
	struct gate *g = r->gate;

	switch (r->state) {
	case GATE_QUEUED:
		queue_remove(&g->admission.queue, r);
		break;
	case GATE_SHARD_WAIT:
		gate_shard_wait_end(r);
		break;
	case GATE_LINK_WAIT:
		gate_link_wait_end(r);
		break;
	case GATE_CONFIRM_WAIT:
		gate_confirm_end(r);
		break;
	case GATE_SUSPECT_WAIT:
		gate_suspect_wait_end(r);
		break;
	case GATE_IN_FLIGHT:
		gate_run_lost(r);
		fetch_cancel(&r->fetch);
		admission_cancelled(&g->admission);
		break;
	}
}

/* Refuses queued requests that cannot be started in time any more. */
static void on_expiry(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gate *g = w->data;
	struct queued q;

	(void)events;
	while (queue_pop_expired(&g->admission.queue, clock_now_ms(), &q))
		gate_refuse(q.request, RESULT_TIMEOUT);
	if (!g->admission.queue.heap->len)
		ev_timer_stop(loop, w);
}

/* Initializes a gate whose backend server has not announced itself yet. */
void gate_init(struct gate *g, struct node *node)
{
	memset(g, 0, sizeof(*g));
	g->node = node;
	g->configuration_version = -1;
	g->configuration_source = -1;
	g->requests = g_hash_table_new(request_hash, request_equal);
	g->shard_waiters = g_ptr_array_new();
	g->link_waiters = g_ptr_array_new();
	g->confirm_waiters = g_ptr_array_new();
	g->suspect_waiters = g_ptr_array_new();
	g->rand = g_rand_new();
	g->entries = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
					   (GDestroyNotify)g_bytes_unref,
					   g_free);
	ev_init(&g->expiry_timer, on_expiry);
	g->expiry_timer.repeat = EXPIRY_CHECK_S;
	g->expiry_timer.data = g;
	ev_init(&g->stall_timer, gate_on_stall_timer);
	g->stall_timer.repeat = STALL_CHECK_S;
	g->stall_timer.data = g;
	admission_init(&g->admission, node->settings.limit,
		       node->settings.link_mbps, clock_now_ms());
	ids_init(&g->ids, MAX_IDS);
	grants_init(&g->grants, node->settings.grants,
		    clock_now_ms() + grants_prev_process_hold_ms(
					     node->settings.grants,
					     node->settings.lease_ms));
	balance_init(&g->balance);
	g->class_indexes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fifo_cache_init(&g->early_cancels, MAX_EARLY_CANCELS);
	fifo_cache_init(&g->origins, MAX_ORIGINS);
	gate_init_last_messages(g);
	gate_server_end_init(g);
}

/* Frees the gate's resources; remaining requests are dropped unanswered. */
void gate_finish(struct gate *g)
{
	GList *all = g_hash_table_get_keys(g->requests);
	GList *l;

	for (l = all; l; l = l->next) {
		fetch_cancel(&((struct gate_request *)l->data)->fetch);
		gate_request_free(l->data);
	}
	g_list_free(all);
	if (g->probing)
		fetch_cancel(&g->probe);
	if (g->fetcher_ready)
		fetcher_finish(&g->fetcher);
	g_hash_table_unref(g->requests);
	g_ptr_array_unref(g->shard_waiters);
	g_ptr_array_unref(g->link_waiters);
	g_ptr_array_unref(g->confirm_waiters);
	g_ptr_array_unref(g->suspect_waiters);
	admission_finish(&g->admission);
	ids_finish(&g->ids);
	ev_timer_stop(g->node->loop, &g->stall_timer);
	ev_timer_stop(g->node->loop, &g->expiry_timer);
	gate_server_end_finish(g);
	grants_finish(&g->grants);
	balance_finish(&g->balance);
	g_hash_table_unref(g->class_indexes);
	fifo_cache_finish(&g->origins);
	fifo_cache_finish(&g->early_cancels);
	last_messages_finish(&g->last_messages[0]);
	last_messages_finish(&g->last_messages[1]);
	g_hash_table_unref(g->entries);
	g_free(g->shard_load);
	g_rand_free(g->rand);
}

void gate_connect_failed(struct gate *g, const struct fetch *f)
{
	g->connect_failures++;
	g->connect_refusals += f->connection_refused;
	if (f->connection_refused)
		gate_server_refuses(g);
}

void gate_connect_succeeded(struct gate *g)
{
	g->connect_failures = 0;
	g->connect_refusals = 0;
}

void gate_backend_announced(struct gate *g, const struct backend_server *b)
{
	bool again = g->backend_server.announced;

	if (strcmp(g->backend_server.instance_id, b->instance_id)) {
		gate_server_replaced(g);
		rate_limit_reset(&g->admission.rate_limit);
		g->server_said_leaving = false;
		g->backend_announced_at_ms = clock_now_ms();
	}
	g->backend_server = *b;
	g->backend_server.announced = true;
	g->draining = false;
	gate_connect_succeeded(g);
	g->backend_alive_at_ms = clock_now_ms();
	if (!g->fetcher_ready)
		fetcher_init(&g->fetcher, g->node->loop, b->connections);
	g->fetcher.max_idle_s = g->node->settings.kept_idle_s;
	g->fetcher_ready = true;
	/* A server that announces itself again was restarted: start cold. */
	admission_reset(&g->admission, g->node->settings.limit, b->slots,
			clock_now_ms());
	COUNT(gate_cold_starts);
	EVENT(server_announced, NULL,
	      "\"life\":\"%s\",\"slots\":%u,\"again\":%s",
	      event_text(b->instance_id), b->slots, again ? "true" : "false");
	g_info("backend server %s announced%s: %u slots, %u connections",
	       b->instance_id, again ? " again" : "", b->slots, b->connections);
}

void gate_backend_left(struct gate *g)
{
	g->backend_server.announced = false;
	g_info("backend server leaves");
	gate_drain(g);
}

uint32_t gate_shard_load(const struct gate *g, uint32_t shard)
{
	return shard < g->n_shards ? g->shard_load[shard] : 0;
}

bool gate_is_idle(const struct gate *g)
{
	return !g_hash_table_size(g->requests);
}

/* Fills in what every message to an entry reports of the gate's load. */
static void set_load(const struct gate *g, struct request_msg *m)
{
	const struct admission *a = &g->admission;

	m->limit = (int64_t)a->limit.allowed;
	/* To entries, a limited server is one that is as loaded. */
	m->load = MAX(
		admission_load(a),
		(int64_t)(admission_utilization(a, clock_now_ms()) * m->limit));
}

/* Encodes and sends a message. Returns it, and in *err a result. */
static GByteArray *send_encoded(struct gate *g, GBytes *identity,
				struct request_msg *m, int *err)
{
	GByteArray *out = g_byte_array_sized_new(256 + m->len);
	gsize len;
	const void *id = g_bytes_get_data(identity, &len);

	set_load(g, m);
	request_msg_encode(m, out);
	link_sent(&g->admission.link, out->len, clock_now_ms());
	*err = peers_answer(&g->node->peers, id, len, PLANE_REQUEST, out->data,
			    out->len);
	gate_record_sent(g, identity, m->type == REQ_STOPPING && !*err);
	return out;
}

void gate_send(struct gate *g, GBytes *identity, struct request_msg *m)
{
	int err;

	if (!identity) {
		set_load(g, m);
		entry_on_message(&g->node->entry, m);
		return;
	}
	g_byte_array_unref(send_encoded(g, identity, m, &err));
	if (err)
		COUNT(gate_answers_lost);
}

/* Whether nothing follows a message about a request. */
static bool is_last(const struct request_msg *m)
{
	return m->type == REQ_REFUSED || m->type == REQ_FAILED ||
	       ((m->type == REQ_HEAD || m->type == REQ_DATA) &&
		(m->flags & REQ_FLAG_END));
}

void gate_send_for(struct gate_request *r, struct request_msg *m)
{
	GByteArray *out;
	int err;

	if (r->cancelled)
		return;
	m->origin = r->origin;
	m->id = r->id;
	if (!r->identity || !r->connection || !is_last(m)) {
		gate_send(r->gate, r->identity, m);
		return;
	}
	out = send_encoded(r->gate, r->identity, m, &err);
	gate_keep_last_message(r, m, out, err);
	g_byte_array_unref(out);
}

static void emit_refused_event(const struct gate_request *r, int result,
			       int64_t wait_ms)
{
	const struct gate *g = r->gate;
	const struct member_node *n = &g->node->member;
	int64_t now = clock_now_ms();
	int64_t fence = 0, end = 0;
	bool ours = r->keyed &&
		    !member_may_serve(n, r->shard, now, &fence, &end);

	EVENT(gate_refused, r->attempt_id,
	      "\"why\":\"%s\",\"member\":%" PRId64 ",\"shard\":%" PRId64
	      ",\"ours\":%s,\"granted\":%s,\"awaited\":%s,\"lease_ms\":%" PRId64
	      ",\"running\":%u,\"waiting\":%u,\"limit\":%.0f,\"cold\":%s"
	      ",\"draining\":%s,\"by_server\":%s,\"left_ms\":%" PRId64
	      ",\"wait_ms\":%" PRId64 ",\"sent_ms\":%" PRId64
	      ",\"arrived_ms\":%" PRId64 ",\"fingerprint\":\"%016" PRIx64 "\"",
	      result_name(result), n->self_id, r->keyed ? r->shard : -1,
	      ours ? "true" : "false",
	      r->keyed && grants_server_holds(&g->grants, r->shard, fence, now)
		      ? "true"
		      : "false",
	      r->keyed && member_is_acquiring(n, r->shard) ? "true" : "false",
	      member_lease_end_ms(n) - now, g->admission.n_in_flight,
	      g->admission.queue.heap->len, g->admission.limit.allowed,
	      cold_start_is_active(&g->admission.cold_start, now) ? "true"
								  : "false",
	      g->draining ? "true" : "false",
	      r->server_refused ? "true" : "false", r->deadline_ms - now,
	      wait_ms, r->sent_at_ms, r->arrived_at_ms, r->fingerprint);
}

void gate_refuse(struct gate_request *r, int result)
{
	struct request_msg m = {
		.type = REQ_REFUSED,
		.number = result,
		.flags = r->server_refused ? REQ_FLAG_BY_SERVER : 0,
		.wait_ms = admission_retry_after_ms(
			&r->gate->admission, g_rand_double(r->gate->rand),
			clock_now_ms())
	};

	if (r->blocked_ms)
		m.wait_ms = r->blocked_ms;
	if (result == RESULT_NOT_OWNER)
		COUNT(gate_refused_not_owner);
	else if (result == RESULT_QUARANTINED)
		COUNT(gate_refused_blocked);
	else if (result == RESULT_TIMEOUT)
		COUNT(gate_refused_deadline);
	else
		COUNT(gate_refused_overload);
	queue_count(&r->gate->admission.queue, r->class_index, true);
	emit_refused_event(r, result, m.wait_ms);
	MEASURE(in_vain_ms, clock_now_ms() - r->arrived_at_ms);
	gate_send_for(r, &m);
	gate_request_free(r);
}

/*
 * Further fields: what of an answer had come, and why it is none; "" if nothing
 * was sent. Valid until the next call.
 */
static const char *answer_fields(const struct gate_request *r)
{
	static char out[160];
	const struct answer *a = r->fetch.answer;

	out[0] = '\0';
	if (a && r->fetch.sent)
		g_snprintf(out, sizeof(out),
			   ",\"fault\":\"%s\",\"status\":%ld"
			   ",\"head_bytes\":%" PRId64 ",\"body_bytes\":%" PRId64
			   ",\"connection\":%d",
			   answer_fault_text(a->fault), a->status,
			   a->head_bytes, a->body_bytes,
			   r->fetch.connection.local_port);
	return out;
}

void gate_fail(struct gate_request *r, int result)
{
	struct request_msg m = { .type = REQ_FAILED,
				 .number = result,
				 .flags = r->state == GATE_IN_FLIGHT
						  ? REQ_FLAG_STARTED
						  : 0 };

	EVENT(gate_failed, r->attempt_id,
	      "\"why\":\"%s\",\"member\":%" PRId64 ",\"server_ms\":%" PRId64
	      ",\"left_ms\":%" PRId64 ",\"sent_ms\":%" PRId64
	      ",\"arrived_ms\":%" PRId64 ",\"fingerprint\":\"%016" PRIx64
	      "\"%s",
	      result_name(result), r->gate->node->member.self_id,
	      r->started_at_us ? (clock_now_us() - r->started_at_us) / 1000
			       : -1,
	      r->deadline_ms - clock_now_ms(), r->sent_at_ms, r->arrived_at_ms,
	      gate_fingerprint(r), answer_fields(r));

	gate_send_for(r, &m);
	gate_request_free(r);
}

/*
 * Whether our data centre has been out of service for so long that its shards
 * should have moved. They stay when earlier moves are not settled or no other
 * member can take them. Serving them here would bring work to a data centre
 * that operators have emptied.
 */
static bool should_have_drained(const struct gate *g, int64_t now)
{
	return g->configuration_version >= 0 && !g->in_service &&
	       now - g->out_of_service_since_ms >= OUT_OF_SERVICE_LIMIT_MS;
}

bool gate_may_serve(struct gate_request *r, int64_t *fence,
		    int64_t *lease_end_ms)
{
	struct node *node = r->gate->node;

	int64_t now = clock_now_ms();

	*fence = 0;
	*lease_end_ms = INT64_MAX;
	if (r->gate->draining || should_have_drained(r->gate, now))
		return false;
	if (!r->keyed)
		return node_accepts_unsharded(node);
	if (member_may_serve(&node->member, r->shard, now, fence, lease_end_ms))
		return false;
	/* The server would refuse a request for a shard not granted to it yet. */
	return !r->gate->grants.ops ||
	       grants_server_holds(&r->gate->grants, r->shard, *fence, now);
}

static void set_backend_headers(struct gate_request *r, int64_t fence,
				int64_t left_ms, int64_t grant_ms)
{
	const struct header_names *names = gate_header_names(r);
	const char *id = r->gate->backend_server.id;

	header_set(r->headers, names->deadline_ms, NULL);
	header_add_int(r->headers, names->deadline_ms, left_ms);
	header_set(r->headers, names->expect_instance, id[0] ? id : NULL);
	if (!r->keyed)
		return;
	header_add_int(r->headers, names->fence, fence);
	header_add_int(r->headers, names->shard, r->shard);
	header_add_int(r->headers, names->grant_ms, grant_ms);
}

static void start_request(struct gate_request *r)
{
	struct gate *g = r->gate;
	int64_t now = clock_now_ms();
	int64_t fence, lease_end_ms, left_ms;
	g_autofree char *url = NULL;

	/*
	 * Checked again here, not only on arrival: while the request waited
	 * the lease may have lapsed or the shard moved, and another gate may
	 * be serving the key by now.
	 */
	if (!gate_may_serve(r, &fence, &lease_end_ms)) {
		gate_refuse(r, RESULT_NOT_OWNER);
		return;
	}
	/*
	 * Where the server checks grants, left_ms is not limited by the lease:
	 * heartbeats renew it, so it lasts beyond the end that is known now.
	 */
	left_ms = r->deadline_ms - now;
	if (now >= r->start_by_ms)
		left_ms = 0;
	if (!g->grants.ops)
		left_ms = MIN(left_ms, lease_end_ms - now);
	if (left_ms <= 0) {
		gate_refuse(r, RESULT_TIMEOUT);
		return;
	}
	if (gate_link_wait_begin(r) || gate_confirm_begin(r) ||
	    !gate_suspect_admit(r))
		return;
	if (r->id_hash) {
		if (!ids_begin(&g->ids, r->id_hash, MAX(r->shard, 0),
			       r->resend_window_ms, now)) {
			gate_refuse(r, RESULT_OVERLOAD);
			return;
		}
		r->stored_answer = g_string_new(NULL);
	}
	set_backend_headers(r, fence, left_ms, lease_end_ms - now);
	url = g_strdup_printf("http://%s%s", g->node->settings.backend_server,
			      r->url);
	r->state = GATE_IN_FLIGHT;
	r->started_at_us = clock_now_us();
	r->unsent_answer = g_byte_array_new();
	XXH64_reset(&r->digest, 0);
	admission_started(&g->admission, now);
	COUNT(gate_admitted);
	MEASURE(queue_ms, now - r->arrived_at_ms);
	if (r->traced)
		EVENT(gate_started, r->attempt_id,
		      "\"member\":%" PRId64
		      ",\"server\":\"%s\",\"shard\":%" PRId64
		      ",\"fence\":%" PRId64 ",\"queued_ms\":%" PRId64
		      ",\"parked_ms\":%" PRId64
		      ",\"running\":%u,\"left_ms\":%" PRId64
		      ",\"sent_ms\":%" PRId64 ",\"arrived_ms\":%" PRId64,
		      g->node->member.self_id, event_text(g->backend_server.id),
		      r->keyed ? r->shard : -1, fence, now - r->arrived_at_ms,
		      r->shard_wait_ms, g->admission.n_in_flight, left_ms,
		      r->sent_at_ms, r->arrived_at_ms);
	if (r->sent_before)
		COUNT(gate_sent_again);
	fetch_start(&r->fetch, &g->fetcher, r->method, url, r->headers,
		    r->body->data, r->body->len, left_ms + ANSWER_GRACE_MS,
		    r->sent_before, &gate_fetch_ops, r);
}

void gate_start_queued(struct gate *g)
{
	struct queued q;

	if (node_was_paused(g->node))
		gate_pause_starts(g, clock_now_ms());
	if (clock_now_ms() < g->no_start_until_ms)
		return;
	while (g->backend_server.announced &&
	       admission_next(&g->admission, clock_now_ms(), &q))
		start_request(q.request);
	if (!ev_is_active(&g->stall_timer) &&
	    admission_needs_timer(&g->admission, clock_now_ms()))
		ev_timer_again(g->node->loop, &g->stall_timer);
}

void gate_pause_starts(struct gate *g, int64_t now_ms)
{
	g->no_start_until_ms = now_ms + START_PAUSE_MS;
}

void gate_read_and_start(struct gate *g)
{
	/* Cancels that have arrived are handled before requests are started. */
	peers_receive(&g->node->peers);
	gate_suspect_tick(g, clock_now_ms());
	gate_start_queued(g);
}

static void copy_strings(struct gate_request *r, const struct request_msg *m)
{
	uint32_t i;

	r->strings = g_malloc(strlen(m->method) + strlen(m->url) +
			      strlen(m->key) + 3);
	r->method = strcpy(r->strings, m->method);
	r->url = strcpy(r->strings + strlen(m->method) + 1, m->url);
	r->key = strcpy((char *)r->url + strlen(m->url) + 1, m->key);
	r->headers = headers_new();
	for (i = 0; m->headers && i + 1 < m->headers->len; i += 2)
		header_add(r->headers, g_ptr_array_index(m->headers, i),
			   g_ptr_array_index(m->headers, i + 1));
}

static struct gate_request *request_new(struct gate *g, const void *identity,
					size_t len, const struct request_msg *m)
{
	struct gate_request *r = g_new0(struct gate_request, 1);
	gpointer index = g_hash_table_lookup(g->class_indexes, m->class_name);

	r->gate = g;
	r->identity = identity ? g_bytes_new(identity, len) : NULL;
	r->connection = (uint64_t)m->number;
	r->origin = m->origin;
	r->id = m->id;
	copy_strings(r, m);
	r->attempt_id =
		header_find(r->headers, gate_header_names(r)->attempt_id);
	r->body = g_byte_array_new();
	g_byte_array_append(r->body, m->data, m->len);
	r->class_index = GPOINTER_TO_UINT(index) - 1;
	r->repeatable = m->flags & REQ_FLAG_REPEATABLE;
	r->is_first_send = m->flags & REQ_FLAG_FIRST_SEND;
	r->sent_before = m->flags & REQ_FLAG_SENT_BEFORE;
	r->traced = m->flags & REQ_FLAG_TRACED;
	r->sent_at_ms = m->sent_at_ms;
	r->resend_window_ms = m->resend_window_ms;
	r->target_ms = m->target_ms;
	r->priority = m->priority;
	r->keyed = m->flags & REQ_FLAG_KEYED;
	r->shard = r->keyed ? m->shard : NO_SHARD;
	r->arrived_at_ms = clock_now_ms();
	r->excess_delay_ms = gate_update_delay(g, m);
	r->confirmed_at_ms = gate_delay_is_known(g, m) ? r->arrived_at_ms : -1;
	MEASURE(hop_ms, r->excess_delay_ms);
	r->deadline_ms = r->arrived_at_ms + m->deadline_ms - r->excess_delay_ms;
	r->start_by_ms = r->deadline_ms - REFUSAL_MARGIN_MS;
	if (r->shard >= 0 && r->shard < g->n_shards)
		g->shard_load[r->shard]++;
	else
		r->shard = NO_SHARD;
	if (r->shard >= 0)
		balance_count_request(&g->balance, r->shard);
	g_hash_table_add(g->requests, r);
	return r;
}

void gate_enqueue(struct gate_request *r)
{
	struct gate *g = r->gate;
	struct queued q = { .due_ms = r->arrived_at_ms + r->target_ms,
			    .deadline_ms = r->start_by_ms,
			    .class_index = r->class_index,
			    .remote = r->identity,
			    .request = r };
	struct queued *victim;

	if (admission_offer(&g->admission, &q, !r->keyed, r->arrived_at_ms,
			    &victim)) {
		gate_refuse(r, RESULT_OVERLOAD);
		return;
	}
	if (!ev_is_active(&g->expiry_timer))
		ev_timer_again(g->node->loop, &g->expiry_timer);
	r->reserved_bytes = admission_reserve_link(&g->admission, &q);
	if (victim) {
		struct gate_request *v = victim->request;

		g_free(victim);
		gate_refuse(v, RESULT_OVERLOAD);
	}
	gate_start_queued(g);
}

/* Refuses a request of which nothing is kept. */
static void refuse_message(struct gate *g, const void *identity, size_t len,
			   const struct request_msg *m, int result)
{
	struct request_msg no = { .type = REQ_REFUSED,
				  .origin = m->origin,
				  .id = m->id,
				  .number = result };
	GBytes *id = identity ? g_bytes_new(identity, len) : NULL;

	gate_send(g, id, &no);
	if (id)
		g_bytes_unref(id);
}

/*
 * Whether a request arrives over a connection that its entry has replaced. The
 * entry may have been told that it will not be begun.
 */
static bool is_outdated(struct gate *g, const void *identity,
			const struct request_msg *m)
{
	return identity && !reconcile_accepts(&gate_get_origin(g, m)->reconcile,
					      (uint64_t)m->number);
}

static void handle_request(struct gate *g, const void *identity, size_t len,
			   const struct request_msg *m)
{
	struct gate_request *r;
	int64_t fence, lease_end_ms;

	COUNT(gate_received);
	gate_apply_configuration(g);
	if (m->gate_member != g->node->member.self_id ||
	    !g->backend_server.announced) {
		COUNT(gate_refused_not_owner);
		refuse_message(g, identity, len, m, RESULT_NOT_OWNER);
		return;
	}
	gate_on_entry_status(g, m);
	gate_record_entry(g, identity, len);
	if (gate_has_early_cancel(g, m))
		return;
	if (is_outdated(g, identity, m)) {
		COUNT(gate_refused_outdated);
		refuse_message(g, identity, len, m, RESULT_UNREACHABLE);
		return;
	}
	r = request_new(g, identity, len, m);
	if (r->deadline_ms <= r->arrived_at_ms)
		gate_refuse(r, RESULT_TIMEOUT);
	else if (r->excess_delay_ms > MAX_EXCESS_DELAY_MS)
		gate_refuse(r, RESULT_OVERLOAD);
	else if (!gate_may_serve(r, &fence, &lease_end_ms)) {
		if (!gate_shard_wait_begin(r))
			gate_refuse(r, RESULT_NOT_OWNER);
	} else if (gate_check_id(r, m->class_name, m->idempotency_key))
		gate_enqueue(r);
}

void gate_on_message(struct gate *g, const void *identity, size_t len,
		     const struct request_msg *m)
{
	struct gate_request key = { .origin = m->origin, .id = m->id };
	struct gate_request *r = g_hash_table_lookup(g->requests, &key);

	if (m->type == REQ_STOPPING_ACK) {
		gate_on_stopping_ack(g, identity, len);
		return;
	}
	if (m->type == REQ_RECONCILE) {
		gate_on_reconcile(g, identity, len, m);
		return;
	}
	if (m->type == REQ_SUBMIT) {
		if (!r)
			handle_request(g, identity, len, m);
		return;
	}
	if (!r) {
		if (m->type == REQ_CANCEL)
			gate_record_early_cancel(g, m);
		return;
	}
	if (m->type == REQ_CANCEL) {
		int64_t excess_delay_ms = gate_update_delay(g, m);

		MEASURE(cancel_ms, excess_delay_ms);
		gate_cancel_request(r, excess_delay_ms);
		return;
	}
	if (m->type == REQ_CONFIRMED) {
		gate_on_confirmed(r, m);
		return;
	}
	if (m->type == REQ_CREDIT) {
		r->uncredited -= m->number;
		if (r->state == GATE_IN_FLIGHT &&
		    r->uncredited < GATE_WINDOW_BYTES)
			fetch_resume(&r->fetch);
	}
}

void gate_check_connect_failures(struct gate *g)
{
	if (g->connect_failures < MAX_CONNECT_FAILURES ||
	    !g->backend_server.announced)
		return;
	g_warning(
		"backend server not reached several times in a row; draining");
	/*
	 * Refused connections show that no process listens there: the server
	 * has stopped, and its grants need not be waited for. A server that is
	 * full or unreachable may still be working.
	 */
	if (g->connect_refusals >= MAX_CONNECT_FAILURES)
		grants_server_stopped(&g->grants);
	gate_connect_succeeded(g);
	instance_on_event(&g->node->server_instance, SERVER_REFUSES);
	gate_backend_left(g);
	node_backend_left(g->node);
}

void gate_tick(struct gate *g)
{
	int64_t now = clock_now_ms();
	struct queued q;

	if (!g->fetcher_ready)
		return;
	gate_apply_configuration(g);
	gate_check_leaving(g);
	gate_suspect_tick(g, now);
	last_messages_expire(&g->last_messages[0], now);
	last_messages_expire(&g->last_messages[1], now);
	while (admission_pop_overtaken(&g->admission, now, &q)) {
		COUNT(gate_refused_overtaken);
		gate_refuse(q.request, RESULT_OVERLOAD);
	}
	gate_link_wait_tick(g, now);
	gate_confirm_tick(g, now);
	if (!g->backend_server.announced)
		return;
	gate_shard_wait_tick(g, now);
	gate_move_shards(g, now);
	gate_probe(g, now);
	gate_check_connect_failures(g);
	gate_read_and_start(g);
}

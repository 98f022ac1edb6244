#include <string.h>

#include "net/clock.h"
#include "node/entry.h"
#include "node/entry-request.h"
#include "node/gate.h"
#include "net/headers.h"
#include "node/node.h"
#include "util/counters.h"
#include "util/result.h"

#define TICK_S 0.005
#define MAX_TRIES 24
#define MAX_CANDIDATES 8
#define MAX_MEMBERS 2048
#define MAX_REQUESTS 8192
#define RETRY_SHARE 0.1
#define RETRY_RESERVE 50
#define HEDGE_SHARE 0.05
#define HEDGE_RESERVE 10
#define HEDGE_FACTOR 1.6
#define HEDGE_MIN_MS 2.0
#define AVOID_MS 50
#define ROUND_WAIT_MS 50
#define ROUND_WAIT_MAX_MS 400
#define TRY_MIN_MS 60
#define TRY_FACTOR 10
#define SILENT_LINK_MS 3000
#define SILENT_GATE_MS 250
#define CREDIT_BYTES (32 * 1024)
#define RETRY_AFTER_SPREAD_S 2

static void try_next(struct entry_request *r);

static uint32_t n_open_attempts(const struct entry_request *r)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < MAX_ATTEMPTS; i++)
		n += r->attempts[i] != NULL;
	return n;
}

static void forget_attempt(struct entry *e, struct attempt *a)
{
	struct entry_request *r = a->request;
	uint32_t i;

	for (i = 0; r && i < MAX_ATTEMPTS; i++)
		if (r->attempts[i] == a)
			r->attempts[i] = NULL;
	if (r && r->winner == a)
		r->winner = NULL;
	g_hash_table_remove(e->attempts, &a->id);
}

static void send_small(struct entry *e, const struct attempt *a,
		       enum request_msg_type type, int64_t number)
{
	struct request_msg m = {
		.type = type, .origin = e->origin, .id = a->id, .number = number
	};
	GByteArray *out;

	if (a->member == e->node->member.self) {
		gate_on_message(&e->node->gate, NULL, 0, &m);
		return;
	}
	out = g_byte_array_new();
	request_msg_encode(&m, out);
	peers_send(&e->node->peers, a->address, PLANE_REQUEST, out->data,
		   out->len);
	g_byte_array_unref(out);
}

/* Give up an attempt; the gate stops work on it if it can. */
static void cancel_attempt(struct entry *e, struct attempt *a, bool silent)
{
	chooser_dropped(&e->chooser, a->member, silent, clock_now_ms());
	send_small(e, a, REQ_CANCEL, 0);
	forget_attempt(e, a);
}

static void cancel_others(struct entry_request *r, struct attempt *keep)
{
	uint32_t i;

	for (i = 0; i < MAX_ATTEMPTS; i++)
		if (r->attempts[i] && r->attempts[i] != keep)
			cancel_attempt(r->entry, r->attempts[i], false);
}

static void reply(struct entry_request *r, uint32_t status, const char *outcome,
		  int64_t wait_ms, const char *text)
{
	struct entry *e = r->entry;
	GPtrArray *headers = headers_new();
	int64_t wait_s = (wait_ms + 999) / 1000;

	if (r->done)
		return;
	r->done = true;
	cancel_others(r, NULL);
	if (outcome)
		header_add(headers, HEADER_OUTCOME, outcome);
	/*
	 * Callers refused together would come back together, and bring the
	 * overload back with them; so each is told a time of its own.
	 */
	if (wait_ms >= 0)
		header_add_int(
			headers, "Retry-After",
			MAX(wait_s, 1) +
				g_rand_int_range(e->rand, 0,
						 RETRY_AFTER_SPREAD_S + 1));
	header_add(headers, "Content-Type", "text/plain");
	httpd_reply(r->http, status, headers, text, strlen(text));
	g_ptr_array_unref(headers);
}

/* Answer for good that the request did not run. */
void entry_reply_not_run(struct entry_request *r, const char *text)
{
	COUNT(requests_not_run);
	reply(r, 503, OUTCOME_NOT_RUN, r->refused_wait_ms, text);
}

static void reply_unknown(struct entry_request *r)
{
	COUNT(requests_unknown);
	reply(r, 504, OUTCOME_UNKNOWN, r->repeatable ? 1000 : -1,
	      "no whole answer came; the request may have run\n");
}

static enum MHD_Result copy_header(void *user, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	GPtrArray *headers = user;

	(void)kind;
	if (!header_is_hop_by_hop(name))
		header_add(headers, name, value ? value : "");
	return MHD_YES;
}

/* Answer that the request itself is at fault. */
void entry_reject(struct entry_request *r, uint32_t status, const char *text)
{
	COUNT(requests_rejected);
	reply(r, status, NULL, -1, text);
}

static bool send_attempt(struct entry_request *r, int64_t member, bool hedge)
{
	struct entry *e = r->entry;
	const struct member *to = fleet_member(&e->node->member.fleet, member);
	int64_t now = clock_now_ms();
	struct request_msg m = { .type = REQ_ASK };
	struct attempt *a;
	uint32_t i;

	if (!to || n_open_attempts(r) == MAX_ATTEMPTS)
		return false;
	a = g_new0(struct attempt, 1);
	a->id = ++e->next_id;
	a->request = r;
	a->member = member;
	a->hedge = hedge;
	a->sent_us = clock_now_us();
	g_strlcpy(a->address, to->peer, sizeof(a->address));
	i = r->attempts[0] ? 1 : 0;
	r->attempts[i] = a;
	r->last_member = member;
	g_hash_table_insert(e->attempts, &a->id, a);
	chooser_sent(&e->chooser, member, now);
	m.origin = e->origin;
	m.id = a->id;
	m.to = member;
	m.shard = r->shard;
	m.class_index =
		r->version == e->node->member.fleet.configuration_version
			? r->class - e->node->member.fleet.configuration.classes
			: -1;
	m.version = r->version;
	m.deadline_ms = r->deadline_ms - now;
	m.flags = r->keyed ? REQ_FLAG_KEYED : 0;
	m.method = r->http->method;
	m.url = r->http->url;
	m.key = r->key;
	m.idempotency_key = r->id_header ? r->id_header : "";
	m.headers = r->headers;
	m.data = r->http->body->data;
	m.len = r->http->body->len;
	if (member == e->node->member.self) {
		gate_on_message(&e->node->gate, NULL, 0, &m);
	} else {
		GByteArray *out = g_byte_array_sized_new(512 + m.len);

		request_msg_encode(&m, out);
		peers_send(&e->node->peers, a->address, PLANE_REQUEST,
			   out->data, out->len);
		g_byte_array_unref(out);
	}
	return true;
}

/* Members that may serve a request on no particular shard. */
static uint32_t gates_of_service(struct entry_request *r, int64_t *out)
{
	const struct member_node *n = &r->entry->node->member;
	struct member *m;
	uint32_t count = 0;
	uint32_t i;

	for_each_member (&n->fleet, m, i)
		if (!strcmp(m->service, r->service) &&
		    fleet_member_takes_work(&n->fleet, m) &&
		    !member_known_stopped(n, m->id) && count < MAX_MEMBERS)
			out[count++] = m->id;
	return count;
}

/*
 * The next candidate in turn that has not been silent of late; a dead owner
 * would otherwise cost every other try its whole patience.
 */
static int64_t pick_candidate(struct entry_request *r, const int64_t *members,
			      uint32_t count)
{
	int64_t now = clock_now_ms();
	uint32_t i;

	for (i = 0; i < count; i++) {
		int64_t id = members[(r->refusals + i) % count];

		if (chooser_view(&r->entry->chooser, id)->silent_until_ms <=
		    now)
			return id;
	}
	return count ? members[r->refusals % count] : 0;
}

static int64_t pick_gate(struct entry_request *r, int64_t except)
{
	static int64_t members[MAX_MEMBERS];
	struct entry *e = r->entry;
	const struct member_node *n = &e->node->member;
	uint32_t count;

	if (r->keyed) {
		struct fleet_service *s = fleet_service(&n->fleet, r->service);

		count = member_candidates(n, s, r->shard, members,
					  MAX_CANDIDATES);
		return pick_candidate(r, members, count);
	}
	count = gates_of_service(r, members);
	return chooser_pick(&e->chooser, members, count, n->self, except,
			    clock_now_ms());
}

/*
 * Wait before the next round of candidates, longer each time: all that wait for
 * one lost owner would otherwise beset its successor until it may serve.
 */
static void wait_round(struct entry_request *r)
{
	int64_t ms = MIN(ROUND_WAIT_MS << MIN(r->rounds, 8), ROUND_WAIT_MAX_MS);
	int64_t jitter = g_rand_int_range(r->entry->rand, 0, ms / 2 + 1);

	r->rounds++;
	r->resume_ms = clock_now_ms() + ms + jitter;
}

static void try_next(struct entry_request *r)
{
	int64_t now = clock_now_ms();
	int64_t member;

	if (r->done || n_open_attempts(r))
		return;
	r->resume_ms = 0;
	if (now >= r->deadline_ms) {
		entry_reply_not_run(r, "no gate took the request in time\n");
		return;
	}
	member = pick_gate(r, r->refusals ? r->last_member : 0);
	r->tries++;
	if (!member || !send_attempt(r, member, false)) {
		if (r->tries >= MAX_TRIES)
			entry_reply_not_run(r, "nobody serves this now\n");
		else
			wait_round(r);
	}
}

static void on_refused(struct entry_request *r, const struct request_msg *m)
{
	struct entry *e = r->entry;
	int64_t now = clock_now_ms();

	r->refused_wait_ms = MAX(r->refused_wait_ms, m->wait_ms);
	r->refusals++;
	if (n_open_attempts(r))
		return;
	if (r->tries >= MAX_TRIES || now >= r->deadline_ms) {
		entry_reply_not_run(r, "refused, not run\n");
		return;
	}
	if (m->number == RESULT_NOT_OWNER) {
		/*
		 * The key is changing owners. Asking the next candidate costs
		 * no backend server anything; a full round without one waits.
		 */
		r->class = NULL;
		r->version = -1;
		if (r->keyed && r->refusals % 2)
			try_next(r);
		else
			wait_round(r);
		return;
	}
	chooser_refused(&e->chooser, r->last_member, AVOID_MS, now);
	if (r->keyed || !budget_spend(&e->retries)) {
		entry_reply_not_run(r, "refused, not run\n");
		return;
	}
	COUNT(requests_retried);
	try_next(r);
}

static void on_failed(struct entry_request *r)
{
	struct entry *e = r->entry;

	if (n_open_attempts(r))
		return;
	if (!r->repeatable || r->tries >= MAX_TRIES ||
	    clock_now_ms() >= r->deadline_ms || !budget_spend(&e->retries)) {
		reply_unknown(r);
		return;
	}
	COUNT(requests_retried);
	r->refusals++;
	try_next(r);
}

static GPtrArray *answer_headers(const struct request_msg *m, int64_t *length)
{
	GPtrArray *headers = headers_new();
	uint32_t i;

	*length = -1;
	for (i = 0; m->headers && i + 1 < m->headers->len; i += 2) {
		const char *name = g_ptr_array_index(m->headers, i);
		const char *value = g_ptr_array_index(m->headers, i + 1);

		if (!g_ascii_strcasecmp(name, "Content-Length"))
			*length = g_ascii_strtoll(value, NULL, 10);
		else if (!header_is_hop_by_hop(name))
			header_add(headers, name, value);
	}
	return headers;
}

static bool whole(const struct entry_request *r, const struct request_msg *m)
{
	return m->total == r->received_bytes &&
	       m->digest == XXH64_digest(&r->digest);
}

static void take_data(struct entry_request *r, const struct request_msg *m)
{
	XXH64_update(&r->digest, m->data, m->len);
	r->received_bytes += m->len;
}

static void end_answer(struct entry_request *r, struct attempt *a, bool ok)
{
	if (ok) {
		COUNT(requests_answered);
	} else {
		COUNT(answers_cut);
		COUNT(requests_unknown);
	}
	r->done = true;
	httpd_end(r->http, ok);
	forget_attempt(r->entry, a);
}

static void on_head(struct entry_request *r, struct attempt *a,
		    const struct request_msg *m)
{
	struct entry *e = r->entry;
	GPtrArray *headers;
	int64_t length;

	XXH64_reset(&r->digest, 0);
	r->received_bytes = 0;
	take_data(r, m);
	if ((m->flags & REQ_FLAG_END) && !whole(r, m)) {
		COUNT(answers_cut);
		forget_attempt(e, a);
		on_failed(r);
		return;
	}
	cancel_others(r, a);
	if (a->hedge)
		COUNT(hedges_won);
	headers = answer_headers(m, &length);
	if ((m->flags & REQ_FLAG_END) && strcmp(r->http->method, "HEAD")) {
		COUNT(requests_answered);
		r->done = true;
		httpd_reply(r->http, m->status, headers, m->data, m->len);
		forget_attempt(e, a);
	} else {
		r->winner = a;
		r->streaming = true;
		httpd_stream(r->http, m->status, headers, length);
		httpd_push(r->http, m->data, m->len);
		if (m->flags & REQ_FLAG_END)
			end_answer(r, a, true);
	}
	g_ptr_array_unref(headers);
}

static void on_data(struct entry_request *r, struct attempt *a,
		    const struct request_msg *m)
{
	if (!r->streaming || r->winner != a)
		return;
	take_data(r, m);
	httpd_push(r->http, m->data, m->len);
	if (m->flags & REQ_FLAG_END)
		end_answer(r, a, whole(r, m));
}

static void note_answer(struct entry *e, struct attempt *a,
			const struct request_msg *m)
{
	double ms = (clock_now_us() - a->sent_us) / 1000.0;

	if (m->type == REQ_DATA)
		return;
	chooser_answered(&e->chooser, a->member, m->type == REQ_HEAD ? ms : 0,
			 m->load, m->limit, clock_now_ms());
}

void entry_on_message(struct entry *e, const struct request_msg *m)
{
	struct attempt *a = m->origin == e->origin
				    ? g_hash_table_lookup(e->attempts, &m->id)
				    : NULL;
	struct entry_request *r;

	if (m->type == REQ_STALLED) {
		chooser_refused(&e->chooser, m->to, m->wait_ms, clock_now_ms());
		return;
	}
	/*
	 * Answers to attempts given up, or to an earlier process at this
	 * address, must not reach another caller.
	 */
	if (!a) {
		COUNT(answers_late);
		return;
	}
	r = a->request;
	note_answer(e, a, m);
	switch (m->type) {
	case REQ_HEAD:
		on_head(r, a, m);
		break;
	case REQ_DATA:
		on_data(r, a, m);
		break;
	case REQ_REFUSED:
		forget_attempt(e, a);
		on_refused(r, m);
		break;
	case REQ_FAILED:
		if (r->streaming && r->winner == a) {
			end_answer(r, a, false);
			break;
		}
		forget_attempt(e, a);
		on_failed(r);
		break;
	default:
		break;
	}
}

static void hedge(struct entry_request *r, struct attempt *a, double age_ms)
{
	struct entry *e = r->entry;
	struct gate_view *v = chooser_view(&e->chooser, a->member);
	int64_t member;

	if (!r->repeatable || r->keyed || r->hedged || !e->node->settings.hedge)
		return;
	if (age_ms < MAX(HEDGE_MIN_MS, HEDGE_FACTOR * v->latency_ms))
		return;
	member = pick_gate(r, a->member);
	if (!member || member == a->member || !budget_spend(&e->hedges))
		return;
	r->hedged = true;
	COUNT(requests_hedged);
	send_attempt(r, member, true);
}

/* How long to wait for one gate before another is worth asking. */
static double try_ms(struct entry_request *r, const struct attempt *a)
{
	struct gate_view *v = chooser_view(&r->entry->chooser, a->member);
	double left = r->deadline_ms - r->received_ms;

	return MIN(MAX(TRY_MIN_MS + r->target_ms, TRY_FACTOR * v->latency_ms),
		   left / 2);
}

/*
 * The owner of a key says nothing. It may be slow or lost: the attempt there
 * goes on, and whoever would inherit the key is asked beside it, round by
 * round. Cancelling instead would make of every short stall a long one.
 */
static void ask_heir(struct entry_request *r, const struct attempt *a,
		     double age_ms, int64_t now)
{
	struct gate_view *v = chooser_view(&r->entry->chooser, a->member);
	int64_t member;

	if (!r->repeatable || age_ms < try_ms(r, a) || now < r->resume_ms ||
	    now - v->heard_ms < SILENT_GATE_MS || n_open_attempts(r) > 1 ||
	    r->tries >= MAX_TRIES)
		return;
	v->silent_until_ms = now + SILENT_GATE_MS;
	member = pick_gate(r, a->member);
	wait_round(r);
	if (!member || member == a->member)
		return;
	r->tries++;
	send_attempt(r, member, false);
}

static void check_attempt(struct entry_request *r, struct attempt *a,
			  int64_t now)
{
	struct entry *e = r->entry;
	double age_ms = (clock_now_us() - a->sent_us) / 1000.0;
	int64_t heard = peers_heard_ms(&e->node->peers, a->address);

	if (r->winner == a)
		return;
	if (now >= r->deadline_ms) {
		if (a->member != e->node->member.self &&
		    now - heard > SILENT_LINK_MS)
			peers_replace(&e->node->peers, a->address);
		cancel_attempt(e, a, true);
		if (!n_open_attempts(r))
			reply_unknown(r);
		return;
	}
	if (r->keyed) {
		ask_heir(r, a, age_ms, now);
		return;
	}
	if (r->repeatable && age_ms > try_ms(r, a) && r->tries < MAX_TRIES &&
	    n_open_attempts(r) == 1 && budget_spend(&e->retries)) {
		cancel_attempt(e, a, true);
		r->refusals++;
		COUNT(requests_retried);
		try_next(r);
		return;
	}
	hedge(r, a, age_ms);
}

static void check_request(struct entry_request *r, int64_t now)
{
	uint32_t i;

	if (r->done || r->streaming)
		return;
	if (!n_open_attempts(r)) {
		if (r->resume_ms && now >= r->resume_ms)
			try_next(r);
		return;
	}
	for (i = 0; i < MAX_ATTEMPTS && !r->done; i++)
		if (r->attempts[i])
			check_attempt(r, r->attempts[i], now);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct entry *e = w->data;
	int64_t now = clock_now_ms();
	uint32_t i;

	(void)events;
	for (i = e->requests->len; i-- > 0;)
		check_request(g_ptr_array_index(e->requests, i), now);
	if (!e->requests->len)
		ev_timer_stop(loop, w);
}

void entry_on_member_stopped(struct entry *e, int64_t member)
{
	uint32_t i, j;

	for (i = e->requests->len; i-- > 0;) {
		struct entry_request *r = g_ptr_array_index(e->requests, i);

		for (j = 0; j < MAX_ATTEMPTS && !r->done; j++) {
			struct attempt *a = r->attempts[j];

			if (!a || a->member != member)
				continue;
			if (r->winner == a) {
				end_answer(r, a, false);
				continue;
			}
			cancel_attempt(e, a, true);
			on_failed(r);
		}
	}
	chooser_forget(&e->chooser, member);
}

static void on_request(void *user, struct httpd_request *http)
{
	struct entry *e = user;
	struct entry_request *r = g_new0(struct entry_request, 1);

	COUNT(requests_received);
	r->entry = e;
	r->http = http;
	r->received_ms = clock_now_ms();
	http->user = r;
	g_ptr_array_add(e->requests, r);
	if (e->requests->len > MAX_REQUESTS) {
		r->refused_wait_ms = 1000;
		entry_reply_not_run(r, "too many requests at once\n");
		return;
	}
	if (!entry_classify(r))
		return;
	r->headers = headers_new();
	MHD_get_connection_values(http->connection, MHD_HEADER_KIND,
				  copy_header, r->headers);
	budget_earn(&e->retries);
	budget_earn(&e->hedges);
	if (!ev_is_active(&e->tick))
		ev_timer_again(e->node->loop, &e->tick);
	try_next(r);
}

static void on_closed(void *user, struct httpd_request *http)
{
	struct entry *e = user;
	struct entry_request *r = http->user;

	if (!r)
		return;
	r->done = true;
	cancel_others(r, NULL);
	g_ptr_array_remove_fast(e->requests, r);
	if (r->headers)
		g_ptr_array_unref(r->headers);
	g_free(r->key);
	g_free(r);
}

static void on_drained(void *user, struct httpd_request *http)
{
	struct entry *e = user;
	struct entry_request *r = http->user;
	int64_t taken;

	if (!r || !r->winner)
		return;
	taken = r->received_bytes - (int64_t)httpd_pending(http);
	if (taken - r->credited_bytes < CREDIT_BYTES)
		return;
	send_small(e, r->winner, REQ_CREDIT, taken - r->credited_bytes);
	r->credited_bytes = taken;
}

static const struct httpd_ops entry_ops = {
	.on_request = on_request,
	.on_closed = on_closed,
	.on_drained = on_drained,
};

/* Listen for callers. Results as httpd_init(). */
int entry_init(struct entry *e, struct node *node)
{
	memset(e, 0, sizeof(*e));
	e->node = node;
	e->rand = g_rand_new();
	e->origin = (uint64_t)g_random_int() << 32 | g_random_int();
	e->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	e->requests = g_ptr_array_new();
	chooser_init(&e->chooser, node->settings.choice, g_random_int());
	budget_init(&e->retries, RETRY_SHARE, RETRY_RESERVE);
	budget_init(&e->hedges, HEDGE_SHARE, HEDGE_RESERVE);
	ev_init(&e->tick, on_tick);
	e->tick.repeat = TICK_S;
	e->tick.data = e;
	return httpd_init(&e->httpd, node->loop, node->settings.caller_address,
			  node->settings.max_body_bytes, &entry_ops, e);
}

/* Stop listening and release; requests still open are cut. */
void entry_finish(struct entry *e)
{
	if (e->httpd.daemon)
		httpd_finish(&e->httpd);
	ev_timer_stop(e->node->loop, &e->tick);
	chooser_finish(&e->chooser);
	g_hash_table_unref(e->attempts);
	g_ptr_array_unref(e->requests);
	g_rand_free(e->rand);
}

void entry_drain(struct entry *e)
{
	httpd_drain(&e->httpd);
}

bool entry_idle(const struct entry *e)
{
	return !e->requests->len;
}

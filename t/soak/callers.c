#include <stdio.h>
#include <string.h>

#include "net/clock.h"
#include "net/headers.h"
#include "t/soak/callers.h"

#define MAX_CONNECTIONS 256
#define SEND_INTERVAL_S 0.01
#define STALL_THRESHOLD_MS 400
#define DEADLINE_MS "1500"
#define CALL_TIMEOUT_MS 5000
#define LEAVE_PROBABILITY 0.04
#define MAX_LEAVE_DELAY_S 0.06
#define NOT_RUN_STATUS 503
#define NO_ROUTE_STATUS 404
#define KEY_STEP 1021 /* distance between the keys that are looked up */

const char *const call_outcome_names[N_CALL_OUTCOMES] = {
	"open", "answered", "refused", "unknown", "failed", "left",
};

static const struct {
	const char *method;
	const char *path;
} kinds[N_CALL_KINDS] = {
	[CALL_LOOKUP] = { "GET", "/look/" },
	[CALL_BOOKING] = { "POST", "/book/" },
	[CALL_LIST] = { "GET", "/list/" },
};

static void end_call(struct call *c, enum call_outcome outcome)
{
	ev_timer_stop(c->callers->fleet->loop, &c->leave_timer);
	c->outcome = outcome;
	c->ended_at_ms = clock_now_ms();
	c->callers->n_open--;
	c->callers->counts[outcome]++;
	if (c->body)
		g_string_free(c->body, TRUE);
	c->body = NULL;
}

/*
 * A success must name its request, carry the backend server's signature and
 * have its whole body.
 */
static void check_answer(struct call *c)
{
	g_autofree char *expected =
		g_strdup_printf("%s %s for ", kinds[c->kind].method, c->path);
	GPtrArray *headers = c->fetch.answer->headers;

	if (!g_str_has_prefix(c->body->str, expected) ||
	    c->body->str[c->body->len - 1] != '\n')
		report_broken(c->callers->fleet, "whole answer: %s got \"%s\"",
			      c->id, c->body->str);
	if (g_strcmp0(header_find(headers, "X-Mesh-Request-Id"), c->id))
		report_broken(c->callers->fleet,
			      "whole answer: %s got the id %s", c->id,
			      header_find(headers, "X-Mesh-Request-Id"));
	if (!header_find(headers, "X-Mesh-Stamp"))
		report_broken(c->callers->fleet,
			      "whole answer: %s has no signature", c->id);
}

static enum call_outcome outcome_of(struct call *c, int result)
{
	if (result)
		return CALL_FAILED;
	if (c->status >= 200 && c->status < 300) {
		check_answer(c);
		return CALL_ANSWERED;
	}
	/* Every published configuration has the routes that are called. */
	if (c->status == NO_ROUTE_STATUS)
		report_broken(c->callers->fleet,
			      "configuration: node %u has no route for %s",
			      c->node, c->path);
	return c->status == NOT_RUN_STATUS ? CALL_REFUSED : CALL_UNKNOWN;
}

static void on_done(struct fetch *f, int result)
{
	struct call *c = f->user;
	enum call_outcome outcome;

	c->status = f->status;
	outcome = outcome_of(c, result);
	if (outcome == CALL_ANSWERED && c->kind == CALL_LOOKUP)
		c->callers->answered_sent_at_ms[c->key] = MAX(
			c->callers->answered_sent_at_ms[c->key], c->sent_at_ms);
	end_call(c, outcome);
}

static bool on_data(struct fetch *f, const void *data, size_t len)
{
	struct call *c = f->user;

	g_string_append_len(c->body, data, len);
	return true;
}

static const struct fetch_ops call_ops = { .on_data = on_data,
					   .on_done = on_done };

static void on_leave(struct ev_loop *loop, ev_timer *w, int events)
{
	struct call *c = w->data;

	(void)loop;
	(void)events;
	fetch_cancel(&c->fetch);
	end_call(c, CALL_LEFT);
}

static enum call_kind draw_kind(struct callers *cs)
{
	double x = g_rand_double(cs->rand);

	return x < 0.65 ? CALL_LOOKUP : x < 0.9 ? CALL_BOOKING : CALL_LIST;
}

static void start_call(struct call *c)
{
	struct callers *cs = c->callers;
	GPtrArray *headers = headers_new();
	g_autofree char *url = NULL;

	url = g_strdup_printf("http://%s%s", caller_address(cs->fleet, c->node),
			      c->path);
	header_add(headers, "Host", "a.example");
	header_add(headers, "X-Mesh-Deadline-Ms", DEADLINE_MS);
	header_add(headers, "X-Mesh-Request-Id", c->id);
	if (c->kind == CALL_LOOKUP)
		header_add_int(headers, "X-Mesh-Shard-Key",
			       (gint64)c->key * KEY_STEP);
	fetch_start(&c->fetch, &cs->fetcher, kinds[c->kind].method, url,
		    headers, "", 0, CALL_TIMEOUT_MS, false, &call_ops, c);
	g_ptr_array_unref(headers);
}

static void send_call(struct callers *cs)
{
	struct call *c = g_new0(struct call, 1);

	c->callers = cs;
	c->kind = draw_kind(cs);
	c->node = g_rand_int_range(cs->rand, 0, N_NODES);
	if (c->kind == CALL_LOOKUP)
		c->key = cs->n_lookups++ % N_LOOKUP_KEYS;
	g_snprintf(c->id, sizeof(c->id), "c-%" G_GUINT64_FORMAT,
		   (guint64)cs->n_sent++);
	g_snprintf(c->path, sizeof(c->path), "%s%s", kinds[c->kind].path,
		   c->id);
	c->strict = cs->strict;
	c->sent_at_ms = clock_now_ms();
	c->body = g_string_new(NULL);
	c->outcome = CALL_OPEN;
	cs->n_open++;
	g_ptr_array_add(cs->calls, c);
	ev_init(&c->leave_timer, on_leave);
	c->leave_timer.data = c;
	if (g_rand_double(cs->rand) < LEAVE_PROBABILITY) {
		ev_timer_set(
			&c->leave_timer,
			g_rand_double_range(cs->rand, 0, MAX_LEAVE_DELAY_S), 0);
		ev_timer_start(cs->fleet->loop, &c->leave_timer);
	}
	start_call(c);
}

/*
 * Clears strict for calls that were open at since_ms or later. While the soak's
 * own process is stalled, its callers and proxies stall too, and calls may fail
 * for that reason alone.
 */
static void clear_strict_since(struct callers *cs, int64_t since_ms)
{
	uint32_t i;

	for (i = 0; i < cs->calls->len; i++) {
		struct call *c = g_ptr_array_index(cs->calls, i);

		if (c->outcome == CALL_OPEN || c->ended_at_ms >= since_ms)
			c->strict = false;
	}
}

static void detect_own_stall(struct callers *cs)
{
	int64_t now = clock_now_ms();

	if (cs->last_tick_at_ms &&
	    now - cs->last_tick_at_ms > STALL_THRESHOLD_MS) {
		printf("the soak stood still for %" G_GINT64_FORMAT " ms\n",
		       (gint64)(now - cs->last_tick_at_ms));
		clear_strict_since(cs, cs->last_tick_at_ms);
	}
	cs->last_tick_at_ms = now;
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct callers *cs = w->data;

	(void)loop;
	(void)events;
	detect_own_stall(cs);
	if (!cs->no_new_calls)
		send_call(cs);
}

void callers_init(struct callers *cs, struct fleet *f, uint32_t seed)
{
	memset(cs, 0, sizeof(*cs));
	cs->fleet = f;
	cs->rand = g_rand_new_with_seed(seed);
	cs->calls = g_ptr_array_new();
	fetcher_init(&cs->fetcher, f->loop, MAX_CONNECTIONS);
	ev_timer_init(&cs->tick, on_tick, 0, SEND_INTERVAL_S);
	cs->tick.data = cs;
	ev_timer_start(f->loop, &cs->tick);
}

void callers_set_strict(struct callers *cs, bool strict)
{
	cs->strict = strict;
	if (!strict)
		clear_strict_since(cs, clock_now_ms());
}

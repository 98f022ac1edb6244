#include <stdio.h>
#include <string.h>
#include <jansson.h>
#include <sys/wait.h>

#include "net/clock.h"
#include "t/soak/promises.h"

#define N_KEYS 65536
/* The settings allow 5.6 s for a stop; the release of keys adds to it. */
#define STOP_TIMEOUT_MS 10000

/* A server began to hold keys, or released them if holds_until_us is 0. */
struct holding {
	int64_t changed_at_us;
	int64_t first_key, last_key; /* inclusive */
	int64_t holds_until_us;
	uint32_t server;
	uint32_t number; /* in the order in which the server reports them */
};

void promises_init(struct promises *p, struct fleet *f, struct callers *c)
{
	uint32_t i;

	memset(p, 0, sizeof(*p));
	p->fleet = f;
	p->callers = c;
	p->holdings = g_array_new(FALSE, FALSE, sizeof(struct holding));
	p->run_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < N_NODES; i++)
		p->holds_until_us[i] = g_new0(int64_t, N_KEYS);
}

static void read_holdings(struct promises *p, uint32_t i)
{
	g_autofree char *path =
		g_strdup_printf("/holdings?from=%u", p->n_holdings_read[i]);
	int64_t now = clock_now_us();
	g_autofree char *text = fleet_request(
		p->fleet, "GET", server_address(p->fleet, i), path, NULL);
	const char *line;

	if (!text)
		return;
	for (line = text; line && *line; line = strchr(line, '\n') + 1) {
		struct holding h = { .server = i };
		gint64 n[4];

		if (sscanf(line,
			   "%" G_GINT64_FORMAT " %" G_GINT64_FORMAT
			   " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
			   &n[0], &n[1], &n[2], &n[3]) != 4) {
			report_broken(p->fleet, "holdings of server %u: %s", i,
				      line);
			return;
		}
		h.changed_at_us = n[0];
		h.first_key = n[1];
		h.last_key = n[2];
		h.holds_until_us = n[3];
		h.number = p->n_holdings_read[i]++;
		g_array_append_val(p->holdings, h);
	}
	p->holdings_read_at_us[i] = now;
}

static gint compare_holdings(gconstpointer a, gconstpointer b)
{
	const struct holding *x = a;
	const struct holding *y = b;

	if (x->changed_at_us != y->changed_at_us)
		return x->changed_at_us < y->changed_at_us ? -1 : 1;
	if (x->server != y->server)
		return x->server < y->server ? -1 : 1;
	return x->number < y->number ? -1 : x->number > y->number;
}

static bool check_single_owner(struct promises *p, const struct holding *h,
			       int64_t key)
{
	uint32_t i;

	for (i = 0; i < N_NODES; i++) {
		if (i == h->server ||
		    p->holds_until_us[i][key] <= h->changed_at_us)
			continue;
		report_broken(
			p->fleet,
			"one owner: server %u came to hold key "
			"%" G_GINT64_FORMAT " at %" G_GINT64_FORMAT
			" us, server %u holds it for %" G_GINT64_FORMAT
			" us more",
			h->server, (gint64)key, (gint64)h->changed_at_us, i,
			(gint64)(p->holds_until_us[i][key] - h->changed_at_us));
		return false;
	}
	return true;
}

static void apply_holding(struct promises *p, const struct holding *h)
{
	bool single = true;
	int64_t key;

	for (key = h->first_key; key <= h->last_key; key++) {
		if (single && h->holds_until_us > h->changed_at_us)
			single = check_single_owner(p, h, key);
		p->holds_until_us[h->server][key] = h->holds_until_us;
	}
}

/*
 * Checks holdings in order of time, up to the time until which those of every
 * server have been read.
 */
static void apply_holdings(struct promises *p)
{
	int64_t complete_until_us = p->holdings_read_at_us[0];
	uint32_t i;

	for (i = 0; i < N_NODES; i++)
		complete_until_us =
			MIN(complete_until_us, p->holdings_read_at_us[i]);
	g_array_sort(p->holdings, compare_holdings);
	for (i = 0; i < p->holdings->len; i++) {
		struct holding *h =
			&g_array_index(p->holdings, struct holding, i);

		if (h->changed_at_us >= complete_until_us)
			break;
		apply_holding(p, h);
	}
	if (i)
		g_array_remove_range(p->holdings, 0, i);
}

/*
 * A starting process replays older versions but uses none of them until it is
 * ready. From then on it must show at least the newest version that any node
 * had shown when it was started.
 */
static int64_t oldest_allowed_version(struct promises *p,
				      const struct node_host *h)
{
	if (h->shown_version >= h->newest_version_at_start ||
	    !fleet_node_is_ready(p->fleet, h->index))
		return h->shown_version;
	return h->newest_version_at_start;
}

static void check_configuration(struct promises *p, struct node_host *h)
{
	int64_t allowed = oldest_allowed_version(p, h);
	g_autofree char *text = fleet_request(
		p->fleet, "GET", operator_address(p->fleet, h->index),
		"/status", NULL);
	json_t *status = text ? json_loads(text, 0, NULL) : NULL;
	json_t *version = json_object_get(status, "configuration_version");
	int64_t shown = json_integer_value(version);

	if (version && shown >= 0) {
		if (shown < allowed)
			report_broken(p->fleet,
				      "configuration: node %u shows version "
				      "%" G_GINT64_FORMAT
				      " after %" G_GINT64_FORMAT,
				      h->index, (gint64)shown, (gint64)allowed);
		h->shown_version = shown;
		p->fleet->newest_version = MAX(p->fleet->newest_version, shown);
	}
	json_decref(status);
}

static void check_process(struct promises *p, struct process *x,
			  const char *what, uint32_t i)
{
	bool stopping = x->state == PROCESS_STOPPING;
	bool killed = x->state == PROCESS_KILLED;
	int status;

	if (x->state == PROCESS_ENDED)
		return;
	if (!process_reap(x, &status)) {
		if (stopping && clock_now_ms() - x->stop_requested_at_ms >
					STOP_TIMEOUT_MS) {
			report_broken(p->fleet, "%s %u does not stop", what, i);
			x->stop_requested_at_ms = clock_now_ms();
		}
		return;
	}
	if (!killed && (!stopping || !WIFEXITED(status) || WEXITSTATUS(status)))
		report_broken(p->fleet, "%s %u ended by itself, status %d",
			      what, i, status);
}

void promises_poll(struct promises *p)
{
	uint32_t i;

	check_process(p, &p->fleet->store, "store", 0);
	for (i = 0; i < N_NODES; i++) {
		struct node_host *h = &p->fleet->hosts[i];

		check_process(p, &h->node, "node", i);
		check_process(p, &h->server, "server", i);
		if (h->node.state == PROCESS_RUNNING)
			check_configuration(p, h);
		if (h->server.state == PROCESS_RUNNING)
			read_holdings(p, i);
	}
	apply_holdings(p);
}

static bool read_ledgers(struct promises *p)
{
	uint32_t i;

	g_hash_table_remove_all(p->run_counts);
	for (i = 0; i < N_NODES; i++) {
		g_autofree char *text = fleet_request(
			p->fleet, "GET", server_address(p->fleet, i), "/ledger",
			NULL);
		g_auto(GStrv) lines = NULL;
		uint32_t k;

		if (!text) {
			report_broken(p->fleet,
				      "server %u does not tell its ledger", i);
			return false;
		}
		lines = g_strsplit(text, "\n", 0);
		for (k = 0; lines[k] && *lines[k]; k++) {
			char *space = strchr(lines[k], ' ');
			guint n = g_ascii_strtoull(space, NULL, 10);

			*space = '\0';
			n += GPOINTER_TO_UINT(
				g_hash_table_lookup(p->run_counts, lines[k]));
			g_hash_table_insert(p->run_counts, g_strdup(lines[k]),
					    GUINT_TO_POINTER(n));
		}
	}
	return true;
}

static const char *broken_promise(const struct call *c, uint32_t ran)
{
	if (c->kind == CALL_BOOKING && ran > 1)
		return "at most once";
	if (c->outcome == CALL_REFUSED && ran)
		return "true refusals";
	if (c->outcome == CALL_ANSWERED && !ran)
		return "answered by a server";
	/*
	 * A failed call that did not run is allowed: the node had stopped
	 * listening, and the caller may use another one.
	 */
	if (c->strict &&
	    (c->outcome == CALL_UNKNOWN || (c->outcome == CALL_FAILED && ran)))
		return "planned stops cut nothing";
	return NULL;
}

void promises_check_calls(struct promises *p)
{
	int64_t began_ms = clock_now_ms();
	uint32_t i;

	if (!read_ledgers(p))
		return;
	for (i = 0; i < p->callers->calls->len; i++) {
		struct call *c = g_ptr_array_index(p->callers->calls, i);
		uint32_t ran = GPOINTER_TO_UINT(
			g_hash_table_lookup(p->run_counts, c->id));
		const char *promise;

		/*
		 * A call that ended after began_ms may have run on a server
		 * whose ledger had been read before.
		 */
		if (c->outcome == CALL_OPEN || c->reported ||
		    c->ended_at_ms >= began_ms)
			continue;
		promise = broken_promise(c, ran);
		if (!promise)
			continue;
		c->reported = true;
		report_broken(p->fleet,
			      "%s: %s, sent to node %u at %" G_GINT64_FORMAT
			      " ms, %s with status %ld at %" G_GINT64_FORMAT
			      " ms, ran %u times",
			      promise, c->path, c->node, (gint64)c->sent_at_ms,
			      call_outcome_names[c->outcome], c->status,
			      (gint64)c->ended_at_ms, ran);
	}
}

bool promises_all_keys_served_since(const struct promises *p, int64_t since_ms)
{
	uint32_t i;

	for (i = 0; i < N_LOOKUP_KEYS; i++)
		if (p->callers->answered_sent_at_ms[i] < since_ms)
			return false;
	return true;
}

void promises_write_calls(const struct promises *p, const char *path)
{
	FILE *out = fopen(path, "w");
	uint32_t i;

	if (!out)
		return;
	for (i = 0; i < p->callers->calls->len; i++) {
		const struct call *c = g_ptr_array_index(p->callers->calls, i);

		fprintf(out,
			"%s node %u sent %" G_GINT64_FORMAT
			" ms ended %" G_GINT64_FORMAT
			" ms %s status %ld ran %u%s\n",
			c->path, c->node, (gint64)c->sent_at_ms,
			(gint64)c->ended_at_ms, call_outcome_names[c->outcome],
			c->status,
			GPOINTER_TO_UINT(
				g_hash_table_lookup(p->run_counts, c->id)),
			c->strict ? " strict" : "");
	}
	fclose(out);
}

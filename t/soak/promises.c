#include <stdio.h>
#include <string.h>
#include <jansson.h>
#include <sys/wait.h>

#include "net/clock.h"
#include "t/soak/promises.h"

#define N_KEYS 65536
/* A stop may take 5.6 s by the settings, and releases keys beside. */
#define STOP_LIMIT_MS 10000

/* That a server came to hold keys, or with until_us 0 that it let them go. */
struct holding {
	int64_t at_us;
	int64_t from, to;
	int64_t until_us;
	uint32_t server;
	uint32_t number;
};

void promises_init(struct promises *p, struct fleet *f, struct callers *c)
{
	uint32_t i;

	memset(p, 0, sizeof(*p));
	p->fleet = f;
	p->callers = c;
	p->holdings = g_array_new(FALSE, FALSE, sizeof(struct holding));
	p->ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < N_NODES; i++)
		p->until_us[i] = g_new0(int64_t, N_KEYS);
}

static void read_holdings(struct promises *p, uint32_t i)
{
	g_autofree char *path =
		g_strdup_printf("/holdings?from=%u", p->n_read[i]);
	int64_t now = clock_now_us();
	g_autofree char *text = fleet_ask(
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
			broken(p->fleet, "holdings of server %u: %s", i, line);
			return;
		}
		h.at_us = n[0];
		h.from = n[1];
		h.to = n[2];
		h.until_us = n[3];
		h.number = p->n_read[i]++;
		g_array_append_val(p->holdings, h);
	}
	p->read_us[i] = now;
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct holding *x = a;
	const struct holding *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	if (x->server != y->server)
		return x->server < y->server ? -1 : 1;
	return x->number < y->number ? -1 : x->number > y->number;
}

static bool check_alone(struct promises *p, const struct holding *h,
			int64_t key)
{
	uint32_t i;

	for (i = 0; i < N_NODES; i++) {
		if (i == h->server || p->until_us[i][key] <= h->at_us)
			continue;
		broken(p->fleet,
		       "one owner: server %u came to hold key %" G_GINT64_FORMAT
		       " at %" G_GINT64_FORMAT
		       " us, server %u holds it for %" G_GINT64_FORMAT
		       " us more",
		       h->server, (gint64)key, (gint64)h->at_us, i,
		       (gint64)(p->until_us[i][key] - h->at_us));
		return false;
	}
	return true;
}

static void take_holding(struct promises *p, const struct holding *h)
{
	bool alone = true;
	int64_t key;

	for (key = h->from; key <= h->to; key++) {
		if (alone && h->until_us > h->at_us)
			alone = check_alone(p, h, key);
		p->until_us[h->server][key] = h->until_us;
	}
}

/* In the order of time, as far as all servers have told. */
static void go_through_holdings(struct promises *p)
{
	int64_t told_us = p->read_us[0];
	uint32_t i;

	for (i = 0; i < N_NODES; i++)
		told_us = MIN(told_us, p->read_us[i]);
	g_array_sort(p->holdings, by_time);
	for (i = 0; i < p->holdings->len; i++) {
		struct holding *h =
			&g_array_index(p->holdings, struct holding, i);

		if (h->at_us >= told_us)
			break;
		take_holding(p, h);
	}
	if (i)
		g_array_remove_range(p->holdings, 0, i);
}

/* A process replays old versions when it starts, and uses none of them. */
static int64_t oldest_allowed(struct promises *p, const struct node_host *h)
{
	if (h->version >= h->version_at_start ||
	    !fleet_ready(p->fleet, h->index))
		return h->version;
	return h->version_at_start;
}

static void check_configuration(struct promises *p, struct node_host *h)
{
	int64_t allowed = oldest_allowed(p, h);
	g_autofree char *text = fleet_ask(p->fleet, "GET",
					  operator_address(p->fleet, h->index),
					  "/status", NULL);
	json_t *status = text ? json_loads(text, 0, NULL) : NULL;
	json_t *version = json_object_get(status, "configuration_version");
	int64_t shown = json_integer_value(version);

	if (version && shown >= 0) {
		if (shown < allowed)
			broken(p->fleet,
			       "configuration: node %u shows version "
			       "%" G_GINT64_FORMAT " after %" G_GINT64_FORMAT,
			       h->index, (gint64)shown, (gint64)allowed);
		h->version = shown;
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
	if (!process_ended(x, &status)) {
		if (stopping && clock_now_ms() - x->asked_ms > STOP_LIMIT_MS) {
			broken(p->fleet, "%s %u does not stop", what, i);
			x->asked_ms = clock_now_ms();
		}
		return;
	}
	if (!killed && (!stopping || !WIFEXITED(status) || WEXITSTATUS(status)))
		broken(p->fleet, "%s %u ended by itself, status %d", what, i,
		       status);
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
	go_through_holdings(p);
}

static bool read_ledgers(struct promises *p)
{
	uint32_t i;

	g_hash_table_remove_all(p->ran);
	for (i = 0; i < N_NODES; i++) {
		g_autofree char *text = fleet_ask(p->fleet, "GET",
						  server_address(p->fleet, i),
						  "/ledger", NULL);
		g_auto(GStrv) lines = NULL;
		uint32_t k;

		if (!text) {
			broken(p->fleet, "server %u does not tell its ledger",
			       i);
			return false;
		}
		lines = g_strsplit(text, "\n", 0);
		for (k = 0; lines[k] && *lines[k]; k++) {
			char *space = strchr(lines[k], ' ');
			guint n = g_ascii_strtoull(space, NULL, 10);

			*space = '\0';
			n += GPOINTER_TO_UINT(
				g_hash_table_lookup(p->ran, lines[k]));
			g_hash_table_insert(p->ran, g_strdup(lines[k]),
					    GUINT_TO_POINTER(n));
		}
	}
	return true;
}

static const char *judge(const struct call *c, uint32_t ran)
{
	if (c->kind == CALL_BOOKING && ran > 1)
		return "at most once";
	if (c->outcome == CALL_REFUSED && ran)
		return "true refusals";
	if (c->outcome == CALL_ANSWERED && !ran)
		return "answered by a server";
	/* Not one that met a closed door, which may go elsewhere. */
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
		uint32_t ran =
			GPOINTER_TO_UINT(g_hash_table_lookup(p->ran, c->id));
		const char *promise;

		/* One that ended since may have run where that was read. */
		if (c->outcome == CALL_OPEN || c->judged ||
		    c->ended_ms >= began_ms)
			continue;
		promise = judge(c, ran);
		if (!promise)
			continue;
		c->judged = true;
		broken(p->fleet,
		       "%s: %s, sent to node %u at %" G_GINT64_FORMAT
		       " ms, %s with status %ld at %" G_GINT64_FORMAT
		       " ms, ran %u times",
		       promise, c->url, c->node, (gint64)c->sent_ms,
		       call_outcome_names[c->outcome], c->status,
		       (gint64)c->ended_ms, ran);
	}
}

bool promises_served_since(const struct promises *p, int64_t since_ms)
{
	uint32_t i;

	for (i = 0; i < N_LOOKUP_KEYS; i++)
		if (p->callers->answered_ms[i] < since_ms)
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
			c->url, c->node, (gint64)c->sent_ms,
			(gint64)c->ended_ms, call_outcome_names[c->outcome],
			c->status,
			GPOINTER_TO_UINT(g_hash_table_lookup(p->ran, c->id)),
			c->strict ? " strict" : "");
	}
	fclose(out);
}

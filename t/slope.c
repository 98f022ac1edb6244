#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <malloc.h>

#include "member/internal.h"
#include "net/clock.h"
#include "platform/operator.h"
#include "settings/changes.h"
#include "state/records.h"
#include "util/deflate.h"

/*
 * Prints what the fleet's state costs for a number of nodes (first argument)
 * and of shards per service (second argument): memory, the size of a snapshot,
 * and the time to apply the records that matter and to run a member's tick.
 * With a third argument it prints instead what that number of routes costs.
 * docs/CAPACITY.md takes its growth rates from this output.
 */

#define N_SERVICES 8
#define N_DATA_CENTRES 13
#define TICKS 200

static struct member_node node;

static void op_send(void *user, int64_t to, const struct member_msg *msg)
{
	(void)user;
	(void)to;
	(void)msg;
}

static void op_append(void *user, enum append_kind kind, json_t *record)
{
	(void)user;
	(void)kind;
	json_decref(record);
}

static uint32_t op_in_flight(void *user, uint32_t shard)
{
	(void)user;
	(void)shard;
	return 0;
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

static void op_note(void *user, const char *what, int64_t subject)
{
	(void)user;
	(void)what;
	(void)subject;
}

static json_t *op_published(void *user, const json_t *in_force)
{
	(void)user;
	(void)in_force;
	return NULL;
}

static const struct member_ops ops = { op_send,	  op_append, op_in_flight,
				       op_export, op_import, op_published,
				       op_note };

/* Returns how long the record took to apply, in ms. */
static double apply_record(json_t *r)
{
	int64_t t = clock_now_us();

	member_on_record(&node, node.fleet.applied + 1, "", r, 1000);
	json_decref(r);
	return (clock_now_us() - t) / 1000.0;
}

static json_t *make_document(int shards, int out_of_service)
{
	json_t *services = json_array();
	json_t *dcs = json_array();
	int i;

	for (i = 0; i < N_SERVICES; i++)
		json_array_append_new(services,
				      json_pack("{s:o,s:i}", "name",
						json_sprintf("s%d", i),
						"shards", shards));
	for (i = 0; i < N_DATA_CENTRES; i++)
		json_array_append_new(dcs, json_pack("{s:o,s:b}", "name",
						     json_sprintf("d%d", i),
						     "in_service",
						     i != out_of_service));
	return json_pack("{s:o,s:[],s:o}", "services", services, "classes",
			 "data_centres", dcs);
}

static json_t *configuration_record(int shards, int out_of_service)
{
	json_t *doc = make_document(shards, out_of_service);
	json_t *r = record_configuration(node.fleet.configuration_version, doc,
					 "op", "");

	json_decref(doc);
	return r;
}

static json_t *join_record(int i)
{
	struct member m;

	memset(&m, 0, sizeof(m));
	g_snprintf(m.host, sizeof(m.host), "host-%d", i);
	g_snprintf(m.peer, sizeof(m.peer), "10.0.%d.%d:7000", i / 256, i % 256);
	g_snprintf(m.data_centre, sizeof(m.data_centre), "d%d",
		   i % N_DATA_CENTRES);
	g_snprintf(m.service, sizeof(m.service), "s%d", i % N_SERVICES);
	assign_witnesses(&node.fleet, &m, NULL, 0, &m.witnesses);
	if (!i)
		g_strlcpy(m.nonce, "me", sizeof(m.nonce));
	return record_join(&m);
}

static double expel_data_centre(void)
{
	json_t *r = record_expel(1, "lost");
	struct member *m;
	uint32_t i;

	for_each_member (&node.fleet, m, i)
		if (!strcmp(m->data_centre, "d3"))
			record_expel_add(r, m);
	return apply_record(r);
}

static char *routes_text(int n, int version)
{
	json_t *rules = json_array();
	json_t *o;
	char *text;
	int i;

	for (i = 0; i < n; i++)
		json_array_append_new(
			rules,
			json_pack("{s:o,s:s,s:i,s:i,s:{s:o},s:{s:s,s:i,s:i}}",
				  "name", json_sprintf("r-%07d", i), "kind",
				  "safe", "goal_ms", i ? 400 : 400 + version,
				  "priority", 2, "match", "path_prefix",
				  json_sprintf("/abcd123/lo%d/", i), "action",
				  "service", "s0", "timeout_ms", 1500,
				  "attempts", 2));
	o = json_pack("{s:i,s:[{s:s,s:o}],s:[{s:s,s:i}]}", "version", version,
		      "listeners", "hostname", "abcd12.example", "rules", rules,
		      "clusters", "name", "s0", "max_conns", 130);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

static double ms_since(int64_t us)
{
	return (clock_now_us() - us) / 1000.0;
}

/*
 * Applies one change of the operators' routes, and prints the time that the
 * member that proposes it and each host spend on it.
 */
static void measure_route_change(const char *what, int n, int version)
{
	char *text = routes_text(n, version);
	json_t *key = json_string(text);
	struct operator_records p;
	double proposer_ms, host_ms = 0;
	size_t bytes = 0;
	bool complete = false;
	json_t *doc;
	int64_t t;

	operator_records_init(&p);
	operator_records_apply(&p, "config", key);
	t = clock_now_us();
	doc = operator_records_document(&p, node.fleet.document);
	proposer_ms = ms_since(t);
	while (!complete) {
		json_t *changes, *r;
		char *line;
		GString *packed;

		t = clock_now_us();
		changes = changes_between(node.fleet.document, doc, 192 * 1024,
					  &complete);
		r = record_changes(node.fleet.configuration_version, changes,
				   version, complete, 1);
		line = json_dumps(r, JSON_COMPACT);
		packed = deflate_bytes(line, strlen(line));
		proposer_ms += ms_since(t);
		bytes += packed->len;
		json_decref(r);
		g_string_free(packed, TRUE);
		t = clock_now_us();
		r = json_loads(line, 0, NULL);
		host_ms += ms_since(t) + apply_record(r);
		free(line);
	}
	printf("%s: proposer %.1f ms, record %zu bytes, each host %.2f ms; ",
	       what, proposer_ms, bytes, host_ms);
	free(text);
	json_decref(key);
	json_decref(doc);
	operator_records_finish(&p);
}

/* Prints what a configuration with n routes costs. */
static void measure_routes(int n)
{
	struct mallinfo2 before = mallinfo2();
	int64_t t;
	int i;

	printf("routes %d: ", n);
	measure_route_change("all", n, 1);
	measure_route_change("one differs", n, 2);
	measure_route_change("1,400 more", n + 1400, 3);
	t = clock_now_us();
	for (i = 0; i < TICKS; i++)
		configuration_match(&node.fleet.configuration, "GET",
				    "abcd12.example", "/abcd123/lo9/x");
	printf("a match %.2f us; heap %.1f MB\n", ms_since(t) * 1000 / TICKS,
	       (mallinfo2().uordblks + mallinfo2().hblkhd - before.uordblks) /
		       1e6);
}

int main(int argc, char **argv)
{
	struct member_timing timing = MEMBER_TIMING_DEFAULT;
	int n = argc > 1 ? atoi(argv[1]) : 1500;
	int shards = argc > 2 ? atoi(argv[2]) : 4096;
	struct member me;
	struct mallinfo2 before = mallinfo2();
	double joins_ms = 0, configured_ms, out_ms, lost_ms;
	json_t *state;
	char *text;
	int64_t t;
	int i;

	memset(&me, 0, sizeof(me));
	g_strlcpy(me.host, "host-0", sizeof(me.host));
	g_strlcpy(me.service, "s0", sizeof(me.service));
	g_strlcpy(me.nonce, "me", sizeof(me.nonce));
	member_init(&node, &me, &timing, &ops, NULL, 1000, 1);
	if (argc > 3) {
		measure_routes(atoi(argv[3]));
		return 0;
	}
	for (i = 0; i < n; i++)
		joins_ms += apply_record(join_record(i));
	configured_ms = apply_record(configuration_record(shards, -1));
	t = clock_now_us();
	for (i = 0; i < TICKS; i++)
		member_tick(&node, 1000 + i * 50);
	printf("nodes %d shards %d x %d: resident heap %.1f MB, join %.2f ms, "
	       "first configuration %.0f ms, tick %.0f us",
	       n, N_SERVICES, shards,
	       (mallinfo2().uordblks + mallinfo2().hblkhd - before.uordblks) /
		       1e6,
	       joins_ms / n, configured_ms,
	       (double)(clock_now_us() - t) / TICKS);
	out_ms = apply_record(configuration_record(shards, 2));
	lost_ms = expel_data_centre();
	state = fleet_snapshot(&node.fleet);
	text = json_dumps(state, JSON_COMPACT);
	printf(", data centre out %.0f ms, lost %.0f ms, snapshot %.2f MB\n",
	       out_ms, lost_ms, strlen(text) / 1e6);
	return 0;
}

#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>

#include "platform/operator.h"
#include "settings/changes.h"
#include "settings/configuration.h"
#include "state/fleet.h"
#include "state/records.h"
#include "util/deflate.h"
#include "util/result.h"

/* What operators publish comes into force, whatever its size and values. */

#define N_ROUTES 6000
#define MAX_BYTES (192 * 1024)
#define RECORD_BYTES (256 * 1024) /* the store's limit on a record */

static json_t *rule(const char *name, const char *path, const char *service)
{
	return json_pack("{s:s,s:s,s:i,s:i,s:{s:s},s:{s:s,s:i,s:i}}", "name",
			 name, "kind", "safe", "goal_ms", 400, "priority", 2,
			 "match", "path_prefix", path, "action", "service",
			 service, "timeout_ms", 1500, "attempts", 2);
}

static json_t *operators_record(int version, json_t *rules)
{
	return json_pack("{s:i,s:[{s:s,s:o}],s:[{s:s,s:i,s:b}]}", "version",
			 version, "listeners", "hostname", "a.example", "rules",
			 rules, "clusters", "name", "records", "max_conns", 130,
			 "sharded", 1);
}

static json_t *many_rules(uint32_t n)
{
	json_t *rules = json_array();
	uint32_t i;

	for (i = 0; i < n; i++) {
		g_autofree char *name = g_strdup_printf("route-%u", i);
		g_autofree char *path = g_strdup_printf("/route-%u/", i);

		json_array_append_new(rules, rule(name, path, "records"));
	}
	return rules;
}

/*
 * Applies a record published by operators and releases it. The caller finishes
 * f.
 */
static void publish(struct fleet *f, json_t *record)
{
	struct operator_records p;
	json_t *doc, *text, *r;
	char *dump = json_dumps(record, 0);
	bool complete = false;

	operator_records_init(&p);
	text = json_string(dump);
	g_assert_true(operator_records_apply(&p, "config", text));
	doc = operator_records_document(&p, f->document);
	g_assert_nonnull(doc);
	while (!complete) {
		json_t *changes =
			changes_between(f->document, doc, MAX_BYTES, &complete);

		r = record_changes(f->configuration_version, changes,
				   f->source_offset + 1, complete, 0);
		g_assert_cmpint(fleet_apply(f, f->applied + 1, "", r), ==,
				RESULT_OK);
		json_decref(r);
	}
	g_assert_true(json_equal(f->document, doc));
	free(dump);
	json_decref(text);
	json_decref(doc);
	json_decref(record);
	operator_records_finish(&p);
}

static const char *match(const struct fleet *f, const char *path)
{
	const struct class_settings *k = configuration_match(
		&f->configuration, "GET", "a.example", path);

	return k ? k->name : NULL;
}

/*
 * A configuration of more than 4,096 routes must come into force. A bound on
 * their number would refuse it as a whole, and every later version with as many
 * routes.
 */
static void test_routes_without_bound(void)
{
	struct fleet f;

	fleet_init(&f);
	publish(&f, operators_record(4, many_rules(N_ROUTES)));
	g_assert_cmpuint(f.configuration.n_classes, ==, N_ROUTES);
	g_assert_cmpstr(match(&f, "/route-5999/x"), ==, "route-5999");
	g_assert_null(match(&f, "/route-6000/x"));
	fleet_finish(&f);
}

/* A route with a long name or path must match; its callers must not get 404. */
static void test_long_names(void)
{
	g_autofree char *name = g_strnfill(200, 'n');
	g_autofree char *path = g_strnfill(1000, 'p');
	json_t *rules = json_array();
	struct fleet f;

	path[0] = '/';
	path[999] = '/';
	json_array_append_new(rules, rule(name, path, "records"));
	fleet_init(&f);
	publish(&f, operators_record(4, rules));
	g_assert_cmpstr(match(&f, path), ==, name);
	fleet_finish(&f);
}

/*
 * A value beyond the range used here must not keep the rest of the
 * configuration from coming into force.
 */
static void test_out_of_range_values(void)
{
	json_t *rules = json_array();
	json_t *odd = rule("odd", "/odd/", "records");
	json_t *action = json_object_get(odd, "action");
	json_t *split = json_array();
	struct fleet f;
	int i;

	json_object_set_new(odd, "goal_ms", json_integer(10000000));
	json_object_set_new(odd, "priority", json_integer(5000));
	json_object_set_new(action, "timeout_ms", json_integer(90000000));
	json_object_set_new(action, "attempts", json_integer(100000));
	json_array_append_new(rules, odd);
	odd = rule("split", "/split/", "records");
	for (i = 0; i < 12; i++)
		json_array_append_new(split, json_pack("{s:s,s:i}", "service",
						       "records", "weight",
						       i * 3000000));
	json_object_del(json_object_get(odd, "action"), "service");
	json_object_set_new(json_object_get(odd, "action"), "split", split);
	json_array_append_new(rules, odd);
	json_array_append_new(rules, rule("look", "/look/", "records"));
	fleet_init(&f);
	publish(&f, operators_record(4, rules));
	g_assert_cmpstr(match(&f, "/look/1"), ==, "look");
	g_assert_cmpstr(match(&f, "/odd/1"), ==, "odd");
	g_assert_cmpstr(match(&f, "/split/1"), ==, "split");
	fleet_finish(&f);
}

#define N_ROUNDS 400

/*
 * A random document like those that operators publish, with few distinct names.
 */
static json_t *random_document(GRand *rand, int source)
{
	static const char *const services[] = { "records", "bookings", "x" };
	static const char *const hosts[] = { "", "a.example", "b.example" };
	static const char *const methods[] = { "*", "GET", "POST" };
	uint32_t n_services = g_rand_int_range(rand, 2, 4);
	uint32_t n = g_rand_int_range(rand, 0, 30);
	json_t *classes = json_array();
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < n_services; i++)
		json_array_append_new(list,
				      json_pack("{s:s,s:i}", "name",
						services[i], "shards", 8));
	for (i = 0; i < n; i++) {
		GString *path = g_string_new("/");
		uint32_t parts = g_rand_int_range(rand, 0, 4);

		while (parts--)
			g_string_append_printf(path, "%c%s",
					       'a' + g_rand_int_range(rand, 0,
								      2),
					       g_rand_boolean(rand) ? "/" : "");
		json_array_append_new(
			classes,
			json_pack(
				"{s:o,s:s,s:s,s:s,s:s,s:i}", "name",
				json_sprintf("k%d", i), "service",
				services[g_rand_int_range(rand, 0, n_services)],
				"method", methods[g_rand_int_range(rand, 0, 3)],
				"host", hosts[g_rand_int_range(rand, 0, 3)],
				"path", path->str, "target_ms",
				g_rand_int_range(rand, 1, 4)));
		g_string_free(path, TRUE);
	}
	return json_pack("{s:i,s:o,s:o,s:[]}", "source", source, "services",
			 list, "classes", classes, "data_centres");
}

/*
 * Searches all classes for the longest path that matches, of the request's host
 * or of any host.
 */
static const char *linear_match(const json_t *doc, const char *method,
				const char *host, const char *path)
{
	const char *best = NULL;
	size_t best_rank = 0;
	json_t *k;
	size_t i;

	json_array_foreach(json_object_get(doc, "classes"), i, k)
	{
		const char *m = json_string_value(json_object_get(k, "method"));
		const char *h = json_string_value(json_object_get(k, "host"));
		const char *p = json_string_value(json_object_get(k, "path"));
		size_t rank = 4 * strlen(p) + (h[0] ? 2 : 0) + (m[0] != '*');

		if (rank < best_rank || !g_str_has_prefix(path, p) ||
		    (strcmp(m, "*") && strcmp(m, method)) ||
		    (h[0] && strcmp(h, host)))
			continue;
		best = json_string_value(json_object_get(k, "name"));
		best_rank = rank;
	}
	return best;
}

static void assert_same_matches(const struct configuration *cfg,
				const json_t *doc, GRand *rand)
{
	static const char *const hosts[] = { "a.example", "b.example", "c" };
	uint32_t i;

	for (i = 0; i < 60; i++) {
		const char *host = hosts[g_rand_int_range(rand, 0, 3)];
		const char *method = g_rand_boolean(rand) ? "GET" : "PUT";
		const struct class_settings *k;
		char path[8] = "/";
		uint32_t j;

		for (j = 1; j < 7; j++)
			path[j] = "ab/"[g_rand_int_range(rand, 0, 3)];
		k = configuration_match(cfg, method, host, path);
		g_assert_cmpstr(k ? k->name : NULL, ==,
				linear_match(doc, method, host, path));
	}
}

/*
 * Changes split into parts of any size, applied one after the other, must lead
 * to the intended document.
 */
static void test_changes_reproduce_document(void)
{
	GRand *rand = g_rand_new_with_seed(28);
	struct fleet f;
	int i;

	fleet_init(&f);
	for (i = 1; i <= N_ROUNDS; i++) {
		json_t *doc = random_document(rand, i);
		size_t max = g_rand_int_range(rand, 1, 4000);
		bool complete = false;

		while (!complete) {
			json_t *changes = changes_between(f.document, doc, max,
							  &complete);
			json_t *r = record_changes(f.configuration_version,
						   changes, i, complete, 0);

			g_assert_cmpint(fleet_apply(&f, f.applied + 1, "", r),
					==, RESULT_OK);
			json_decref(r);
			assert_same_matches(&f.configuration, f.document, rand);
		}
		assert_same_matches(&f.configuration, doc, rand);
		json_decref(doc);
	}
	fleet_finish(&f);
	g_rand_free(rand);
}

/*
 * A change to one of thousands of routes must be short, however many nodes have
 * to read it.
 */
static void test_small_change_is_short(void)
{
	json_t *before = json_pack("{s:i,s:[{s:s}],s:o,s:[]}", "source", 1,
				   "services", "name", "records", "classes",
				   json_array(), "data_centres");
	json_t *after, *changes;
	bool complete;
	int i;

	for (i = 0; i < N_ROUTES; i++)
		json_array_append_new(
			json_object_get(before, "classes"),
			json_pack("{s:o,s:s,s:s,s:o,s:i}", "name",
				  json_sprintf("k%d", i), "service", "records",
				  "method", "*", "path",
				  json_sprintf("/k%d/", i), "target_ms", 5));
	after = json_deep_copy(before);
	json_object_set_new(json_array_get(json_object_get(after, "classes"),
					   77),
			    "target_ms", json_integer(6));
	json_object_set_new(after, "source", json_integer(2));
	changes = changes_between(before, after, MAX_BYTES, &complete);
	g_assert_true(complete);
	g_assert_cmpuint(json_dumpb(changes, NULL, 0, JSON_COMPACT), <, 300);
	json_decref(changes);
	json_decref(before);
	json_decref(after);
}

/* Malformed changes must leave the configuration in force unchanged. */
static void test_malformed_changes(void)
{
	static const char *const texts[] = {
		"{}",
		"{\"set\":[]}",
		"{\"set\":{},\"classes\":[7]}",
		"{\"set\":{},\"classes\":[{\"name\":\"k\"}]}",
		"{\"set\":{},\"removed\":[[\"*\",\"\"]]}",
		"{\"set\":{\"services\":[]},\"classes\":[]}",
		"{\"set\":{\"classes\":7,\"services\":7}}",
	};
	struct fleet f;
	uint32_t i;

	fleet_init(&f);
	publish(&f, operators_record(4, many_rules(3)));
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		json_t *changes = json_loads(texts[i], 0, NULL);
		json_t *r;

		json_object_set_new(changes, "version",
				    json_integer(f.partial_version));
		r = record_changes(f.configuration_version, changes,
				   f.source_offset + 1, false, 0);
		g_assert_cmpint(fleet_apply(&f, f.applied + 1, "", r), ==,
				RESULT_INVALID);
		json_decref(r);
		g_assert_cmpuint(f.configuration.n_classes, ==, 3);
		g_assert_cmpstr(match(&f, "/route-2/x"), ==, "route-2");
		g_assert_cmpuint(
			json_array_size(json_object_get(f.document, "classes")),
			==, 3);
	}
	fleet_finish(&f);
}

static void apply_text(struct operator_records *p, const char *key,
		       const char *text)
{
	json_t *value = text ? json_string(text) : json_null();

	operator_records_apply(p, key, value);
	json_decref(value);
}

static json_int_t version_of_document(const struct operator_records *p,
				      const json_t *in_force)
{
	json_t *doc = operator_records_document(p, in_force);
	json_int_t version = json_integer_value(json_object_get(doc, "source"));

	json_decref(doc);
	return version;
}

static uint32_t count_evacuated(const struct operator_records *p,
				const json_t *in_force)
{
	json_t *doc = operator_records_document(p, in_force);
	uint32_t n = json_array_size(json_object_get(doc, "data_centres"));

	json_decref(doc);
	return n;
}

/*
 * A configuration that cannot be used must not keep evacuations from coming
 * into force.
 */
static void test_evacuation_after_unusable(void)
{
	static const char *const unusable[] = { "{\"version\":", "7",
						"{\"version\":4}" };
	json_t *record = operators_record(5, many_rules(3));
	char *text = json_dumps(record, 0);
	GLogLevelFlags fatal;
	uint32_t i;

	/* Warnings of unusable configurations are expected. */
	fatal = g_log_set_always_fatal(G_LOG_FATAL_MASK | G_LOG_LEVEL_CRITICAL);
	for (i = 0; i < G_N_ELEMENTS(unusable); i++) {
		struct operator_records p;
		json_t *in_force;

		operator_records_init(&p);
		apply_text(&p, "config", text);
		in_force = operator_records_document(&p, NULL);
		apply_text(&p, "config", unusable[i]);
		apply_text(&p, "evacuate/hakata", "{}");
		g_assert_cmpint(version_of_document(&p, in_force), ==, 5);
		g_assert_cmpuint(count_evacuated(&p, in_force), ==, 1);
		apply_text(&p, "evacuate/hakata", NULL);
		g_assert_cmpuint(count_evacuated(&p, in_force), ==, 0);
		json_decref(in_force);
		operator_records_finish(&p);
	}
	g_log_set_always_fatal(fatal);
	free(text);
	json_decref(record);
}

/*
 * A usable configuration that is not in force yet must be kept when an unusable
 * one follows.
 */
static void test_unusable_before_in_force(void)
{
	json_t *record = operators_record(5, many_rules(3));
	char *text = json_dumps(record, 0);
	GLogLevelFlags fatal;
	struct operator_records p;

	fatal = g_log_set_always_fatal(G_LOG_FATAL_MASK | G_LOG_LEVEL_CRITICAL);
	operator_records_init(&p);
	apply_text(&p, "config", text);
	apply_text(&p, "config", "{\"version\":");
	g_assert_cmpint(version_of_document(&p, NULL), ==, 5);
	operator_records_finish(&p);
	g_log_set_always_fatal(fatal);
	free(text);
	json_decref(record);
}

static json_t *random_routes(GRand *rand, uint32_t n)
{
	json_t *classes = json_array();
	uint32_t i;

	for (i = 0; i < n; i++)
		json_array_append_new(
			classes,
			json_pack("{s:s,s:s,s:s,s:o,s:i}", "name", "k",
				  "service", "records", "method", "*", "path",
				  json_sprintf("/%08x%08x/lo%u/",
					       g_rand_int(rand),
					       g_rand_int(rand), i),
				  "target_ms", 5));
	return json_pack("{s:i,s:[{s:s}],s:o,s:[]}", "source", 1, "services",
			 "name", "records", "classes", classes, "data_centres");
}

/*
 * However many routes are removed at once, the record must not be so long that
 * the store refuses it.
 */
static void test_removal_within_a_record(void)
{
	GRand *rand = g_rand_new_with_seed(28);
	json_t *before = random_routes(rand, 40000);
	json_t *after = random_routes(rand, 1);
	bool complete;
	json_t *changes = changes_between(before, after, MAX_BYTES, &complete);
	char *text = json_dumps(changes, JSON_COMPACT);
	GString *packed = deflate_bytes(text, strlen(text));

	g_assert_cmpuint(packed->len, <, RECORD_BYTES);
	g_string_free(packed, TRUE);
	free(text);
	json_decref(changes);
	json_decref(before);
	json_decref(after);
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/published/routes-without-bound",
			test_routes_without_bound);
	g_test_add_func("/published/long-names", test_long_names);
	g_test_add_func("/published/figures-beyond-bounds",
			test_out_of_range_values);
	g_test_add_func("/published/changes-lead-to-the-same",
			test_changes_reproduce_document);
	g_test_add_func("/published/small-change-is-short",
			test_small_change_is_short);
	g_test_add_func("/published/broken-changes", test_malformed_changes);
	g_test_add_func("/published/evacuation-after-unusable",
			test_evacuation_after_unusable);
	g_test_add_func("/published/unusable-before-in-force",
			test_unusable_before_in_force);
	g_test_add_func("/published/removal-within-a-record",
			test_removal_within_a_record);
	return g_test_run();
}

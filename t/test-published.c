#include <string.h>
#include <glib.h>
#include <jansson.h>

#include "platform/operator.h"
#include "settings/configuration.h"
#include "state/fleet.h"
#include "state/records.h"
#include "util/result.h"

/* What operators publish comes into force, whatever its size and figures. */

#define N_ROUTES 6000

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

/* Apply what operators published; the caller finishes f. */
static void publish(struct fleet *f, json_t *record)
{
	struct published p;
	json_t *doc, *r;

	published_init(&p);
	g_assert_true(published_take(&p, "config", record));
	doc = published_document(&p);
	g_assert_nonnull(doc);
	r = record_published(1, doc, 0);
	g_assert_cmpint(fleet_apply(f, f->applied + 1, "", r), ==, RESULT_OK);
	json_decref(r);
	json_decref(doc);
	json_decref(record);
	published_finish(&p);
}

static const char *match(const struct fleet *f, const char *path)
{
	const struct class_settings *k = configuration_match(
		&f->configuration, "GET", "a.example", path);

	return k ? k->name : NULL;
}

/* Beyond 4,096 routes the whole configuration was refused, for good. */
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

/* A route with a long name or path is no reason to tell its callers 404. */
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

/* One figure beyond what is used here must not keep the others out. */
static void test_figures_beyond_bounds(void)
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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/published/routes-without-bound",
			test_routes_without_bound);
	g_test_add_func("/published/long-names", test_long_names);
	g_test_add_func("/published/figures-beyond-bounds",
			test_figures_beyond_bounds);
	return g_test_run();
}

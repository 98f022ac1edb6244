#include <glib.h>
#include <string.h>

#include "settings/configuration.h"
#include "util/result.h"

static uint32_t problems(const char *text, const char *expected)
{
	struct configuration *cfg = g_new0(struct configuration, 1);
	json_t *doc = json_loads(text, 0, NULL);
	struct json_check c;
	uint32_t n;

	json_check_init(&c, "f");
	configuration_read(cfg, doc, &c);
	if (expected && !strstr(c.errors->str, expected))
		g_error("expected \"%s\" in:\n%s", expected, c.errors->str);
	n = c.n_errors;
	json_check_finish(&c);
	json_decref(doc);
	g_free(cfg);
	return n;
}

static void test_problems_are_named(void)
{
	problems("{\"services\":[],\"classes\":[],\"data_centres\":[],\"x\":1}",
		 "f: $.x: no such field");
	problems("{\"services\":[{\"name\":\"a\",\"shards\":0}],"
		 "\"classes\":[],\"data_centres\":[]}",
		 "f: services[0].shards: must be from 1 to 16384");
	problems("{\"services\":[],\"classes\":[{\"name\":\"k\","
		 "\"service\":\"none\",\"method\":\"GET\",\"path\":\"/\","
		 "\"target_ms\":5}],\"data_centres\":[]}",
		 "service none does not exist");
	g_assert_cmpuint(problems("[]", "must be an object"), ==, 1);
}

static void test_longest_match(void)
{
	struct configuration *cfg = g_new0(struct configuration, 1);

	cfg->n_classes = 2;
	g_strlcpy(cfg->classes[0].method, "GET", 16);
	g_strlcpy(cfg->classes[0].path, "/a", 16);
	g_strlcpy(cfg->classes[1].method, "GET", 16);
	g_strlcpy(cfg->classes[1].path, "/a/b", 16);
	g_assert_true(configuration_match(cfg, "GET", "/a/b/c") ==
		      &cfg->classes[1]);
	g_assert_true(configuration_match(cfg, "GET", "/a/c") ==
		      &cfg->classes[0]);
	g_assert_null(configuration_match(cfg, "POST", "/a/c"));
	g_free(cfg);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings/problems", test_problems_are_named);
	g_test_add_func("/settings/longest-match", test_longest_match);
	return g_test_run();
}

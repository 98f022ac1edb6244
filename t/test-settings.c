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
	configuration_finish(cfg);
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

static struct configuration *read_good(const char *text)
{
	struct configuration *cfg = g_new0(struct configuration, 1);
	json_t *doc = json_loads(text, 0, NULL);
	struct json_check c;

	json_check_init(&c, "f");
	if (configuration_read(cfg, doc, &c))
		g_error("%s", c.errors->str);
	json_check_finish(&c);
	json_decref(doc);
	return cfg;
}

static void drop(struct configuration *cfg)
{
	configuration_finish(cfg);
	g_free(cfg);
}

#define CLASS(name, rest) \
	"{\"name\":\"" name "\",\"service\":\"s\",\"target_ms\":5," rest "}"
#define DOCUMENT(classes)                                                \
	"{\"services\":[{\"name\":\"s\"},{\"name\":\"t\"}],\"classes\":" \
	"[" classes "],\"data_centres\":[]}"

static const char *match(const struct configuration *cfg, const char *method,
			 const char *host, const char *path)
{
	const struct class_settings *k =
		configuration_match(cfg, method, host, path);

	return k ? k->name : "none";
}

static void test_longest_match(void)
{
	struct configuration *cfg = read_good(DOCUMENT(
		CLASS("a", "\"method\":\"GET\",\"path\":\"/a\"") "," CLASS(
			"ab", "\"method\":\"GET\",\"path\":\"/a/b\"")));

	g_assert_cmpstr(match(cfg, "GET", NULL, "/a/b/c"), ==, "ab");
	g_assert_cmpstr(match(cfg, "GET", NULL, "/a/c"), ==, "a");
	g_assert_cmpstr(match(cfg, "POST", NULL, "/a/c"), ==, "none");
	drop(cfg);
}

/*
 * Two hosts have routes of the same path. A request must not go to the service
 * of the other host's, and a port in its Host header makes no difference.
 */
static void test_match_by_host(void)
{
	struct configuration *cfg = read_good(DOCUMENT(CLASS(
		"x",
		"\"method\":\"*\",\"host\":\"x.example\","
		"\"path\":\"/p/\"") "," CLASS("y", "\"method\":\"*\",\"host\":"
						   "\"y.example\","
						   "\"path\":\"/p/\"")));

	g_assert_cmpstr(match(cfg, "GET", "y.example", "/p/1"), ==, "y");
	g_assert_cmpstr(match(cfg, "POST", "x.example:80", "/p/1"), ==, "x");
	g_assert_cmpstr(match(cfg, "GET", "x.example.org", "/p/"), ==, "none");
	g_assert_cmpstr(match(cfg, "GET", NULL, "/p/"), ==, "none");
	drop(cfg);
}

static void test_split(void)
{
	struct configuration *cfg = read_good(
		"{\"services\":[{\"name\":\"s\"},{\"name\":\"t\"}],"
		"\"classes\":[{\"name\":\"k\",\"split\":["
		"{\"service\":\"t\",\"weight\":90},"
		"{\"service\":\"s\",\"weight\":10}],\"method\":\"GET\","
		"\"path\":\"/\",\"target_ms\":5}],\"data_centres\":[]}");

	g_assert_cmpuint(cfg->classes[0].n_targets, ==, 2);
	g_assert_cmpuint(cfg->classes[0].targets[0].service, ==, 1);
	g_assert_cmpuint(cfg->classes[0].targets[1].weight, ==, 10);
	drop(cfg);
	problems("{\"services\":[{\"name\":\"s\"}],\"classes\":[{\"name\":"
		 "\"k\",\"split\":[{\"service\":\"s\",\"weight\":0}],"
		 "\"method\":\"GET\",\"path\":\"/\",\"target_ms\":5}],"
		 "\"data_centres\":[]}",
		 "no part of the split has a weight");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings/problems", test_problems_are_named);
	g_test_add_func("/settings/longest-match", test_longest_match);
	g_test_add_func("/settings/match-by-host", test_match_by_host);
	g_test_add_func("/settings/split", test_split);
	return g_test_run();
}

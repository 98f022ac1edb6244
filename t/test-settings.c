#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "platform/request.h"
#include "settings/settings.h"
#include "util/result.h"

/*
 * The number of problems in a configuration. Fails if the text of none contains
 * "expected".
 */
static uint32_t count_problems(const char *text, const char *expected)
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

static void test_problems_are_reported(void)
{
	count_problems(
		"{\"services\":[],\"classes\":[],\"data_centres\":[],\"x\":1}",
		"f: $.x: no such field");
	count_problems("{\"services\":[{\"name\":\"a\",\"shards\":0}],"
		       "\"classes\":[],\"data_centres\":[]}",
		       "f: services[0].shards: must be from 1 to 16384");
	count_problems("{\"services\":[],\"classes\":[{\"name\":\"k\","
		       "\"service\":\"none\",\"method\":\"GET\",\"path\":\"/\","
		       "\"target_ms\":5}],\"data_centres\":[]}",
		       "service none does not exist");
	g_assert_cmpuint(count_problems("[]", "must be an object"), ==, 1);
}

/* Reads a configuration that must be valid. */
static struct configuration *read_valid(const char *text)
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

static void free_configuration(struct configuration *cfg)
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
	struct configuration *cfg = read_valid(DOCUMENT(
		CLASS("a", "\"method\":\"GET\",\"path\":\"/a\"") "," CLASS(
			"ab", "\"method\":\"GET\",\"path\":\"/a/b\"")));

	g_assert_cmpstr(match(cfg, "GET", NULL, "/a/b/c"), ==, "ab");
	g_assert_cmpstr(match(cfg, "GET", NULL, "/a/c"), ==, "a");
	g_assert_cmpstr(match(cfg, "POST", NULL, "/a/c"), ==, "none");
	free_configuration(cfg);
}

/*
 * Two hosts have routes with the same path. A request must go to the service of
 * its own host; a port in its Host header makes no difference.
 */
static void test_match_by_host(void)
{
	struct configuration *cfg = read_valid(DOCUMENT(CLASS(
		"x",
		"\"method\":\"*\",\"host\":\"x.example\","
		"\"path\":\"/p/\"") "," CLASS("y", "\"method\":\"*\",\"host\":"
						   "\"y.example\","
						   "\"path\":\"/p/\"")));

	g_assert_cmpstr(match(cfg, "GET", "y.example", "/p/1"), ==, "y");
	g_assert_cmpstr(match(cfg, "POST", "x.example:80", "/p/1"), ==, "x");
	g_assert_cmpstr(match(cfg, "GET", "x.example.org", "/p/"), ==, "none");
	g_assert_cmpstr(match(cfg, "GET", NULL, "/p/"), ==, "none");
	free_configuration(cfg);
}

static void test_split(void)
{
	struct configuration *cfg = read_valid(
		"{\"services\":[{\"name\":\"s\"},{\"name\":\"t\"}],"
		"\"classes\":[{\"name\":\"k\",\"split\":["
		"{\"service\":\"t\",\"weight\":90},"
		"{\"service\":\"s\",\"weight\":10}],\"method\":\"GET\","
		"\"path\":\"/\",\"target_ms\":5}],\"data_centres\":[]}");

	g_assert_cmpuint(cfg->classes[0].n_targets, ==, 2);
	g_assert_cmpuint(cfg->classes[0].targets[0].service, ==, 1);
	g_assert_cmpuint(cfg->classes[0].targets[1].weight, ==, 10);
	free_configuration(cfg);
	count_problems(
		"{\"services\":[{\"name\":\"s\"}],\"classes\":[{\"name\":"
		"\"k\",\"split\":[{\"service\":\"s\",\"weight\":0}],"
		"\"method\":\"GET\",\"path\":\"/\",\"target_ms\":5}],"
		"\"data_centres\":[]}",
		"no part of the split has a weight");
}

/*
 * A setting that is allowed by name but never read has no effect, and no error
 * is reported. Each one given here must be read.
 */
static void test_settings_are_read(void)
{
	static const char text[] =
		"{\"interface\":\"platform\",\"host\":\"h\","
		"\"data_centre\":\"d\",\"service\":\"s\","
		"\"caller_address\":\"127.0.0.1:1\","
		"\"peer_address\":\"127.0.0.1:2\","
		"\"operator_address\":\"127.0.0.1:3\","
		"\"backend_server\":\"127.0.0.1:4\","
		"\"log\":\"127.0.0.1:5\",\"ready_address\":\"127.0.0.1:6\","
		"\"announce_address\":\"127.0.0.1:7\","
		"\"seeds\":[\"127.0.0.9:77\"],\"seeds_by_host\":true,"
		"\"lease_ms\":2500,\"hold_max_ms\":7000,\"stop_limit_ms\":4000,"
		"\"kept_idle_s\":5,\"snapshot_records\":50,\"move_batch\":9,"
		"\"hold_share\":0.5,\"retry_share\":0.3,\"retry_reserve\":40,"
		"\"far_ms\":11,\"far_ms_per_kb\":1.5,\"link_mbps\":20.5,"
		"\"choice\":\"soonest\"}";
	GString *errors = g_string_new(NULL);
	g_autofree char *path = NULL;
	struct settings s;
	int fd = g_file_open_tmp("settings.XXXXXX", &path, NULL);

	g_assert_cmpint(fd, >=, 0);
	g_close(fd, NULL);
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	if (settings_read(&s, path, errors))
		g_error("%s", errors->str);
	g_assert_cmpstr(s.seeds[0], ==, "127.0.0.9:2");
	g_assert_true(s.headers == &headers_platform);
	g_assert_true(s.grants == &grant_by_heartbeat);
	g_assert_cmpint(s.lease_ms, ==, 2500);
	g_assert_cmpint(s.hold_max_ms, ==, 7000);
	g_assert_cmpint(s.stop_limit_ms, ==, 4000);
	g_assert_cmpint(s.kept_idle_s, ==, 5);
	g_assert_cmpint(s.snapshot_records, ==, 50);
	g_assert_cmpint(s.move_batch, ==, 9);
	g_assert_cmpfloat(s.hold_share, ==, 0.5);
	g_assert_cmpfloat(s.retry_share, ==, 0.3);
	g_assert_cmpfloat(s.retry_reserve, ==, 40);
	g_assert_cmpfloat(s.far_ms, ==, 11);
	g_assert_cmpfloat(s.far_ms_per_kb, ==, 1.5);
	g_assert_cmpfloat(s.link_mbps, ==, 20.5);
	g_assert_true(s.choice == &chooser_soonest);
	g_unlink(path);
	g_string_free(errors, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings/problems", test_problems_are_reported);
	g_test_add_func("/settings/longest-match", test_longest_match);
	g_test_add_func("/settings/match-by-host", test_match_by_host);
	g_test_add_func("/settings/split", test_split);
	g_test_add_func("/settings/arrive", test_settings_are_read);
	return g_test_run();
}

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "platform/announce.h"
#include "util/result.h"

/* Heartbeats of other writers, which name no server to use. */

#define HEARTBEAT(address, born, slots, state, seq, holds)              \
	"{\"address\":" address ",\"born\":" born                       \
	",\"info\":{\"service\":\"records\",\"version\":\"v1\","        \
	"\"zone\":\"hakata\",\"slots\":" slots "},\"status\":"          \
	"{\"state\":\"" state "\",\"seq\":" seq ",\"cold_left_ms\":0}," \
	"\"holds\":" holds "}"
#define ADDRESS "\"10.0.0.1:8301\""
#define N_NESTED 500000
#define N_MUTATIONS 20000

static const struct {
	const char *body;
	bool accepted;
} bodies[] = {
	{ HEARTBEAT(ADDRESS, "1700000000000", "9", "ready", "4", "[]"), true },
	{ HEARTBEAT(ADDRESS, "0", "9", "draining", "0", "[[0,31,5]]"), true },
	{ HEARTBEAT(ADDRESS, "9007199254740992", "9", "ready", "4", "[]"),
	  true },
	{ HEARTBEAT(ADDRESS, "9007199254740993", "9", "ready", "4", "[]"),
	  false },
	{ HEARTBEAT(ADDRESS, "9223372036854775807", "9", "ready", "4", "[]"),
	  false },
	{ HEARTBEAT(ADDRESS, "9223372036854775808", "9", "ready", "4", "[]"),
	  false },
	{ HEARTBEAT(ADDRESS, "-1", "9", "ready", "4", "[]"), false },
	{ HEARTBEAT(ADDRESS, "1e999", "9", "ready", "4", "[]"), false },
	{ HEARTBEAT(ADDRESS, "1.5", "9", "ready", "4", "[]"), false },
	{ HEARTBEAT(ADDRESS, "\"1\"", "9", "ready", "4", "[]"), false },
	{ HEARTBEAT(ADDRESS, "1", "9", "ready", "9223372036854775807", "[]"),
	  false },
	{ HEARTBEAT(ADDRESS, "1", "9", "ready", "-1", "[]"), false },
	{ HEARTBEAT(ADDRESS, "1", "0", "ready", "4", "[]"), false },
	{ HEARTBEAT(ADDRESS, "1", "100001", "ready", "4", "[]"), false },
	{ HEARTBEAT(ADDRESS, "1", "9", "away", "4", "[]"), false },
	{ HEARTBEAT("7", "1", "9", "ready", "4", "[]"), false },
	{ HEARTBEAT(ADDRESS, "1", "9", "ready", "4", "[[-1,31,5]]"), false },
	{ HEARTBEAT(ADDRESS, "1", "9", "ready", "4", "[[31,0,5]]"), false },
	{ HEARTBEAT(ADDRESS, "1", "9", "ready", "4",
		    "[[0,9223372036854775807,5]]"),
	  false },
	{ HEARTBEAT(ADDRESS, "1", "9", "ready", "4", "[[0,31]]"), false },
	{ HEARTBEAT(ADDRESS, "1", "9", "ready", "4", "{}"), false },
	{ "[]", false },
	{ "", false },
	{ "{", false },
	{ "{}", false },
};

static int read_body(const char *body, size_t len)
{
	g_autoptr(GString) problems = g_string_new(NULL);
	struct announcement a;
	int err = announce_read(&a, "i-1", body, len, problems);

	announce_finish(&a);
	return err;
}

static void test_odd_heartbeats(void)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		int err = read_body(bodies[i].body, strlen(bodies[i].body));

		g_test_message("%s", bodies[i].body);
		g_assert_cmpint(err, ==,
				bodies[i].accepted ? RESULT_OK
						   : RESULT_INVALID);
	}
}

/* The reader must not use the stack for each level. */
static void test_nested_heartbeat(void)
{
	g_autofree char *deep = g_strnfill(N_NESTED, '[');

	g_assert_cmpint(read_body(deep, N_NESTED), ==, RESULT_INVALID);
	g_assert_cmpint(announce_read_start(deep, N_NESTED), ==, -1);
}

/* Whatever the bytes, the process goes on. */
static void test_mutated_heartbeats(void)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(1);
	uint32_t i;

	for (i = 0; i < N_MUTATIONS; i++) {
		g_autofree char *body =
			g_strdup(bodies[g_rand_int_range(rand, 0, 3)].body);
		size_t len = strlen(body);
		int32_t n = g_rand_int_range(rand, 1, 8);

		while (n--)
			body[g_rand_int_range(rand, 0, (gint32)len)] =
				(char)g_rand_int_range(rand, 0, 256);
		read_body(body, len);
		announce_read_start(body, len);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/announce/odd-heartbeats", test_odd_heartbeats);
	g_test_add_func("/announce/nested-heartbeat", test_nested_heartbeat);
	g_test_add_func("/announce/mutated-heartbeats",
			test_mutated_heartbeats);
	return g_test_run();
}

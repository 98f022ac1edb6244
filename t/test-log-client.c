#include <glib.h>

#include "net/clock.h"
#include "net/log-client.h"

/* When the log's client reads, and when it begins anew. */

static uint32_t n_recovers;

static void fake_read(struct log_client *c, int64_t from, int64_t wait_ms)
{
	(void)c;
	(void)from;
	(void)wait_ms;
}

static void fake_recover(struct log_client *c)
{
	(void)c;
	n_recovers++;
}

static const struct log_ops ops = { .read = fake_read,
				    .recover = fake_recover };
static const struct log_handlers handlers;

/* Peers know more while the whole log is on its way, which it tells of soon. */
static void test_recovery_is_not_renewed(void)
{
	struct ev_loop *loop = ev_default_loop(0);
	struct log_client c;

	log_client_init(&c, loop, "127.0.0.1:1", &ops, &handlers, NULL);
	log_client_recover_first(&c);
	ev_run(loop, EVRUN_ONCE);
	g_assert_cmpuint(n_recovers, ==, 1);
	c.read_sent_ms = clock_now_ms() - 60000;
	log_client_renew(&c);
	g_assert_cmpuint(n_recovers, ==, 1);
	log_client_finish(&c);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/log-client/recovery-is-not-renewed",
			test_recovery_is_not_renewed);
	return g_test_run();
}

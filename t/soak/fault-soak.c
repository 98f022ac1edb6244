#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "net/clock.h"
#include "t/soak/callers.h"
#include "t/soak/faults.h"
#include "t/soak/fleet.h"
#include "t/soak/promises.h"

/*
 * Runs a fleet of real processes on loopback under random faults drawn from a
 * seed. Checks from the observations of callers and backend servers that the
 * fleet keeps what it promises (promises.h).
 */

#define STEP_MS 20
#define POLL_MS 300
#define UNPLANNED_PHASE_MS 8000
#define SETTLE_TIMEOUT_MS 30000
/*
 * Keys are served again within 3 s of the loss of a node. Keys whose leases
 * lapsed while the store was down are served again within 2 s of its return.
 * When both faults end together, the loss may not be noticed until a lease of
 * 3 s has expired, so the times add up.
 */
#define SERVED_TIMEOUT_MS 8000
#define DRAIN_MS 6000 /* longer than the time-out of any call */
#define MS_PER_MINUTE 60000

struct soak {
	struct fleet fleet;
	struct callers callers;
	struct promises promises;
	struct faults faults;
	int64_t started_at_ms;
	int64_t polled_at_ms;
	uint32_t n_phases;
	const char *phase;
};

static volatile sig_atomic_t interrupted;

static void on_signal(int signal)
{
	(void)signal;
	interrupted = 1;
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)w;
	(void)events;
	ev_break(loop, EVBREAK_ONE);
}

static void run_for(struct soak *s, int64_t ms)
{
	ev_timer timer;

	ev_timer_init(&timer, on_timer, ms / 1000.0, 0);
	ev_now_update(s->fleet.loop);
	ev_timer_start(s->fleet.loop, &timer);
	ev_run(s->fleet.loop, 0);
	ev_timer_stop(s->fleet.loop, &timer);
}

static void run_step(struct soak *s)
{
	run_for(s, STEP_MS);
	if (clock_now_ms() - s->polled_at_ms < POLL_MS)
		return;
	promises_poll(&s->promises);
	s->polled_at_ms = clock_now_ms();
}

static void wait_settled(struct soak *s)
{
	int64_t began = clock_now_ms();

	while (!interrupted && !fleet_is_settled(&s->fleet)) {
		if (clock_now_ms() - began > SETTLE_TIMEOUT_MS) {
			report_broken(&s->fleet,
				      "not settled %d s after trouble",
				      SETTLE_TIMEOUT_MS / 1000);
			return;
		}
		run_step(s);
	}
}

static void wait_served(struct soak *s)
{
	int64_t began = clock_now_ms();

	while (!interrupted &&
	       !promises_all_keys_served_since(&s->promises, began)) {
		if (clock_now_ms() - began > SERVED_TIMEOUT_MS) {
			report_broken(&s->fleet,
				      "keys served again: some not %d s after "
				      "trouble",
				      SERVED_TIMEOUT_MS / 1000);
			return;
		}
		run_step(s);
	}
}

static void print_phase(struct soak *s)
{
	g_autofree char *what = faults_describe(&s->faults);
	uint64_t *n = s->callers.counts;

	printf("%5.1f s phase %u %s: %s; answered %" G_GUINT64_FORMAT
	       " refused %" G_GUINT64_FORMAT " unknown %" G_GUINT64_FORMAT
	       " failed %" G_GUINT64_FORMAT " left %" G_GUINT64_FORMAT "\n",
	       (clock_now_ms() - s->started_at_ms) / 1000.0, s->n_phases,
	       s->phase, *what ? what : "nothing applied",
	       (guint64)n[CALL_ANSWERED], (guint64)n[CALL_REFUSED],
	       (guint64)n[CALL_UNKNOWN], (guint64)n[CALL_FAILED],
	       (guint64)n[CALL_LEFT]);
	fflush(stdout);
}

static void run_phase(struct soak *s)
{
	bool planned = s->n_phases % 2;

	s->n_phases++;
	s->phase = planned ? "planned" : "trouble";
	faults_clear(&s->faults);
	callers_set_strict(&s->callers, planned);
	if (planned)
		faults_draw_planned(&s->faults);
	else
		faults_draw_unplanned(&s->faults, UNPLANNED_PHASE_MS);
	while (!interrupted && faults_step(&s->faults))
		run_step(s);
	print_phase(s);
	wait_served(s);
	wait_settled(s);
	promises_check_calls(&s->promises);
}

/*
 * Stops sending calls and waits until those in flight have ended and late runs
 * are in the ledgers, then checks all calls a last time.
 */
static void finish_calls(struct soak *s)
{
	g_autofree char *path = NULL;
	int64_t began = clock_now_ms();

	s->callers.no_new_calls = true;
	while (!interrupted && clock_now_ms() - began < DRAIN_MS)
		run_step(s);
	promises_check_calls(&s->promises);
	path = g_build_filename(s->fleet.dir, "calls.txt", NULL);
	promises_write_calls(&s->promises, path);
}

static void run_soak(struct soak *s, uint32_t seed, double minutes)
{
	int64_t end = clock_now_ms() + (int64_t)(minutes * MS_PER_MINUTE);

	s->started_at_ms = clock_now_ms();
	promises_init(&s->promises, &s->fleet, &s->callers);
	faults_init(&s->faults, &s->fleet, seed);
	run_for(s, STEP_MS * 10);
	fleet_publish(&s->fleet);
	wait_settled(s);
	callers_init(&s->callers, &s->fleet, seed);
	wait_served(s);
	while (!interrupted && clock_now_ms() < end)
		run_phase(s);
	finish_calls(s);
}

static void remove_logs(const char *dir)
{
	GDir *d = g_dir_open(dir, 0, NULL);
	const char *name;

	while (d && (name = g_dir_read_name(d))) {
		g_autofree char *path = g_build_filename(dir, name, NULL);

		unlink(path);
	}
	if (d)
		g_dir_close(d);
	rmdir(dir);
}

static int read_options(int argc, char **argv, uint32_t *seed, double *minutes,
			struct fleet *f, bool *keep)
{
	static const struct option options[] = {
		{ "seed", required_argument, NULL, 's' },
		{ "minutes", required_argument, NULL, 'm' },
		{ "port", required_argument, NULL, 'p' },
		{ "bin", required_argument, NULL, 'b' },
		{ "keep", no_argument, NULL, 'k' },
		{ 0 }
	};
	int c;

	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (c == 's')
			*seed = strtoul(optarg, NULL, 10);
		else if (c == 'm')
			*minutes = atof(optarg);
		else if (c == 'p')
			f->base_port = strtoul(optarg, NULL, 10);
		else if (c == 'b')
			f->bin = optarg;
		else if (c == 'k')
			*keep = true;
		else
			return -1;
	}
	return 0;
}

int main(int argc, char **argv)
{
	struct soak s = { 0 };
	struct fleet *f = &s.fleet;
	uint32_t seed = 1;
	double minutes = 1;
	bool keep = false;

	f->bin = "build/bin";
	f->base_port = 61000;
	if (read_options(argc, argv, &seed, &minutes, f, &keep))
		return 2;
	signal(SIGINT, on_signal);
	signal(SIGTERM, on_signal);
	signal(SIGPIPE, SIG_IGN);
	/*
	 * Not the default loop: its SIGCHLD handler reaps every child process,
	 * which process_reap() must do.
	 */
	f->loop = ev_loop_new(EVFLAG_AUTO);
	f->dir = g_dir_make_tmp("fault-soak.XXXXXX", NULL);
	f->grants_by_call = seed % 2;
	if (!fleet_start(f))
		run_soak(&s, seed, minutes);
	else
		f->n_broken++;
	fleet_end(f);
	if (f->n_broken)
		printf("seed %u: broken %u times, logs in %s\n", seed,
		       f->n_broken, f->dir);
	else if (interrupted)
		printf("seed %u: interrupted\n", seed);
	else
		printf("seed %u: ok\n", seed);
	if (!f->n_broken && !keep)
		remove_logs(f->dir);
	return f->n_broken || interrupted;
}

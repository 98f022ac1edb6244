/*
 * A server crashes, and its next life starts at the same address. A heartbeat
 * of the life before arrives late: after the next life has begun to listen and
 * before its first heartbeat. The rule OWNER: no server takes a key with a
 * fencing token that isn't above all with which other servers had it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"

#define N_NODES 9
#define N_SHARDED 8
#define N_LIVES (N_NODES + 1)
/* From the last heartbeat of the first life. */
#define CRASH_MS 50
#define LISTEN_MS 600
#define LATE_MS 950
/* From the start of the next life, a server sends each HEARTBEAT_MS. */
#define FIRST_HEARTBEAT_MS 800
#define WATCH_MS 6000

static const char config[] =
	"{\"version\":7,\"limits\":{\"max_header_bytes\":16384,"
	"\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
	"\"idle_timeout_ms\":15000},\"listeners\":[{\"hostname\":"
	"\"jepu9.example\",\"rules\":[{\"name\":\"credit\",\"kind\":"
	"\"unsafe\",\"goal_ms\":150,\"priority\":1,\"match\":{\"path_prefix\":"
	"\"/credit/\"},\"action\":{\"service\":\"weighbridge\",\"timeout_ms\":"
	"600,\"attempts\":2}}]}],\"clusters\":[{\"name\":\"weighbridge\","
	"\"health_path\":\"/healthz\",\"max_conns\":130,\"protocol\":\"h1\","
	"\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":25.0,\"sharded\":"
	"true,\"warmup_s\":2.0,\"grants\":\"call\"},{\"name\":\"bookings\","
	"\"health_path\":\"/healthz\",\"max_conns\":130,\"protocol\":\"h1\","
	"\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":25.0}]}";

static char addresses[N_NODES][3][64]; /* server, control, ready */
static struct server servers[N_LIVES];
/* The highest fence with which each life of a server had each key. */
static int64_t had[N_LIVES][N_KEYS];
static pthread_mutex_t had_lock = PTHREAD_MUTEX_INITIALIZER;
static int n_stale_calls;
static int64_t n_stale_keys;
static bool trouble;

static void on_grant(struct server *s, int64_t from, int64_t to, int64_t fence,
		     int64_t hold_ms)
{
	int64_t stale = 0, highest = 0, k;
	int life = (int)(s - servers);
	const char *other = "";
	int i;

	pthread_mutex_lock(&had_lock);
	for (k = from; k <= to; k++) {
		bool above = true;

		for (i = 0; i < N_LIVES; i++) {
			if (i == life || fence > had[i][k])
				continue;
			above = false;
			highest = had[i][k];
			other = servers[i].id;
		}
		stale += !above;
		if (fence > had[life][k])
			had[life][k] = fence;
	}
	pthread_mutex_unlock(&had_lock);
	if (life == N_NODES || stale)
		record("server %s is granted keys %lld to %lld under fence "
		       "%lld for %lld ms",
		       s->id, (long long)from, (long long)to, (long long)fence,
		       (long long)hold_ms);
	if (!stale)
		return;
	record("  %lld of them server %s had under fence %lld: NOT ABOVE",
	       (long long)stale, other, (long long)highest);
	n_stale_calls++;
	n_stale_keys += stale;
}

static int n_keys_held(void)
{
	int64_t now = now_ms();
	int n = 0, i, k;

	for (i = 0; i < N_SHARDED; i++)
		for (k = 0; k < N_KEYS; k++)
			n += servers[i].held_until_ms[k] > now;
	return n;
}

static char late_path[128], late_body[1024];

/* The way on which the last heartbeat of the first life is held up. */
static void *deliver_late(void *arg)
{
	struct server *s = arg;
	int status;

	sleep_ms(LATE_MS);
	record("the held up heartbeat of server %s arrives", s->id);
	status = server_send_heartbeat(s, late_path, late_body);
	record("it is answered with %d", status);
	return NULL;
}

/* Heartbeats go straight to the node; the one that is held up goes this way. */
static void send_last_heartbeat(struct server *s)
{
	pthread_t t;

	server_heartbeat(s, late_path, sizeof(late_path), late_body,
			 sizeof(late_body));
	record("server %s sends its last heartbeat, %s", s->id,
	       trouble ? "which is held up on the way" : "which arrives");
	if (!trouble)
		server_send_heartbeat(s, late_path, late_body);
	else if (pthread_create(&t, NULL, deliver_late, s))
		not_run("no thread can be started");
}

static void set_up(struct server *s, int i, const char *service,
		   const char *zone)
{
	s->address = addresses[i][0];
	s->control = addresses[i][1];
	s->service = service;
	s->zone = zone;
	s->sharded = i < N_SHARDED;
	s->work_ms = 48;
	s->on_grant = on_grant;
}

int main(void)
{
	static const char *const zones[N_NODES] = {
		"tipton", "oldbury", "dudley-port",
		"tipton", "oldbury", "dudley-port",
		"tipton", "oldbury", "dudley-port",
	};
	const char *net = need_env("CASE_NET");
	const char *store = need_env("CASE_STORE");
	const char *ready[N_NODES];
	struct server *first = &servers[0];
	struct server *next = &servers[N_NODES];
	int64_t until_ms, at_ms, seq;
	int i;

	trouble = strcmp(need_env("CASE_TROUBLE"), "0") != 0;
	record_open(need_env("CASE_RECORD"));
	record("TROUBLE=%d", trouble);
	for (i = 0; i < N_NODES; i++) {
		snprintf(addresses[i][0], 64, "%s.%d:8301", net, 10 + i);
		snprintf(addresses[i][1], 64, "%s.%d:8306", net, 10 + i);
		snprintf(addresses[i][2], 64, "%s.%d:8302", net, 10 + i);
		ready[i] = addresses[i][2];
		set_up(&servers[i], i,
		       i < N_SHARDED ? "weighbridge" : "bookings", zones[i]);
		snprintf(servers[i].id, sizeof(servers[i].id), "i-%08x",
			 0x7f3a9100 + i);
		server_start(&servers[i]);
	}
	publish_and_wait(store, config, ready, N_NODES);
	until_ms = now_ms() + 40000;
	while (n_keys_held() < N_KEYS) {
		if (now_ms() > until_ms)
			not_run("only %d keys are held", n_keys_held());
		sleep_ms(100);
	}
	record("all keys are held");
	sleep_ms(8000);
	if (n_keys_held() < N_KEYS)
		not_run("only %d keys are held", n_keys_held());
	if (n_stale_calls)
		not_run("fences did not rise before the disruption");

	/* One heartbeat_ms after an ordinary heartbeat comes the last one. */
	seq = first->seq;
	while (first->seq == seq)
		sleep_ms(1);
	first->silent = true;
	sleep_ms(HEARTBEAT_MS);
	send_last_heartbeat(first);
	at_ms = now_ms();
	sleep_until_ms(at_ms + CRASH_MS);
	server_end(first);
	sleep_until_ms(at_ms + LISTEN_MS);
	set_up(next, 0, "weighbridge", zones[0]);
	snprintf(next->id, sizeof(next->id), "i-02d9e6b4");
	next->first_heartbeat_ms = FIRST_HEARTBEAT_MS;
	server_start(next);
	sleep_ms(WATCH_MS);
	record("%d grants of %lld keys under a fence that was not above",
	       n_stale_calls, (long long)n_stale_keys);
	record(n_stale_calls ? "OWNER is broken" : "OWNER holds");
	return n_stale_calls ? CASE_BROKEN : CASE_HELD;
}

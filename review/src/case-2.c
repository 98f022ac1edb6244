/*
 * Servers refuse a share of the bookings, one of two servers is cold, and a few
 * answers of the other one come once more, at the point where the next answer
 * on the connection is expected. The rule REFUSED: a booking that is answered
 * 429 or 503 (or 408, 421) has not run, and never will.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"

#define N_NODES 3
#define N_SERVERS 2
#define N_SPELLS 13
/* No spell begins later. */
#define LAST_SPELL_MS 105000
#define PAUSE_MS 2500
#define SPELL_MS 5000
#define COLD_MS 3000
#define REFUSE_PER_MILLE 550
#define COPY_PER_MILLE 26
#define WORK_MS 30
#define DEADLINE_MS 2000
#define N_CLIENTS 18
#define RETRY_AFTER_MS 200
#define MAX_BOOKINGS 100000

static const char config[] =
	"{\"version\":7,\"limits\":{\"max_header_bytes\":16384,"
	"\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
	"\"idle_timeout_ms\":15000},\"listeners\":[{\"hostname\":"
	"\"jepu9.example\",\"rules\":[{\"name\":\"book\",\"kind\":\"unsafe\","
	"\"goal_ms\":500,\"priority\":1,\"match\":{\"path_prefix\":\"/book/\"},"
	"\"action\":{\"service\":\"bookings\",\"timeout_ms\":1000,"
	"\"attempts\":2}}]}],\"clusters\":[{\"name\":\"bookings\","
	"\"health_path\":\"/healthz\",\"max_conns\":130,\"protocol\":\"h1\","
	"\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":25.0},{\"name\":"
	"\"archive\",\"health_path\":\"/healthz\",\"max_conns\":130,"
	"\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,"
	"\"cold_per_s\":25.0}]}";

struct booking {
	int64_t sent_ms, refused_ms, copy_ms, run_ms, answered_ms;
	struct server *refused_by, *run_by;
	int n_runs, status;
};

static char addresses[N_NODES][4][64]; /* server, control, ready, clients */
static struct server servers[N_NODES];
static struct booking bookings[MAX_BOOKINGS];
static volatile bool stop_clients;
static int n_sent, n_ok, n_promised, n_other;
static int n_answers, n_copies, n_refusals_copied;

static struct booking *booking_of(const char *id)
{
	int n = atoi(id + strlen("booking-"));

	return &bookings[n >= 0 && n < MAX_BOOKINGS ? n : 0];
}

static void on_refused(struct server *s, const char *id)
{
	struct booking *b = booking_of(id);

	b->refused_ms = now_ms();
	b->refused_by = s;
	if (s->copy_per_mille)
		__sync_fetch_and_add(&n_answers, 1);
}

static void on_run(struct server *s, const char *id, const char *path)
{
	struct booking *b = booking_of(id);

	(void)path;
	b->run_ms = now_ms();
	b->run_by = s;
	__sync_fetch_and_add(&b->n_runs, 1);
	if (s->copy_per_mille)
		__sync_fetch_and_add(&n_answers, 1);
}

static void on_copy(struct server *s, const char *answer)
{
	const char *id = strstr(answer, "X-Mesh-Request-Id: ");

	(void)s;
	__sync_fetch_and_add(&n_copies, 1);
	if (!id || !strstr(answer, "X-Mesh-Not-Run"))
		return;
	__sync_fetch_and_add(&n_refusals_copied, 1);
	booking_of(id + strlen("X-Mesh-Request-Id: "))->copy_ms = now_ms();
}

static bool promises_not_run(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

static void *play_client(void *arg)
{
	const char *address = addresses[(intptr_t)arg % N_NODES][3];
	char headers[256], path[64];

	while (!stop_clients) {
		int n = __sync_fetch_and_add(&n_sent, 1);
		struct booking *b = &bookings[n];

		if (n >= MAX_BOOKINGS)
			break;
		snprintf(path, sizeof(path), "/book/%d", n);
		snprintf(headers, sizeof(headers),
			 "Host: jepu9.example\r\nX-Mesh-Request-Id: "
			 "booking-%d\r\nX-Mesh-Deadline-Ms: %d\r\n",
			 n, DEADLINE_MS);
		b->sent_ms = now_ms();
		b->status = call(address, "POST", path, headers, "a deposit",
				 DEADLINE_MS + 500, NULL);
		b->answered_ms = now_ms();
		if (b->status == 200) {
			__sync_fetch_and_add(&n_ok, 1);
			sleep_ms(60);
		} else {
			__sync_fetch_and_add(promises_not_run(b->status)
						     ? &n_promised
						     : &n_other,
					     1);
			sleep_ms(RETRY_AFTER_MS);
		}
	}
	return NULL;
}

static void play_spell(bool trouble)
{
	int i;

	record("for %d ms the servers refuse %d of 1,000 bookings; server %s "
	       "is cold for %d ms",
	       SPELL_MS, REFUSE_PER_MILLE, servers[1].id, COLD_MS);
	for (i = 0; i < N_SERVERS; i++)
		servers[i].refuse_per_mille = REFUSE_PER_MILLE;
	servers[1].cold_until_ms = now_ms() + COLD_MS;
	if (trouble)
		servers[0].copy_per_mille = COPY_PER_MILLE;
	sleep_ms(SPELL_MS);
	servers[0].copy_per_mille = 0;
	for (i = 0; i < N_SERVERS; i++)
		servers[i].refuse_per_mille = 0;
	record("so far %d bookings were sent, %d answered with 200, %d with a "
	       "promise not to run, %d otherwise",
	       n_sent, n_ok, n_promised, n_other);
}

static void set_up(int i, const char *net, const char *service,
		   const char *zone)
{
	struct server *s = &servers[i];

	snprintf(addresses[i][0], 64, "%s.%d:8301", net, 10 + i);
	snprintf(addresses[i][1], 64, "%s.%d:8306", net, 10 + i);
	snprintf(addresses[i][2], 64, "%s.%d:8302", net, 10 + i);
	snprintf(addresses[i][3], 64, "%s.%d:8304", net, 10 + i);
	s->address = addresses[i][0];
	s->control = addresses[i][1];
	s->service = service;
	s->zone = zone;
	s->work_ms = WORK_MS;
	s->on_refused = on_refused;
	s->on_run = on_run;
	s->on_copy = on_copy;
	snprintf(s->id, sizeof(s->id), "i-%08x", 0x7f3a9100 + i);
	server_start(s);
}

/* Records the bookings that break the rule, and returns their number. */
static int judge(void)
{
	int n_broken = 0, i;

	for (i = 0; i < n_sent && i < MAX_BOOKINGS; i++) {
		const struct booking *b = &bookings[i];

		if (!promises_not_run(b->status) || !b->n_runs)
			continue;
		n_broken++;
		record("booking-%d, sent at %.3f s: answered with %d at %.3f "
		       "s, but run by server %s from %.3f s on",
		       i, b->sent_ms / 1000.0, b->status,
		       b->answered_ms / 1000.0, b->run_by->id,
		       b->run_ms / 1000.0);
		if (b->copy_ms)
			record("  server %s had refused it at %.3f s, and sent "
			       "that refusal once more at %.3f s",
			       b->refused_by->id, b->refused_ms / 1000.0,
			       b->copy_ms / 1000.0);
	}
	return n_broken;
}

int main(void)
{
	const char *net = need_env("CASE_NET");
	const char *store = need_env("CASE_STORE");
	bool trouble = strcmp(need_env("CASE_TROUBLE"), "0") != 0;
	const char *ready[N_NODES];
	pthread_t clients[N_CLIENTS];
	int i, n_broken;

	record_open(need_env("CASE_RECORD"));
	record("TROUBLE=%d", trouble);
	set_up(0, net, "bookings", "hakata");
	set_up(1, net, "bookings", "tenjin");
	set_up(2, net, "archive", "kurume");
	for (i = 0; i < N_NODES; i++)
		ready[i] = addresses[i][2];
	publish_and_wait(store, config, ready, N_NODES);
	sleep_ms(5000);
	for (i = 0; i < N_CLIENTS; i++)
		if (pthread_create(&clients[i], NULL, play_client,
				   (void *)(intptr_t)i))
			not_run("no thread can be started");
	for (i = 0; i < N_SPELLS && now_ms() < LAST_SPELL_MS; i++) {
		sleep_ms(PAUSE_MS);
		play_spell(trouble);
	}
	stop_clients = true;
	for (i = 0; i < N_CLIENTS; i++)
		pthread_join(clients[i], NULL);
	sleep_ms(1000);
	record("%d of %d answers of server %s came once more, %d of them "
	       "refusals",
	       n_copies, n_answers, servers[0].id, n_refusals_copied);
	n_broken = judge();
	record("%d bookings were answered with a promise not to run, and were "
	       "run",
	       n_broken);
	if (!n_broken && n_ok < n_sent / 2)
		not_run("only %d of %d bookings were answered", n_ok, n_sent);
	record(n_broken ? "REFUSED is broken" : "REFUSED holds");
	return n_broken ? CASE_BROKEN : CASE_HELD;
}

/*
 * A server leaves as the platform's pages tell of some: it deregisters first,
 * serves on for a while, and ends. A heartbeat that it had sent before arrives
 * late, after the acknowledged deregistration. The rule DRAIN: no request
 * reaches a server later than drain_ms after a machine in touch acknowledged
 * that the server is gone.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"

#define N_NODES 5
#define DRAIN_MS 2000
/* From the sending of the last heartbeat. */
#define DEREGISTER_MS 500
#define LATE_MS 2000
/* How long the server serves on after the acknowledgement. */
#define SERVE_ON_MS 8000
#define WORK_MS 160
#define DEADLINE_MS 2000
#define N_CLIENTS 10
#define MAX_BOOKINGS 4000

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

static char addresses[N_NODES][4][64]; /* server, control, ready, clients */
static struct server servers[N_NODES];
static volatile int64_t acked_at_ms; /* the deregistration */
static volatile bool stop_clients;
static int n_late, n_sent, n_ok, n_before_drain;
/* Bookings that the leaving server began, and what their clients got. */
static int ran_at_leaver[MAX_BOOKINGS];
static int n_lost;
static char late_path[128], late_body[1024];

static void on_run(struct server *s, const char *id, const char *path)
{
	int64_t since_ms = now_ms() - acked_at_ms;
	int n = atoi(id + strlen("booking-"));

	(void)path;
	if (s != &servers[0])
		return;
	if (n >= 0 && n < MAX_BOOKINGS)
		ran_at_leaver[n] = 1;
	if (!acked_at_ms)
		return;
	if (since_ms <= DRAIN_MS) {
		__sync_fetch_and_add(&n_before_drain, 1);
		return;
	}
	__sync_fetch_and_add(&n_late, 1);
	record("server %s runs %s, %lld ms after its leaving was acknowledged",
	       s->id, id, (long long)since_ms);
}

static void *play_client(void *arg)
{
	int client = (int)(intptr_t)arg;
	const char *address = addresses[client % N_NODES][3];
	char headers[256], path[64];
	int n, status;

	while (!stop_clients) {
		n = __sync_fetch_and_add(&n_sent, 1);
		snprintf(path, sizeof(path), "/book/%d", n);
		snprintf(headers, sizeof(headers),
			 "Host: jepu9.example\r\nX-Mesh-Request-Id: "
			 "booking-%d\r\nX-Mesh-Deadline-Ms: %d\r\n",
			 n, DEADLINE_MS);
		status = call(address, "POST", path, headers, "a deposit",
			      DEADLINE_MS + 500, NULL);
		if (status == 200) {
			__sync_fetch_and_add(&n_ok, 1);
		} else {
			bool ran = n < MAX_BOOKINGS && ran_at_leaver[n];

			record("booking-%d gets %d%s", n, status,
			       ran ? ", and the leaving server had begun it"
				   : "");
			if (ran)
				__sync_fetch_and_add(&n_lost, 1);
		}
		sleep_ms(40);
	}
	return NULL;
}

/* The way on which the last heartbeat is held up. */
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

static void leave(struct server *s, bool trouble)
{
	int64_t at_ms, seq = s->seq;
	char path[128];
	pthread_t t;
	int status;

	while (s->seq == seq)
		sleep_ms(1);
	s->silent = true;
	sleep_ms(HEARTBEAT_MS);
	server_heartbeat(s, late_path, sizeof(late_path), late_body,
			 sizeof(late_body));
	at_ms = now_ms();
	record("server %s sends its last heartbeat, %s", s->id,
	       trouble ? "which is held up on the way" : "which arrives");
	if (!trouble)
		server_send_heartbeat(s, late_path, late_body);
	else if (pthread_create(&t, NULL, deliver_late, s))
		not_run("no thread can be started");
	sleep_until_ms(at_ms + DEREGISTER_MS);
	snprintf(path, sizeof(path), "/-/instances/%s/deregister", s->id);
	status = call(s->control, "POST", path, "Host: node\r\n", "", 1000,
		      NULL);
	record("server %s deregisters, answered with %d", s->id, status);
	if (status != 200)
		not_run("the deregistration is not acknowledged");
	acked_at_ms = now_ms();
	sleep_ms(SERVE_ON_MS);
	server_end(s);
}

int main(void)
{
	static const char *const services[N_NODES] = {
		"bookings", "bookings", "bookings", "bookings", "archive",
	};
	static const char *const zones[N_NODES] = { "hakata", "tenjin",
						    "kurume", "kitakyu",
						    "hakata" };
	const char *net = need_env("CASE_NET");
	const char *store = need_env("CASE_STORE");
	bool trouble = strcmp(need_env("CASE_TROUBLE"), "0") != 0;
	const char *ready[N_NODES];
	pthread_t clients[N_CLIENTS];
	int i;

	record_open(need_env("CASE_RECORD"));
	record("TROUBLE=%d", trouble);
	for (i = 0; i < N_NODES; i++) {
		struct server *s = &servers[i];

		snprintf(addresses[i][0], 64, "%s.%d:8301", net, 10 + i);
		snprintf(addresses[i][1], 64, "%s.%d:8306", net, 10 + i);
		snprintf(addresses[i][2], 64, "%s.%d:8302", net, 10 + i);
		snprintf(addresses[i][3], 64, "%s.%d:8304", net, 10 + i);
		ready[i] = addresses[i][2];
		s->address = addresses[i][0];
		s->control = addresses[i][1];
		s->service = services[i];
		s->zone = zones[i];
		s->work_ms = WORK_MS;
		s->on_run = on_run;
		snprintf(s->id, sizeof(s->id), "i-%08x", 0x7f3a9100 + i);
		server_start(s);
	}
	publish_and_wait(store, config, ready, N_NODES);
	sleep_ms(5000);
	for (i = 0; i < N_CLIENTS; i++)
		if (pthread_create(&clients[i], NULL, play_client,
				   (void *)(intptr_t)i))
			not_run("no thread can be started");
	sleep_ms(4000);
	for (i = 0; i < MAX_BOOKINGS && !ran_at_leaver[i];)
		i++;
	if (i == MAX_BOOKINGS)
		not_run("the server got no booking before it left");
	leave(&servers[0], trouble);
	sleep_ms(2000);
	stop_clients = true;
	for (i = 0; i < N_CLIENTS; i++)
		pthread_join(clients[i], NULL);
	record("%d bookings sent, %d answered with 200", n_sent, n_ok);
	record("%d reached the leaving server up to %d ms after the "
	       "acknowledgement, %d later",
	       n_before_drain, DRAIN_MS, n_late);
	record("%d that the leaving server had begun got no good answer",
	       n_lost);
	if (!n_late && n_ok < n_sent / 2)
		not_run("only %d of %d bookings were answered", n_ok, n_sent);
	record(n_late ? "DRAIN is broken" : "DRAIN holds");
	return n_late ? CASE_BROKEN : CASE_HELD;
}

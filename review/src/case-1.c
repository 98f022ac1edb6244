/*
 * A client sends a lookup and, before it is answered, a second lookup with a
 * body, over one connection: the head at once, the body a moment later. The
 * body is the text of a third request, which the client doesn't send. The rule
 * UNASKED: no server runs a request whose id no client sent, or one that was
 * smuggled inside another request.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common.h"

#define N_NODES 4
#define N_CLIENTS 20
/* The lookups of the archive take 480 ms on the mean. */
#define WORK_MS 480
/* Between the head of the second lookup and its body. */
#define BODY_AFTER_MS 100
#define DEADLINE_MS 5000
/* The case must end within 120 s, also if nothing is answered. */
#define LIMIT_MS 90000

static const char config[] =
	"{\"version\":7,\"limits\":{\"max_header_bytes\":16384,"
	"\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
	"\"idle_timeout_ms\":15000},\"listeners\":[{\"hostname\":"
	"\"hulo84.example\",\"rules\":[{\"name\":\"browse\",\"kind\":\"safe\","
	"\"goal_ms\":1200,\"priority\":2,\"match\":{\"path_prefix\":"
	"\"/browse/\"},\"action\":{\"service\":\"archive\",\"timeout_ms\":2500,"
	"\"attempts\":2}}]}],\"clusters\":[{\"name\":\"archive\","
	"\"health_path\":\"/healthz\",\"max_conns\":130,\"protocol\":\"h1\","
	"\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":25.0},{\"name\":"
	"\"records\",\"health_path\":\"/healthz\",\"max_conns\":130,"
	"\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,"
	"\"cold_per_s\":25.0}]}";

static char addresses[N_NODES][3][64]; /* server, control, clients */
static char ready_addresses[N_NODES][64];
static int n_unasked;

static void on_run(struct server *s, const char *id, const char *path)
{
	bool unasked = !strncmp(id, "inner-", 6);

	record("server %s runs request %s (%s)%s", s->id, id, path,
	       unasked ? ", WHICH NO CLIENT SENT" : "");
	if (unasked)
		__sync_fetch_and_add(&n_unasked, 1);
}

/* The text of the third request, or a plain text of the same length. */
static void make_body(char *out, size_t size, int client, bool trouble)
{
	snprintf(out, size,
		 "GET /browse/inner-%d HTTP/1.1\r\nHost: hulo84.example\r\n"
		 "X-Mesh-Request-Id: inner-%d\r\nX-Mesh-Deadline-Ms: %d\r\n"
		 "\r\n",
		 client, client, DEADLINE_MS);
	if (!trouble)
		memset(out, 'x', strlen(out));
}

static int play_client(int client, const char *address, bool trouble)
{
	struct conn *c = calloc(1, sizeof(*c));
	struct message m;
	char body[512], out[2048];
	int n_answered = 0;
	int n;

	make_body(body, sizeof(body), client, trouble);
	n = snprintf(out, sizeof(out),
		     "GET /browse/first-%d HTTP/1.1\r\nHost: hulo84.example\r\n"
		     "X-Mesh-Request-Id: first-%d\r\nX-Mesh-Deadline-Ms: %d\r\n"
		     "\r\n"
		     "POST /browse/second-%d HTTP/1.1\r\n"
		     "Host: hulo84.example\r\nX-Mesh-Request-Id: second-%d\r\n"
		     "X-Mesh-Deadline-Ms: %d\r\nContent-Type: text/plain\r\n"
		     "Content-Length: %zu\r\n\r\n",
		     client, client, DEADLINE_MS, client, client, DEADLINE_MS,
		     strlen(body));
	c->fd = dial(address, 1000);
	if (c->fd < 0 || !send_all(c->fd, out, n))
		not_run("client %d cannot send", client);
	record("client %d sends requests first-%d and second-%d, the latter "
	       "without its body yet",
	       client, client, client);
	sleep_ms(BODY_AFTER_MS);
	if (!send_all(c->fd, body, strlen(body)))
		record("client %d cannot send the body", client);
	record("client %d sends the %zu bytes of the body of second-%d, %s",
	       client, strlen(body), client,
	       trouble ? "the text of another request" : "a plain text");
	while (n_answered < 2 && read_message(c, &m, true, DEADLINE_MS)) {
		char id[128] = "-";

		header_of(&m, "X-Mesh-Request-Id", id, sizeof(id));
		record("client %d gets status %d for %s", client, status_of(&m),
		       id);
		free(m.body);
		n_answered++;
	}
	close(c->fd);
	free(c);
	return n_answered;
}

int main(void)
{
	static const char *const services[N_NODES] = { "records", "archive",
						       "records", "archive" };
	static const char *const zones[N_NODES] = { "hakata", "hakata",
						    "tenjin", "tenjin" };
	static struct server servers[N_NODES];
	const char *net = need_env("CASE_NET");
	const char *store = need_env("CASE_STORE");
	bool trouble = strcmp(need_env("CASE_TROUBLE"), "0") != 0;
	const char *ready[N_NODES];
	int n_answered = 0;
	int i;

	record_open(need_env("CASE_RECORD"));
	record("TROUBLE=%d", trouble);
	for (i = 0; i < N_NODES; i++) {
		struct server *s = &servers[i];

		snprintf(addresses[i][0], 64, "%s.%d:8301", net, 10 + i);
		snprintf(addresses[i][1], 64, "%s.%d:8306", net, 10 + i);
		snprintf(addresses[i][2], 64, "%s.%d:8304", net, 10 + i);
		snprintf(ready_addresses[i], 64, "%s.%d:8302", net, 10 + i);
		ready[i] = ready_addresses[i];
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
	/* All servers have joined; the machines are in touch. */
	sleep_ms(5000);
	for (i = 0; i < N_CLIENTS && now_ms() < LIMIT_MS; i++)
		n_answered +=
			play_client(i, addresses[i % N_NODES][2], trouble);
	sleep_ms(1000);
	record("%d requests sent, %d answered; %d requests run that no client "
	       "sent",
	       2 * N_CLIENTS, n_answered, n_unasked);
	if (!n_unasked && n_answered < N_CLIENTS)
		not_run("only %d of %d requests were answered", n_answered,
			2 * N_CLIENTS);
	record(n_unasked ? "UNASKED is broken" : "UNASKED holds");
	return n_unasked ? CASE_BROKEN : CASE_HELD;
}

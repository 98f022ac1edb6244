#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "builtin/client.h"
#include "util/result.h"

/* What the subcommands believe of a node's answers that break off. */

#define ANSWER                                           \
	"HTTP/1.1 200 OK\r\nNext: 7\r\nContent-Length: " \
	"20\r\n\r\n{\"outcome\":\"stored\"}"

/* A node that sends the first bytes of an answer and ends the connection. */
struct broken_node {
	int fd;
	char address[32];
	size_t n_bytes;
};

static void listen_on_any_port(struct broken_node *n)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);

	n->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(n->fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(n->fd, 8), ==, 0);
	getsockname(n->fd, (struct sockaddr *)&sa, &len);
	g_snprintf(n->address, sizeof(n->address), "127.0.0.1:%d",
		   ntohs(sa.sin_port));
}

/* Answers one request. */
static void *serve(void *user)
{
	const struct broken_node *n = user;
	int fd = accept(n->fd, NULL, NULL);
	char bytes[1024];
	size_t len = 0;
	ssize_t got;

	do {
		got = recv(fd, bytes + len, sizeof(bytes) - 1 - len, 0);
		len += (size_t)MAX(got, 0);
		bytes[len] = '\0';
	} while (got > 0 && !strstr(bytes, "\r\n\r\n"));
	if (n->n_bytes)
		g_assert_cmpint(send(fd, ANSWER, n->n_bytes, MSG_NOSIGNAL), ==,
				n->n_bytes);
	close(fd);
	return NULL;
}

static int request(struct broken_node *n, size_t n_bytes,
		   struct client_answer *a)
{
	GThread *thread;
	int err;

	n->n_bytes = n_bytes;
	thread = g_thread_new("node", serve, n);
	err = client_request(n->address, "/status", NULL, a);
	g_thread_join(thread);
	return err;
}

static void test_broken_answers_are_not_believed(void)
{
	size_t whole = strlen(ANSWER);
	struct client_answer a;
	struct broken_node n;
	size_t i;

	listen_on_any_port(&n);
	for (i = 0; i < whole; i++) {
		g_test_message("the first %zu bytes", i);
		g_assert_cmpint(request(&n, i, &a), ==, RESULT_UNREACHABLE);
	}
	g_assert_cmpint(request(&n, whole, &a), ==, RESULT_OK);
	g_assert_cmpint(a.status, ==, 200);
	g_assert_cmpint(a.next, ==, 7);
	g_assert_cmpstr(a.body->str, ==, "{\"outcome\":\"stored\"}");
	client_answer_finish(&a);
	close(n.fd);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/client/broken-answers-are-not-believed",
			test_broken_answers_are_not_believed);
	return g_test_run();
}

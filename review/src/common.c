#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "common.h"

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t steady_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t now_ms(void)
{
	static int64_t start_ms;

	if (!start_ms)
		start_ms = steady_ms();
	return steady_ms() - start_ms;
}

void sleep_ms(int64_t ms)
{
	if (ms > 0)
		usleep((useconds_t)ms * 1000);
}

void sleep_until_ms(int64_t at_ms)
{
	sleep_ms(at_ms - now_ms());
}

void record_open(const char *path)
{
	record_file = fopen(path, "w");
	if (!record_file)
		not_run("cannot write %s", path);
	setvbuf(record_file, NULL, _IOLBF, 0);
	now_ms();
}

void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%7.3f s  ", (double)now_ms() / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	pthread_mutex_unlock(&record_lock);
}

void not_run(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fprintf(stderr, "the case could not run: ");
	vfprintf(stderr, format, args);
	fputc('\n', stderr);
	va_end(args);
	exit(CASE_NOT_RUN);
}

const char *need_env(const char *name)
{
	const char *value = getenv(name);

	if (!value || !*value)
		not_run("%s is not set", name);
	return value;
}

static bool parse_address(const char *address, struct sockaddr_in *out)
{
	char ip[64];
	const char *colon = strrchr(address, ':');

	if (!colon || colon - address >= (long)sizeof(ip))
		return false;
	memcpy(ip, address, colon - address);
	ip[colon - address] = '\0';
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons(atoi(colon + 1));
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

int dial(const char *address, int64_t timeout_ms)
{
	struct timeval tv = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
	struct sockaddr_in to;
	int fd, on = 1;

	if (!parse_address(address, &to))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to))) {
		close(fd);
		return -1;
	}
	return fd;
}

int listen_at(const char *address)
{
	struct sockaddr_in at;
	int fd, on = 1;

	if (!parse_address(address, &at))
		not_run("bad address %s", address);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) || listen(fd, 512))
		not_run("cannot listen at %s: %s", address, strerror(errno));
	return fd;
}

bool send_all(int fd, const void *data, size_t len)
{
	const char *p = data;

	while (len) {
		ssize_t n = send(fd, p, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		p += n;
		len -= n;
	}
	return true;
}

/* Reads more bytes. Returns 1, 0 at the end of the connection, -1 if none. */
static int read_more(struct conn *c, int64_t until_ms)
{
	struct pollfd p = { .fd = c->fd, .events = POLLIN };
	int64_t left = until_ms - now_ms();
	ssize_t n;

	if (c->len == sizeof(c->bytes) || left <= 0 ||
	    poll(&p, 1, (int)left) <= 0)
		return -1;
	n = recv(c->fd, c->bytes + c->len, sizeof(c->bytes) - c->len, 0);
	if (n <= 0)
		return n ? -1 : 0;
	c->len += n;
	return 1;
}

static void use_bytes(struct conn *c, size_t n)
{
	memmove(c->bytes, c->bytes + n, c->len - n);
	c->len -= n;
}

static void add_body(struct message *m, const char *data, size_t len)
{
	m->body = realloc(m->body, m->body_len + len + 1);
	memcpy(m->body + m->body_len, data, len);
	m->body_len += len;
	m->body[m->body_len] = '\0';
}

static bool read_bytes(struct conn *c, struct message *m, size_t n,
		       int64_t until_ms)
{
	while (n) {
		size_t part = c->len < n ? c->len : n;

		if (!part) {
			if (read_more(c, until_ms) <= 0)
				return false;
			continue;
		}
		add_body(m, c->bytes, part);
		use_bytes(c, part);
		n -= part;
	}
	return true;
}

static bool read_line(struct conn *c, char *out, size_t size, int64_t until_ms)
{
	char *end;

	while (!(end = memmem(c->bytes, c->len, "\r\n", 2)))
		if (read_more(c, until_ms) <= 0)
			return false;
	if ((size_t)(end - c->bytes) >= size)
		return false;
	memcpy(out, c->bytes, end - c->bytes);
	out[end - c->bytes] = '\0';
	use_bytes(c, end - c->bytes + 2);
	return true;
}

static bool read_chunks(struct conn *c, struct message *m, int64_t until_ms)
{
	char line[256];

	for (;;) {
		size_t n;

		if (!read_line(c, line, sizeof(line), until_ms))
			return false;
		n = strtoul(line, NULL, 16);
		if (!n)
			break;
		if (!read_bytes(c, m, n, until_ms) ||
		    !read_line(c, line, sizeof(line), until_ms))
			return false;
	}
	do
		if (!read_line(c, line, sizeof(line), until_ms))
			return false;
	while (line[0]);
	return true;
}

bool header_of(const struct message *m, const char *name, char *out,
	       size_t size)
{
	const char *line = strstr(m->head, "\r\n");
	size_t len = strlen(name);

	for (; line && line[2] != '\r'; line = strstr(line + 2, "\r\n")) {
		const char *v = line + 2 + len;
		size_t n;

		if (strncasecmp(line + 2, name, len) || *v != ':')
			continue;
		v += 1 + strspn(v + 1, " \t");
		n = strcspn(v, "\r\n");
		if (n >= size)
			n = size - 1;
		memcpy(out, v, n);
		out[n] = '\0';
		return true;
	}
	return false;
}

int status_of(const struct message *m)
{
	const char *space = strchr(m->head, ' ');

	return space ? atoi(space + 1) : -1;
}

bool read_message(struct conn *c, struct message *m, bool is_answer,
		  int64_t timeout_ms)
{
	int64_t until_ms = now_ms() + timeout_ms;
	char value[64];
	char *end;
	int more;

	memset(m, 0, sizeof(*m));
	while (!(end = memmem(c->bytes, c->len, "\r\n\r\n", 4)))
		if (read_more(c, until_ms) <= 0)
			return false;
	end += 4;
	if ((size_t)(end - c->bytes) >= sizeof(m->head))
		return false;
	memcpy(m->head, c->bytes, end - c->bytes);
	use_bytes(c, end - c->bytes);
	add_body(m, "", 0);
	if (header_of(m, "Transfer-Encoding", value, sizeof(value)))
		return read_chunks(c, m, until_ms);
	if (header_of(m, "Content-Length", value, sizeof(value)))
		return read_bytes(c, m, strtoul(value, NULL, 10), until_ms);
	while (is_answer) {
		add_body(m, c->bytes, c->len);
		c->len = 0;
		more = read_more(c, until_ms);
		if (more <= 0)
			return !more;
	}
	return true;
}

int call(const char *address, const char *method, const char *path,
	 const char *headers, const char *body, int64_t timeout_ms,
	 struct message *answer)
{
	struct conn *c = calloc(1, sizeof(*c));
	struct message *m = calloc(1, sizeof(*m));
	char head[4096];
	int status = -1;
	int n = snprintf(head, sizeof(head),
			 "%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n",
			 method, path, headers, strlen(body));

	c->fd = dial(address, timeout_ms);
	if (c->fd >= 0 && send_all(c->fd, head, n) &&
	    send_all(c->fd, body, strlen(body)) &&
	    read_message(c, m, true, timeout_ms))
		status = status_of(m);
	if (c->fd >= 0)
		close(c->fd);
	if (answer) {
		*answer = *m;
	} else {
		free(m->body);
	}
	free(m);
	free(c);
	return status;
}

/* The server stand-in. */

struct server_conn {
	struct server *s;
	int fd;
};

/* The last answer on the connection that this thread serves. */
static __thread char last_answer[4096];
static __thread int last_answer_len;
static __thread bool send_again;

static bool answer(int fd, int status, const char *text, const char *headers,
		   const char *body)
{
	last_answer_len =
		snprintf(last_answer, sizeof(last_answer),
			 "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n\r\n%s",
			 status, text, headers, strlen(body), body);

	return send_all(fd, last_answer, last_answer_len);
}

/* True for per_mille of 1,000 calls; the order is the same in each run. */
static bool draw(int per_mille)
{
	static unsigned int state = 47;
	static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	int n;

	pthread_mutex_lock(&lock);
	n = rand_r(&state) % 1000;
	pthread_mutex_unlock(&lock);
	return n < per_mille;
}

static int64_t cold_left_ms(const struct server *s)
{
	int64_t left_ms = s->cold_until_ms - now_ms();

	return left_ms > 0 ? left_ms : 0;
}

static int64_t number_in(const char *json, const char *name)
{
	char quoted[64];
	const char *at;

	snprintf(quoted, sizeof(quoted), "\"%s\":", name);
	at = strstr(json, quoted);
	return at ? atoll(at + strlen(quoted)) : -1;
}

static bool on_grant_call(struct server *s, int fd, const struct message *m)
{
	int64_t from = number_in(m->body, "from");
	int64_t to = number_in(m->body, "target_version");
	int64_t fence = number_in(m->body, "fence");
	int64_t hold = number_in(m->body, "hold_ms");
	bool fenced = false;
	int64_t k;

	if (from < 0 || to < from || to >= N_KEYS || fence < 0 || hold < 0)
		return answer(fd, 400, "Bad Request", "", "");
	pthread_mutex_lock(&s->lock);
	for (k = from; k <= to; k++)
		fenced = fenced || s->fence[k] > fence;
	for (k = from; k <= to && !fenced; k++) {
		s->fence[k] = fence;
		s->held_until_ms[k] = now_ms() + hold;
	}
	pthread_mutex_unlock(&s->lock);
	if (!fenced && s->on_grant)
		s->on_grant(s, from, to, fence, hold);
	return fenced ? answer(fd, 409, "Conflict", "", "")
		      : answer(fd, 200, "OK", "", "");
}

static bool on_release_call(struct server *s, int fd, const struct message *m)
{
	int64_t from = number_in(m->body, "from");
	int64_t to = number_in(m->body, "target_version");
	int64_t k;

	if (from < 0 || to < from || to >= N_KEYS)
		return answer(fd, 400, "Bad Request", "", "");
	pthread_mutex_lock(&s->lock);
	for (k = from; k <= to; k++)
		s->held_until_ms[k] = 0;
	pthread_mutex_unlock(&s->lock);
	return answer(fd, 200, "OK", "X-Mesh-Handover: 5c0e7a21d94b36f8\r\n",
		      "");
}

static bool on_work(struct server *s, int fd, const struct message *m)
{
	char id[128] = "", value[128], path[1024] = "", headers[1024];
	int64_t key;

	sscanf(m->head, "%*s %1023s", path);
	if (!header_of(m, "X-Mesh-Request-Id", id, sizeof(id)))
		return answer(fd, 400, "Bad Request", "X-Mesh-Not-Run: 1\r\n",
			      "");
	snprintf(headers, sizeof(headers),
		 "X-Mesh-Request-Id: %s\r\nX-Mesh-Instance: %s\r\n"
		 "X-Mesh-Not-Run: 1\r\n",
		 id, s->id);
	if (header_of(m, "X-Mesh-Expect-Instance", value, sizeof(value)) &&
	    strcmp(value, s->id)) {
		record("server %s: request %s refused with 421, for %s is "
		       "expected",
		       s->id, id, value);
		return answer(fd, 421, "Misdirected Request", headers, "");
	}
	if (s->sharded) {
		key = header_of(m, "X-Mesh-Shard-Key", value, sizeof(value))
			      ? atoll(value)
			      : -1;
		if (key < 0 || key >= N_KEYS ||
		    s->held_until_ms[key] <= now_ms())
			return answer(fd, 421, "Misdirected Request", headers,
				      "");
	}
	if (draw(s->refuse_per_mille)) {
		if (s->on_refused)
			s->on_refused(s, id);
		return answer(fd, 503, "Service Unavailable", headers, "");
	}
	if (s->on_run)
		s->on_run(s, id, path);
	sleep_ms(s->work_ms);
	snprintf(headers, sizeof(headers),
		 "X-Mesh-Request-Id: %s\r\nX-Mesh-Stamp: %s.%s\r\n"
		 "X-Mesh-Load: 1,0,18\r\n",
		 id, s->id, id);
	return answer(fd, 200, "OK", headers, "done\n");
}

static bool on_message(struct server *s, int fd, const struct message *m)
{
	char headers[256];

	if (!strncmp(m->head, "POST /-/grant ", 14))
		return on_grant_call(s, fd, m);
	if (!strncmp(m->head, "POST /-/release ", 16))
		return on_release_call(s, fd, m);
	if (!strncmp(m->head, "GET /healthz ", 13)) {
		snprintf(headers, sizeof(headers),
			 "X-Mesh-Instance: %s\r\nX-Mesh-Load: 0,0,18\r\n"
			 "X-Mesh-Cold-Ms: %lld\r\n",
			 s->id, (long long)cold_left_ms(s));
		return answer(fd, 200, "OK", headers, "");
	}
	return on_work(s, fd, m);
}

static void *serve_conn(void *arg)
{
	struct server_conn *sc = arg;
	struct conn *c = calloc(1, sizeof(*c));
	struct message *m = calloc(1, sizeof(*m));
	struct server *s = sc->s;
	int i;

	c->fd = sc->fd;
	while (read_message(c, m, false, 10000) && !s->ended) {
		bool ok = true;

		if (send_again && s->copy_per_mille) {
			if (s->on_copy)
				s->on_copy(s, last_answer);
			ok = send_all(c->fd, last_answer, last_answer_len);
		}
		send_again = draw(s->copy_per_mille);
		ok = ok && on_message(s, c->fd, m);
		free(m->body);
		m->body = NULL;
		if (!ok)
			break;
	}
	free(m->body);
	pthread_mutex_lock(&s->lock);
	for (i = 0; i < s->n_conns; i++)
		if (s->conns[i] == c->fd)
			s->conns[i] = s->conns[--s->n_conns];
	close(c->fd);
	pthread_mutex_unlock(&s->lock);
	free(m);
	free(c);
	free(sc);
	return NULL;
}

static void start_thread(void *(*run)(void *), void *arg)
{
	pthread_t t;

	if (pthread_create(&t, NULL, run, arg))
		not_run("no thread can be started");
	pthread_detach(t);
}

static void *accept_conns(void *arg)
{
	struct server *s = arg;
	int fd;

	while ((fd = accept(s->listen_fd, NULL, NULL)) >= 0) {
		struct server_conn *sc = malloc(sizeof(*sc));
		int on = 1;

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		pthread_mutex_lock(&s->lock);
		if (s->ended || s->n_conns == 4096) {
			close(fd);
			fd = -1;
		} else {
			s->conns[s->n_conns++] = fd;
		}
		pthread_mutex_unlock(&s->lock);
		if (fd < 0) {
			free(sc);
			continue;
		}
		sc->s = s;
		sc->fd = fd;
		start_thread(serve_conn, sc);
	}
	return NULL;
}

void server_heartbeat(struct server *s, char *path, size_t path_size,
		      char *body, size_t body_size)
{
	snprintf(path, path_size, "/-/instances/%s/heartbeat", s->id);
	pthread_mutex_lock(&s->lock);
	snprintf(body, body_size,
		 "{\"address\":\"%s\",\"born\":%lld,\"info\":{\"service\":"
		 "\"%s\",\"version\":\"v1\",\"zone\":\"%s\",\"slots\":18},"
		 "\"status\":{\"state\":\"ready\",\"seq\":%lld,"
		 "\"cold_left_ms\":%lld}}",
		 s->address, (long long)s->born_ms, s->service, s->zone,
		 (long long)++s->seq, (long long)cold_left_ms(s));
	pthread_mutex_unlock(&s->lock);
}

int server_send_heartbeat(struct server *s, const char *path, const char *body)
{
	return call(s->control, "POST", path,
		    "Host: node\r\nContent-Type: application/json\r\n", body,
		    HEARTBEAT_ANSWER_MS, NULL);
}

static void *send_heartbeats(void *arg)
{
	struct server *s = arg;
	char path[128], body[1024];
	int64_t next_ms = now_ms() + s->first_heartbeat_ms;

	sleep_until_ms(next_ms);
	while (!s->ended) {
		if (!s->silent) {
			server_heartbeat(s, path, sizeof(path), body,
					 sizeof(body));
			if (s->pass_heartbeat)
				s->pass_heartbeat(s, path, body);
			else
				server_send_heartbeat(s, path, body);
		}
		next_ms += HEARTBEAT_MS;
		sleep_until_ms(next_ms);
	}
	return NULL;
}

void server_start(struct server *s)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	s->born_ms = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
	pthread_mutex_init(&s->lock, NULL);
	s->held_until_ms = calloc(N_KEYS, sizeof(*s->held_until_ms));
	s->fence = calloc(N_KEYS, sizeof(*s->fence));
	s->listen_fd = listen_at(s->address);
	record("server %s (%s) starts at %s", s->id, s->service, s->address);
	start_thread(accept_conns, s);
	start_thread(send_heartbeats, s);
}

void server_end(struct server *s)
{
	int i;

	record("server %s ends", s->id);
	pthread_mutex_lock(&s->lock);
	s->ended = true;
	shutdown(s->listen_fd, SHUT_RDWR);
	close(s->listen_fd);
	for (i = 0; i < s->n_conns; i++)
		shutdown(s->conns[i], SHUT_RDWR);
	pthread_mutex_unlock(&s->lock);
}

void publish_and_wait(const char *store, const char *config,
		      const char *const *ready, int n)
{
	int64_t until_ms = now_ms() + 30000;
	int i;

	while (call(store, "POST", "/publish?key=config", "Host: store\r\n",
		    config, 1000, NULL) != 200) {
		if (now_ms() > until_ms)
			not_run("the store takes no configuration");
		sleep_ms(100);
	}
	record("configuration published");
	for (i = 0; i < n; i++)
		while (call(ready[i], "GET", "/-/readyz", "Host: node\r\n", "",
			    1000, NULL) != 200) {
			if (now_ms() > until_ms)
				not_run("node %d is not ready", i);
			sleep_ms(50);
		}
	record("all %d nodes are ready", n);
}

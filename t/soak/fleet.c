#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <jansson.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "net/clock.h"
#include "t/soak/fleet.h"
#include "util/result.h"

#define PORTS_PER_NODE 16
#define STORE_PORT 500
#define REQUEST_TIMEOUT_MS 1000
#define N_KEYS 65536
#define WITNESSES 3
#define MAX_REPORTED 50 /* later violations are only counted */

enum port {
	PORT_CALLERS = 1,
	PORT_PEERS,
	PORT_OPERATOR,
	PORT_SERVER,
	PORT_READY,
	PORT_ANNOUNCE,
	PORT_PROXIES, /* the first of N_LINKS, one for each link */
};

const char *const link_names[N_LINKS] = { "callers", "store", "server",
					  "heartbeats" };
static const char *const services[] = { "records", "bookings" };
static const char *const data_centres[] = { "hakata", "tenjin", "kurume",
					    "kitakyu" };

static const char *address(uint32_t port)
{
	static char text[16][32];
	static uint32_t next;
	char *out = text[next++ % G_N_ELEMENTS(text)];

	g_snprintf(out, sizeof(text[0]), "127.0.0.1:%u", port);
	return out;
}

static const char *node_address(const struct fleet *f, uint32_t i,
				uint32_t port)
{
	return address(f->base_port + PORTS_PER_NODE * i + port);
}

static const char *link_address(const struct fleet *f, uint32_t i,
				enum fleet_link link)
{
	return node_address(f, i, PORT_PROXIES + link);
}

const char *caller_address(const struct fleet *f, uint32_t i)
{
	return link_address(f, i, LINK_CALLERS);
}

const char *operator_address(const struct fleet *f, uint32_t i)
{
	return node_address(f, i, PORT_OPERATOR);
}

const char *server_address(const struct fleet *f, uint32_t i)
{
	return node_address(f, i, PORT_SERVER);
}

const char *peer_address(const struct fleet *f, uint32_t i)
{
	return node_address(f, i, PORT_PEERS);
}

const char *store_address(const struct fleet *f)
{
	return address(f->base_port + STORE_PORT);
}

void report_broken(struct fleet *f, const char *format, ...)
{
	g_autofree char *text = NULL;
	va_list args;

	if (f->n_broken++ >= MAX_REPORTED)
		return;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	printf("BROKEN at %" G_GINT64_FORMAT " ms: %s\n",
	       (gint64)clock_now_ms(), text);
	fflush(stdout);
}

static void spawn(struct fleet *f, struct process *p, const char *program,
		  const char *const *arguments, const char *log)
{
	g_autofree char *path = g_build_filename(f->bin, program, NULL);
	g_autofree char *out = g_build_filename(f->dir, log, NULL);
	pid_t parent = getpid();
	int fd;

	p->state = PROCESS_RUNNING;
	p->pid = fork();
	if (p->pid)
		return;
	/* The kernel kills the child when the soak ends for any reason. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	fd = open(out, O_WRONLY | O_CREAT | O_APPEND, 0644);
	if (fd < 0 || getppid() != parent)
		_exit(1);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execv(path, (char *const *)arguments);
	_exit(1);
}

void process_signal(struct process *p, int signal)
{
	kill(p->pid, signal);
	if (signal == SIGSTOP)
		p->state = PROCESS_PAUSED;
	else if (signal == SIGCONT)
		p->state = PROCESS_RUNNING;
	else if (signal == SIGTERM)
		p->state = PROCESS_STOPPING;
	if (signal == SIGTERM)
		p->stop_requested_at_ms = clock_now_ms();
}

void process_kill(struct process *p)
{
	if (p->pid <= 0 || p->state == PROCESS_ENDED)
		return;
	kill(p->pid, SIGKILL);
	p->state = PROCESS_KILLED;
}

static void kill_and_wait(struct process *p)
{
	process_kill(p);
	if (p->state == PROCESS_KILLED)
		waitpid(p->pid, NULL, 0);
	p->state = PROCESS_ENDED;
}

bool process_reap(struct process *p, int *status)
{
	*status = 0;
	if (p->state == PROCESS_ENDED)
		return true;
	if (waitpid(p->pid, status, WNOHANG) != p->pid)
		return false;
	p->state = PROCESS_ENDED;
	return true;
}

static char *settings_path(const struct fleet *f, uint32_t i)
{
	g_autofree char *name = g_strdup_printf("node-%u.json", i);

	return g_build_filename(f->dir, name, NULL);
}

static int write_settings(struct fleet *f, struct node_host *h)
{
	uint32_t i = h->index;
	g_autofree char *path = settings_path(f, i);
	FILE *out = fopen(path, "w");

	if (!out) {
		printf("cannot write %s\n", path);
		return RESULT_IO;
	}
	fprintf(out,
		"{\"interface\": \"platform\", \"host\": \"host-%u\",\n"
		" \"data_centre\": \"%s\", \"service\": \"%s\",\n"
		" \"caller_address\": \"%s\", \"peer_address\": \"%s\",\n"
		" \"operator_address\": \"%s\", \"backend_server\": \"%s\",\n"
		" \"log\": \"%s\", \"ready_address\": \"%s\",\n"
		" \"announce_address\": \"%s\", \"seeds\": [\"%s\", \"%s\"],\n"
		" \"lease_ms\": 3000, \"snapshot_records\": 64,\n"
		" \"move_batch\": 160, \"hold_share\": 0.125,\n"
		" \"retry_share\": 0.2, \"retry_reserve\": 64,\n"
		" \"hedge\": false, \"limit\": \"fixed\",\n"
		" \"choice\": \"soonest\", \"far_ms\": 10,\n"
		" \"far_ms_per_kb\": 10, \"stop_limit_ms\": 5600,\n"
		" \"grants\": \"%s\", \"log_level\": \"info\",\n"
		" \"log_format\": \"json\",\n"
		" \"test_hooks\": true}\n",
		i, h->data_centre, h->service, node_address(f, i, PORT_CALLERS),
		peer_address(f, i), operator_address(f, i),
		link_address(f, i, LINK_SERVER), link_address(f, i, LINK_STORE),
		node_address(f, i, PORT_READY),
		node_address(f, i, PORT_ANNOUNCE), peer_address(f, 0),
		peer_address(f, 1), f->grants_by_call ? "call" : "heartbeat");

	fclose(out);
	return RESULT_OK;
}

void fleet_start_node(struct fleet *f, struct node_host *h)
{
	g_autofree char *log = g_strdup_printf("node-%u.log", h->index);
	g_autofree char *path = settings_path(f, h->index);
	const char *arguments[] = { "briargrade", "run", "--settings", path,
				    NULL };

	h->shown_version = -1;
	h->newest_version_at_start = f->newest_version;
	spawn(f, &h->node, "briargrade", arguments, log);
}

static void start_server(struct fleet *f, struct node_host *h)
{
	g_autofree char *log = g_strdup_printf("server-%u.log", h->index);
	const char *arguments[] = { "platform-server",
				    "--listen",
				    server_address(f, h->index),
				    "--address",
				    link_address(f, h->index, LINK_SERVER),
				    "--node",
				    link_address(f, h->index, LINK_HEARTBEATS),
				    "--service",
				    h->service,
				    "--data-centre",
				    h->data_centre,
				    "--grants",
				    f->grants_by_call ? "call" : "heartbeat",
				    NULL };

	spawn(f, &h->server, "platform-server", arguments, log);
}

static int start_links(struct fleet *f, struct node_host *h)
{
	const char *to[N_LINKS] = {
		[LINK_CALLERS] = node_address(f, h->index, PORT_CALLERS),
		[LINK_STORE] = store_address(f),
		[LINK_SERVER] = server_address(f, h->index),
		[LINK_HEARTBEATS] = node_address(f, h->index, PORT_ANNOUNCE),
	};
	uint32_t l;

	for (l = 0; l < N_LINKS; l++) {
		int err = proxy_init(&h->links[l], f->loop,
				     link_address(f, h->index, l), to[l]);

		if (err) {
			printf("cannot listen on %s\n",
			       link_address(f, h->index, l));
			return err;
		}
	}
	return RESULT_OK;
}

int fleet_start(struct fleet *f)
{
	const char *store[] = { "platform-store", "--listen", store_address(f),
				NULL };
	uint32_t i;

	fetcher_init(&f->fetcher, f->loop, 64);
	f->newest_version = -1;
	spawn(f, &f->store, "platform-store", store, "store.log");
	for (i = 0; i < N_NODES; i++) {
		struct node_host *h = &f->hosts[i];
		int err;

		h->index = i;
		h->service = services[i % G_N_ELEMENTS(services)];
		h->data_centre = data_centres[i / G_N_ELEMENTS(services)];
		err = start_links(f, h);
		if (!err)
			err = write_settings(f, h);
		if (err)
			return err;
		fleet_start_node(f, h);
		start_server(f, h);
	}
	return RESULT_OK;
}

void fleet_end(struct fleet *f)
{
	uint32_t i;

	for (i = 0; i < N_NODES; i++) {
		kill_and_wait(&f->hosts[i].node);
		kill_and_wait(&f->hosts[i].server);
	}
	kill_and_wait(&f->store);
}

struct request {
	struct fetch fetch;
	GString *answer;
	bool done;
	int result;
};

static bool on_data(struct fetch *fetch, const void *data, size_t len)
{
	struct request *r = fetch->user;

	g_string_append_len(r->answer, data, len);
	return true;
}

static void on_done(struct fetch *fetch, int result)
{
	struct request *r = fetch->user;

	r->done = true;
	r->result = result;
}

static const struct fetch_ops request_ops = { .on_data = on_data,
					      .on_done = on_done };

char *fleet_request(struct fleet *f, const char *method, const char *at,
		    const char *path, const char *body)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", at, path);
	struct request r = { .answer = g_string_new(NULL) };
	bool good;

	fetch_start(&r.fetch, &f->fetcher, method, url, NULL, body ? body : "",
		    body ? strlen(body) : 0, REQUEST_TIMEOUT_MS, false,
		    &request_ops, &r);
	while (!r.done)
		ev_run(f->loop, EVRUN_ONCE);
	good = !r.result && r.fetch.status == 200;
	return g_string_free(r.answer, !good);
}

void fleet_control(struct fleet *f, const char *at, const char *what)
{
	g_autofree char *path = g_strdup_printf("/control?%s", what);

	g_free(fleet_request(f, "POST", at, path, NULL));
}

void fleet_publish(struct fleet *f)
{
	g_autofree char *text = g_strdup_printf(
		"{\"version\":%d,\"limits\":{\"max_header_bytes\":16384,"
		"\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,"
		"\"idle_timeout_ms\":15000},\"listeners\":[{\"hostname\":"
		"\"a.example\",\"rules\":["
		"{\"name\":\"look\",\"kind\":\"safe\",\"goal_ms\":400,"
		"\"priority\":2,\"match\":{\"path_prefix\":\"/look/\"},"
		"\"action\":{\"service\":\"records\",\"timeout_ms\":1500,"
		"\"attempts\":2}},"
		"{\"name\":\"book\",\"kind\":\"unsafe\",\"goal_ms\":500,"
		"\"priority\":1,\"match\":{\"path_prefix\":\"/book/\"},"
		"\"action\":{\"service\":\"bookings\",\"timeout_ms\":1500,"
		"\"attempts\":2}},"
		"{\"name\":\"list\",\"kind\":\"safe\",\"goal_ms\":400,"
		"\"priority\":2,\"match\":{\"path_prefix\":\"/list/\"},"
		"\"action\":{\"service\":\"bookings\",\"timeout_ms\":1500,"
		"\"attempts\":2}}]}],"
		"\"clusters\":[{\"name\":\"records\",\"max_conns\":130,"
		"\"cold_start_s\":3,\"cold_per_s\":25,\"sharded\":true,"
		"\"warmup_s\":2,\"grants\":\"%s\"},{\"name\":\"bookings\","
		"\"max_conns\":130,\"cold_start_s\":3,\"cold_per_s\":25}]}",
		(int)++f->published_version,
		f->grants_by_call ? "call" : "heartbeat");

	g_free(fleet_request(f, "POST", store_address(f), "/publish?key=config",
			     text));
}

bool fleet_node_is_ready(struct fleet *f, uint32_t i)
{
	g_autofree char *text = fleet_request(
		f, "GET", node_address(f, i, PORT_READY), "/-/readyz", NULL);

	return text;
}

static bool node_is_settled(struct fleet *f, uint32_t i)
{
	bool ready = fleet_node_is_ready(f, i);
	g_autofree char *text = fleet_request(f, "GET", operator_address(f, i),
					      "/status", NULL);
	json_t *status = text ? json_loads(text, 0, NULL) : NULL;
	json_t *members = json_object_get(status, "members");
	bool good = ready && json_array_size(members) == N_NODES;
	json_t *m;
	size_t k;

	json_array_foreach(members, k, m) good =
		good && json_is_true(json_object_get(m, "witnesses_settled")) &&
		json_array_size(json_object_get(m, "witnesses")) == WITNESSES;
	json_decref(status);
	return good;
}

bool fleet_is_settled(struct fleet *f)
{
	int64_t n_keys = 0;
	uint32_t i;

	for (i = 0; i < N_NODES; i++) {
		g_autofree char *stats = NULL;
		const char *keys;

		if (!node_is_settled(f, i))
			return false;
		stats = fleet_request(f, "GET", server_address(f, i), "/stats",
				      NULL);
		keys = stats ? strstr(stats, "\nkeys ") : NULL;
		if (keys)
			n_keys += g_ascii_strtoll(keys + strlen("\nkeys "),
						  NULL, 10);
	}
	return n_keys == N_KEYS;
}

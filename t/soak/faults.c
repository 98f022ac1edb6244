#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "net/clock.h"
#include "t/soak/faults.h"

#define MIN_FAULTS 3
#define MAX_FAULTS 8
#define MIN_DURATION_MS 200
#define MAX_DURATION_MS 6000
#define PLANNED_PHASE_MS 2000
#define MAX_BREAKS 4
#define FEW_BREAKS 0.02
#define MANY_BREAKS 0.4

/*
 * begin() returns false when the fault cannot be applied now; it is then
 * dropped. end() returns false when it must be called again. A kind without
 * end() is over as soon as it has begun. The weight is relative to the sum of
 * all weights.
 */
struct fault_kind {
	const char *name;
	uint32_t weight;
	bool (*begin)(struct fleet *f, struct fault *x);
	bool (*end)(struct fleet *f, struct fault *x);
};

static struct node_host *host_of(struct fleet *f, const struct fault *x)
{
	return &f->hosts[x->node];
}

static bool stop_node(struct fleet *f, struct fault *x)
{
	struct process *p = &host_of(f, x)->node;

	if (p->state != PROCESS_RUNNING)
		return false;
	process_signal(p, SIGTERM);
	return true;
}

static bool kill_node(struct fleet *f, struct fault *x)
{
	struct process *p = &host_of(f, x)->node;

	if (p->state != PROCESS_RUNNING)
		return false;
	process_kill(p);
	return true;
}

static bool restart_node(struct fleet *f, struct fault *x)
{
	struct node_host *h = host_of(f, x);

	if (h->node.state != PROCESS_ENDED)
		return false;
	fleet_start_node(f, h);
	return true;
}

static bool kill_all_nodes(struct fleet *f, struct fault *x)
{
	uint32_t i;

	(void)x;
	for (i = 0; i < N_NODES; i++)
		if (f->hosts[i].node.state != PROCESS_RUNNING)
			return false;
	for (i = 0; i < N_NODES; i++)
		process_kill(&f->hosts[i].node);
	return true;
}

static bool start_all_nodes(struct fleet *f, struct fault *x)
{
	uint32_t i;

	(void)x;
	for (i = 0; i < N_NODES; i++)
		if (f->hosts[i].node.state != PROCESS_ENDED)
			return false;
	for (i = 0; i < N_NODES; i++)
		fleet_start_node(f, &f->hosts[i]);
	return true;
}

static bool pause_process(struct process *p)
{
	if (p->state != PROCESS_RUNNING)
		return false;
	process_signal(p, SIGSTOP);
	return true;
}

static bool pause_node(struct fleet *f, struct fault *x)
{
	return pause_process(&host_of(f, x)->node);
}

static bool resume_node(struct fleet *f, struct fault *x)
{
	process_signal(&host_of(f, x)->node, SIGCONT);
	return true;
}

static bool pause_server(struct fleet *f, struct fault *x)
{
	return pause_process(&host_of(f, x)->server);
}

static bool resume_server(struct fleet *f, struct fault *x)
{
	process_signal(&host_of(f, x)->server, SIGCONT);
	return true;
}

static bool pause_store(struct fleet *f, struct fault *x)
{
	(void)x;
	return pause_process(&f->store);
}

static bool resume_store(struct fleet *f, struct fault *x)
{
	(void)x;
	process_signal(&f->store, SIGCONT);
	return true;
}

static bool reload_node(struct fleet *f, struct fault *x)
{
	struct process *p = &host_of(f, x)->node;

	if (p->state != PROCESS_RUNNING)
		return false;
	process_signal(p, SIGHUP);
	return true;
}

static bool publish(struct fleet *f, struct fault *x)
{
	(void)x;
	if (f->store.state != PROCESS_RUNNING)
		return false;
	fleet_publish(f);
	return true;
}

static bool control_server(struct fleet *f, struct fault *x, const char *what)
{
	if (host_of(f, x)->server.state != PROCESS_RUNNING)
		return false;
	fleet_control(f, server_address(f, x->node), what);
	return true;
}

static bool crash_server(struct fleet *f, struct fault *x)
{
	return control_server(f, x, "crash=1");
}

static bool mute_server(struct fleet *f, struct fault *x)
{
	return control_server(f, x, "mute=1");
}

static bool unmute_server(struct fleet *f, struct fault *x)
{
	return control_server(f, x, "mute=0");
}

static bool drain_server(struct fleet *f, struct fault *x)
{
	return control_server(f, x, "drain=1");
}

/* An instance that has said that it leaves does not return: another starts. */
static bool replace_server(struct fleet *f, struct fault *x)
{
	return control_server(f, x, "crash=1&drain=0");
}

static bool inject_answer_faults(struct fleet *f, struct fault *x)
{
	static const char *const variants[] = { "lose=3", "unsigned=3",
						"wrong_id=3", "late=3",
						"refuse=3" };
	const char *variant = variants[x->random_bits % G_N_ELEMENTS(variants)];

	x->description = g_strdup_printf("server %u %s", x->node, variant);
	return control_server(f, x, variant);
}

static bool inject_store_fault(struct fleet *f, struct fault *x)
{
	static const char *const variants[] = {
		"down=1", "busy=1", "refuse=1", "trickle_ms=2000",
		"hold=1", "lose=2", "deaf=1",	"lose=2&late_ms=700",
	};
	const char *variant = variants[x->random_bits % G_N_ELEMENTS(variants)];

	if (f->store.state != PROCESS_RUNNING)
		return false;
	x->description = g_strdup_printf("store %s", variant);
	fleet_control(f, store_address(f), variant);
	return true;
}

static bool clear_store_fault(struct fleet *f, struct fault *x)
{
	(void)x;
	if (f->store.state != PROCESS_RUNNING)
		return false;
	fleet_control(f, store_address(f),
		      "down=0&busy=0&refuse=0&trickle_ms=0&hold=0&lose=0"
		      "&late_ms=0");
	return true;
}

enum link_fault {
	LINK_DELAYED,
	LINK_RESET,
	LINK_CUT_UP,
	LINK_CUT_DOWN,
	LINK_CUT_BOTH,
	N_LINK_FAULTS,
};

static bool inject_link_fault(struct fleet *f, struct fault *x)
{
	static const char *const names[N_LINK_FAULTS] = {
		"delay", "reset", "cut up", "cut down", "silence",
	};
	struct proxy *link = &host_of(f, x)->links[x->link];
	enum link_fault variant = x->random_bits % N_LINK_FAULTS;

	if (link->delay_ms || link->blocked[PROXY_UP] ||
	    link->blocked[PROXY_DOWN])
		return false;
	x->description = g_strdup_printf("%s %s of node %u", names[variant],
					 link_names[x->link], x->node);
	if (variant == LINK_DELAYED)
		proxy_set_delay(link, 20 + x->random_bits % 400);
	else if (variant == LINK_RESET)
		proxy_reset_connections(link);
	else
		proxy_block(link, variant != LINK_CUT_DOWN,
			    variant != LINK_CUT_UP);
	return true;
}

static bool clear_link_fault(struct fleet *f, struct fault *x)
{
	struct proxy *link = &host_of(f, x)->links[x->link];

	proxy_set_delay(link, 0);
	/* In half the cases the connections break instead of continuing. */
	if (x->random_bits / N_LINK_FAULTS % 2)
		proxy_reset_connections(link);
	proxy_block(link, false, false);
	return true;
}

/* What a backend server sends to nodes ends at any byte. */
static bool begin_breaks(struct fleet *f, struct fault *x)
{
	struct proxy *link = &host_of(f, x)->links[LINK_SERVER];
	bool by_reset = x->random_bits & 1;
	double share = x->random_bits & 2 ? MANY_BREAKS : FEW_BREAKS;

	if (link->break_share > 0)
		return false;
	x->description = g_strdup_printf("server %u breaks off %g by %s",
					 x->node, share,
					 by_reset ? "reset" : "FIN");
	proxy_set_breaks(link, share, by_reset, x->random_bits);
	return true;
}

static bool end_breaks(struct fleet *f, struct fault *x)
{
	proxy_set_breaks(&host_of(f, x)->links[LINK_SERVER], 0, false, 0);
	return true;
}

static bool set_cut(struct fleet *f, uint32_t i, uint32_t from, bool on)
{
	g_autofree char *path = g_strdup_printf("/test/cut?peer=%s&on=%d",
						peer_address(f, from), on);
	g_autofree char *done = NULL;

	if (f->hosts[i].node.state != PROCESS_RUNNING)
		return false;
	done = fleet_request(f, "POST", operator_address(f, i), path, NULL);
	return done;
}

/* Cuts the links to each peer i whose bit i of random_bits is set. */
static bool cut_peers(struct fleet *f, struct fault *x)
{
	uint32_t i;

	if (host_of(f, x)->node.state != PROCESS_RUNNING)
		return false;
	x->description = g_strdup_printf("cut node %u from peers %02x", x->node,
					 x->random_bits & 0xff);
	for (i = 0; i < N_NODES; i++)
		if (i != x->node && x->random_bits >> i & 1) {
			set_cut(f, i, x->node, true);
			set_cut(f, x->node, i, true);
		}
	return true;
}

/*
 * A process that was cut may have ended since and is skipped. A paused process
 * cannot answer, so this is tried again until all are resumed.
 */
static bool reconnect_peers(struct fleet *f, struct fault *x)
{
	uint32_t i;

	for (i = 0; i < N_NODES; i++)
		if (f->hosts[i].node.state == PROCESS_PAUSED)
			return false;
	for (i = 0; i < N_NODES; i++)
		if (i != x->node && x->random_bits >> i & 1) {
			set_cut(f, i, x->node, false);
			set_cut(f, x->node, i, false);
		}
	return true;
}

static const struct fault_kind stop_kind = { "stop node", 4, stop_node,
					     restart_node };
static const struct fault_kind reload_kind = { "reload node", 2, reload_node,
					       NULL };
static const struct fault_kind publish_kind = { "publish", 2, publish, NULL };
static const struct fault_kind break_kind = { "break off", 0, begin_breaks,
					      end_breaks };

static const struct fault_kind unplanned_kinds[] = {
	{ "kill node", 4, kill_node, restart_node },
	{ "kill all nodes", 1, kill_all_nodes, start_all_nodes },
	{ "pause node", 4, pause_node, resume_node },
	{ "pause server", 2, pause_server, resume_server },
	{ "pause store", 1, pause_store, resume_store },
	{ "new life of server", 2, crash_server, NULL },
	{ "mute server", 2, mute_server, unmute_server },
	{ "drain server", 2, drain_server, replace_server },
	{ "spoil answers", 3, inject_answer_faults, NULL },
	{ "store", 4, inject_store_fault, clear_store_fault },
	{ "line", 12, inject_link_fault, clear_link_fault },
	{ "cut peers", 4, cut_peers, reconnect_peers },
};

void faults_init(struct faults *s, struct fleet *f, uint32_t seed)
{
	s->fleet = f;
	s->rand = g_rand_new_with_seed(seed);
	s->break_rand = g_rand_new_with_seed(~seed);
	s->all = g_ptr_array_new();
	s->phase_started_at_ms = clock_now_ms();
}

void faults_clear(struct faults *s)
{
	uint32_t i;

	for (i = 0; i < s->all->len; i++) {
		struct fault *x = g_ptr_array_index(s->all, i);

		g_free(x->description);
		g_free(x);
	}
	g_ptr_array_set_size(s->all, 0);
	s->phase_started_at_ms = clock_now_ms();
}

static void add_fault(struct faults *s, GRand *rand,
		      const struct fault_kind *kind, int64_t begin_offset_ms,
		      int64_t duration_ms)
{
	struct fault *x = g_new0(struct fault, 1);

	x->kind = kind;
	x->node = g_rand_int_range(rand, 0, N_NODES);
	x->link = g_rand_int_range(rand, 0, N_LINKS);
	x->random_bits = g_rand_int(rand) >> 1;
	x->begin_offset_ms = begin_offset_ms;
	x->end_offset_ms = begin_offset_ms + duration_ms;
	g_ptr_array_add(s->all, x);
}

static const struct fault_kind *draw_kind(struct faults *s)
{
	const struct fault_kind *planned[] = { &stop_kind, &reload_kind,
					       &publish_kind };
	uint32_t sum = 0;
	uint32_t i;
	int32_t at;

	for (i = 0; i < G_N_ELEMENTS(planned); i++)
		sum += planned[i]->weight;
	for (i = 0; i < G_N_ELEMENTS(unplanned_kinds); i++)
		sum += unplanned_kinds[i].weight;
	at = g_rand_int_range(s->rand, 0, sum);
	for (i = 0; i < G_N_ELEMENTS(planned); i++) {
		at -= planned[i]->weight;
		if (at < 0)
			return planned[i];
	}
	for (i = 0; i < G_N_ELEMENTS(unplanned_kinds) - 1; i++) {
		at -= unplanned_kinds[i].weight;
		if (at < 0)
			break;
	}
	return &unplanned_kinds[i];
}

void faults_draw_planned(struct faults *s)
{
	const struct fault_kind *kinds[] = { &stop_kind, &stop_kind,
					     &reload_kind, &publish_kind };
	uint32_t n = g_rand_int_range(s->rand, 1, G_N_ELEMENTS(kinds) + 1);
	uint32_t i;

	for (i = 0; i < n; i++)
		add_fault(s, s->rand, kinds[i],
			  g_rand_int_range(s->rand, 0, PLANNED_PHASE_MS),
			  g_rand_int_range(s->rand, MIN_DURATION_MS,
					   PLANNED_PHASE_MS));
}

static void draw_breaks(struct faults *s, int64_t duration_ms)
{
	uint32_t n = g_rand_int_range(s->break_rand, 0, MAX_BREAKS + 1);
	uint32_t i;

	for (i = 0; i < n; i++) {
		GRand *r = s->break_rand;
		int64_t at_ms = g_rand_int_range(r, 0, duration_ms);
		int64_t for_ms =
			g_rand_int_range(r, MIN_DURATION_MS, MAX_DURATION_MS);

		add_fault(s, r, &break_kind, at_ms, for_ms);
	}
}

void faults_draw_unplanned(struct faults *s, int64_t duration_ms)
{
	uint32_t n = g_rand_int_range(s->rand, MIN_FAULTS, MAX_FAULTS + 1);
	uint32_t i;

	for (i = 0; i < n; i++)
		add_fault(s, s->rand, draw_kind(s),
			  g_rand_int_range(s->rand, 0, duration_ms),
			  g_rand_int_range(s->rand, MIN_DURATION_MS,
					   MAX_DURATION_MS));
	draw_breaks(s, duration_ms);
}

static void begin_fault(struct faults *s, struct fault *x)
{
	x->begun = x->kind->begin(s->fleet, x);
	x->ended = !x->begun || !x->kind->end;
}

bool faults_step(struct faults *s)
{
	int64_t at_ms = clock_now_ms() - s->phase_started_at_ms;
	bool any = false;
	uint32_t i;

	for (i = 0; i < s->all->len; i++) {
		struct fault *x = g_ptr_array_index(s->all, i);

		if (!x->begun && !x->ended && x->begin_offset_ms <= at_ms)
			begin_fault(s, x);
		else if (x->begun && !x->ended && x->end_offset_ms <= at_ms)
			x->ended = x->kind->end(s->fleet, x);
		any = any || !x->ended;
	}
	return any;
}

char *faults_describe(const struct faults *s)
{
	GString *out = g_string_new(NULL);
	uint32_t i;

	for (i = 0; i < s->all->len; i++) {
		struct fault *x = g_ptr_array_index(s->all, i);

		if (!x->begun)
			continue;
		if (out->len)
			g_string_append(out, ", ");
		if (x->description)
			g_string_append(out, x->description);
		else
			g_string_append_printf(out, "%s %u", x->kind->name,
					       x->node);
		g_string_append_printf(out, " at %.1f",
				       x->begin_offset_ms / 1000.0);
		if (x->kind->end)
			g_string_append_printf(
				out, " for %.1f s",
				(x->end_offset_ms - x->begin_offset_ms) /
					1000.0);
		else
			g_string_append(out, " s");
	}
	return g_string_free(out, FALSE);
}

#include <inttypes.h>

#include "node/read-plan.h"
#include "t/sim.h"
#include "util/result.h"

/*
 * Operators of a simulated fleet, who publish in a stream of their own, and a
 * store whose answers come late: an answer is decided at once, or when there is
 * a record to return, and arrives answer_ms later.
 */

#define BATCH_DELAY_MS 100
#define READ_WAIT_MS 3000
/* The first members by rank read the stream, as in a large fleet. */
#define N_READERS 4
#define N_LONG_ROUTES 240

struct sim_published {
	int64_t written_at_ms;
	json_t *document;
};

static void published_free(gpointer p)
{
	struct sim_published *v = p;

	json_decref(v->document);
	g_free(v);
}

void sim_start_operators(struct sim *s)
{
	s->operators = g_ptr_array_new_with_free_func(published_free);
}

/* Adds routes whose names do not compress, for a change that is long. */
static void add_long_routes(json_t *classes, int64_t version)
{
	uint64_t x = version;
	uint32_t i;

	for (i = 0; i < N_LONG_ROUTES; i++) {
		x = x * 6364136223846793005u + 1442695040888963407u;
		json_array_append_new(
			classes,
			json_pack("{s:s,s:s,s:s,s:o,s:i}", "name", "long",
				  "service", "archive", "method", "*", "path",
				  json_sprintf("/long/%016" PRIx64 "/", x),
				  "target_ms", 5));
	}
}

/* A route for each of the last four versions. */
static json_t *document_of(const struct sim *s, int64_t version)
{
	json_t *doc = sim_configuration_document(s, NULL);
	json_t *classes = json_object_get(doc, "classes");
	int64_t v;

	for (v = MAX(version - 3, 1); v <= version; v++)
		json_array_append_new(classes,
				      json_pack("{s:o,s:s,s:s,s:o,s:i}", "name",
						json_sprintf("v%d", (int)v),
						"service", "archive", "method",
						"*", "path",
						json_sprintf("/v%d/", (int)v),
						"target_ms", 5));
	if (version % LONG_CHANGE_EACH == 0)
		add_long_routes(classes, version);
	json_object_set_new(doc, "source", json_integer(version));
	return doc;
}

int64_t sim_publish(struct sim *s)
{
	struct sim_published *v = g_new0(struct sim_published, 1);

	v->written_at_ms = s->now_ms;
	v->document = document_of(s, s->operators->len + 1);
	g_ptr_array_add(s->operators, v);
	return s->operators->len - 1;
}

int64_t sim_written_at_ms(const struct sim *s, int64_t source)
{
	return ((struct sim_published *)g_ptr_array_index(s->operators, source))
		->written_at_ms;
}

const json_t *sim_published_document(const struct sim *s, int64_t source)
{
	return ((struct sim_published *)g_ptr_array_index(s->operators, source))
		->document;
}

bool sim_read_step(struct sim_read *r, const struct sim *s, int64_t next,
		   int64_t end, int64_t *upto)
{
	if (!r->sent_at_ms) {
		if (s->now_ms < r->next_at_ms)
			return false;
		r->sent_at_ms = s->now_ms;
		r->decided_at_ms = 0;
		r->from = next;
	}
	if (!r->decided_at_ms &&
	    (end > r->from || s->now_ms - r->sent_at_ms >= READ_WAIT_MS)) {
		r->decided_at_ms = s->now_ms;
		r->upto = end;
	}
	if (!r->decided_at_ms || s->now_ms < r->decided_at_ms + s->answer_ms)
		return false;
	*upto = r->upto;
	r->sent_at_ms = 0;
	r->next_at_ms = s->now_ms + (r->upto > r->from ? BATCH_DELAY_MS : 0);
	return true;
}

static bool reads_stream(const struct member_node *m)
{
	return member_is_new(m) ||
	       assign_rank(&m->fleet, "publish", m->self_id) < N_READERS;
}

void sim_operators_step(struct sim_node *nd)
{
	struct sim *s = nd->sim;
	struct member_node *m = &nd->member;
	struct read_plan plan;
	int64_t upto;

	if (!s->operators)
		return;
	if (nd->log_unreachable || !reads_stream(m)) {
		nd->operators_read.sent_at_ms = 0;
		return;
	}
	if (!sim_read_step(&nd->operators_read, s, nd->published_next,
			   s->operators->len, &upto))
		return;
	if (upto > nd->published_next) {
		read_plan_make(m, 0, true, &plan);
		nd->operators_read.next_at_ms =
			s->now_ms + plan.operators_batch_delay_ms;
		nd->published_next = upto;
		member_set_published(m, upto - 1, 100, sim_node_now_ms(nd));
	}
	member_operator_stream_read(m, sim_node_now_ms(nd));
}

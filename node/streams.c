#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "node/node.h"
#include "node/read-plan.h"
#include "platform/store.h"
#include "util/event.h"
#include "util/result.h"

/*
 * The streams that a node reads: the fleet's own, whose records make its state,
 * and the operators', where they publish in one of their own.
 */

/* A read tells of news within some milliseconds of others hearing of it. */
#define DEAF_MS 200
/* One of four is heard of within a second on the mean; more cost more calls. */
#define N_LOOKOUTS 4
#define LOG_WAIT_LOOKOUT_MS 3000
/* Who brings news to the others notices the store's return that soon. */
#define READER_RETRY_MS 500
/* News seldom comes alone: what follows it is fetched with one read. */
#define GATHER_MS 100
#define GATHER_OPERATORS_MS 1000
/* One of the others may come back to the stream late; it reads it whole then. */
#define OPERATORS_PAUSE_MS (10 * 60 * 1000)
/* Ranks change with the members, and are worked out anew that often. */
#define WAIT_EVERY_MS 1000

static void apply(struct node *n, int64_t offset, const char *id,
		  const json_t *record)
{
	member_on_record(&n->member, offset, id, record, clock_now_ms());
	audit_flush(&n->audit);
}

/*
 * Begin with the newest snapshot after what we have that can be loaded, so that
 * no more is replayed than need be.
 */
static int64_t load_snapshot(struct node *n)
{
	json_t *state;

	while ((state = log_scan_take_snapshot(&n->scan,
					       n->member.fleet.applied))) {
		int err =
			member_load_snapshot(&n->member, state, clock_now_ms());

		json_decref(state);
		if (!err) {
			g_info("loaded the snapshot of offset "
			       "%" G_GINT64_FORMAT,
			       (gint64)n->member.fleet.applied);
			return n->member.fleet.applied;
		}
		g_warning("snapshot in the log not usable: %s",
			  result_name(err));
	}
	return -1;
}

static void replay_scanned(struct node *n)
{
	const GPtrArray *records = n->scan.records;
	const struct scanned_record *first =
		records->len ? g_ptr_array_index(records, 0) : NULL;
	int64_t before = n->member.fleet.applied;
	int64_t snapshot = load_snapshot(n);
	int64_t from = n->member.fleet.applied;
	uint32_t i;

	for (i = 0; i < records->len; i++) {
		const struct scanned_record *r = g_ptr_array_index(records, i);

		if (r->offset > n->member.fleet.applied)
			apply(n, r->offset, r->id, r->record);
	}
	EVENT(log_recovered, NULL,
	      "\"records\":%u,\"first\":%" PRId64 ",\"end\":%" PRId64
	      ",\"before\":%" PRId64 ",\"snapshot\":%" PRId64
	      ",\"replayed\":%" PRId64 ",\"ms\":%" PRId64,
	      records->len, first ? first->offset : -1, n->log.scan_from,
	      before, snapshot, n->member.fleet.applied - from,
	      clock_now_ms() - n->log.read_sent_ms);
	log_scan_clear(&n->scan);
	log_client_seek(&n->log, n->member.fleet.applied + 1);
}

static void on_record(void *user, int64_t offset, const char *id,
		      const json_t *record)
{
	struct node *n = user;

	if (n->log.trimmed) {
		log_scan_add(&n->scan, offset, id, record);
		return;
	}
	if (offset > n->member.fleet.applied) {
		if (!n->pass_on)
			n->pass_from = offset;
		n->pass_on = true;
		apply(n, offset, id, record);
	}
	n->log.next = n->member.fleet.applied + 1;
}

static void on_tail(void *user, int64_t sent_ms)
{
	struct node *n = user;

	if (n->log.trimmed) {
		/* All there is was read, and without a snapshot it is enough
		 * only if it begins where we stand. */
		int64_t end = n->log.scan_from;

		replay_scanned(n);
		if (n->member.fleet.applied + 1 < end)
			return;
	}
	member_on_log_tail(&n->member, sent_ms, clock_now_ms());
	if (n->pass_on)
		member_relay_records(&n->member, n->pass_from);
	n->pass_on = false;
}

static void on_trimmed(void *user, int64_t first)
{
	struct node *n = user;

	g_info("the log begins at offset %" G_GINT64_FORMAT
	       "; looking for a snapshot",
	       (gint64)first);
	log_scan_clear(&n->scan);
	log_client_scan(&n->log, first);
}

static void on_appended(void *user, int kind, void *append_user, int result)
{
	struct node *n = user;

	if (kind == APPEND_OPERATOR)
		operator_appended(n, append_user, result);
	else if (kind < N_APPEND_KINDS)
		member_append_done(&n->member, kind, result, clock_now_ms());
	/* Only our own record tells us what we are a member as. */
	if (kind == APPEND_JOIN && !result)
		log_client_read_now(&n->log);
}

static void on_published(void *user, int64_t offset, const char *id,
			 const json_t *record)
{
	struct node *n = user;

	n->operators.next = offset + 1;
	if (n->operators.trimmed) {
		if (operator_records_apply(&n->published_newest, id, record))
			n->newest_until = offset;
		return;
	}
	if (operator_records_apply(&n->published, id, record))
		n->published_until = offset;
}

static void on_published_tail(void *user, int64_t sent_ms)
{
	struct node *n = user;

	(void)sent_ms;
	if (n->operators.trimmed) {
		/* Of what was removed meanwhile, the newest records tell
		 * nothing but that it is not among them. */
		if (operator_records_replace(&n->published,
					     &n->published_newest))
			n->newest_until = n->operators.scan_from - 1;
		n->published_until = MAX(n->published_until, n->newest_until);
		log_client_seek(&n->operators, n->operators.scan_from);
	}
	if (n->published_until > n->member.published_source &&
	    n->published.config) {
		member_set_published(
			&n->member, n->published_until,
			operator_records_config_bytes(&n->published),
			clock_now_ms());
		EVENT(published, NULL, "\"source\":%" PRId64 ",\"bytes\":%u",
		      n->published_until,
		      operator_records_config_bytes(&n->published));
	}
	member_operator_stream_read(&n->member, clock_now_ms());
}

static void on_published_trimmed(void *user, int64_t first)
{
	struct node *n = user;

	operator_records_clear(&n->published_newest);
	log_client_scan(&n->operators, first);
}

static void on_fleet_regained(void *user)
{
	struct node *n = user;

	if (n->operators.ops && n->reads_operators)
		log_client_is_back(&n->operators);
}

static void on_operators_regained(void *user)
{
	struct node *n = user;

	log_client_is_back(&n->log);
}

static const struct log_handlers operator_handlers = {
	.on_regained = on_operators_regained,
	.on_record = on_published,
	.on_tail = on_published_tail,
	.on_trimmed = on_published_trimmed,
};

static const struct log_handlers log_handlers = {
	.on_regained = on_fleet_regained,
	.on_record = on_record,
	.on_tail = on_tail,
	.on_trimmed = on_trimmed,
	.on_appended = on_appended,
};

/*
 * How long a read may wait for news. When the store comes back from being away,
 * reads that waited there may all be silent, and nobody hears of any news until
 * one of them ends. So a few nodes, whichever are first by rank, wait for less;
 * the others learn from their peers that they missed something.
 */
static bool is_lookout(const struct node *n)
{
	const struct member_node *m = &n->member;

	return m->self_id &&
	       assign_rank(&m->fleet, "publish", m->self_id) < N_LOOKOUTS;
}

static void follow_operators(struct node *n)
{
	bool reads = member_reads_operator_stream(&n->member);

	if (!n->operators.ops || reads == n->reads_operators)
		return;
	n->reads_operators = reads;
	n->operators.pause_ms = reads ? 0 : OPERATORS_PAUSE_MS;
	if (reads)
		log_client_read_now(&n->operators);
	else
		log_client_rest(&n->operators);
}

/* Adjust the waits, and begin reads anew that others know to have missed news. */
void streams_tick(struct node *n, int64_t now)
{
	struct member_node *m = &n->member;
	struct read_plan plan;

	if (m->log_read_due ||
	    (m->behind_since_ms && now - m->behind_since_ms > DEAF_MS))
		log_client_renew(&n->log);
	m->log_read_due = false;
	if (now >= n->next_wait_ms) {
		n->next_wait_ms = now + WAIT_EVERY_MS;
		follow_operators(n);
		n->operators.wait_ms = LOG_WAIT_LONG_MS;
		n->operators.retry_max_ms = RETRY_MAX_MS;
		if (is_lookout(n)) {
			n->operators.wait_ms = LOG_WAIT_LOOKOUT_MS;
			n->operators.retry_max_ms = READER_RETRY_MS;
		}
	}
	read_plan_make(m, n->operators.wait_ms, &plan);
	n->log.wait_ms = plan.wait_ms;
	n->log.gather_ms = plan.gather_ms;
	if (n->log.pause_ms > plan.pause_ms && log_client_up(&n->log))
		log_client_read_now(&n->log);
	n->log.pause_ms = plan.pause_ms;
	n->operators.gather_ms = GATHER_MS;
	n->log.retry_max_ms = m->is_log_reader ? READER_RETRY_MS : RETRY_MAX_MS;
	if (n->log.pause_ms)
		n->operators.gather_ms = GATHER_OPERATORS_MS;
	/* What operators changed is in force elsewhere by now, or nobody reads.
	 */
	if (m->published_source > m->fleet.source_offset &&
	    now - m->published_since_ms > DEAF_MS &&
	    now - n->log.read_sent_ms > DEAF_MS)
		log_client_renew(&n->log);
	if (!n->operators.ops)
		return;
	if (m->fleet.source_offset < n->operators.next || !n->reads_operators)
		n->source_ahead_ms = 0;
	else if (!n->source_ahead_ms)
		n->source_ahead_ms = now;
	else if (now - n->source_ahead_ms > DEAF_MS + n->operators.gather_ms)
		log_client_renew(&n->operators);
}

/* Begin to read. */
void streams_init(struct node *n)
{
	const char *address = n->settings.log;

	log_scan_init(&n->scan);
	operator_records_init(&n->published);
	operator_records_init(&n->published_newest);
	n->published_until = -1;
	n->newest_until = -1;
	n->reads_operators = true;
	if (n->settings.interface == INTERFACE_OWN) {
		log_client_init(&n->log, n->loop, address, &log_http_ops,
				&log_handlers, n);
		return;
	}
	log_client_init(&n->log, n->loop, address, &store_fleet_ops,
			&log_handlers, n);
	log_client_recover_first(&n->log);
	log_client_init(&n->operators, n->loop, address, &store_operator_ops,
			&operator_handlers, n);
	log_client_recover_first(&n->operators);
	member_expect_operator_stream(&n->member);
	n->log.name = "fleet";
	n->operators.name = "operators";
	n->operators.wait_ms = LOG_WAIT_LONG_MS;
}

/* Stop reading, and drop appends under way. */
void streams_finish(struct node *n)
{
	log_client_finish(&n->log);
	if (n->operators.ops)
		log_client_finish(&n->operators);
	operator_records_finish(&n->published);
	operator_records_finish(&n->published_newest);
	log_scan_finish(&n->scan);
}

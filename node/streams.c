#include <inttypes.h>
#include <string.h>

#include "net/clock.h"
#include "node/node.h"
#include "node/read-plan.h"
#include "platform/store.h"
#include "util/event.h"
#include "util/histogram.h"
#include "util/result.h"

/*
 * The streams that a node reads: the fleet's, whose records make up the state
 * of the fleet, and the operators', if they publish in a separate stream.
 */

/*
 * A read in flight returns new records within some milliseconds of the reads of
 * other nodes. A read that has not returned them after this time has stalled
 * and is replaced.
 */
#define STALLED_READ_MS 200
/*
 * Open connections to the store may all turn dead at once, unnoticed until a
 * read has not been answered after its wait. The first of these nodes by rank
 * has the shortest wait, so that one of them always notices soon; more such
 * nodes, or more with the same wait, would make more calls to the store.
 */
#define N_FIRST_READERS 4
#define READER_WAIT_STEP_MS 750
/* Wait of their reads of the fleet's stream. */
#define LOG_SHORT_WAIT_MS 3000
/*
 * Nodes that read for others retry at least this often, to notice soon that the
 * store is available again.
 */
#define READER_RETRY_MAX_MS 500
/*
 * How often a node that need not follow the operators' stream reads it. If it
 * has to follow the stream again after a long time, it may have to read all of
 * it.
 */
#define OPERATOR_IDLE_INTERVAL_MS (10 * 60 * 1000)
/* How often waits are updated, as a node's rank changes with the members. */
#define WAIT_UPDATE_INTERVAL_MS 1000

static void apply_record(struct node *n, int64_t offset, const char *id,
			 const json_t *record)
{
	member_on_record(&n->member, offset, id, record, clock_now_ms());
	audit_flush(&n->audit);
}

/*
 * Loads the newest usable snapshot that is newer than the state here, so that
 * as few records as possible are replayed. Returns its offset, or -1 for none.
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
		g_warning("cannot load a snapshot from the log: %s",
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
			apply_record(n, r->offset, r->id, r->record);
	}
	EVENT(log_recovered, NULL,
	      "\"records\":%u,\"first\":%" PRId64 ",\"end\":%" PRId64
	      ",\"before\":%" PRId64 ",\"snapshot\":%" PRId64
	      ",\"replayed\":%" PRId64 ",\"ms\":%" PRId64,
	      records->len, first ? first->offset : -1, n->log.scan_from,
	      before, snapshot, n->member.fleet.applied - from,
	      clock_now_ms() - n->log.read_sent_at_ms);
	log_scan_clear(&n->scan);
	log_client_seek(&n->log, n->member.fleet.applied + 1);
}

static void on_record(void *user, int64_t offset, const char *id,
		      const json_t *record)
{
	struct node *n = user;

	if (n->log.scanning) {
		log_scan_add(&n->scan, offset, id, record);
		return;
	}
	if (offset > n->member.fleet.applied) {
		if (!n->relay_pending)
			n->relay_from = offset;
		n->relay_pending = true;
		apply_record(n, offset, id, record);
	}
	n->log.next = n->member.fleet.applied + 1;
}

static void on_tail(void *user, int64_t sent_ms)
{
	struct node *n = user;

	if (n->log.scanning) {
		/*
		 * The whole log was read. Without a snapshot, that is enough
		 * only if no record is missing between the state here and the
		 * beginning of the log.
		 */
		int64_t end = n->log.scan_from;

		replay_scanned(n);
		if (n->member.fleet.applied + 1 < end)
			return;
	}
	member_on_log_tail(&n->member, sent_ms, clock_now_ms());
	if (n->relay_pending)
		member_relay_records(&n->member, n->relay_from);
	n->relay_pending = false;
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

static void emit_change_appended(struct node *n, int result)
{
	int64_t ms = clock_now_ms() - n->change_sent_at_ms;

	if (!result)
		MEASURE(change_append_ms, ms);
	EVENT(change_appended, NULL,
	      "\"source\":%" PRId64 ",\"base\":%" PRId64
	      ",\"result\":\"%s\",\"conflicts\":%u,\"ms\":%" PRId64,
	      n->change_sent_source, n->change_sent_base, result_name(result),
	      n->log.ended_conflicts, ms);
}

static void on_appended(void *user, int kind, void *append_user, int result)
{
	struct node *n = user;

	if (kind == APPEND_PUBLISHED)
		emit_change_appended(n, result);
	if (kind == APPEND_OPERATOR)
		operator_appended(n, append_user, result);
	else if (kind < N_APPEND_KINDS)
		member_append_done(&n->member, kind, result, clock_now_ms());
	if (kind == APPEND_LEFT && !result)
		leaving_on_recorded(n);
	/* A node learns its member id by reading its own join record. */
	if (kind == APPEND_JOIN && !result)
		log_client_read_now(&n->log);
}

static void on_published(void *user, int64_t offset, const char *id,
			 const json_t *record)
{
	struct node *n = user;

	n->operator_stream.next = offset + 1;
	if (n->operator_stream.scanning) {
		if (operator_records_apply(&n->rescanned_operator_records, id,
					   record))
			n->rescanned_offset = offset;
		return;
	}
	if (operator_records_apply(&n->operator_records, id, record))
		n->published_offset = offset;
}

static void on_published_tail(void *user, int64_t sent_ms)
{
	struct node *n = user;

	(void)sent_ms;
	if (n->operator_stream.scanning) {
		/*
		 * A record that was removed meanwhile shows only by its absence
		 * from the newest records, so its removal gets the last offset
		 * that was scanned.
		 */
		if (operator_records_replace(&n->operator_records,
					     &n->rescanned_operator_records))
			n->rescanned_offset = n->operator_stream.scan_from - 1;
		n->published_offset =
			MAX(n->published_offset, n->rescanned_offset);
		log_client_seek(&n->operator_stream,
				n->operator_stream.scan_from);
	}
	if (n->published_offset > n->member.published_source &&
	    n->operator_records.config) {
		member_set_published(
			&n->member, n->published_offset,
			operator_records_config_bytes(&n->operator_records),
			clock_now_ms());
		EVENT(published, NULL, "\"source\":%" PRId64 ",\"bytes\":%u",
		      n->published_offset,
		      operator_records_config_bytes(&n->operator_records));
	}
	member_operator_stream_read(&n->member, clock_now_ms());
}

static void on_published_trimmed(void *user, int64_t first)
{
	struct node *n = user;

	operator_records_clear(&n->rescanned_operator_records);
	log_client_scan(&n->operator_stream, first);
}

static void on_fleet_regained(void *user)
{
	struct node *n = user;

	if (n->operator_stream.ops && n->reads_operator_stream)
		log_client_on_other_stream_up(&n->operator_stream);
}

static void on_operators_regained(void *user)
{
	struct node *n = user;

	log_client_on_other_stream_up(&n->log);
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
 * Whether this node's reads wait a shorter time for new records. When the store
 * comes back after an outage, the reads that were waiting there may all stay
 * without an answer, and no node gets new records until one of these reads
 * times out. So a few nodes, the first by rank, use a short wait; the others
 * learn from their peers that they have missed records.
 */
static uint32_t reader_rank(const struct node *n)
{
	const struct member_node *m = &n->member;

	return m->self_id ? assign_rank(&m->fleet, "publish", m->self_id)
			  : UINT32_MAX;
}

static void update_operator_reads(struct node *n)
{
	bool reads = member_reads_operator_stream(&n->member);

	if (!n->operator_stream.ops || reads == n->reads_operator_stream)
		return;
	n->reads_operator_stream = reads;
	n->operator_stream.idle_interval_ms = reads ? 0
						    : OPERATOR_IDLE_INTERVAL_MS;
	if (reads)
		log_client_read_now(&n->operator_stream);
	else
		log_client_pause(&n->operator_stream);
}

void streams_tick(struct node *n, int64_t now)
{
	struct member_node *m = &n->member;
	struct read_plan plan;
	uint32_t rank;

	if (m->log_read_due ||
	    (m->behind_since_ms && now - m->behind_since_ms > STALLED_READ_MS))
		log_client_restart_read(&n->log);
	m->log_read_due = false;
	if (now >= n->next_wait_update_at_ms) {
		n->next_wait_update_at_ms = now + WAIT_UPDATE_INTERVAL_MS;
		update_operator_reads(n);
		n->operator_stream.retry_max_ms = RETRY_MAX_MS;
		rank = reader_rank(n);
		n->is_first_reader = rank < N_FIRST_READERS;
		if (n->is_first_reader)
			n->operator_stream.retry_max_ms = READER_RETRY_MAX_MS;
		log_client_set_wait(&n->operator_stream,
				    n->is_first_reader
					    ? (rank + 1) * READER_WAIT_STEP_MS
					    : LOG_WAIT_MAX_MS);
	}
	read_plan_make(m,
		       n->is_first_reader ? LOG_SHORT_WAIT_MS : LOG_WAIT_MAX_MS,
		       n->is_first_reader, &plan);
	n->operator_stream.batch_delay_ms = plan.operators_batch_delay_ms;
	n->log.wait_ms = plan.wait_ms;
	n->log.batch_delay_ms = plan.batch_delay_ms;
	if (n->log.idle_interval_ms > plan.idle_interval_ms &&
	    log_client_up(&n->log))
		log_client_read_now(&n->log);
	n->log.idle_interval_ms = plan.idle_interval_ms;
	n->log.retry_max_ms = m->is_log_reader ? READER_RETRY_MAX_MS
					       : RETRY_MAX_MS;
	/*
	 * Operators published a change that is not in force here. By now it is
	 * in force on other nodes and this node's read has stalled, or the
	 * reads of all nodes have stalled.
	 */
	if (m->published_source > m->fleet.source_offset &&
	    now - m->published_wait_since_ms > STALLED_READ_MS &&
	    now - n->log.read_sent_at_ms > STALLED_READ_MS)
		log_client_restart_read(&n->log);
	if (!n->operator_stream.ops)
		return;
	if (m->fleet.source_offset < n->operator_stream.next ||
	    !n->reads_operator_stream)
		n->source_ahead_since_ms = 0;
	else if (!n->source_ahead_since_ms)
		n->source_ahead_since_ms = now;
	else if (now - n->source_ahead_since_ms >
		 STALLED_READ_MS + n->operator_stream.batch_delay_ms)
		log_client_restart_read(&n->operator_stream);
}

void streams_init(struct node *n)
{
	const char *address = n->settings.log;

	log_scan_init(&n->scan);
	operator_records_init(&n->operator_records);
	operator_records_init(&n->rescanned_operator_records);
	n->published_offset = -1;
	n->rescanned_offset = -1;
	n->reads_operator_stream = true;
	if (n->settings.interface == INTERFACE_OWN) {
		log_client_init(&n->log, n->loop, address, &log_http_ops,
				&log_handlers, n);
		return;
	}
	log_client_init(&n->log, n->loop, address, &store_fleet_ops,
			&log_handlers, n);
	log_client_recover_first(&n->log);
	log_client_init(&n->operator_stream, n->loop, address,
			&store_operator_ops, &operator_handlers, n);
	log_client_recover_first(&n->operator_stream);
	member_expect_operator_stream(&n->member);
	n->log.name = "fleet";
	n->operator_stream.name = "operators";
	n->operator_stream.wait_ms = LOG_WAIT_MAX_MS;
}

void streams_finish(struct node *n)
{
	log_client_finish(&n->log);
	if (n->operator_stream.ops)
		log_client_finish(&n->operator_stream);
	operator_records_finish(&n->operator_records);
	operator_records_finish(&n->rescanned_operator_records);
	log_scan_finish(&n->scan);
}

#ifndef NET_LOG_CLIENT_H
#define NET_LOG_CLIENT_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

#include "net/answer-delay.h"
#include "net/fetch.h"

/*
 * Client of the platform's log. It reaches the log through struct log_ops, so
 * that the protocol of the platform can replace the HTTP and JSON of the
 * stand-in.
 */

/*
 * An answer that is longer is given up: a page or a read has about a megabyte,
 * and one record more.
 */
#define LOG_ANSWER_MAX_BYTES (16 * 1024 * 1024)

/* Default of log_client.retry_max_ms. */
#define RETRY_MAX_MS 2000

struct log_client;
struct log_append;

/* The result of one read. */
struct log_batch {
	int result; /* RESULT_TRIMMED: the log begins at first */
	int64_t first; /* oldest offset that the log holds */
	int64_t next; /* offset that the next append will get */
	json_t *records; /* list of {offset, id, record} */
};

struct log_ops {
	/*
	 * Request the records from an offset on. If there are none, the log
	 * answers after wait_ms or when a record is appended.
	 */
	void (*read)(struct log_client *c, int64_t from, int64_t wait_ms);
	/*
	 * Read the records that the log keeps permanently, beyond its trimmed
	 * history; batch.next is the offset at which reading continues. NULL
	 * when the log has no such call: then only the history is read.
	 */
	void (*recover)(struct log_client *c);
	/* Append a record; log_client_append_done() gets the result. */
	void (*append)(struct log_client *c, struct log_append *a);
};

/* An append in flight. */
struct log_append {
	struct log_client *client;
	struct fetch fetch;
	GString *body;
	GString *answer;
	char id[40];
	int64_t started_at_ms;
	int kind; /* chosen by the caller, passed to on_appended */
	void *user;
	bool any_offset; /* may follow records that are not read yet */
	uint32_t n_offset_retries; /* times resent after a conflict */
	uint32_t n_conflicts; /* times another record came first */
	bool in_doubt; /* sent, but the answer was lost */
	int64_t in_doubt_since_ms;
};

struct log_handlers {
	/* One record, in order. */
	void (*on_record)(void *user, int64_t offset, const char *id,
			  const json_t *record);
	/* A read that was sent at sent_ms reached the end of the log. */
	void (*on_tail)(void *user, int64_t sent_ms);
	/*
	 * The log answers again, after a failed read or after a read that was
	 * restarted by log_client_restart_read(). May be NULL.
	 */
	void (*on_regained)(void *user);
	/* The next record is trimmed; first is the oldest offset left. */
	void (*on_trimmed)(void *user, int64_t first);
	/* An append ended. */
	void (*on_appended)(void *user, int kind, void *append_user,
			    int result);
};

struct log_client {
	const struct log_ops *ops;
	const struct log_handlers *handlers;
	void *user;
	struct fetcher fetcher;
	struct ev_loop *loop;
	const char *name; /* of the stream, for log lines */
	char address[64];
	char writer[24];
	uint64_t n_appends;
	struct fetch read_fetch;
	GString *read_answer;
	int64_t read_from;
	int64_t read_sent_at_ms;
	int64_t wait_ms; /* how long the log may delay an empty answer */
	int64_t idle_interval_ms; /* from a read that reached the end to the
				     next */
	int64_t batch_delay_ms; /* the same if it had records, to batch later
				   ones */
	int64_t answer_timeout_ms; /* for the answer, beyond wait_ms */
	bool reading;
	int64_t read_wait_ms; /* of the current read */
	struct answer_delay answer_delay;
	ev_timer overdue_timer; /* runs until the current read is overdue */
	/*
	 * Until then new connections are used: kept ones may be dead as well,
	 * and keepalive has closed those by then.
	 */
	int64_t new_connections_until_ms;
	bool read_restarted; /* the read replaces one without an answer */
	bool other_stream_up; /* read was started as another stream is up */
	json_t *newest_records; /* read by recover so far */
	int64_t newest_end_offset; /* the log's end when recover began */
	uint32_t n_pages; /* read by recover so far */
	bool scanning; /* reads from scan_from on, to find a snapshot */
	int64_t scan_from;
	int64_t next; /* offset of the next record to read */
	int64_t retry_ms;
	int64_t retry_max_ms; /* longest backoff after a failed read */
	int64_t n_failures; /* failed reads in succession */
	ev_timer timer;
	GPtrArray *appends; /* struct log_append */
	uint32_t ended_conflicts; /* while on_appended runs: of that append */
};

extern const struct log_ops log_http_ops;

/* Set up a client and start to read from offset 0. */
void log_client_init(struct log_client *c, struct ev_loop *loop,
		     const char *address, const struct log_ops *ops,
		     const struct log_handlers *handlers, void *user);

/* Stop reading, cancel appends in flight and release. */
void log_client_finish(struct log_client *c);

/*
 * Begin with log_ops.recover instead of reading from offset 0. No effect where
 * the log has no such call.
 */
void log_client_recover_first(struct log_client *c);

/* Continue to read from an offset, for example after loading a snapshot. */
void log_client_seek(struct log_client *c, int64_t next);

/* Read all records from an offset on, to find a snapshot. */
void log_client_scan(struct log_client *c, int64_t from);

/*
 * Called when a record is known to exist that the current read should have
 * returned by now: cancel that read and send a new one on another connection.
 * If no read is in flight, send one at once, unless the last one failed. No
 * effect on a read sent less than half a second ago, on one that was itself
 * restarted, or while scanning.
 */
void log_client_restart_read(struct log_client *c);

/*
 * Set how long the log may delay an empty answer. A current read that would end
 * later by that is replaced.
 */
void log_client_set_wait(struct log_client *c, int64_t wait_ms);

/* Read at once, without waiting for the next scheduled read. */
void log_client_read_now(struct log_client *c);

/*
 * Called when another stream of the same log answers again: read at once
 * instead of at the next retry, and restart a read that is in flight. Kept
 * connections are not used for some seconds.
 */
void log_client_on_other_stream_up(struct log_client *c);

/*
 * The current read is overdue: send it again on a new connection, to be
 * answered at once. No effect on a read that was itself sent again or whose
 * answer is arriving, or while scanning.
 */
void log_client_read_overdue(struct log_client *c);

/* For struct log_ops: whether to use a new connection now. */
bool log_client_needs_new_connection(const struct log_client *c);

/*
 * Cancel the current read, which only waits for new records, and schedule the
 * next one after idle_interval_ms. No effect while scanning or while an append
 * is in doubt.
 */
void log_client_pause(struct log_client *c);

/*
 * Append a record, and take over the reference to it. on_appended gets the
 * result: RESULT_CONFLICT when other records came first, which must be read
 * before a retry; RESULT_OVERLOAD when too many appends are in flight.
 * any_offset: the record means the same after records that are not read yet; on
 * a conflict it is first resent a few times, each time at the log's end.
 */
void log_client_append(struct log_client *c, int kind, bool any_offset,
		       void *append_user, json_t *record);

/*
 * For struct log_ops: add to an answer what has been received of it. Returns
 * false if it gets longer than LOG_ANSWER_MAX_BYTES.
 */
bool log_client_add_answer(GString *answer, const void *data, size_t len);

/* For struct log_ops: a read or an append has ended. */
void log_client_read_done(struct log_client *c, struct log_batch *b);
void log_client_append_done(struct log_append *a, int result, bool sent);

/* Whether the last read succeeded. */
bool log_client_up(const struct log_client *c);

#endif

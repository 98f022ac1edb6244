#ifndef NET_LOG_CLIENT_H
#define NET_LOG_CLIENT_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

#include "net/fetch.h"

/*
 * The platform's log. A table of functions stands between the node and the
 * protocol, so that the platform's own can take the place of the HTTP and
 * JSON that the stand-in speaks.
 */

/* How long to wait at most after a failed read, where nothing else is said. */
#define RETRY_MAX_MS 2000

struct log_client;
struct log_append;

/* What came of one read. */
struct log_batch {
	int result; /* RESULT_TRIMMED: first says what is left */
	int64_t first; /* oldest offset the log holds */
	int64_t next; /* offset that the next append will get */
	json_t *records; /* list of {offset, id, record} */
};

struct log_ops {
	/* Ask for the records from an offset on, waiting for new ones. */
	void (*read)(struct log_client *c, int64_t from, int64_t wait_ms);
	/*
	 * Read all that is kept for good, where the log keeps more than its
	 * history; batch.next says where reading goes on. NULL: reads of the
	 * history must do.
	 */
	void (*recover)(struct log_client *c);
	/* Append; answered by log_client_append_done(). */
	void (*append)(struct log_client *c, struct log_append *a);
};

/* An append under way. */
struct log_append {
	struct log_client *client;
	struct fetch fetch;
	GString *body;
	GString *answer;
	char id[40];
	int64_t started_at_ms;
	int kind; /* the caller's own mark */
	void *user;
	bool any_offset; /* it may come after records not read yet */
	uint32_t n_moved; /* to another offset, since others came first */
	bool in_doubt; /* sent, and no answer came */
	int64_t in_doubt_since_ms;
};

struct log_handlers {
	/* One record, in order. */
	void (*on_record)(void *user, int64_t offset, const char *id,
			  const json_t *record);
	/* A read that began at sent_ms reached the end. */
	void (*on_tail)(void *user, int64_t sent_ms);
	/*
	 * The log answers again, after a failure or after a read that heard
	 * nothing. May be NULL.
	 */
	void (*on_regained)(void *user);
	/* The log no longer holds what we need; first is the oldest it has. */
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
	const char *name; /* of the stream, in log lines */
	char address[64];
	char writer[24];
	uint64_t n_appends;
	struct fetch read_fetch;
	GString *read_answer;
	int64_t read_from;
	int64_t read_sent_at_ms;
	int64_t wait_ms; /* how long a read may wait for news */
	int64_t pause_ms; /* between reads that found all there is */
	int64_t gather_ms; /* after a read with news, before the next */
	int64_t answer_timeout_ms; /* how long beyond that for its answer */
	bool reading;
	bool read_restarted; /* the read under way replaced one that heard
				nothing */
	bool other_stream_up; /* it was begun since another stream is back */
	json_t *newest_records; /* during recover */
	int64_t newest_end_offset;
	uint32_t n_pages;
	bool scanning; /* reading for a snapshot, from scan_from on */
	int64_t scan_from;
	int64_t next; /* next offset to be read */
	int64_t retry_ms;
	int64_t retry_max_ms; /* how long to wait at most after a failure */
	int64_t n_failures;
	ev_timer timer;
	GPtrArray *appends; /* struct log_append */
};

extern const struct log_ops log_http_ops;

void log_client_init(struct log_client *c, struct ev_loop *loop,
		     const char *address, const struct log_ops *ops,
		     const struct log_handlers *handlers, void *user);
void log_client_finish(struct log_client *c);

/*
 * Begin by recovering instead of reading from offset 0; no effect where the log
 * has no such call.
 */
void log_client_recover_first(struct log_client *c);

/* Read on from an offset; also after a snapshot was loaded. */
void log_client_seek(struct log_client *c, int64_t next);

/* Read everything from an offset on, in search of a snapshot. */
void log_client_scan(struct log_client *c, int64_t from);

/*
 * There is news that the read under way should have told of by now: replace it
 * by a new one, on a new connection; read at once where none is under way. No
 * effect on a read that is young, or that was itself begun for this, nor while
 * the whole log is read.
 */
void log_client_restart_read(struct log_client *c);

/* End a pause between reads. */
void log_client_read_now(struct log_client *c);

/*
 * Another stream of the same log answers again: do not wait for a retry, nor on
 * a connection from before.
 */
void log_client_on_other_stream_up(struct log_client *c);

/* End a read that only waits for news; the next one begins after the pause. */
void log_client_pause(struct log_client *c);

/*
 * Append a record, which is stolen. anywhere: it means the same after records
 * that have not been read yet. Where others come first, RESULT_CONFLICT tells
 * that these should be read; a record that may come anywhere tries to follow
 * them a few times before.
 */
void log_client_append(struct log_client *c, int kind, bool any_offset,
		       void *append_user, json_t *record);

/* For the ops: a read or an append has ended. */
void log_client_read_done(struct log_client *c, struct log_batch *b);
void log_client_append_done(struct log_append *a, int result, bool sent);

bool log_client_up(const struct log_client *c);

#endif

#ifndef NET_FETCH_H
#define NET_FETCH_H

#include <stdbool.h>
#include <stdint.h>
#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

#include "net/answer.h"
#include "net/connections.h"

/*
 * HTTP client on the event loop of the process, on top of libcurl's multi
 * interface. Used for calls to the backend server and to the platform's log.
 */

/* An answer whose body nobody takes (no on_data) may have a body this long. */
#define FETCH_MAX_UNREAD_BYTES (64 * 1024)

struct fetcher {
	struct ev_loop *loop;
	CURLM *multi;
	struct connections connections;
	ev_timer timer;
	GPtrArray *idle_handles; /* CURL *, kept for reuse */
	GPtrArray *sockets; /* struct fetch_socket */
	uint32_t callback_depth; /* calls of fetch_ops within libcurl */
	GPtrArray *cancelled_handles; /* CURL *, cancelled in a callback */
	GPtrArray *cancelled_answers; /* struct answer, of these */
	ev_prepare cleanup; /* active while cancelled_handles is not empty */
	int64_t max_idle_s; /* a connection idle for longer is not reused */
};

struct fetch;

struct fetch_ops {
	/*
	 * The head of the answer is whole. Returns ANSWER_FAULT_none to accept
	 * it, or why it is refused: the fetch then ends with RESULT_MIXED and
	 * its connection is closed. May be NULL.
	 */
	enum answer_fault (*check_head)(struct fetch *f);
	/* The head of the answer was accepted. May be NULL. */
	void (*on_head)(struct fetch *f);
	/*
	 * Whether on_data may be called. Returning false pauses the transfer
	 * until fetch_resume(). NULL: always.
	 */
	bool (*has_room)(const struct fetch *f);
	/*
	 * Part of the answer's body. Returns false to take no more of it: the
	 * fetch then ends with RESULT_MIXED and its connection is closed. May
	 * be NULL; then that happens beyond FETCH_MAX_UNREAD_BYTES.
	 */
	bool (*on_data)(struct fetch *f, const void *data, size_t len);
	/* The fetch ended: RESULT_OK, or why there is no whole answer. */
	void (*on_done)(struct fetch *f, int result);
};

/* One request. The memory is the caller's and must stay until on_done. */
struct fetch {
	struct fetcher *fetcher;
	CURL *easy;
	struct curl_slist *headers;
	const struct fetch_ops *ops;
	void *user;
	long status; /* of the answer whose head was accepted, else 0 */
	bool head_done; /* the head was accepted */
	bool sent; /* some byte of the request may have been sent */
	int64_t sent_at_us; /* when a connection was ready for it */
	int64_t send_by_ms; /* not sent after this time, 0 no limit */
	int64_t connect_by_ms; /* no connection opened after it, 0 no limit */
	bool connect_expired; /* failed because connect_by_ms had passed */
	bool connection_refused; /* no process listens at the address */
	bool stray_bytes; /* not sent: its connection has received some */
	bool fresh; /* on a new connection only */
	int64_t started_at_ms;
	int64_t timeout_ms;
	struct answer *answer; /* NULL before fetch_start() */
	struct connection_ends connection; /* that it was sent on */
	char error[CURL_ERROR_SIZE];
};

/* Set up a client that has at most max_connections open. */
void fetcher_init(struct fetcher *x, struct ev_loop *loop,
		  uint32_t max_connections);

/* Release; every fetch must have ended or been cancelled. */
void fetcher_finish(struct fetcher *x);

/*
 * Start a request. headers: names and values, alternating, or NULL. body is not
 * copied and must stay until the fetch ends. timeout_ms bounds the whole
 * transfer. fresh: use a new connection instead of a kept one.
 */
void fetch_start(struct fetch *f, struct fetcher *x, const char *method,
		 const char *url, const GPtrArray *headers, const void *body,
		 size_t len, int64_t timeout_ms, bool fresh,
		 const struct fetch_ops *ops, void *user);

/*
 * Set deadlines, by clock_now_ms(), of a request just started: it is not sent
 * after send_by_ms, and no connection is opened for it after connect_by_ms. A
 * request that misses one fails, with sent false.
 */
void fetch_set_deadlines(struct fetch *f, int64_t send_by_ms,
			 int64_t connect_by_ms);

/*
 * End a request just started with RESULT_TIMEOUT when no data arrives for
 * idle_ms, rounded down to whole seconds but at least one. The timeout of
 * fetch_start() applies as well.
 */
void fetch_set_idle_timeout(struct fetch *f, int64_t idle_ms);

/* Cancel a request: on_done is not called, and its connection is closed. */
void fetch_cancel(struct fetch *f);

/* Resume a transfer that has_room paused. */
void fetch_resume(struct fetch *f);

#endif

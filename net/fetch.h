#ifndef NET_FETCH_H
#define NET_FETCH_H

#include <stdbool.h>
#include <stdint.h>
#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

/*
 * HTTP client on the event loop of the process, on top of libcurl's multi
 * interface. Used for calls to the backend server and to the platform's log.
 */

/*
 * The head of an answer, with the interim answers before it and the trailers
 * after it, may have this many bytes.
 */
#define FETCH_MAX_HEAD_BYTES (64 * 1024)
/* An answer whose body nobody takes (no on_data) may have a body this long. */
#define FETCH_MAX_UNREAD_BYTES (64 * 1024)
/*
 * The bytes read for an answer may exceed those of its head and twice those of
 * its body by this much: the sizes and extensions of its chunks.
 */
#define FETCH_MAX_FRAMING_BYTES (256 * 1024)

struct fetcher {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	GPtrArray *idle_handles; /* CURL *, kept for reuse */
	GPtrArray *sockets; /* struct fetch_socket */
	uint32_t callback_depth; /* on_write() calls in progress */
	GPtrArray *cancelled_handles; /* CURL *, cancelled in a callback */
	GPtrArray *in_flight; /* struct fetch */
	ev_timer framing_timer; /* runs while in_flight is not empty */
	ev_prepare cleanup; /* active while cancelled_handles is not empty */
	int64_t max_idle_s; /* a connection idle for longer is not reused */
};

struct fetch;

struct fetch_ops {
	/*
	 * Called before on_head, once all headers of the answer are received.
	 * Returns false when the answer belongs to another request: the fetch
	 * then ends with RESULT_MIXED and its connection is closed. May be
	 * NULL.
	 */
	bool (*check_head)(struct fetch *f);
	/* Status and headers of the answer are received. May be NULL. */
	void (*on_head)(struct fetch *f);
	/*
	 * Part of the answer's body. Returning false pauses the transfer until
	 * fetch_resume(), which delivers the same part again. May be NULL; then
	 * an answer with a longer body than FETCH_MAX_UNREAD_BYTES ends with
	 * RESULT_MIXED.
	 */
	bool (*on_data)(struct fetch *f, const void *data, size_t len);
	/* The fetch ended: RESULT_OK, or why the answer is incomplete. */
	void (*on_done)(struct fetch *f, int result);
};

/* One request. The memory is the caller's and must stay until on_done. */
struct fetch {
	struct fetcher *fetcher;
	CURL *easy;
	struct curl_slist *headers;
	const struct fetch_ops *ops;
	void *user;
	long status;
	bool head_done;
	bool head_checked; /* check_head was called for the final head */
	bool sent; /* some byte of the request may have been sent */
	int64_t sent_at_us; /* when a connection was ready for it */
	int64_t send_by_ms; /* not sent after this time, 0 no limit */
	int64_t connect_by_ms; /* no connection opened after it, 0 no limit */
	bool connect_expired; /* failed because connect_by_ms had passed */
	bool connection_refused; /* no process listens at the address */
	/* check_head returned false, or what is received is no answer */
	bool rejected;
	int64_t head_bytes;
	int64_t body_bytes;
	curl_socket_t socket; /* that it was sent on */
	int local_port; /* of that socket */
	int64_t read_before; /* bytes from that socket, before it was sent */
	GPtrArray *answer_headers; /* names and values, alternating */
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

/*
 * To be called from on_data: take no more of the answer. The fetch ends with
 * RESULT_MIXED and its connection is closed.
 */
void fetch_reject(struct fetch *f);

/* Cancel a request: on_done is not called, and its connection is closed. */
void fetch_cancel(struct fetch *f);

/* Resume a transfer that on_data paused by returning false. */
void fetch_resume(struct fetch *f);

#endif

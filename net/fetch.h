#ifndef NET_FETCH_H
#define NET_FETCH_H

#include <stdbool.h>
#include <stdint.h>
#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

/*
 * HTTP client on the process's one loop, by libcurl's multi interface. Used
 * towards the backend server and the platform's log.
 */

struct fetcher {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	GPtrArray *idle_handles; /* CURL * handles kept for use again */
	GPtrArray *sockets; /* struct fetch_socket */
	uint32_t callback_depth; /* callbacks of libcurl that we are in */
	GPtrArray *cancelled_handles; /* CURL * cancelled within a callback */
	ev_prepare cleanup; /* runs while there are any */
	int64_t max_idle_s; /* a connection idle for longer is not reused */
	uint32_t n_in_flight;
};

struct fetch;

struct fetch_ops {
	/*
	 * All of the answer's headers are there, before on_head. False drops
	 * an answer that is not ours: the fetch ends with RESULT_MIXED and its
	 * connection closes. May be NULL.
	 */
	bool (*check_head)(struct fetch *f);
	/* The answer's head has come. */
	void (*on_head)(struct fetch *f);
	/* Part of its body; false pauses until fetch_resume(). */
	bool (*on_data)(struct fetch *f, const void *data, size_t len);
	/* The end: RESULT_OK, or why the answer is not whole. */
	void (*on_done)(struct fetch *f, int result);
};

/* One request, on memory the caller owns until on_done. */
struct fetch {
	struct fetcher *fetcher;
	CURL *easy;
	struct curl_slist *headers;
	const struct fetch_ops *ops;
	void *user;
	long status;
	bool head_done;
	bool sent; /* some byte of the request may have left */
	int64_t sent_at_us; /* when it had a connection */
	int64_t send_by_ms; /* not to be sent later, 0 at any time */
	int64_t connect_by_ms; /* no connection to be opened later, 0 any time */
	bool connect_expired; /* failed for the latter */
	bool connection_refused; /* nobody listens at the address */
	bool head_rejected; /* check_head refused the answer */
	GPtrArray *answer_headers; /* name and value in turn */
	char error[CURL_ERROR_SIZE];
};

void fetcher_init(struct fetcher *x, struct ev_loop *loop,
		  uint32_t max_connections);
void fetcher_finish(struct fetcher *x);

/*
 * Start a request. headers: name and value in turn, or NULL; body is not
 * copied and must stay until the end. fresh opens a new connection.
 */
void fetch_start(struct fetch *f, struct fetcher *x, const char *method,
		 const char *url, const GPtrArray *headers, const void *body,
		 size_t len, int64_t timeout_ms, bool fresh,
		 const struct fetch_ops *ops, void *user);

/*
 * Bound a request just started, by our clock: later than send_by_ms it is not
 * sent, and later than connect_by_ms no connection is opened for it. It fails
 * with sent false then.
 */
void fetch_set_deadlines(struct fetch *f, int64_t send_by_ms,
			 int64_t connect_by_ms);

/*
 * End a request just started with RESULT_TIMEOUT when nothing arrives for
 * idle_ms, by whole seconds, whatever its time limit.
 */
void fetch_set_idle_timeout(struct fetch *f, int64_t idle_ms);

/* Drop a request; on_done is not called. Its connection closes. */
void fetch_cancel(struct fetch *f);

/* Go on after on_data returned false. */
void fetch_resume(struct fetch *f);

#endif

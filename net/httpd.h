#ifndef NET_HTTPD_H
#define NET_HTTPD_H

#include <stdbool.h>
#include <stdint.h>
#include <ev.h>
#include <glib.h>
#include <microhttpd.h>

#include "net/byte-queue.h"

/*
 * HTTP/1.1 server on the event loop of the process, on top of libmicrohttpd,
 * which runs without threads here. on_request is called once a request's body
 * is complete. The answer may be given at any later time, whole or streamed.
 */

struct httpd;
struct httpd_request;

struct httpd_ops {
	/* A complete request is received; it must be answered eventually. */
	void (*on_request)(void *user, struct httpd_request *r);
	/*
	 * The caller closed its connection before r was answered; r may be a
	 * pipelined request that was begun early. on_closed follows. May be
	 * NULL.
	 */
	void (*on_caller_left)(void *user, struct httpd_request *r);
	/*
	 * Whether a pipelined request without a body may be begun before the
	 * requests ahead of it are answered. Such a request is dropped when
	 * its connection ends. NULL: no request is begun early.
	 */
	bool (*may_begin_early)(void *user, const struct httpd_request *r);
	/*
	 * The answer is finished, or the connection has ended. r is freed when
	 * this returns.
	 */
	void (*on_closed)(void *user, struct httpd_request *r);
	/* Bytes of a streamed answer were taken: more can be written. */
	void (*on_drained)(void *user, struct httpd_request *r);
};

struct httpd {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon; /* the one that accepts connections */
	GPtrArray *daemons; /* struct httpd_daemon, that one and older ones */
	uint64_t pool_bytes; /* memory of daemon for each connection */
	ev_timer timer;
	ev_prepare prepare;
	const struct httpd_ops *ops;
	void *user;
	uint64_t max_body_bytes;
	GPtrArray *connections; /* struct httpd_connection */
	bool needs_run; /* a connection was resumed: run the daemons */
	bool draining;
	bool stopped_listening; /* accepts no new connections */
};

/*
 * libmicrohttpd fixes the memory for each connection when a daemon starts. To
 * raise that limit, a new daemon takes over the listening socket; the old one
 * runs until its last connection is closed.
 */
struct httpd_daemon {
	struct httpd *httpd;
	struct MHD_Daemon *mhd;
	ev_io io;
	uint32_t n_connections;
};

/* An open connection of a caller. */
struct httpd_connection {
	struct httpd *httpd;
	struct httpd_daemon *daemon;
	struct MHD_Connection *mhd_connection;
	int fd;
	bool has_request; /* a request on it is not finished */
	bool idle_close_set; /* closes when idle for DRAIN_IDLE_S */
	bool caller_left; /* the caller closed it: no request is begun */
	struct httpd_request *current; /* suspended until there is an answer */
	ev_timer poll_timer; /* checks for pipelined requests meanwhile */
	GQueue pipelined; /* struct httpd_request, begun early */
	size_t pipelined_bytes; /* of those still unread in the socket */
	int64_t parsed_bytes; /* of requests that libmicrohttpd has parsed */
	bool parsed_unknown; /* a chunked body: its framing is not counted */
};

struct httpd_request {
	struct httpd *httpd;
	struct MHD_Connection *mhd_connection; /* NULL until MHD read it */
	struct httpd_connection *conn;
	GPtrArray *headers; /* if begun early, else NULL */
	bool in_socket; /* begun early, not yet read by libmicrohttpd */
	ev_io caller_watch; /* detects that the caller left, if suspended */
	ev_timer refusal_timer; /* until a request without a clear end is
				   refused */
	int64_t read_at_us; /* when its first line was read */
	char *method;
	char *path; /* decoded, without the query */
	char *url; /* as received, with the query */
	GByteArray *body;
	bool too_large;
	bool suspended;
	bool answered;
	bool streaming;
	bool body_ended;
	bool body_incomplete;
	bool is_http_1_0;
	bool ends_with_connection; /* its body's end is not marked otherwise */
	bool drop_unanswered; /* close the connection without an answer */
	struct MHD_Response *response; /* queued on resume */
	uint32_t status;
	struct byte_queue unsent; /* streamed bytes not yet taken by MHD */
	void *user;
};

/*
 * Listen on address ("127.0.0.1:8080"). max_body_bytes bounds the memory that
 * the body of one request may use; a longer one is answered with status 413.
 * Returns RESULT_OK, RESULT_INVALID when the address cannot be parsed,
 * RESULT_IO when it cannot be bound.
 */
int httpd_init(struct httpd *h, struct ev_loop *loop, const char *address,
	       uint64_t max_body_bytes, const struct httpd_ops *ops,
	       void *user);

/* Stop listening and close all connections. */
void httpd_finish(struct httpd *h);

/*
 * Accept request heads of up to this many bytes, at most 4 MiB, on connections
 * opened from now on. The limit is never lowered. Must not be called from an
 * operation of httpd_ops. Returns RESULT_OK, or RESULT_IO when the limit could
 * not be raised.
 */
int httpd_raise_head_limit(struct httpd *h, uint64_t bytes);

/*
 * For a graceful stop: close each connection after its next answer, or when it
 * has been idle for a second. Call again for connections opened since.
 */
void httpd_drain(struct httpd *h);

/* Drain, and accept no new connections. */
void httpd_stop_listening(struct httpd *h);

bool httpd_has_no_connections(const struct httpd *h);

/* For net/pipeline.c: a request that libmicrohttpd has not read yet. */
struct httpd_request *httpd_request_new(struct httpd *h);
void httpd_request_free(struct httpd_request *r);

/* The number of pipelined requests begun early on the connection of r. */
uint32_t httpd_n_pipelined(const struct httpd_request *r);

/* All headers: names and values, alternating. The caller unrefs the list. */
GPtrArray *httpd_headers(const struct httpd_request *r);

/* The value of a request header, NULL when absent. */
const char *httpd_header(const struct httpd_request *r, const char *name);

/* The value of a query argument, NULL when absent. */
const char *httpd_argument(const struct httpd_request *r, const char *name);

/*
 * Answer a request with a body that is copied. headers: names and values,
 * alternating, or NULL. No effect on a request that is answered already.
 */
void httpd_reply(struct httpd_request *r, uint32_t status,
		 const GPtrArray *headers, const void *body, size_t len);

/* Answer with a line of text. */
void httpd_reply_text(struct httpd_request *r, uint32_t status,
		      const char *text);

/* Begin a streamed answer of length bytes; a negative length is unknown. */
void httpd_stream_begin(struct httpd_request *r, uint32_t status,
			const GPtrArray *headers, int64_t length);

/* Append bytes to a streamed answer. */
void httpd_stream_write(struct httpd_request *r, const void *data, size_t len);

/*
 * End a streamed answer; one that is incomplete closes the connection. A caller
 * that knows the end of a body only by that gets a reset.
 */
void httpd_stream_end(struct httpd_request *r, bool complete);

/* Bytes of a streamed answer that libmicrohttpd has not taken yet. */
size_t httpd_unsent_bytes(const struct httpd_request *r);

#endif

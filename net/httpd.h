#ifndef NET_HTTPD_H
#define NET_HTTPD_H

#include <stdbool.h>
#include <stdint.h>
#include <ev.h>
#include <glib.h>
#include <microhttpd.h>

/*
 * HTTP/1.1 server on the process's one loop, by libmicrohttpd without threads
 * of its own. A request is handed over once its body is whole; the answer may
 * come at any later time, at once or in pieces.
 */

struct httpd;
struct httpd_request;

struct httpd_ops {
	/* A whole request; must be answered sooner or later. */
	void (*on_request)(void *user, struct httpd_request *r);
	/*
	 * The caller has left while its request is being worked on, or before
	 * the turn of one that was begun ahead of it. May be NULL; on_closed
	 * follows.
	 */
	void (*on_caller_left)(void *user, struct httpd_request *r);
	/*
	 * Whether a request without a body may begin before it is its turn on
	 * its connection, and be dropped should the connection end. May be
	 * NULL: none may.
	 */
	bool (*may_begin_early)(void *user, const struct httpd_request *r);
	/* The caller went away, or its answer is finished; r ends here. */
	void (*on_closed)(void *user, struct httpd_request *r);
	/* A streamed answer has room again. */
	void (*on_drained)(void *user, struct httpd_request *r);
};

struct httpd {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon; /* the one that listens */
	GPtrArray *daemons; /* struct httpd_daemon, it and those before it */
	uint64_t pool_bytes; /* what it has for the head of a request */
	ev_timer timer;
	ev_prepare prepare;
	const struct httpd_ops *ops;
	void *user;
	uint64_t max_body_bytes;
	GPtrArray *connections; /* struct httpd_connection */
	bool needs_run; /* a connection was resumed: run the daemon */
	bool draining;
	bool stopped_listening; /* takes no connections any more */
};

/*
 * libmicrohttpd is told at its start how much memory a connection may use. One
 * that has less than is needed goes on with the connections that it has.
 */
struct httpd_daemon {
	struct httpd *httpd;
	struct MHD_Daemon *mhd;
	ev_io io;
	uint32_t n_connections;
};

/* A caller's open connection. */
struct httpd_connection {
	struct httpd *httpd;
	struct httpd_daemon *daemon;
	struct MHD_Connection *mhd_connection;
	int fd;
	bool has_request; /* a request on it has begun and is not finished */
	bool idle_close_set; /* it was told to close when idle for a moment */
	bool caller_left; /* the caller has closed it: nothing more is begun */
	struct httpd_request *current; /* suspended while it is worked on */
	ev_timer poll_timer; /* for what else comes meanwhile */
	GQueue pipelined; /* struct httpd_request begun before their turn */
	size_t pipelined_bytes; /* what these take of what waits in the socket */
};

struct httpd_request {
	struct httpd *httpd;
	struct MHD_Connection *mhd_connection; /* NULL before its turn */
	struct httpd_connection *conn;
	GPtrArray *headers; /* of one begun before its turn, else NULL */
	bool in_socket; /* the same, and libmicrohttpd has not read it yet */
	ev_io caller_watch; /* for the caller's leaving, while suspended */
	int64_t read_at_us; /* when its first line was read */
	char *method;
	char *path; /* decoded, without the query */
	char *url; /* as it came, with the query */
	GByteArray *body;
	bool too_large;
	bool suspended;
	bool answered;
	bool streaming;
	bool body_ended;
	bool body_incomplete;
	bool drop_unanswered; /* ends with its connection, unanswered */
	struct MHD_Response *response; /* queued on resume */
	uint32_t status;
	GByteArray *unsent; /* streamed bytes not yet taken */
	void *user;
};

/*
 * Listen on address ("127.0.0.1:8080"). max_body_bytes bounds what one
 * request may hold in memory. Returns RESULT_OK, RESULT_INVALID for an
 * address that is none, RESULT_IO when it cannot be bound.
 */
int httpd_init(struct httpd *h, struct ev_loop *loop, const char *address,
	       uint64_t max_body_bytes, const struct httpd_ops *ops,
	       void *user);
void httpd_finish(struct httpd *h);

/*
 * Accept requests with heads of up to so many bytes, at most 4 MiB, on
 * connections from now on. Never less than before. Not to be called from an
 * operation of httpd_ops. Returns RESULT_OK, or RESULT_IO when it is as before.
 */
int httpd_raise_head_limit(struct httpd *h, uint64_t bytes);

/*
 * For a graceful stop: close connections after their next answer, or when idle
 * for a second. Call it again for those that were opened since.
 */
void httpd_drain(struct httpd *h);

/* Take no new connections. */
void httpd_stop_listening(struct httpd *h);

/* Whether no connection is open. */
bool httpd_has_no_connections(const struct httpd *h);

/* For net/pipeline.c: one that has not been read from a connection. */
struct httpd_request *httpd_request_new(struct httpd *h);
void httpd_request_free(struct httpd_request *r);

/* Requests begun behind this one on its connection. */
uint32_t httpd_n_pipelined(const struct httpd_request *r);

/* All headers, name and value in turn; the caller unrefs. */
GPtrArray *httpd_headers(const struct httpd_request *r);
const char *httpd_header(const struct httpd_request *r, const char *name);
const char *httpd_argument(const struct httpd_request *r, const char *name);

/* Answer whole. headers: name and value in turn, or NULL. */
void httpd_reply(struct httpd_request *r, uint32_t status,
		 const GPtrArray *headers, const void *body, size_t len);
void httpd_reply_text(struct httpd_request *r, uint32_t status,
		      const char *text);

/* Answer in pieces; length < 0: unknown. */
void httpd_stream_begin(struct httpd_request *r, uint32_t status,
			const GPtrArray *headers, int64_t length);
void httpd_stream_write(struct httpd_request *r, const void *data, size_t len);
void httpd_stream_end(struct httpd_request *r, bool complete);
size_t httpd_unsent_bytes(const struct httpd_request *r);

#endif

#ifndef REVIEW_COMMON_H
#define REVIEW_COMMON_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * What the cases share: a record of what was sent, answered and run, HTTP/1.1
 * over blocking sockets, and a stand-in for a backend server of the platform.
 */

/* How often a server sends a heartbeat, and how long it waits for the answer. */
#define HEARTBEAT_MS 870
#define HEARTBEAT_ANSWER_MS 1000

/* Exit codes of a case. */
enum {
	CASE_HELD = 0,
	CASE_BROKEN = 1,
	CASE_NOT_RUN = 2
};

/* Milliseconds since the first call, by a steady clock. */
int64_t now_ms(void);
void sleep_ms(int64_t ms);
void sleep_until_ms(int64_t at_ms);

/* Opens record.txt; each line of the record begins with now_ms(). */
void record_open(const char *path);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Prints why the case could not run, and ends the process with code 2. */
void not_run(const char *format, ...)
	__attribute__((format(printf, 1, 2), noreturn));

/* The value of an environment variable; the case cannot run without it. */
const char *need_env(const char *name);

/* An open connection with the bytes that were read and not used yet. */
struct conn {
	int fd;
	size_t len;
	char bytes[65536];
};

struct message {
	char head[16384]; /* first line and headers, with the empty line */
	char *body;
	size_t body_len;
};

/* Opens a connection to "IP:PORT". Returns the socket, or -1. */
int dial(const char *address, int64_t timeout_ms);
int listen_at(const char *address);
bool send_all(int fd, const void *data, size_t len);

/*
 * Reads one message with a length, in chunks, or, if it is an answer without
 * either, up to the end of the connection. Free the body. Returns false if no
 * whole message came within timeout_ms.
 */
bool read_message(struct conn *c, struct message *m, bool is_answer,
		  int64_t timeout_ms);

/* Copies the value of a header. Returns false if there is none. */
bool header_of(const struct message *m, const char *name, char *out,
	       size_t size);
int status_of(const struct message *m);

/*
 * Sends a request over a connection of its own and returns the status of the
 * answer, -1 if there was no whole one. answer may be NULL.
 */
int call(const char *address, const char *method, const char *path,
	 const char *headers, const char *body, int64_t timeout_ms,
	 struct message *answer);

/* Stand-in for the backend server of one machine. */
struct server {
	const char *address;
	const char *control; /* of the node beside it */
	const char *service;
	const char *zone;
	char id[32];
	int64_t born_ms; /* Unix time */
	bool sharded;
	int64_t work_ms;
	/* Of 1,000 requests, how many are refused as if the server were full. */
	volatile int refuse_per_mille;
	/*
	 * Of 1,000 answers, how many are sent once more, at the point where the
	 * next answer on the connection is expected.
	 */
	volatile int copy_per_mille;
	volatile int64_t cold_until_ms;

	pthread_mutex_t lock;
	int64_t seq;
	bool silent; /* sends no heartbeats */
	int64_t first_heartbeat_ms; /* from the start to the first heartbeat */
	bool ended;
	int listen_fd;
	int conns[4096];
	int n_conns;
	/* Keys granted by call: until when, and under which fence. */
	int64_t *held_until_ms;
	int64_t *fence;

	/* Called when a run begins. May be NULL. */
	void (*on_run)(struct server *s, const char *request_id,
		       const char *path);
	/* Called for each grant, before it is applied. May be NULL. */
	void (*on_grant)(struct server *s, int64_t from, int64_t to,
			 int64_t fence, int64_t hold_ms);
	/* Called when a request is refused with 503. May be NULL. */
	void (*on_refused)(struct server *s, const char *request_id);
	/* Called when an answer is sent once more. May be NULL. */
	void (*on_copy)(struct server *s, const char *answer);
	/* Passes a heartbeat on. NULL: send it at once. */
	int (*pass_heartbeat)(struct server *s, const char *path,
			      const char *body);
};

#define N_KEYS 65536

/* Listens, answers, and sends heartbeats until server_end(). */
void server_start(struct server *s);

/* Closes all connections at once and answers nothing more, like a kill. */
void server_end(struct server *s);

/* The path and body of the next heartbeat; raises seq. */
void server_heartbeat(struct server *s, char *path, size_t path_size,
		      char *body, size_t body_size);

/* Sends a heartbeat at once and returns the status, -1 without an answer. */
int server_send_heartbeat(struct server *s, const char *path, const char *body);

/*
 * Publishes a configuration as the operator, and waits until all nodes answer
 * 200 on their ready pages. The case cannot run if they do not in 30 s.
 */
void publish_and_wait(const char *store, const char *config,
		      const char *const *ready, int n);

#endif

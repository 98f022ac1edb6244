#ifndef NET_PEER_H
#define NET_PEER_H

#include <stdbool.h>
#include <stdint.h>
#include <ev.h>
#include <glib.h>

/*
 * Links to other nodes by ZeroMQ: one ROUTER that all others connect to, and
 * one DEALER for each peer that this node has something to say to, opened
 * when first needed and closed when idle. Answers come back over the link that
 * the question took.
 */

/* What a message belongs to, its first byte. */
enum peer_plane {
	PLANE_MEMBER = 'm',
	PLANE_REQUEST = 'r',
};

/* Where a message came from, to answer it. Valid during the handler only. */
struct peer_source {
	const void *identity; /* of an inbound link, NULL on one of ours */
	size_t identity_len;
	const char *address; /* the other's peer address */
};

typedef void (*peer_handler)(void *user, enum peer_plane plane,
			     const struct peer_source *from, const void *data,
			     size_t len);

struct peers {
	struct ev_loop *loop;
	void *context;
	void *router;
	ev_io router_io;
	ev_prepare prepare;
	ev_timer idle_timer;
	GHashTable *links; /* address -> struct peer_link */
	GPtrArray *links_to_check; /* links sent on since last looked at */
	GHashTable *blocked; /* addresses cut by a test */
	char identity[96];
	bool router_needs_check;
	peer_handler handler;
	void *user;
	int64_t idle_close_ms;
};

/*
 * Listen on address. Returns RESULT_OK, RESULT_INVALID, or RESULT_IO when it
 * cannot be bound.
 */
int peers_init(struct peers *p, struct ev_loop *loop, const char *address,
	       peer_handler handler, void *user);
void peers_finish(struct peers *p);

/*
 * Send to a peer by its address. Until there is a connection it waits here;
 * lost when the queue is full.
 */
int peers_send(struct peers *p, const char *address, enum peer_plane plane,
	       const void *data, size_t len);

/* How long a new link may take before it counts as down. */
#define PEER_CONNECT_TIMEOUT_MS 150

/*
 * Send what must not come late, under a tag that is not 0. RESULT_UNREACHABLE:
 * the link is down or its queue full, and nothing was sent. While a new link
 * connects it waits here, and peers_cancel_queued() may have it back.
 */
int peers_send_tagged(struct peers *p, const char *address,
		      enum peer_plane plane, uint64_t tag, const void *data,
		      size_t len);

/* Whether what was sent under a tag still waits for a connection. */
bool peers_is_queued(const struct peers *p, const char *address, uint64_t tag);

/*
 * Take back what was sent under a tag. Returns whether it still waited, and so
 * no byte of it has left; otherwise the peer may have got it.
 */
bool peers_cancel_queued(struct peers *p, const char *address, uint64_t tag);

/* Answer over the link that a message came by. */
int peers_answer(struct peers *p, const void *identity, size_t identity_len,
		 enum peer_plane plane, const void *data, size_t len);

/* Whether a connection is there on the link that a message came by. */
bool peers_is_connected(struct peers *p, const void *identity,
			size_t identity_len);

/* Read all that has come. */
void peers_receive(struct peers *p);

/* Close a link that has gone silent; the next send opens a new one. */
void peers_close_link(struct peers *p, const char *address);

/* When something last came over the link to a peer, 0 never. */
int64_t peers_last_received_at_ms(const struct peers *p, const char *address);

/* Tests only: drop everything to and from a peer. */
void peers_block(struct peers *p, const char *address, bool block);

uint32_t peers_n_links(const struct peers *p);

#endif

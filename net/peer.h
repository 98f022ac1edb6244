#ifndef NET_PEER_H
#define NET_PEER_H

#include <stdbool.h>
#include <stdint.h>
#include <ev.h>
#include <glib.h>

/*
 * Links to other nodes over ZeroMQ: one ROUTER socket that all peers connect
 * to, and one DEALER socket for each peer that this node sends to. A DEALER is
 * opened when first needed and closed when idle. An answer is sent over the
 * link on which the request arrived.
 */

/* The first byte of a message: the part of the node that handles it. */
enum peer_plane {
	PLANE_MEMBER = 'm', /* membership and leases */
	PLANE_REQUEST = 'r', /* requests and their answers */
};

/* The sender of a message, to answer it. Valid only during the handler. */
struct peer_source {
	const void *identity; /* of an inbound link, NULL on a DEALER */
	size_t identity_len;
	const char *address; /* the sender's peer address */
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
	GPtrArray *links_to_check; /* sent on since they were last read */
	GHashTable *blocked; /* addresses that a test has blocked */
	char identity[96];
	bool router_needs_check;
	peer_handler handler;
	void *user;
	int64_t idle_close_ms;
	uint64_t last_connection; /* the highest peer_connection.number given */
};

/*
 * A connection of a link. Its number is higher than those of all connections
 * that this process has had before, to any peer.
 */
struct peer_connection {
	uint64_t number;
	/*
	 * When the peer greeted it; 0 if it did not yet. What was sent under
	 * lower numbers may be lost.
	 */
	int64_t greeted_at_ms;
};

/*
 * Listen on address. Returns RESULT_OK, RESULT_INVALID when the address cannot
 * be parsed, or RESULT_IO when it cannot be bound.
 */
int peers_init(struct peers *p, struct ev_loop *loop, const char *address,
	       peer_handler handler, void *user);

/* Close all links and stop listening. */
void peers_finish(struct peers *p);

/*
 * Send to a peer by its address. The message is queued until there is a
 * connection, and dropped when that queue is full. Returns RESULT_OK,
 * RESULT_UNREACHABLE when no link can be opened, or RESULT_OVERLOAD when it is
 * dropped.
 */
int peers_send(struct peers *p, const char *address, enum peer_plane plane,
	       const void *data, size_t len);

/* A new link that is not connected after this time counts as down. */
#define PEER_CONNECT_TIMEOUT_MS 150

/*
 * Send a message that must not be delivered late, under a tag other than 0.
 * While a new link connects, the message is queued and peers_cancel_queued()
 * can cancel it. Returns RESULT_OK; RESULT_UNREACHABLE when the link is down or
 * ZeroMQ's queue is full, or RESULT_OVERLOAD when too many messages are queued:
 * nothing was sent then.
 */
int peers_send_tagged(struct peers *p, const char *address,
		      enum peer_plane plane, uint64_t tag, const void *data,
		      size_t len);

/* Open the link to a peer if needed, and keep it from being closed as idle. */
void peers_keep_open(struct peers *p, const char *address);

/*
 * The connection that a message sent to the address now goes over. The number
 * is 0 when there is no link.
 */
struct peer_connection peers_connection(const struct peers *p,
					const char *address);

/* Whether the message with this tag is still queued for a connection. */
bool peers_is_queued(const struct peers *p, const char *address, uint64_t tag);

/*
 * Cancel the message with this tag. Returns true when it was still queued, so
 * that no byte of it was sent; otherwise the peer may have received it.
 */
bool peers_cancel_queued(struct peers *p, const char *address, uint64_t tag);

/*
 * Answer over the inbound link on which a message arrived. Returns RESULT_OK,
 * or RESULT_OVERLOAD when the link is down or its queue is full.
 */
int peers_answer(struct peers *p, const void *identity, size_t identity_len,
		 enum peer_plane plane, const void *data, size_t len);

/* Whether the inbound link on which a message arrived is still connected. */
bool peers_is_connected(struct peers *p, const void *identity,
			size_t identity_len);

/* Receive and handle all messages that have arrived on inbound links. */
void peers_receive(struct peers *p);

/*
 * Close the link to a peer and drop its queued messages, for example when the
 * peer does not answer; the next send opens a new link.
 */
void peers_close_link(struct peers *p, const char *address);

/* When a message last arrived on the link to a peer; 0 if none did. */
int64_t peers_last_received_at_ms(const struct peers *p, const char *address);

/* Tests only: drop everything to and from a peer. */
void peers_block(struct peers *p, const char *address, bool block);

/* The number of open links to peers. */
uint32_t peers_n_links(const struct peers *p);

#endif

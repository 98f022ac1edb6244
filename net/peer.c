#include <errno.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "net/address.h"
#include "net/clock.h"
#include "net/peer.h"
#include "util/counters.h"
#include "util/result.h"

#define MAX_MESSAGE_BYTES (80 * 1024 * 1024)
#define HEARTBEAT_INTERVAL_MS 1000
#define HEARTBEAT_TIMEOUT_MS 2500
/* From the last message to the end, as with heartbeats from both ends. */
#define HEARTBEAT_TTL_MS (HEARTBEAT_INTERVAL_MS + HEARTBEAT_TIMEOUT_MS)
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3
#define CONNECT_TIMEOUT_MS 1000
#define HANDSHAKE_TIMEOUT_MS 2000
#define RECONNECT_MIN_MS 50
#define RECONNECT_MAX_MS 1000
#define QUEUE_MESSAGES 2000
/*
 * ZeroMQ stops reading a connection while its receive queue is full, and aborts
 * the process if that connection then fails. This limit is high enough that the
 * queue does not fill.
 */
#define RECEIVE_QUEUE_MESSAGES 50000
#define IDLE_CLOSE_MS 30000
#define ROUTER_LINGER_MS 100
#define IDLE_CHECK_S 1.0
/* Sent to find out whether a link is connected; the receiver ignores it. */
#define PROBE_MESSAGE "p"

struct peer_link {
	struct peers *peers;
	char *address;
	void *dealer;
	ev_io io;
	bool needs_check;
	bool was_connected;
	GQueue queued; /* struct queued_message, until it is connected */
	struct peer_connection connection;
	int64_t opened_at_ms;
	int64_t last_used_at_ms;
	int64_t last_received_at_ms;
};

struct queued_message {
	uint64_t tag; /* 0: cannot be cancelled */
	zmq_msg_t body;
};

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void set_common_options(void *socket)
{
	int64_t max = MAX_MESSAGE_BYTES;

	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_SNDHWM, QUEUE_MESSAGES);
	set_int(socket, ZMQ_RCVHWM, RECEIVE_QUEUE_MESSAGES);
	/*
	 * By default the kernel retries to connect to an unreachable host at
	 * intervals of up to many seconds, and a peer that is paused or
	 * disconnected during ZeroMQ's handshake would block the link for 30 s.
	 */
	set_int(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	set_int(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
	set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max, sizeof(max));
}

/*
 * A connection can become dead without a reset, for example when a firewall or
 * NAT between the two ends drops its state: sends continue to succeed but no
 * answer arrives. ZeroMQ closes a connection whose heartbeats are not answered,
 * and reconnects. Each heartbeat tells the other end after which silence to
 * close it there.
 *
 * Only the end that connects sends them. A router that a peer has connected to
 * again reads no more of the old connection, and if that one fails, a heartbeat
 * timer of its own makes ZeroMQ 4.3.4 abort the process.
 */
static void set_heartbeats(void *dealer)
{
	set_int(dealer, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
	set_int(dealer, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	set_int(dealer, ZMQ_HEARTBEAT_TTL, HEARTBEAT_TTL_MS);
}

/*
 * ZeroMQ 4.3.4 drops the time to live of a heartbeat when any other message
 * follows it, so the kernel has to notice that the other end has gone.
 */
static void set_kernel_timeouts(void *router)
{
	set_int(router, ZMQ_TCP_KEEPALIVE, 1);
	set_int(router, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S);
	set_int(router, ZMQ_TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S);
	set_int(router, ZMQ_TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES);
	set_int(router, ZMQ_TCP_MAXRT, HEARTBEAT_TTL_MS);
}

static int socket_fd(void *socket)
{
	int fd = -1;
	size_t len = sizeof(fd);

	zmq_getsockopt(socket, ZMQ_FD, &fd, &len);
	return fd;
}

static void deliver(struct peers *p, const struct peer_source *from,
		    zmq_msg_t *body)
{
	size_t len = zmq_msg_size(body);
	const char *data = zmq_msg_data(body);

	if (g_hash_table_contains(p->blocked, from->address))
		return;
	if (len == strlen(PROBE_MESSAGE) && !memcmp(data, PROBE_MESSAGE, len))
		return;
	if (!len || (data[0] != PLANE_MEMBER && data[0] != PLANE_REQUEST)) {
		COUNT(peer_messages_malformed);
		return;
	}
	COUNT(peer_messages_in);
	COUNT_ADD(peer_bytes_in, len);
	if (data[0] == PLANE_MEMBER)
		COUNT_ADD(control_bytes_in, len);
	p->handler(p->user, data[0], from, data + 1, len - 1);
}

/* A peer's identity is "ADDRESS/NONCE". */
static char *address_of(const void *identity, size_t len)
{
	const char *slash = memchr(identity, '/', len);

	return g_strndup(identity,
			 slash ? (size_t)(slash - (const char *)identity)
			       : len);
}

static bool receive_inbound(struct peers *p)
{
	zmq_msg_t identity;
	zmq_msg_t body;
	bool received;

	zmq_msg_init(&identity);
	zmq_msg_init(&body);
	received = zmq_msg_recv(&identity, p->router, ZMQ_DONTWAIT) >= 0;
	if (received && zmq_msg_more(&identity) &&
	    zmq_msg_recv(&body, p->router, ZMQ_DONTWAIT) >= 0) {
		g_autofree char *address = address_of(zmq_msg_data(&identity),
						      zmq_msg_size(&identity));
		struct peer_source from = {
			.identity = zmq_msg_data(&identity),
			.identity_len = zmq_msg_size(&identity),
			.address = address,
		};
		bool more = zmq_msg_more(&body);

		if (!more)
			deliver(p, &from, &body);
		while (more) {
			/* Drop it: messages between nodes have one part. */
			zmq_msg_close(&body);
			zmq_msg_init(&body);
			zmq_msg_recv(&body, p->router, ZMQ_DONTWAIT);
			more = zmq_msg_more(&body);
		}
	}
	zmq_msg_close(&body);
	zmq_msg_close(&identity);
	return received;
}

static void receive_inbound_all(struct peers *p)
{
	p->router_needs_check = false;
	while (receive_inbound(p))
		;
}

static void queued_message_free(struct queued_message *w)
{
	zmq_msg_close(&w->body);
	g_free(w);
}

/*
 * Pass a message to ZeroMQ, which then owns it. Returns false when the socket
 * is not connected or its queue is full.
 */
static bool pass_to_zmq(void *socket, zmq_msg_t *body)
{
	size_t len = zmq_msg_size(body);
	char plane = *(const char *)zmq_msg_data(body);

	if (zmq_msg_send(body, socket, ZMQ_DONTWAIT) < 0)
		return false;
	COUNT(peer_messages_out);
	COUNT_ADD(peer_bytes_out, len);
	if (plane == PLANE_MEMBER)
		COUNT_ADD(control_bytes_out, len);
	return true;
}

/* Send the queued messages. Returns whether the queue is empty. */
static bool flush_queued(struct peer_link *l)
{
	while (!g_queue_is_empty(&l->queued)) {
		struct queued_message *w = g_queue_peek_head(&l->queued);

		if (!pass_to_zmq(l->dealer, &w->body))
			return false;
		l->was_connected = true;
		g_queue_pop_head(&l->queued);
		queued_message_free(w);
	}
	return true;
}

/* Numbers are never reused, so that no two connections share one. */
static uint64_t next_connection(struct peers *p)
{
	return ++p->last_connection;
}

/*
 * The peer has greeted a new connection. ZeroMQ reconnects without reporting
 * it; what was sent on the connection before may be lost, or read late.
 */
static void on_greeting(struct peer_link *l)
{
	if (l->connection.greeted_at_ms)
		COUNT(peer_links_restored);
	l->connection.number = next_connection(l->peers);
	l->connection.greeted_at_ms = l->last_received_at_ms;
}

static bool receive_answer(struct peer_link *l)
{
	struct peer_source from = { .address = l->address };
	zmq_msg_t body;
	bool received;

	zmq_msg_init(&body);
	received = zmq_msg_recv(&body, l->dealer, ZMQ_DONTWAIT) >= 0;
	if (received) {
		l->last_received_at_ms = clock_now_ms();
		l->last_used_at_ms = l->last_received_at_ms;
		if (!zmq_msg_size(&body))
			on_greeting(l);
		else
			deliver(l->peers, &from, &body);
	}
	zmq_msg_close(&body);
	return received;
}

/* Whether the link's socket has a message to read or can be sent on. */
static bool has_event(const struct peer_link *l)
{
	int events = 0;
	size_t len = sizeof(events);

	zmq_getsockopt(l->dealer, ZMQ_EVENTS, &events, &len);
	return events & (ZMQ_POLLIN | ZMQ_POLLOUT);
}

/*
 * Receive all messages of a link and send its queued ones. A handler may close
 * the link whose message it handles, so the link is looked up after each
 * message.
 */
static void process_link(struct peers *p, const char *address)
{
	g_autofree char *key = g_strdup(address);
	struct peer_link *l;

	while ((l = g_hash_table_lookup(p->links, key))) {
		l->needs_check = false;
		if (receive_answer(l))
			continue;
		if (g_queue_is_empty(&l->queued) || !has_event(l))
			return;
		flush_queued(l);
	}
}

static void on_router(struct ev_loop *loop, ev_io *w, int events)
{
	(void)loop;
	(void)events;
	receive_inbound_all(w->data);
}

static void on_link(struct ev_loop *loop, ev_io *w, int events)
{
	struct peer_link *l = w->data;

	(void)loop;
	(void)events;
	process_link(l->peers, l->address);
}

/*
 * The file descriptor of a ZeroMQ socket is edge-triggered, and a send may
 * consume the edge of a message that has arrived. So each socket that was sent
 * on is read before the event loop blocks; otherwise that message would stay
 * unread until the next one arrives.
 */
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct peers *p = w->data;

	(void)loop;
	(void)events;
	while (p->router_needs_check || p->links_to_check->len) {
		struct peer_link *l;

		if (p->router_needs_check)
			receive_inbound_all(p);
		if (!p->links_to_check->len)
			continue;
		l = g_ptr_array_remove_index_fast(p->links_to_check,
						  p->links_to_check->len - 1);
		process_link(p, l->address);
	}
}

static void link_free(gpointer data)
{
	struct peer_link *l = data;

	g_ptr_array_remove_fast(l->peers->links_to_check, l);
	ev_io_stop(l->peers->loop, &l->io);
	g_queue_clear_full(&l->queued, (GDestroyNotify)queued_message_free);
	zmq_close(l->dealer);
	g_free(l->address);
	g_free(l);
	COUNT(peer_links_closed);
}

static void on_idle_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct peers *p = w->data;
	int64_t now = clock_now_ms();
	GHashTableIter it;
	gpointer value;

	(void)loop;
	(void)events;
	g_hash_table_iter_init(&it, p->links);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct peer_link *l = value;

		if (now - l->last_used_at_ms > p->idle_close_ms)
			g_hash_table_iter_remove(&it);
	}
}

int peers_init(struct peers *p, struct ev_loop *loop, const char *address,
	       peer_handler handler, void *user)
{
	g_autofree char *endpoint = g_strdup_printf("tcp://%s", address);
	struct sockaddr_in addr;

	memset(p, 0, sizeof(*p));
	if (address_parse(address, &addr))
		return RESULT_INVALID;
	p->loop = loop;
	p->handler = handler;
	p->user = user;
	p->idle_close_ms = IDLE_CLOSE_MS;
	g_snprintf(p->identity, sizeof(p->identity), "%s/%08x", address,
		   g_random_int());
	p->context = zmq_ctx_new();
	p->router = zmq_socket(p->context, ZMQ_ROUTER);
	set_common_options(p->router);
	set_kernel_timeouts(p->router);
	/* On close, allow time to send the last messages. */
	set_int(p->router, ZMQ_LINGER, ROUTER_LINGER_MS);
	set_int(p->router, ZMQ_ROUTER_HANDOVER, 1);
	/* Report a message that cannot be sent instead of dropping it. */
	set_int(p->router, ZMQ_ROUTER_MANDATORY, 1);
	/* Greet each new connection with an empty message. */
	set_int(p->router, ZMQ_PROBE_ROUTER, 1);
	p->links =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, link_free);
	p->links_to_check = g_ptr_array_new();
	p->blocked =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ev_io_init(&p->router_io, on_router, socket_fd(p->router), EV_READ);
	ev_prepare_init(&p->prepare, on_prepare);
	ev_timer_init(&p->idle_timer, on_idle_timer, IDLE_CHECK_S,
		      IDLE_CHECK_S);
	p->router_io.data = p;
	p->prepare.data = p;
	p->idle_timer.data = p;
	if (zmq_bind(p->router, endpoint)) {
		peers_finish(p);
		return RESULT_IO;
	}
	ev_io_start(loop, &p->router_io);
	ev_prepare_start(loop, &p->prepare);
	ev_timer_start(loop, &p->idle_timer);
	return RESULT_OK;
}

void peers_finish(struct peers *p)
{
	ev_io_stop(p->loop, &p->router_io);
	ev_prepare_stop(p->loop, &p->prepare);
	ev_timer_stop(p->loop, &p->idle_timer);
	g_hash_table_unref(p->links);
	g_hash_table_unref(p->blocked);
	g_ptr_array_unref(p->links_to_check);
	zmq_close(p->router);
	zmq_ctx_term(p->context);
}

static struct peer_link *find_or_open_link(struct peers *p, const char *address)
{
	struct peer_link *l = g_hash_table_lookup(p->links, address);
	g_autofree char *endpoint = NULL;

	if (l)
		return l;
	endpoint = g_strdup_printf("tcp://%s", address);
	l = g_new0(struct peer_link, 1);
	l->peers = p;
	l->address = g_strdup(address);
	l->dealer = zmq_socket(p->context, ZMQ_DEALER);
	set_common_options(l->dealer);
	set_heartbeats(l->dealer);
	/*
	 * ZeroMQ may send a message that it has accepted at any later time.
	 * With this option it accepts none without a connection, so that a
	 * request for an unreachable peer can be sent to another peer instead.
	 */
	set_int(l->dealer, ZMQ_IMMEDIATE, 1);
	g_queue_init(&l->queued);
	/*
	 * Each link has a new identity, so that answers to an earlier link are
	 * lost instead of being received as answers on this one.
	 */
	g_snprintf(strrchr(p->identity, '/'), 10, "/%08x", g_random_int());
	zmq_setsockopt(l->dealer, ZMQ_ROUTING_ID, p->identity,
		       strlen(p->identity));
	ev_io_init(&l->io, on_link, socket_fd(l->dealer), EV_READ);
	l->io.data = l;
	if (zmq_connect(l->dealer, endpoint)) {
		zmq_close(l->dealer);
		g_free(l->address);
		g_free(l);
		return NULL;
	}
	ev_io_start(p->loop, &l->io);
	l->connection.number = next_connection(p);
	l->opened_at_ms = clock_now_ms();
	l->last_used_at_ms = l->opened_at_ms;
	g_hash_table_insert(p->links, l->address, l);
	COUNT(peer_links_opened);
	return l;
}

static void fill_body(zmq_msg_t *body, enum peer_plane plane, const void *data,
		      size_t len)
{
	char *out;

	zmq_msg_init_size(body, len + 1);
	out = zmq_msg_data(body);
	out[0] = plane;
	memcpy(out + 1, data, len);
}

/*
 * The link to send to a peer on, opened if needed, or NULL. It is marked to be
 * read before the event loop blocks.
 */
static struct peer_link *get_link(struct peers *p, const char *address)
{
	struct peer_link *l = find_or_open_link(p, address);

	if (!l)
		return NULL;
	l->last_used_at_ms = clock_now_ms();
	if (!l->needs_check)
		g_ptr_array_add(p->links_to_check, l);
	l->needs_check = true;
	return l;
}

static void enqueue(struct peer_link *l, uint64_t tag, zmq_msg_t *body)
{
	struct queued_message *w = g_new(struct queued_message, 1);

	w->tag = tag;
	zmq_msg_init(&w->body);
	zmq_msg_move(&w->body, body);
	zmq_msg_close(body);
	g_queue_push_tail(&l->queued, w);
}

static int drop_message(zmq_msg_t *body, int result)
{
	zmq_msg_close(body);
	COUNT(peer_sends_dropped);
	return result;
}

static bool is_connecting(const struct peer_link *l)
{
	return !l->was_connected &&
	       clock_now_ms() - l->opened_at_ms < PEER_CONNECT_TIMEOUT_MS;
}

/* tag: 0 for a message that may stay queued for any length of time. */
static int send_or_queue(struct peer_link *l, uint64_t tag, zmq_msg_t *body)
{
	if (flush_queued(l) && pass_to_zmq(l->dealer, body)) {
		l->was_connected = true;
		return RESULT_OK;
	}
	if (tag && !is_connecting(l))
		return drop_message(body, RESULT_UNREACHABLE);
	if (l->queued.length >= QUEUE_MESSAGES)
		return drop_message(body, RESULT_OVERLOAD);
	enqueue(l, tag, body);
	return RESULT_OK;
}

int peers_send_tagged(struct peers *p, const char *address,
		      enum peer_plane plane, uint64_t tag, const void *data,
		      size_t len)
{
	struct peer_link *l;
	zmq_msg_t body;

	if (g_hash_table_contains(p->blocked, address))
		return RESULT_OK;
	l = get_link(p, address);
	if (!l)
		return RESULT_UNREACHABLE;
	fill_body(&body, plane, data, len);
	return send_or_queue(l, tag, &body);
}

int peers_send(struct peers *p, const char *address, enum peer_plane plane,
	       const void *data, size_t len)
{
	return peers_send_tagged(p, address, plane, 0, data, len);
}

void peers_keep_open(struct peers *p, const char *address)
{
	struct peer_link *l = find_or_open_link(p, address);

	if (l)
		l->last_used_at_ms = clock_now_ms();
}

struct peer_connection peers_connection(const struct peers *p,
					const char *address)
{
	const struct peer_link *l = g_hash_table_lookup(p->links, address);

	return l ? l->connection : (struct peer_connection){ 0 };
}

static GList *find_queued(const struct peers *p, const char *address,
			  uint64_t tag)
{
	struct peer_link *l = g_hash_table_lookup(p->links, address);
	GList *i;

	for (i = l ? l->queued.head : NULL; i; i = i->next)
		if (((struct queued_message *)i->data)->tag == tag)
			return i;
	return NULL;
}

bool peers_is_queued(const struct peers *p, const char *address, uint64_t tag)
{
	return find_queued(p, address, tag);
}

bool peers_cancel_queued(struct peers *p, const char *address, uint64_t tag)
{
	struct peer_link *l = g_hash_table_lookup(p->links, address);
	GList *i = find_queued(p, address, tag);

	if (!i)
		return false;
	queued_message_free(i->data);
	g_queue_delete_link(&l->queued, i);
	return true;
}

void peers_receive(struct peers *p)
{
	receive_inbound_all(p);
}

int peers_answer(struct peers *p, const void *identity, size_t identity_len,
		 enum peer_plane plane, const void *data, size_t len)
{
	g_autofree char *address = address_of(identity, identity_len);
	zmq_msg_t body;

	if (g_hash_table_contains(p->blocked, address))
		return RESULT_OK;
	p->router_needs_check = true;
	if (zmq_send(p->router, identity, identity_len,
		     ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0) {
		COUNT(peer_sends_dropped);
		return RESULT_OVERLOAD;
	}
	fill_body(&body, plane, data, len);
	return pass_to_zmq(p->router, &body)
		       ? RESULT_OK
		       : drop_message(&body, RESULT_OVERLOAD);
}

bool peers_is_connected(struct peers *p, const void *identity,
			size_t identity_len)
{
	g_autofree char *address = address_of(identity, identity_len);

	/* A link that a test has blocked looks connected, like a dead one. */
	if (g_hash_table_contains(p->blocked, address))
		return true;
	p->router_needs_check = true;
	if (zmq_send(p->router, identity, identity_len,
		     ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
		return zmq_errno() != EHOSTUNREACH;
	zmq_send(p->router, PROBE_MESSAGE, strlen(PROBE_MESSAGE), ZMQ_DONTWAIT);
	return true;
}

void peers_close_link(struct peers *p, const char *address)
{
	g_hash_table_remove(p->links, address);
}

int64_t peers_last_received_at_ms(const struct peers *p, const char *address)
{
	struct peer_link *l = g_hash_table_lookup(p->links, address);

	return l ? l->last_received_at_ms : 0;
}

void peers_block(struct peers *p, const char *address, bool block)
{
	if (block)
		g_hash_table_add(p->blocked, g_strdup(address));
	else
		g_hash_table_remove(p->blocked, address);
}

uint32_t peers_n_links(const struct peers *p)
{
	return g_hash_table_size(p->links);
}

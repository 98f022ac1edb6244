#include <errno.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <http_parser.h>

#include "net/pipeline.h"
#include "net/headers.h"
#include "net/socket-bytes.h"
#include "util/counters.h"

/*
 * Nothing is begun early when this much or more is unread in the socket: more
 * than a caller has reason to pipeline.
 */
#define PEEK_BYTES (8 * 1024)
#define MAX_PIPELINED 8

struct head {
	struct httpd_request *request;
	GString *url;
	GString *name;
	GString *value;
	bool in_value;
	bool has_odd_name;
	bool may_start; /* GET of HTTP/1.1 without a body or upgrade */
	bool complete;
};

static void finish_header(struct head *h)
{
	if (h->in_value) {
		header_add(h->request->headers, h->name->str, h->value->str);
		h->has_odd_name = h->has_odd_name ||
				  !header_name_is_valid(h->name->str);
	}
	g_string_set_size(h->name, 0);
	g_string_set_size(h->value, 0);
	h->in_value = false;
}

static int on_url(http_parser *p, const char *at, size_t len)
{
	struct head *h = p->data;

	g_string_append_len(h->url, at, len);
	return 0;
}

static int on_name(http_parser *p, const char *at, size_t len)
{
	struct head *h = p->data;

	if (h->in_value)
		finish_header(h);
	g_string_append_len(h->name, at, len);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct head *h = p->data;

	h->in_value = true;
	g_string_append_len(h->value, at, len);
	return 0;
}

static int on_headers(http_parser *p)
{
	struct head *h = p->data;

	finish_header(h);
	h->may_start = p->method == HTTP_GET && p->http_major == 1 &&
		       p->http_minor == 1 && p->content_length == ULLONG_MAX &&
		       !(p->flags & F_CHUNKED) && !p->upgrade &&
		       !h->has_odd_name;
	return 0;
}

static int on_complete(http_parser *p)
{
	struct head *h = p->data;

	h->complete = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_message_complete = on_complete,
};

/*
 * Parse the first request in data and set *len to its length. Returns NULL when
 * it is incomplete or must not be begun early.
 */
static struct httpd_request *parse_head(struct httpd *d, const char *data,
					size_t *len)
{
	struct head h = { .request = httpd_request_new(d),
			  .url = g_string_new(NULL),
			  .name = g_string_new(NULL),
			  .value = g_string_new(NULL) };
	struct httpd_request *r = h.request;
	http_parser parser;

	r->headers = headers_new();
	http_parser_init(&parser, HTTP_REQUEST);
	parser.data = &h;
	*len = http_parser_execute(&parser, &settings, data, *len);
	r->method = g_strdup("GET");
	r->url = g_strdup(h.url->str);
	r->path = g_strndup(r->url, strcspn(r->url, "?"));
	/*
	 * Only libmicrohttpd decodes URLs: a request with a percent-encoded
	 * one is not begun early.
	 */
	if (!h.complete || !h.may_start || strchr(r->url, '%') ||
	    r->url[0] != '/') {
		httpd_request_free(r);
		r = NULL;
	}
	g_string_free(h.url, TRUE);
	g_string_free(h.name, TRUE);
	g_string_free(h.value, TRUE);
	return r;
}

bool pipeline_is_in_step(const struct socket_bytes *b, int64_t parsed_bytes)
{
	return b->received - b->unread == parsed_bytes;
}

static bool begins_with_request(const struct httpd_connection *c)
{
	struct socket_bytes b;

	return !c->parsed_unknown && socket_bytes_read(c->fd, &b) &&
	       pipeline_is_in_step(&b, c->parsed_bytes);
}

void pipeline_poll(struct httpd_connection *c)
{
	struct httpd *d = c->httpd;
	char data[PEEK_BYTES];
	ssize_t n = recv(c->fd, data, sizeof(data), MSG_PEEK | MSG_DONTWAIT);

	if (!d->ops->may_begin_early || n <= 0 || n == sizeof(data) ||
	    !begins_with_request(c))
		return;
	while (c->pipelined_bytes < (size_t)n &&
	       g_queue_get_length(&c->pipelined) < MAX_PIPELINED) {
		size_t len = n - c->pipelined_bytes;
		struct httpd_request *r =
			parse_head(d, data + c->pipelined_bytes, &len);

		if (!r)
			return;
		if (!d->ops->may_begin_early(d->user, r)) {
			httpd_request_free(r);
			return;
		}
		COUNT(requests_begun_ahead);
		c->pipelined_bytes += len;
		r->conn = c;
		r->in_socket = true;
		g_queue_push_tail(&c->pipelined, r);
		d->ops->on_request(d->user, r);
	}
}

struct header_walk {
	const GPtrArray *headers;
	uint32_t index;
	bool equal;
};

static enum MHD_Result compare_header(void *user, enum MHD_ValueKind kind,
				      const char *name, const char *value)
{
	struct header_walk *w = user;

	(void)kind;
	w->equal = w->equal && w->index + 1 < w->headers->len &&
		   !strcasecmp(name, g_ptr_array_index(w->headers, w->index)) &&
		   !strcmp(value ? value : "",
			   g_ptr_array_index(w->headers, w->index + 1));
	w->index += 2;
	return MHD_YES;
}

static bool is_same_request(const struct httpd_request *begun,
			    const struct httpd_request *r)
{
	struct header_walk w = { begun->headers, 0, true };

	if (strcmp(begun->method, r->method) || strcmp(begun->url, r->url))
		return false;
	MHD_get_connection_values(r->mhd_connection, MHD_HEADER_KIND,
				  compare_header, &w);
	return w.equal && w.index == begun->headers->len;
}

static void clear_in_socket(gpointer request, gpointer user)
{
	struct httpd_request *r = request;

	(void)user;
	r->in_socket = false;
}

struct httpd_request *pipeline_claim(struct httpd_connection *c,
				     const struct httpd_request *r)
{
	struct httpd_request *begun = g_queue_peek_head(&c->pipelined);

	/*
	 * A request that arrived together with the one before it was already
	 * in libmicrohttpd's buffer, not in the socket, and was not begun
	 * early. It is read first; the head of the queue comes after it.
	 */
	if (!begun || !is_same_request(begun, r))
		return NULL;
	g_queue_pop_head(&c->pipelined);
	/*
	 * libmicrohttpd has now read this request from the socket, and all
	 * others that were there with it. The next peek starts at the first
	 * unread byte: with the old offset it would skip new requests, and
	 * requests still counted as unread could be begun twice.
	 */
	if (begun->in_socket) {
		g_queue_foreach(&c->pipelined, clear_in_socket, NULL);
		c->pipelined_bytes = 0;
	}
	return begun;
}

static void notify_caller_left(gpointer request, gpointer user)
{
	struct httpd_request *r = request;

	(void)user;
	if (r->httpd->ops->on_caller_left)
		r->httpd->ops->on_caller_left(r->httpd->user, r);
}

void pipeline_caller_left(struct httpd_connection *c)
{
	g_queue_foreach(&c->pipelined, notify_caller_left, NULL);
}

void pipeline_drop(struct httpd_connection *c)
{
	struct httpd_request *r;

	while ((r = g_queue_pop_head(&c->pipelined))) {
		r->httpd->ops->on_closed(r->httpd->user, r);
		httpd_request_free(r);
	}
	c->pipelined_bytes = 0;
}

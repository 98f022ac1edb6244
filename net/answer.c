#include <string.h>
#include <strings.h>

#include "net/answer-check.h"
#include "net/answer.h"
#include "net/headers.h"

#define HTTP_SWITCHING_PROTOCOLS 101
#define FIRST_FINAL_STATUS 200
#define NO_BODY 1 /* from on_headers() to the parser */
#define MIN_STATUS_LINE 12
/* How a status line begins; 0 stands for any digit. */
#define STATUS_LINE_BEGIN "HTTP/0.0 0"

#ifdef RULE_SWITCHES
bool answer_rules_disabled;
#else
#define answer_rules_disabled false
#endif

const char *answer_fault_text(enum answer_fault fault)
{
	static const char *const texts[] = {
#define ANSWER_FAULT_TEXT(name, text) text,
		ANSWER_FAULT_LIST(ANSWER_FAULT_TEXT)
#undef ANSWER_FAULT_TEXT
	};

	return texts[fault];
}

void answer_refuse(struct answer *a, enum answer_fault fault)
{
	if (a->state == ANSWER_REFUSED)
		return;
	a->state = ANSWER_REFUSED;
	a->fault = fault;
}

/*
 * A head, the size of a chunk or a trailer that broke off may be followed by
 * another answer on the connection. Then that one's status line stands within
 * a line of the first. *matched is what is matched so far, 0 at first.
 */
static bool has_status_line(uint8_t *matched, const char *text, size_t len)
{
	static const char begin[] = STATUS_LINE_BEGIN;

	for (; len && begin[*matched]; text++, len--) {
		char next = begin[*matched];

		if (next == '0' ? g_ascii_isdigit(*text) : *text == next)
			(*matched)++;
		else
			*matched = *text == begin[0];
	}
	return !begin[*matched];
}

/*
 * Whether the lines around the chunks end with CR LF, and nowhere else. The
 * parser skips two bytes after a chunk, and one after a CR, whatever they are.
 */
static bool has_valid_line_ends(struct answer *a, const char *text, size_t len)
{
	for (; len; text++, len--) {
		if ((*text == '\n') != (a->framing_last == '\r') ||
		    (a->after_chunk && *text != '\r'))
			return false;
		a->framing_last = *text;
		a->after_chunk = false;
	}
	return true;
}

/* Checks the chunk sizes, extensions and trailers that end at end. */
static bool framing_is_valid(struct answer *a, const char *end)
{
	const char *begin = a->unchecked;
	size_t len = end - begin;

	a->unchecked = end;
	return !a->is_chunked ||
	       (has_valid_line_ends(a, begin, len) &&
		!has_status_line(&a->framing_matched, begin, len));
}

static int on_headers(http_parser *p)
{
	struct answer *a = p->data;
	enum answer_fault fault = ANSWER_FAULT_none;

	a->is_chunked = header_find(a->headers, "Transfer-Encoding");
	if (p->http_major != 1 || p->status_code == HTTP_SWITCHING_PROTOCOLS ||
	    (a->is_chunked && !p->http_minor) ||
	    /* The HTTP client trims the value, the parser may not. */
	    a->is_chunked != !!(p->flags & F_CHUNKED)) {
		answer_refuse(a, ANSWER_FAULT_protocol);
		return -1;
	}
	if (p->status_code < FIRST_FINAL_STATUS)
		return 0;
	a->status = p->status_code;
	if (a->ops->check_head)
		fault = a->ops->check_head(a);
	if (fault) {
		answer_refuse(a, fault);
		return -1;
	}
	a->state = ANSWER_BODY;
	return answer_has_body(a->is_head, a->status) ? 0 : NO_BODY;
}

static int on_body(http_parser *p, const char *data, size_t len)
{
	struct answer *a = p->data;
	enum answer_fault fault = ANSWER_FAULT_none;

	if (!framing_is_valid(a, data)) {
		answer_refuse(a, ANSWER_FAULT_protocol);
		return -1;
	}
	a->unchecked = data + len;
	a->after_chunk = true;
	a->body_bytes += (int64_t)len;
	if (a->ops->on_body)
		fault = a->ops->on_body(a, data, len);
	if (!fault)
		return 0;
	answer_refuse(a, fault);
	return -1;
}

static int on_complete(http_parser *p)
{
	struct answer *a = p->data;

	a->in_head = false;
	if (a->state == ANSWER_BODY)
		a->state = ANSWER_WHOLE;
	/* Nothing that follows is parsed as a further answer. */
	if (a->state == ANSWER_WHOLE)
		http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void answer_init(struct answer *a, const char *method,
		 const struct answer_ops *ops, void *user)
{
	memset(a, 0, sizeof(*a));
	a->is_head = !strcmp(method, "HEAD");
	a->headers = headers_new();
	a->ops = ops;
	a->user = user;
	http_parser_init(&a->parser, HTTP_RESPONSE);
	a->parser.data = a;
}

void answer_finish(struct answer *a)
{
	g_clear_pointer(&a->headers, g_ptr_array_unref);
}

static bool is_status_line(const char *line, size_t len)
{
	return len > MIN_STATUS_LINE && !memcmp(line, "HTTP/1.", 7) &&
	       g_ascii_isdigit(line[7]) && line[8] == ' ' && line[9] >= '1' &&
	       line[9] <= '5' && g_ascii_isdigit(line[10]) &&
	       g_ascii_isdigit(line[11]) &&
	       (line[12] == ' ' || line[12] == '\r');
}

/* Keeps a header. Returns false if the line is none. */
static bool add_header(struct answer *a, const char *line, size_t len)
{
	size_t name_len = header_name_len(line);
	g_autofree char *value = NULL;

	if (!name_len || name_len >= len || line[name_len] != ':' ||
	    a->headers->len >= 2 * ANSWER_MAX_HEADERS)
		return false;
	value = g_strstrip(g_strndup(line + name_len + 1, len - name_len - 1));
	if (!strncasecmp(line, "Transfer-Encoding:", name_len + 1) &&
	    (g_ascii_strcasecmp(value, "chunked") ||
	     header_find(a->headers, "Transfer-Encoding")))
		return false;
	g_ptr_array_add(a->headers, g_strndup(line, name_len));
	g_ptr_array_add(a->headers, g_steal_pointer(&value));
	return true;
}

/*
 * Checks a line, with its line end, for what neither the parser nor the HTTP
 * client refuses.
 */
static bool line_is_valid(struct answer *a, const char *line, size_t len)
{
	bool is_first = !a->in_head;
	uint8_t matched = 0;

	if (len < 2 || memcmp(line + len - 2, "\r\n", 2) ||
	    memchr(line, '\r', len - 2) || memchr(line, '\0', len) ||
	    has_status_line(&matched, line + is_first, len - is_first))
		return false;
	if (is_first) {
		a->in_head = true;
		g_ptr_array_set_size(a->headers, 0);
		return is_status_line(line, len);
	}
	return len == 2 || add_header(a, line, len - 2);
}

/* What the client library takes for an answer, without any of the rules. */
static bool add_line_unchecked(struct answer *a, const char *line, size_t len)
{
	if (a->state != ANSWER_HEAD)
		return true;
	if (len > 9 && !memcmp(line, "HTTP/", 5)) {
		a->status = strtol(line + 9, NULL, 10);
		g_ptr_array_set_size(a->headers, 0);
	} else if (len == 2 && a->status >= FIRST_FINAL_STATUS) {
		a->fault = a->ops->check_head ? a->ops->check_head(a)
					      : ANSWER_FAULT_none;
		a->state = a->fault ? ANSWER_REFUSED : ANSWER_BODY;
	} else {
		add_header(a, line, len);
	}
	return a->state != ANSWER_REFUSED;
}

bool answer_add_line(struct answer *a, const char *line, size_t len)
{
	size_t parsed;

	if (answer_rules_disabled)
		return add_line_unchecked(a, line, len);
	if (a->state != ANSWER_HEAD) {
		a->surplus = true;
		return false;
	}
	a->head_bytes += (int64_t)len;
	if (a->head_bytes > ANSWER_MAX_HEAD_BYTES) {
		answer_refuse(a, ANSWER_FAULT_endless);
		return false;
	}
	if (!line_is_valid(a, line, len)) {
		answer_refuse(a, ANSWER_FAULT_protocol);
		return false;
	}
	parsed = http_parser_execute(&a->parser, &settings, line, len);
	if (a->state != ANSWER_WHOLE && parsed != len)
		answer_refuse(a, ANSWER_FAULT_protocol);
	return a->state != ANSWER_REFUSED;
}

static bool add_body_unchecked(struct answer *a, const char *data, size_t len)
{
	a->body_bytes += (int64_t)len;
	if (a->ops->on_body)
		a->ops->on_body(a, data, len);
	return true;
}

bool answer_add_body(struct answer *a, const char *data, size_t len)
{
	size_t parsed;

	if (answer_rules_disabled)
		return add_body_unchecked(a, data, len);
	if (a->state == ANSWER_WHOLE)
		a->surplus = true;
	if (a->state == ANSWER_HEAD)
		answer_refuse(a, ANSWER_FAULT_protocol);
	if (a->state != ANSWER_BODY)
		return false;
	a->framed_bytes += (int64_t)len;
	a->unchecked = data;
	parsed = http_parser_execute(&a->parser, &settings, data, len);
	if (a->state != ANSWER_REFUSED && !framing_is_valid(a, data + parsed))
		answer_refuse(a, ANSWER_FAULT_protocol);
	if (a->state == ANSWER_WHOLE) {
		a->surplus = parsed < len;
		return !a->surplus;
	}
	if (parsed != len)
		answer_refuse(a, ANSWER_FAULT_protocol);
	else if (a->framed_bytes - a->body_bytes > ANSWER_MAX_FRAMING_BYTES)
		answer_refuse(a, ANSWER_FAULT_endless);
	return a->state == ANSWER_BODY;
}

void answer_end(struct answer *a, bool at_end)
{
	if (answer_rules_disabled && at_end && !a->fault) {
		a->state = ANSWER_WHOLE;
		return;
	}
	/* A body without a length ends with its connection. */
	if (a->state == ANSWER_BODY && at_end)
		http_parser_execute(&a->parser, &settings, NULL, 0);
	if (a->state == ANSWER_HEAD)
		answer_refuse(a, ANSWER_FAULT_head_cut);
	else if (a->state == ANSWER_BODY)
		answer_refuse(a, ANSWER_FAULT_body_cut);
}

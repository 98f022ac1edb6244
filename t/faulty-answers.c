#include <stdlib.h>
#include <string.h>

#include "platform/request.h"
#include "t/faulty-answers.h"

#define SMALL_BODY 200
#define LARGE_BODY (32 * 1024)
#define LARGE_SHARE 8 /* one body in so many is large */
#define MAX_DELAY_MS 50
#define WITHIN_HEADER 12 /* bytes after the status line */

struct kind {
	const char *name;
	int status;
	bool ran;
	const char *framing; /* NULL: a length */
};

static const struct kind kinds[] = {
	{ "200", 200, true, NULL },
	{ "chunks", 200, true, "Transfer-Encoding: chunked" },
	{ "404", 404, true, NULL },
	{ "503", 503, false, NULL },
	{ "421", 421, false, NULL },
	{ "unframed", 200, true, "Connection: close" },
};
#define N_KEPT_KINDS 5 /* those whose connection may be used again */

struct answer_form {
	const struct kind *kind;
	GString *text;
	const char *id;
	GQueue *parts;
	GString *before_next;
	char **words;
};

static GRand *random_source;
static char *random_seed;
static char *previous_id;

void part_free(struct part *p)
{
	g_string_free(p->bytes, TRUE);
	g_free(p);
}

void parts_add(GQueue *parts, uint32_t delay_ms, GString *bytes,
	       enum part_end end)
{
	struct part *p = g_new0(struct part, 1);

	p->delay_ms = delay_ms;
	p->bytes = bytes;
	p->end = end;
	g_queue_push_tail(parts, p);
}

static uint32_t draw(uint32_t from, uint32_t to)
{
	if (!random_source)
		random_source = g_rand_new_with_seed(1);
	if (from >= to)
		return from;
	return g_rand_int_range(random_source, from, to);
}

static void seed_once(const char *seed)
{
	if (!g_strcmp0(seed, random_seed))
		return;
	g_free(random_seed);
	random_seed = g_strdup(seed);
	draw(0, 0);
	g_rand_set_seed(random_source, strtoul(seed, NULL, 10));
}

static const struct kind *find_kind(const char *name)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (!g_strcmp0(kinds[i].name, name))
			return &kinds[i];
	return &kinds[0];
}

/* One line that shows whose it is and whether it is whole. */
static GString *new_body(const char *id)
{
	uint32_t len = draw(0, LARGE_SHARE) ? SMALL_BODY : LARGE_BODY;
	GString *body = g_string_new(NULL);
	gsize begin;

	g_string_printf(body, "body %s %u ", id, len);
	begin = body->len;
	g_string_set_size(body, begin + len);
	memset(body->str + begin, 'x', len);
	return g_string_append(body, " end\n");
}

static void append_chunk(GString *out, const char *data, gsize len)
{
	g_string_append_printf(out, "%zx\r\n", len);
	g_string_append_len(out, data, len);
	g_string_append(out, "\r\n");
}

static GString *new_answer(const struct kind *k, const char *id, bool is_signed)
{
	g_autoptr(GString) body = new_body(id);
	GString *out = g_string_new(NULL);

	g_string_printf(out, "HTTP/1.1 %d .\r\n%s: %s\r\n", k->status,
			headers_platform.attempt_id, id);
	if (!k->ran)
		g_string_append_printf(out, "%s: 1\r\n",
				       headers_platform.not_run);
	else if (is_signed)
		g_string_append_printf(out, "%s: %s-%d\r\n",
				       headers_platform.signature, id,
				       k->status);
	if (k->framing)
		g_string_append_printf(out, "%s\r\n\r\n", k->framing);
	else
		g_string_append_printf(out, "Content-Length: %zu\r\n\r\n",
				       body->len);
	if (k->framing && strstr(k->framing, "chunked")) {
		append_chunk(out, body->str, body->len / 2);
		append_chunk(out, body->str + body->len / 2,
			     body->len - body->len / 2);
		g_string_append(out, "0\r\n\r\n");
	} else {
		g_string_append_len(out, body->str, body->len);
	}
	return out;
}

static gsize head_len(const GString *text)
{
	return strstr(text->str, "\r\n\r\n") + 4 - text->str;
}

/* Where a place lies in an answer. */
static gsize find_place(const GString *text, const char *place)
{
	gsize head = head_len(text);
	gsize line = strstr(text->str, "\r\n") + 2 - text->str;

	if (!g_strcmp0(place, "line"))
		return line;
	if (!g_strcmp0(place, "header"))
		return line + WITHIN_HEADER;
	if (!g_strcmp0(place, "headers"))
		return head - 2;
	if (!g_strcmp0(place, "head"))
		return head;
	return draw(head + 1, text->len);
}

static GString *take(GString *text, gsize from, gsize to)
{
	return g_string_new_len(text->str + from, to - from);
}

static void add_break(struct answer_form *f)
{
	gsize at = find_place(f->text, f->words[2]);
	bool fin = !g_strcmp0(f->words[3], "fin");

	parts_add(f->parts, 0, take(f->text, 0, at),
		  fin ? PART_FIN : PART_RESET);
}

static void add_ends(struct answer_form *f)
{
	const char *end = f->words[1];
	const char *whose = f->words[2];
	bool is_other = !g_strcmp0(whose, "other") && previous_id;
	g_autoptr(GString)
		text = new_answer(f->kind, is_other ? previous_id : f->id,
				  g_strcmp0(whose, "unsigned"));
	char dropped = g_str_has_suffix(end, "lf") ? '\r' : '\n';
	gsize head = head_len(text);
	gsize i = g_str_has_prefix(end, "last") ? head - 2 : 0;
	GString *out = take(text, 0, i);

	for (; i < head; i++)
		if (text->str[i] != dropped)
			g_string_append_c(out, text->str[i]);
	g_string_append_len(out, text->str + head, text->len - head);
	parts_add(f->parts, 0, out, PART_CONTINUES);
}

static void add_trailers(struct answer_form *f)
{
	const struct kind *k = find_kind(f->words[1]);
	g_autoptr(GString)
		other = new_answer(k, previous_id ? previous_id : f->id, true);
	bool is_head = !g_strcmp0(f->words[2], "head");
	gsize from = is_head ? 0 : find_place(other, "line");
	GString *out = new_answer(find_kind("chunks"), f->id, true);

	g_string_truncate(out, out->len - 2);
	g_string_append_len(out, other->str + from, head_len(other) - from);
	parts_add(f->parts, 0, out, PART_CONTINUES);
}

/* Sends bytes after what has been added: at once, late, or before the next. */
static void add_surplus(struct answer_form *f, GString *bytes, const char *when)
{
	if (g_strcmp0(when, "next")) {
		parts_add(f->parts,
			  g_strcmp0(when, "late") ? 0
						  : draw(1, MAX_DELAY_MS + 1),
			  bytes, PART_CONTINUES);
		return;
	}
	g_string_append_len(f->before_next, bytes->str, bytes->len);
	g_string_free(bytes, TRUE);
}

static void add_twice(struct answer_form *f)
{
	g_autoptr(GString) first = new_answer(find_kind("200"), f->id, true);
	const char *how = f->words[2];
	const char *when = f->words[3];
	gsize at = draw(1, f->text->len);

	parts_add(f->parts, 0, take(first, 0, first->len), PART_CONTINUES);
	if (!g_strcmp0(how, "parts")) {
		add_surplus(f, take(f->text, 0, at),
			    g_strcmp0(when, "late") ? "now" : "late");
		add_surplus(f, take(f->text, at, f->text->len),
			    g_strcmp0(when, "next") ? "late" : "next");
		return;
	}
	add_surplus(f,
		    take(f->text, 0,
			 g_strcmp0(how, "whole") ? at : f->text->len),
		    when);
}

static void add_stray(struct answer_form *f)
{
	gsize at = find_place(f->text, f->words[2]);

	parts_add(f->parts, 0, new_answer(find_kind("200"), f->id, true),
		  PART_CONTINUES);
	add_surplus(f, take(f->text, 0, at), "next");
}

static void add_status(struct answer_form *f)
{
	const char *code = f->words[1];
	bool has_phrase = !g_str_has_suffix(code, "n");
	GString *out = g_string_new("HTTP/1.1 ");
	gsize line = strstr(f->text->str, "\r\n") - f->text->str;

	g_string_append_len(out, code, strlen(code) - !has_phrase);
	g_string_append(out, has_phrase ? " OK" : "");
	g_string_append_len(out, f->text->str + line, f->text->len - line);
	parts_add(f->parts, 0, out, PART_CONTINUES);
}

static void add_at_any_byte(struct answer_form *f, uint32_t form)
{
	static const char *const times[] = { "now", "late", "next" };
	const char *when = times[draw(0, G_N_ELEMENTS(times))];
	gsize at = draw(0, f->text->len);
	uint32_t delay = draw(1, MAX_DELAY_MS + 1);
	GString *whole = take(f->text, 0, f->text->len);

	switch (form) {
	case 0:
	case 1:
		g_string_truncate(whole, at);
		parts_add(f->parts, 0, whole, form ? PART_RESET : PART_FIN);
		return;
	case 2:
		g_string_truncate(whole, at);
		parts_add(f->parts, 0, whole, PART_CONTINUES);
		parts_add(f->parts, delay, take(f->text, at, f->text->len),
			  PART_CONTINUES);
		return;
	case 3:
		parts_add(f->parts, delay, whole, PART_CONTINUES);
		return;
	case 4:
		parts_add(f->parts, 0, whole, PART_CONTINUES);
		add_surplus(f, take(f->text, 0, f->text->len), when);
		return;
	case 5:
		parts_add(f->parts, 0, whole, PART_CONTINUES);
		add_surplus(f, take(f->text, 0, at), when);
		return;
	default:
		parts_add(f->parts, 0, whole, PART_CONTINUES);
		add_surplus(f, take(f->text, at, f->text->len), when);
	}
}

#define N_RANDOM_FORMS 7
#define STUTTER_SHARE 2 /* one answer in so many */

static void add_stutter(struct answer_form *f)
{
	if (draw(0, STUTTER_SHARE))
		parts_add(f->parts, 0, take(f->text, 0, f->text->len),
			  PART_CONTINUES);
	else
		add_at_any_byte(f, draw(0, N_RANDOM_FORMS));
}

static const struct {
	const char *name;
	guint n_words;
	void (*add)(struct answer_form *f);
	bool first_is_success; /* the kind is that of what follows it */
} forms[] = {
	{ "break", 4, add_break, false },
	{ "ends", 3, add_ends, false },
	{ "trailers", 3, add_trailers, true },
	{ "twice", 4, add_twice, true },
	{ "stray", 3, add_stray, true },
	{ "status", 3, add_status, false },
	{ "stutter", 2, add_stutter, false },
};

bool faulty_answer_add(GQueue *parts, GString *before_next, const char *path,
		       const char *id, bool *ran)
{
	const char *last = strrchr(path, '/');
	g_auto(GStrv) words = g_strsplit(last ? last + 1 : path, "-", 0);
	struct answer_form f = { .id = id,
				 .parts = parts,
				 .before_next = before_next,
				 .words = words };
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(forms); i++)
		if (!g_strcmp0(words[0], forms[i].name))
			break;
	if (i == G_N_ELEMENTS(forms) ||
	    g_strv_length(words) != forms[i].n_words)
		return false;
	f.kind = find_kind(words[forms[i].add == add_status ? 2 : 1]);
	if (forms[i].add == add_stutter) {
		seed_once(words[1]);
		f.kind = &kinds[draw(0, N_KEPT_KINDS)];
	}
	f.text = new_answer(f.kind, id, true);
	*ran = f.kind->ran || forms[i].first_is_success;
	forms[i].add(&f);
	g_string_free(f.text, TRUE);
	g_free(previous_id);
	previous_id = g_strdup(id);
	return true;
}

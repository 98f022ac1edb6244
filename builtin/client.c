#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "builtin/builtin.h"
#include "builtin/client.h"
#include "net/fetch.h"
#include "net/headers.h"
#include "util/result.h"

#define TIMEOUT_MS 12000

struct client_call {
	struct ev_loop *loop;
	struct client_answer *answer;
	int result;
	char problem[CURL_ERROR_SIZE];
};

static bool on_data(struct fetch *f, const void *data, size_t len)
{
	struct client_call *c = f->user;

	g_string_append_len(c->answer->body, data, (gssize)len);
	return true;
}

static void on_done(struct fetch *f, int result)
{
	struct client_call *c = f->user;
	const char *next = header_find(f->answer->headers, "Next");

	c->result = result;
	c->answer->status = f->status;
	if (next)
		c->answer->next = g_ascii_strtoll(next, NULL, 10);
	g_strlcpy(c->problem,
		  f->error[0] ? f->error : answer_fault_text(f->answer->fault),
		  sizeof(c->problem));
	ev_break(c->loop, EVBREAK_ALL);
}

static const struct fetch_ops ops = { .on_data = on_data, .on_done = on_done };

int client_request(const char *address, const char *path, const json_t *body,
		   struct client_answer *out)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", address, path);
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	struct client_call c = { .loop = ev_loop_new(0), .answer = out };
	struct fetcher fetcher;
	struct fetch f;

	out->next = -1;
	out->body = g_string_new(NULL);
	fetcher_init(&fetcher, c.loop, 1);
	fetch_start(&f, &fetcher, text ? "POST" : "GET", url, NULL, text,
		    text ? strlen(text) : 0, TIMEOUT_MS, true, &ops, &c);
	ev_run(c.loop, 0);
	fetcher_finish(&fetcher);
	ev_loop_destroy(c.loop);
	free(text);
	if (!c.result)
		return RESULT_OK;
	fprintf(stderr, "briargrade: node %s: %s\n", address, c.problem);
	client_answer_finish(out);
	return RESULT_UNREACHABLE;
}

/* Free the body of an answer. */
void client_answer_finish(struct client_answer *a)
{
	g_string_free(a->body, TRUE);
	a->body = NULL;
}

json_t *client_configuration(const char *address, int64_t *version)
{
	struct client_answer a;
	json_t *o;
	json_t *doc;

	if (client_request(address, "/configuration", NULL, &a))
		return NULL;
	o = json_loadb(a.body->str, a.body->len, 0, NULL);
	client_answer_finish(&a);
	*version = json_integer_value(json_object_get(o, "version"));
	doc = json_incref(json_object_get(o, "document"));
	json_decref(o);
	if (!json_is_object(doc)) {
		json_decref(doc);
		fprintf(stderr, "briargrade: no configuration in force\n");
		return NULL;
	}
	return doc;
}

/* Print the outcome of a publication. Returns the exit status. */
static int print_outcome(const struct client_answer *a)
{
	json_t *o = json_loadb(a->body->str, a->body->len, 0, NULL);
	const char *outcome = json_string_value(json_object_get(o, "outcome"));
	const char *problem = json_string_value(json_object_get(o, "problem"));
	int status = EXIT_FAILED;

	if (a->status == 200 && outcome) {
		printf("accepted, version %" JSON_INTEGER_FORMAT "\n",
		       json_integer_value(json_object_get(o, "version")));
		status = EXIT_OK;
	} else if (a->status == 409) {
		printf("conflict: %s; version %" JSON_INTEGER_FORMAT
		       " is in force\n",
		       problem ? problem : "",
		       json_integer_value(json_object_get(o, "in_force")));
		status = EXIT_CONFLICT;
	} else {
		printf("%s: %s\n", outcome ? outcome : "not accepted",
		       problem ? problem : a->body->str);
	}
	json_decref(o);
	return status;
}

int client_publish(const char *address, int64_t base, json_t *document,
		   const char *reason)
{
	json_t *body = json_pack("{s:I,s:O,s:s,s:s}", "base", (json_int_t)base,
				 "document", document, "by", g_get_user_name(),
				 "reason", reason);
	struct client_answer a;
	int status;

	if (client_request(address, "/configuration", body, &a)) {
		json_decref(body);
		return EXIT_FAILED;
	}
	json_decref(body);
	status = print_outcome(&a);
	client_answer_finish(&a);
	return status;
}

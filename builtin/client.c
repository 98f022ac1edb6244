#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <curl/curl.h>

#include "builtin/builtin.h"
#include "builtin/client.h"
#include "util/result.h"

#define TIMEOUT_MS 12000L

static size_t on_body(char *data, size_t size, size_t n, void *user)
{
	g_string_append_len(user, data, size * n);
	return size * n;
}

static size_t on_header(char *line, size_t size, size_t n, void *user)
{
	struct client_answer *a = user;
	g_autofree char *text = g_strndup(line, size * n);

	if (!g_ascii_strncasecmp(text, "Next:", 5))
		a->next = g_ascii_strtoll(text + 5, NULL, 10);
	return size * n;
}

int client_request(const char *address, const char *path, const json_t *body,
		   struct client_answer *out)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", address, path);
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	char error[CURL_ERROR_SIZE] = "";
	CURL *curl = curl_easy_init();
	CURLcode code;

	out->next = -1;
	out->body = g_string_new(NULL);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, error);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, out->body);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, out);
	if (text)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, text);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &out->status);
	curl_easy_cleanup(curl);
	free(text);
	if (code == CURLE_OK)
		return RESULT_OK;
	fprintf(stderr, "briargrade: node %s: %s\n", address, error);
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

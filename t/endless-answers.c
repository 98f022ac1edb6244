#include <stdint.h>
#include <string.h>
#include <glib.h>

#include "platform/request.h"
#include "t/endless-answers.h"

#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNKED_HEAD OK_HEAD "Transfer-Encoding: chunked\r\n"
#define FULL_HEAD "HTTP/1.1 503 Full\r\nConnection: close\r\n"
#define SIGNED headers_platform.signature
#define NOT_RUN headers_platform.not_run

/* Filled in at run time, as the names of headers are no constants. */
static struct endless_answer answers[10];

static void fill_answers(void)
{
	const struct endless_answer all[G_N_ELEMENTS(answers)] = {
		{ "endless-line", "HTTP/1.1 200 ", NULL, "", "OK " },
		{ "endless-header", OK_HEAD "X-More: ", NULL, "", "more " },
		{ "endless-headers", OK_HEAD, SIGNED, "", "X-More: 1\r\n" },
		{ "endless-1xx", "", NULL, "",
		  "HTTP/1.1 100 Continue\r\n\r\n" },
		{ "endless-body", OK_HEAD "Connection: close\r\n", SIGNED,
		  "\r\n", "bytes " },
		{ "endless-size", CHUNKED_HEAD, SIGNED, "\r\n", "0" },
		{ "endless-chunk", CHUNKED_HEAD, SIGNED, "\r\n1;", "x" },
		{ "endless-trailer", CHUNKED_HEAD, SIGNED, "\r\n0\r\n",
		  "X-More: 1\r\n" },
		{ "endless-refusal", FULL_HEAD, NOT_RUN, "\r\n", "bytes " },
		{ "garbage", "", NULL, "", "no answer\n" },
	};

	memcpy(answers, all, sizeof(all));
}

const struct endless_answer *endless_answer_find(const char *path)
{
	uint32_t i;

	if (!answers[0].name)
		fill_answers();
	for (i = 0; i < G_N_ELEMENTS(answers); i++)
		if (g_str_has_suffix(path, answers[i].name))
			return &answers[i];
	return NULL;
}

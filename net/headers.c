#include <string.h>
#include <strings.h>

#include "net/headers.h"

#define TOKEN_CHARS                                          \
	"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXY" \
	"Zabcdefghijklmnopqrstuvwxyz"

static const char *const hop_by_hop[] = {
	"Connection", "Keep-Alive",	   "Proxy-Authenticate",
	"TE",	      "Trailer",	   "Proxy-Authorization",
	"Upgrade",    "Transfer-Encoding", "Proxy-Connection",
	"Expect",     "Content-Length",
};

size_t header_name_len(const char *text)
{
	return strspn(text, TOKEN_CHARS);
}

bool header_name_is_valid(const char *name)
{
	return *name && !name[header_name_len(name)];
}

bool header_is_hop_by_hop(const char *name)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(hop_by_hop); i++)
		if (!strcasecmp(name, hop_by_hop[i]))
			return true;
	return false;
}

const struct header_names headers_default = {
	.idempotency = "Idempotency-Key",
	.deadline_ms = "Briargrade-Deadline-Ms",
	.fence = "Briargrade-Fence",
	.shard = "Briargrade-Shard",
	.grant_ms = "Briargrade-Grant-Ms",
	.not_run = "Briargrade-Not-Run",
	.server_limit = "Briargrade-Server-Limit",
	.server_leaving = "Briargrade-Server-Leaving",
	.outcome = "Briargrade-Outcome",
	.replayed = "Briargrade-Replayed",
};

const char *header_find(const GPtrArray *headers, const char *name)
{
	guint i;

	if (!name)
		return NULL;
	for (i = 0; headers && i + 1 < headers->len; i += 2)
		if (!strcasecmp(g_ptr_array_index(headers, i), name))
			return g_ptr_array_index(headers, i + 1);
	return NULL;
}

GPtrArray *headers_new(void)
{
	return g_ptr_array_new_with_free_func(g_free);
}

void header_add(GPtrArray *headers, const char *name, const char *value)
{
	g_ptr_array_add(headers, g_strdup(name));
	g_ptr_array_add(headers, g_strdup(value));
}

void header_set(GPtrArray *headers, const char *name, const char *value)
{
	guint i;

	if (!name)
		return;
	for (i = 0; i + 1 < headers->len;) {
		if (strcasecmp(g_ptr_array_index(headers, i), name))
			i += 2;
		else
			g_ptr_array_remove_range(headers, i, 2);
	}
	if (value)
		header_add(headers, name, value);
}

void header_add_int(GPtrArray *headers, const char *name, gint64 value)
{
	if (!name)
		return;
	g_ptr_array_add(headers, g_strdup(name));
	g_ptr_array_add(headers, g_strdup_printf("%" G_GINT64_FORMAT, value));
}

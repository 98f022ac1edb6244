#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "net/address.h"
#include "util/result.h"

int address_parse(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	g_autofree char *host = NULL;
	char *end;
	long port;

	if (!colon)
		return RESULT_INVALID;
	host = g_strndup(text, colon - text);
	port = strtol(colon + 1, &end, 10);
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	if (end == colon + 1 || *end || port < 1 || port > 65535 ||
	    inet_pton(AF_INET, host, &out->sin_addr) != 1)
		return RESULT_INVALID;
	out->sin_port = htons(port);
	return RESULT_OK;
}

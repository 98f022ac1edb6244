#include "net/headers.h"
#include "node/fingerprint.h"
#include "route/fingerprint.h"

uint64_t node_fingerprint(const char *method, const char *url, const char *key,
			  const GPtrArray *headers, const GByteArray *body)
{
	const char *host = header_find(headers, "Host");
	struct fingerprint_parts p = {
		.method = method,
		.host = host ? host : "",
		.url = url,
		.key = key,
		.body = body->data,
		.len = body->len,
	};

	return request_fingerprint(&p);
}

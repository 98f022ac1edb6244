#include <string.h>
#define XXH_STATIC_LINKING_ONLY /* makes XXH64_state_t a complete type */
#include <xxhash.h>

#include "route/fingerprint.h"

static void add_string(XXH64_state_t *h, const char *s)
{
	/* The final zero keeps "a" + "bc" different from "ab" + "c". */
	XXH64_update(h, s, strlen(s) + 1);
}

uint64_t request_fingerprint(const struct fingerprint_parts *p)
{
	XXH64_state_t h;
	uint64_t value;

	XXH64_reset(&h, 0);
	add_string(&h, p->method);
	add_string(&h, p->host);
	add_string(&h, p->url);
	add_string(&h, p->key);
	XXH64_update(&h, p->body, p->len);
	value = XXH64_digest(&h);
	return value == FINGERPRINT_NONE ? 1 : value;
}

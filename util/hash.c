#include <string.h>
#include <xxhash.h>

#include "util/hash.h"

uint64_t hash_bytes(const void *data, uint64_t len)
{
	return XXH64(data, len, 0);
}

uint64_t hash_string(const char *s)
{
	return XXH64(s, strlen(s), 0);
}

/* Hash a name together with a number, for rendezvous hashing. */
uint64_t hash_pair(const char *s, uint64_t n)
{
	return XXH64(s, strlen(s), n);
}

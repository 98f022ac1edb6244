#ifndef UTIL_HASH_H
#define UTIL_HASH_H

#include <stdint.h>

/*
 * 64-bit hashes that select shards and rank members. All nodes of a fleet must
 * compute the same values. Changing a hash function would move every key.
 */
uint64_t hash_bytes(const void *data, uint64_t len);
uint64_t hash_string(const char *s);
uint64_t hash_pair(const char *s, uint64_t n);

#endif

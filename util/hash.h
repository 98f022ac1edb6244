#ifndef UTIL_HASH_H
#define UTIL_HASH_H

#include <stdint.h>

/*
 * 64-bit hashes that every node computes alike. They pick shards and rank
 * members, so they are part of what the fleet agrees on: changing one moves
 * every key.
 */
uint64_t hash_bytes(const void *data, uint64_t len);
uint64_t hash_string(const char *s);
uint64_t hash_pair(const char *s, uint64_t n);

#endif

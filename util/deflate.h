#ifndef UTIL_DEFLATE_H
#define UTIL_DEFLATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/*
 * Compression by zlib. The compressed form begins with the uncompressed length
 * in four bytes, big-endian.
 */

/* Returns the compressed form; the caller frees it. */
GString *deflate_bytes(const void *data, size_t len);

/*
 * Returns the uncompressed bytes; the caller frees them. Returns NULL if data
 * is not a valid compressed form or its uncompressed length is above max.
 */
GString *inflate_bytes(const void *data, size_t len, size_t max);

#endif

#ifndef UTIL_DEFLATE_H
#define UTIL_DEFLATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/* Bytes made shorter by zlib, with their length before in four bytes. */

/* Returns the short form; the caller frees it. */
GString *deflate_bytes(const void *data, size_t len);

/*
 * The bytes that were made short, or NULL for what is no such form, or would be
 * longer than max.
 */
GString *inflate_bytes(const void *data, size_t len, size_t max);

#endif

#include <zlib.h>

#include "util/deflate.h"

#define LENGTH_BYTES 4

GString *deflate_bytes(const void *data, size_t len)
{
	uLongf size = compressBound(len);
	GString *out = g_string_sized_new(LENGTH_BYTES + size);
	int i;

	for (i = LENGTH_BYTES - 1; i >= 0; i--)
		g_string_append_c(out, (char)(len >> 8 * i));
	g_string_set_size(out, LENGTH_BYTES + size);
	/* With a buffer this large it fails only for lack of memory. */
	if (compress2((Bytef *)out->str + LENGTH_BYTES, &size, data, len,
		      Z_BEST_SPEED) != Z_OK)
		g_error("out of memory while compressing %zu bytes", len);
	g_string_set_size(out, LENGTH_BYTES + size);
	return out;
}

GString *inflate_bytes(const void *data, size_t len, size_t max)
{
	const uint8_t *p = data;
	uLongf size = 0;
	uLongf inflated_len;
	GString *out;
	size_t i;

	if (len < LENGTH_BYTES)
		return NULL;
	for (i = 0; i < LENGTH_BYTES; i++)
		size = size << 8 | p[i];
	if (size > max)
		return NULL;
	out = g_string_sized_new(size);
	g_string_set_size(out, size);
	inflated_len = size;
	if (uncompress((Bytef *)out->str, &inflated_len, p + LENGTH_BYTES,
		       len - LENGTH_BYTES) == Z_OK &&
	    inflated_len == size)
		return out;
	g_string_free(out, TRUE);
	return NULL;
}

#include <string.h>

#include "net/byte-queue.h"

static void free_block(void *block)
{
	g_bytes_unref(block);
}

void byte_queue_init(struct byte_queue *q)
{
	memset(q, 0, sizeof(*q));
	g_queue_init(&q->blocks);
}

void byte_queue_finish(struct byte_queue *q)
{
	g_queue_clear_full(&q->blocks, free_block);
	q->first_taken = 0;
	q->len = 0;
}

void byte_queue_append(struct byte_queue *q, const void *data, size_t len)
{
	if (!len)
		return;
	g_queue_push_tail(&q->blocks, g_bytes_new(data, len));
	q->len += len;
}

/* Moves up to max bytes of the first block to out, and returns their number. */
static size_t take_from_first(struct byte_queue *q, void *out, size_t max)
{
	GBytes *block = g_queue_peek_head(&q->blocks);
	size_t size;
	const uint8_t *data = g_bytes_get_data(block, &size);
	size_t n = MIN(max, size - q->first_taken);

	memcpy(out, data + q->first_taken, n);
	q->first_taken += n;
	if (q->first_taken == size) {
		g_bytes_unref(g_queue_pop_head(&q->blocks));
		q->first_taken = 0;
	}
	return n;
}

size_t byte_queue_take(struct byte_queue *q, void *out, size_t max)
{
	size_t taken = 0;

	while (taken < max && !g_queue_is_empty(&q->blocks))
		taken +=
			take_from_first(q, (uint8_t *)out + taken, max - taken);
	q->len -= taken;
	return taken;
}

#ifndef NET_BYTE_QUEUE_H
#define NET_BYTE_QUEUE_H

#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/*
 * Bytes that wait to be sent, in the blocks in which they came. Its memory
 * follows what waits: one array would grow by doubling, be copied as it grows,
 * and keep its largest size.
 */
struct byte_queue {
	GQueue blocks; /* GBytes */
	size_t first_taken; /* bytes of the first block that were taken */
	size_t len;
};

void byte_queue_init(struct byte_queue *q);
void byte_queue_finish(struct byte_queue *q);

/* Appends a copy of the bytes. */
void byte_queue_append(struct byte_queue *q, const void *data, size_t len);

/* Moves up to max bytes from the front to out and returns their number. */
size_t byte_queue_take(struct byte_queue *q, void *out, size_t max);

#endif

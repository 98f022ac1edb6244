#include <glib.h>

#include "gate/link.h"

#define BYTES_PER_MS_PER_MBPS 125.0
/* The rest is for packet headers and for other traffic of the host. */
#define USABLE_SHARE 0.9

void link_init(struct link *l, double mbps)
{
	l->bytes_per_ms = mbps * BYTES_PER_MS_PER_MBPS * USABLE_SHARE;
	l->backlog_bytes = 0;
	l->reserved_bytes = 0;
	l->updated_at_ms = 0;
}

static double backlog_bytes(const struct link *l, int64_t now_ms)
{
	double drained = (now_ms - l->updated_at_ms) * l->bytes_per_ms;

	return MAX(l->backlog_bytes - drained, 0);
}

void link_sent(struct link *l, double bytes, int64_t now_ms)
{
	if (l->bytes_per_ms <= 0)
		return;
	l->backlog_bytes = backlog_bytes(l, now_ms) + bytes;
	l->updated_at_ms = now_ms;
}

void link_reserve(struct link *l, double bytes)
{
	l->reserved_bytes += bytes;
}

void link_unreserve(struct link *l, double bytes)
{
	l->reserved_bytes = MAX(l->reserved_bytes - bytes, 0);
}

double link_wait_ms(const struct link *l, double bytes, int64_t now_ms)
{
	if (l->bytes_per_ms <= 0)
		return 0;
	return (backlog_bytes(l, now_ms) + l->reserved_bytes + bytes) /
	       l->bytes_per_ms;
}

double link_backlog_ms(const struct link *l, int64_t now_ms)
{
	return l->bytes_per_ms > 0 ? backlog_bytes(l, now_ms) / l->bytes_per_ms
				   : 0;
}

#include <glib.h>

#include "gate/link.h"

#define BYTES_PER_MS_AND_MBPS 125.0
/* The rest goes for what else the host sends, and for the headers of packets. */
#define USABLE_SHARE 0.9

void link_init(struct link *l, double mbps)
{
	l->bytes_per_ms = mbps * BYTES_PER_MS_AND_MBPS * USABLE_SHARE;
	l->backlog_bytes = 0;
	l->promised_bytes = 0;
	l->at_ms = 0;
}

static double backlog(const struct link *l, int64_t now_ms)
{
	double gone = (now_ms - l->at_ms) * l->bytes_per_ms;

	return MAX(l->backlog_bytes - gone, 0);
}

void link_sent(struct link *l, double bytes, int64_t now_ms)
{
	if (l->bytes_per_ms <= 0)
		return;
	l->backlog_bytes = backlog(l, now_ms) + bytes;
	l->at_ms = now_ms;
}

void link_promise(struct link *l, double bytes)
{
	l->promised_bytes += bytes;
}

void link_withdraw(struct link *l, double bytes)
{
	l->promised_bytes = MAX(l->promised_bytes - bytes, 0);
}

double link_wait_ms(const struct link *l, double bytes, int64_t now_ms)
{
	if (l->bytes_per_ms <= 0)
		return 0;
	return (backlog(l, now_ms) + l->promised_bytes + bytes) /
	       l->bytes_per_ms;
}

double link_backlog_ms(const struct link *l, int64_t now_ms)
{
	return l->bytes_per_ms > 0 ? backlog(l, now_ms) / l->bytes_per_ms : 0;
}

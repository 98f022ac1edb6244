#include <string.h>
#include <glib.h>

#include "gate/cold.h"

#define WINDOW_MS 1000
/*
 * A request sent at the end of one second may arrive in the next, beside those
 * sent there: a tenth is kept back for that.
 */
#define SHARE_USED 0.9
/* A rate so low that it rounds to none must still let the server warm up. */
#define MIN_PER_WINDOW 1.0

void cold_init(struct cold *c, int64_t now_ms)
{
	uint32_t i;

	memset(c, 0, sizeof(*c));
	c->per_s = COLD_UNKNOWN;
	for (i = 0; i < COLD_MAX_SENT; i++)
		c->sent_ms[i] = now_ms;
}

void cold_set(struct cold *c, int64_t left_ms, int64_t now_ms)
{
	c->until_ms = left_ms > 0 ? now_ms + left_ms : 0;
}

void cold_set_rate(struct cold *c, double per_s)
{
	c->per_s = per_s;
}

bool cold_now(const struct cold *c, int64_t now_ms)
{
	return now_ms < c->until_ms;
}

bool cold_allows(const struct cold *c, int64_t now_ms)
{
	double most = MAX(c->per_s * SHARE_USED, MIN_PER_WINDOW);
	uint32_t n = (uint32_t)most;
	uint32_t at;

	if (!cold_now(c, now_ms) || c->per_s <= COLD_ANY || n >= COLD_MAX_SENT)
		return true;
	/* The n-th last sending must lie a whole window back. */
	at = (c->next + COLD_MAX_SENT - n) % COLD_MAX_SENT;
	return now_ms - c->sent_ms[at] >= WINDOW_MS;
}

void cold_sent(struct cold *c, int64_t now_ms)
{
	c->sent_ms[c->next] = now_ms;
	c->next = (c->next + 1) % COLD_MAX_SENT;
}

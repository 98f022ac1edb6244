#include <string.h>
#include <glib.h>

#include "gate/cold-start.h"

#define WINDOW_MS 1000
/*
 * A request sent at the end of one second may arrive in the next one, together
 * with the requests sent in that second, so a tenth of the rate is not used.
 */
#define RATE_SHARE_USED 0.9
/* A rate that rounds down to 0 would keep the backend server from warming up. */
#define MIN_PER_WINDOW 1.0

void cold_start_init(struct cold_start *c, int64_t now_ms)
{
	uint32_t i;

	memset(c, 0, sizeof(*c));
	c->per_s = COLD_START_DEFAULT_PER_S;
	for (i = 0; i < COLD_START_MAX_SENT; i++)
		c->sent_at_ms[i] = now_ms;
}

void cold_start_set_remaining(struct cold_start *c, int64_t left_ms,
			      int64_t now_ms)
{
	c->until_ms = left_ms > 0 ? now_ms + left_ms : 0;
}

void cold_start_set_rate(struct cold_start *c, double per_s)
{
	c->per_s = per_s;
}

bool cold_start_is_active(const struct cold_start *c, int64_t now_ms)
{
	return now_ms < c->until_ms;
}

bool cold_start_allows(const struct cold_start *c, int64_t now_ms)
{
	double most = MAX(c->per_s * RATE_SHARE_USED, MIN_PER_WINDOW);
	uint32_t n = (uint32_t)most;
	uint32_t at;

	if (!cold_start_is_active(c, now_ms) ||
	    c->per_s <= COLD_START_UNLIMITED || n >= COLD_START_MAX_SENT)
		return true;
	/* The n-th last request must have been sent at least a window ago. */
	at = (c->next + COLD_START_MAX_SENT - n) % COLD_START_MAX_SENT;
	return now_ms - c->sent_at_ms[at] >= WINDOW_MS;
}

void cold_start_record_send(struct cold_start *c, int64_t now_ms)
{
	c->sent_at_ms[c->next] = now_ms;
	c->next = (c->next + 1) % COLD_START_MAX_SENT;
}

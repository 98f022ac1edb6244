#include <stdbool.h>
#include <string.h>

#include "gate/server-end.h"

static void remove_oldest(struct server_end *s, uint32_t count)
{
	s->n -= count;
	memmove(s->runs, s->runs + count, s->n * sizeof(s->runs[0]));
}

void server_end_run_lost(struct server_end *s, uint64_t fingerprint,
			 int64_t now_ms)
{
	if (s->n == SERVER_END_MAX_RUNS)
		remove_oldest(s, 1);
	s->runs[s->n++] = (struct lost_run){ fingerprint, now_ms };
}

void server_end_answered(struct server_end *s, int64_t sent_at_ms)
{
	uint32_t count = 0;

	while (count < s->n &&
	       s->runs[count].lost_at_ms + SERVER_END_ALIVE_MS <= sent_at_ms)
		count++;
	remove_oldest(s, count);
}

static bool contains(const uint64_t *list, uint32_t n, uint64_t value)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (list[i] == value)
			return true;
	return false;
}

uint32_t server_end_confirmed(struct server_end *s, int64_t now_ms,
			      uint64_t out[SERVER_END_MAX_RUNS])
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < s->n; i++) {
		const struct lost_run *r = &s->runs[i];

		if (now_ms - r->lost_at_ms <= SERVER_END_MEMORY_MS &&
		    !contains(out, n, r->fingerprint))
			out[n++] = r->fingerprint;
	}
	s->n = 0;
	return n;
}

#include <string.h>
#include <strings.h>

#include "gate/rate-limit.h"
#include "net/server-status.h"

#define MILLI 1000.0
/* Higher limits count as this one, which no server reaches. */
#define MAX_LIMIT_PER_S 1e9

static void read_limit(struct server_status *s, const char *value)
{
	double per_s;
	int64_t milli;

	if (!rate_limit_parse(value, &per_s)) {
		if (s->limit == SERVER_LIMIT_NONE)
			s->limit = SERVER_LIMIT_UNREADABLE;
		return;
	}
	milli = (int64_t)(MIN(per_s, MAX_LIMIT_PER_S) * MILLI);
	if (s->limit != SERVER_LIMIT_NAMED || milli < s->limit_milli)
		s->limit_milli = milli;
	s->limit = SERVER_LIMIT_NAMED;
}

static bool is_named(const char *header, const char *name)
{
	return name && !strcasecmp(header, name);
}

void server_status_read(struct server_status *s,
			const struct header_names *names,
			const GPtrArray *answer_headers)
{
	uint32_t i;

	memset(s, 0, sizeof(*s));
	for (i = 0; answer_headers && i + 1 < answer_headers->len; i += 2) {
		const char *name = g_ptr_array_index(answer_headers, i);
		const char *value = g_ptr_array_index(answer_headers, i + 1);

		if (is_named(name, names->server_limit))
			read_limit(s, value);
		else if (is_named(name, names->server_leaving))
			s->leaving = s->leaving || !strcmp(value, "1");
	}
}

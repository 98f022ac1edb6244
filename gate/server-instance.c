#include <string.h>
#include <glib.h>

#include "gate/server-instance.h"

/*
 * If the wall clock was set back before the backend server restarted, the new
 * instance looks older than the previous one. It is accepted all the same once
 * the previous one has sent no heartbeat for longer than any heartbeat can be
 * delayed.
 */
#define SILENCE_TIMEOUT_MS 5000

static enum instance_check set_instance(struct server_instance *s,
					const char *id, int64_t started_ms,
					int64_t number, int64_t now_ms)
{
	g_strlcpy(s->id, id, sizeof(s->id));
	s->started_ms = started_ms;
	s->heartbeat_number = number;
	s->last_heartbeat_at_ms = now_ms;
	return INSTANCE_NEW;
}

enum instance_check instance_on_heartbeat(struct server_instance *s,
					  const char *id, int64_t started_ms,
					  int64_t number, int64_t now_ms)
{
	if (!s->id[0])
		return set_instance(s, id, started_ms, number, now_ms);
	if (!strcmp(s->id, id) && s->started_ms == started_ms) {
		if (number <= s->heartbeat_number)
			return INSTANCE_STALE;
		s->heartbeat_number = number;
		s->last_heartbeat_at_ms = now_ms;
		return INSTANCE_CURRENT;
	}
	if (started_ms < s->started_ms &&
	    now_ms - s->last_heartbeat_at_ms < SILENCE_TIMEOUT_MS)
		return INSTANCE_STALE;
	return set_instance(s, id, started_ms, number, now_ms);
}

#include <string.h>
#include <glib.h>

#include "gate/life.h"

/*
 * The clock of day may have stepped back before a server started again, which
 * then looks older than the life before. Once that one has been silent for
 * longer than any heartbeat is late, it is believed all the same.
 */
#define SILENT_MS 5000

static enum life_news take(struct life *l, const char *id, int64_t born_ms,
			   int64_t number, int64_t now_ms)
{
	g_strlcpy(l->id, id, sizeof(l->id));
	l->born_ms = born_ms;
	l->number = number;
	l->heard_ms = now_ms;
	return LIFE_NEW;
}

enum life_news life_on_beat(struct life *l, const char *id, int64_t born_ms,
			    int64_t number, int64_t now_ms)
{
	if (!l->id[0])
		return take(l, id, born_ms, number, now_ms);
	if (!strcmp(l->id, id) && l->born_ms == born_ms) {
		if (number <= l->number)
			return LIFE_STALE;
		l->number = number;
		l->heard_ms = now_ms;
		return LIFE_SAME;
	}
	if (born_ms < l->born_ms && now_ms - l->heard_ms < SILENT_MS)
		return LIFE_STALE;
	return take(l, id, born_ms, number, now_ms);
}

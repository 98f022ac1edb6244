#include <string.h>
#include <glib.h>

#include "gate/server-instance.h"

#ifdef RULE_SWITCHES
uint32_t instance_disabled_rules;
#define rule_enabled(rule) (!(instance_disabled_rules & (rule)))
#else
#define rule_enabled(rule) true
#endif

/*
 * If the wall clock was set back before the backend server restarted, the new
 * instance looks older than the previous one. It is accepted all the same once
 * the previous one has sent no heartbeat for longer than any heartbeat can be
 * delayed.
 */
#define SILENCE_TIMEOUT_MS 5000
/*
 * For this long a heartbeat is taken as one of an instance that has left if it
 * may be: if it has the same id and an earlier start, or the start of the one
 * that left is unknown. Later, the wall clock may have been set back instead.
 */
#define LEFT_MESSAGE_TIMEOUT_MS 30000

/* Rows: the state before the event. Columns: the events, in their order. */
static const enum server_state next_states[N_SERVER_STATES][N_SERVER_EVENTS] = {
	[SERVER_UNKNOWN] = { SERVER_READY, SERVER_LEAVING, SERVER_UNKNOWN,
			     SERVER_UNKNOWN, SERVER_REFUSED },
	[SERVER_READY] = { SERVER_READY, SERVER_LEAVING, SERVER_DEREGISTERED,
			   SERVER_SILENT, SERVER_REFUSED },
	[SERVER_SILENT] = { SERVER_READY, SERVER_LEAVING, SERVER_DEREGISTERED,
			    SERVER_SILENT, SERVER_REFUSED },
	[SERVER_REFUSED] = { SERVER_READY, SERVER_LEAVING, SERVER_DEREGISTERED,
			     SERVER_REFUSED, SERVER_REFUSED },
	[SERVER_LEAVING] = { SERVER_LEAVING, SERVER_LEAVING,
			     SERVER_DEREGISTERED, SERVER_LEAVING,
			     SERVER_LEAVING },
	[SERVER_DEREGISTERED] = { SERVER_DEREGISTERED, SERVER_DEREGISTERED,
				  SERVER_DEREGISTERED, SERVER_DEREGISTERED,
				  SERVER_DEREGISTERED },
};

enum server_state server_next_state(enum server_state state,
				    enum server_event event)
{
	if (event == SERVER_SAYS_READY &&
	    !rule_enabled(INSTANCE_RULE_LEFT_IS_FINAL))
		return SERVER_READY;
	return next_states[state][event];
}

const char *instance_state_name(enum server_state state)
{
	static const char *const names[N_SERVER_STATES] = {
		"unknown", "ready",   "silent",
		"refused", "leaving", "deregistered",
	};

	return names[state];
}

void instance_on_event(struct server_instance *s, enum server_event event)
{
	s->state = server_next_state(s->state, event);
}

bool instance_has_left(const struct server_instance *s)
{
	return s->state == SERVER_LEAVING || s->state == SERVER_DEREGISTERED;
}

bool instance_is_gone(const struct server_instance *s)
{
	return s->state != SERVER_UNKNOWN && s->state != SERVER_READY;
}

static struct left_instance *remember_left(struct server_instance *s,
					   const char *id, int64_t started_ms,
					   int64_t wall_ms, int64_t now_ms)
{
	struct left_instance *l = &s->left[s->n_left++ % MAX_LEFT_INSTANCES];

	g_strlcpy(l->id, id, sizeof(l->id));
	l->started_ms = started_ms;
	l->left_wall_ms = wall_ms;
	l->left_at_ms = now_ms;
	l->recorded = false;
	return l;
}

/* Whether a heartbeat is from an instance that has left, or one before it. */
static bool is_from_left(const struct left_instance *l, const char *id,
			 int64_t started_ms, int64_t now_ms)
{
	bool start_known = l->started_ms != INSTANCE_START_UNKNOWN;

	if (strcmp(l->id, id))
		return false;
	/*
	 * When an earlier process heard of the leaving is unknown. An instance
	 * with an earlier start need not be from before it.
	 */
	if (start_known && (l->recorded || started_ms == l->started_ms))
		return started_ms == l->started_ms;
	return started_ms <= (start_known ? l->started_ms : l->left_wall_ms) &&
	       now_ms - l->left_at_ms < LEFT_MESSAGE_TIMEOUT_MS;
}

static bool check_left(struct server_instance *s, const char *id,
		       int64_t started_ms, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < MAX_LEFT_INSTANCES; i++) {
		struct left_instance *l = &s->left[i];

		if (!is_from_left(l, id, started_ms, now_ms))
			continue;
		if (l->started_ms == INSTANCE_START_UNKNOWN)
			l->started_ms = started_ms;
		return true;
	}
	return false;
}

void instance_set_ready(struct server_instance *s, const char *id,
			int64_t started_ms, int64_t number, int64_t now_ms)
{
	if (instance_has_left(s) && rule_enabled(INSTANCE_RULE_REMEMBER_LEFT))
		remember_left(s, s->id, s->started_ms, 0, now_ms);
	g_strlcpy(s->id, id, sizeof(s->id));
	s->started_ms = started_ms;
	s->heartbeat_number = number;
	s->last_heartbeat_at_ms = now_ms;
	s->state = SERVER_READY;
}

static bool is_known(const struct server_instance *s, const char *id,
		     int64_t started_ms)
{
	return !strcmp(s->id, id) && s->started_ms == started_ms;
}

static enum instance_check check_heartbeat(struct server_instance *s,
					   const char *id, int64_t started_ms,
					   int64_t number, int64_t now_ms)
{
	if (s->id[0] && is_known(s, id, started_ms))
		return number > s->heartbeat_number ? INSTANCE_CURRENT
						    : INSTANCE_STALE;
	if (check_left(s, id, started_ms, now_ms))
		return INSTANCE_STALE;
	if (s->id[0] && started_ms < s->started_ms &&
	    now_ms - s->last_heartbeat_at_ms < SILENCE_TIMEOUT_MS)
		return INSTANCE_STALE;
	return INSTANCE_NEW;
}

/* Records that an instance leaves by a message that is stale otherwise. */
static void record_left(struct server_instance *s, const char *id,
			int64_t started_ms, int64_t now_ms)
{
	if (is_known(s, id, started_ms))
		instance_on_event(s, SERVER_SAYS_LEAVING);
	else if (rule_enabled(INSTANCE_RULE_REMEMBER_UNHEARD))
		remember_left(s, id, started_ms, 0, now_ms);
}

enum instance_check instance_on_heartbeat(struct server_instance *s,
					  const char *id, int64_t started_ms,
					  int64_t number, bool leaving,
					  int64_t now_ms)
{
	enum instance_check check =
		check_heartbeat(s, id, started_ms, number, now_ms);

	if (check == INSTANCE_STALE) {
		if (leaving)
			record_left(s, id, started_ms, now_ms);
		return check;
	}
	if (check == INSTANCE_NEW)
		instance_set_ready(s, id, started_ms, number, now_ms);
	s->heartbeat_number = number;
	s->last_heartbeat_at_ms = now_ms;
	instance_on_event(s, leaving ? SERVER_SAYS_LEAVING : SERVER_SAYS_READY);
	return check;
}

void instance_on_deregister(struct server_instance *s, const char *id,
			    int64_t started_ms, int64_t wall_ms, int64_t now_ms)
{
	bool same_start = started_ms == INSTANCE_START_UNKNOWN ||
			  started_ms == s->started_ms ||
			  !rule_enabled(INSTANCE_RULE_START_OF_DEREGISTERED);

	if (!strcmp(s->id, id) && same_start)
		instance_on_event(s, SERVER_DEREGISTERS);
	else if (rule_enabled(INSTANCE_RULE_REMEMBER_UNHEARD))
		remember_left(s, id, started_ms, wall_ms, now_ms);
}

static bool is_remembered(const struct server_instance *s, const char *id,
			  int64_t started_ms, int64_t wall_ms)
{
	uint32_t i;

	for (i = 0; i < MAX_LEFT_INSTANCES; i++) {
		const struct left_instance *l = &s->left[i];

		bool is_same = started_ms == INSTANCE_START_UNKNOWN
				       ? l->left_wall_ms == wall_ms
				       : l->started_ms == started_ms;

		if (!strcmp(l->id, id) && is_same)
			return true;
	}
	return false;
}

void instance_on_recorded_leaving(struct server_instance *s, const char *id,
				  int64_t started_ms, int64_t wall_ms,
				  int64_t now_ms)
{
	bool is_known_one = started_ms == INSTANCE_START_UNKNOWN
				    ? s->started_ms <= wall_ms
				    : s->started_ms == started_ms;

	if (is_remembered(s, id, started_ms, wall_ms) ||
	    !rule_enabled(INSTANCE_RULE_LEARN_RECORDED))
		return;
	remember_left(s, id, started_ms, wall_ms, now_ms)->recorded = true;
	if (!strcmp(s->id, id) && is_known_one)
		instance_on_event(s, SERVER_SAYS_LEAVING);
}

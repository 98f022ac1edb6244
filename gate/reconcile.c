#include <glib.h>

#include "gate/reconcile.h"

#ifdef RULE_SWITCHES
uint32_t reconcile_disabled_rules;
#define rule_enabled(rule) (!(reconcile_disabled_rules & (rule)))
#else
#define rule_enabled(rule) true
#endif

/* Any id may have been read. */
#define ALL_IDS UINT64_MAX

void reconcile_entry_init(struct reconcile_entry *e, uint64_t connection,
			  bool entries_forgotten)
{
	e->lowest_connection = connection;
	e->forgotten_id = 0;
	if (entries_forgotten && rule_enabled(RECONCILE_RULE_FORGOTTEN_ENTRY))
		e->forgotten_id = ALL_IDS;
}

bool reconcile_accepts(const struct reconcile_entry *e, uint64_t connection)
{
	return connection >= e->lowest_connection ||
	       !rule_enabled(RECONCILE_RULE_LOWEST_CONNECTION);
}

bool reconcile_raise(struct reconcile_entry *e, uint64_t connection)
{
	if (connection < e->lowest_connection)
		return false;
	e->lowest_connection = connection;
	return true;
}

void reconcile_set_last_id(struct reconcile_entry *e, uint64_t last_id)
{
	if (e->forgotten_id == ALL_IDS)
		e->forgotten_id = last_id;
}

void reconcile_forget(struct reconcile_entry *e, uint64_t id)
{
	e->forgotten_id = MAX(e->forgotten_id, id);
}

/* Whether the entry's record shows that the request was never read. */
static bool was_never_read(const struct reconcile_entry *e,
			   const struct reconcile_request *r)
{
	return r->id > e->forgotten_id ||
	       !rule_enabled(RECONCILE_RULE_FORGOTTEN_ID);
}

enum reconcile_state reconcile_state(const struct reconcile_entry *e,
				     int64_t own_process,
				     const struct reconcile_request *r)
{
	if (rule_enabled(RECONCILE_RULE_PROCESS)) {
		if (!r->process || !own_process || r->process > own_process)
			return RECONCILE_UNKNOWN;
		if (r->process < own_process)
			return RECONCILE_PROCESS_ENDED;
	}
	if (r->started)
		return RECONCILE_STARTED;
	if (r->queued)
		return RECONCILE_QUEUED;
	if (r->ended)
		return RECONCILE_ENDED;
	/* It can still arrive, and would be accepted. */
	if (r->connection >= e->lowest_connection)
		return RECONCILE_UNKNOWN;
	return was_never_read(e, r) ? RECONCILE_NOT_BEGUN : RECONCILE_LOST;
}

const char *reconcile_state_name(enum reconcile_state s)
{
	static const char *const names[RECONCILE_N_STATES] = {
		[RECONCILE_UNKNOWN] = "unknown",
		[RECONCILE_NOT_BEGUN] = "not-begun",
		[RECONCILE_QUEUED] = "queued",
		[RECONCILE_STARTED] = "started",
		[RECONCILE_ENDED] = "ended",
		[RECONCILE_LOST] = "lost",
		[RECONCILE_PROCESS_ENDED] = "process-ended",
	};

	return s < RECONCILE_N_STATES ? names[s] : "invalid";
}

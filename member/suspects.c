#include <string.h>

#include "member/internal.h"
#include "state/records.h"
#include "util/hash.h"
#include "util/result.h"

/* After its append, how long this node goes on counting an ending itself. */
#define APPLY_WAIT_MS 2000

void suspects_init(struct suspects *s)
{
	memset(s, 0, sizeof(*s));
	s->trial_ms = SUSPECT_TRIAL_MS;
}

static bool contains(const uint64_t *list, uint32_t n, uint64_t fingerprint)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (list[i] == fingerprint)
			return true;
	return false;
}

static void remove_own_ending(struct suspects *s, uint32_t i)
{
	s->n_endings--;
	memmove(&s->endings[i], &s->endings[i + 1],
		(s->n_endings - i) * sizeof(s->endings[0]));
}

void member_server_ended(struct member_node *n, const char *instance,
			 const uint64_t *fingerprints, uint32_t count)
{
	struct suspects *s = &n->suspects;
	struct own_ending *e;

	if (s->n_endings == SUSPECT_MAX_ENDINGS)
		remove_own_ending(s, 0);
	e = &s->endings[s->n_endings++];
	memset(e, 0, sizeof(*e));
	g_strlcpy(e->instance, instance, sizeof(e->instance));
	e->n = MIN(count, QUARANTINE_MAX_IN_RECORD);
	memcpy(e->fingerprints, fingerprints, e->n * sizeof(fingerprints[0]));
}

/* Endings that the log does not count yet. */
static uint32_t count_own_endings(const struct member_node *n,
				  uint64_t fingerprint)
{
	const struct suspects *s = &n->suspects;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < s->n_endings; i++) {
		const struct own_ending *e = &s->endings[i];

		count += contains(e->fingerprints, e->n, fingerprint) &&
			 !quarantine_has_instance(&n->fleet.quarantine,
						  hash_string(e->instance));
	}
	return count;
}

static uint32_t count_endings(const struct member_node *n, uint64_t fingerprint)
{
	const struct quarantined_request *agreed =
		quarantine_find(&n->fleet.quarantine, fingerprint);

	if (contains(n->suspects.cleared, n->suspects.n_cleared, fingerprint))
		return 0;
	return (agreed ? agreed->endings : 0) +
	       count_own_endings(n, fingerprint);
}

/*
 * Server instances that ended while the request ran. They may be more than are
 * counted against it.
 */
static uint32_t count_instances(const struct member_node *n,
				uint64_t fingerprint)
{
	const struct quarantined_request *agreed =
		quarantine_find(&n->fleet.quarantine, fingerprint);

	return (agreed ? agreed->n_instances : 0) +
	       count_own_endings(n, fingerprint);
}

void member_request_answered(struct member_node *n, uint64_t fingerprint)
{
	struct suspects *s = &n->suspects;
	uint32_t i;

	if (!count_endings(n, fingerprint) ||
	    s->n_cleared == QUARANTINE_MAX_IN_RECORD ||
	    !rule_enabled(n, RULE_ANSWER_CLEARS))
		return;
	s->cleared[s->n_cleared++] = fingerprint;
	for (i = 0; i < s->n_endings; i++) {
		struct own_ending *e = &s->endings[i];
		uint32_t j;

		for (j = e->n; j-- > 0 && !e->append_sent;)
			if (e->fingerprints[j] == fingerprint)
				e->fingerprints[j] = e->fingerprints[--e->n];
	}
}

bool member_has_suspects(const struct member_node *n)
{
	return n->fleet.quarantine.n || n->suspects.n_endings;
}

bool member_is_suspect(const struct member_node *n, uint64_t fingerprint)
{
	return count_endings(n, fingerprint) &&
	       rule_enabled(n, RULE_SUSPECT_ALONE);
}

static struct blocked_since *find_blocked(struct suspects *s,
					  uint64_t fingerprint)
{
	uint32_t n = MIN(s->n_blocked, QUARANTINE_MAX);
	uint32_t i;

	for (i = 0; i < n; i++)
		if (s->blocked[i].fingerprint == fingerprint)
			return &s->blocked[i];
	return NULL;
}

/* Begins the wait before the next trial. */
static void set_blocked(struct suspects *s, uint64_t fingerprint,
			int64_t now_ms)
{
	struct blocked_since *b = find_blocked(s, fingerprint);

	if (!b)
		b = &s->blocked[s->n_blocked++ % QUARANTINE_MAX];
	*b = (struct blocked_since){ fingerprint, now_ms };
}

void suspects_on_blocked(struct member_node *n, uint64_t fingerprint)
{
	set_blocked(&n->suspects, fingerprint, n->now_ms);
}

void member_suspect_sent(struct member_node *n, uint64_t fingerprint,
			 int64_t now_ms)
{
	if (count_endings(n, fingerprint) >= QUARANTINE_BLOCK_ENDINGS)
		set_blocked(&n->suspects, fingerprint, now_ms);
}

/*
 * Time until a blocked request is tried again. Where that never is, the whole
 * wait, as operators may clear it.
 */
static int64_t trial_due_in_ms(struct member_node *n, uint64_t fingerprint,
			       int64_t now_ms)
{
	struct suspects *s = &n->suspects;
	struct blocked_since *b = find_blocked(s, fingerprint);

	if (count_instances(n, fingerprint) > SUSPECT_MAX_TRIAL_INSTANCES &&
	    rule_enabled(n, RULE_TRIALS_END))
		return s->trial_ms;
	/* A state that was loaded does not tell since when. */
	if (!b) {
		set_blocked(s, fingerprint, now_ms);
		b = find_blocked(s, fingerprint);
	}
	return b->ms + s->trial_ms - now_ms;
}

/*
 * Whether this node is the one of its service that tries a blocked request
 * without a key again.
 */
static bool tries_again(const struct member_node *n, uint64_t fingerprint)
{
	const struct member *m;
	uint64_t mine = hash_pair(n->join_info.host, fingerprint);
	uint32_t i;

	if (!rule_enabled(n, RULE_ONE_TRIES))
		return true;
	for_each_member (&n->fleet, m, i)
		if (!strcmp(m->service, n->join_info.service) &&
		    fleet_member_in_service(&n->fleet, m) &&
		    hash_pair(m->host, fingerprint) > mine)
			return false;
	return true;
}

enum suspect_verdict member_judge_request(struct member_node *n,
					  uint64_t fingerprint, bool may_try,
					  int64_t now_ms, int64_t *wait_ms)
{
	uint32_t endings = count_endings(n, fingerprint);

	*wait_ms = 0;
	if (!endings)
		return SUSPECT_NONE;
	if (!rule_enabled(n, RULE_BLOCK))
		return SUSPECT_ALONE;
	/*
	 * Several servers may have ended beside other suspects, so that they do
	 * not count. One more must do, not one of each node.
	 */
	if (endings < QUARANTINE_BLOCK_ENDINGS)
		return count_instances(n, fingerprint) <
					       QUARANTINE_BLOCK_ENDINGS ||
				       may_try || tries_again(n, fingerprint)
			       ? SUSPECT_ALONE
			       : SUSPECT_ELSEWHERE;
	*wait_ms = trial_due_in_ms(n, fingerprint, now_ms);
	if (*wait_ms <= 0 && (may_try || tries_again(n, fingerprint))) {
		*wait_ms = 0;
		return SUSPECT_ALONE;
	}
	*wait_ms = MAX(*wait_ms, 1);
	return SUSPECT_BLOCKED;
}

/* Whether the log has counted an ending, or will soon. */
static bool ending_is_recorded(const struct member_node *n,
			       const struct own_ending *e)
{
	if (!e->n || quarantine_has_instance(&n->fleet.quarantine,
					     hash_string(e->instance)))
		return true;
	return e->appended_at_ms &&
	       n->now_ms - e->appended_at_ms >= APPLY_WAIT_MS;
}

json_t *suspects_ending_record(struct member_node *n)
{
	struct suspects *s = &n->suspects;
	uint32_t i;

	for (i = s->n_endings; i-- > 0;)
		if (ending_is_recorded(n, &s->endings[i]))
			remove_own_ending(s, i);
	for (i = 0; i < s->n_endings; i++) {
		struct own_ending *e = &s->endings[i];

		if (e->appended_at_ms)
			continue;
		e->append_sent = true;
		return record_suspects(n->self_id, e->instance, e->fingerprints,
				       e->n);
	}
	return NULL;
}

json_t *suspects_cleared_record(struct member_node *n)
{
	struct suspects *s = &n->suspects;

	if (!s->n_cleared)
		return NULL;
	s->n_cleared_sent = s->n_cleared;
	return record_cleared(json_integer(n->self_id), "answered", s->cleared,
			      s->n_cleared);
}

void suspects_append_done(struct member_node *n, enum append_kind kind,
			  int result)
{
	struct suspects *s = &n->suspects;
	uint32_t i;

	if (result)
		return;
	if (kind == APPEND_CLEARED) {
		s->n_cleared -= s->n_cleared_sent;
		memmove(s->cleared, s->cleared + s->n_cleared_sent,
			s->n_cleared * sizeof(s->cleared[0]));
		s->n_cleared_sent = 0;
	}
	for (i = 0; kind == APPEND_SUSPECTS && i < s->n_endings; i++)
		if (s->endings[i].append_sent &&
		    !s->endings[i].appended_at_ms) {
			s->endings[i].appended_at_ms = n->now_ms;
			break;
		}
}

#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include "member/member.h"

/* Declarations shared between the files of member/ only. */

/* Whether a safety rule applies. Tests built with RULE_SWITCHES disable some. */
static inline bool rule_enabled(const struct member_node *n,
				enum member_rule rule)
{
#ifdef RULE_SWITCHES
	return !(n->disabled_rules & rule);
#else
	(void)n;
	(void)rule;
	return true;
#endif
}

/*
 * How long a witness waits after its last vouch. By then the lease that rests
 * on that vouch has ended, even if the two clocks differ by drift_ppm.
 */
static inline int64_t member_lease_wait_ms(const struct member_node *n)
{
	int64_t ms = n->timing.lease_ms;

	return ms + ms * 3 * n->timing.drift_ppm / 1000000 + 1;
}

/* Whether an array of int64_t contains id. */
static inline bool ids_contain(const GArray *ids, int64_t id)
{
	uint32_t i;

	for (i = 0; i < ids->len; i++)
		if (g_array_index(ids, int64_t, i) == id)
			return true;
	return false;
}

void member_send(struct member_node *n, int64_t to, struct member_msg *msg);
void member_append(struct member_node *n, enum append_kind kind, json_t *r);
void member_note(struct member_node *n, const char *what, int64_t subject);
struct fleet_service *member_service(const struct member_node *n);

/* suspects.c */
void suspects_init(struct suspects *s);
void suspects_on_blocked(struct member_node *n, uint64_t fingerprint);
void suspects_append_done(struct member_node *n, enum append_kind kind,
			  int result);
/* Records that are due to be appended, or NULL. */
json_t *suspects_ending_record(struct member_node *n);
json_t *suspects_cleared_record(struct member_node *n);

/* lease.c */
void lease_tick(struct member_node *n);
void lease_request_soon(struct member_node *n);
void lease_on_vouch(struct member_node *n, const struct member_msg *msg);
void lease_on_denied(struct member_node *n, const struct member_msg *msg);
bool lease_valid(const struct member_node *n);
bool lease_new_set_vouches(const struct member_node *n, const struct member *m);
void lease_prepare_settle(struct member_node *n, const struct member *m);
bool lease_new_set_covers(const struct member_node *n, const struct member *m);
bool lease_is_irrecoverable(const struct member_node *n);
bool lease_obtainable_from(const struct member_node *n,
			   const struct witness_set *w);
bool lease_majority_applied(const struct member_node *n,
			    const struct witness_set *w, int64_t offset);

/* witness.c */
void witness_tick(struct member_node *n);
void witness_on_request(struct member_node *n, const struct member_msg *msg);
void witness_on_resign(struct member_node *n, const struct member_msg *msg);
void witness_update_subjects(struct member_node *n);
GArray *member_successors(const struct member_node *n, int64_t subject);

/* takeover.c */
void takeover_tick(struct member_node *n);
void takeover_on_promise(struct member_node *n, const struct member_msg *msg);
bool takeover_stop_proved(const struct member_node *n, int64_t subject);
bool takeover_set_allows_expel(const struct member_node *n, int64_t subject,
			       const struct witness_set *w);
int64_t takeover_last_promise_at_ms(const struct member_node *n,
				    int64_t subject);
void takeover_mark_stopped(struct member_node *n, const GArray *ids);
void takeover_on_member_removed(struct member_node *n, int64_t subject);

/* holds.c */
void holds_tick(struct member_node *n);
void holds_resize(struct member_node *n);
void holds_reset(struct member_node *n);
void holds_on_release_request(struct member_node *n,
			      const struct member_msg *msg);
void holds_on_release(struct member_node *n, const struct member_msg *msg);
struct shard *holds_shard(const struct member_node *n, uint32_t i);
bool holds_servers_report_grants(const struct member_node *n);
bool holds_can_settle(const struct member_node *n, uint32_t shard);
bool holds_is_idle(const struct member_node *n);
void holds_send_ids(struct member_node *n);
bool holds_send_ids_is_done(const struct member_node *n);
void holds_on_ids_ack(struct member_node *n, const struct member_msg *msg);

/* busy.c */
int64_t holds_guard_ms(const struct member_node *n);
void holds_on_shard_moved(struct member_node *n, const struct fleet_event *ev);
void holds_on_successor_removed(struct member_node *n,
				const struct fleet_event *ev);
void holds_on_member_removed(struct member_node *n,
			     const struct fleet_event *ev);

/* leaving.c */
void leaving_propose(struct member_node *n);
void leaving_append_done(struct member_node *n, int result);

/* propose.c */
void propose_init(struct member_node *n);
void propose_tick(struct member_node *n);

/* sync.c */
void sync_tick(struct member_node *n);
void sync_on_peer_offset(struct member_node *n, int64_t peer, int64_t applied);
void sync_fetch(struct member_node *n, int64_t peer);
void sync_cache_record(struct member_node *n, int64_t offset,
		       const char *append_id, const json_t *record);
void sync_on_request(struct member_node *n, const struct member_msg *msg);
void sync_on_records(struct member_node *n, const struct member_msg *msg);
void sync_on_state(struct member_node *n, const struct member_msg *msg);
void cached_record_free(gpointer p);

/* Compress a long text for a message, in place. */
void member_text_compress(GString *text);
/*
 * The JSON of a text that may be compressed, as a new reference; NULL if it is
 * malformed.
 */
json_t *member_text_parse(const GString *text);

/* published.c */
void published_init(struct member_node *n);
void published_finish(struct member_node *n);
void published_tick(struct member_node *n);
/* More of the operators' stream was read, up to published_source. */
void published_on_read(struct member_node *n);
/* The state of the log has changed. */
void published_on_log(struct member_node *n);
void published_on_offer(struct member_node *n, const struct member_msg *msg);
void published_on_request(struct member_node *n, const struct member_msg *msg);
void published_on_change(struct member_node *n, const struct member_msg *msg);
/* Offers the early configuration, if there is one, to one member. */
void published_offer_to(struct member_node *n, int64_t peer);
/*
 * The document that operators published, parsed once for all that need it; NULL
 * if there is none. Not a new reference.
 */
json_t *published_load_document(struct member_node *n);

/* propose.c */
int64_t publish_rank_step_ms(const struct member_node *n);

/* member.c */
void member_end_incarnation(struct member_node *n);
void member_on_state_replaced(struct member_node *n);

#endif

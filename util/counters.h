#ifndef UTIL_COUNTERS_H
#define UTIL_COUNTERS_H

#include <stdint.h>
#include <glib.h>

/*
 * Counters of the process. They only grow; a reader computes rates from them.
 * The text form has one "name value" pair per line. The counters appends_* are
 * in the order of enum append_kind.
 */
#define COUNTER_LIST(X)            \
	X(requests_received)       \
	X(requests_answered)       \
	X(requests_not_run)        \
	X(requests_unknown)        \
	X(unknown_no_word)         \
	X(unknown_lease_over)      \
	X(unknown_gate_gone)       \
	X(unknown_stopping)        \
	X(unknown_id_in_doubt)     \
	X(unknown_server_late)     \
	X(unknown_cut)             \
	X(unknown_mixed)           \
	X(unknown_link_lost)       \
	X(requests_rejected)       \
	X(requests_abandoned)      \
	X(requests_left_unread)    \
	X(requests_quarantined)    \
	X(requests_retried)        \
	X(requests_hedged)         \
	X(hedges_won)              \
	X(answers_late)            \
	X(answers_cut)             \
	X(answers_mixed)           \
	X(answers_unsigned)        \
	X(gate_received)           \
	X(gate_admitted)           \
	X(gate_queued)             \
	X(gate_parked)             \
	X(gate_set_aside)          \
	X(gate_confirms)           \
	X(gate_refused_link)       \
	X(gate_refused_overload)   \
	X(gate_refused_overtaken)  \
	X(gate_refused_not_owner)  \
	X(gate_refused_deadline)   \
	X(gate_refused_draining)   \
	X(gate_id_replayed)        \
	X(gate_id_in_doubt)        \
	X(gate_cancelled)          \
	X(answers_endless)         \
	X(answers_foreign)         \
	X(answers_not_signed)      \
	X(answers_head_cut)        \
	X(answers_body_cut)        \
	X(answers_no_protocol)     \
	X(connections_stray)       \
	X(gate_answers_lost)       \
	X(gate_sent_again)         \
	X(heartbeats_stale)        \
	X(gate_answers_kept)       \
	X(gate_answers_resent)     \
	X(gate_refused_outdated)   \
	X(gate_refused_blocked)    \
	X(gate_refused_rate)       \
	X(servers_limited)         \
	X(gate_suspects_waited)    \
	X(reconcile_asked)         \
	X(reconcile_unknown)       \
	X(reconcile_not_begun)     \
	X(reconcile_queued)        \
	X(reconcile_started)       \
	X(reconcile_ended)         \
	X(reconcile_lost)          \
	X(reconcile_process_ended) \
	X(gate_backend_shed)       \
	X(gate_backend_failed)     \
	X(gate_cold_starts)        \
	X(gate_probes)             \
	X(servers_ended)           \
	X(gate_server_checks)      \
	X(runs_ended_with_server)  \
	X(grants_given)            \
	X(grants_renewed)          \
	X(grants_taken_back)       \
	X(grants_fenced)           \
	X(grants_not_applied)      \
	X(grants_in_doubt)         \
	X(grants_misdirected)      \
	X(vouches_sent)            \
	X(vouches_given)           \
	X(vouches_denied)          \
	X(lease_lapses)            \
	X(stops_promised)          \
	X(takeovers)               \
	X(shards_acquired)         \
	X(shards_released)         \
	X(records_applied)         \
	X(records_dropped)         \
	X(records_from_peers)      \
	X(snapshots_loaded)        \
	X(configurations_refused)  \
	X(changes_early)           \
	X(changes_offered)         \
	X(changes_requested)       \
	X(changes_sent)            \
	X(changes_bytes_sent)      \
	X(log_appends)             \
	X(log_append_answers_lost) \
	X(requests_begun_ahead)    \
	X(log_reads)               \
	X(log_reads_renewed)       \
	X(log_reads_overdue)       \
	X(store_reads_fleet)       \
	X(store_reads_operators)   \
	X(store_pages)             \
	X(store_append_calls)      \
	X(store_appends_refused)   \
	X(appends_join)            \
	X(appends_expel)           \
	X(appends_settle)          \
	X(appends_witnesses)       \
	X(appends_balance)         \
	X(appends_snapshot)        \
	X(appends_give)            \
	X(appends_place)           \
	X(appends_published)       \
	X(appends_suspects)        \
	X(appends_cleared)         \
	X(appends_left)            \
	X(leavings_unrecorded)     \
	X(log_failures)            \
	X(peer_messages_in)        \
	X(peer_messages_out)       \
	X(peer_bytes_in)           \
	X(peer_bytes_out)          \
	X(control_bytes_in)        \
	X(control_bytes_out)       \
	X(peer_messages_malformed) \
	X(peer_sends_dropped)      \
	X(peer_links_opened)       \
	X(peer_links_closed)       \
	X(peer_links_restored)     \
	X(fetch_orphans)           \
	X(log_lines_left_out)      \
	X(log_lines_dropped)

enum counter {
#define COUNTER_ENUM(name) COUNTER_##name,
	COUNTER_LIST(COUNTER_ENUM)
#undef COUNTER_ENUM
	N_COUNTERS
};

extern uint64_t counters[N_COUNTERS];

#define COUNT(name) (counters[COUNTER_##name]++)
#define COUNT_ADD(name, n) (counters[COUNTER_##name] += (n))

const char *counter_name(enum counter c);
void counters_text(GString *out);

#endif

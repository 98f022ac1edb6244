#include <string.h>

#include "gate/grant-heartbeat.h"
#include "gate/grant-call.h"
#include "platform/announce.h"

/*
 * Grants by call, one case at a time: which call is made next, and what is
 * known of a shard while a call is in flight, was not answered or was refused.
 * Then grants by heartbeat, where an answer has no room for all rows.
 */

#define N_SHARDS 8
#define N_KEYS 256
#define HOLD_MAX_MS 10000
#define LEASE_MS 3000
#define BOTH (1 << GRANT_CALL_GRANT | 1 << GRANT_CALL_RELEASE)

/*
 * The shards of a node: the fence under which it serves each, 0 if it does not
 * serve it, and whether it expects to own it.
 */
struct owned_shards {
	int64_t fence[N_SHARDS];
	bool expected[N_SHARDS];
};

static bool serves(const void *user, uint32_t shard, int64_t *fence)
{
	const struct owned_shards *owned = user;

	*fence = owned->fence[shard];
	return *fence;
}

static bool expects(const void *user, uint32_t shard)
{
	const struct owned_shards *owned = user;

	return owned->expected[shard];
}

static const struct grant_owner_ops owner_ops = { serves, expects };

struct fixture {
	struct grants g;
	struct owned_shards owned;
	struct grant_owner owner;
	int64_t now;
	int64_t heartbeat_number;
};

static void renew_lease(struct fixture *f)
{
	f->owner.lease_end_ms = f->now + LEASE_MS;
}

/*
 * A server whose heartbeat was received, with no grants left from a previous
 * process.
 */
static void set_up(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	f->now = 100000;
	grants_init(&f->g, &grant_by_call, 0);
	grants_resize(&f->g, N_SHARDS, N_KEYS);
	grant_call_heartbeat_received(&f->g);
	f->owner.ops = &owner_ops;
	f->owner.user = &f->owned;
	f->owner.newest_fence = 999;
	f->owner.is_caught_up = true;
	renew_lease(f);
}

static void set_owned(struct fixture *f, uint32_t from, uint32_t to,
		      int64_t fence)
{
	uint32_t i;

	for (i = from; i <= to; i++) {
		f->owned.fence[i] = fence;
		f->owned.expected[i] = fence;
	}
}

static bool next_call(struct fixture *f, struct grant_call *c)
{
	return grant_call_next(&f->g, &f->owner, BOTH, HOLD_MAX_MS, f->now, c);
}

static void finish_call(struct fixture *f, const struct grant_call *c,
			enum grant_outcome outcome, const char *handover)
{
	grant_call_done(&f->g, c, outcome, handover, f->now);
}

/* Grants shards 0 to 3 under fence 10; the server acknowledges the call. */
static void grant_four_shards(struct fixture *f)
{
	struct grant_call c;

	set_up(f);
	set_owned(f, 0, 3, 10);
	g_assert_true(next_call(f, &c));
	g_assert_cmpint(c.kind, ==, GRANT_CALL_GRANT);
	g_assert_cmpuint(c.first, ==, 0);
	g_assert_cmpuint(c.last, ==, 3);
	g_assert_cmpint(c.row.from, ==, 0);
	g_assert_cmpint(c.row.to, ==, 127);
	finish_call(f, &c, GRANT_APPLIED, NULL);
}

/*
 * A shard counts as held only when the server has acknowledged the grant, since
 * the server would refuse requests sent before that.
 */
static void test_held_once_answered(void)
{
	struct fixture f;
	struct grant_call c, other;

	set_up(&f);
	set_owned(&f, 0, 3, 10);
	g_assert_true(next_call(&f, &c));
	g_assert_false(grants_server_holds(&f.g, 0, 10, f.now));
	g_assert_true(grants_may_hold(&f.g, 0, f.now));
	g_assert_false(next_call(&f, &other));
	finish_call(&f, &c, GRANT_APPLIED, NULL);
	g_assert_true(grants_server_holds(&f.g, 3, 10, f.now));
	g_assert_false(grants_server_holds(&f.g, 4, 10, f.now));
	g_assert_cmpuint(grant_call_count_ranges(&f.g), ==, 1);
	grants_finish(&f.g);
}

/*
 * A hold lasts from the arrival of the call, by a clock that may be 2% slow.
 * Even if the call is sent at the last allowed moment, the hold must end before
 * our lease does. Otherwise another owner's server could hold the keys while
 * ours still does.
 */
static void test_hold_ends_with_lease(void)
{
	struct fixture f;
	struct grant_call c;

	set_up(&f);
	set_owned(&f, 0, 0, 10);
	g_assert_true(next_call(&f, &c));
	g_assert_cmpfloat(c.send_by_ms + c.hold_ms * GRANT_CLOCK_DRIFT_FACTOR,
			  <=, f.owner.lease_end_ms);
	g_assert_cmpint(c.latest_end_ms, <=, f.owner.lease_end_ms);
	g_assert_cmpint(c.earliest_end_ms, <=, f.now + c.hold_ms);
	grants_finish(&f.g);
}

/*
 * When the lease is about to end, a shard must not be granted: the hold could
 * not be renewed.
 */
static void test_no_hold_without_lease(void)
{
	struct fixture f;
	struct grant_call c;

	set_up(&f);
	set_owned(&f, 0, 0, 10);
	f.owner.lease_end_ms = f.now + 200;
	g_assert_false(next_call(&f, &c));
	grants_finish(&f.g);
}

/*
 * If all ranges were renewed with every heartbeat, each heartbeat would cause a
 * burst of calls. If they were renewed too late, one lost call would end the
 * hold.
 */
static void test_renewed_in_time(void)
{
	struct fixture f;
	struct grant_call c;
	int64_t end;

	grant_four_shards(&f);
	end = f.g.shards[0].holds_until_ms;
	for (;; f.now += 50) {
		renew_lease(&f);
		if (next_call(&f, &c))
			break;
	}
	g_assert_cmpint(end - f.now, >, 1000);
	g_assert_cmpint(end - f.now, <, 2000);
	g_assert_cmpuint(c.first, ==, 0);
	g_assert_cmpuint(c.last, ==, 3);
	finish_call(&f, &c, GRANT_APPLIED, NULL);
	g_assert_cmpint(f.g.shards[2].holds_until_ms, >, end);
	grants_finish(&f.g);
}

/*
 * A renewal gets no answer. The server may carry it out seconds later, after it
 * has released the keys. If they were granted to another server at once, two
 * servers would hold them.
 */
static void test_in_doubt_outlives_release(void)
{
	struct fixture f;
	struct grant_call late_call, c;

	grant_four_shards(&f);
	f.now += 1800;
	renew_lease(&f);
	g_assert_true(next_call(&f, &late_call));
	finish_call(&f, &late_call, GRANT_IN_DOUBT, NULL);
	set_owned(&f, 0, 3, 0);
	g_assert_true(next_call(&f, &c));
	g_assert_cmpint(c.kind, ==, GRANT_CALL_RELEASE);
	g_assert_cmpint(c.row.fence, ==, 10);
	finish_call(&f, &c, GRANT_APPLIED, "5c0e");
	g_assert_false(grants_server_holds(&f.g, 0, 10, f.now));
	g_assert_true(grants_may_hold(&f.g, 0, f.now));
	g_assert_true(grants_may_hold(&f.g, 0, late_call.latest_end_ms - 1));
	g_assert_false(grants_may_hold(&f.g, 0, late_call.latest_end_ms));
	grants_finish(&f.g);
}

/*
 * The same while the call is in flight, even if it is the first one for the
 * shard.
 */
static void test_in_flight_counts_as_held(void)
{
	struct fixture f;
	struct grant_call c, other;

	set_up(&f);
	set_owned(&f, 0, 0, 10);
	g_assert_true(next_call(&f, &c));
	set_owned(&f, 0, 0, 0);
	g_assert_false(next_call(&f, &other));
	g_assert_true(grants_may_hold(&f.g, 0, f.now + 60000));
	finish_call(&f, &c, GRANT_NOT_APPLIED, NULL);
	g_assert_false(grants_may_hold(&f.g, 0, f.now));
	grants_finish(&f.g);
}

/*
 * A release without an answer is repeated. Until one is acknowledged, its
 * shards count as held.
 */
static void test_release_repeated(void)
{
	struct fixture f;
	struct grant_call c;

	grant_four_shards(&f);
	set_owned(&f, 2, 3, 0);
	g_assert_true(next_call(&f, &c));
	g_assert_cmpint(c.kind, ==, GRANT_CALL_RELEASE);
	g_assert_cmpuint(c.first, ==, 2);
	g_assert_cmpuint(c.last, ==, 3);
	finish_call(&f, &c, GRANT_IN_DOUBT, NULL);
	g_assert_true(grants_may_hold(&f.g, 2, f.now));
	f.now += 100;
	g_assert_true(next_call(&f, &c));
	g_assert_cmpint(c.kind, ==, GRANT_CALL_RELEASE);
	finish_call(&f, &c, GRANT_APPLIED, "ab12");
	g_assert_false(grants_may_hold(&f.g, 2, f.now));
	g_assert_true(grants_server_holds(&f.g, 1, 10, f.now));
	grants_finish(&f.g);
}

/*
 * The server may answer a release with a handover, with which the next holder
 * of the keys starts warm. It must be sent with the first grant there, and with
 * no other call.
 */
static void test_handover(void)
{
	struct fixture f, to;
	struct grant_call c;
	GArray *exported = g_array_new(FALSE, FALSE, sizeof(int64_t));

	grant_four_shards(&f);
	set_owned(&f, 3, 3, 0);
	g_assert_true(next_call(&f, &c));
	finish_call(&f, &c, GRANT_APPLIED, "00ab12");
	grants_export(&f.g, 3, exported);
	g_assert_cmpuint(exported->len, ==, GRANTS_ENTRY_LEN);
	set_up(&to);
	g_assert_true(grants_import(&to.g, (int64_t *)exported->data));
	set_owned(&to, 2, 4, 20);
	g_assert_true(next_call(&to, &c));
	g_assert_cmpuint(c.first, ==, 2);
	g_assert_cmpuint(c.last, ==, 2);
	finish_call(&to, &c, GRANT_APPLIED, NULL);
	g_assert_true(next_call(&to, &c));
	g_assert_cmpuint(c.first, ==, 3);
	g_assert_cmpuint(c.last, ==, 3);
	g_assert_cmpstr(c.row.handover, ==, "00ab12");
	finish_call(&to, &c, GRANT_APPLIED, NULL);
	to.now += 2000;
	renew_lease(&to);
	g_assert_true(next_call(&to, &c));
	g_assert_cmpuint(c.last, ==, 4);
	g_array_unref(exported);
	grants_finish(&f.g);
	grants_finish(&to.g);
}

/*
 * The server has seen a higher fence on one key of a range, so it refused the
 * whole range. The other shards must be granted without waiting for that one,
 * and that one must not be granted again under a fence that is known to be too
 * low.
 */
static void test_fenced_shard_is_isolated(void)
{
	struct fixture f;
	struct grant_call c;
	uint32_t i;

	set_up(&f);
	set_owned(&f, 0, 2, 10);
	g_assert_true(next_call(&f, &c));
	g_assert_cmpuint(c.last, ==, 2);
	finish_call(&f, &c, GRANT_FENCED, NULL);
	g_assert_false(next_call(&f, &c));
	f.now += 1000;
	renew_lease(&f);
	for (i = 0; i < 3; i++) {
		g_assert_true(next_call(&f, &c));
		g_assert_cmpuint(c.first, ==, i);
		g_assert_cmpuint(c.last, ==, i);
		finish_call(&f, &c, i == 1 ? GRANT_FENCED : GRANT_APPLIED,
			    NULL);
	}
	f.now += 10000;
	renew_lease(&f);
	while (next_call(&f, &c)) {
		g_assert_cmpuint(c.first, !=, 1);
		finish_call(&f, &c, GRANT_APPLIED, NULL);
	}
	f.owned.fence[1] = 30;
	g_assert_true(next_call(&f, &c));
	g_assert_cmpuint(c.first, ==, 1);
	g_assert_cmpint(c.row.fence, ==, 30);
	grants_finish(&f.g);
}

/*
 * A process starts while its backend server keeps running. Grants by the
 * previous process stay in force for up to the length of a lease; if their
 * shards counted as free, another server could be granted them too. Shards that
 * are ours by the log are renewed at once, and the release of the others is
 * requested.
 */
static void test_prev_process_grants_count(void)
{
	struct fixture f;
	struct grant_call c;
	int64_t end;

	set_up(&f);
	grants_finish(&f.g);
	end = f.now + LEASE_MS;
	grants_init(&f.g, &grant_by_call, end);
	grants_resize(&f.g, N_SHARDS, N_KEYS);
	g_assert_true(grants_may_hold(&f.g, 7, f.now));
	g_assert_false(next_call(&f, &c));
	grant_call_heartbeat_received(&f.g);
	set_owned(&f, 0, 3, 10);
	g_assert_true(next_call(&f, &c));
	g_assert_cmpint(c.kind, ==, GRANT_CALL_GRANT);
	g_assert_cmpuint(c.last, ==, 3);
	finish_call(&f, &c, GRANT_APPLIED, NULL);
	g_assert_true(next_call(&f, &c));
	g_assert_cmpint(c.kind, ==, GRANT_CALL_RELEASE);
	g_assert_cmpuint(c.first, ==, 4);
	g_assert_cmpuint(c.last, ==, 7);
	g_assert_cmpint(c.row.fence, ==, 999);
	g_assert_true(grants_may_hold(&f.g, 5, f.now));
	finish_call(&f, &c, GRANT_APPLIED, NULL);
	/* The previous process may have been killed with a call in doubt. */
	g_assert_true(grants_may_hold(&f.g, 5, end - 1));
	g_assert_false(grants_may_hold(&f.g, 5, end));
	grants_finish(&f.g);
}

/*
 * After a grant under a higher fence, the server no longer carries out calls of
 * the previous process, so the shard is free as soon as it is released. Under
 * the same fence the server could still carry out a late call of this process.
 */
static void test_higher_fence_ends_doubt(void)
{
	struct fixture f;
	struct grant_call c;

	set_up(&f);
	grants_finish(&f.g);
	grants_init(&f.g, &grant_by_call, f.now + LEASE_MS);
	grants_resize(&f.g, N_SHARDS, N_KEYS);
	grant_call_heartbeat_received(&f.g);
	set_owned(&f, 0, 7, 10);
	g_assert_true(next_call(&f, &c));
	finish_call(&f, &c, GRANT_IN_DOUBT, NULL);
	g_assert_true(next_call(&f, &c));
	finish_call(&f, &c, GRANT_APPLIED, NULL);
	set_owned(&f, 0, 3, 0);
	g_assert_true(next_call(&f, &c));
	g_assert_cmpint(c.kind, ==, GRANT_CALL_RELEASE);
	finish_call(&f, &c, GRANT_APPLIED, NULL);
	g_assert_true(grants_may_hold(&f.g, 0, f.now));
	set_owned(&f, 4, 7, 12);
	f.now += 1500;
	renew_lease(&f);
	g_assert_true(next_call(&f, &c));
	g_assert_cmpint(c.row.fence, ==, 12);
	finish_call(&f, &c, GRANT_APPLIED, NULL);
	set_owned(&f, 4, 7, 0);
	g_assert_true(next_call(&f, &c));
	g_assert_cmpint(c.kind, ==, GRANT_CALL_RELEASE);
	finish_call(&f, &c, GRANT_APPLIED, NULL);
	g_assert_false(grants_may_hold(&f.g, 4, f.now));
	grants_finish(&f.g);
}

/*
 * The time for which a new process counts the shards as held must cover the
 * longest hold that the previous process can have granted.
 */
static void test_prev_process_wait_is_long_enough(void)
{
	struct fixture f;
	struct grant_call c;

	set_up(&f);
	f.owner.lease_end_ms = f.now + 60000;
	set_owned(&f, 0, 0, 10);
	g_assert_true(next_call(&f, &c));
	g_assert_cmpint(c.latest_end_ms, <=,
			f.now + grants_prev_process_hold_ms(&grant_by_call,
							    60000));
	finish_call(&f, &c, GRANT_APPLIED, NULL);
	grants_finish(&f.g);
}

/*
 * The same before the new process has joined. Shards that the log still lists
 * for the previous process are about to be ours; if they were released, they
 * would come back cold. As long as the server has acknowledged no call for
 * them, they count as held for the longest possible grant.
 */
static void test_prev_process_grants_kept_until_joined(void)
{
	struct fixture f;
	struct grant_call c;
	uint32_t i;

	set_up(&f);
	grants_finish(&f.g);
	grants_init(&f.g, &grant_by_call, f.now + LEASE_MS);
	grants_resize(&f.g, N_SHARDS, N_KEYS);
	grant_call_heartbeat_received(&f.g);
	for (i = 0; i < N_SHARDS; i++)
		f.owned.expected[i] = true;
	g_assert_false(next_call(&f, &c));
	g_assert_true(grants_may_hold(&f.g, 0, f.now + LEASE_MS - 1));
	g_assert_false(grants_may_hold(&f.g, 0, f.now + LEASE_MS));
	grants_finish(&f.g);
}

/*
 * The server was restarted, and the node learns of it late: calls meant for the
 * previous instance may have reached the new one. The release of their shards
 * is requested, and an answer to an earlier call does not show what the new
 * instance holds.
 */
static void test_new_instance_releases_all(void)
{
	struct fixture f;
	struct grant_call late_call, c;

	grant_four_shards(&f);
	set_owned(&f, 5, 5, 12);
	g_assert_true(next_call(&f, &late_call));
	grants_new_instance(&f.g);
	set_owned(&f, 0, 5, 0);
	g_assert_false(grants_server_holds(&f.g, 0, 10, f.now));
	g_assert_true(grants_may_hold(&f.g, 0, f.now));
	finish_call(&f, &late_call, GRANT_APPLIED, NULL);
	g_assert_false(grants_server_holds(&f.g, 5, 12, f.now));
	g_assert_true(grants_may_hold(&f.g, 5, f.now));
	g_assert_true(next_call(&f, &c));
	g_assert_cmpint(c.kind, ==, GRANT_CALL_RELEASE);
	finish_call(&f, &c, GRANT_APPLIED, NULL);
	g_assert_false(grants_may_hold(&f.g, 0, f.now));
	g_assert_true(grants_may_hold(&f.g, 5, late_call.latest_end_ms - 1));
	grants_finish(&f.g);
}

/*
 * No process listens at the server's address any more. If its holds were left
 * to expire, the keys would have no owner for seconds. A shard with a call in
 * flight still counts as held, since the call may have reached the next
 * instance.
 */
static void test_stopped_server_holds_nothing(void)
{
	struct fixture f;
	struct grant_call late_call, c;

	grant_four_shards(&f);
	f.now += 1800;
	renew_lease(&f);
	g_assert_true(next_call(&f, &late_call));
	finish_call(&f, &late_call, GRANT_IN_DOUBT, NULL);
	set_owned(&f, 5, 5, 12);
	g_assert_true(next_call(&f, &c));
	g_assert_cmpuint(c.first, ==, 5);
	grants_server_stopped(&f.g);
	g_assert_false(grants_may_hold(&f.g, 0, f.now));
	g_assert_false(grants_server_holds(&f.g, 0, 10, f.now));
	g_assert_true(grants_may_hold(&f.g, 5, f.now));
	finish_call(&f, &c, GRANT_NOT_APPLIED, NULL);
	g_assert_false(grants_may_hold(&f.g, 5, f.now));
	grants_finish(&f.g);
}

/*
 * The server refuses a request for a key that it should hold. The shard must be
 * granted again at once: until the next renewal the server would refuse all
 * other requests for it.
 */
static void test_misdirected_is_granted_again(void)
{
	struct fixture f;
	struct grant_call c;

	grant_four_shards(&f);
	grants_misdirected(&f.g, 2, f.now);
	g_assert_false(grants_server_holds(&f.g, 2, 10, f.now));
	g_assert_true(grants_may_hold(&f.g, 2, f.now));
	g_assert_true(next_call(&f, &c));
	finish_call(&f, &c, GRANT_APPLIED, NULL);
	g_assert_true(grants_server_holds(&f.g, 2, 10, f.now));
	grants_finish(&f.g);
}

/*
 * A lease lapses for a moment, and the log still lists the shards as ours. They
 * must not be released, since they would come back cold a moment later.
 */
static void test_lapse_releases_nothing(void)
{
	struct fixture f;
	struct grant_call c;

	grant_four_shards(&f);
	memset(f.owned.fence, 0, sizeof(f.owned.fence));
	f.owner.lease_end_ms = 0;
	g_assert_false(next_call(&f, &c));
	set_owned(&f, 0, 3, 10);
	f.now += 1900;
	renew_lease(&f);
	g_assert_true(next_call(&f, &c));
	g_assert_cmpint(c.kind, ==, GRANT_CALL_GRANT);
	grants_finish(&f.g);
}

/*
 * A server that gets its grants in the answers to its heartbeats: four shards,
 * four rows.
 */
static void set_up_heartbeats(struct fixture *f)
{
	uint32_t i;

	set_up(f);
	grants_finish(&f->g);
	grants_init(&f->g, &grant_by_heartbeat, 0);
	grants_resize(&f->g, N_SHARDS, N_KEYS);
	for (i = 0; i < N_SHARDS; i += 2)
		set_owned(f, i, i, 10 + i);
}

/*
 * The rows of an answer of up to max_len bytes. Sets *n_rows to the number of
 * them that fit.
 */
static GArray *answer_rows(struct fixture *f, size_t max_len, int64_t *hold_ms,
			   uint32_t *n_rows)
{
	GArray *rows = grant_heartbeat_rows(&f->g, &f->owner, true, HOLD_MAX_MS,
					    f->now, hold_ms);
	uint32_t n_omitted;

	g_assert_nonnull(rows);
	g_free(announce_encode_answer(rows, *hold_ms, max_len, &n_omitted));
	*n_rows = rows->len - n_omitted;
	return rows;
}

/*
 * A heartbeat of a server that holds the shards whose bits are set in "held".
 * Returns the bits of the shards that the answer grants.
 */
static uint32_t exchange_heartbeat(struct fixture *f, uint32_t held,
				   size_t max_len)
{
	GArray *holds = g_array_new(FALSE, FALSE, sizeof(struct grant_row));
	GArray *rows;
	uint32_t n_answered, i;
	uint32_t bits = 0;
	int64_t hold_ms;

	f->now += 900;
	f->heartbeat_number++;
	renew_lease(f);
	for (i = 0; i < N_SHARDS; i++) {
		struct grant_row r = { .from = grants_first_key(&f->g, i),
				       .to = grants_last_key(&f->g, i),
				       .fence = f->g.shards[i].fence };

		if (held & 1 << i)
			g_array_append_val(holds, r);
	}
	grant_heartbeat_received(&f->g, f->heartbeat_number, holds, NULL,
				 HOLD_MAX_MS, f->now);
	g_array_unref(holds);
	rows = answer_rows(f, max_len, &hold_ms, &n_answered);
	grant_heartbeat_answered(&f->g, rows, n_answered, f->heartbeat_number,
				 hold_ms, f->now);
	for (i = 0; i < n_answered; i++)
		bits |= 1 << g_array_index(rows, struct grant_row, i).from *
				     N_SHARDS / N_KEYS;
	g_array_unref(rows);
	return bits;
}

/* The bits of the shards that requests are sent for. */
static uint32_t served_shards(const struct fixture *f)
{
	uint32_t bits = 0;
	uint32_t i;

	for (i = 0; i < N_SHARDS; i++)
		if (f->owned.fence[i] &&
		    grants_server_holds(&f->g, i, f->owned.fence[i], f->now))
			bits |= 1 << i;
	return bits;
}

/* Length in bytes of an answer with room for two rows of four. */
#define ROOM_FOR_TWO 60

/*
 * A shard that an answer had no room for must not count as granted, or requests
 * would be sent for it and the server would refuse them all.
 */
static void test_omitted_is_not_granted(void)
{
	struct fixture f;
	uint32_t granted;

	set_up_heartbeats(&f);
	granted = exchange_heartbeat(&f, 0, ROOM_FOR_TWO);
	g_assert_cmphex(granted, ==, 0x05);
	g_assert_cmphex(served_shards(&f), ==, granted);
	g_assert_false(grants_may_hold(&f.g, 6, f.now));
	g_assert_true(grants_waiting_for_room(&f.g, 6));
	g_assert_false(grants_waiting_for_room(&f.g, 1));
	g_assert_cmphex(exchange_heartbeat(&f, granted, 4000), ==, 0x55);
	g_assert_false(grants_waiting_for_room(&f.g, 6));
	g_assert_cmphex(served_shards(&f), ==, 0x55);
	grants_finish(&f.g);
}

/*
 * A held shard that an answer had no room for counts as held until its grant
 * ends. If it counted as released, another server could be granted it while
 * this one still holds it.
 */
static void test_omitted_counts_as_held(void)
{
	struct fixture f;
	int64_t until;

	set_up_heartbeats(&f);
	g_assert_cmphex(exchange_heartbeat(&f, 0, 4000), ==, 0x55);
	until = f.g.shards[6].may_hold_until_ms;
	g_assert_cmphex(exchange_heartbeat(&f, 0x55, ROOM_FOR_TWO), ==, 0x05);
	g_assert_cmphex(served_shards(&f), ==, 0x05);
	g_assert_true(grants_may_hold(&f.g, 6, until - 1));
	g_assert_false(grants_may_hold(&f.g, 6, until));
	exchange_heartbeat(&f, 0x05, ROOM_FOR_TWO);
	g_assert_false(grants_may_hold(&f.g, 6, f.now));
	grants_finish(&f.g);
}

/*
 * When an answer has no room for all rows, shards already held go first. If
 * rows of lower keys took their place, they would come back cold.
 */
static void test_held_rows_come_first(void)
{
	struct fixture f;

	set_up_heartbeats(&f);
	set_owned(&f, 0, 3, 0);
	g_assert_cmphex(exchange_heartbeat(&f, 0, ROOM_FOR_TWO), ==, 0x50);
	set_owned(&f, 0, 0, 20);
	set_owned(&f, 2, 2, 22);
	g_assert_cmphex(exchange_heartbeat(&f, 0x50, ROOM_FOR_TWO), ==, 0x50);
	g_assert_cmphex(served_shards(&f), ==, 0x50);
	set_owned(&f, 4, 4, 0);
	g_assert_cmphex(exchange_heartbeat(&f, 0x50, ROOM_FOR_TWO), ==, 0x41);
	grants_finish(&f.g);
}

/*
 * Among shards not held yet, the one that has waited longest goes first, not
 * the one with the lowest keys.
 */
static void test_longest_wait_goes_first(void)
{
	struct fixture f;

	set_up_heartbeats(&f);
	set_owned(&f, 0, 0, 0);
	g_assert_cmphex(exchange_heartbeat(&f, 0, ROOM_FOR_TWO), ==, 0x14);
	set_owned(&f, 0, 0, 20);
	set_owned(&f, 4, 4, 0);
	g_assert_cmphex(exchange_heartbeat(&f, 0x14, ROOM_FOR_TWO), ==, 0x44);
	grants_finish(&f.g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/grants/answered", test_held_once_answered);
	g_test_add_func("/grants/lease", test_hold_ends_with_lease);
	g_test_add_func("/grants/no-lease", test_no_hold_without_lease);
	g_test_add_func("/grants/renewed", test_renewed_in_time);
	g_test_add_func("/grants/doubt", test_in_doubt_outlives_release);
	g_test_add_func("/grants/asked", test_in_flight_counts_as_held);
	g_test_add_func("/grants/release-again", test_release_repeated);
	g_test_add_func("/grants/handover", test_handover);
	g_test_add_func("/grants/fenced", test_fenced_shard_is_isolated);
	g_test_add_func("/grants/past", test_prev_process_grants_count);
	g_test_add_func("/grants/higher-fence-ends-doubt",
			test_higher_fence_ends_doubt);
	g_test_add_func("/grants/past-covers-longest-hold",
			test_prev_process_wait_is_long_enough);
	g_test_add_func("/grants/past-kept",
			test_prev_process_grants_kept_until_joined);
	g_test_add_func("/grants/new-life", test_new_instance_releases_all);
	g_test_add_func("/grants/ended", test_stopped_server_holds_nothing);
	g_test_add_func("/grants/misdirected",
			test_misdirected_is_granted_again);
	g_test_add_func("/grants/lapse", test_lapse_releases_nothing);
	g_test_add_func("/grants/left-out", test_omitted_is_not_granted);
	g_test_add_func("/grants/left-out-held", test_omitted_counts_as_held);
	g_test_add_func("/grants/held-first", test_held_rows_come_first);
	g_test_add_func("/grants/longest-wait", test_longest_wait_goes_first);
	return g_test_run();
}

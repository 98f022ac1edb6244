#include <string.h>

#include "member/internal.h"
#include "state/records.h"
#include "util/result.h"

/*
 * Leavings of the backend server beside this node, until the log has them. The
 * state of the fleet then keeps them for the next process on this host.
 */

/* A faulty server that leaves again and again must not fill the log. */
#define LEFT_INTERVAL_MS 100
#define LEFT_RETRY_MS 200

static struct own_leaving *find_own(struct member_node *n,
				    const struct leaving *left)
{
	uint32_t i;

	for (i = 0; i < n->n_own_leavings; i++)
		if (leaving_same_instance(&n->own_leavings[i].left, left))
			return &n->own_leavings[i];
	return NULL;
}

bool member_leaving_is_recorded(const struct member_node *n,
				const struct leaving *left)
{
	const struct own_leaving *own = find_own((struct member_node *)n, left);

	return (own && own->appended) ||
	       leavings_contain(&n->fleet.leavings, left);
}

static void remove_applied(struct member_node *n)
{
	uint32_t i;

	for (i = n->n_own_leavings; i-- > 0;) {
		struct own_leaving *own = &n->own_leavings[i];

		if (own->append_sent ||
		    !leavings_contain(&n->fleet.leavings, &own->left))
			continue;
		*own = n->own_leavings[--n->n_own_leavings];
	}
}

int member_server_left(struct member_node *n, const struct leaving *left,
		       int64_t now_ms)
{
	n->now_ms = MAX(n->now_ms, now_ms);
	remove_applied(n);
	if (member_leaving_is_recorded(n, left) || find_own(n, left))
		return RESULT_OK;
	if (n->n_own_leavings == MEMBER_MAX_OWN_LEAVINGS)
		return RESULT_OVERLOAD;
	n->own_leavings[n->n_own_leavings++] =
		(struct own_leaving){ .left = *left };
	leaving_propose(n);
	return RESULT_OK;
}

void leaving_propose(struct member_node *n)
{
	uint32_t i;

	if (!n->log_caught_up || n->append_pending[APPEND_LEFT] ||
	    n->now_ms < n->next_append_at_ms[APPEND_LEFT])
		return;
	remove_applied(n);
	for (i = 0; i < n->n_own_leavings; i++) {
		struct own_leaving *own = &n->own_leavings[i];

		if (own->appended)
			continue;
		own->append_sent = true;
		member_append(n, APPEND_LEFT,
			      record_left(n->self_id, &own->left));
		return;
	}
}

void leaving_append_done(struct member_node *n, int result)
{
	uint32_t i;

	for (i = 0; i < n->n_own_leavings; i++) {
		struct own_leaving *own = &n->own_leavings[i];

		if (!own->append_sent)
			continue;
		own->append_sent = false;
		own->appended = result == RESULT_OK;
	}
	if (result == RESULT_OK)
		n->next_append_at_ms[APPEND_LEFT] =
			n->now_ms + LEFT_INTERVAL_MS;
	else if (result != RESULT_CONFLICT)
		n->next_append_at_ms[APPEND_LEFT] = n->now_ms + LEFT_RETRY_MS;
}

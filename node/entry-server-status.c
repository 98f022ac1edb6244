#include <string.h>

#include "net/server-status.h"
#include "node/entry-request.h"
#include "node/node.h"
#include "util/hash.h"

/*
 * What backend servers said of themselves in answers that this entry passed on,
 * by instance. The gate beside a server forgets it when its process restarts.
 */

static struct server_status *find(struct entry *e, const struct member *m)
{
	if (!m || !m->server_instance_id[0])
		return NULL;
	return fifo_cache_get(&e->server_status,
			      hash_string(m->server_instance_id), 0);
}

void entry_on_server_status(struct entry *e, int64_t member,
			    const GPtrArray *answer_headers)
{
	const struct member *m = fleet_member(&e->node->member.fleet, member);
	struct server_status status;
	struct server_status *known;

	server_status_read(&status, e->node->settings.headers, answer_headers);
	if (status.limit == SERVER_LIMIT_UNREADABLE)
		return;
	known = find(e, m);
	if (!known && !status.leaving && status.limit == SERVER_LIMIT_NONE)
		return;
	if (!m || !m->server_instance_id[0])
		return;
	if (!known) {
		known = g_new0(struct server_status, 1);
		fifo_cache_add(&e->server_status,
			       hash_string(m->server_instance_id), 0, known);
	}
	known->limit = status.limit;
	known->limit_milli = status.limit_milli;
	known->leaving = known->leaving || status.leaving;
	chooser_gate_view(&e->chooser, member)->server_leaving = known->leaving;
}

void entry_on_member_joined(struct entry *e, const struct member *m)
{
	const struct server_status *known = find(e, m);

	if (known && known->leaving)
		chooser_gate_view(&e->chooser, m->id)->server_leaving = true;
}

void entry_add_server_status(struct entry *e, const struct member *to,
			     struct request_msg *m)
{
	const struct server_status *known = find(e, to);

	if (!known)
		return;
	m->status = (int64_t)hash_string(to->server_instance_id);
	m->limit = known->limit == SERVER_LIMIT_NAMED ? known->limit_milli : 0;
	if (known->leaving)
		m->flags |= REQ_FLAG_SERVER_LEAVING;
}

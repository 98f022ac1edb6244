#include "member/spread.h"

#define OFFER_INTERVAL_MS 300
#define OFFER_INTERVAL_MAX_MS 4800
/* A change of 35 kB takes 30 ms over a link of 10 Mbit/s that is not shared. */
#define ASK_TIMEOUT_MS 500
/* Peers that left are forgotten when there are more than this. */
#define MAX_PEERS 64

static bool spread_rule_enabled(const struct spread *s, enum spread_rule rule)
{
#ifdef RULE_SWITCHES
	return !(s->disabled_rules & rule);
#else
	(void)s;
	(void)rule;
	return true;
#endif
}

void spread_init(struct spread *s)
{
	s->held = -1;
	s->peers = g_array_new(FALSE, FALSE, sizeof(struct spread_peer));
	s->next_offer_at_ms = 0;
	s->offer_interval_ms = 0;
	s->asked_source = -1;
	s->asked_at_ms = 0;
	s->disabled_rules = 0;
}

void spread_finish(struct spread *s)
{
	g_array_unref(s->peers);
}

static struct spread_peer *peer_at(const struct spread *s, uint32_t i)
{
	return &g_array_index(s->peers, struct spread_peer, i);
}

static struct spread_peer *find_peer(const struct spread *s, int64_t id)
{
	uint32_t i;

	for (i = 0; i < s->peers->len; i++)
		if (peer_at(s, i)->id == id)
			return peer_at(s, i);
	return NULL;
}

void spread_hold(struct spread *s, int64_t source, int64_t now_ms)
{
	if (source <= s->held)
		return;
	s->held = source;
	s->next_offer_at_ms = now_ms;
	s->offer_interval_ms = 0;
}

void spread_log_has(struct spread *s, int64_t source)
{
	uint32_t i;

	if (s->held <= source)
		s->held = -1;
	for (i = s->peers->len; i-- > 0;)
		if (peer_at(s, i)->source <= source)
			g_array_remove_index_fast(s->peers, i);
}

void spread_peer_has(struct spread *s, int64_t peer, int64_t source)
{
	struct spread_peer *p = find_peer(s, peer);
	struct spread_peer new = { .id = peer, .source = source };

	if (p) {
		p->source = MAX(p->source, source);
		return;
	}
	if (s->peers->len >= MAX_PEERS)
		g_array_remove_index(s->peers, 0);
	g_array_append_val(s->peers, new);
}

int64_t spread_newest_known(const struct spread *s)
{
	int64_t newest = -1;
	uint32_t i;

	for (i = 0; i < s->peers->len; i++)
		newest = MAX(newest, peer_at(s, i)->source);
	return newest;
}

/* The peer with the newest change that was asked least often, the first one. */
static struct spread_peer *best_peer(const struct spread *s, int64_t newest)
{
	struct spread_peer *best = NULL;
	uint32_t i;

	for (i = 0; i < s->peers->len; i++) {
		struct spread_peer *p = peer_at(s, i);

		if (p->source == newest &&
		    (!best || p->n_asked < best->n_asked))
			best = p;
	}
	return best;
}

int64_t spread_ask(struct spread *s, int64_t source, int64_t now_ms)
{
	int64_t newest = spread_newest_known(s);
	bool again = s->asked_source >= newest;
	struct spread_peer *p;

	if (newest <= source)
		return 0;
	if (again && (now_ms - s->asked_at_ms < ASK_TIMEOUT_MS ||
		      !spread_rule_enabled(s, SPREAD_ASK_ANOTHER)))
		return 0;
	p = best_peer(s, newest);
	p->n_asked++;
	s->asked_source = newest;
	s->asked_at_ms = now_ms;
	return p->id;
}

bool spread_offer_due(const struct spread *s, int64_t now_ms)
{
	return s->held >= 0 && now_ms >= s->next_offer_at_ms &&
	       (!s->offer_interval_ms ||
		spread_rule_enabled(s, SPREAD_OFFER_AGAIN));
}

bool spread_lacks(const struct spread *s, int64_t peer)
{
	const struct spread_peer *p = find_peer(s, peer);

	return !p || p->source < s->held;
}

void spread_offered(struct spread *s, int64_t now_ms)
{
	s->offer_interval_ms = CLAMP(2 * s->offer_interval_ms,
				     OFFER_INTERVAL_MS, OFFER_INTERVAL_MAX_MS);
	s->next_offer_at_ms = now_ms + s->offer_interval_ms;
}

#include <math.h>
#include <string.h>

#include "gate/rate-limit.h"

#ifdef RULE_SWITCHES
uint32_t rate_limit_disabled_rules;
#define rule_enabled(rule) (!(rate_limit_disabled_rules & (rule)))
#else
#define rule_enabled(rule) true
#endif

#define MS_PER_S 1000.0
/*
 * Requests sent at the end of a time that the server looks at arrive with those
 * sent after it, so a tenth of the rate is not used.
 */
#define RATE_SHARE_USED 0.9
/* The most tokens, as those of a time; at least one. */
#define BURST_S 1.0
#define DEMAND_HALF_LIFE_MS 1000.0

bool rate_limit_parse(const char *text, double *per_s)
{
	char *end;
	double v;

	/* g_ascii_strtod() also reads hexadecimal numbers. */
	if (!text[0] || strspn(text, "0123456789.") != strlen(text))
		return false;
	v = g_ascii_strtod(text, &end);
	if (end == text || *end || !isfinite(v))
		return false;
	*per_s = v;
	return true;
}

void rate_limit_reset(struct rate_limit *l)
{
	memset(l, 0, sizeof(*l));
}

static double max_tokens(const struct rate_limit *l)
{
	return MAX(l->per_s * RATE_SHARE_USED * BURST_S, 1.0);
}

static double tokens_at(const struct rate_limit *l, int64_t now_ms)
{
	double tokens = l->tokens + (now_ms - l->updated_at_ms) / MS_PER_S *
					    l->per_s * RATE_SHARE_USED;

	return rule_enabled(RATE_LIMIT_RULE_BURST) ? MIN(tokens, max_tokens(l))
						   : tokens;
}

static void set_rate(struct rate_limit *l, double per_s, int64_t now_ms)
{
	/* Until now the server may have got as many as it could run. */
	double tokens = l->per_s > 0 ? tokens_at(l, now_ms) : 0;

	l->per_s = MAX(per_s, RATE_LIMIT_MIN_PER_S);
	l->tokens = MIN(tokens, max_tokens(l));
	l->updated_at_ms = now_ms;
}

void rate_limit_on_answer(struct rate_limit *l, bool named, double per_s,
			  int64_t sent_at_ms, int64_t now_ms)
{
	l->known = true;
	if (named) {
		set_rate(l, per_s, now_ms);
		l->named_at_ms = now_ms;
		return;
	}
	/* It may have been on its way when the server named its rate. */
	if (sent_at_ms >= l->named_at_ms && rule_enabled(RATE_LIMIT_RULE_ENDS))
		l->per_s = 0;
}

void rate_limit_on_reported(struct rate_limit *l, double per_s, int64_t now_ms)
{
	if (l->known)
		return;
	if (per_s != l->per_s)
		set_rate(l, per_s, now_ms);
}

bool rate_limit_is_active(const struct rate_limit *l)
{
	return l->per_s > 0;
}

bool rate_limit_allows(const struct rate_limit *l, int64_t now_ms)
{
	return !rate_limit_is_active(l) || tokens_at(l, now_ms) >= 1;
}

void rate_limit_record_send(struct rate_limit *l, int64_t now_ms)
{
	if (!rate_limit_is_active(l))
		return;
	l->tokens = tokens_at(l, now_ms) -
		    (rule_enabled(RATE_LIMIT_RULE_COUNT) ? 1 : 0);
	l->updated_at_ms = now_ms;
}

static double demand_at(const struct rate_limit *l, int64_t now_ms)
{
	return l->demand_per_s *
	       exp2(-(double)(now_ms - l->demand_at_ms) / DEMAND_HALF_LIFE_MS);
}

void rate_limit_record_offer(struct rate_limit *l, int64_t now_ms)
{
	/* With this increment the decayed sum approaches the rate. */
	l->demand_per_s =
		demand_at(l, now_ms) + G_LN2 * MS_PER_S / DEMAND_HALF_LIFE_MS;
	l->demand_at_ms = now_ms;
}

double rate_limit_wait_ms(const struct rate_limit *l, uint32_t n,
			  int64_t now_ms)
{
	double missing;

	if (!rate_limit_is_active(l))
		return 0;
	missing = n + 1 - tokens_at(l, now_ms);
	return MAX(missing, 0) * MS_PER_S / (l->per_s * RATE_SHARE_USED);
}

double rate_limit_utilization(const struct rate_limit *l, int64_t now_ms)
{
	return rate_limit_is_active(l) ? demand_at(l, now_ms) / l->per_s : 0;
}

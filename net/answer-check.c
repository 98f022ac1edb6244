#include <string.h>

#include "net/answer-check.h"

#ifdef RULE_SWITCHES
bool answer_check_disabled;
#else
#define answer_check_disabled false
#endif

bool answer_is_for(const GPtrArray *headers, const struct header_names *names,
		   const char *attempt_id)
{
	const char *echo = header_find(headers, names->attempt_id);

	if (answer_check_disabled)
		return true;
	if (!attempt_id)
		return !echo || !*echo;
	return echo && !strcmp(echo, attempt_id);
}

bool answer_is_signed(const GPtrArray *headers,
		      const struct header_names *names, long status)
{
	if (!names->signature || status >= 300)
		return true;
	return header_find(headers, names->signature) &&
	       !header_find(headers, "Content-Encoding");
}

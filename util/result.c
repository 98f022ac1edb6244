#include "util/result.h"

/* Returns the name of a result code in logs and on the command line. */
const char *result_name(int code)
{
	static const char *const names[] = {
		"ok",	       "invalid",     "io",	   "unknown-field",
		"stale",       "duplicate",   "no-such",   "gap",
		"not-owner",   "overload",    "timeout",   "conflict",
		"unreachable", "cut",	      "cancelled", "trimmed",
		"mixed",       "quarantined",
	};
	int n = sizeof(names) / sizeof(names[0]);

	if (code > 0 || -code >= n)
		return "unlisted";
	return names[-code];
}

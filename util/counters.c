#include <inttypes.h>

#include "util/counters.h"

uint64_t counters[N_COUNTERS];

static const char *const names[] = {
#define COUNTER_NAME(name) #name,
	COUNTER_LIST(COUNTER_NAME)
#undef COUNTER_NAME
};

/* Returns the name of a counter in the text form. */
const char *counter_name(enum counter c)
{
	return names[c];
}

/* Append a line "name value" for every counter to out. */
void counters_text(GString *out)
{
	int i;

	for (i = 0; i < N_COUNTERS; i++)
		g_string_append_printf(out, "%s %" PRIu64 "\n", names[i],
				       counters[i]);
}

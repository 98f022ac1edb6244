#include <inttypes.h>
#include <math.h>

#include "util/histogram.h"

struct counts {
	uint64_t at_most[HISTOGRAM_BUCKETS + 1]; /* the last one: more */
	uint64_t n;
	double sum_ms;
};

static struct counts all[N_HISTOGRAMS];

static const char *const names[] = {
#define HISTOGRAM_NAME(name) #name,
	HISTOGRAM_LIST(HISTOGRAM_NAME)
#undef HISTOGRAM_NAME
};

static double bound(uint32_t i)
{
	return pow(2, i / 2.0);
}

void histogram_add(enum histogram h, double ms)
{
	uint32_t i = ms <= 1 ? 0 : (uint32_t)ceil(2 * log2(ms) - 1e-9);

	all[h].at_most[MIN(i, HISTOGRAM_BUCKETS)]++;
	all[h].n++;
	all[h].sum_ms += ms;
}

void histograms_text(GString *out)
{
	uint32_t h, i;

	for (h = 0; h < N_HISTOGRAMS; h++) {
		uint64_t sum = 0;

		for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
			sum += all[h].at_most[i];
			if (all[h].at_most[i])
				g_string_append_printf(
					out,
					"%s_bucket{le=\"%.4g\"} %" PRIu64 "\n",
					names[h], bound(i), sum);
		}
		g_string_append_printf(out,
				       "%s_bucket{le=\"+Inf\"} %" PRIu64
				       "\n%s_sum %.1f\n%s_count %" PRIu64 "\n",
				       names[h], all[h].n, names[h],
				       all[h].sum_ms, names[h], all[h].n);
	}
}

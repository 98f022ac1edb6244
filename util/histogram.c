#include <inttypes.h>
#include <math.h>

#include "util/histogram.h"

struct histogram_counts {
	uint64_t at_most[HISTOGRAM_BUCKETS + 1]; /* the last: above all */
	uint64_t n;
	double sum_ms;
};

static struct histogram_counts histograms[N_HISTOGRAMS];

static const char *const names[] = {
#define HISTOGRAM_NAME(name) #name,
	HISTOGRAM_LIST(HISTOGRAM_NAME)
#undef HISTOGRAM_NAME
};

/* Upper bound of a bucket in milliseconds. */
static double bucket_bound(uint32_t i)
{
	return pow(2, i / 2.0);
}

void histogram_add(enum histogram h, double ms)
{
	uint32_t i = ms <= 1 ? 0 : (uint32_t)ceil(2 * log2(ms) - 1e-9);

	histograms[h].at_most[MIN(i, HISTOGRAM_BUCKETS)]++;
	histograms[h].n++;
	histograms[h].sum_ms += ms;
}

void histograms_text(GString *out)
{
	uint32_t h, i;

	for (h = 0; h < N_HISTOGRAMS; h++) {
		uint64_t sum = 0;

		for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
			sum += histograms[h].at_most[i];
			if (histograms[h].at_most[i])
				g_string_append_printf(
					out,
					"%s_bucket{le=\"%.4g\"} %" PRIu64 "\n",
					names[h], bucket_bound(i), sum);
		}
		g_string_append_printf(out,
				       "%s_bucket{le=\"+Inf\"} %" PRIu64
				       "\n%s_sum %.1f\n%s_count %" PRIu64 "\n",
				       names[h], histograms[h].n, names[h],
				       histograms[h].sum_ms, names[h],
				       histograms[h].n);
	}
}

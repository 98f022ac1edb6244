#include <inttypes.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "util/counters.h"
#include "util/event.h"

/* Below PIPE_BUF, so that a write to a pipe is atomic. */
#define MAX_LINE_BYTES 1024
#define MAX_TEXT_LEN 64
#define N_TEXTS 4
#define TRACED_PER_S 4.0
#define MS_PER_S 1000.0

struct token_bucket {
	double tokens;
	int64_t filled_at_ms;
	uint64_t left_out;
};

static const struct {
	const char *name;
	double rate;
	double burst;
} kinds[] = {
#define EVENT_KIND(name, rate, burst) { #name, rate, burst },
	EVENT_LIST(EVENT_KIND)
#undef EVENT_KIND
};

static struct token_bucket buckets[N_EVENTS];
static struct token_bucket trace_bucket;
static char host_name[64];
static bool enabled;

static int64_t boot_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void event_setup(const char *host)
{
	int i;

	g_strlcpy(host_name, host, sizeof(host_name));
	for (i = 0; i < N_EVENTS; i++) {
		buckets[i].tokens = kinds[i].burst;
		buckets[i].filled_at_ms = boot_ms();
	}
	trace_bucket.tokens = TRACED_PER_S;
	trace_bucket.filled_at_ms = boot_ms();
	enabled = true;
}

static bool take_token(struct token_bucket *b, double rate, double burst)
{
	int64_t now = boot_ms();

	b->tokens = MIN(burst,
			b->tokens + (now - b->filled_at_ms) / MS_PER_S * rate);
	b->filled_at_ms = now;
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}

bool event_allowed(enum event e)
{
	if (!enabled)
		return false;
	if (take_token(&buckets[e], kinds[e].rate, kinds[e].burst))
		return true;
	buckets[e].left_out++;
	COUNT(log_lines_left_out);
	return false;
}

bool event_should_trace(void)
{
	return enabled && take_token(&trace_bucket, TRACED_PER_S, TRACED_PER_S);
}

void event_write_line(const char *line, size_t len)
{
	struct pollfd p = { .fd = STDOUT_FILENO, .events = POLLOUT };

	/*
	 * The reader of the pipe may be slow or stuck. A blocking write into a
	 * full pipe would stop this process and all of its requests.
	 */
	if (poll(&p, 1, 0) != 1 || !(p.revents & POLLOUT) ||
	    write(STDOUT_FILENO, line, len) < 0)
		COUNT(log_lines_dropped);
}

const char *event_text(const char *s)
{
	static char texts[N_TEXTS][MAX_TEXT_LEN + 1];
	static uint32_t next;
	char *out = texts[next++ % N_TEXTS];
	uint32_t i;

	for (i = 0; s && s[i] && s[i] != '\n' && i < MAX_TEXT_LEN; i++)
		out[i] = g_ascii_isprint(s[i]) && !strchr("\"\\", s[i]) ? s[i]
									: '?';
	out[i] = '\0';
	return out;
}

void event_write(enum event e, const char *id, const char *fmt, ...)
{
	char line[MAX_LINE_BYTES];
	uint64_t left_out = buckets[e].left_out;
	int n;
	va_list ap;

	n = g_snprintf(line, sizeof(line),
		       "{\"unix_ms\":%" PRId64 ",\"boot_ms\":%" PRId64
		       ",\"host\":\"%s\",\"event\":\"%s\"",
		       g_get_real_time() / 1000, boot_ms(), host_name,
		       kinds[e].name);
	if (id)
		n += g_snprintf(line + n, sizeof(line) - n, ",\"id\":\"%s\"",
				event_text(id));
	if (left_out)
		n += g_snprintf(line + n, sizeof(line) - n,
				",\"left_out\":%" PRIu64, left_out);
	buckets[e].left_out = 0;
	if (*fmt) {
		n += g_snprintf(line + n, sizeof(line) - n, ",");
		va_start(ap, fmt);
		n += g_vsnprintf(line + n, sizeof(line) - n, fmt, ap);
		va_end(ap);
	}
	/* A truncated line would not be valid JSON, so drop it. */
	if (n + 3 >= MAX_LINE_BYTES) {
		COUNT(log_lines_dropped);
		return;
	}
	memcpy(line + n, "}\n", 2);
	event_write_line(line, n + 2);
}

#include <string.h>
#include <sys/stat.h>

#include "node/node.h"
#include "util/event.h"

/*
 * Reading the settings again, on SIGHUP or when the file has changed. Only what
 * can change under way is taken over; addresses stay as they are, so nothing in
 * progress is cut.
 */

/* The file may change without a signal; this is how soon that is noticed. */
#define CHECK_INTERVAL_MS 2000

static int64_t read_mtime_ns(const struct node *n)
{
	struct stat st;

	if (stat(n->settings.path, &st))
		return 0;
	return (int64_t)st.st_mtim.tv_sec * 1000000000 + st.st_mtim.tv_nsec;
}

static void apply_reloadable(struct settings *s, const struct settings *new)
{
	memcpy(s->seeds, new->seeds, sizeof(s->seeds));
	s->n_seeds = new->n_seeds;
	s->hold_share = new->hold_share;
	s->retry_share = new->retry_share;
	s->retry_reserve = new->retry_reserve;
	s->hedge = new->hedge;
	s->hold_max_ms = new->hold_max_ms;
	s->stop_limit_ms = new->stop_limit_ms;
	s->kept_idle_s = new->kept_idle_s;
}

/* Read the settings again; a file with problems changes nothing. */
void node_reload(struct node *n)
{
	struct settings *new = g_new0(struct settings, 1);
	GString *errors = g_string_new(NULL);

	n->settings_mtime_ns = read_mtime_ns(n);
	if (settings_read(new, n->settings.path, errors)) {
		g_warning("settings not read again: %s", errors->str);
	} else {
		apply_reloadable(&n->settings, new);
		EVENT(reloaded, NULL, "\"seeds\":%u", n->settings.n_seeds);
		g_info("settings read again, %u seeds", n->settings.n_seeds);
	}
	g_string_free(errors, TRUE);
	g_free(new);
}

void reload_tick(struct node *n, int64_t now_ms)
{
	if (now_ms < n->next_settings_check_at_ms)
		return;
	n->next_settings_check_at_ms = now_ms + CHECK_INTERVAL_MS;
	if (!n->settings_mtime_ns)
		n->settings_mtime_ns = read_mtime_ns(n);
	else if (read_mtime_ns(n) != n->settings_mtime_ns)
		node_reload(n);
}
